// Where speeds differ: which slots online requests are likely to take back from a batch item before
// it gets far.

#include <algorithm>
#include <map>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// An item isn't begun on a slot that online requests reach unless the load is likely to stay low
// for this share of its run.
constexpr double kMinRunShare = 1.0;
// Weight of the newest item run.
constexpr double kNewestWeight = 0.1;

}  // namespace

void SlotAllocator::RecordReach(Time now) {
  std::map<std::pair<ServiceName, int>, int> online;
  for (const auto& [id, owned] : backends_) {
    online[{owned.info.service, owned.speed_class.value()}] += OnlineOf(owned);
  }
  for (const auto& [key, used] : online) {
    const auto load = loads_.find(key.first);
    if (load != loads_.end()) load->second.online_peaks[key.second].Record(used, now);
  }
  for (auto& [service, load] : loads_) load.lulls.Record(load.arrivals.PerSecond(), now);
}

// A run that ends although its slot was still granted was not preempted.
void SlotAllocator::RecordItemRuns(const OwnedBackend& owned, EntryShare& share, int batch,
                                   Time now) {
  std::deque<Time>& starts = share.item_starts;
  const auto running = static_cast<std::size_t>(batch);
  const bool preempted = share.allowed < share.batch;
  const auto load = loads_.find(owned.info.service);
  while (starts.size() > running) {
    const Duration length = now - starts.front();
    starts.pop_front();
    if (preempted || !owned.time_per_event || load == loads_.end()) continue;
    std::optional<double>& known = load->second.item_events;
    const double events =
        static_cast<double>(length.count()) / static_cast<double>(owned.time_per_event->count());
    known = known ? *known + (events - *known) * kNewestWeight : events;
  }
  while (starts.size() < running) starts.push_back(now);
}

bool SlotAllocator::FitsIntoLull(const OwnedBackend& owned, const ServiceLoad& load,
                                 Time now) const {
  const std::optional<Duration> left = load.lulls.ExpectedRemaining(now);
  if (!left || !load.item_events || !owned.time_per_event) return true;
  return static_cast<double>(left->count()) >=
         kMinRunShare * *load.item_events * static_cast<double>(owned.time_per_event->count());
}

int SlotAllocator::SlotsForItems(const OwnedBackend& owned, int free, Time now) const {
  const int spare = std::min(free, SpareSlots(owned.info.service));
  if (!SpeedsDifferIn(owned.info.service)) return spare;
  const ServiceLoad& load = loads_.at(owned.info.service);
  if (FitsIntoLull(owned, load, now)) return spare;
  const int speed_class = owned.speed_class.value();
  int unreached = 0;
  for (const auto& [id, other] : backends_) {
    if (other.info.service != owned.info.service || other.info.frozen) continue;
    if (other.speed_class.value() == speed_class) unreached += other.info.slots - BatchOf(other);
  }
  const auto peak = load.online_peaks.find(speed_class);
  if (peak != load.online_peaks.end()) unreached -= static_cast<int>(peak->second.value());
  return std::clamp(unreached, 0, std::max(spare, 0));
}

}  // namespace figmill
