#include <algorithm>

#include "figmill/online.h"

namespace figmill {

void RetryBudget::RecordSuccess() {
  balance_ = std::min(kMaxRetries, balance_ + kRetriesPerSuccess);
}

bool RetryBudget::TrySpend() {
  // The tolerance keeps ten shares of 0.1 worth one retry.
  constexpr double kOne = 1 - 1e-9;
  if (balance_ < kOne) return false;
  balance_ -= 1;
  return true;
}

}  // namespace figmill
