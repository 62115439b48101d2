#pragma once

// The store's steady clock, as this process reckons it between answers. The time
// of day is no help: it jumps, and differs from host to host.

#include <algorithm>
#include <optional>

#include "figmill/runtime.h"
#include "figmill/tables.h"

namespace figmill {

class StoreClock {
 public:
  // An answer that was made at `at` has just come in. The largest offset is the
  // best: each answer was on its way for some time.
  void Heard(StoreTime at) {
    heard_at_ = Loop::Now();
    const Duration offset = at - Loop::Now().time_since_epoch();
    offset_ = offset_ ? std::max(*offset_, offset) : offset;
  }
  // Nothing before the first answer: the store's clock has a start of its own, and this
  // host's in its place made jobs of 60 s look over after 0.4 s.
  [[nodiscard]] std::optional<StoreTime> Now() const {
    if (!offset_) return std::nullopt;
    return Loop::Now().time_since_epoch() + *offset_;
  }
  // Since the last answer with a time in it; nothing before the first.
  [[nodiscard]] std::optional<Duration> Age() const {
    if (!offset_) return std::nullopt;
    return Loop::Now() - heard_at_;
  }

 private:
  std::optional<Duration> offset_;
  Time heard_at_{};
};

}  // namespace figmill
