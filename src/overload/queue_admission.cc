// Queue admission: runs in progress, arrival rate, and the safety margin.

#include <algorithm>
#include <cmath>

#include "figmill/overload.h"

namespace figmill {
namespace {

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

// Probability that a run of this age ends within `span`.
double CompletionProbability(double age, double span, double run_time_s, double scale) {
  const auto survival = [run_time_s, scale](double length) {
    return 1 / (1 + std::exp((length - run_time_s) / scale));
  };
  return 1 - survival(age + span) / survival(age);
}

}  // namespace

void RunStartTimes::SetCount(std::size_t count, Time now) {
  while (starts_.size() > count) starts_.pop_front();
  while (starts_.size() < count) starts_.push_back(now);
}

ExpectedCompletions RunStartTimes::CompletionsWithin(Duration span, Duration run_time,
                                                     Time now) const {
  ExpectedCompletions completions;
  const double run_time_s = Seconds(run_time);
  for (const Time& start : starts_) {
    const double probability = CompletionProbability(Seconds(now - start), Seconds(span),
                                                     run_time_s, run_time_s * kSpread);
    completions.mean += probability;
    completions.variance += probability * (1 - probability);
  }
  return completions;
}

void ArrivalRate::Count(int requests, Time now) {
  count_ += requests;
  if (since_ == Time{}) since_ = now;
  if (now - since_ < kSpan) return;
  per_second_ = per_second_ * (1 - kNewestWeight) + count_ / Seconds(now - since_) * kNewestWeight;
  count_ = 0;
  since_ = now;
}

bool QueueAdmission::Admits(std::size_t ahead, const ExpectedCompletions& completions) const {
  const double assured = completions.mean - margin_ * std::sqrt(completions.variance);
  return static_cast<double>(ahead) + 1 <= assured;
}

// Both steps together keep the margin constant when kTargetMissRatio of the requests expire.
void QueueAdmission::OnServed() {
  margin_ = std::max(kMinMargin, margin_ - kStep * kTargetMissRatio / (1 - kTargetMissRatio));
}

void QueueAdmission::OnExpired() {
  margin_ = std::min(kMaxMargin, margin_ + kStep);
}

}  // namespace figmill
