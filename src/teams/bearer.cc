#include <algorithm>
#include <cctype>

#include "figmill/teams.h"

namespace figmill {
namespace {

constexpr std::string_view kScheme = "bearer";
// Characters allowed in a key besides letters and digits (RFC 6750, section 2.1).
constexpr std::string_view kKeyPunctuation = "-._~+/=";

Error Unauthorized(std::string why) {
  return Error{ErrorKind::kUnauthorized, std::move(why), Ran::kNo};
}

bool StartsWithScheme(std::string_view value) {
  if (value.size() <= kScheme.size() || value[kScheme.size()] != ' ') return false;
  return std::equal(kScheme.begin(), kScheme.end(), value.begin(), [](char expected, char c) {
    return expected == static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
}

bool IsKeyCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         kKeyPunctuation.find(c) != std::string_view::npos;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

Result<std::string_view> ParseBearer(std::span<const Header> headers) {
  const auto is_key = [](const Header& header) { return SameHeaderName(header.name, kKeyHeader); };
  const auto found = std::find_if(headers.begin(), headers.end(), is_key);
  if (found == headers.end()) return Unauthorized("the request has no key");
  if (std::count_if(headers.begin(), headers.end(), is_key) > 1) {
    return Unauthorized("the request has more than one key");
  }
  const std::string_view value = Trim(found->value);
  if (!StartsWithScheme(value)) return Unauthorized("the key is not a bearer key");
  const std::string_view key = Trim(value.substr(kScheme.size()));
  if (key.empty() || !std::all_of(key.begin(), key.end(), IsKeyCharacter)) {
    return Unauthorized("the key is malformed");
  }
  return key;
}

}  // namespace figmill
