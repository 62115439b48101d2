// Speeds of engines, as their allocators grant them.

#include <algorithm>

#include "figmill/fleet.h"

namespace figmill {

std::optional<Duration> BackendPool::FastestOf(const ServiceName& service) const {
  std::vector<Duration> times;
  for (const auto& [id, backend] : backends_) {
    if (backend.info.service == service && backend.time_per_event)
      times.push_back(*backend.time_per_event);
  }
  if (!SpeedsDiffer(times)) return std::nullopt;
  return *std::min_element(times.begin(), times.end());
}

int BackendPool::SpeedClassOf(const BackendId& id, std::optional<Duration> fastest) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? 0 : ClassOf(found->second, fastest);
}

int BackendPool::ClassOf(const Backend& backend, std::optional<Duration> fastest) {
  if (!fastest || !backend.time_per_event) return 0;
  SpeedClass speed_class;
  speed_class.Update(*backend.time_per_event, *fastest);
  return speed_class.value();
}

void BackendPool::KeepFastest(std::vector<const Backend*>& candidates,
                              std::optional<Duration> fastest) {
  if (!fastest || candidates.empty()) return;
  int best = SpeedClass::kSlowest;
  for (const Backend* each : candidates) best = std::min(best, ClassOf(*each, fastest));
  std::erase_if(candidates, [&](const Backend* each) { return ClassOf(*each, fastest) > best; });
}

void FreeSlots::Add(int speed_class, int slots, int free) {
  Slots& known = classes_[speed_class];
  known.slots += slots;
  known.free += free;
}

void FreeSlots::SetTotals(int slots, int online) {
  if (classes_.size() <= 1) {
    classes_ = {
        {classes_.empty() ? 0 : classes_.begin()->first, {slots, std::max(0, slots - online)}}};
    return;
  }
  for (auto& [speed_class, known] : classes_) {
    const int used = std::min(online, known.slots);
    known.free = known.slots - used;
    online -= used;
  }
}

double FreeSlots::Score() const {
  double free = 0;
  double slots = 0;
  double slower = 0;
  for (const auto& [speed_class, known] : classes_) {
    free += known.free;
    slots += known.slots;
    slower += static_cast<double>(speed_class) * known.free;
  }
  if (free == 0) return 0;
  return free / slots / (1 + kSlowerPenalty * slower / free);
}

bool FreeSlots::any() const {
  return std::any_of(classes_.begin(), classes_.end(),
                     [](const auto& each) { return each.second.free > 0; });
}

}  // namespace figmill
