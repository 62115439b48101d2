// Who may wait: runs under way, arrivals, and the queue's admission.

#include <algorithm>
#include <cmath>

#include "figmill/overload.h"

namespace figmill {
namespace {

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

// Of a run that has gone on for `age`: that it ends within `span`.
double ChanceOfEnd(double age, double span, double usual, double scale) {
  const auto lasts_beyond = [usual, scale](double length) {
    return 1 / (1 + std::exp((length - usual) / scale));
  };
  return 1 - lasts_beyond(age + span) / lasts_beyond(age);
}

}  // namespace

void RunAges::SetCount(std::size_t count, Time now) {
  while (began_.size() > count) began_.pop_front();
  while (began_.size() < count) began_.push_back(now);
}

ExpectedEnds RunAges::EndsWithin(Duration span, Duration usual_run, Time now) const {
  ExpectedEnds ends;
  const double usual = Seconds(usual_run);
  for (const Time& began : began_) {
    const double chance = ChanceOfEnd(Seconds(now - began), Seconds(span), usual, usual * kSpread);
    ends.mean += chance;
    ends.variance += chance * (1 - chance);
  }
  return ends;
}

void ArrivalRate::Count(int requests, Time now) {
  counted_ += requests;
  if (since_ == Time{}) since_ = now;
  if (now - since_ < kSpan) return;
  per_s_ = per_s_ * (1 - kNewest) + counted_ / Seconds(now - since_) * kNewest;
  counted_ = 0;
  since_ = now;
}

bool QueueAdmission::Admits(std::size_t before, const ExpectedEnds& ends) const {
  const double sure = ends.mean - margin_ * std::sqrt(ends.variance);
  return static_cast<double>(before) + 1 <= sure;
}

// Both steps together leave the margin where it is when kMissShare of the requests wait in vain.
void QueueAdmission::Served() {
  margin_ = std::max(kLeastMargin, margin_ - kStep * kMissShare / (1 - kMissShare));
}

void QueueAdmission::WaitedInVain() {
  margin_ = std::min(kMostMargin, margin_ + kStep);
}

}  // namespace figmill
