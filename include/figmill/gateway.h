#pragma once

// An entry that calls backend servers itself, on a platform that keeps the
// routing configuration, the list of backend servers and what must last in its
// table service. What differs between platforms is behind PlatformAdapter.

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

// Names of the headers that figmill reads and sets. Others pass through.
struct HeaderNames {
  std::string request_id = "Figmill-Request-Id";
  std::string deadline_ms = "Figmill-Deadline-Ms";
  std::string expect_backend = "Figmill-Expect-Backend";  // refused by any other
  std::string backend_id = "Figmill-Backend";             // who answers
  std::string not_run = "Figmill-Not-Run";                // the request was not run
  std::string last_event_id = "Last-Event-Id";
  std::string team = "Figmill-Team";  // whose request it is, as the caller's key says
};

// Callers' calls about batch jobs that were accepted.
struct JobReadCall {
  static constexpr std::string_view kName = "read";
  JobId job;
  std::uint32_t after = 0;  // the first position
  Duration wait{0};         // for a result, if there is none yet
};
struct JobItemCall {
  static constexpr std::string_view kName = "item";
  JobId job;
  std::string item;
};
struct JobEndCall {
  static constexpr std::string_view kName = "end";
  JobId job;
};
using JobCall = std::variant<JobReadCall, JobItemCall, JobEndCall>;

// One call to the platform's table service.
struct TableCall {
  std::string method = "GET";
  std::string target;  // path and query
  std::vector<Header> headers;
  std::string body;
  Duration timeout{1'000'000};
  bool long_poll = false;  // the store holds it until something changes
};

// Carries calls to the table service.
class TableTransport {
 public:
  virtual ~TableTransport() = default;
  // Any status is a value. Errors: kBackendFailed with `ran` no (never sent) or unknown.
  virtual void Fetch(TableCall call, std::function<void(Result<HttpResponse>)> done) = 0;
};

class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;
  [[nodiscard]] virtual const HeaderNames& names() const = 0;
  // A client of the table service.
  [[nodiscard]] virtual std::unique_ptr<SharedTables> Connect(TableTransport& calls) const = 0;
  // Where the operator's configuration lies.
  [[nodiscard]] virtual TableKey config_row() const = 0;
  // Errors: kBadRequest, with the place.
  [[nodiscard]] virtual Result<RoutingConfig> ParseConfig(std::string_view text) const = 0;
  // The table that backend servers write themselves into, by their id.
  [[nodiscard]] virtual std::string backend_table() const = 0;
  // Errors: kBadRequest, with the place.
  [[nodiscard]] virtual Result<BackendInfo> ParseBackend(std::string_view id,
                                                         std::string_view text) const = 0;
  // The submission of a batch job. Errors: kBadRequest, with the place.
  [[nodiscard]] virtual Result<JobSubmission> ParseSubmission(const HttpRequest& request) const = 0;
  // A call about a job; nothing when the path is none of those. Errors: kBadRequest.
  [[nodiscard]] virtual std::optional<Result<JobCall>> ParseJobCall(
      const HttpRequest& request) const = 0;
  // Bodies of answers.
  [[nodiscard]] virtual std::string RenderAccepted() const = 0;
  [[nodiscard]] virtual std::string RenderResults(std::uint32_t total, std::uint32_t after,
                                                  std::span<const ItemResult> results) const = 0;
};

struct TeamSettings {
  // From the acknowledgement of a configuration until a key that it takes away works nowhere any
  // more.
  Duration revoke_within{5'000'000};
  // Also at an entry that can't reach the store, which has to refuse all keys then.
  bool strict_revocation = false;
  QuotaBounds quota;

  [[nodiscard]] std::optional<Duration> key_lease() const {
    return strict_revocation ? std::optional(revoke_within) : std::nullopt;
  }
};

struct GatewaySettings {
  NodeId node;
  DataCentre data_centre;
  double cores = 1;                    // of this process's host that it may use
  Address callers{"127.0.0.1", 8080};  // where callers' connections come in
  Address health{"127.0.0.1", 8081};   // readiness, for the balancer
  Address peers{"127.0.0.1", 8082};    // HTTP and datagrams of other entries
  Address metrics{"127.0.0.1", 8083};
  Address store{"127.0.0.1", 9000};
  std::vector<Address> seeds;          // some other entries' peer addresses; may be stale
  Duration shutdown_grace{8'000'000};  // from the order to stop until the kill
  TeamSettings teams;
  LogLevel log_level = LogLevel::kInfo;
};

// Until the process is told to stop or fails. Returns the exit code.
[[nodiscard]] int RunGateway(const GatewaySettings& settings, const PlatformAdapter& adapter);

}  // namespace figmill
