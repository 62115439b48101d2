#pragma once

// OpenAI-style bodies of the stand-in engine: requests in, events and whole
// answers out.

#include <cstdint>
#include <string>
#include <string_view>

#include "figmill/base.h"

namespace figmill::standin {

struct CompletionRequest {
  bool chat = false;
  std::string model;
  std::string prompt;
  std::uint64_t max_tokens = 64;
  bool stream = false;
};

// Errors: kBadRequest.
[[nodiscard]] Result<CompletionRequest> ParseCompletion(std::string_view body, bool chat);

struct Usage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t completion_tokens = 0;
};

inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

// Writes the answers of one run.
class AnswerWriter {
 public:
  AnswerWriter(bool chat, std::string_view request_id, std::string_view model);
  // The event of one token.
  [[nodiscard]] std::string TokenEvent(std::string_view text) const;
  // The event of the last token, with usage.
  [[nodiscard]] std::string LastEvent(std::string_view text, const Usage& usage) const;
  [[nodiscard]] std::string Whole(std::string_view text, const Usage& usage) const;

 private:
  bool chat_;
  std::string head_;  // a JSON object's first members, still open
};

// {"error": {"message", "type"}}, as such engines answer.
[[nodiscard]] std::string OpenAiError(std::string_view type, std::string_view message);

}  // namespace figmill::standin
