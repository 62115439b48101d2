#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "figmill/observe.h"

namespace figmill::detail {

// "event=NAME key=value ...". A value that a reader couldn't split again (empty,
// or with a blank, quote, '=' or control character) is quoted and escaped, so
// that no text from a caller can start a line or field of its own.
[[nodiscard]] std::string LogLine(std::string_view event, std::initializer_list<LogField> fields);

}  // namespace figmill::detail
