#pragma once

// Batch items waiting beside the backend server: those stopped for online come
// first, the one with most work done ahead, then newcomers in order of arrival.
// Fair share between teams and due dates are the owner's: it decides what to
// send, and keeps this queue short.

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "figmill/base.h"

namespace figmill::detail {

struct FreshBatch {
  RequestId request;
  bool repeatable = true;
};

struct PausedBatch {
  RequestId request;
  std::uint64_t work = 0;  // tokens read and written so far
  bool stopped = false;    // the backend server confirmed the stop
};

class BatchQueue {
 public:
  void Push(FreshBatch fresh) { fresh_.push_back(std::move(fresh)); }
  void PushPaused(PausedBatch paused);
  // Until the stop is confirmed the stream must not be taken up again: a late
  // cancel would end the resumed stream.
  void MarkStopped(const RequestId& request);
  bool Remove(const RequestId& request);
  // The next to run, if any may; those not repeatable only when asked for.
  [[nodiscard]] std::optional<RequestId> Pop(bool also_not_repeatable);
  [[nodiscard]] int fresh() const { return static_cast<int>(fresh_.size()); }
  [[nodiscard]] int paused() const { return static_cast<int>(paused_.size()); }

 private:
  std::deque<FreshBatch> fresh_;
  std::vector<PausedBatch> paused_;  // most work first
};

}  // namespace figmill::detail
