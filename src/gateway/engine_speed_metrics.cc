#include "gateway/engine_speed_metrics.h"

#include <string>
#include <utility>

namespace figmill {

void EngineSpeedMetrics::Set(const BackendId& backend, Duration time_per_event, int speed_class) {
  const std::string labels = "backend=\"" + backend.value + "\"";
  metrics_.gauge("figmill_engine_event_seconds", "Time per event of an engine; 0: unknown", labels)
      .Set(std::chrono::duration<double>(time_per_event).count());
  metrics_.gauge("figmill_engine_speed_class", "Class of an engine; 0: like the fastest", labels)
      .Set(speed_class);
}

void EngineSpeedMetrics::Update(const SlotAllocator& allocator) {
  std::set<BackendId> gone = std::exchange(shown_, {});
  allocator.ForEachSpeed([&](const BackendId& backend, Duration time_per_event, int speed_class) {
    Set(backend, time_per_event, speed_class);
    gone.erase(backend);
    shown_.insert(backend);
  });
  for (const BackendId& backend : gone) Set(backend, Duration{0}, 0);
}

}  // namespace figmill
