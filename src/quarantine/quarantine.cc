#include "figmill/quarantine.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace figmill {
namespace {

constexpr int kMinChain = 2;
static_assert(Quarantine::kOnline.min_chain == kMinChain);
static_assert(Quarantine::kPart.min_chain == kMinChain);

// How much points to a suspect, from the crashes that nothing else explains yet.
struct Evidence {
  int chain = 0;
  std::size_t crashes = 0;
  auto operator<=>(const Evidence&) const = default;
};

// Crashes that other suspects explain leave gaps in a chain, which make it shorter.
template <typename Crashes>
Evidence EvidenceOf(const Crashes& crashes, const std::set<BackendProcess>& explained) {
  Evidence evidence;
  std::set<int> lengths, gaps;
  for (const auto& [process, seen] : crashes) {
    (explained.contains(process) ? gaps : lengths).insert(seen.chain);
    evidence.crashes += explained.contains(process) ? 0 : 1;
  }
  if (lengths.empty()) return evidence;
  evidence.chain = *lengths.rbegin();
  for (const int gap : gaps) {
    if (gap < *lengths.rbegin() && !lengths.contains(gap)) --evidence.chain;
  }
  return evidence;
}

template <typename Crashes>
std::set<BackendProcess> Unexplained(const Crashes& crashes,
                                     const std::set<BackendProcess>& explained) {
  std::set<BackendProcess> processes;
  for (const auto& [process, seen] : crashes) {
    if (!explained.contains(process)) processes.insert(process);
  }
  return processes;
}

// Whether a suspect with these crashes may be to blame for those that are counted for a part.
template <typename Crashes>
bool MayExplain(const Fingerprint& suspect, const Crashes& crashes,
                const std::set<BackendProcess>& explained) {
  if (IsPart(suspect)) return true;
  const bool online = std::all_of(crashes.begin(), crashes.end(),
                                  [](const auto& crash) { return crash.second.online; });
  return online && EvidenceOf(crashes, explained).chain >= kMinChain;
}

bool Contains(std::span<const Fingerprint> request, const Fingerprint& suspect) {
  return std::find(request.begin(), request.end(), suspect) != request.end();
}

bool ContainsAny(std::span<const Fingerprint> request, const std::set<Fingerprint>& suspects) {
  return std::any_of(suspects.begin(), suspects.end(),
                     [&](const Fingerprint& each) { return Contains(request, each); });
}

bool IsInvolved(std::span<const Fingerprint> request, const Quarantine::Culprit& culprit) {
  return Contains(request, culprit.suspect) || ContainsAny(request, culprit.alternatives);
}

// Whether the end of a run of this request shows which of the suspects is to blame.
bool IsDeciding(std::span<const Fingerprint> request, const Quarantine::Culprit& culprit) {
  if (culprit.alternatives.empty()) return false;
  // The crashes would need no part to blame if one of these requests is.
  if (!culprit.requests.empty() && !ContainsAny(request, culprit.requests)) return true;
  return !Contains(request, culprit.suspect) || !ContainsAny(request, culprit.alternatives);
}

// Doubles the initial period `times` times, up to a limit that no job outlasts.
Duration Doubled(Duration initial, std::size_t times) {
  constexpr std::size_t kMaxDoublings = 12;
  return initial * (1 << std::min(times, kMaxDoublings));
}

}  // namespace

void Quarantine::Add(const CrashReport& report, Time seen_at) {
  auto& crashes = suspects_[report.crash.suspect].crashes;
  const auto [found, inserted] =
      crashes.try_emplace(report.crash.process, SeenCrash{report.chain, seen_at, report.online});
  if (inserted) {
    ++reports_;
    CrashedProcess& process = processes_[report.crash.process];
    process.known_at = process.reports == 0 ? seen_at : std::min(process.known_at, seen_at);
    ++process.reports;
  }
  // A duplicate report keeps the time of the first one, unless its chain is longer.
  if (!inserted && report.chain > found->second.chain) {
    found->second = {report.chain, seen_at, report.online};
  }
  if (report.chain >= kMinChain || crashes.size() >= kMinChain) FindCulprits();
}

