#include <doctest/doctest.h>

#include <random>

#include "figmill/runtime.h"
#include "observe/log_line.h"

namespace figmill {
namespace {

TEST_CASE("quantiles come near the exact ones, in constant memory") {
  Distribution distribution;
  std::mt19937 engine(7);
  std::exponential_distribution<double> samples(1.0);
  for (int i = 0; i < 200'000; ++i) distribution.Add(samples(engine));
  const Distribution::Summary summary = distribution.summary();
  CHECK(summary.count == 200'000);
  CHECK(summary.p50 == doctest::Approx(0.693).epsilon(0.03));
  CHECK(summary.p95 == doctest::Approx(2.996).epsilon(0.05));
  CHECK(summary.p99 == doctest::Approx(4.605).epsilon(0.10));
}

// Symptom: right after a start the p99 of a metric lies far under its p50.
// Events: fewer samples than the estimator has markers, the largest first.
// Cause: until then its markers hold the samples in order of arrival.
TEST_CASE("a few samples are ranked exactly") {
  Distribution distribution;
  for (const double value : {9.0, 1.0, 2.0, 3.0, 4.0}) distribution.Add(value);
  const Distribution::Summary summary = distribution.summary();
  CHECK(summary.p50 == 3.0);
  CHECK(summary.p99 == 9.0);
  CHECK(summary.sum == 19.0);
}

// Symptom: a distribution shows NaN for good.
// Events: one sample is NaN, such as a rate over no time.
// Cause: every later estimate is computed from it.
TEST_CASE("a sample that is no number changes nothing") {
  Distribution distribution;
  distribution.Add(2.0);
  distribution.Add(std::numeric_limits<double>::quiet_NaN());
  CHECK(distribution.summary().count == 1);
  CHECK(distribution.summary().p99 == 2.0);
}

TEST_CASE("a page of metrics is Prometheus text, one head a family") {
  Metrics metrics;
  metrics.counter("figmill_requests_total", "Requests").Add(3);
  metrics.counter("figmill_refusals_total", "Refusals", "kind=\"overloaded\"").Add();
  metrics.counter("figmill_refusals_total", "Refusals", "kind=\"leaving\"").Add(2);
  metrics.gauge("figmill_queue_items", "Items\nqueued").Set(1.5);
  metrics.distribution("figmill_wait_seconds", "Wait", "class=\"online\"").Add(0.25);
  CHECK(metrics.PrometheusText() ==
        "# HELP figmill_refusals_total Refusals\n"
        "# TYPE figmill_refusals_total counter\n"
        "figmill_refusals_total{kind=\"leaving\"} 2\n"
        "figmill_refusals_total{kind=\"overloaded\"} 1\n"
        "# HELP figmill_requests_total Requests\n"
        "# TYPE figmill_requests_total counter\n"
        "figmill_requests_total 3\n"
        "# HELP figmill_queue_items Items\\nqueued\n"
        "# TYPE figmill_queue_items gauge\n"
        "figmill_queue_items 1.5\n"
        "# HELP figmill_wait_seconds Wait\n"
        "# TYPE figmill_wait_seconds summary\n"
        "figmill_wait_seconds{class=\"online\",quantile=\"0.5\"} 0.25\n"
        "figmill_wait_seconds{class=\"online\",quantile=\"0.95\"} 0.25\n"
        "figmill_wait_seconds{class=\"online\",quantile=\"0.99\"} 0.25\n"
        "figmill_wait_seconds_sum{class=\"online\"} 0.25\n"
        "figmill_wait_seconds_count{class=\"online\"} 1\n");
}

TEST_CASE("the same name and labels are the same metric") {
  Metrics metrics;
  Counter& first = metrics.counter("a_total", "A", "x=\"1\"");
  first.Add();
  CHECK(&metrics.counter("a_total", "A", "x=\"1\"") == &first);
  CHECK(&metrics.counter("a_total", "A", "x=\"2\"") != &first);
}

TEST_CASE("an event is one line of key=value") {
  CHECK(detail::LogLine("dispatch", {{"request", "r-1"}, {"service", "note-llm"}}) ==
        "event=dispatch request=r-1 service=note-llm");
}

// Symptom: the log shows an event that never happened.
// Events: a caller puts a line break and "event=..." into a header we log.
// Cause: the value was written as it came.
TEST_CASE("a value can't forge a line or a field") {
  CHECK(detail::LogLine("refused", {{"path", "/a\nevent=\"x\" b\\\x01"}, {"team", ""}}) ==
        "event=refused path=\"/a\\nevent=\\\"x\\\" b\\\\\\x01\" team=\"\"");
}

}  // namespace
}  // namespace figmill
