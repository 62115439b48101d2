#pragma once

// The head of an HTTP/1 response, checked against RFC 9112 and RFC 9110. The HTTP libraries accept
// more than these allow, such as status codes that are none and names of fields with blanks.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "figmill/base.h"

namespace figmill::detail {

// A field line: a token, a colon and a value, which is returned without the blanks around it;
// nullopt if the line is none.
[[nodiscard]] std::optional<Header> ParseFieldLine(std::string_view line);

// Reads the head of one response, and the informational ones before it. Not thread-safe.
class ResponseHeadReader {
 public:
  // Limit on all heads of a response together. Unit: bytes.
  static constexpr std::size_t kMaxBytes = 80U << 10;

  enum class State : std::uint8_t { kUnfinished, kComplete, kMalformed };

  // Bytes of the response; those after the end of the final head are ignored.
  [[nodiscard]] State Feed(std::string_view bytes);
  [[nodiscard]] State state() const { return state_; }
  // The final head, once it is complete.
  [[nodiscard]] HttpHead TakeHead() { return std::move(head_); }

 private:
  // These return false if the line is not allowed at its place.
  [[nodiscard]] bool OnLine(std::string_view line);
  [[nodiscard]] bool OnStatusLine(std::string_view line);
  [[nodiscard]] bool OnFieldLine(std::string_view line);
  void OnEndOfHead();

  State state_ = State::kUnfinished;
  std::string line_;       // without its end, as far as it has arrived
  std::size_t bytes_ = 0;  // of the lines before it
  bool in_head_ = false;   // the status line has been read
  HttpHead head_;
};

}  // namespace figmill::detail
