#include <algorithm>
#include <cctype>

#include "figmill/base.h"

namespace figmill {
namespace {

// Characters of tokens (RFC 9110, 5.6.2) other than letters and digits.
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

bool IsTokenChar(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return letter || (c >= '0' && c <= '9') || kTokenMarks.find(c) != std::string_view::npos;
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == 0x7F;
}

}  // namespace

bool IsConnectionHeader(std::string_view name) {
  for (const std::string_view each :
       {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "TE",
        "Upgrade", "Proxy-Connection"}) {
    if (SameHeaderName(name, each)) return true;
  }
  return false;
}

bool IsHeaderName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool IsHeaderValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) { return c != '\t' && IsControl(c); });
}

bool IsRequestTarget(std::string_view text) {
  return text.starts_with('/') &&
         std::none_of(text.begin(), text.end(), [](char c) { return c == ' ' || IsControl(c); });
}

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
