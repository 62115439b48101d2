#include "exchange/response_parser.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace figmill::detail {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kContinue = 0;
constexpr int kStop = -1;   // makes http_parser fail
constexpr int kNoBody = 1;  // tells http_parser not to expect a body

bool IsInformational(unsigned status) {
  return status >= 100 && status < 200;
}

// The number of seconds in "timeout=N" of a Keep-Alive header; 0 if absent.
int KeepAliveTimeout(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) return 0;
  int seconds = 0;
  const std::string_view digits = value.substr(at + kName.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return seconds;
}

}  // namespace

ResponseParser::ResponseParser(bool head_request, std::function<void(HttpEvent)> on_event)
    : on_event_(std::move(on_event)), head_request_(head_request) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
}

http_parser_settings ResponseParser::MakeSettings() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  // For the fields of a trailer, which ResponseHeadReader doesn't see. They come in parts, which
  // may be empty.
  settings.on_header_field = [](http_parser*, const char* at, std::size_t n) {
    return n == 0 || IsHeaderName({at, n}) ? kContinue : kStop;
  };
  settings.on_header_value = [](http_parser*, const char* at, std::size_t n) {
    return IsHeaderValue({at, n}) ? kContinue : kStop;
  };
  settings.on_headers_complete = [](http_parser* p) { return Of(p).OnHead(); };
  settings.on_body = [](http_parser* p, const char* at, std::size_t n) {
    return Of(p).OnBody({at, n});
  };
  settings.on_message_complete = [](http_parser* p) { return Of(p).OnComplete(); };
  return settings;
}

ResponseState ResponseParser::Feed(std::string_view bytes) {
  static const http_parser_settings kSettings = MakeSettings();
  if (complete_) return ResponseState::kMalformed;
  if (head_reader_.Feed(bytes) == ResponseHeadReader::State::kMalformed) {
    return ResponseState::kMalformed;
  }
  if (!TakeLineEnd(bytes)) return ResponseState::kMalformed;
  input_ = bytes;
  const std::size_t used = http_parser_execute(&parser_, &kSettings, bytes.data(), bytes.size());
  EmitBody();
  const auto failure = HTTP_PARSER_ERRNO(&parser_);
  if (failure != HPE_OK && failure != HPE_PAUSED) return ResponseState::kMalformed;
  // The response itself is complete, but the bytes after it make the connection unusable.
  if (complete_ && used < bytes.size()) reusable_ = false;
  return CurrentState();
}

ResponseState ResponseParser::FeedEof() {
  static const http_parser_settings kSettings = MakeSettings();
  if (!complete_) {
    http_parser_execute(&parser_, &kSettings, nullptr, 0);
    ends_by_close_ = complete_;
  }
  reusable_ = false;
  return complete_ ? ResponseState::kCompleteNotReusable : ResponseState::kMalformed;
}

ResponseState ResponseParser::CurrentState() {
  if (!complete_) return ResponseState::kUnfinished;
  return reusable_ ? ResponseState::kCompleteReusable : ResponseState::kCompleteNotReusable;
}

int ResponseParser::OnHead() {
  if (IsInformational(parser_.status_code)) return kContinue;
  // http_parser takes some lines for the end of a head that are none.
  if (head_reader_.state() != ResponseHeadReader::State::kComplete) return kStop;
  HttpHead head = head_reader_.TakeHead();
  keep_alive_seconds_ = KeepAliveTimeout(head.HeaderOr("Keep-Alive"));
  on_event_(std::move(head));
  return head_request_ ? kNoBody : kContinue;
}

int ResponseParser::OnBody(std::string_view part) {
  body_bytes_ += part.size();
  if (first_part_.empty()) {
    first_part_ = part;
  } else {
    if (joined_parts_.empty()) joined_parts_ = first_part_;
    joined_parts_.append(part);
  }
  const bool ends_chunk = (parser_.flags & F_CHUNKED) != 0 && parser_.content_length == 0;
  if (!ends_chunk) return kContinue;
  // http_parser takes any two bytes for this line end.
  line_end_due_ = kLineEnd;
  const auto end = static_cast<std::size_t>(part.data() + part.size() - input_.data());
  return TakeLineEnd(input_.substr(end)) ? kContinue : kStop;
}

bool ResponseParser::TakeLineEnd(std::string_view bytes) {
  const std::size_t size = std::min(bytes.size(), line_end_due_.size());
  if (bytes.substr(0, size) != line_end_due_.substr(0, size)) return false;
  line_end_due_.remove_prefix(size);
  return true;
}

void ResponseParser::EmitBody() {
  const std::string_view first = std::exchange(first_part_, {});
  const std::string joined = std::exchange(joined_parts_, {});
  if (!first.empty()) on_event_(HttpBytes{joined.empty() ? first : std::string_view(joined)});
}

int ResponseParser::OnComplete() {
  if (IsInformational(parser_.status_code)) return kContinue;
  complete_ = true;
  reusable_ = http_should_keep_alive(&parser_) != 0;
  http_parser_pause(&parser_, 1);
  return kContinue;
}

}  // namespace figmill::detail
