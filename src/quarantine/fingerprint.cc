#include <array>

#include "figmill/quarantine.h"

namespace figmill {

Fingerprint FingerprintOf(std::string_view method, std::string_view target,
                          std::span<const Header> headers, std::string_view body,
                          const TeamId& team) {
  const std::array<std::string_view, 5> parts{method, target, HeaderValue(headers, "Host"),
                                              team.value, body};
  return {ContentDigest(parts)};
}

}  // namespace figmill
