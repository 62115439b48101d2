#include "gate/yield_policy.h"

#include <algorithm>
#include <cmath>

namespace figmill::detail {
namespace {

// Load reports lag; older ones say nothing about now.
constexpr Duration kReportLife{2'000'000};
constexpr double kMemoryHigh = 0.90;  // share of KV memory
// Beside online at most one step in so many reads a batch prompt, so that the
// 95th percentile of online's gap doesn't see it.
constexpr double kStepsPerStart = 40;
// A first token within so many gaps of its start means that the prompts read
// together cost little; beyond the second, too much.
constexpr double kCheapReading = 3;
constexpr double kDearReading = 6;
constexpr double kMaxWindow = 16;

}  // namespace

void YieldPolicy::Report(const EngineLoad& load, int batch_running, Time now) {
  load_ = load;
  reported_at_ = now;
  if (load.waiting > 0) {
    batch_cap_ = std::max(1, batch_running - static_cast<int>(load.waiting));
  } else if (batch_cap_) {
    ++*batch_cap_;
  }
}

bool YieldPolicy::MemoryShort(Time now) const {
  return reported_at_ && now - *reported_at_ <= kReportLife && load_.kv_used >= kMemoryHigh;
}

int YieldPolicy::Limit(const StepModel& model, int online, Time now) const {
  const auto target = static_cast<double>(config_.target_gap.count());
  const double into_target = model.RunningAt(target) - online;
  double limit = std::min<double>(into_target, config_.max_running - online);
  if (online > 0) {
    const double unnoticed = config_.harm * model.Predict(online) / model.slope_us();
    limit = MemoryShort(now) ? 0 : std::min(limit, unnoticed);
  } else {
    // One stream always may run alone, or a slow engine would never be used.
    limit = std::max(limit, 1.0);
  }
  if (batch_cap_) limit = std::min<double>(limit, *batch_cap_);
  return std::max(0, static_cast<int>(std::floor(limit)));
}

void YieldPolicy::AddFirstToken(Duration wait, Duration gap) {
  const double gaps = static_cast<double>(wait.count()) /
                      static_cast<double>(std::max<Duration::rep>(gap.count(), 1));
  if (gaps <= kCheapReading) {
    window_ = std::min(window_ + 1, kMaxWindow);
  } else if (gaps > kDearReading) {
    window_ = std::max(window_ / 2, 1.0);
  }
}

int YieldPolicy::MayStart(const StepModel& model, int online, int running, int reading,
                          Time now) const {
  if (MemoryShort(now)) return 0;
  const int room = Limit(model, online, now) - running;
  if (online == 0) return std::min(room, static_cast<int>(window_) - reading);
  const Duration spacing{std::llround(kStepsPerStart * model.Predict(online + running))};
  if (reading > 0 || (last_start_ && now < *last_start_ + spacing)) return 0;
  return std::min(room, 1);
}

}  // namespace figmill::detail
