#pragma once

// Predicts the backend server's token gap from the number of concurrent streams:
// gap = base + slope * running, fitted to measured gaps by least squares with
// exponential forgetting. Model engines use continuous batching: one step serves
// every running stream, so the relation is close to linear.

#include "figmill/base.h"

namespace figmill::detail {

class TokenGapModel {
 public:
  TokenGapModel();
  // Adds a gap measured while `running` streams ran and none was in prefill.
  void Add(double running, Duration gap);
  [[nodiscard]] double Predict(double running) const { return base_ + slope_ * running; }
  // The gap to keep, in microseconds: the target, but on a backend server of which even a
  // single stream misses it, or nearly, a gap somewhat above that of a single stream. Fewer
  // streams would not be faster there, and all other callers would be refused.
  [[nodiscard]] double ReachableGap(double target_us) const;
  // Number of streams at which the predicted gap reaches `gap_us`.
  [[nodiscard]] double RunningAt(double gap_us) const { return (gap_us - base_) / slope_; }
  [[nodiscard]] double base_us() const { return base_; }
  [[nodiscard]] double slope_us() const { return slope_; }

 private:
  void Fit();

  double weight_ = 0, x_ = 0, y_ = 0, xx_ = 0, xy_ = 0;
  double base_, slope_;  // microseconds
};

}  // namespace figmill::detail
