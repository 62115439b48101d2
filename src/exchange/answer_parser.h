#pragma once

// Reads one HTTP answer from bytes as they come (http_parser).

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

#include "figmill/runtime.h"

namespace figmill::detail {

// What the bytes have come to.
enum class AnswerState : std::uint8_t {
  kUnfinished,  // more bytes are due
  kComplete,    // the whole answer is in; the connection may be used again
  kLast,        // the whole answer is in; the connection ends with it
  kMalformed,   // no HTTP, or more bytes than the answer has
};

class AnswerParser {
 public:
  // `to_head`: the request was a HEAD, whose answer has no body.
  AnswerParser(bool to_head, std::function<void(HttpEvent)> on_event);
  AnswerParser(const AnswerParser&) = delete;
  AnswerParser& operator=(const AnswerParser&) = delete;

  // Bytes after a complete answer make it kMalformed: they belong to no request,
  // and the next answer on this connection could be taken for them.
  [[nodiscard]] AnswerState Feed(std::string_view bytes);
  // The peer closed its side in order. An answer without a length ends so.
  [[nodiscard]] AnswerState FeedEnd();

  // Seconds for which the peer keeps the connection, by its Keep-Alive header; 0: not said.
  [[nodiscard]] int keep_alive_seconds() const { return keep_alive_seconds_; }

 private:
  static http_parser_settings MakeSettings();
  static AnswerParser& Of(http_parser* parser) { return *static_cast<AnswerParser*>(parser->data); }
  AnswerState StateNow();
  void OnField(std::string_view part);
  void OnValue(std::string_view part);
  int OnHead();
  void OnBody(std::string_view part);
  int OnComplete();

  http_parser parser_{};
  std::function<void(HttpEvent)> on_event_;
  HttpHead head_;
  bool to_head_;
  bool in_value_ = false;
  bool complete_ = false;
  bool reusable_ = false;
  int keep_alive_seconds_ = 0;
};

}  // namespace figmill::detail
