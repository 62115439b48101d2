#pragma once

// Quarantines requests that crash the backend servers which run them.
//
// A backend server that crashes loses all requests that it runs, and nothing shows which of them
// was the cause. Therefore each of them is reported, by a fingerprint that all attempts of one
// request share. If a request is reported again after a run that started later, it is the most
// likely cause and isn't run for a while. If it is completed, it is not the cause, and its reports
// are withdrawn.
// No I/O: the caller passes the time in.

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "figmill/base.h"
#include "figmill/relay.h"
#include "figmill/tables.h"

namespace figmill {

// Identifies all attempts of one request. Each attempt has an id of its own, so ids can't show that
// the same request was sent again.
struct RequestFingerprint {
  std::string value;  // 32 hexadecimal digits
  auto operator<=>(const RequestFingerprint&) const = default;
};
// `target`: path and query. The caller's key is not included, because fingerprints are written to
// the store.
[[nodiscard]] RequestFingerprint FingerprintOf(std::string_view method, std::string_view target,
                                               std::span<const Header> headers,
                                               std::string_view body, const TeamId& team);

// Limit on the parts of one prompt that are considered.
inline constexpr std::size_t kMaxPartsOfPrompt = 16;
// The ids of a prompt's parts, from a list of ID:TOKENS entries, ids in hexadecimal. The last part
// belongs to the request itself and is left out, as are entries that can't be read.
[[nodiscard]] std::vector<std::string_view> SharedPartsOf(std::string_view prompt_parts);
// The same, separated by commas.
[[nodiscard]] std::string SharedPartsText(std::string_view prompt_parts);

// A crash of a backend server while it ran a request.
struct Crash {
  RequestFingerprint request;
  BackendId backend;
  BackendIncarnation incarnation;  // the one that crashed
  auto operator<=>(const Crash&) const = default;
};

struct CrashReport {
  // Longer chains are counted as this length.
  static constexpr int kMaxChain = 6;

  Crash crash;
  // Length of the chain of crashes, including this one, in which each run started after the crash
  // before was known. Backend servers that crash at the same time form no chain, so that a frequent
  // request isn't blamed for the loss of a rack.
  int chain = 1;
};

// Reports are stored as rows of a shared table. `seen_by` and `attempt` are for people who read the
// rows.
[[nodiscard]] std::string CrashRowKey(const Crash& crash);
[[nodiscard]] std::string CrashRowValue(const CrashReport& report, const NodeId& seen_by,
                                        std::string_view attempt);
// Errors: kBadRequest, with the cause.
[[nodiscard]] Result<Crash> ParseCrashKey(std::string_view key);
[[nodiscard]] Result<CrashReport> ParseCrashRow(const TableRow& row);

class Quarantine {
 public:
  // How long a request is kept in quarantine after a chain of crashes. It is probed when the period
  // is over, so that one that was blamed wrongly is served again; after a chain of
  // CrashReport::kMaxChain there is no probe.
  struct Policy {
    int min_chain = 0;        // shortest chain that causes a quarantine
    Duration initial_period;  // time until the first probe; doubles with each further crash
  };
  // An online request that merely ran beside the cause is short, and seldom sees a second crash.
  static constexpr Policy kOnline{2, Duration{60'000'000}};
  // Batch items run for seconds, and see crashes of several backend servers for unrelated reasons.
  // Their jobs can wait.
  static constexpr Policy kBatch{4, Duration{8'000'000}};
  // No second probe starts here while one may still be running.
  static constexpr Duration kProbeTimeout{10'000'000};
  // Retry delay for callers of a request that is no longer probed.
  static constexpr Duration kMaxRetryAfter = std::chrono::hours(1);
  // Most reports kept, over all requests.
  static constexpr std::size_t kMaxReports = 1000;

  explicit Quarantine(NodeId self) : self_(std::move(self)) {}

  // Adds a report of this process or of another one. `seen_at`: when the crash was seen here, or
  // when the report arrived.
  void Add(const CrashReport& report, Time seen_at);
  void Remove(const Crash& crash);
  // Chain length of a crash in a run that started at `started_at`.
  [[nodiscard]] int NextChainLength(const RequestFingerprint& request, Time started_at) const;

  // Time until the request may run here as work of this class; nullopt: it may run now.
  [[nodiscard]] std::optional<Duration> TimeLeft(const RequestFingerprint& request, WorkClass work,
                                                 Time now) const;
  // Length of the request's longest chain of crashes; 0 without reports.
  [[nodiscard]] int ChainLength(const RequestFingerprint& request) const;
  // A run of the request starts.
  void RecordStart(const RequestFingerprint& request, Time now);
  // A run of the request has ended with a complete answer. Returns the reports that this withdraws.
  [[nodiscard]] std::vector<Crash> RecordCompletion(const RequestFingerprint& request);
  // The reports beyond kMaxReports: those of the shortest chains, and of these the oldest.
  [[nodiscard]] std::vector<Crash> ExcessReports() const;

  [[nodiscard]] std::size_t reports() const { return reports_; }
  // Number of requests whose chain is long enough for a quarantine of online requests.
  [[nodiscard]] std::size_t quarantined() const { return quarantined_; }

 private:
  struct SeenCrash {
    int chain = 1;
    Time at{};
  };
  struct SuspectRequest {
    std::map<Crash, SeenCrash> crashes;
    Time probe_until{};
  };
  [[nodiscard]] static const SeenCrash& LongestChain(const SuspectRequest& suspect);
  [[nodiscard]] static bool IsQuarantined(const SuspectRequest& suspect);
  // Quarantine period after the end of a chain; nullopt: no probe.
  [[nodiscard]] std::optional<Duration> QuarantinePeriod(const RequestFingerprint& request,
                                                         const Policy& policy, int chain) const;

  NodeId self_;
  std::map<RequestFingerprint, SuspectRequest> suspects_;
  std::size_t reports_ = 0;
  std::size_t quarantined_ = 0;
};

}  // namespace figmill
