#pragma once

// How many online streams may run at once, sized by the token gap measured.

#include "figmill/base.h"
#include "gate/step_model.h"

namespace figmill::detail {

class AdmissionLimit {
 public:
  AdmissionLimit(Duration target_gap, int max_running);
  void SetTarget(Duration target_gap) { target_gap_ = target_gap; }
  // One online token gap, whatever else ran meanwhile.
  void AddGap(Duration gap, int running, Time now);
  [[nodiscard]] int limit() const;

 private:
  void CloseWindow(Time now);

  Duration target_gap_;
  int max_running_;
  double limit_;
  std::optional<Time> window_start_;
  double gap_sum_ = 0, running_sum_ = 0;
  int samples_ = 0;
};

}  // namespace figmill::detail
