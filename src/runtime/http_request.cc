#include <algorithm>

#include "figmill/encoding.h"
#include "figmill/runtime.h"

namespace figmill {
namespace {

// In a query '+' stands for a blank.
std::string QueryDecoded(std::string_view text) {
  std::string spaced(text);
  std::replace(spaced.begin(), spaced.end(), '+', ' ');
  return PercentDecoded(spaced);
}

}  // namespace

std::string_view HttpRequest::HeaderOr(std::string_view name, std::string_view fallback) const {
  for (const Header& header : headers) {
    if (SameHeaderName(header.name, name)) return header.value;
  }
  return fallback;
}

std::optional<std::string> HttpRequest::QueryValue(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::size_t ampersand = rest.find('&');
    const std::string_view pair = rest.substr(0, ampersand);
    const std::size_t equals = pair.find('=');
    if (QueryDecoded(pair.substr(0, equals)) == name) {
      return equals == std::string_view::npos ? "" : QueryDecoded(pair.substr(equals + 1));
    }
    if (ampersand == std::string_view::npos) break;
    rest.remove_prefix(ampersand + 1);
  }
  return std::nullopt;
}

}  // namespace figmill
