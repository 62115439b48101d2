// The allocator's handling of slot requests: assigns a slot, queues the request, or refuses it.

#include <algorithm>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {

// The entry checks that its request still waits here, or an answer was lost.
bool SlotAllocator::AnswerRepeated(const NodeId& from, const SlotRequest& request, Time now) {
  for (auto& [id, owned] : backends_) {
    if (!IsEligible(id, owned, request)) continue;
    for (Reservation& each : owned.reserved) {
      if (each.entry != from || each.request != request.number) continue;
      each.until = now + kReservationTtl;
      Answer(from, {request.number, SlotResponse::Kind::kAssigned, id, Duration{0}});
      return true;
    }
  }
  if (!queue_.Contains(from, request.number)) return false;
  if (SlotsFor(request) == 0) {
    queue_.Remove(from, std::span(&request.number, 1));
    AnswerNoSlot(from, request, std::nullopt);
  } else {
    Answer(from, {request.number, SlotResponse::Kind::kQueued, {}, Duration{0}});
  }
  return true;
}

void SlotAllocator::OnRequest(const NodeId& from, const SlotRequest& request, Time now) {
  if (AnswerRepeated(from, request, now)) return;
  // A request on its last try that is served later would not finish before its caller gives up.
  const Duration timeout =
      request.time_left - (request.last_try ? TypicalRunTime(request.service) : Duration{0});
  SlotRequestQueue::Entry entry{from, request, now + request.goal_left - kFirstEventLatency,
                                now + timeout};
  if (IsSmall(request.service)) return OnSmallServiceRequest(std::move(entry), now);
  const std::size_t ahead = queue_.CountAhead(entry, now);
  if (ahead == 0 && TryAssignSlot(from, request, now)) {
    CountBelowShare(request, now);
    return RecordServed(request);
  }
  const std::optional<Duration> wait = ExpectedWait(request, ahead + 1);
  if (!request.may_queue || !wait) return AnswerNoSlot(from, request, wait);
  if (!ShouldQueue(request, ahead, *wait, now)) {
    share_counts_[request.service].Count(request.team, ShareCounts::Event::kRefused);
    return Refuse(from, request, *wait, now);
  }
  Answer(from, {request.number, SlotResponse::Kind::kQueued, {}, *wait});
  CountBelowShare(request, now);
  entry.is_behind = RateBefore(request) > 0;
  queue_.Add(entry);
  RefuseDisplaced(entry, now);
}

bool SlotAllocator::ShouldQueue(const SlotRequest& request, std::size_t ahead, Duration wait,
                                Time now) {
  ServiceLoad& load = loads_[request.service];
  const Duration budget = request.goal_left - kFirstEventLatency;
  const bool in_time = budget > Duration{0} &&
                       AdmissionFor(request).Admits(ahead, SlotsWithin(request, budget, now));
  if (in_time || !request.last_try) return in_time;
  const LastTryAdmission::Attempt attempt{request.time_left, wait, TypicalRunTime(request.service)};
  // The overload doesn't last for teams below their share.
  if (queue_.IsBelowShare(request)) return wait <= attempt.time_left - attempt.run;
  return LastTryAdmissionFor(request).Admits(attempt, load.retries.tracker(), now);
}

// Requests that can still meet their goal adjust the queue admission, the others the last-try
// admission. Neither foresees the requests of other teams that go first.
void SlotAllocator::RecordQueueOutcome(const SlotRequestQueue::Entry& entry, bool served,
                                       Time now) {
  ServiceLoad& load = loads_[entry.request.service];
  if (entry.serve_by) {
    if (served) {
      const bool others_wait = !queue_.ServeTimes(entry.request.service).empty();
      load.line.OnServed(others_wait, SlotsFor(entry.request), now);
    }
    return;  // an expired one is recorded when it is refused
  }
  if (!entry.request.last_try) {
    QueueAdmission& admission = entry.is_behind ? load.admission_behind : load.admission;
    served ? admission.OnServed() : admission.OnExpired();
  } else if (now >= entry.goal_deadline) {
    LastTryAdmission& admission = entry.is_behind ? load.last_try_behind : load.last_try_admission;
    served ? admission.OnServed() : admission.OnExpired();
  }
}

void SlotAllocator::ServeQueue(Time now) {
  for (const SlotRequestQueue::Entry& entry : queue_.TakeExpired(now)) {
    RecordQueueOutcome(entry, /*served=*/false, now);
    const std::size_t position = queue_.CountAhead(entry, now) + 1;
    const std::optional<Duration> wait = ExpectedWait(entry.request, position);
    if (!wait) {
      AnswerNoSlot(entry.from, entry.request, wait);
      continue;
    }
    entry.serve_by ? RefuseExpired(entry, *wait, now)
                   : Refuse(entry.from, entry.request, *wait, now);
  }
  while (!queue_.empty() && HasFreeSlot()) {
    const auto served = queue_.PopFirst(now, [this, now](const SlotRequestQueue::Entry& entry) {
      return TryAssignSlot(entry.from, entry.request, now);
    });
    if (!served) return;
    RecordServed(served->request);
    RecordQueueOutcome(*served, /*served=*/true, now);
  }
}

void SlotAllocator::Answer(const NodeId& to, SlotResponse answer) {
  answers_.push_back({to, std::nullopt, std::move(answer)});
}

void SlotAllocator::AnswerNoSlot(const NodeId& to, const SlotRequest& request,
                                 std::optional<Duration> wait) {
  const auto kind = wait ? SlotResponse::Kind::kFull : SlotResponse::Kind::kNotOwned;
  Answer(to, {request.number, kind, {}, wait.value_or(Duration{0})});
}

void SlotAllocator::Refuse(const NodeId& to, const SlotRequest& request, Duration wait, Time now) {
  const Duration slot_interval = TypicalRunTime(request.service) / std::max(1, SlotsFor(request));
  const Duration retry_after =
      loads_[request.service].retries.ScheduleRetry({request.time_left, wait, slot_interval}, now);
  Answer(to, {request.number, SlotResponse::Kind::kFull, {}, wait, retry_after});
}

}  // namespace figmill
