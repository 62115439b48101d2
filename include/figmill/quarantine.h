#pragma once

// Keeps requests that crash the backend servers which run them away from the others.
//
// A backend server that ends takes all with it that it runs, and nothing tells which of those
// requests was the cause. So each is reported, by what attempts of one request have in common.
// One that is reported again after a run that began later is the cause most likely: it isn't run
// for a while. One that is completed is not the cause, and its reports are withdrawn.
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

// What attempts of one request have in common. Each attempt has an id of its own, so that ids
// can't tell that the same request has come again.
struct RequestFingerprint {
  std::string value;  // 32 hexadecimal digits
  auto operator<=>(const RequestFingerprint&) const = default;
};
// `target`: path and query. A caller's key is no part of it: digests are written to the store.
[[nodiscard]] RequestFingerprint FingerprintOf(std::string_view method, std::string_view target,
                                               std::span<const Header> headers,
                                               std::string_view body, const TeamId& team);

// The end of a backend server that was running a request.
struct Crash {
  RequestFingerprint request;
  BackendId backend;
  BackendIncarnation incarnation;  // that ended
  auto operator<=>(const Crash&) const = default;
};

struct CrashReport {
  // Longer chains are counted as this.
  static constexpr int kMaxChain = 6;

  Crash crash;
  // How many crashes of the request followed each other, this one included: each by a run that
  // began after the one before was known. Backend servers that end together make no chain, so
  // that a popular request isn't blamed for the loss of a rack.
  int chain = 1;
};

// Reports are rows of a shared table. `seen_by` and `attempt` are for people who read the row.
[[nodiscard]] std::string RowKeyOf(const Crash& crash);
[[nodiscard]] std::string RowValueOf(const CrashReport& report, const NodeId& seen_by,
                                     std::string_view attempt);
// Errors: kBadRequest, with what is wrong.
[[nodiscard]] Result<Crash> ParseCrashKey(std::string_view key);
[[nodiscard]] Result<CrashReport> ParseCrashRow(const TableRow& row);

class Quarantine {
 public:
  // How long a request is kept away after a chain of crashes. A probe after it lets one that was
  // blamed wrongly be served again; after a chain of CrashReport::kMaxChain there is none.
  struct Policy {
    int chain_limit = 0;    // the shortest chain that counts
    Duration first_period;  // until a probe; twice as long after each further crash
  };
  // A request that merely ran beside the cause is short, and seldom meets a second end.
  static constexpr Policy kOnline{2, Duration{60'000'000}};
  // Items run for seconds, and meet the ends of several backend servers that fail for reasons of
  // their own. Their jobs wait for them.
  static constexpr Policy kBatch{4, Duration{8'000'000}};
  // While a probe may still be running no other begins here.
  static constexpr Duration kProbeTimeout{10'000'000};
  // What callers of a request that isn't probed any more are told to wait.
  static constexpr Duration kLongestWait = std::chrono::hours(1);
  // Reports that are kept, of all requests.
  static constexpr std::size_t kMaxReports = 1000;

  explicit Quarantine(NodeId self) : self_(std::move(self)) {}

  // A report that this process makes, or hears of. `seen_at`: when the crash was seen here or
  // the report came.
  void Add(const CrashReport& report, Time seen_at);
  void Remove(const Crash& crash);
  // The chain of a crash in a run that began then.
  [[nodiscard]] int ChainOf(const RequestFingerprint& request, Time begun_at) const;

  // Until the request may run here as work of this class; nothing: now.
  [[nodiscard]] std::optional<Duration> TimeLeft(const RequestFingerprint& request, WorkClass work,
                                                 Time now) const;
  // Crashes of the request, one after the other.
  [[nodiscard]] int ChainOf(const RequestFingerprint& request) const;
  // A run of it begins.
  void Began(const RequestFingerprint& request, Time now);
  // A run of it has ended with its whole answer. Returns the reports that are withdrawn by that.
  [[nodiscard]] std::vector<Crash> Completed(const RequestFingerprint& request);
  // Reports beyond kMaxReports: the shortest chains, and of these the oldest.
  [[nodiscard]] std::vector<Crash> Surplus() const;

  [[nodiscard]] std::size_t reports() const { return reports_; }
  // Requests with a chain that counts for any class of work.
  [[nodiscard]] std::size_t quarantined() const { return quarantined_; }

 private:
  struct Seen {
    int chain = 1;
    Time at{};
  };
  struct Suspect {
    std::map<Crash, Seen> crashes;
    Time probed_until{};
  };
  [[nodiscard]] static const Seen& Longest(const Suspect& suspect);
  [[nodiscard]] static bool IsQuarantined(const Suspect& suspect);
  // After the end of a chain; nothing: for good.
  [[nodiscard]] std::optional<Duration> PeriodOf(const RequestFingerprint& request,
                                                 const Policy& policy, int chain) const;

  NodeId self_;
  std::map<RequestFingerprint, Suspect> suspects_;
  std::size_t reports_ = 0;
  std::size_t quarantined_ = 0;
};

}  // namespace figmill
