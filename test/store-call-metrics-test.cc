#include <doctest/doctest.h>

#include "gateway/store_call_metrics.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

bool Exports(const Metrics& metrics, std::string_view line) {
  return metrics.PrometheusText().find(std::string(line) + "\n") != std::string::npos;
}

}  // namespace

TEST_CASE("calls are counted by table and kind") {
  Metrics metrics;
  StoreCallMetrics calls(metrics, {"jobs", "members"});
  calls.Record(TableCallKind::kFollow, "jobs", 100);
  calls.Record(TableCallKind::kFollow, "jobs", 20);
  calls.Record(TableCallKind::kCommit, "members", 7);
  CHECK(Exports(metrics, R"(figmill_store_calls_total{table="jobs",kind="follow"} 2)"));
  CHECK(Exports(metrics, R"(figmill_store_body_bytes_total{table="jobs",kind="follow"} 120)"));
  CHECK(Exports(metrics, R"(figmill_store_calls_total{table="members",kind="commit"} 1)"));
  CHECK(Exports(metrics, R"(figmill_store_calls_total{table="members",kind="read"} 0)"));
}

// Guards against labels without bound: other writers can create tables of any name.
TEST_CASE("tables that are not listed are counted together") {
  Metrics metrics;
  StoreCallMetrics calls(metrics, {"jobs"});
  calls.Record(TableCallKind::kRead, "a", 1);
  calls.Record(TableCallKind::kRead, "b", 1);
  CHECK(Exports(metrics, R"(figmill_store_calls_total{table="other",kind="read"} 2)"));
}
