#pragma once

// Frames of an agent's answer (docs/PROTOCOLS.md): they carry what HTTP can't,
// a whole-answer marker with a length, and a typed failure after the first byte.

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"

namespace figmill {

inline constexpr std::string_view kFramesType = "application/vnd.figmill.frames";
// A frame longer than this is malformed: nothing figmill relays comes in larger pieces.
inline constexpr std::uint32_t kMaxFrameBytes = 16U << 20;

struct FrameHead {
  int status = 0;
  std::string content_type;
  Incarnation incarnation = 0;
  Sequence orders = 0;
  std::uint32_t online_running = 0;
  std::uint32_t batch_running = 0;
  std::uint32_t room = 0;         // further batch items the agent would queue
  RequestId request;              // whose answer this is
  std::uint32_t online_mark = 0;  // online streams here before another agent is used
};
struct FrameData {
  std::string bytes;
};
struct FrameEnd {
  std::uint64_t bytes = 0;  // sum over the data frames
  std::uint64_t tokens = 0;
  std::uint64_t cached_tokens = 0;
};
struct FrameFailure {
  Error error;
};
using Frame = std::variant<FrameHead, FrameData, FrameEnd, FrameFailure>;

[[nodiscard]] std::string Encode(const Frame& frame);

// Cuts a byte stream into frames.
class FrameReader {
 public:
  // The frames that `bytes` completes. Errors: kBrokenAnswer, from then on.
  [[nodiscard]] Result<std::vector<Frame>> Feed(std::string_view bytes);

 private:
  std::string pending_;
  bool broken_ = false;
};

}  // namespace figmill
