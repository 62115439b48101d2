#pragma once

// Limits the number of concurrent batch streams. Without online work, batch may
// load the backend server up to the target token gap. While online work runs,
// batch may increase the online token gap only by a small share of its value
// without batch, which is within the noise; excess batch streams are stopped in
// the step in which the online request arrives.

#include <optional>

#include "figmill/control.h"
#include "figmill/platform.h"
#include "gate/token_gap_model.h"

namespace figmill::detail {

struct BatchLimitConfig {
  double max_slowdown = 0.04;
  Duration target_gap{61'000};
  bool has_prefill = true;  // starting a stream lengthens a step of the running ones
};

struct StreamCounts {
  int online = 0;  // running or queued
  int batch_running = 0;
  int batch_prefilling = 0;  // of batch_running, without a first token yet
};

class BatchLimitPolicy {
 public:
  explicit BatchLimitPolicy(const BatchLimitConfig& config) : config_(config) {}
  void SetTargetGap(Duration target_gap) { config_.target_gap = target_gap; }
  void Report(const EngineLoad& load, Time now);
  // Batch streams that may run while `online` online streams run or wait, on an
  // engine with `slots` slots.
  [[nodiscard]] int Limit(const TokenGapModel& model, int online, int slots, Time now) const;

  // --- Rate of starts: a prefill lengthens the token gap of every running stream.
  void AddFirstToken(Duration wait, Duration gap);
  void BatchStarted(Time now) { last_start_ = now; }
  // How many batch streams may start now, when `free_slots` are left up to the limit.
  [[nodiscard]] int AllowedStarts(const TokenGapModel& model, const StreamCounts& load,
                                  int free_slots, Time now) const;

 private:
  [[nodiscard]] bool IsMemoryShort(Time now) const;

  BatchLimitConfig config_;
  std::optional<Time> reported_at_;
  EngineLoad load_;
  double prefill_window_ = 1;  // prompts that may be prefilled at once
  std::optional<Time> last_start_;
};

}  // namespace figmill::detail
