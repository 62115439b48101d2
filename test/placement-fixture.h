#pragma once

// What the placer's tests have in common.

#include <string>
#include <vector>

#include "figmill/placement.h"

namespace figmill::fake {

inline constexpr PlacerSettings kSettings{.right_term = std::chrono::seconds(4),
                                          .longest_order = std::chrono::seconds(60),
                                          .read_period = std::chrono::seconds(30),
                                          .first_retry = std::chrono::seconds(1),
                                          .last_retry = std::chrono::seconds(60),
                                          .weight_bytes = 1000};

inline EngineState StateOf(std::vector<std::string> models, std::string role = "mixed",
                           Sequence fence = 0) {
  return {std::move(models), {}, std::move(role), fence};
}

inline DesiredPlacement Wish(Sequence sequence, std::vector<std::string> models,
                             std::string role = "", bool checks_fencing = true) {
  DesiredPlacement wish;
  wish.sequence = sequence;
  wish.models = std::move(models);
  wish.role = std::move(role);
  wish.checks_fencing = checks_fencing;
  return wish;
}

inline Error Failure(ErrorKind kind, Ran ran) {
  return {kind, "by the test", ran};
}

}  // namespace figmill::fake
