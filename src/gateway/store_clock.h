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
    if (at.count() == 0) return;
    heard_at_ = Loop::Now();
    const Duration offset = at - Loop::Now().time_since_epoch();
    offset_ = offset_ ? std::max(*offset_, offset) : offset;
  }
  [[nodiscard]] bool known() const { return offset_.has_value(); }
  [[nodiscard]] StoreTime Now() const {
    return Loop::Now().time_since_epoch() + offset_.value_or(Duration{0});
  }
  // Since the last answer with a time in it; nothing before the first.
  [[nodiscard]] std::optional<Duration> Age() const {
    if (!known()) return std::nullopt;
    return Loop::Now() - heard_at_;
  }

 private:
  std::optional<Duration> offset_;
  Time heard_at_{};
};

}  // namespace figmill
