#pragma once

// What time it is by a shared service's steady clock, reckoned between its answers from
// this host's own clock. No I/O: the host's time is passed in.

#include <optional>

#include "figmill/tables.h"

namespace figmill {

// An answer was made between its call and its arrival, so it bounds the difference of the
// two clocks from both sides; each further answer narrows it. The difference is not a
// number but a span: taken for the one, a job's life began up to 1.6 s (the longest call)
// before the job came, or was over before its time.
class StoreClock {
 public:
  // Time of this host that also counts while it is suspended.
  using HostTime = Duration;

  struct Answer {
    StoreTime made_at{0};  // as the answer says
    HostTime called_at{0};
    HostTime heard_at{0};
  };
  // Whether the answer fits what was known. One that doesn't is believed alone: a clock
  // was set or replaced, and what older answers told would be wrong for good.
  bool Heard(const Answer& answer);

  // No later than now, as far as is known; nothing before the first answer, since the
  // store's clock has a start of its own. For what must not end too early.
  [[nodiscard]] std::optional<StoreTime> Earliest(HostTime now) const;
  // No earlier than now. For what begins now.
  [[nodiscard]] std::optional<StoreTime> Latest(HostTime now) const;
  // Since the last answer.
  [[nodiscard]] std::optional<Duration> Age(HostTime now) const;

 private:
  // Of the store's clock to this host's.
  struct Offset {
    Duration least{0};
    Duration most{0};
  };
  std::optional<Offset> offset_;
  HostTime heard_at_{0};
};

}  // namespace figmill
