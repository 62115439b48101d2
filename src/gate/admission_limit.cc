#include "gate/admission_limit.h"

#include <algorithm>

namespace figmill::detail {
namespace {

constexpr Duration kWindow{250'000};
constexpr double kFirstLimit = 32;

}  // namespace

AdmissionLimit::AdmissionLimit(Duration target_gap, int max_running)
    : target_gap_(target_gap),
      max_running_(max_running),
      limit_(std::min<double>(kFirstLimit, max_running)) {}

void AdmissionLimit::AddGap(Duration gap, int running, Time now) {
  if (!window_start_) window_start_ = now;
  gap_sum_ += static_cast<double>(gap.count());
  running_sum_ += running;
  ++samples_;
  if (now >= *window_start_ + kWindow) CloseWindow(now);
}

void AdmissionLimit::CloseWindow(Time now) {
  const double gap = gap_sum_ / samples_;
  const double running = running_sum_ / samples_;
  const double ratio = static_cast<double>(target_gap_.count()) / std::max(gap, 1.0);
  if (ratio < 1) {
    limit_ = running * ratio;
  } else if (running >= 0.8 * limit_) {
    limit_ = std::max(limit_, std::min(running * ratio, limit_ * 1.25));
  }
  limit_ = std::clamp<double>(limit_, 1, max_running_);
  window_start_ = now;
  gap_sum_ = running_sum_ = 0;
  samples_ = 0;
}

int AdmissionLimit::limit() const {
  return static_cast<int>(limit_);
}

}  // namespace figmill::detail
