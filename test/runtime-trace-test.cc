#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "figmill/runtime.h"

namespace figmill {
namespace {

using nlohmann::json;

constexpr std::string_view kHeader = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

TEST_CASE("a traceparent is read and written back") {
  const std::optional<TraceContext> context = ParseTraceparent(kHeader);
  REQUIRE(context);
  CHECK(context->trace_id == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(context->span_id == "00f067aa0ba902b7");
  CHECK(context->sampled);
  CHECK(ToTraceparent(*context) == kHeader);
}

TEST_CASE("a later version may be longer, version 00 may not") {
  CHECK(ParseTraceparent("cc" + std::string(kHeader.substr(2)) + "-more"));
  CHECK_FALSE(ParseTraceparent("cc" + std::string(kHeader.substr(2)) + "more"));
  CHECK_FALSE(ParseTraceparent(std::string(kHeader) + "-more"));
}

TEST_CASE("what the standard forbids is no context") {
  const std::vector<std::string> bad = {"",
                                        "00",
                                        "ff" + std::string(kHeader.substr(2)),
                                        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                                        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
                                        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
                                        "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
                                        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0x"};
  for (const std::string& header : bad) {
    INFO(header);
    CHECK_FALSE(ParseTraceparent(header));
  }
}

// A collector on loopback whose answers a test chooses.
class Collector {
 public:
  explicit Collector(Loop& loop)
      : server(HttpServer::Listen(loop, Address{"127.0.0.1", 0},
                                  [this](const HttpRequest& request, const auto& reply) {
                                    bodies.push_back(request.body);
                                    if (!hang) reply->Send(HttpResponse{status, {}, {}, "{}"});
                                    kept.push_back(reply);
                                    if (on_request) on_request();
                                  })) {
    REQUIRE(IsOk(server));
  }
  [[nodiscard]] Address address() const { return ValueOf(server)->address(); }

  int status = 200;
  bool hang = false;
  std::vector<std::string> bodies;
  std::vector<std::shared_ptr<HttpReply>> kept;
  std::function<void()> on_request;
  Result<std::unique_ptr<HttpServer>> server;
};

std::uint64_t Value(Metrics& metrics, std::string_view name) {
  return metrics.counter(name, "").value();
}

TEST_CASE("a hop continues its caller's trace and reaches the collector as OTLP") {
  Loop loop;
  Collector collector(loop);
  HttpClient client(loop);
  Metrics metrics;
  Tracer tracer(loop, client, collector.address(), "entry", metrics);
  Span span = tracer.Start("POST /v1/completions", ParseTraceparent(kHeader));
  span.attributes = {{"figmill.request", "r-\xFF"}};
  span.failed = true;
  const std::string span_id = span.context.span_id;
  CHECK(span_id != "00f067aa0ba902b7");
  tracer.Finish(std::move(span));
  collector.on_request = [&] { loop.Stop(); };
  loop.Run();

  const json sent = json::parse(collector.bodies.at(0));
  const json& resource = sent["resourceSpans"][0];
  CHECK(resource["resource"]["attributes"][0]["value"]["stringValue"] == "entry");
  const json& out = resource["scopeSpans"][0]["spans"][0];
  CHECK(out["traceId"] == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(out["parentSpanId"] == "00f067aa0ba902b7");
  CHECK(out["spanId"] == span_id);
  CHECK(out["status"]["code"] == 2);
  CHECK(std::stoull(out["endTimeUnixNano"].get<std::string>()) >=
        std::stoull(out["startTimeUnixNano"].get<std::string>()));
}

// Symptom: memory grows, or requests slow down, while the collector hangs.
// Events: the collector takes a batch and never answers; spans keep coming.
// Cause: spans pile up behind the call that is under way.
TEST_CASE("a collector that hangs costs spans, which are counted, and nothing else") {
  Loop loop;
  Collector collector(loop);
  collector.hang = true;
  HttpClient client(loop);
  Metrics metrics;
  Tracer tracer(loop, client, collector.address(), "entry", metrics);
  tracer.Finish(tracer.Start("first", std::nullopt));
  collector.on_request = [&] { loop.Stop(); };
  loop.Run();
  for (int i = 0; i < 10'000; ++i) tracer.Finish(tracer.Start("next", std::nullopt));
  CHECK(Value(metrics, "figmill_trace_spans_dropped_total") == 10'000 - 4096);
  CHECK(collector.bodies.size() == 1);
}

TEST_CASE("spans that the collector refuses are counted as dropped") {
  Loop loop;
  Collector collector(loop);
  collector.status = 500;
  HttpClient client(loop);
  Metrics metrics;
  Tracer tracer(loop, client, collector.address(), "entry", metrics);
  tracer.Finish(tracer.Start("x", std::nullopt));
  const Timer poll = loop.Every(Duration{5'000}, [&] {
    if (Value(metrics, "figmill_trace_spans_dropped_total") == 1) loop.Stop();
  });
  loop.Run();
  CHECK(Value(metrics, "figmill_trace_spans_sent_total") == 0);
}

TEST_CASE("without an endpoint spans still get contexts and are not kept") {
  Loop loop;
  HttpClient client(loop);
  Metrics metrics;
  Tracer tracer(loop, client, std::nullopt, "entry", metrics);
  const Span span = tracer.Start("x", std::nullopt);
  CHECK(ParseTraceparent(ToTraceparent(span.context)));
  for (int i = 0; i < 10'000; ++i) tracer.Finish(span);
  CHECK(Value(metrics, "figmill_trace_spans_dropped_total") == 0);
}

}  // namespace
}  // namespace figmill
