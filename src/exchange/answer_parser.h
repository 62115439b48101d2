#pragma once

// Incremental parser of one HTTP response, based on http_parser.

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

#include "figmill/runtime.h"

namespace figmill::detail {

// State of the response after the bytes so far.
enum class AnswerState : std::uint8_t {
  kUnfinished,  // more bytes are expected
  kComplete,    // the response is complete, and the connection can be reused
  kLast,        // the response is complete, and the connection can't be reused
  kMalformed,   // not HTTP, or bytes after a complete response
};

class AnswerParser {
 public:
  // `to_head`: the request method was HEAD, so the response has no body.
  AnswerParser(bool to_head, std::function<void(HttpEvent)> on_event);
  AnswerParser(const AnswerParser&) = delete;
  AnswerParser& operator=(const AnswerParser&) = delete;

  // Bytes after a complete response give kMalformed: they belong to no request and could be taken
  // for the response to the next request on this connection.
  [[nodiscard]] AnswerState Feed(std::string_view bytes);
  // The peer closed its side cleanly, which ends a response without a length.
  [[nodiscard]] AnswerState FeedEnd();

  // How long the peer keeps the connection, from its Keep-Alive header; 0 if not given.
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