void Quarantine::Remove(const Crash& crash) {
  const auto found = suspects_.find(crash.suspect);
  if (found == suspects_.end()) return;
  if (found->second.crashes.erase(crash.process) > 0) {
    --reports_;
    const auto process = processes_.find(crash.process);
    if (--process->second.reports == 0) processes_.erase(process);
  }
  if (found->second.crashes.empty()) suspects_.erase(found);
  if (!culprits_.empty()) FindCulprits();
}

// The part with the most evidence explains its crashes. Whatever else was lost in these was only
// beside it, and is blamed for its other crashes alone. Requests don't explain the crashes of
// others: batch items ride along for seconds, and would hide the cause. Online requests that may be
// to blame instead of a part are blamed as well.
void Quarantine::FindCulprits() {
  culprits_.clear();
  Processes explained;
  while (const std::optional<Fingerprint> leader = LeadingPart(explained)) {
    culprits_.push_back(MakeCulprit(*leader, explained));
    explained.insert(culprits_.back().crashes.begin(), culprits_.back().crashes.end());
  }
  std::vector<Culprit> requests;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (IsPart(fingerprint)) continue;
    const std::optional<Processes> by_other_parts = ExplainedForAlternative(fingerprint);
    const Processes& by_parts = by_other_parts ? *by_other_parts : explained;
    if (EvidenceOf(suspect.crashes, by_parts).chain < kMinChain) continue;
    requests.push_back(MakeCulprit(fingerprint, by_parts));
  }
  std::move(requests.begin(), requests.end(), std::back_inserter(culprits_));
}

std::optional<Quarantine::Processes> Quarantine::ExplainedForAlternative(
    const Fingerprint& request) const {
  const auto blamed_beside = [&](const Culprit& part) {
    return part.alternatives.contains(request);
  };
  if (std::none_of(culprits_.begin(), culprits_.end(), blamed_beside)) return std::nullopt;
  Processes explained;
  for (const Culprit& part : culprits_) {
    if (!blamed_beside(part)) explained.insert(part.crashes.begin(), part.crashes.end());
  }
  return explained;
}

std::optional<Fingerprint> Quarantine::LeadingPart(const Processes& explained) const {
  std::optional<Fingerprint> leader;
  Evidence most;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (!IsPart(fingerprint)) continue;
    const Evidence evidence = EvidenceOf(suspect.crashes, explained);
    if (evidence.chain < kMinChain || evidence <= most) continue;
    leader = fingerprint;
    most = evidence;
  }
  return leader;
}

Quarantine::Culprit Quarantine::MakeCulprit(const Fingerprint& fingerprint,
                                            const Processes& explained) const {
  const auto& crashes = suspects_.at(fingerprint).crashes;
  Culprit culprit;
  culprit.suspect = fingerprint;
  culprit.chain = EvidenceOf(crashes, explained).chain;
  culprit.crashes = Unexplained(crashes, explained);
  for (const auto& [process, seen] : crashes) {
    culprit.last_crash_at = std::max(culprit.last_crash_at, seen.at);
  }
  if (IsPart(fingerprint)) FindAlternatives(culprit, explained);
  return culprit;
}

// There are none if one of the part's crashes lost nothing else that several crashes point to.
void Quarantine::FindAlternatives(Culprit& culprit, const Processes& explained) const {
  Processes alone = culprit.crashes;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (fingerprint == culprit.suspect || !MayExplain(fingerprint, suspect.crashes, explained)) {
      continue;
    }
    Processes shared;
    for (const auto& [process, seen] : suspect.crashes) {
      if (culprit.crashes.contains(process)) shared.insert(process);
    }
    if (shared.size() < kMinChain) continue;
    culprit.alternatives.insert(fingerprint);
    if (!IsPart(fingerprint) && shared == culprit.crashes) culprit.requests.insert(fingerprint);
    for (const BackendProcess& process : shared) alone.erase(process);
  }
  if (alone.empty()) return;
  culprit.alternatives.clear();
  culprit.requests.clear();
}

