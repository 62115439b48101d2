#include "figmill/engine_speed.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace figmill {
namespace {

// Range of times per event that can be encoded.
constexpr Duration kShortest{100};
constexpr double kCodeStep = 1.07;
// Longer times come from runs that stood still.
constexpr Duration kLongest{500'000};

}  // namespace

EventTiming AddedSince(const EventTiming& before, const EventTiming& total) {
  if (total.events < before.events || total.time < before.time) return {};
  return {total.events - before.events, total.time - before.time};
}

EventTiming RunTimer::Update(std::uint64_t events, Time now) {
  if (events <= events_) return {};
  const std::uint64_t added = events - std::exchange(events_, events);
  const std::optional<Time> last = std::exchange(last_event_at_, now);
  if (!last) return {};
  return {added, now - *last};
}

void EngineSpeed::Record(const EventTiming& timing, Time now) {
  if (timing.events == 0 || timing.time <= Duration{0}) return;
  if (span_.events == 0) span_since_ = std::max(now - kSpan, last_span_at_);
  span_ += timing;
  if (span_.events < kEventsPerSpan || now - span_since_ < kSpan) return;
  const Duration mean = span_.time / static_cast<Duration::rep>(span_.events);
  span_ = {};
  if (now - last_span_at_ > kMaxAge) spans_.clear();
  last_span_at_ = now;
  spans_.push_back(std::clamp(mean, kShortest, kLongest));
  if (spans_.size() > kSpans) spans_.pop_front();
}

std::optional<Duration> EngineSpeed::TimePerEvent(Time now) const {
  if (spans_.size() < kMinSpans || now - last_span_at_ > kMaxAge) return std::nullopt;
  std::vector<Duration> sorted(spans_.begin(), spans_.end());
  const std::size_t slow = std::min(kSlowSpansIgnored, sorted.size() - 2);
  const auto chosen = sorted.end() - 1 - static_cast<std::ptrdiff_t>(slow);
  std::nth_element(sorted.begin(), chosen, sorted.end());
  return *chosen;
}

bool SpeedClass::Update(Duration time_per_event, Duration fastest) {
  const double ratio = static_cast<double>(time_per_event.count()) /
                       static_cast<double>(std::max(fastest, Duration{1}).count());
  const int before = value_;
  const auto lower_limit = [](int value) { return std::pow(kSpeedClassRatio, value); };
  while (value_ < kSlowest && ratio >= lower_limit(value_ + 1) * (1 + kHysteresis)) ++value_;
  while (value_ > 0 && ratio < lower_limit(value_) * (1 - kHysteresis)) --value_;
  return value_ != before;
}

bool SpeedsDiffer(std::span<const Duration> times_per_event) {
  if (times_per_event.empty()) return false;
  const auto [fastest, slowest] =
      std::minmax_element(times_per_event.begin(), times_per_event.end());
  return static_cast<double>(slowest->count()) >=
         static_cast<double>(fastest->count()) * kSpeedClassRatio;
}

int EncodeTimePerEvent(std::optional<Duration> time_per_event) {
  if (!time_per_event) return 0;
  const double ratio = static_cast<double>(std::max(*time_per_event, kShortest).count()) /
                       static_cast<double>(kShortest.count());
  return std::min(1 + static_cast<int>(std::lround(std::log(ratio) / std::log(kCodeStep))),
                  kMaxSpeedCode);
}

std::optional<Duration> DecodeTimePerEvent(int code) {
  if (code <= 0 || code > kMaxSpeedCode) return std::nullopt;
  return Duration(static_cast<Duration::rep>(
      std::lround(static_cast<double>(kShortest.count()) * std::pow(kCodeStep, code - 1))));
}

}  // namespace figmill
