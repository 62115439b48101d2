#include "figmill/quarantine.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace figmill {

const Quarantine::SeenCrash& Quarantine::LongestChain(const SuspectRequest& suspect) {
  return std::max_element(suspect.crashes.begin(), suspect.crashes.end(),
                          [](const auto& a, const auto& b) {
                            return std::pair(a.second.chain, a.second.at) <
                                   std::pair(b.second.chain, b.second.at);
                          })
      ->second;
}

bool Quarantine::IsQuarantined(const SuspectRequest& suspect) {
  return !suspect.crashes.empty() && LongestChain(suspect).chain >= kOnline.min_chain;
}

void Quarantine::Add(const CrashReport& report, Time seen_at) {
  SuspectRequest& suspect = suspects_[report.crash.request];
  const bool before = IsQuarantined(suspect);
  const auto [found, inserted] =
      suspect.crashes.try_emplace(report.crash, SeenCrash{report.chain, seen_at});
  if (inserted) ++reports_;
  // A duplicate report keeps the time of the first one, unless its chain is longer.
  if (!inserted && report.chain > found->second.chain) found->second = {report.chain, seen_at};
  if (!before && IsQuarantined(suspect)) ++quarantined_;
}

void Quarantine::Remove(const Crash& crash) {
  const auto found = suspects_.find(crash.request);
  if (found == suspects_.end()) return;
  SuspectRequest& suspect = found->second;
  const bool before = IsQuarantined(suspect);
  reports_ -= suspect.crashes.erase(crash);
  if (before && !IsQuarantined(suspect)) --quarantined_;
  if (suspect.crashes.empty()) suspects_.erase(found);
}

int Quarantine::NextChainLength(const RequestFingerprint& request, Time started_at) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) return 1;
  int before = 0;
  for (const auto& [crash, seen] : found->second.crashes) {
    if (seen.at <= started_at) before = std::max(before, seen.chain);
  }
  return std::min(before + 1, CrashReport::kMaxChain);
}

int Quarantine::ChainLength(const RequestFingerprint& request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? 0 : LongestChain(found->second).chain;
}

// Spreads the ends of a quarantine over the entries. Otherwise all of them would probe with the
// next attempts that arrive, and lose a backend server each.
std::optional<Duration> Quarantine::QuarantinePeriod(const RequestFingerprint& request,
                                                     const Policy& policy, int chain) const {
  if (chain >= CrashReport::kMaxChain) return std::nullopt;
  const auto weight = static_cast<double>(RendezvousWeight(request.value, self_.value));
  const double spread = weight / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const Duration period = policy.initial_period * (1 << (chain - policy.min_chain));
  return period + std::chrono::duration_cast<Duration>(period * spread);
}

std::optional<Duration> Quarantine::TimeLeft(const RequestFingerprint& request, WorkClass work,
                                             Time now) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) return std::nullopt;
  const Policy& policy = work == WorkClass::kBatch ? kBatch : kOnline;
  const SeenCrash& last = LongestChain(found->second);
  if (last.chain < policy.min_chain) return std::nullopt;
  const std::optional<Duration> period = QuarantinePeriod(request, policy, last.chain);
  if (!period) return kMaxRetryAfter;
  const Time until = std::max(last.at + *period, found->second.probe_until);
  if (now >= until) return std::nullopt;
  return until - now;
}

void Quarantine::RecordStart(const RequestFingerprint& request, Time now) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || !IsQuarantined(found->second)) return;
  found->second.probe_until = now + kProbeTimeout;
}

std::vector<Crash> Quarantine::RecordCompletion(const RequestFingerprint& request) {
  std::vector<Crash> withdrawn;
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) return withdrawn;
  for (const auto& [crash, seen] : found->second.crashes) withdrawn.push_back(crash);
  for (const Crash& crash : withdrawn) Remove(crash);
  return withdrawn;
}

std::vector<Crash> Quarantine::ExcessReports() const {
  if (reports_ <= kMaxReports) return {};
  std::vector<std::pair<std::pair<int, Time>, const Crash*>> order;
  for (const auto& [request, suspect] : suspects_) {
    for (const auto& [crash, seen] : suspect.crashes) {
      order.emplace_back(std::pair(seen.chain, seen.at), &crash);
    }
  }
  const auto surplus = static_cast<std::ptrdiff_t>(reports_ - kMaxReports);
  std::partial_sort(order.begin(), order.begin() + surplus, order.end());
  std::vector<Crash> crashes;
  for (auto each = order.begin(); each != order.begin() + surplus; ++each) {
    crashes.push_back(*each->second);
  }
  return crashes;
}

}  // namespace figmill
