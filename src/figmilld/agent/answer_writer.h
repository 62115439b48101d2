#pragma once

// Writes the agent's answer to one dispatch: either a plain error response, or frames
// (a head, data, and an end or a failure).

#include <memory>
#include <string>

#include "figmill/runtime.h"
#include "figmilld/traffic/frames.h"

namespace figmill {

class AnswerWriter {
 public:
  explicit AnswerWriter(std::shared_ptr<HttpReply> reply) : reply_(std::move(reply)) {}
  // False if the answer has already begun with another status, which can't be changed
  // once sent.
  [[nodiscard]] bool Begin(const FrameHead& head);
  void WriteData(std::string_view bytes);
  // Writes an empty frame, so that the sender doesn't take a long pause for a lost host.
  void KeepAlive();
  void End(std::uint64_t tokens, std::uint64_t cached_tokens);
  void Fail(const Error& error);
  [[nodiscard]] bool begun() const { return begun_; }

 private:
  std::shared_ptr<HttpReply> reply_;
  std::uint64_t bytes_ = 0;
  bool begun_ = false;
  int status_ = 0;
};

}  // namespace figmill
