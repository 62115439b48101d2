#include <algorithm>

#include "figmill/teams.h"

namespace figmill {

void KeyLease::Confirm(HostTime requested_at) {
  confirmed_at_ = std::max(confirmed_at_.value_or(requested_at), requested_at);
}

bool KeyLease::IsValid(HostTime now) const {
  if (!revoke_within_) return true;
  const std::optional<Duration> age = Age(now);
  return age && *age < *revoke_within_ - *revoke_within_ / kMarginDivisor;
}

std::optional<Duration> KeyLease::Age(HostTime now) const {
  if (!confirmed_at_) return std::nullopt;
  return now - *confirmed_at_;
}

}  // namespace figmill
