#pragma once

// How the backend server's token gap grows with the streams it runs at once:
// gap = base + slope * running, fitted to measured gaps by least squares with
// exponential forgetting. Model engines batch continuously, so one step serves
// every running stream and a line fits well.

#include "figmill/base.h"

namespace figmill::detail {

class StepModel {
 public:
  StepModel();
  // A gap measured while `running` streams ran and none read its prompt.
  void Add(double running, Duration gap);
  [[nodiscard]] double Predict(double running) const { return base_ + slope_ * running; }
  // Streams at which the predicted gap reaches `gap_us`.
  [[nodiscard]] double RunningAt(double gap_us) const { return (gap_us - base_) / slope_; }
  [[nodiscard]] double base_us() const { return base_; }
  [[nodiscard]] double slope_us() const { return slope_; }

 private:
  void Fit();

  double weight_ = 0, x_ = 0, y_ = 0, xx_ = 0, xy_ = 0;
  double base_, slope_;  // microseconds
};

}  // namespace figmill::detail
