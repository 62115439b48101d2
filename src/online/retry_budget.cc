#include <algorithm>

#include "figmill/online.h"

namespace figmill {

void RetryBudget::RecordSuccess() {
  balance_ = std::min(kMaxRetries, balance_ + kRetriesPerSuccess);
}

bool RetryBudget::TrySpend() {
  // Tolerance for rounding: ten additions of 0.1 must allow one retry.
  constexpr double kOne = 1 - 1e-9;
  if (balance_ < kOne) return false;
  balance_ -= 1;
  return true;
}

}  // namespace figmill
