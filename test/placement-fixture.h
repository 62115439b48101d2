#pragma once

// Settings and helper functions shared by the placement tests.

#include <string>
#include <vector>

#include "figmill/placement.h"

namespace figmill::fake {

inline constexpr ReconcilerSettings kSettings{.ownership_validity = std::chrono::seconds(4),
                                              .max_order_time = std::chrono::seconds(60),
                                              .state_poll_period = std::chrono::seconds(30),
                                              .min_backoff = std::chrono::seconds(1),
                                              .max_backoff = std::chrono::seconds(60),
                                              .weight_bytes = 1000};

inline EngineState StateOf(std::vector<std::string> models, std::string role = "mixed",
                           Sequence fence = 0) {
  return {std::move(models), {}, std::move(role), fence};
}

inline DesiredPlacement DesiredState(Sequence sequence, std::vector<std::string> models,
                                     std::string role = "", bool checks_fencing = true) {
  DesiredPlacement desired;
  desired.sequence = sequence;
  desired.models = std::move(models);
  desired.role = std::move(role);
  desired.checks_fencing = checks_fencing;
  return desired;
}

inline Error Failure(ErrorKind kind, Ran ran) {
  return {kind, "by the test", ran};
}

}  // namespace figmill::fake
