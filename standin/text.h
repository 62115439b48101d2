#pragma once

// Tokens, prompts and answers of the stand-in engine. A token is a word; the
// answer follows from the prompt alone, so that a checker can tell whether a
// caller got the whole answer to its own request.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figmill::standin {

inline constexpr std::size_t kBlockTokens = 16;  // prompt tokens in a KV block

[[nodiscard]] std::uint64_t Fnv1a(std::string_view bytes);

// Word `index` of the answer to the prompt with this Fnv1a hash.
[[nodiscard]] std::string AnswerWord(std::uint64_t prompt_hash, std::uint64_t index);

// Words [from, to) joined by spaces; with a space before them unless from is 0.
[[nodiscard]] std::string AnswerText(std::uint64_t prompt_hash, std::uint64_t from,
                                     std::uint64_t to);

struct TokenizedPrompt {
  std::uint32_t tokens = 0;
  // One hash for each full block, over everything up to its end: equal hashes
  // mean equal prefixes.
  std::vector<std::uint64_t> blocks;
};
[[nodiscard]] TokenizedPrompt Tokenize(std::string_view prompt);

// Whether `word` stands in the prompt.
[[nodiscard]] bool HasWord(std::string_view prompt, std::string_view word);

}  // namespace figmill::standin
