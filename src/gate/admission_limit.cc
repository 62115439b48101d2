#include "gate/admission_limit.h"

#include <algorithm>
#include <cmath>

namespace figmill::detail {
namespace {

constexpr double kFirstLimit = 32;  // until more has been seen to run
// The line is trusted up to so many times the concurrency that was measured. A
// fit to a quiet engine has hardly a slope and would let a burst in at once.
constexpr double kReach = 2;
constexpr double kPeakDecay = 0.9999;  // per gap
constexpr double kQuantile = 0.95;
constexpr double kQuantileStep = 0.0005;  // of the predicted gap, per gap

}  // namespace

AdmissionLimit::AdmissionLimit(Duration target_gap, int max_running)
    : target_gap_(target_gap), max_running_(max_running) {}

void AdmissionLimit::AddGap(Duration gap, int running) {
  model_.Add(running, gap);
  peak_ = std::max<double>(running, peak_ * kPeakDecay);
  const double line = model_.Predict(running);
  const bool above = static_cast<double>(gap.count()) - line > spread_us_;
  spread_us_ += kQuantileStep * line * (above ? kQuantile : kQuantile - 1);
}

int AdmissionLimit::limit() const {
  const double fitted = model_.RunningAt(static_cast<double>(target_gap_.count()) - spread_us_);
  const double trusted = std::max(kFirstLimit, kReach * peak_);
  return static_cast<int>(std::clamp<double>(std::min(fitted, trusted), 1, max_running_));
}

}  // namespace figmill::detail
