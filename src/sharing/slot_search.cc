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
  asked_ = allocator;
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
  if (const auto* found = std::get_if<search::AllocatorsFound>(&event)) {
    return OnAllocatorsFound(found->allocators, now);
  }
  if (const auto* answered = std::get_if<search::Answered>(&event)) {
    return OnAnswer(answered->answer, now);
  }
  return queued_ ? CheckQueue(now) : AskNextAllocator(now);
}

search::Action SlotSearch::OnAnswer(const SlotResponse& answer, Time now) {
  switch (answer.kind) {
    case SlotResponse::Kind::kAssigned:
      return search::UseSlot{answer.backend};
    case SlotResponse::Kind::kQueued:
      queued_ = true;
      unanswered_ = 0;
      return WaitInQueue(now);
    case SlotResponse::Kind::kFull:
      queued_ = false;
      if (request_.may_queue) retry_after_ = answer.retry_after;
      if (answer.wait < shortest_wait_ && next_ > 0) {
        shortest_wait_ = answer.wait;
        if (!request_.may_queue) shortest_queue_ = allocators_[next_ - 1];
      }
      return AskNextAllocator(now);
    case SlotResponse::Kind::kNotOwned:
      if (queued_) unanswered_ = kMaxUnanswered;
      return queued_ ? CheckQueue(now) : AskNextAllocator(now);
  }
  return AskNextAllocator(now);
}

Time SlotSearch::WaitsUntil() const {
  return request_.last_try ? caller_deadline_ : goal_deadline_;
}

search::Action SlotSearch::WaitInQueue(Time now) {
  const Duration left = std::max(WaitsUntil() - now, kAnswerTimeout);
  return search::Wait{std::min(left, kQueueCheckInterval)};
}

search::Action SlotSearch::CheckQueue(Time now) {
  if (now >= WaitsUntil()) return AskNextAllocator(now);
  if (unanswered_ < kMaxUnanswered) {
    ++unanswered_;
    return RequestFrom(asked_, now);
  }
  queued_ = false;
  unanswered_ = 0;
  lost_.push_back(asked_);
  return search::FindAllocators{asked_};
}

// Starts again without the allocators that were lost: their successors may know of them later.
search::Action SlotSearch::OnAllocatorsFound(std::vector<NodeId> allocators, Time now) {
  std::erase_if(allocators, [this](const NodeId& each) {
    return std::find(lost_.begin(), lost_.end(), each) != lost_.end();
  });
  if (allocators.size() > kMaxAsked) allocators.resize(kMaxAsked);
  allocators_ = std::move(allocators);
  next_ = 0;
  shortest_queue_.reset();
  shortest_wait_ = Duration::max();
  retry_after_.reset();
  request_.may_queue = false;
  return AskNextAllocator(now);
}

}  // namespace figmill
