// Retry delays for refused callers, last-try admission, and detection of retries.

#include <algorithm>

#include "figmill/overload.h"

namespace figmill {

void OverloadTracker::OnRefused(Time now) {
  if (last_refusal_ == Time{} || now - last_refusal_ > kQuietPeriod) {
    if (last_refusal_ != Time{}) durations_.push_back(last_refusal_ - start_);
    if (durations_.size() > kMaxDurations) durations_.pop_front();
    start_ = now;
  }
  last_refusal_ = now;
}

std::optional<Duration> OverloadTracker::ExpectedRemaining(Time now) const {
  const Duration so_far = now - start_;
  Duration sum{0};
  int longer = 0;
  for (const Duration duration : durations_) {
    if (duration <= so_far) continue;
    sum += duration - so_far;
    ++longer;
  }
  if (longer == 0) return std::nullopt;
  return sum / longer;
}

Duration RetryScheduler::ScheduleRetry(const RefusedRequest& refused, Time now) {
  tracker_.OnRefused(now);
  const auto max_delay = std::chrono::duration_cast<Duration>(refused.time_left * kMaxDelayShare);
  const std::optional<Duration> remaining = tracker_.ExpectedRemaining(now);
  if (!remaining) return max_delay;
  const Time at = std::max(now + std::max(*remaining, refused.expected_wait), next_retry_);
  if (at - now >= max_delay) return max_delay;
  next_retry_ = at + refused.slot_interval * kSlotsPerRetry;
  return at - now;
}

bool LastTryAdmission::Admits(const Attempt& attempt, const OverloadTracker& tracker, Time now) {
  if (tracker.start() != overload_start_) Reset(tracker.start());
  const Duration max_wait = attempt.time_left - attempt.run;
  const Duration remaining = tracker.ExpectedRemaining(now).value_or(Duration{0});
  return std::max(attempt.expected_wait, remaining) <= max_wait && expired_ <= served_;
}

bool RetryDetector::IsRetry(const std::string& route, Duration time_left, Time now) {
  MaxTimeLeft& longest = max_time_left_[route];
  if (now - longest.since >= kSpan) {
    longest.last = now - longest.since < 2 * kSpan ? longest.present : Duration{0};
    longest.present = Duration{0};
    longest.since = now;
  }
  longest.present = std::max(longest.present, time_left);
  return time_left + kSlack < std::max(longest.present, longest.last);
}

}  // namespace figmill
