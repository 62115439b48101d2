#pragma once

// Online requests waiting for room, in the order of their arrival, and what a
// newcomer's wait would be.

#include <deque>
#include <vector>

#include "figmill/base.h"

namespace figmill::detail {

struct WaitingOnline {
  RequestId request;
  Time since;
  Time deadline;
  Duration service;  // expected from start to whole answer
};

class OnlineQueue {
 public:
  void Push(WaitingOnline waiting) { waiting_.push_back(std::move(waiting)); }
  bool Remove(const RequestId& request);
  // Takes out those that have waited until their answer can't be whole in time.
  // What starts without a wait is never judged so: `service` is only a guess.
  [[nodiscard]] std::vector<RequestId> TakeHopeless(Time now);
  [[nodiscard]] RequestId Pop();
  [[nodiscard]] int size() const { return static_cast<int>(waiting_.size()); }
  [[nodiscard]] bool empty() const { return waiting_.empty(); }

 private:
  std::deque<WaitingOnline> waiting_;
};

// Wait of one who joins behind `ahead` others: `limit` places, each freed once
// in a service time (Little's law).
[[nodiscard]] Duration PredictedWait(int ahead, int limit, Duration service_time);

}  // namespace figmill::detail
