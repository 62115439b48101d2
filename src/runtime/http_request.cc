#include <algorithm>
#include <cctype>

#include "figmill/runtime.h"

namespace figmill {
namespace {

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
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
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

}  // namespace

std::string_view HttpRequest::HeaderOr(std::string_view name, std::string_view fallback) const {
  for (const Header& header : headers) {
    if (SameName(header.name, name)) return header.value;
  }
  return fallback;
}

std::optional<std::string> HttpRequest::QueryValue(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::size_t ampersand = rest.find('&');
    const std::string_view pair = rest.substr(0, ampersand);
    const std::size_t equals = pair.find('=');
    if (PercentDecoded(pair.substr(0, equals)) == name) {
      return equals == std::string_view::npos ? "" : PercentDecoded(pair.substr(equals + 1));
    }
    if (ampersand == std::string_view::npos) break;
    rest.remove_prefix(ampersand + 1);
  }
  return std::nullopt;
}

}  // namespace figmill
