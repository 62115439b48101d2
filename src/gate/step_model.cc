#include "gate/step_model.h"

#include <algorithm>

namespace figmill::detail {
namespace {

// Before anything is measured: a cautious guess that lets about thirty streams
// into the default target of 61 ms.
constexpr double kFirstBaseUs = 15'000;
constexpr double kFirstSlopeUs = 1'500;
constexpr double kForget = 0.9995;    // per sample: remembers about 2,000
constexpr double kMinVariance = 1.0;  // of the running count, below which no slope shows
constexpr double kMinSlopeUs = 1;

}  // namespace

StepModel::StepModel() : base_(kFirstBaseUs), slope_(kFirstSlopeUs) {}

void StepModel::Add(double running, Duration gap) {
  const auto us = static_cast<double>(gap.count());
  weight_ = weight_ * kForget + 1;
  x_ = x_ * kForget + running;
  y_ = y_ * kForget + us;
  xx_ = xx_ * kForget + running * running;
  xy_ = xy_ * kForget + running * us;
  Fit();
}

void StepModel::Fit() {
  const double mean_x = x_ / weight_;
  const double mean_y = y_ / weight_;
  const double variance = xx_ / weight_ - mean_x * mean_x;
  if (variance >= kMinVariance) {
    const double covariance = xy_ / weight_ - mean_x * mean_y;
    slope_ = std::max(kMinSlopeUs, covariance / variance);
  }
  // The line passes through the means; a negative base would make one stream
  // free, so then all of the gap counts as slope.
  base_ = mean_y - slope_ * mean_x;
  if (base_ < 0) {
    base_ = 0;
    slope_ = std::max(kMinSlopeUs, mean_y / std::max(mean_x, 1.0));
  }
}

}  // namespace figmill::detail
