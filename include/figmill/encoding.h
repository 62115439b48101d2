#pragma once

// Text encodings of bytes. No I/O.

#include <optional>
#include <string>
#include <string_view>

namespace figmill {

[[nodiscard]] std::string Base64Encoded(std::string_view bytes);
// Nothing if the text is not base64 with padding.
[[nodiscard]] std::optional<std::string> Base64Decoded(std::string_view text);

// Encodes a value for the query of a URL: all but letters, digits and -._~ become %XX.
[[nodiscard]] std::string PercentEncoded(std::string_view text);
// Leaves '+' and malformed escapes unchanged.
[[nodiscard]] std::string PercentDecoded(std::string_view text);

}  // namespace figmill
