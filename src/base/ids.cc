#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "figmill/base.h"

namespace figmill {
namespace {

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == ':' || c == '-';
}

Error BadAddress(std::string_view text) {
  return Error{ErrorKind::kBadRequest, "'" + std::string(text) +
                                           "' is not an address: expected an IPv4 address and a "
                                           "port, such as 127.0.0.1:8080"};
}

bool IsIpv4(std::string_view host) {
  int parts = 0;
  while (true) {
    const std::size_t dot = host.find('.');
    const std::string_view part = host.substr(0, dot);
    unsigned value = 0;
    const auto [end, failure] = std::from_chars(part.data(), part.data() + part.size(), value);
    if (failure != std::errc{} || end != part.data() + part.size() || value > 255) return false;
    ++parts;
    if (dot == std::string_view::npos) return parts == 4;
    host.remove_prefix(dot + 1);
  }
}

}  // namespace

std::string ToString(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

Result<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return BadAddress(text);
  const std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, failure] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (failure != std::errc{} || end != port_text.data() + port_text.size()) return BadAddress(text);
  if (!IsIpv4(host)) return BadAddress(text);
  return Address{std::string(host), port};
}

Result<std::string> ParseId(std::string_view text, std::string_view what, std::size_t max_length) {
  if (text.empty() || text.size() > max_length) {
    return Error{ErrorKind::kBadRequest, std::string(what) + " must have 1 to " +
                                             std::to_string(max_length) + " characters, not " +
                                             std::to_string(text.size())};
  }
  if (!std::all_of(text.begin(), text.end(), IsIdCharacter)) {
    return Error{ErrorKind::kBadRequest,
                 std::string(what) + " may contain only letters, digits and . _ : -"};
  }
  return std::string(text);
}

Token GenerateToken(const RandomBits& random) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(random()),
                static_cast<unsigned long long>(random()));
  return Token{std::string(text.data(), 32)};
}

std::uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  const std::uint64_t seed = XXH3_64bits(node.data(), node.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

}  // namespace figmill
