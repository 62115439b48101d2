#include "figmill/store_clock.h"

#include <algorithm>

namespace figmill {
namespace {

// The store's timestamps are whole milliseconds, rounded up or down.
constexpr Duration kResolution{1'000};

}  // namespace

bool StoreClock::AddSample(const Sample& sample) {
  received_at_ = sample.received_at;
  const Offset bounds{sample.store_time - sample.received_at - kResolution,
                      sample.store_time - sample.sent_at + kResolution};
  const bool fits = !offset_ || (bounds.lower <= offset_->upper && bounds.upper >= offset_->lower);
  if (!offset_ || !fits) {
    offset_ = bounds;
    return fits;
  }
  offset_->lower = std::max(offset_->lower, bounds.lower);
  offset_->upper = std::min(offset_->upper, bounds.upper);
  return true;
}

std::optional<StoreTime> StoreClock::Earliest(HostTime now) const {
  if (!offset_) return std::nullopt;
  return now + offset_->lower;
}

std::optional<StoreTime> StoreClock::Latest(HostTime now) const {
  if (!offset_) return std::nullopt;
  return now + offset_->upper;
}

std::optional<Duration> StoreClock::Age(HostTime now) const {
  if (!offset_) return std::nullopt;
  return now - received_at_;
}

}  // namespace figmill
