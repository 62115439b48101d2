#pragma once

// Writes of keyed items between entries: the body of `POST /once/write` and of its
// answer (docs/PROTOCOLS.md).

#include <string>
#include <string_view>

#include "figmill/once.h"

namespace figmill {

inline constexpr std::string_view kOnceWritePath = "/once/write";

[[nodiscard]] std::string SerializeOnceWrite(const OnceWrite& write);
// Errors: kBadRequest.
[[nodiscard]] Result<OnceWrite> ParseOnceWrite(std::string_view body);

[[nodiscard]] std::string SerializeOnceFate(const OnceWriteResult& fate);
// What can't be read leaves the fate unknown.
[[nodiscard]] OnceWriteResult ParseOnceFate(std::string_view body);

}  // namespace figmill
