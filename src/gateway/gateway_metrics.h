#pragma once

// The gateway's counters and histograms.

#include "figmill/observe.h"
#include "figmill/relay.h"

namespace figmill {

// Histograms are looked up once; counters with a label are looked up at each event.
class GatewayMetrics {
 public:
  explicit GatewayMetrics(Metrics& metrics);

  // A caller's request has its final response. `first` is the time to the first byte of the
  // response, 0 if there was none.
  void RequestEnded(std::string_view outcome, Duration duration, Duration time_to_first_byte);
  // A request was refused after a quarter of its latency goal or later: the forecast that it would
  // be served was wrong.
  void RefusedLate();
  // One send to a backend server has ended.
  void SendEnded(relay::SendEnd end);
  void ItemEnded(bool complete, Duration duration);
  void ItemStopped(relay::SendEnd end);

 private:
  Metrics& metrics_;
  Histogram& request_seconds_;
  Histogram& first_byte_seconds_;
  Histogram& item_seconds_;
};

}  // namespace figmill
