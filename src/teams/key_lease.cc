#include <algorithm>

#include "figmill/teams.h"

namespace figmill {

void KeyLease::Confirm(HostTime asked_at) {
  asked_at_ = std::max(asked_at_.value_or(asked_at), asked_at);
}

bool KeyLease::Holds(HostTime now) const {
  if (!revoke_within_) return true;
  const std::optional<Duration> age = Age(now);
  return age && *age < *revoke_within_ - *revoke_within_ / kMarginParts;
}

std::optional<Duration> KeyLease::Age(HostTime now) const {
  if (!asked_at_) return std::nullopt;
  return now - *asked_at_;
}

}  // namespace figmill
