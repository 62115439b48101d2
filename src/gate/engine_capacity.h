#pragma once

// How many streams the engine runs at once before it queues by itself. Its bound
// (slots or KV memory) isn't told; it shows when the engine reports streams that
// wait while one has waited here for its first token for long. Waiting alone
// says nothing: every newcomer waits for the next step. The bound is tried again
// slowly, as the memory that streams need varies.
//
// Until a bound has shown, places are added one a report, from a few. Taken for
// unbounded, a new agent would send a dozen streams too many at once, and their
// callers wait 200 ms and more for the first token before it is noticed.

#include <algorithm>
#include <optional>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill::detail {

class EnginePlaces {
 public:
  explicit EnginePlaces(int most) : most_(most), count_(std::min(most, kFirstPlaces)) {}
  // `longest_wait`: of the streams that run here, for their first token.
  void Report(const EngineLoad& load, int running, Duration longest_wait, Time now) {
    if (load.waiting > 0 && longest_wait >= kLongWait) {
      count_ = std::clamp(static_cast<int>(load.running), 1, most_);
      changed_ = now;
      shown_ = true;
    } else if (running >= count_ && count_ < most_ && (!shown_ || now >= changed_ + kTryAgain)) {
      ++count_;
      changed_ = now;
    }
  }
  [[nodiscard]] int count() const { return count_; }

 private:
  static constexpr int kFirstPlaces = 32;
  static constexpr Duration kLongWait{200'000};
  static constexpr Duration kTryAgain{2'000'000};
  int most_;
  int count_;
  Time changed_{};
  bool shown_ = false;
};

}  // namespace figmill::detail
