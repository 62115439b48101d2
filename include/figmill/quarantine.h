#pragma once

// Quarantines requests that crash the backend servers which run them, and parts of prompts that
// crash whatever runs a request with them.
//
// A backend server that crashes loses all requests that it runs, and nothing shows which of them
// was the cause. Therefore each of them is reported, by fingerprints of what may be to blame: the
// whole request, and each part of its prompt if its answer had only begun. A suspect that is
// reported again after a run that started later is the most likely cause, unless another suspect
// explains these crashes, and requests with it aren't run for a while. A suspect of a completed
// request is not the cause, nor is a part of a request whose answer goes on: its reports are
// withdrawn.
// No I/O: the caller passes the time in.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "figmill/base.h"
#include "figmill/relay.h"
#include "figmill/tables.h"

namespace figmill {

// Identifies what may be to blame for a crash: a request, in all of its attempts, or a part of
// prompts. Each attempt has an id of its own, so ids can't show that the same request was sent
// again.
struct Fingerprint {
  std::string value;  // 32 hexadecimal digits, or that of a part
  auto operator<=>(const Fingerprint&) const = default;
};
// `target`: path and query. The caller's key is not included, because fingerprints are written to
// the store.
[[nodiscard]] Fingerprint FingerprintOf(std::string_view method, std::string_view target,
                                        std::span<const Header> headers, std::string_view body,
                                        const TeamId& team);

// Limit on the parts of one prompt that are considered.
inline constexpr std::size_t kMaxPartsOfPrompt = 32;
// The ids of a prompt's parts, from a list of ID:TOKENS entries, ids in hexadecimal. The last part
// belongs to the request itself and is left out, as are entries that can't be read.
[[nodiscard]] std::vector<std::string_view> SharedPartsOf(std::string_view prompt_parts);
// The fingerprints of these parts for the engines of a service. They contain the ids, for people.
[[nodiscard]] std::vector<Fingerprint> PartFingerprintsOf(std::string_view prompt_parts,
                                                          const ServiceName& service);
[[nodiscard]] bool IsPart(const Fingerprint& fingerprint);
// Whether the text has the form of a fingerprint.
[[nodiscard]] bool IsFingerprint(std::string_view text);

// A process of a backend server.
struct BackendProcess {
  BackendId backend;
  BackendIncarnation incarnation;
  auto operator<=>(const BackendProcess&) const = default;
};

// A crash of a backend server while it ran a request of this suspect.
struct Crash {
  Fingerprint suspect;
  BackendProcess process;
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
  // The suspect was lost in an online request, which is short: to be in two crashes in a row it has
  // to be sent again. Batch items run for seconds, and are in crashes by chance.
  bool online = false;
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
  // How long a suspect is kept in quarantine after a chain of crashes. It is probed when the period
  // is over, so that one that was blamed wrongly is served again.
  struct Policy {
    int min_chain = 0;        // shortest chain that causes a quarantine
    Duration initial_period;  // time until the first probe; doubles with each further crash
  };
  // An online request that merely ran beside the cause is short, and seldom sees a second crash.
  // After a chain of CrashReport::kMaxChain there is no probe.
  static constexpr Policy kOnline{2, Duration{60'000'000}};
  // Batch items run for seconds, and see crashes of several backend servers for unrelated reasons.
  // They are owed until their jobs expire, so that the probes don't stop.
  static constexpr Policy kBatch{4, Duration{8'000'000}};
  // Parts are shared by many requests, so that one that is blamed wrongly is released soon.
  static constexpr Policy kPart{2, Duration{20'000'000}};
  // The same for items, whose jobs can wait but are owed.
  static constexpr Policy kBatchPart{2, Duration{2'000'000}};
  // A batch item waits for its next probe for at most this part (1/n) of the time that its job had
  // left at the last crash: it is run again in time, and the number of probes grows with the
  // logarithm of that time only.
  static constexpr int kMaxPartOfTimeLeft = 4;
  // Shortest time between two probes of a batch item.
  static constexpr Duration kMinBatchPeriod{2'000'000};
  // A crash says nothing about the parts of a prompt whose answer had more events than this: such
  // a part crashes an engine that begins to write.
  static constexpr std::uint64_t kMaxEventsAtCrash = 8;
  // Whether an answer with so many events shows that the parts of its prompt crash nothing.
  [[nodiscard]] static constexpr bool ShowsSoundParts(std::uint64_t events) {
    return events > kMaxEventsAtCrash;
  }
  // A part that a request has shown to be sound here takes no reports for this long.
  static constexpr Duration kClearedFor{10'000'000};
  // Most sound parts that are remembered.
  static constexpr std::size_t kMaxClearedParts = 4096;
  // No second probe starts here while one may still be running.
  static constexpr Duration kProbeTimeout{10'000'000};
  // While another suspect may be to blame as well, requests that tell them apart are probes. They
  // start here at this interval, and the first ones of all entries are spread over it.
  static constexpr Duration kDecidingProbeInterval{1'000'000};
  // Reports of other entries may still change what is to blame for a crash that was this long ago,
  // so that callers are told to come back soon.
  static constexpr Duration kSettlingTime{1'000'000};
  // Retry delay for callers of a request that is no longer probed.
  static constexpr Duration kMaxRetryAfter = std::chrono::hours(1);
  // Most reports kept, over all suspects.
  static constexpr std::size_t kMaxReports = 1000;

