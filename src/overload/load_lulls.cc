#include <algorithm>
#include <vector>

#include "figmill/overload.h"

namespace figmill {

void RecentPeak::Record(double value, Time now) {
  if (now - since_ >= kSpan) {
    last_ = now - since_ >= 2 * kSpan ? 0 : present_;
    present_ = 0;
    since_ = now;
  }
  present_ = std::max(present_, value);
}

void LoadLulls::Record(double load, Time now) {
  peak_.Record(load, now);
  const bool low = load < peak_.value() * kShareOfPeak;
  if (low == since_.has_value()) return;
  if (low) {
    since_ = now;
    return;
  }
  durations_.push_back(now - *since_);
  if (durations_.size() > kMaxDurations) durations_.pop_front();
  since_.reset();
}

std::optional<Duration> LoadLulls::ExpectedRemaining(Time now) const {
  if (!since_) return Duration{0};
  const Duration passed = now - *since_;
  std::vector<Duration> longer;
  for (const Duration each : durations_) {
    if (each > passed) longer.push_back(each);
  }
  if (longer.empty()) return std::nullopt;
  const auto middle = longer.begin() + static_cast<std::ptrdiff_t>(longer.size() / 2);
  std::nth_element(longer.begin(), middle, longer.end());
  return *middle - passed;
}

}  // namespace figmill
