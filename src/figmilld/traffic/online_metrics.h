#pragma once

// What an entry counts of online requests (docs/operations/online.md).

#include <string>

#include "figmill/runtime.h"

namespace figmill {

struct OnlineMetrics {
  explicit OnlineMetrics(Metrics& metrics);
  // `outcome` is "answered", "abandoned", or an error kind.
  void Ended(const std::string& outcome);

  Metrics& all;
  Counter& attempts;
  Counter& resumes;
  Counter& late_events;
  Counter& cached_tokens;
  Counter& tokens;
  Distribution& first_bytes;
  Distribution& gap;
  Gauge& in_flight;
  Gauge& ejected;
};

}  // namespace figmill