int Quarantine::NextChainLength(const Crash& crash, Time started_at) const {
  const auto own = processes_.find(crash.process);
  if (own != processes_.end() && own->second.known_at <= started_at) return 1;
  const auto found = suspects_.find(crash.suspect);
  if (found == suspects_.end()) return 1;
  int before = 0;
  for (const auto& [process, seen] : found->second.crashes) {
    if (seen.at <= started_at) before = std::max(before, seen.chain);
  }
  return std::min(before + 1, CrashReport::kMaxChain);
}

Duration Quarantine::Spread(const Fingerprint& suspect, Duration span) const {
  const auto weight = static_cast<double>(RendezvousWeight(suspect.value, self_.value));
  const double share = weight / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return std::chrono::duration_cast<Duration>(span * share);
}

// Period until the first probe after the last crash; nullopt: no probe. Spreads the ends over the
// entries: otherwise all of them would probe with the next attempts that arrive, and lose a backend
// server each.
std::optional<Duration> Quarantine::OnlinePeriod(const Culprit& culprit,
                                                 const Policy& policy) const {
  const bool ends = IsPart(culprit.suspect) || culprit.chain < CrashReport::kMaxChain;
  if (!ends) return std::nullopt;
  const Duration period =
      Doubled(policy.initial_period, static_cast<std::size_t>(culprit.chain - policy.min_chain));
  return period + Spread(culprit.suspect, period);
}

// Crashes beyond the longest chain count as well: one that goes on crashing backend servers is
// probed less and less often.
Duration Quarantine::BatchPeriod(const Culprit& culprit, const Policy& policy, Time expires) const {
  std::size_t doublings = static_cast<std::size_t>(culprit.chain - policy.min_chain);
  constexpr auto kLongest = static_cast<std::size_t>(CrashReport::kMaxChain);
  if (culprit.chain == CrashReport::kMaxChain && culprit.crashes.size() > kLongest) {
    doublings += culprit.crashes.size() - kLongest;
  }
  const Duration period = Doubled(policy.initial_period, doublings);
  const Duration time_left = std::max(expires - culprit.last_crash_at, Duration{0});
  return std::clamp(time_left / kMaxPartOfTimeLeft, kMinBatchPeriod,
                    period + Spread(culprit.suspect, period));
}

Time Quarantine::ProbeUntil(const Fingerprint& suspect) const {
  const auto found = suspects_.find(suspect);
  return found == suspects_.end() ? Time{} : found->second.probe_until;
}

const Quarantine::Policy& Quarantine::PolicyFor(const Culprit& culprit, bool batch) {
  if (IsPart(culprit.suspect)) return batch ? kBatchPart : kPart;
  return batch ? kBatch : kOnline;
}

Duration Quarantine::QuarantineLeft(const Culprit& culprit, Expiry expires, Time now) const {
  const Policy& policy = PolicyFor(culprit, /*batch=*/expires.has_value());
  if (culprit.chain < policy.min_chain) return Duration{0};
  const std::optional<Duration> period =
      expires ? BatchPeriod(culprit, policy, *expires) : OnlinePeriod(culprit, policy);
  if (!period) return kMaxRetryAfter;
  return std::max(culprit.last_crash_at + *period, ProbeUntil(culprit.suspect)) - now;
}

Duration Quarantine::DecidingProbeLeft(std::span<const Fingerprint> request, const Culprit& culprit,
                                       Time now) const {
  Time until = culprit.last_crash_at + Spread(culprit.suspect, kDecidingProbeInterval);
  for (const Fingerprint& each : request) {
    if (each == culprit.suspect || culprit.alternatives.contains(each)) {
      until = std::max(until, ProbeUntil(each));
    }
  }
  return until - now;
}

