#pragma once

#include <span>
#include <string>
#include <string_view>

#include "figmill/runtime.h"

namespace figmill::detail {

// One ExportTraceServiceRequest in OTLP's JSON encoding.
[[nodiscard]] std::string OtlpJson(std::string_view service, std::span<const Span> spans);

}  // namespace figmill::detail
