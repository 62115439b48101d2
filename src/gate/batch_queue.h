#pragma once

// Batch items that wait for the backend server: first those that were stopped to
// make room for online work, the one with the most tokens done first, then the
// unstarted ones in order of arrival. The job's owner handles fair sharing between
// teams and due dates: it decides what to send, and keeps this queue short.

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "figmill/base.h"

namespace figmill::detail {

struct UnstartedItem {
  RequestId request;
  bool repeatable = true;
};

struct PausedItem {
  RequestId request;
  std::uint64_t tokens_done = 0;  // prompt and answer tokens processed so far
  bool stop_confirmed = false;    // the backend server confirmed the stop
};

class BatchQueue {
 public:
  void Push(UnstartedItem unstarted) { unstarted_.push_back(std::move(unstarted)); }
  void PushPaused(PausedItem paused);
  // Until the stop is confirmed the stream must not be resumed: a late cancel
  // would end the resumed stream.
  void ConfirmStop(const RequestId& request);
  bool Remove(const RequestId& request);
  // The next item to run, or nothing when none may run. Non-repeatable items are
  // considered only when `allow_non_repeatable` is set.
  [[nodiscard]] std::optional<RequestId> Pop(bool allow_non_repeatable);
  [[nodiscard]] int unstarted() const { return static_cast<int>(unstarted_.size()); }
  [[nodiscard]] int paused() const { return static_cast<int>(paused_.size()); }

 private:
  std::deque<UnstartedItem> unstarted_;
  std::vector<PausedItem> paused_;  // in descending order of tokens_done
};

}  // namespace figmill::detail
