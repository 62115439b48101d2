#include "gate/admission_limit.h"

#include <algorithm>
#include <cmath>

namespace figmill::detail {
namespace {

constexpr double kInitialLimit = 32;  // until a higher concurrency was measured
// The fit is trusted up to so many times the measured concurrency. A fit to a lightly
// loaded engine has almost no slope and would admit a whole burst at once.
constexpr double kMaxExtrapolation = 2;
constexpr double kPeakDecay = 0.9999;  // per sample
constexpr double kQuantile = 0.95;
constexpr double kQuantileStep = 0.0005;  // share of the predicted gap, per sample

}  // namespace

AdmissionLimit::AdmissionLimit(Duration target_gap, int max_running)
    : target_gap_(target_gap), max_running_(max_running) {}

void AdmissionLimit::AddGap(Duration gap, int running) {
  token_gap_model_.Add(running, gap);
  peak_running_ = std::max<double>(running, peak_running_ * kPeakDecay);
  const double predicted = token_gap_model_.Predict(running);
  const bool above = static_cast<double>(gap.count()) - predicted > excess_p95_us_;
  excess_p95_us_ += kQuantileStep * predicted * (above ? kQuantile : kQuantile - 1);
}

int AdmissionLimit::limit() const {
  const double gap = token_gap_model_.ReachableGap(static_cast<double>(target_gap_.count()));
  const double fitted = token_gap_model_.RunningAt(gap - excess_p95_us_);
  const double trusted = std::max(kInitialLimit, kMaxExtrapolation * peak_running_);
  return static_cast<int>(std::clamp<double>(std::min(fitted, trusted), 1, max_running_));
}

}  // namespace figmill::detail
