#include <algorithm>

#include "figmill/online.h"

namespace figmill {

void RetryBudget::Succeeded() {
  saved_ = std::min(kReserve, saved_ + kShare);
}

bool RetryBudget::Spend() {
  // The tolerance keeps ten shares of 0.1 worth one retry.
  constexpr double kOne = 1 - 1e-9;
  if (saved_ < kOne) return false;
  saved_ -= 1;
  return true;
}

}  // namespace figmill
