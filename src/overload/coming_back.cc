// When refused callers come back, and how second tries are known.

#include <algorithm>

#include "figmill/overload.h"

namespace figmill {

void OverloadWatch::OnRefused(Time now) {
  if (last_ == Time{} || now - last_ > kCalm) {
    if (last_ != Time{}) lengths_.push_back(last_ - began_);
    if (lengths_.size() > kLengths) lengths_.pop_front();
    began_ = now;
  }
  last_ = now;
}

std::optional<Duration> OverloadWatch::ExpectedLeft(Time now) const {
  const Duration so_far = now - began_;
  Duration sum{0};
  int longer = 0;
  for (const Duration length : lengths_) {
    if (length <= so_far) continue;
    sum += length - so_far;
    ++longer;
  }
  if (longer == 0) return std::nullopt;
  return sum / longer;
}

Duration ReturnBook::ComeBackAfter(const Refused& refused, Time now) {
  watch_.OnRefused(now);
  const auto longest = std::chrono::duration_cast<Duration>(refused.time_left * kLongestShare);
  const std::optional<Duration> left = watch_.ExpectedLeft(now);
  if (!left) return longest;
  const Time at = std::max(now + std::max(*left, refused.expected), next_);
  if (at - now >= longest) return longest;
  next_ = at + refused.place_every * kPlacesPerReturn;
  return at - now;
}

bool LastChances::Admits(const Ask& ask, const OverloadWatch& watch, Time now) {
  if (watch.began() != overload_) Restart(watch.began());
  const Duration patience = ask.time_left - ask.run;
  const Duration left = watch.ExpectedLeft(now).value_or(Duration{0});
  return std::max(ask.expected, left) <= patience && in_vain_ <= served_;
}

bool FirstTries::IsSecond(const std::string& route, Duration time_left, Time now) {
  Longest& longest = longest_[route];
  if (now - longest.since >= kSpan) {
    longest.last = now - longest.since < 2 * kSpan ? longest.present : Duration{0};
    longest.present = Duration{0};
    longest.since = now;
  }
  longest.present = std::max(longest.present, time_left);
  return time_left + kSlack < std::max(longest.present, longest.last);
}

}  // namespace figmill
