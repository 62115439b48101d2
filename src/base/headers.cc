#include <algorithm>
#include <cctype>

#include "figmill/base.h"

namespace figmill {

bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

std::string_view HeaderValue(std::span<const Header> headers, std::string_view name,
                             std::string_view fallback) {
  for (const Header& header : headers) {
    if (SameHeaderName(header.name, name)) return header.value;
  }
  return fallback;
}

std::string_view HttpHead::HeaderOr(std::string_view name, std::string_view fallback) const {
  return HeaderValue(headers, name, fallback);
}

}  // namespace figmill