  // What is to blame for some crashes.
  struct Culprit {
    Fingerprint suspect;
    // Other parts and online requests that may be to blame instead of a part: each of the crashes
    // lost one of them as well.
    std::set<Fingerprint> alternatives;
    // Those of them that are requests and were lost in all of the crashes.
    std::set<Fingerprint> requests;
    int chain = 0;
    std::set<BackendProcess> crashes;
    Time last_crash_at{};
    bool operator==(const Culprit&) const = default;
  };
  // Why and for how long a request may not run.
  struct Hold {
    Fingerprint suspect;
    int chain = 0;
    Duration left{0};
  };

  explicit Quarantine(NodeId self) : self_(std::move(self)) {}

  // Adds a report of this process or of another one. `seen_at`: when the crash was seen here, or
  // when the report arrived.
  void Add(const CrashReport& report, Time seen_at);
  void Remove(const Crash& crash);
  // Chain length of a crash in a run that started at `started_at`. A run that started after a crash
  // of its own process was known never ran, and follows no other crash.
  [[nodiscard]] int NextChainLength(const Crash& crash, Time started_at) const;

  // Whether an online request with these fingerprints may run here; nullopt: it may.
  [[nodiscard]] std::optional<Hold> HoldOf(std::span<const Fingerprint> request, Time now) const;
  // The same for a batch item that is given up at `expires`.
  [[nodiscard]] std::optional<Hold> HoldOfItem(std::span<const Fingerprint> item, Time expires,
                                               Time now) const;
  // A run of a request with these fingerprints starts.
  void RecordStart(std::span<const Fingerprint> request, Time now);
  // A run of a batch item has ended, with or without a crash: if it was a probe, it is over.
  void RecordItemEnd(std::span<const Fingerprint> item, Time now);
  // A run has shown that these suspects are sound: it has ended with a complete answer, or, for
  // parts alone, its answer ShowsSoundParts. Returns the reports that this withdraws.
  [[nodiscard]] std::vector<Crash> RecordSound(std::span<const Fingerprint> suspects, Time now);
  // Whether a request has shown here a short time ago that this part is sound.
  [[nodiscard]] bool IsCleared(const Fingerprint& part, Time now) const;
  // The reports beyond kMaxReports: those of the shortest chains, and of these the oldest.
  [[nodiscard]] std::vector<Crash> ExcessReports() const;

  [[nodiscard]] std::size_t reports() const { return reports_; }
  [[nodiscard]] const std::vector<Culprit>& culprits() const { return culprits_; }

 private:
  struct SeenCrash {
    int chain = 1;
    Time at{};
    bool online = false;
  };
  struct Suspect {
    std::map<BackendProcess, SeenCrash> crashes;
    Time probe_until{};
  };
  struct CrashedProcess {
    std::size_t reports = 0;
    Time known_at{};
  };
  using Processes = std::set<BackendProcess>;

  void FindCulprits();
  // The part to which most crashes point that nothing explains yet; nullopt: none is to blame.
  [[nodiscard]] std::optional<Fingerprint> LeadingPart(const Processes& explained) const;
  [[nodiscard]] Culprit MakeCulprit(const Fingerprint& fingerprint,
                                    const Processes& explained) const;
  void FindAlternatives(Culprit& culprit, const Processes& explained) const;
  // The crashes that parts explain to which this request is no alternative; nullopt: it is none to
  // any part.
  [[nodiscard]] std::optional<Processes> ExplainedForAlternative(const Fingerprint& request) const;
  [[nodiscard]] static const Policy& PolicyFor(const Culprit& culprit, bool batch);
  // When a batch item is given up; nullopt for an online request.
  using Expiry = std::optional<Time>;
  [[nodiscard]] std::optional<Hold> FindHold(std::span<const Fingerprint> request, Expiry expires,
                                             Time now) const;
  [[nodiscard]] Duration QuarantineLeft(const Culprit& culprit, Expiry expires, Time now) const;
  [[nodiscard]] Duration DecidingProbeLeft(std::span<const Fingerprint> request,
                                           const Culprit& culprit, Time now) const;
  [[nodiscard]] std::optional<Duration> OnlinePeriod(const Culprit& culprit,
                                                     const Policy& policy) const;
  [[nodiscard]] Duration BatchPeriod(const Culprit& culprit, const Policy& policy,
                                     Time expires) const;
  [[nodiscard]] Time ProbeUntil(const Fingerprint& suspect) const;
  // This entry's share of a span of time, which differs between entries.
  [[nodiscard]] Duration Spread(const Fingerprint& suspect, Duration span) const;

  NodeId self_;
  std::map<Fingerprint, Suspect> suspects_;
  std::map<BackendProcess, CrashedProcess> processes_;  // those of the reports
  std::vector<Culprit> culprits_;
  std::map<Fingerprint, Time> cleared_;  // when these parts were last shown to be sound here
  std::size_t reports_ = 0;
};

}  // namespace figmill
