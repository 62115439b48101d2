#pragma once

// Incremental parser of one HTTP response. http_parser finds its frame, ResponseHeadReader reads
// its head.

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

#include "figmill/runtime.h"
#include "runtime/response_head.h"

namespace figmill::detail {

// State of the response after the bytes so far.
enum class ResponseState : std::uint8_t {
  kUnfinished,           // more bytes are expected
  kCompleteReusable,     // the response is complete, and the connection can be reused
  kCompleteNotReusable,  // the response is complete, and the connection can't be reused
  kMalformed,            // not HTTP, or bytes after a complete response
};

class ResponseParser {
 public:
  // `head_request`: the request method was HEAD, so the response has no body.
  ResponseParser(bool head_request, std::function<void(HttpEvent)> on_event);
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  // Emits one HttpBytes at most, in however many chunks the body comes.
  // Bytes after a complete response give kMalformed: they belong to no request and could be taken
  // for the response to the next request on this connection.
  [[nodiscard]] ResponseState Feed(std::string_view bytes);
  // The peer closed its side cleanly, which ends a response without a length.
  [[nodiscard]] ResponseState FeedEof();

  // Whether only the peer's close can end the response: it has neither a length nor chunks.
  [[nodiscard]] bool ends_by_close() const { return ends_by_close_; }

  // Bytes of the body so far.
  [[nodiscard]] std::size_t body_bytes() const { return body_bytes_; }

  // How long the peer keeps the connection, from its Keep-Alive header; 0 if not given.
  [[nodiscard]] int keep_alive_seconds() const { return keep_alive_seconds_; }

 private:
  static http_parser_settings MakeSettings();
  static ResponseParser& Of(http_parser* parser) {
    return *static_cast<ResponseParser*>(parser->data);
  }
  ResponseState CurrentState();
  int OnHead();
  int OnBody(std::string_view part);
  // Takes what is due of the line end after a chunk's data. Returns false if other bytes come.
  [[nodiscard]] bool TakeLineEnd(std::string_view bytes);
  void EmitBody();
  int OnComplete();

  http_parser parser_{};
  std::function<void(HttpEvent)> on_event_;
  ResponseHeadReader head_reader_;
  std::string_view input_;         // the bytes that are being parsed
  std::string_view line_end_due_;  // after the last chunk's data
  std::string_view first_part_;    // of the body's bytes that are being parsed
  std::string joined_parts_;       // all of them, if there are several
  std::size_t body_bytes_ = 0;
  bool head_request_;
  bool complete_ = false;
  bool reusable_ = false;
  bool ends_by_close_ = false;
  int keep_alive_seconds_ = 0;
};

}  // namespace figmill::detail
