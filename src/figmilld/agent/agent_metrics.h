#pragma once

// Metrics of an agent (docs/operations/overload.md).

#include <memory>

#include "figmill/gate.h"
#include "figmill/runtime.h"

namespace figmill {

// Measures the time from an online arrival until the backend server has confirmed the stop
// of the last batch stream that the arrival preempted.
struct BatchStopTimer {
  Time arrival_time;
  int pending_stops = 0;
};

class AgentMetrics {
 public:
  explicit AgentMetrics(Metrics& metrics);
  void Update(const SchedulerStats& counts);
  void CountRefusal(const Error& error, WorkClass work_class);
  void RecordBatchStop(Duration time);
  void CountTokensKept(std::uint64_t tokens) { tokens_kept_.Add(tokens); }
  void CountTokensRerun(std::uint64_t tokens) { tokens_rerun_.Add(tokens); }
  void CountTokens(WorkClass work_class, std::uint64_t tokens);

 private:
  Metrics& metrics_;
  Distribution& stop_seconds_;
  Counter& tokens_kept_;
  Counter& tokens_rerun_;
  Counter& online_tokens_;
  Counter& batch_tokens_;
  Counter& batch_stops_;
  std::uint64_t reported_stops_ = 0;
};

}  // namespace figmill
