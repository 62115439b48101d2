#include "figmill/overload.h"

namespace figmill {

void LagMonitor::Measure(Duration lag, Time now) {
  if (lag <= kMaxLag) {
    late_since_.reset();
    behind_ = false;
    return;
  }
  if (!late_since_) late_since_ = now;
  behind_ = now - *late_since_ >= kMinLateTime;
}

}  // namespace figmill
