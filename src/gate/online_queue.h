#pragma once

// Online requests that wait for a slot, in order of arrival, and the predicted
// wait of a new one.

#include <deque>
#include <vector>

#include "figmill/base.h"

namespace figmill::detail {

struct QueuedRequest {
  RequestId request;
  Time queued_at;
  Time deadline;
  Duration expected_service;  // expected time from start to complete answer
};

class OnlineQueue {
 public:
  void Push(QueuedRequest waiting) { waiting_.push_back(std::move(waiting)); }
  bool Remove(const RequestId& request);
  // Removes and returns the requests that have waited so long that their answer
  // can't complete by the deadline. A request that hasn't waited is never removed,
  // as `expected_service` is only an estimate.
  [[nodiscard]] std::vector<RequestId> TakeTooLate(Time now);
  [[nodiscard]] RequestId Pop();
  [[nodiscard]] int size() const { return static_cast<int>(waiting_.size()); }
  [[nodiscard]] bool empty() const { return waiting_.empty(); }

 private:
  std::deque<QueuedRequest> waiting_;
};

// Wait of a new request behind `ahead` others: there are `limit` slots, each freed
// once per service time (Little's law).
[[nodiscard]] Duration PredictedWait(int ahead, int limit, Duration service_time);

}  // namespace figmill::detail
