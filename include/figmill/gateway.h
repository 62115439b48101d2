#pragma once

// The gateway process: an entry that sends requests to backend servers itself, without agents. The
// platform's table service stores the routing configuration, the list of backend servers and all
// durable state. PlatformAdapter hides the differences between platforms.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/fleet.h"
#include "figmill/ledger.h"
#include "figmill/quota.h"
#include "figmill/routes.h"
#include "figmill/runtime.h"
#include "figmill/tables.h"

namespace figmill {

// Names of the HTTP headers that figmill reads and sets. Other headers are forwarded unchanged.
struct HeaderNames {
  std::string request_id = "Figmill-Request-Id";
  std::string deadline_ms = "Figmill-Deadline-Ms";
  // A backend server with another id rejects the request.
  std::string expect_backend = "Figmill-Expect-Backend";
  std::string backend_id = "Figmill-Backend";  // the backend server that answered
  std::string not_run = "Figmill-Not-Run";     // present if the request was not run
  std::string last_event_id = "Last-Event-Id";
  std::string team = "Figmill-Team";  // the team that the caller's key belongs to
  // With last_event_id: the request id of the attempt whose answer the stream began with.
  std::string resumes = "Figmill-Resumes";
  // The parts of the prompt in order, as comma-separated ID:TOKENS entries.
  std::string prompt_parts = "Figmill-Prompt-Parts";
  // The tokens of the prompt and the maximum number of output tokens, as PROMPT,OUTPUT.
  std::string tokens = "Figmill-Tokens";
};

// Calls about an accepted batch job.
struct JobReadCall {
  static constexpr std::string_view kName = "read";
  JobId job;
  std::uint32_t after = 0;  // position of the first result to return
  Duration wait{0};         // how long to wait for a result if there is none yet
};
struct JobItemCall {
  static constexpr std::string_view kName = "item";
  JobId job;
  std::string item;
};
// Ends the job for its caller (DELETE).
struct JobEndCall {
  static constexpr std::string_view kName = "end";
  JobId job;
};
using JobCall = std::variant<JobReadCall, JobItemCall, JobEndCall>;

enum class TableCallKind : std::uint8_t { kCommit, kRead, kListParts, kFollow };

// One HTTP request to the platform's table service.
struct TableCall {
  TableCallKind kind = TableCallKind::kRead;
  std::string table;  // of a commit: that of the first row it writes
  std::string method = "GET";
  std::string target;  // path and query
  std::vector<Header> headers;
  std::string body;
  Duration timeout{1'000'000};
  bool long_poll = false;  // the service may hold the request until something changes
};

// Sends requests to the table service.
class TableTransport {
 public:
  virtual ~TableTransport() = default;
  // Calls `done` with the response, whatever its status. Errors: kBackendFailed, with `ran` no if
  // the request was never sent, else unknown.
  virtual void Fetch(TableCall call, std::function<void(Result<HttpResponse>)> done) = 0;
};

class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;
  [[nodiscard]] virtual const HeaderNames& names() const = 0;
  // Path at which a backend server reports on itself without using a slot. It may answer with any
  // status if it has no such report.
  [[nodiscard]] virtual std::string report_path() const = 0;
  // The incarnation that such a report names; unknown if it names none.
  [[nodiscard]] virtual BackendIncarnation ParseReport(std::string_view text) const = 0;
  // Creates a client of the table service that sends its requests through `calls`.
  [[nodiscard]] virtual std::unique_ptr<SharedTables> Connect(TableTransport& calls) const = 0;
  // Key of the row that holds the operator's routing configuration.
  [[nodiscard]] virtual TableKey config_row() const = 0;
  // Errors: kBadRequest, with the position of the fault.
  [[nodiscard]] virtual Result<RoutingConfig> ParseConfig(std::string_view text) const = 0;
  // Name of the table in which backend servers register themselves under their id.
  [[nodiscard]] virtual std::string backend_table() const = 0;
  // Errors: kBadRequest, with the position of the fault.
  [[nodiscard]] virtual Result<BackendInfo> ParseBackend(std::string_view id,
                                                         std::string_view text) const = 0;
  // Parses the submission of a batch job. Errors: kBadRequest, with the position of the fault.
  [[nodiscard]] virtual Result<JobSubmission> ParseSubmission(const HttpRequest& request) const = 0;
  // Parses a call about an accepted job; nullopt if the path is not one. Errors: kBadRequest.
  [[nodiscard]] virtual std::optional<Result<JobCall>> ParseJobCall(
      const HttpRequest& request) const = 0;
  // Bodies of responses.
  [[nodiscard]] virtual std::string RenderAccepted() const = 0;
  [[nodiscard]] virtual std::string RenderResults(std::uint32_t total, std::uint32_t after,
                                                  std::span<const ItemResult> results) const = 0;
};

struct TeamSettings {
  // Longest time from the acknowledgement of a configuration until a key that it revokes is
  // rejected at every entry.
  Duration revoke_within{5'000'000};
  // Enforces revoke_within also at an entry that can't reach the store: it then rejects all keys.
  bool strict_revocation = false;
  QuotaBounds quota;

  // How long keys stay valid after the configuration was last confirmed; nullopt: no limit.
  [[nodiscard]] std::optional<Duration> key_lease() const {
    return strict_revocation ? std::optional(revoke_within) : std::nullopt;
  }
};

struct GatewaySettings {
  NodeId node;
  DataCentre data_centre;
  double cores = 1;                    // CPU cores of the host that this process may use
  Address callers{"127.0.0.1", 8080};  // listens for callers' connections
  Address health{"127.0.0.1", 8081};   // readiness probe of the load balancer
  Address peers{"127.0.0.1", 8082};    // HTTP and datagrams between entries
  Address metrics{"127.0.0.1", 8083};
  Address store{"127.0.0.1", 9000};
  std::vector<Address> seeds;          // peer addresses of some other entries; may be stale
  Duration shutdown_grace{8'000'000};  // time from SIGTERM until the process is killed
  TeamSettings teams;
  LogLevel log_level = LogLevel::kInfo;
};

// Runs until the process is told to stop or fails. Returns the exit code.
[[nodiscard]] int RunGateway(const GatewaySettings& settings, const PlatformAdapter& adapter);

}  // namespace figmill
