#pragma once

// Text encodings of bytes. No I/O.

#include <optional>
#include <string>
#include <string_view>

namespace figmill {

[[nodiscard]] std::string Base64Encoded(std::string_view bytes);
// Nothing when the text is not base64 with its padding.
[[nodiscard]] std::optional<std::string> Base64Decoded(std::string_view text);

// For a value in the query of a URL: all but letters, digits and -._~ as %XX.
[[nodiscard]] std::string PercentEncoded(std::string_view text);
// '+' stays; a broken escape stays as it is.
[[nodiscard]] std::string PercentDecoded(std::string_view text);

}  // namespace figmill
