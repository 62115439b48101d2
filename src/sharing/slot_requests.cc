// The allocator's handling of slot requests: assigns a slot, queues the request, or refuses it.

#include <algorithm>
#include <cmath>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// Weight of the moving average of run times: the last 16 reports make up most of it.
constexpr int kRunTimeSamples = 16;

bool Contains(const std::vector<BackendId>& ids, const BackendId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool IsServedBefore(const SlotRequestQueue::Entry& a, const SlotRequestQueue::Entry& b, Time now) {
  const bool a_in_time = now < a.goal_deadline;
  const bool b_in_time = now < b.goal_deadline;
  if (a_in_time != b_in_time) return a_in_time;
  return a_in_time ? a.goal_deadline < b.goal_deadline : a.caller_deadline < b.caller_deadline;
}

}  // namespace

void SlotRequestQueue::RemoveFrom(const NodeId& from) {
  std::erase_if(entries_, [&from](const Entry& entry) { return entry.from == from; });
}

std::vector<SlotRequestQueue::Entry> SlotRequestQueue::TakeExpired(Time now) {
  std::vector<Entry> expired;
  std::erase_if(entries_, [&](const Entry& entry) {
    const bool is_expired =
        now >= entry.caller_deadline || (now >= entry.goal_deadline && !entry.request.last_try);
    if (is_expired) expired.push_back(entry);
    return is_expired;
  });
  return expired;
}

std::optional<SlotRequestQueue::Entry> SlotRequestQueue::PopFirst(
    Time now, const std::function<bool(const Entry&)>& serve) {
  std::sort(entries_.begin(), entries_.end(),
            [now](const Entry& a, const Entry& b) { return IsServedBefore(a, b, now); });
  const auto found = std::find_if(entries_.begin(), entries_.end(), serve);
  if (found == entries_.end()) return std::nullopt;
  Entry popped = std::move(*found);
  entries_.erase(found);
  return popped;
}

std::size_t SlotRequestQueue::CountAhead(const Entry& entry, Time now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const Entry& other) {
        return other.request.service == entry.request.service && !IsServedBefore(entry, other, now);
      }));
}

void SlotAllocator::OnRequest(const NodeId& from, const SlotRequest& request, Time now) {
  // A request on its last try that is served later would not finish before its caller gives up.
  const Duration timeout =
      request.time_left - (request.last_try ? TypicalRunTime(request.service) : Duration{0});
  const SlotRequestQueue::Entry entry{from, request, now + request.goal_left - kFirstEventLatency,
                                      now + timeout};
  const std::size_t ahead = queue_.CountAhead(entry, now);
  if (ahead == 0 && TryAssignSlot(from, request, now)) return;
  const std::optional<Duration> wait = ExpectedWait(request, ahead + 1);
  if (!request.may_queue || !wait) return AnswerNoSlot(from, request, wait);
  if (!ShouldQueue(request, ahead, *wait, now)) return Refuse(from, request, *wait, now);
  Answer(from, {request.number, SlotResponse::Kind::kQueued, {}, *wait});
  queue_.Add(entry);
}

bool SlotAllocator::ShouldQueue(const SlotRequest& request, std::size_t ahead, Duration wait,
                                Time now) {
  ServiceLoad& load = loads_[request.service];
  const Duration budget = request.goal_left - kFirstEventLatency;
  const bool in_time =
      budget > Duration{0} && load.admission.Admits(ahead, CompletionsWithin(request, budget, now));
  if (in_time || !request.last_try) return in_time;
  const LastTryAdmission::Attempt attempt{request.time_left, wait, TypicalRunTime(request.service)};
  return load.last_try_admission.Admits(attempt, load.retries.tracker(), now);
}

// Requests that can still meet their goal adjust the queue admission, the others the last-try
// admission.
void SlotAllocator::RecordQueueOutcome(const SlotRequestQueue::Entry& entry, bool served,
                                       Time now) {
  ServiceLoad& load = loads_[entry.request.service];
  if (!entry.request.last_try) {
    served ? load.admission.OnServed() : load.admission.OnExpired();
  } else if (now >= entry.goal_deadline) {
    served ? load.last_try_admission.OnServed() : load.last_try_admission.OnExpired();
  }
}

bool SlotAllocator::IsEligible(const BackendId& id, const OwnedBackend& owned,
                               const SlotRequest& request) {
  if (owned.info.service != request.service || Contains(request.tried, id)) return false;
  return !owned.ejected && !owned.info.frozen;
}

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

// Prefers an unused slot, on the backend server with most of them. If all are in use, preempts
// batch on the backend server with the fewest online requests. A preempted run must read its prompt
// and its text again when it resumes, which slows down all that run there.
bool SlotAllocator::TryAssignSlot(const NodeId& from, const SlotRequest& request, Time now) {
  std::map<BackendId, OwnedBackend>::iterator best = backends_.end();
  std::pair<int, int> best_rank;
  for (auto at = backends_.begin(); at != backends_.end(); ++at) {
    const OwnedBackend& owned = at->second;
    if (!IsEligible(at->first, owned, request)) continue;
    const int without_online = owned.info.slots - OnlineOf(owned);
    if (without_online <= 0) continue;
    const std::pair<int, int> rank{std::max(0, without_online - BatchOf(owned)), without_online};
    if (best != backends_.end() && rank <= best_rank) continue;
    best = at;
    best_rank = rank;
  }
  if (best == backends_.end()) return false;
  best->second.reserved.push_back({from, request.number, now + kReservationTtl});
  best->second.run_starts.SetCount(static_cast<std::size_t>(OnlineOf(best->second)), now);
  MarkOthersChanged(best->second, from);
  DivideBatchSlots(best->second, now);
  Answer(from, {request.number, SlotResponse::Kind::kAssigned, best->first, Duration{0}});
  return true;
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
    Refuse(entry.from, entry.request, *wait, now);
  }
  while (!queue_.empty()) {
    const auto served = queue_.PopFirst(now, [this, now](const SlotRequestQueue::Entry& entry) {
      return TryAssignSlot(entry.from, entry.request, now);
    });
    if (!served) return;
    RecordQueueOutcome(*served, /*served=*/true, now);
  }
}

void SlotAllocator::ExpireReservations(Time now) {
  for (auto& [id, owned] : backends_) {
    const auto lost =
        std::erase_if(owned.reserved, [now](const Reservation& each) { return now >= each.until; });
    if (lost > 0) DivideBatchSlots(owned, now);
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
  return TypicalRunTime(request.service) * static_cast<Duration::rep>(position) / slots;
}

}  // namespace figmill
