#pragma once

#include <cstddef>
#include <string_view>

namespace figmill::detail {

// Whether the bytes are a single CBOR value with only definite lengths and no tags, whose arrays
// and maps nest at most `depth` levels deep. Not recursive: it uses a stack of fixed size.
[[nodiscard]] bool IsCborWithinDepth(std::string_view bytes, std::size_t depth);

}  // namespace figmill::detail
