#pragma once

// How fast each engine that this entry allocates is taken to be, as metrics.

#include <set>

#include "figmill/observe.h"
#include "figmill/sharing.h"

namespace figmill {

class EngineSpeedMetrics {
 public:
  explicit EngineSpeedMetrics(Metrics& metrics) : metrics_(metrics) {}
  void Update(const SlotAllocator& allocator);

 private:
  void Set(const BackendId& backend, Duration time_per_event, int speed_class);

  Metrics& metrics_;
  std::set<BackendId> shown_;  // engines whose speed was known at the last update
};

}  // namespace figmill
