#include <algorithm>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {

SlotSearch::SlotSearch(SlotRequest request, std::vector<NodeId> allocators, Time now)
    : request_(std::move(request)),
      allocators_(std::move(allocators)),
      goal_deadline_(now + request_.goal_left),
      caller_deadline_(now + request_.time_left) {
  if (allocators_.size() > kMaxAsked) allocators_.resize(kMaxAsked);
}

search::Action SlotSearch::Start(Time now) {
  return AskNextAllocator(now);
}

search::Action SlotSearch::RequestFrom(const NodeId& allocator, Time now) {
  request_.goal_left = std::max(goal_deadline_ - now, Duration{0});
  request_.time_left = std::max(caller_deadline_ - now, Duration{0});
  return search::AskAllocator{allocator, request_, kAnswerTimeout};
}

search::Action SlotSearch::AskNextAllocator(Time now) {
  if (next_ < allocators_.size()) return RequestFrom(allocators_[next_++], now);
  // Only the answers of allocators that own slots show that all are taken; a timeout shows nothing.
  if (!shortest_queue_) return search::ChooseLocally{};
  if (request_.may_queue) return search::RefuseRequest{retry_after_.value_or(shortest_wait_)};
  request_.may_queue = true;
  return RequestFrom(*shortest_queue_, now);
}

search::Action SlotSearch::OnEvent(const search::Event& event, Time now) {
  if (std::holds_alternative<search::TimedOut>(event)) return AskNextAllocator(now);
  const SlotResponse& answer = std::get<search::Answered>(event).answer;
  switch (answer.kind) {
    case SlotResponse::Kind::kAssigned:
      return search::UseSlot{answer.backend};
    case SlotResponse::Kind::kQueued: {
      const Time until = request_.last_try ? caller_deadline_ : goal_deadline_;
      return search::Wait{std::max(until - now, kAnswerTimeout)};
    }
    case SlotResponse::Kind::kFull:
      if (request_.may_queue) retry_after_ = answer.retry_after;
      if (answer.wait < shortest_wait_ && next_ > 0) {
        shortest_wait_ = answer.wait;
        if (!request_.may_queue) shortest_queue_ = allocators_[next_ - 1];
      }
      return AskNextAllocator(now);
    case SlotResponse::Kind::kNotOwned:
      return AskNextAllocator(now);
  }
  return AskNextAllocator(now);
}

}  // namespace figmill
