#include "runtime/response_head.h"

#include <algorithm>
#include <charconv>

namespace figmill::detail {
namespace {

constexpr std::string_view kBlanks = " \t";
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// Bytes of another protocol would follow. No request asks for one.
constexpr int kSwitchingProtocols = 101;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

std::string_view WithoutBlanksAround(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

// The status code of "HTTP/1.1 200 OK"; nullopt if the line is no status line of HTTP/1.
std::optional<int> ParseStatusLine(std::string_view line) {
  constexpr std::string_view kProtocol = "HTTP/1.";
  constexpr std::size_t kCodeAt = kProtocol.size() + 2;
  constexpr std::size_t kCodeLength = 3;
  if (!line.starts_with(kProtocol) || line.size() < kCodeAt + kCodeLength) return std::nullopt;
  if (!IsDigit(line[kProtocol.size()]) || line[kCodeAt - 1] != ' ') return std::nullopt;
  const std::string_view code = line.substr(kCodeAt, kCodeLength);
  if (!std::all_of(code.begin(), code.end(), IsDigit)) return std::nullopt;
  // Some servers leave out the blank before an empty reason.
  const std::string_view reason = line.substr(kCodeAt + kCodeLength);
  if (!reason.empty() && reason.front() != ' ') return std::nullopt;
  if (!IsHeaderValue(reason)) return std::nullopt;
  int status = 0;
  std::from_chars(code.data(), code.data() + code.size(), status);
  if (status < kFirstStatus || status > kLastStatus) return std::nullopt;
  return status;
}

}  // namespace

std::optional<Header> ParseFieldLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = WithoutBlanksAround(line.substr(colon + 1));
  if (!IsHeaderName(name) || !IsHeaderValue(value)) return std::nullopt;
  return Header{std::string(name), std::string(value)};
}

ResponseHeadReader::State ResponseHeadReader::Feed(std::string_view bytes) {
  while (state_ == State::kUnfinished && !bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (bytes_ + line_.size() > kMaxBytes) return state_ = State::kMalformed;
    if (end == std::string_view::npos) break;
    bytes.remove_prefix(end + 1);
    bytes_ += line_.size() + 1;
    if (line_.ends_with('\r')) line_.pop_back();
    if (!OnLine(line_)) state_ = State::kMalformed;
    line_.clear();
  }
  return state_;
}

bool ResponseHeadReader::OnLine(std::string_view line) {
  if (!in_head_) return line.empty() || OnStatusLine(line);
  if (!line.empty()) return OnFieldLine(line);
  OnEndOfHead();
  return true;
}

bool ResponseHeadReader::OnStatusLine(std::string_view line) {
  const std::optional<int> status = ParseStatusLine(line);
  if (!status || *status == kSwitchingProtocols) return false;
  head_ = HttpHead{*status, {}};
  in_head_ = true;
  return true;
}

bool ResponseHeadReader::OnFieldLine(std::string_view line) {
  const bool continues_value = kBlanks.find(line.front()) != std::string_view::npos;
  if (continues_value) {
    if (head_.headers.empty() || !IsHeaderValue(line)) return false;
    head_.headers.back().value.append(" ").append(WithoutBlanksAround(line));
    return true;
  }
  std::optional<Header> field = ParseFieldLine(line);
  if (!field) return false;
  head_.headers.push_back(*std::move(field));
  return true;
}

void ResponseHeadReader::OnEndOfHead() {
  in_head_ = false;
  if (head_.status >= kFirstFinalStatus) state_ = State::kComplete;
}

}  // namespace figmill::detail
