#pragma once

// Parses JSON and CBOR documents from other processes. The library's CBOR parser is recursive, and
// so are the copy, the comparison and the serialization of any parsed value: a deeply nested
// document would overflow the stack. Deeper ones are therefore refused before they are parsed.

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace figmill {

// Levels of arrays and objects.
inline constexpr std::size_t kMaxDocumentDepth = 256;

// False also for text that is not JSON if its brackets nest more deeply.
[[nodiscard]] bool IsJsonWithinDepth(std::string_view text,
                                     std::size_t max_depth = kMaxDocumentDepth);
// Returns a discarded value if the text is not JSON or nests too deeply.
[[nodiscard]] nlohmann::json ParseJson(std::string_view text);
// The same, but throws nlohmann::json::exception.
[[nodiscard]] nlohmann::json ParseJsonOrThrow(std::string_view text);

// Accepts a single value with definite lengths and without tags. Throws nlohmann::json::exception
// if the bytes are not CBOR of that form, or nest too deeply.
[[nodiscard]] nlohmann::json ParseCborOrThrow(std::string_view bytes,
                                              std::size_t max_depth = kMaxDocumentDepth);

}  // namespace figmill
