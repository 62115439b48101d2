#include "figmill/answer_end.h"

#include <charconv>

namespace figmill {
namespace {

// Whether what answers now is the process that sent the answer.
bool IsSameProcess(const EndEvidence& evidence) {
  if (!evidence.answered_at) return false;
  if (evidence.asked.known() && evidence.answered_by.known()) {
    return evidence.asked == evidence.answered_by;
  }
  if (!evidence.closed_after) return false;
  return *evidence.answered_at - *evidence.closed_after < kShortestRestart;
}

}  // namespace

std::string_view ToString(Completeness found) {
  return found == Completeness::kWhole ? "whole" : "cut_off";
}

bool HasAllOutput(const EndEvidence& evidence) {
  return evidence.events > 0 && evidence.events == evidence.max_output_tokens;
}

Completeness JudgeEnd(const EndEvidence& evidence) {
  if (HasAllOutput(evidence)) return Completeness::kWhole;
  return IsSameProcess(evidence) ? Completeness::kWhole : Completeness::kCutOff;
}

std::optional<std::uint64_t> ParseMaxOutputTokens(std::string_view tokens) {
  const std::size_t comma = tokens.find(',');
  if (comma == std::string_view::npos) return std::nullopt;
  std::string_view number = tokens.substr(comma + 1);
  while (number.starts_with(' ')) number.remove_prefix(1);
  std::uint64_t limit = 0;
  const char* const end = number.data() + number.size();
  const auto [read_to, failure] = std::from_chars(number.data(), end, limit);
  if (failure != std::errc{} || read_to != end) return std::nullopt;
  return limit;
}

}  // namespace figmill
