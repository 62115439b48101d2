// Run times, and the waits that follow from them.

#include <algorithm>
#include <cmath>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// Weight of the moving average of run times: the last 16 reports make up most of it.
constexpr int kRunTimeSamples = 16;

}  // namespace

ExpectedCompletions SlotAllocator::CompletionsWithin(const SlotRequest& request, Duration span,
                                                     Time now) const {
  const Duration usual = TypicalRunTime(request.service);
  ExpectedCompletions all;
  for (const auto& [id, owned] : backends_) {
    if (!IsEligible(id, owned, request)) continue;
    const ExpectedCompletions ends = owned.run_starts.CompletionsWithin(span, usual, now);
    all.mean += ends.mean;
    all.variance += ends.variance;
  }
  return all;
}

int SlotAllocator::SpareSlots(const ServiceName& service) const {
  int free = 0;
  for (const auto& [id, owned] : backends_) {
    if (owned.info.service != service || owned.info.frozen) continue;
    free += std::max(0, owned.info.slots - OnlineOf(owned) - BatchOf(owned));
  }
  const auto load = loads_.find(service);
  if (load == loads_.end()) return free;
  const double per_second = load->second.arrivals.PerSecond();
  return free - static_cast<int>(
                    std::ceil(per_second * std::chrono::duration<double>(kOnlineHeadroom).count()));
}

void SlotAllocator::UpdateRunTime(const ServiceName& service, Duration usual) {
  std::optional<Duration>& known = loads_[service].run_time;
  known = known ? *known + (usual - *known) / kRunTimeSamples : usual;
}

Duration SlotAllocator::TypicalRunTime(const ServiceName& service) const {
  const auto found = loads_.find(service);
  if (found == loads_.end()) return kDefaultRunTime;
  return found->second.run_time.value_or(kDefaultRunTime);
}

int SlotAllocator::SlotsFor(const SlotRequest& request) const {
  int slots = 0;
  for (const auto& [id, owned] : backends_) {
    if (IsEligible(id, owned, request)) slots += owned.info.slots;
  }
  return slots;
}

// All slots are taken: one becomes free every run time divided by their number.
std::optional<Duration> SlotAllocator::ExpectedWait(const SlotRequest& request,
                                                    std::size_t position) const {
  const int slots = SlotsFor(request);
  if (slots == 0) return std::nullopt;
  const Duration run = TypicalRunTime(request.service);
  return WaitBehindOthers(request, run * static_cast<Duration::rep>(position) / slots, run / slots);
}

}  // namespace figmill
