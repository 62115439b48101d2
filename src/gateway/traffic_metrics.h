#pragma once

// Bytes that this entry exchanges, by what they are for and whether they cross data centres.
// Bytes between data centres are dear, and grow with the fleet first: these counters tell which
// part of the entry to look at.

#include <array>
#include <cstdint>

#include "figmill/observe.h"

namespace figmill {

enum class TrafficKind : std::uint8_t {
  kOnline,      // requests of callers at backend servers
  kBatch,       // items at backend servers
  kStore,       // calls to the platform's store
  kStoreByWay,  // the same by way of another entry; counted by the one that asks for it
  kReport,      // datagrams, counted by their senders
  kGrant,
  kAsk,
  kAnswer,
  kPresence,  // datagrams that only tell who is there
  kQuota,     // credits of teams
};

enum class Reach : std::uint8_t {
  kSameCentre,
  kOtherCentre,
  kUnknown,  // the data centre of the other end isn't known here
};

class TrafficMetrics {
 public:
  explicit TrafficMetrics(Metrics& metrics);
  // Bytes, in both directions for calls. It stays as long as the metrics.
  [[nodiscard]] Counter& Of(TrafficKind kind, Reach reach);

 private:
  static constexpr std::size_t kKinds = 10;
  static constexpr std::size_t kReaches = 3;
  std::array<std::array<Counter*, kReaches>, kKinds> counters_{};
};

}  // namespace figmill
