#include <algorithm>

#include "figmill/fleet.h"

namespace figmill {

void OutlierDetector::Record(bool fault, Time now) {
  // Sends that end during an ejection were started before it and add no information.
  if (IsEjected(now)) return;
  rate_ += ((fault ? 1.0 : 0.0) - rate_) * kNewestWeight;
  if (rate_ < kHealthyThreshold) ejections_ = 0;
  if (rate_ < kEjectionThreshold) return;
  const Duration duration = kFirstEjection * (1 << std::min(ejections_, 4));
  ejected_until_ = now + std::min<Duration>(duration, kMaxEjection);
  ++ejections_;
  rate_ = kRateAfterEjection;
}

bool IsFault(WorkClass work, relay::SendEnd end) {
  switch (end) {
    case relay::SendEnd::kFailed:
      return work == WorkClass::kOnline;
    // Its address now belongs to another one: it is gone but still listed.
    case relay::SendEnd::kMisdirected:
    case relay::SendEnd::kUnreachable:
    case relay::SendEnd::kBroken:
    case relay::SendEnd::kSilent:
      return true;
    case relay::SendEnd::kAnswered:
    case relay::SendEnd::kRejected:
    case relay::SendEnd::kAbandoned:
      return false;
  }
  return false;
}

}  // namespace figmill
