#pragma once

// Which requests crash the backend servers that run them. No I/O.

#include <compare>
#include <span>
#include <string>
#include <string_view>

#include "figmill/base.h"

namespace figmill {

// What attempts of one request have in common. Each attempt has an id of its own, so that ids
// can't tell that the same request has come again.
struct RequestFingerprint {
  std::string value;  // 32 hexadecimal digits
  auto operator<=>(const RequestFingerprint&) const = default;
};
// `target`: path and query. Of the headers those that tell whose request it is.
[[nodiscard]] RequestFingerprint FingerprintOf(std::string_view method, std::string_view target,
                                               std::span<const Header> headers,
                                               std::string_view body);

}  // namespace figmill
