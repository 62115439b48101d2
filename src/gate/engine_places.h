#pragma once

// How many streams the engine runs at once before it queues by itself. Its bound
// (slots or KV memory) isn't told; it shows when the engine reports streams that
// wait while one has waited here for its first token for long. Waiting alone
// says nothing: every newcomer waits for the next step. The bound is tried again
// slowly, as the memory that streams need varies.

#include <algorithm>
#include <optional>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill::detail {

class EnginePlaces {
 public:
  explicit EnginePlaces(int most) : most_(most), count_(most) {}
  // `longest_wait`: of the streams that run here, for their first token.
  void Report(const EngineLoad& load, int running, Duration longest_wait, Time now) {
    if (load.waiting > 0 && longest_wait >= kLongWait) {
      count_ = std::clamp(static_cast<int>(load.running), 1, most_);
      changed_ = now;
    } else if (running >= count_ && count_ < most_ && now >= changed_ + kTryAgain) {
      ++count_;
      changed_ = now;
    }
  }
  [[nodiscard]] int count() const { return count_; }

 private:
  static constexpr Duration kLongWait{200'000};
  static constexpr Duration kTryAgain{2'000'000};
  int most_;
  int count_;
  Time changed_{};
};

}  // namespace figmill::detail
