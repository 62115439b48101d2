#pragma once

// The agent's answer to one dispatch, as frames: nothing, then a refusal, or a
// head, data, and an end or a failure.

#include <memory>
#include <string>

#include "figmill/runtime.h"
#include "figmilld/traffic/frames.h"

namespace figmill {

class AgentAnswer {
 public:
  explicit AgentAnswer(std::shared_ptr<HttpReply> reply) : reply_(std::move(reply)) {}
  // False if it has begun with another status: that answer can't be taken back.
  [[nodiscard]] bool Begin(const FrameHead& head);
  void Data(std::string_view bytes);
  // An empty frame, so that a long silence isn't taken for a lost host.
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
