#include "gateway/traffic_metrics.h"

#include <string>
#include <string_view>

namespace figmill {
namespace {

constexpr std::array<std::string_view, 12> kKindNames = {
    "online", "batch",  "store",    "store_by_way", "report", "grant",
    "ask",    "answer", "presence", "quota",        "stream", "feed"};
constexpr std::array<std::string_view, 3> kReachNames = {"same_centre", "other_centre", "unknown"};

}  // namespace

// Creates all counters at the start, so that a kind without traffic is exported as 0.
TrafficMetrics::TrafficMetrics(Metrics& metrics) {
  static_assert(kKindNames.size() == kKinds && kReachNames.size() == kReaches);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    for (std::size_t reach = 0; reach < kReaches; ++reach) {
      const std::string labels = "kind=\"" + std::string(kKindNames[kind]) + "\",reach=\"" +
                                 std::string(kReachNames[reach]) + "\"";
      counters_[kind][reach] = &metrics.counter(
          "figmill_traffic_bytes_total", "Bytes exchanged, without headers of TCP and UDP", labels);
    }
  }
}

Counter& TrafficMetrics::CounterFor(TrafficKind kind, Reach reach) {
  return *counters_[static_cast<std::size_t>(kind)][static_cast<std::size_t>(reach)];
}

}  // namespace figmill
