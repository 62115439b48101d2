#include "standin/text.h"

#include <algorithm>
#include <array>

namespace figmill::standin {
namespace {

constexpr std::uint64_t kFnvBasis = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
constexpr std::string_view kConsonants = "bdfghjklmnprstvz";
constexpr std::string_view kVowels = "aeio";
constexpr std::string_view kSpace = " \t\r\n";

std::uint64_t ContinueFnv1a(std::uint64_t hash, std::string_view bytes) {
  for (const char byte : bytes) hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  return hash;
}

std::uint64_t SplitMix64(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

// The next word, taken off the front of `text`; empty at its end.
std::string_view NextWord(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(kSpace), text.size()));
  const std::string_view word = text.substr(0, text.find_first_of(kSpace));
  text.remove_prefix(word.size());
  return word;
}

}  // namespace

std::uint64_t Fnv1a(std::string_view bytes) {
  return ContinueFnv1a(kFnvBasis, bytes);
}

std::string AnswerWord(std::uint64_t prompt_hash, std::uint64_t index) {
  const std::uint64_t bits = SplitMix64(prompt_hash + index);
  const std::array<char, 4> letters = {kConsonants[bits & 15U], kVowels[(bits >> 4U) & 3U],
                                       kConsonants[(bits >> 6U) & 15U],
                                       kVowels[(bits >> 10U) & 3U]};
  return {letters.data(), letters.size()};
}

std::string AnswerText(std::uint64_t prompt_hash, std::uint64_t from, std::uint64_t to) {
  std::string text;
  for (std::uint64_t i = from; i < to; ++i) {
    if (i > 0) text += ' ';
    text += AnswerWord(prompt_hash, i);
  }
  return text;
}

TokenizedPrompt Tokenize(std::string_view prompt) {
  TokenizedPrompt result;
  std::uint64_t hash = kFnvBasis;
  for (std::string_view word = NextWord(prompt); !word.empty(); word = NextWord(prompt)) {
    hash = ContinueFnv1a(ContinueFnv1a(hash, word), " ");
    ++result.tokens;
    if (result.tokens % kBlockTokens == 0) result.blocks.push_back(hash);
  }
  return result;
}

bool HasWord(std::string_view prompt, std::string_view word) {
  for (std::string_view each = NextWord(prompt); !each.empty(); each = NextWord(prompt)) {
    if (each == word) return true;
  }
  return false;
}

}  // namespace figmill::standin
