#include <algorithm>

#include "figmill/online.h"

namespace figmill {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

double TokenBucket::Level(Time now) {
  if (now > refilled_at_) {
    const double seconds = static_cast<double>((now - refilled_at_).count()) / kMicrosPerSecond;
    level_ = std::min(capacity_, level_ + rate_ * seconds);
    refilled_at_ = now;
  }
  return level_;
}

void TokenBucket::SetRate(double per_second, double capacity, Time now) {
  if (!filled_) {
    level_ = capacity;
    refilled_at_ = now;
    filled_ = true;
  }
  static_cast<void>(Level(now));
  rate_ = per_second;
  capacity_ = capacity;
  level_ = std::min(level_, capacity_);
}

Duration TokenBucket::Until(double n, Time now) {
  constexpr Duration kMaxWait{60'000'000};
  const double missing = n - Level(now);
  if (missing <= 0) return Duration{0};
  if (rate_ <= 0) return kMaxWait;
  return Duration(static_cast<std::int64_t>(
      std::min(missing / rate_ * kMicrosPerSecond, static_cast<double>(kMaxWait.count()))));
}

}  // namespace figmill