std::optional<Quarantine::Hold> Quarantine::HoldOf(std::span<const Fingerprint> request,
                                                   Time now) const {
  return FindHold(request, std::nullopt, now);
}

std::optional<Quarantine::Hold> Quarantine::HoldOfItem(std::span<const Fingerprint> item,
                                                       Time expires, Time now) const {
  return FindHold(item, expires, now);
}

std::optional<Quarantine::Hold> Quarantine::FindHold(std::span<const Fingerprint> request,
                                                     Expiry expires, Time now) const {
  std::optional<Hold> longest;
  for (const Culprit& culprit : culprits_) {
    if (!IsInvolved(request, culprit)) continue;
    const Duration left = IsDeciding(request, culprit) ? DecidingProbeLeft(request, culprit, now)
                                                       : QuarantineLeft(culprit, expires, now);
    if (left.count() <= 0 || (longest && left <= longest->left)) continue;
    longest = Hold{culprit.suspect, culprit.chain, left};
    const bool settling = now - culprit.last_crash_at < kSettlingTime;
    if (settling && IsPart(culprit.suspect)) longest->left = std::min(left, kSettlingTime);
  }
  return longest;
}

void Quarantine::RecordStart(std::span<const Fingerprint> request, Time now) {
  for (const Culprit& culprit : culprits_) {
    if (!IsInvolved(request, culprit)) continue;
    const Duration bound = IsDeciding(request, culprit) ? kDecidingProbeInterval : kProbeTimeout;
    for (const Fingerprint& each : request) {
      if (each != culprit.suspect && !culprit.alternatives.contains(each)) continue;
      Time& until = suspects_[each].probe_until;
      until = std::max(until, now + bound);
    }
  }
}

void Quarantine::RecordItemEnd(std::span<const Fingerprint> item, Time now) {
  for (const Culprit& culprit : culprits_) {
    if (!IsInvolved(item, culprit) || IsDeciding(item, culprit)) continue;
    for (const Fingerprint& each : item) {
      const auto found = suspects_.find(each);
      if (found == suspects_.end()) continue;
      found->second.probe_until = std::min(found->second.probe_until, now);
    }
  }
}

std::vector<Crash> Quarantine::RecordSound(std::span<const Fingerprint> suspects, Time now) {
  std::vector<Crash> withdrawn;
  for (const Fingerprint& each : suspects) {
    if (IsPart(each)) {
      if (cleared_.size() >= kMaxClearedParts) {
        std::erase_if(cleared_,
                      [now](const auto& part) { return now - part.second > kClearedFor; });
      }
      if (cleared_.size() < kMaxClearedParts) cleared_[each] = now;
    }
    const auto found = suspects_.find(each);
    if (found == suspects_.end()) continue;
    for (const auto& [process, seen] : found->second.crashes) withdrawn.push_back({each, process});
  }
  for (const Crash& crash : withdrawn) Remove(crash);
  return withdrawn;
}

bool Quarantine::IsCleared(const Fingerprint& part, Time now) const {
  const auto found = cleared_.find(part);
  return found != cleared_.end() && now - found->second <= kClearedFor;
}

std::vector<Crash> Quarantine::ExcessReports() const {
  if (reports_ <= kMaxReports) return {};
  std::vector<std::tuple<int, Time, Crash>> order;
  for (const auto& [fingerprint, suspect] : suspects_) {
    for (const auto& [process, seen] : suspect.crashes) {
      order.emplace_back(seen.chain, seen.at, Crash{fingerprint, process});
    }
  }
  const auto surplus = static_cast<std::ptrdiff_t>(reports_ - kMaxReports);
  std::partial_sort(order.begin(), order.begin() + surplus, order.end());
  std::vector<Crash> crashes;
  for (auto each = order.begin(); each != order.begin() + surplus; ++each) {
    crashes.push_back(std::get<Crash>(*each));
  }
  return crashes;
}

}  // namespace figmill
