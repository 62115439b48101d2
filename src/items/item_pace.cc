#include <algorithm>

#include "figmill/items.h"

namespace figmill {
namespace {

Duration Microseconds(double time) {
  return Duration(static_cast<Duration::rep>(time));
}

double Count(Duration time) {
  return static_cast<double>(time.count());
}

}  // namespace

void ItemPace::RunEnded(std::uint64_t events, Duration length) {
  if (events == 0) return;
  run_us_ = run_us_ * (1 - kNewest) + Count(length);
  run_events_ = run_events_ * (1 - kNewest) + static_cast<double>(events);
}

void ItemPace::Whole(std::uint64_t events, Duration work, Duration took) {
  const auto all = static_cast<double>(events);
  item_events_ = item_events_ == 0 ? all : item_events_ * (1 - kNewest) + all * kNewest;
  if (work.count() <= 0) return;
  const double stretch = std::clamp(Count(took) / Count(work), 1.0, kLongestStretch);
  stretch_ = stretch_ * (1 - kNewest) + stretch * kNewest;
}

double ItemPace::Work() const {
  if (item_events_ == 0 || run_events_ == 0) return Count(kUsualWork);
  return item_events_ * run_us_ / run_events_;
}

double ItemPace::ShareLeft(std::uint64_t events) const {
  if (item_events_ == 0) return events == 0 ? 1 : kUnknownLeft;
  return std::clamp(1 - static_cast<double>(events) / item_events_, kLeastLeft, 1.0);
}

Duration ItemPace::WorkLeft(std::uint64_t events) const {
  return Microseconds(Work() * ShareLeft(events));
}

Duration ItemPace::TimeLeft(std::uint64_t events) const {
  const double left = ShareLeft(events);
  return Microseconds(Work() * left * (1 + (stretch_ - 1) * left));
}

}  // namespace figmill
