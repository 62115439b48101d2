#pragma once

// Server-sent events of a model engine's answer: one event a token, then a
// final marker. Cuts the byte stream into whole events, so that a stream that
// breaks off can be taken up at a token, and turns them into one JSON answer
// for who asked for no stream.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "figmill/base.h"

namespace figmill {

inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

class SseCutter {
 public:
  // A longer event is taken for bytes that are no event stream. Unit: bytes.
  static constexpr std::size_t kMaxEventBytes = 256U << 10;

  // The whole events that `bytes` completes, without the final marker.
  [[nodiscard]] std::string Feed(std::string_view bytes);
  [[nodiscard]] bool done() const { return done_; }
  // The event that has not ended yet exceeds the limit.
  [[nodiscard]] bool too_long() const { return pending_.size() > kMaxEventBytes; }

 private:
  std::string pending_;
  bool done_ = false;
};

// Tells the reader of a stream that has begun why it breaks off, and whether the
// work ran: a status can't say it any more, and bare JSON isn't an event.
[[nodiscard]] std::string ErrorEvent(const Error& error);

// Whole events in `events`.
[[nodiscard]] std::uint32_t CountEvents(std::string_view events);

struct TokenUsage {
  std::uint64_t completion_tokens = 0;
  std::uint64_t cached_tokens = 0;
};

// Joins the events of completions and chat completions.
class AnswerAssembler {
 public:
  void Add(std::string_view events);
  // The answer as it would have come without streaming; empty when no event
  // could be read.
  [[nodiscard]] std::string Whole() const;
  // Bytes of text so far.
  [[nodiscard]] std::size_t size() const { return text_.size(); }

 private:
  void AddEvent(std::string_view json);

  std::string text_;
  std::string last_event_;
};

// What the last of `events` says; zeros when it says nothing.
[[nodiscard]] TokenUsage UsageOf(std::string_view events);

}  // namespace figmill
