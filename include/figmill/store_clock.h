#pragma once

// Estimates the current time on a shared service's steady clock from the timestamps in its
// responses and this host's own clock. No I/O: the host's time is passed in.

#include <optional>

#include "figmill/tables.h"

namespace figmill {

// The service makes a response between the start of the call and its arrival, so each response
// bounds the offset between the two clocks from both sides, and further responses narrow the
// bounds. The offset must be kept as an interval: with a single value, a job's lifetime began up
// to 1.6 s (the longest call) before the job was submitted, or expired too early.
class StoreClock {
 public:
  // Time on a clock of this host that also advances while the host is suspended.
  using HostTime = Duration;

  struct Sample {
    StoreTime store_time{0};  // the timestamp in the response
    HostTime sent_at{0};
    HostTime received_at{0};
  };
  // Returns whether the response is consistent with the earlier ones. If it isn't, a clock was set
  // or replaced: the earlier bounds would stay wrong forever, so they are discarded.
  bool AddSample(const Sample& sample);

  // A lower bound of the store's current time; nothing before the first response, since the
  // store's clock has an arbitrary start. Use it for what must not expire too early.
  [[nodiscard]] std::optional<StoreTime> Earliest(HostTime now) const;
  // An upper bound of the store's current time. Use it for what begins now.
  [[nodiscard]] std::optional<StoreTime> Latest(HostTime now) const;
  // Time since the last response.
  [[nodiscard]] std::optional<Duration> Age(HostTime now) const;

 private:
  // Bounds of the store's clock minus this host's clock.
  struct Offset {
    Duration lower{0};
    Duration upper{0};
  };
  std::optional<Offset> offset_;
  HostTime received_at_{0};
};

}  // namespace figmill
