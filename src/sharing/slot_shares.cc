// Shares of teams: requests that are displaced, and what operators see of it.

#include <algorithm>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// Share of the slots that is taken as left by the teams below their share, so that expected waits
// stay finite.
constexpr double kMinSlotsLeft = 0.05;
// Below this the teams below their share don't matter any more. Unit: requests a second.
constexpr double kMinRate = 0.1;

}  // namespace

void SlotAllocator::RecordServed(const SlotRequest& request) {
  queue_.OnServed(request);
  share_counts_[request.service].Count(request.team, ShareCounts::Event::kServed);
}

void SlotAllocator::CountBelowShare(const SlotRequest& request, Time now) {
  loads_[request.service].below_share.Count(queue_.IsBelowShare(request) ? 1 : 0, now);
}

double SlotAllocator::RateBefore(const SlotRequest& request) const {
  const auto load = loads_.find(request.service);
  if (load == loads_.end() || queue_.IsBelowShare(request)) return 0;
  const double rate = load->second.below_share.PerSecond();
  return rate < kMinRate ? 0 : rate;
}

QueueAdmission& SlotAllocator::AdmissionFor(const SlotRequest& request) {
  ServiceLoad& load = loads_[request.service];
  return RateBefore(request) > 0 ? load.admission_behind : load.admission;
}

LastTryAdmission& SlotAllocator::LastTryAdmissionFor(const SlotRequest& request) {
  ServiceLoad& load = loads_[request.service];
  return RateBefore(request) > 0 ? load.last_try_behind : load.last_try_admission;
}

Duration SlotAllocator::WaitBehindOthers(const SlotRequest& request, Duration wait,
                                         Duration slot_interval) const {
  const double rate = RateBefore(request);
  if (rate == 0) return wait;
  const double left = 1 - rate * std::chrono::duration<double>(slot_interval).count();
  return std::chrono::duration_cast<Duration>(wait / std::max(left, kMinSlotsLeft));
}

// Requests come at random, so the variance of their number is its mean.
ExpectedCompletions SlotAllocator::SlotsWithin(const SlotRequest& request, Duration span,
                                               Time now) const {
  ExpectedCompletions slots = CompletionsWithin(request, span, now);
  const double before = RateBefore(request) * std::chrono::duration<double>(span).count();
  slots.mean -= before;
  slots.variance += before;
  return slots;
}

SlotRequest SlotAllocator::RequestAt(const SlotRequestQueue::Entry& entry, Time now) const {
  SlotRequest request = entry.request;
  request.goal_left = entry.goal_deadline - now + kFirstEventLatency;
  request.time_left = std::max(entry.caller_deadline - now, Duration{0});
  if (request.last_try) request.time_left += TypicalRunTime(request.service);
  return request;
}

void SlotAllocator::RefuseDisplaced(const SlotRequestQueue::Entry& added, Time now) {
  const auto can_wait = [this, now](const SlotRequestQueue::Entry& entry, std::size_t ahead) {
    const SlotRequest request = RequestAt(entry, now);
    const std::optional<Duration> wait = ExpectedWait(request, ahead + 1);
    if (!wait) return false;
    // The forecast of the overload decides who may begin to wait, not who goes on waiting.
    if (request.last_try && *wait <= request.time_left - TypicalRunTime(request.service))
      return true;
    return ShouldQueue(request, ahead, *wait, now);
  };
  for (const SlotRequestQueue::Entry& entry : queue_.TakeDisplaced(added, now, can_wait)) {
    const SlotRequest request = RequestAt(entry, now);
    share_counts_[request.service].Count(request.team, ShareCounts::Event::kDisplaced);
    const std::optional<Duration> wait = ExpectedWait(request, queue_.CountAhead(entry, now) + 1);
    if (!wait) {
      AnswerNoSlot(entry.from, request, wait);
      continue;
    }
    Refuse(entry.from, request, *wait, now);
  }
}

std::vector<SlotAllocator::ShareSummary> SlotAllocator::TakeShareSummaries(Time now) {
  std::vector<ShareSummary> summaries;
  if (now - share_counts_since_ < kShareSummarySpan) return summaries;
  share_counts_since_ = now;
  for (const SlotRequestQueue::Entry& entry : queue_.entries()) {
    share_counts_[entry.request.service].CountWaiting(entry.request.team);
  }
  for (const auto& [service, counts] : std::exchange(share_counts_, {})) {
    const auto& [served, refused, displaced, waiting] = counts.total();
    if (refused + displaced == 0 || counts.team_count() < 2) continue;
    summaries.push_back({service, refused, displaced, counts.team_count(), counts.Summary()});
  }
  return summaries;
}

}  // namespace figmill
