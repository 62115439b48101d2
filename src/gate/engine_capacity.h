#pragma once

// Estimates how many streams the engine runs at once before it queues requests
// itself. The engine doesn't report its bound (slots or KV memory). The bound is
// detected when the engine reports waiting streams while a stream has waited long
// for its first token. Reported waiting alone is no sign of it, as every new stream
// waits for the next step. After that the estimate is raised slowly to probe the
// bound again, since the memory that streams need varies.
//
// Until a bound is detected, the estimate starts low and grows by one slot per
// report. If the engine were assumed to be unbounded, a new agent would send a
// dozen streams too many at once, and their callers would wait 200 ms and more for
// the first token before the bound is detected.

#include <algorithm>
#include <optional>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill::detail {

class EngineCapacity {
 public:
  explicit EngineCapacity(int max_slots)
      : max_slots_(max_slots), slots_(std::min(max_slots, kInitialSlots)) {}
  // `longest_wait`: longest wait for a first token among the running streams.
  void Report(const EngineLoad& load, int running, Duration longest_wait, Time now) {
    if (load.waiting > 0 && longest_wait >= kMinQueueingWait) {
      slots_ = std::clamp(static_cast<int>(load.running), 1, max_slots_);
      changed_at_ = now;
      bound_seen_ = true;
    } else if (running >= slots_ && slots_ < max_slots_ &&
               (!bound_seen_ || now >= changed_at_ + kProbePeriod)) {
      ++slots_;
      changed_at_ = now;
    }
  }
  [[nodiscard]] int slots() const { return slots_; }

 private:
  static constexpr int kInitialSlots = 32;
  static constexpr Duration kMinQueueingWait{200'000};
  static constexpr Duration kProbePeriod{2'000'000};
  int max_slots_;
  int slots_;
  Time changed_at_{};
  bool bound_seen_ = false;
};

}  // namespace figmill::detail
