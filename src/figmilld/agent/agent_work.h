#pragma once

// One request that an agent holds: what to call the backend server with, and
// what has come back so far.

#include <optional>
#include <string>

#include "figmill/gate.h"
#include "figmill/platform.h"
#include "figmill/runtime.h"
#include "figmilld/settings.h"
#include "figmilld/traffic/dispatch.h"
#include "figmilld/traffic/sse.h"

namespace figmill {

class AgentWork {
 public:
  AgentWork(DispatchHeaders headers, std::string body, BackendKind kind);

  // For the gate.
  [[nodiscard]] Dispatch ToDispatch() const;
  // A model engine is always asked for a stream: tokens can be counted then, and
  // taken up after a break.
  [[nodiscard]] BackendRequest ToBackend(const std::string& traceparent) const;

  void ResetAnswer();
  // Takes in part of the answer; returns what may go on to the sender now, and
  // counts its tokens.
  [[nodiscard]] std::string Take(const AnswerBytes& bytes, std::uint32_t& tokens);
  // What is left to send when the answer is whole.
  [[nodiscard]] std::string Rest();

  [[nodiscard]] const DispatchHeaders& headers() const { return headers_; }
  [[nodiscard]] std::uint64_t tokens() const { return tokens_; }
  [[nodiscard]] TokenUsage usage() const;
  [[nodiscard]] std::string content_type() const;

  ArrivalId arrival = 0;  // 0: nobody waits
  AnswerHead head;
  CancelCall call;  // of the backend server, while one runs
  std::string kv;   // exported, while it waits to go on
  bool paused = false;
  std::optional<Span> span;

 private:
  [[nodiscard]] bool IsEvents() const;
  // One JSON answer is made of the events, as the sender asked for no stream.
  [[nodiscard]] bool IsAssembled() const { return IsEvents() && !wants_stream_; }

  DispatchHeaders headers_;
  BackendKind kind_;
  std::string body_;
  bool wants_stream_ = false;
  std::uint32_t max_tokens_ = 0;
  std::uint64_t tokens_ = 0;
  // Batch is sent when whole, so that it can be run again; a plain service's
  // answer, so that another sender can take it up.
  std::string held_;
  AnswerAssembler assembler_;
  std::string last_events_;
};

}  // namespace figmill
