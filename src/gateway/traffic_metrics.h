#pragma once

// Bytes that this entry exchanges, by their purpose and by whether they cross data centres.
// Traffic between data centres is expensive and is the first to grow with the fleet: these counters
// show which part of the entry causes it.

#include <array>
#include <cstdint>

#include "figmill/observe.h"

namespace figmill {

enum class TrafficKind : std::uint8_t {
  kOnline,        // requests of callers at backend servers
  kBatch,         // batch items at backend servers
  kStore,         // calls to the platform's store
  kStoreViaPeer,  // the same, forwarded by another entry; counted by the entry that makes the call
  kReport,        // datagrams of this kind and the next ones are counted by their senders
  kGrant,
  kSlotRequest,
  kSlotResponse,
  kPresence,  // datagrams that carry membership alone
  kQuota,     // quota credits of teams
  kStream,    // sources of streams, and questions about them
  kFeed,      // polls of feed relays; counted by the entry that polls
};

enum class Reach : std::uint8_t {
  kSameCentre,
  kOtherCentre,
  kUnknown,  // the data centre of the other end isn't known here
};

class TrafficMetrics {
 public:
  explicit TrafficMetrics(Metrics& metrics);
  // Counts bytes, of calls in both directions. Valid as long as the metrics.
  [[nodiscard]] Counter& CounterFor(TrafficKind kind, Reach reach);

 private:
  static constexpr std::size_t kKinds = 12;
  static constexpr std::size_t kReaches = 3;
  std::array<std::array<Counter*, kReaches>, kKinds> counters_{};
};

}  // namespace figmill
