#pragma once

// How much batch may run beside online. Alone, batch may fill the backend
// server up to the target gap. Beside online it may stretch online's token gap
// only by a small share of what online alone would see, so that batch can't be
// told from noise; the rest is stopped in the step in which online arrives.

#include <optional>

#include "figmill/control.h"
#include "figmill/platform.h"
#include "gate/step_model.h"

namespace figmill::detail {

struct YieldConfig {
  double harm = 0.04;
  Duration target_gap{61'000};
  bool reads_prompts = true;  // starts cost running streams a longer step
};

struct YieldLoad {
  int online = 0;  // run or wait for a place
  int batch_running = 0;
  int batch_reading = 0;  // of those, reading their prompt
};

class YieldPolicy {
 public:
  explicit YieldPolicy(const YieldConfig& config) : config_(config) {}
  void SetTargetGap(Duration target_gap) { config_.target_gap = target_gap; }
  void Report(const EngineLoad& load, Time now);
  // Batch streams that may run while `online` online streams run or wait, on an
  // engine of `places`.
  [[nodiscard]] int Limit(const StepModel& model, int online, int places, Time now) const;

  // --- Pace of starts: a prompt being read stretches every running stream's gap.
  void AddFirstToken(Duration wait, Duration gap);
  void Started(Time now) { last_start_ = now; }
  // How many batch streams may start now, with `room` up to the limit.
  [[nodiscard]] int MayStart(const StepModel& model, const YieldLoad& load, int room,
                             Time now) const;

 private:
  [[nodiscard]] bool MemoryShort(Time now) const;

  YieldConfig config_;
  std::optional<Time> reported_at_;
  EngineLoad load_;
  double window_ = 1;  // prompts that may be read at once
  std::optional<Time> last_start_;
};

}  // namespace figmill::detail
