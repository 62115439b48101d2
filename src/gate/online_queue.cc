#include "gate/online_queue.h"

#include <algorithm>

namespace figmill::detail {

bool OnlineQueue::Remove(const RequestId& request) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const QueuedRequest& waiting) { return waiting.request == request; });
  if (found == waiting_.end()) return false;
  waiting_.erase(found);
  return true;
}

std::vector<RequestId> OnlineQueue::TakeTooLate(Time now) {
  std::vector<RequestId> too_late;
  std::erase_if(waiting_, [&](const QueuedRequest& waiting) {
    if (now == waiting.queued_at || now + waiting.expected_service <= waiting.deadline)
      return false;
    too_late.push_back(waiting.request);
    return true;
  });
  return too_late;
}

RequestId OnlineQueue::Pop() {
  RequestId request = std::move(waiting_.front().request);
  waiting_.pop_front();
  return request;
}

Duration PredictedWait(int ahead, int limit, Duration service_time) {
  return service_time * (ahead + 1) / std::max(limit, 1);
}

}  // namespace figmill::detail
