#include <algorithm>
#include <utility>

#include "figmill/overload.h"

namespace figmill {

void LagMonitor::Measure(Duration lag) {
  const bool was_late = std::exchange(late_, lag > kMaxLag);
  if (late_ && was_late) {
    late_for_ += std::min(kInterval + lag, kMaxRoundTime);
  } else {
    late_for_ = Duration{0};
  }
}

}  // namespace figmill
