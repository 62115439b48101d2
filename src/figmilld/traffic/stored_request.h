#pragma once

// A caller's request as an object, to be run later.

#include <string>
#include <string_view>

#include "figmill/runtime.h"

namespace figmill {

[[nodiscard]] std::string SerializeRequest(const HttpRequest& request);
// Errors: kInternal, when the bytes were not written by figmill.
[[nodiscard]] Result<HttpRequest> ParseStoredRequest(std::string_view bytes);

}  // namespace figmill
