#pragma once

// Fields of peer messages. Functions that read them throw if a field is missing or invalid.

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>
#include <stdexcept>
#include <string>

#include "figmill/base.h"

namespace figmill {

// Most slots, items or cores of one host or backend server; larger counts are invalid.
inline constexpr int kMaxCount = 1'000'000;
inline constexpr Duration kMaxDuration = std::chrono::hours(24);
// Limit of the table service for a key. Unit: bytes.
inline constexpr std::size_t kMaxNameBytes = 200;

using Packer = msgpack::packer<msgpack::sbuffer>;
using Object = msgpack::object;

// Returns an element of an array; throws if there is none.
inline const Object& Element(const Object& array, std::uint32_t index) {
  if (array.type != msgpack::type::ARRAY || index >= array.via.array.size) {
    throw std::invalid_argument("element " + std::to_string(index) + " is missing");
  }
  return array.via.array.ptr[index];
}

template <typename T>
T Get(const Object& array, std::uint32_t index) {
  return Element(array, index).as<T>();
}

inline std::uint32_t SizeOf(const Object& array) {
  if (array.type != msgpack::type::ARRAY) throw std::invalid_argument("a list is expected");
  return array.via.array.size;
}

// A negative count would release slots that are in use, and sums of large counts overflow.
inline int GetCount(const Object& array, std::uint32_t index) {
  const auto count = Get<int>(array, index);
  if (count < 0 || count > kMaxCount) throw std::invalid_argument("a count is out of range");
  return count;
}

// Durations are added to the time of arrival, which would overflow for the largest ones.
inline Duration GetDuration(const Object& array, std::uint32_t index) {
  const Duration duration(Get<std::int64_t>(array, index));
  if (duration < -kMaxDuration || duration > kMaxDuration) {
    throw std::invalid_argument("a duration is out of range");
  }
  return duration;
}

// Time that is left until a deadline of the caller, which may be any time; limited to one day.
inline Duration GetTimeLeft(const Object& array, std::uint32_t index) {
  const Duration time_left(Get<std::int64_t>(array, index));
  return std::clamp(time_left, -kMaxDuration, kMaxDuration);
}

inline std::string GetName(const Object& array, std::uint32_t index) {
  auto name = Get<std::string>(array, index);
  if (name.size() > kMaxNameBytes) throw std::invalid_argument("a name is too long");
  return name;
}

}  // namespace figmill
