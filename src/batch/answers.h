#pragma once

// Judges answers of backend servers and writes the lines of a job's results.

#include <string>

#include "figmill/batch.h"

namespace figmill::detail {

enum class Verdict : std::uint8_t {
  kSuccess,
  kRetry,  // may go better elsewhere or later
  kFinal,  // would fail again the same way
};

// A model's answer counts only when its engine finished it: engines under
// pressure cut streams short with status 200, which shows as a missing finish
// reason, or as "length" before the asked number of tokens.
[[nodiscard]] Verdict Judge(const BatchItem& item, const ItemAnswer& answer);

// One line of the results, with its line feed.
[[nodiscard]] std::string AnswerLine(std::uint32_t index, const BatchItem& item,
                                     const ItemAnswer& answer);
[[nodiscard]] std::string FailureLine(std::uint32_t index, const BatchItem& item,
                                      const Error& error, int attempts);

}  // namespace figmill::detail
