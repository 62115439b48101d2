// Admission to the queue of a service with few slots.

#include <algorithm>

#include "figmill/overload.h"

namespace figmill {

DeadlineLine::Decision DeadlineLine::Decide(const Request& request, std::span<const Time> waiting,
                                            const Forecast& forecast, Time now) {
  ForgetMissingReturns(now);
  // The time since the last start was idle.
  if (waiting.empty()) last_start_.reset();
  if (request.last_try) OnReturn();
  if (request.goal_start > now && Fits(request.goal_start, waiting, forecast, now)) {
    return Admit(request.goal_start);
  }
  if (request.last_try && CanStartBy(request.last_start, waiting, forecast, now)) {
    return Admit(request.last_start);
  }
  ++counts_.refused;
  return Refused{Refuse(request, waiting.size(), forecast, now)};
}

DeadlineLine::Decision DeadlineLine::Admit(Time start_by) {
  ++counts_.admitted;
  return Admitted{start_by};
}

// No margin, and no regard to those after it: refused again it is certainly not served.
bool DeadlineLine::CanStartBy(Time start_by, std::span<const Time> waiting,
                              const Forecast& forecast, Time now) {
  const auto ahead = std::upper_bound(waiting.begin(), waiting.end(), start_by) - waiting.begin();
  return start_by > now && static_cast<double>(ahead + 1) <= forecast(start_by - now).mean;
}

bool DeadlineLine::Fits(Time start_by, std::span<const Time> waiting, const Forecast& forecast,
                        Time now) const {
  std::vector<Time> all(waiting.begin(), waiting.end());
  for (const Return& each : returns_) all.push_back(each.last_start);
  std::sort(all.begin(), all.end());
  auto at = std::upper_bound(all.begin(), all.end(), start_by);
  at = all.insert(at, start_by);
  for (; at != all.end(); ++at) {
    const auto ahead = static_cast<std::size_t>(at - all.begin());
    if (!admission_.Admits(ahead, forecast(*at - now))) return false;
  }
  return true;
}

Duration DeadlineLine::Refuse(const Request& request, std::size_t waiting, const Forecast& forecast,
                              Time now) {
  const auto max_delay =
      std::chrono::duration_cast<Duration>(request.time_left * RetryScheduler::kMaxDelayShare);
  if (request.last_try) return max_delay;
  const auto before = static_cast<double>(waiting + returns_.size());
  Duration delay = kDelayStep;
  while (delay < max_delay && forecast(delay).mean < before) delay += kDelayStep;
  delay = std::min(delay, max_delay);
  const Return expected{now + delay, request.last_start};
  if (returns_.size() < kMaxReturns) {
    const auto at =
        std::upper_bound(returns_.begin(), returns_.end(), expected,
                         [](const Return& a, const Return& b) { return a.due < b.due; });
    returns_.insert(at, expected);
  }
  return delay;
}

// The caller returns through any entry, so it isn't known which one it is: the one due first.
void DeadlineLine::OnReturn() {
  if (!returns_.empty()) returns_.erase(returns_.begin());
}

void DeadlineLine::ForgetMissingReturns(Time now) {
  std::erase_if(returns_, [now](const Return& each) { return now >= each.due + kReturnGrace; });
}

void DeadlineLine::OnServed(bool others_wait, int slots, Time now) {
  admission_.OnServed();
  if (last_start_) {
    const Duration slot_time = (now - *last_start_) * slots;
    intervals_ = std::min(intervals_ + 1, kIntervalSamples);
    mean_slot_time_ += (slot_time - mean_slot_time_) / intervals_;
  }
  last_start_ = others_wait ? std::optional<Time>(now) : std::nullopt;
}

std::optional<Duration> DeadlineLine::slot_time() const {
  if (intervals_ < kMinIntervals) return std::nullopt;
  return mean_slot_time_;
}

Duration DeadlineLine::OnExpired(const Request& request, std::size_t waiting,
                                 const Forecast& forecast, Time now) {
  admission_.OnExpired();
  ++counts_.missed;
  return Refuse(request, waiting, forecast, now);
}

}  // namespace figmill
