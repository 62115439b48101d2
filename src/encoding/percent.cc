#include <array>
#include <cctype>

#include "figmill/encoding.h"

namespace figmill {
namespace {

constexpr std::string_view kDigits = "0123456789ABCDEF";

bool IsUnreserved(unsigned char c) {
  return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~';
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::string PercentEncoded(std::string_view text) {
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (IsUnreserved(byte)) {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4U];
      encoded += kDigits[byte & 15U];
    }
  }
  return encoded;
}

std::string PercentDecoded(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
                        HexDigit(text[i + 2]) >= 0;
    if (escape) {
      decoded.push_back(static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

}  // namespace figmill
