#define BOOST_BEAST_HEADER_ONLY 1
#include <boost/beast/core/detail/base64.hpp>

#include "figmill/encoding.h"

namespace figmill {

namespace base64 = boost::beast::detail::base64;

std::string Base64Encoded(std::string_view bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::optional<std::string> Base64Decoded(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string bytes(base64::decoded_size(text.size()), '\0');
  const auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
  // The decoder stops at the padding or at the first character that is not base64.
  if (text.substr(read).find_first_not_of('=') != std::string_view::npos) return std::nullopt;
  bytes.resize(written);
  return bytes;
}

}  // namespace figmill
