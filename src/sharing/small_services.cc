// Requests for services with few slots in all.

#include <algorithm>
#include <utility>
#include <variant>

#include "figmill/sharing.h"

namespace figmill {
namespace {

DeadlineLine::Request ToLineRequest(const SlotRequestQueue::Entry& entry, Duration time_left,
                                    Duration run_time, Time now) {
  return {entry.goal_deadline, now + time_left - run_time * DeadlineLine::kLastTryRuns, time_left,
          entry.request.last_try};
}

}  // namespace

bool SlotAllocator::IsSmall(const ServiceName& service) const {
  return std::any_of(backends_.begin(), backends_.end(), [&service](const auto& each) {
    const ManagedBackend& info = each.second.info;
    return info.service == service && DeadlineLine::IsSmall(info.service_slots);
  });
}

DeadlineLine::Forecast SlotAllocator::ForecastFor(const SlotRequest& request, Time now) const {
  return [this, &request, now](Duration span) { return CompletionsOverRuns(request, span, now); };
}

void SlotAllocator::OnSmallServiceRequest(SlotRequestQueue::Entry entry, Time now) {
  const SlotRequest& request = entry.request;
  entry.serve_by = entry.goal_deadline;
  const std::size_t ahead = queue_.CountAhead(entry, now);
  if (ahead == 0 && TryAssignSlot(entry.from, request, now)) return;
  const std::optional<Duration> wait = ExpectedWait(request, ahead + 1);
  if (!request.may_queue || !wait) return AnswerNoSlot(entry.from, request, wait);
  const std::vector<Time> waiting = queue_.ServeTimes(request.service);
  const DeadlineLine::Decision decision = loads_[request.service].line.Decide(
      ToLineRequest(entry, request.time_left, TypicalRunTime(request.service), now), waiting,
      ForecastFor(request, now), now);
  if (const auto* refused = std::get_if<DeadlineLine::Refused>(&decision)) {
    return Answer(entry.from,
                  {request.number, SlotResponse::Kind::kFull, {}, *wait, refused->retry_after});
  }
  entry.serve_by = std::get<DeadlineLine::Admitted>(decision).start_by;
  Answer(entry.from, {request.number, SlotResponse::Kind::kQueued, {}, *wait});
  queue_.Add(std::move(entry));
}

void SlotAllocator::RefuseExpired(const SlotRequestQueue::Entry& entry, Duration wait, Time now) {
  const SlotRequest& request = entry.request;
  const Time asked_at = entry.goal_deadline + kFirstEventLatency - request.goal_left;
  const Duration time_left = std::max(request.time_left - (now - asked_at), Duration{0});
  const Duration retry_after = loads_[request.service].line.OnExpired(
      ToLineRequest(entry, time_left, TypicalRunTime(request.service), now),
      queue_.ServeTimes(request.service).size(), ForecastFor(request, now), now);
  Answer(entry.from, {request.number, SlotResponse::Kind::kFull, {}, wait, retry_after});
}

std::vector<SlotAllocator::LineCounts> SlotAllocator::TakeLineCounts() {
  std::vector<LineCounts> taken;
  for (auto& [service, load] : loads_) {
    const DeadlineLine::Counts counts = load.line.TakeCounts();
    if (counts != DeadlineLine::Counts{}) taken.push_back({service, counts});
  }
  return taken;
}

}  // namespace figmill
