#pragma once

// How many online streams may run at once so that 95 in 100 token gaps stay
// within the target: a line fitted to the gaps over the running count, plus the
// 95th percentile of what lies above the line (steps that read prompts), solved
// for the target. Chosen over AIMD, two gradient rules and the drop rule of
// NFV-Throttle by bench/admission_bench.cc; docs/design/gate.md has the table.

#include "figmill/base.h"
#include "gate/step_model.h"

namespace figmill::detail {

class AdmissionLimit {
 public:
  AdmissionLimit(Duration target_gap, int max_running);
  void SetTarget(Duration target_gap) { target_gap_ = target_gap; }
  // One online token gap, while `running` streams of both classes ran.
  void AddGap(Duration gap, int running);
  [[nodiscard]] int limit() const;

 private:
  Duration target_gap_;
  int max_running_;
  StepModel model_;
  double spread_us_ = 0;
  double peak_ = 0;  // most that ran at once of late
};

}  // namespace figmill::detail
