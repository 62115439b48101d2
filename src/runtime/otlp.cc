#include "runtime/otlp.h"

#include <nlohmann/json.hpp>

namespace figmill::detail {
namespace {

using nlohmann::json;

constexpr int kSpanKindServer = 2;
constexpr int kStatusError = 2;

json AttributeJson(std::string_view name, std::string_view value) {
  return {{"key", name}, {"value", {{"stringValue", value}}}};
}

// OTLP's JSON writes 64-bit integers as strings.
std::string NanosecondText(WallTime time) {
  const auto since_epoch = time.time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count());
}

json SpanJson(const Span& span) {
  json attributes = json::array();
  for (const SpanAttribute& attribute : span.attributes) {
    attributes.push_back(AttributeJson(attribute.name, attribute.value));
  }
  json out = {{"traceId", span.context.trace_id},
              {"spanId", span.context.span_id},
              {"name", span.name},
              {"kind", kSpanKindServer},
              {"startTimeUnixNano", NanosecondText(span.start)},
              {"endTimeUnixNano", NanosecondText(span.end)},
              {"attributes", std::move(attributes)}};
  if (!span.parent_span_id.empty()) out["parentSpanId"] = span.parent_span_id;
  if (span.failed) out["status"] = {{"code", kStatusError}};
  return out;
}

}  // namespace

std::string OtlpJson(std::string_view service, std::span<const Span> spans) {
  json list = json::array();
  for (const Span& span : spans) list.push_back(SpanJson(span));
  json scope = {{"scope", {{"name", "figmill"}}}, {"spans", std::move(list)}};
  json resource = {{"attributes", json::array({AttributeJson("service.name", service)})}};
  json entry = {{"resource", std::move(resource)}, {"scopeSpans", json::array({std::move(scope)})}};
  const json request = {{"resourceSpans", json::array({std::move(entry)})}};
  // A caller's text may be no UTF-8; it must cost the odd character, not throw.
  return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace figmill::detail
