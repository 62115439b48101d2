#pragma once

#include <cstddef>
#include <string_view>

namespace figmill::ledger {

// Whether the bytes are one CBOR value of definite lengths, without tags, whose lists and
// maps nest at most `depth` deep. Takes a stack of its own, of fixed size.
[[nodiscard]] bool NestsWithin(std::string_view bytes, std::size_t depth);

}  // namespace figmill::ledger
