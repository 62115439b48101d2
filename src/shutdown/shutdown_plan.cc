#include <algorithm>

#include "figmill/shutdown.h"

namespace figmill {

ShutdownPlan::ShutdownPlan(Time begun, Duration grace)
    : end_(begun + grace - kGraceMargin),
      open_until_(std::min(begun + kBalancerDelay, end_ - kMinTimeLeft)),
      refuses_from_(begun + grace - kRefusalTime) {}

bool ShutdownPlan::MayBegin(Time now, Time deadline) const {
  return now < open_until_ || deadline <= end_;
}

bool ShutdownPlan::MayAccept(Time now, Time deadline) const {
  return now < refuses_from_ && MayBegin(now, deadline);
}

}  // namespace figmill
