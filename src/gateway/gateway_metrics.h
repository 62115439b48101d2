#pragma once

// The gateway's counters and histograms, made once.

#include "figmill/observe.h"
#include "figmill/relay.h"

namespace figmill {

// Counters by their outcome are looked up once, not at each request.
class GatewayMetrics {
 public:
  explicit GatewayMetrics(Metrics& metrics);

  // A request of a caller has its final answer; `first` is until the first byte of
  // its answer, 0 if there was none.
  void RequestEnded(std::string_view outcome, Duration whole, Duration first);
  // One send to a backend server has ended.
  // A request was refused after a quarter of its goal or later: the forecast that it would be
  // served missed.
  void RefusedLate();
  void SendEnded(relay::SendEnd end);
  void ItemEnded(bool complete, Duration whole);
  void ItemStopped(relay::SendEnd end);

 private:
  Metrics& metrics_;
  Histogram& request_seconds_;
  Histogram& first_byte_seconds_;
  Histogram& item_seconds_;
};

}  // namespace figmill
