// Run times, and the waits that follow from them.

#include <algorithm>
#include <cmath>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// Weight of the moving average of run times: the last 16 reports make up most of it.
constexpr int kRunTimeSamples = 16;

// Variance of the run times of a small service, relative to the square of their mean: most vary by
// a half.
constexpr double kRunVariance = 0.25;

}  // namespace

ExpectedCompletions SlotAllocator::CompletionsWithin(const SlotRequest& request, Duration span,
                                                     Time now) const {
  ExpectedCompletions all;
  for (const auto& [id, owned] : backends_) {
    if (!IsEligible(id, owned, request)) continue;
    const ExpectedCompletions ends =
        owned.run_starts.CompletionsWithin(span, RunTimeOn(owned), now);
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

void SlotAllocator::UpdateRunTime(const OwnedBackend& owned, Duration usual) {
  ServiceLoad& load = loads_[owned.info.service];
  std::optional<Duration>& known = load.run_time;
  known = known ? *known + (usual - *known) / kRunTimeSamples : usual;
  if (!owned.time_per_event) return;
  const double events =
      static_cast<double>(usual.count()) / static_cast<double>(owned.time_per_event->count());
  load.run_events =
      load.run_events ? *load.run_events + (events - *load.run_events) / kRunTimeSamples : events;
}

Duration SlotAllocator::TypicalRunTime(const ServiceName& service) const {
  const auto found = loads_.find(service);
  if (found == loads_.end()) return kDefaultRunTime;
  return found->second.run_time.value_or(kDefaultRunTime);
}

Duration SlotAllocator::RunTimeOn(const OwnedBackend& owned) const {
  const auto found = loads_.find(owned.info.service);
  const bool differ = found != loads_.end() && found->second.speeds_differ;
  if (!differ || !found->second.run_events || !owned.time_per_event)
    return TypicalRunTime(owned.info.service);
  return Duration(static_cast<Duration::rep>(*found->second.run_events *
                                             static_cast<double>(owned.time_per_event->count())));
}

double SlotAllocator::CompletionsPerSecond(const SlotRequest& request) const {
  double per_second = 0;
  for (const auto& [id, owned] : backends_) {
    if (!IsEligible(id, owned, request)) continue;
    per_second += owned.info.slots / std::chrono::duration<double>(RunTimeOn(owned)).count();
  }
  return per_second;
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
  if (SpeedsDifferIn(request.service)) {
    constexpr double kUsPerSecond = 1e6;
    const Duration interval(
        static_cast<Duration::rep>(kUsPerSecond / CompletionsPerSecond(request)));
    return WaitBehindOthers(request, interval * static_cast<Duration::rep>(position), interval);
  }
  const Duration run = TypicalRunTime(request.service);
  return WaitBehindOthers(request, run * static_cast<Duration::rep>(position) / slots, run / slots);
}

// In any span as long as a run, each slot ends one run, whatever it does now.
ExpectedCompletions SlotAllocator::CompletionsOverRuns(const SlotRequest& request, Duration span,
                                                       Time now) const {
  const int slots = SlotsFor(request);
  Duration run_time = std::max(TypicalRunTime(request.service), Duration{1'000});
  const auto load = loads_.find(request.service);
  if (load != loads_.end() && load->second.line.slot_time()) {
    run_time = std::max(*load->second.line.slot_time(), Duration{1'000});
  }
  const auto whole_runs = std::max<Duration::rep>(0, span / run_time);
  ExpectedCompletions all;
  all.mean = static_cast<double>(slots * whole_runs);
  all.variance = all.mean * kRunVariance;
  for (const auto& [id, owned] : backends_) {
    if (!IsEligible(id, owned, request)) continue;
    const ExpectedCompletions ends =
        owned.run_starts.CompletionsWithin(span - whole_runs * run_time, run_time, now);
    all.mean += ends.mean;
    all.variance += ends.variance;
  }
  return all;
}

}  // namespace figmill
