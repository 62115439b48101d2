#include "figmilld/traffic/online_metrics.h"

namespace figmill {

OnlineMetrics::OnlineMetrics(Metrics& metrics)
    : all(metrics),
      attempts(metrics.counter("figmill_online_attempts_total",
                               "Dispatches to agents, without resumes")),
      resumes(metrics.counter("figmill_online_resumes_total", "Streams taken up after a break")),
      late_events(metrics.counter("figmill_online_late_events_total",
                                  "Answers that came late or crossed, dropped")),
      cached_tokens(metrics.counter("figmill_online_cached_tokens_total",
                                    "Prompt tokens that engines had cached")),
      tokens(metrics.counter("figmill_online_tokens_total", "Tokens generated")),
      first_bytes(metrics.distribution("figmill_online_first_token_seconds",
                                       "From a request's arrival to its answer's first bytes")),
      gap(metrics.distribution("figmill_online_token_gap_seconds",
                               "Between the pieces of a streamed answer")),
      in_flight(metrics.gauge("figmill_online_in_flight", "Requests without a final answer yet")),
      ejected(
          metrics.gauge("figmill_online_ejected_agents", "Agents left out for failing in a row")) {}

void OnlineMetrics::Ended(const std::string& outcome) {
  all.counter("figmill_online_requests_total", "Requests by outcome: answered, or the error's kind",
              "outcome=\"" + outcome + "\"")
      .Add();
}

}  // namespace figmill
