#include "gateway/gateway_metrics.h"

namespace figmill {
namespace {

double Seconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

std::string Label(std::string_view name, std::string_view value) {
  return std::string(name) + "=\"" + std::string(value) + "\"";
}

}  // namespace

GatewayMetrics::GatewayMetrics(Metrics& metrics)
    : metrics_(metrics),
      request_seconds_(metrics.histogram("figmill_request_seconds",
                                         "From a request's arrival to its final answer")),
      first_byte_seconds_(metrics.histogram("figmill_first_byte_seconds",
                                            "From a request's arrival to the answer's first byte")),
      item_seconds_(metrics.histogram("figmill_item_seconds",
                                      "From a batch item's first run here to its result")) {}

void GatewayMetrics::RequestEnded(std::string_view outcome, Duration duration,
                                  Duration time_to_first_byte) {
  metrics_
      .counter("figmill_requests_total", "Requests with a final answer", Label("outcome", outcome))
      .Add();
  request_seconds_.Add(Seconds(duration));
  if (time_to_first_byte.count() > 0) first_byte_seconds_.Add(Seconds(time_to_first_byte));
}

void GatewayMetrics::RefusedLate() {
  metrics_
      .counter("figmill_refused_late_total",
               "Requests refused after a quarter of their goal, or later")
      .Add();
}

void GatewayMetrics::SendEnded(relay::SendEnd end) {
  metrics_
      .counter("figmill_sends_total", "Sends to backend servers that have ended",
               Label("end", relay::ToString(end)))
      .Add();
}

void GatewayMetrics::ItemEnded(bool complete, Duration duration) {
  metrics_
      .counter("figmill_items_total", "Batch items with a result",
               Label("state", complete ? "complete" : "dead"))
      .Add();
  item_seconds_.Add(Seconds(duration));
}

void GatewayMetrics::ItemStopped(relay::SendEnd end) {
  metrics_
      .counter("figmill_item_stops_total", "Runs of batch items that ended without a result",
               Label("end", relay::ToString(end)))
      .Add();
}

}  // namespace figmill
