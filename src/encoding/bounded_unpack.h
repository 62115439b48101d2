#pragma once

// Unpacks MessagePack that comes from the network.

#include <cstddef>
#include <msgpack.hpp>
#include <stdexcept>
#include <string_view>

namespace figmill {

// `max_depth`: nesting of arrays. Throws an exception derived from std::exception if the bytes are
// not exactly one object.
inline msgpack::object_handle UnpackBounded(std::string_view bytes, std::size_t max_depth) {
  // Each element takes at least one byte. Without this limit five bytes that announce four
  // billion elements would make the parser allocate memory for all of them.
  const std::size_t max_elements = bytes.size();
  const msgpack::unpack_limit limit(max_elements, max_elements, max_elements, max_elements,
                                    max_elements, max_depth);
  std::size_t end = 0;
  msgpack::object_handle handle =
      msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limit);
  if (end != bytes.size()) throw std::invalid_argument("bytes follow the message");
  return handle;
}

}  // namespace figmill
