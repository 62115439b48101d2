#include "documents/cbor_nesting.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace figmill::detail {
namespace {

// Major types of RFC 8949.
enum Major : std::uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kList = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

struct Head {
  Major major = kUnsigned;
  std::uint64_t argument = 0;  // the value, the length or the number of elements
};

// Removes the head of a value from the front of `bytes`. Nothing if the head is truncated or has
// an indefinite length.
std::optional<Head> TakeHead(std::string_view& bytes) {
  constexpr std::uint8_t kOneByte = 24;     // the argument is in the byte that follows
  constexpr std::uint8_t kEightBytes = 27;  // the argument is in the eight bytes that follow
  if (bytes.empty()) return std::nullopt;
  const auto first = static_cast<std::uint8_t>(bytes.front());
  bytes.remove_prefix(1);
  Head head{static_cast<Major>(first >> 5U), first & 0x1FU};
  if (head.argument < kOneByte) return head;
  if (head.argument > kEightBytes) return std::nullopt;
  const std::size_t size = std::size_t{1} << (head.argument - kOneByte);
  if (bytes.size() < size) return std::nullopt;
  head.argument = 0;
  for (const char byte : bytes.substr(0, size)) {
    head.argument = head.argument << 8U | static_cast<std::uint8_t>(byte);
  }
  bytes.remove_prefix(size);
  return head;
}

}  // namespace

bool IsCborWithinDepth(std::string_view bytes, std::size_t depth) {
  std::vector<std::uint64_t> open;  // number of elements still to come, by nesting level
  open.reserve(depth);
  const auto close_full = [&open] {
    while (!open.empty() && open.back() == 0) open.pop_back();
  };
  do {
    if (!open.empty()) --open.back();
    const auto head = TakeHead(bytes);
    if (!head || head->major == kTag) return false;
    const bool has_bytes = head->major == kBytes || head->major == kText;
    const bool has_values = head->major == kList || head->major == kMap;
    // Rejects impossible lengths: each byte and each element takes at least one byte.
    if ((has_bytes || has_values) && head->argument > bytes.size()) return false;
    if (has_bytes) bytes.remove_prefix(head->argument);
    if (has_values && open.size() == depth) return false;
    if (has_values) open.push_back(head->major == kMap ? 2 * head->argument : head->argument);
    close_full();
  } while (!open.empty());
  return bytes.empty();
}

}  // namespace figmill::detail
