#pragma once

// What an agent counts of its own work (docs/operations/overload.md).

#include <memory>

#include "figmill/gate.h"
#include "figmill/runtime.h"

namespace figmill {

// From an online arrival to the last confirmation that a batch stream which it
// displaced has stopped.
struct StopClock {
  Time arrived;
  int left = 0;
};

class AgentMetrics {
 public:
  explicit AgentMetrics(Metrics& metrics);
  void Set(const SchedulerStats& counts);
  void CountRefusal(const Error& error, WorkClass work_class);
  void BatchStopped(Duration time);
  void TokensKept(std::uint64_t tokens) { kept_.Add(tokens); }
  void TokensRerun(std::uint64_t tokens) { rerun_.Add(tokens); }
  void Tokens(WorkClass work_class, std::uint64_t tokens);

 private:
  Metrics& metrics_;
  Distribution& stop_seconds_;
  Counter& kept_;
  Counter& rerun_;
  Counter& online_tokens_;
  Counter& batch_tokens_;
  Counter& stops_;
  std::uint64_t stops_told_ = 0;
};

}  // namespace figmill
