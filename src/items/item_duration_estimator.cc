#include <algorithm>

#include "figmill/items.h"

namespace figmill {
namespace {

Duration Microseconds(double time) {
  return Duration(static_cast<Duration::rep>(time));
}

double ToMicroseconds(Duration time) {
  return static_cast<double>(time.count());
}

}  // namespace

void ItemDurationEstimator::OnRunEnded(std::uint64_t events, Duration length) {
  if (events == 0) return;
  run_us_ = run_us_ * (1 - kNewestWeight) + ToMicroseconds(length);
  run_events_ = run_events_ * (1 - kNewestWeight) + static_cast<double>(events);
}

void ItemDurationEstimator::OnCompleted(std::uint64_t events, Duration work, Duration took) {
  const auto total_events = static_cast<double>(events);
  item_events_ = item_events_ == 0
                     ? total_events
                     : item_events_ * (1 - kNewestWeight) + total_events * kNewestWeight;
  if (work.count() <= 0) return;
  const double slowdown =
      std::clamp(ToMicroseconds(took) / ToMicroseconds(work), 1.0, kMaxSlowdown);
  slowdown_ = slowdown_ * (1 - kNewestWeight) + slowdown * kNewestWeight;
}

double ItemDurationEstimator::ExpectedWork() const {
  if (item_events_ == 0 || run_events_ == 0) return ToMicroseconds(kDefaultWork);
  return item_events_ * run_us_ / run_events_;
}

double ItemDurationEstimator::RemainingShare(std::uint64_t events) const {
  if (item_events_ == 0) return events == 0 ? 1 : kDefaultRemainingShare;
  return std::clamp(1 - static_cast<double>(events) / item_events_, kMinRemainingShare, 1.0);
}

Duration ItemDurationEstimator::RemainingWork(std::uint64_t events) const {
  return Microseconds(ExpectedWork() * RemainingShare(events));
}

Duration ItemDurationEstimator::TimeToFinish(std::uint64_t events) const {
  const double share = RemainingShare(events);
  return Microseconds(ExpectedWork() * share * (1 + (slowdown_ - 1) * share));
}

}  // namespace figmill
