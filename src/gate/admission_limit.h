#pragma once

// Limits the number of concurrent online streams so that 95 of 100 token gaps stay
// within the target. The gap is predicted by a line fitted to the gaps over the
// running count, plus the 95th percentile of the excess over that line (steps that
// prefill prompts); the limit is the count at which the sum reaches the target.
// Chosen over AIMD, two gradient rules and the drop rule of NFV-Throttle by
// bench/admission_bench.cc; docs/design/gate.md has the table.

#include "figmill/base.h"
#include "gate/token_gap_model.h"

namespace figmill::detail {

class AdmissionLimit {
 public:
  AdmissionLimit(Duration target_gap, int max_running);
  void SetTarget(Duration target_gap) { target_gap_ = target_gap; }
  // Adds one online token gap, measured while `running` streams of both classes ran.
  void AddGap(Duration gap, int running);
  [[nodiscard]] int limit() const;

 private:
  Duration target_gap_;
  int max_running_;
  TokenGapModel token_gap_model_;
  double excess_p95_us_ = 0;
  double peak_running_ = 0;  // decaying maximum of the running count
};

}  // namespace figmill::detail
