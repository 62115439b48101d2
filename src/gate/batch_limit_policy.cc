#include "gate/batch_limit_policy.h"

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

void YieldPolicy::Report(const EngineLoad& load, Time now) {
  load_ = load;
  reported_at_ = now;
}

bool YieldPolicy::MemoryShort(Time now) const {
  return reported_at_ && now - *reported_at_ <= kReportLife && load_.kv_used >= kMemoryHigh;
}

int YieldPolicy::Limit(const StepModel& model, int online, int places, Time now) const {
  const double into_target =
      model.RunningAt(static_cast<double>(config_.target_gap.count())) - online;
  double limit = std::min<double>(into_target, places - online);
  if (online > 0) {
    const double unnoticed = config_.harm * model.Predict(online) / model.slope_us();
    limit = MemoryShort(now) ? 0 : std::min(limit, unnoticed);
  } else {
    // One stream always may run alone, or a slow engine would never be used.
    limit = std::max(limit, 1.0);
  }
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

int YieldPolicy::MayStart(const StepModel& model, const YieldLoad& load, int room, Time now) const {
  if (MemoryShort(now)) return 0;
  if (!config_.reads_prompts) return room;
  if (load.online == 0) return std::min(room, static_cast<int>(window_) - load.batch_reading);
  const Duration spacing{
      std::llround(kStepsPerStart * model.Predict(load.online + load.batch_running))};
  if (load.batch_reading > 0 || (last_start_ && now < *last_start_ + spacing)) return 0;
  return std::min(room, 1);
}

}  // namespace figmill::detail
