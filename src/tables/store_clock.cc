#include "figmill/store_clock.h"

#include <algorithm>

namespace figmill {
namespace {

// The store's timestamps are whole milliseconds, rounded up or down.
constexpr Duration kResolution{1'000};

}  // namespace

bool StoreClock::Heard(const Answer& answer) {
  heard_at_ = answer.heard_at;
  const Offset bounds{answer.made_at - answer.heard_at - kResolution,
                      answer.made_at - answer.called_at + kResolution};
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
  return now - heard_at_;
}

}  // namespace figmill
