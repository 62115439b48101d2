#include "figmill/store_clock.h"

#include <algorithm>

namespace figmill {
namespace {

// The store's timestamps are whole milliseconds, rounded up or down.
constexpr Duration kResolution{1'000};

}  // namespace

bool StoreClock::Heard(const Answer& answer) {
  heard_at_ = answer.heard_at;
  const Offset told{answer.made_at - answer.heard_at - kResolution,
                    answer.made_at - answer.called_at + kResolution};
  const bool fits = !offset_ || (told.least <= offset_->most && told.most >= offset_->least);
  if (!offset_ || !fits) {
    offset_ = told;
    return fits;
  }
  offset_->least = std::max(offset_->least, told.least);
  offset_->most = std::min(offset_->most, told.most);
  return true;
}

std::optional<StoreTime> StoreClock::Earliest(HostTime now) const {
  if (!offset_) return std::nullopt;
  return now + offset_->least;
}

std::optional<StoreTime> StoreClock::Latest(HostTime now) const {
  if (!offset_) return std::nullopt;
  return now + offset_->most;
}

std::optional<Duration> StoreClock::Age(HostTime now) const {
  if (!offset_) return std::nullopt;
  return now - heard_at_;
}

}  // namespace figmill
