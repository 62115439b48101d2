#include <array>

#include "figmill/quarantine.h"

namespace figmill {
namespace {

std::string_view ValueOf(std::span<const Header> headers, std::string_view name) {
  for (const Header& header : headers) {
    if (SameHeaderName(header.name, name)) return header.value;
  }
  return {};
}

}  // namespace

RequestFingerprint FingerprintOf(std::string_view method, std::string_view target,
                                 std::span<const Header> headers, std::string_view body,
                                 const TeamId& team) {
  const std::array<std::string_view, 5> parts{method, target, ValueOf(headers, "Host"), team.value,
                                              body};
  return {ContentDigest(parts)};
}

}  // namespace figmill
