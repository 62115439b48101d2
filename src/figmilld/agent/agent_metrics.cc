#include "figmilld/agent/agent_metrics.h"

namespace figmill {
namespace {

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

AgentMetrics::AgentMetrics(Metrics& metrics)
    : metrics_(metrics),
      stop_seconds_(metrics.distribution("figmill_agent_batch_stop_seconds",
                                         "Online arrival to batch stopped at the backend server")),
      tokens_kept_(
          metrics.counter("figmill_agent_batch_tokens_kept_total",
                          "Tokens of stopped batch streams that went on from their KV cache")),
      tokens_rerun_(metrics.counter("figmill_agent_batch_tokens_rerun_total",
                                    "Tokens of stopped batch streams that were generated again")),
      online_tokens_(
          metrics.counter("figmill_agent_tokens_total", "Tokens generated", "class=\"online\"")),
      batch_tokens_(
          metrics.counter("figmill_agent_tokens_total", "Tokens generated", "class=\"batch\"")),
      batch_stops_(metrics.counter("figmill_agent_batch_stops_total",
                                   "Batch streams stopped to make room for online")) {}

void AgentMetrics::Update(const SchedulerStats& counts) {
  const auto set = [&](std::string_view name, std::string_view help, std::string_view labels,
                       double value) { metrics_.gauge(name, help, labels).Set(value); };
  constexpr std::string_view kRunning = "figmill_agent_running";
  constexpr std::string_view kQueued = "figmill_agent_queued";
  constexpr std::string_view kLimit = "figmill_agent_limit";
  set(kRunning, "Streams running", "class=\"online\"", counts.online_running);
  set(kRunning, "Streams running", "class=\"batch\"", counts.batch_running);
  set(kQueued, "Requests waiting", "class=\"online\"", counts.online_queued);
  set(kQueued, "Requests waiting", "class=\"batch\"", counts.batch_queued);
  set("figmill_agent_paused", "Batch streams stopped for online", "", counts.batch_paused);
  set(kLimit, "Streams that may run", "class=\"online\"", counts.online_limit);
  set(kLimit, "Streams that may run", "class=\"batch\"", counts.batch_limit);
  set("figmill_agent_token_gap_seconds", "Token gap predicted at the present concurrency", "",
      Seconds(counts.predicted_token_gap));
  batch_stops_.Add(counts.batch_stops - reported_stops_);
  reported_stops_ = counts.batch_stops;
}

void AgentMetrics::CountRefusal(const Error& error, WorkClass work_class) {
  const std::string labels = "class=\"" +
                             std::string(work_class == WorkClass::kOnline ? "online" : "batch") +
                             "\",kind=\"" + std::string(ErrorInfoOf(error.kind).name) +
                             "\",ran=\"" + std::string(ToString(error.ran)) + "\"";
  metrics_.counter("figmill_agent_refusals_total", "Dispatches without a whole answer", labels)
      .Add();
}

void AgentMetrics::RecordBatchStop(Duration time) {
  stop_seconds_.Add(Seconds(time));
}

void AgentMetrics::CountTokens(WorkClass work_class, std::uint64_t tokens) {
  (work_class == WorkClass::kOnline ? online_tokens_ : batch_tokens_).Add(tokens);
}

}  // namespace figmill
