// Speeds of the owned engines, from the reports of all entries.

#include <algorithm>
#include <map>

#include "figmill/sharing.h"

namespace figmill {

void SlotAllocator::RecordTiming(OwnedBackend& owned, EntryShare& share,
                                 const SlotReport::Line& line, Time now) {
  // The totals of an entry that is new here include runs from before this allocator took over.
  const bool known = share.timing.events > 0;
  const EventTiming added = AddedSince(share.timing, line.timing);
  share.timing = line.timing;
  if (known) owned.speed.Record(added, now);
}

void SlotAllocator::UpdateSpeeds(Time now) {
  std::map<ServiceName, std::vector<Duration>> times;
  for (auto& [id, owned] : backends_) {
    owned.time_per_event = owned.speed.TimePerEvent(now);
    if (owned.time_per_event) times[owned.info.service].push_back(*owned.time_per_event);
  }
  for (const auto& [service, known] : times) {
    if (SpeedsDiffer(known)) loads_[service];
  }
  for (auto& [service, load] : loads_) {
    std::vector<Duration>& known = times[service];
    if (load.fastest && !known.empty()) known.push_back(*load.fastest);
    load.speeds_differ = !known.empty() && (load.fastest || SpeedsDiffer(known));
  }
  for (auto& [id, owned] : backends_) {
    const std::vector<Duration>& known = times[owned.info.service];
    const bool differ = SpeedsDifferIn(owned.info.service);
    UpdateSpeedClass(
        id, owned,
        differ ? std::optional(*std::min_element(known.begin(), known.end())) : std::nullopt);
  }
}

void SlotAllocator::UpdateSpeedClass(const BackendId& id, OwnedBackend& owned,
                                     std::optional<Duration> fastest) {
  const int before = owned.speed_class.value();
  if (fastest && owned.time_per_event) {
    owned.speed_class.Update(*owned.time_per_event, *fastest);
  } else {
    owned.speed_class = {};
  }
  if (owned.speed_class.value() == before) return;
  speed_changes_.push_back({id, owned.info.service, owned.speed_class.value(),
                            owned.time_per_event.value_or(Duration{0}),
                            fastest.value_or(Duration{0})});
}

bool SlotAllocator::SpeedsDifferIn(const ServiceName& service) const {
  const auto load = loads_.find(service);
  return load != loads_.end() && load->second.speeds_differ;
}

void SlotAllocator::ForEachSpeed(
    const std::function<void(const BackendId& backend, Duration time_per_event, int speed_class)>&
        visit) const {
  for (const auto& [id, owned] : backends_) {
    if (owned.time_per_event) visit(id, *owned.time_per_event, owned.speed_class.value());
  }
}

}  // namespace figmill
