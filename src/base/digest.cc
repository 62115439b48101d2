#include <array>
#include <cstdint>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "figmill/base.h"

namespace figmill {

std::string ContentDigest(std::span<const std::string_view> parts) {
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  for (const std::string_view part : parts) {
    const std::uint64_t size = part.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

}  // namespace figmill
