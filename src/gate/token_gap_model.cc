#include "gate/token_gap_model.h"

#include <algorithm>

namespace figmill::detail {
namespace {

// Initial values until gaps are measured: a cautious estimate that admits about
// thirty streams within the default target of 61 ms.
constexpr double kInitialBaseUs = 15'000;
constexpr double kInitialSlopeUs = 1'500;
constexpr double kDecay = 0.9995;     // per sample: averages over about 2,000
constexpr double kMinVariance = 1.0;  // of the running count; below it no slope can be fitted
constexpr double kMinSlopeUs = 1;
// A longer gap counts as this many predicted ones. A single stall of a second, of the engine or
// of a process, would outweigh hundreds of ordinary gaps, and the limit would fall to a few
// streams until as many new ones were measured. A lasting slowdown still shows in every gap.
constexpr double kMaxGapRatio = 4;
// Gap of many streams over that of a single one, where the target can't be kept.
constexpr double kMaxSlowdown = 1.25;

}  // namespace

TokenGapModel::TokenGapModel() : base_(kInitialBaseUs), slope_(kInitialSlopeUs) {}

void TokenGapModel::Add(double running, Duration gap) {
  const double us = std::min(static_cast<double>(gap.count()), kMaxGapRatio * Predict(running));
  weight_ = weight_ * kDecay + 1;
  x_ = x_ * kDecay + running;
  y_ = y_ * kDecay + us;
  xx_ = xx_ * kDecay + running * running;
  xy_ = xy_ * kDecay + running * us;
  Fit();
}

double TokenGapModel::ReachableGap(double target_us) const {
  return std::max(target_us, kMaxSlowdown * Predict(1));
}

void TokenGapModel::Fit() {
  const double mean_x = x_ / weight_;
  const double mean_y = y_ / weight_;
  const double variance = xx_ / weight_ - mean_x * mean_x;
  if (variance >= kMinVariance) {
    const double covariance = xy_ / weight_ - mean_x * mean_y;
    slope_ = std::max(kMinSlopeUs, covariance / variance);
  }
  // The line passes through the means. A negative base would predict a near-zero gap
  // for a single stream, so in that case all of the gap counts as slope.
  base_ = mean_y - slope_ * mean_x;
  if (base_ < 0) {
    base_ = 0;
    slope_ = std::max(kMinSlopeUs, mean_y / std::max(mean_x, 1.0));
  }
}

}  // namespace figmill::detail
