#pragma once

// One dispatched request in an agent: the parameters of its backend call, and the answer
// received so far.

#include <optional>
#include <string>

#include "figmill/gate.h"
#include "figmill/platform.h"
#include "figmill/runtime.h"
#include "figmilld/settings.h"
#include "figmilld/traffic/dispatch.h"
#include "figmilld/traffic/sse.h"

namespace figmill {

class DispatchedRequest {
 public:
  DispatchedRequest(DispatchHeaders headers, std::string body, BackendKind kind);

  // The dispatch as the scheduler takes it.
  [[nodiscard]] Dispatch ToDispatch() const;
  // A model engine is always asked for a stream, so that tokens can be counted and the
  // stream can be resumed after an interruption.
  [[nodiscard]] BackendRequest ToBackendRequest(const std::string& traceparent) const;

  void ResetAnswer();
  // Adds a part of the answer and sets `tokens` to the number of its tokens. Returns the
  // bytes that may be sent to the sender now.
  [[nodiscard]] std::string AddAnswerBytes(const AnswerBytes& bytes, std::uint32_t& tokens);
  // Bytes of the answer that are kept until it is complete.
  [[nodiscard]] std::size_t kept_bytes() const { return buffered_.size() + assembler_.size(); }
  // Returns the bytes still to be sent once the answer is complete.
  [[nodiscard]] std::string TakeRemaining();

  [[nodiscard]] const DispatchHeaders& headers() const { return headers_; }
  [[nodiscard]] std::uint64_t tokens() const { return tokens_; }
  [[nodiscard]] TokenUsage usage() const;
  [[nodiscard]] std::string content_type() const;

  ArrivalId arrival = 0;  // 0: no sender is connected
  AnswerHead answer_head;
  CancelCall cancel_call;   // cancels the backend call, while one runs
  std::string exported_kv;  // exported KV cache, while the stream is paused
  bool paused = false;
  std::optional<Span> span;

 private:
  [[nodiscard]] bool IsEventStream() const;
  // The events are assembled into one JSON answer, as the sender asked for no stream.
  [[nodiscard]] bool NeedsAssembly() const { return IsEventStream() && !wants_stream_; }

  DispatchHeaders headers_;
  BackendKind kind_;
  std::string body_;
  bool wants_stream_ = false;
  std::uint32_t max_tokens_ = 0;
  std::uint64_t tokens_ = 0;
  // The answer of a batch item is sent when complete, so that the item can be run again; that
  // of a plain service, so that another sender can reattach to it.
  std::string buffered_;
  AnswerAssembler assembler_;
  std::string last_events_;
};

}  // namespace figmill
