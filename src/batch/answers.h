#pragma once

// Classifies answers of backend servers and formats the lines of a job's results.

#include <string>

#include "figmill/batch.h"

namespace figmill::detail {

enum class AnswerClass : std::uint8_t {
  kSuccess,
  kRetryable,         // another attempt may succeed
  kPermanentFailure,  // another attempt would fail the same way
};

// A model's answer is a success only when the engine completed it. Overloaded
// engines truncate streams with status 200, which shows as a missing finish reason,
// or as "length" before the requested number of tokens.
[[nodiscard]] AnswerClass ClassifyAnswer(const BatchItem& item, const ItemAnswer& answer);

// One line of the results, including the line feed.
[[nodiscard]] std::string AnswerLine(std::uint32_t index, const BatchItem& item,
                                     const ItemAnswer& answer);
[[nodiscard]] std::string FailureLine(std::uint32_t index, const BatchItem& item,
                                      const Error& error, int attempts);

}  // namespace figmill::detail
