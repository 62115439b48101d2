#include "gate/batch_limit_policy.h"

#include <algorithm>
#include <cmath>

namespace figmill::detail {
namespace {

// Load reports lag; an older one doesn't describe the current load.
constexpr Duration kMaxReportAge{2'000'000};
constexpr double kMemoryShortShare = 0.90;  // share of KV memory
// While online work runs, at most one step in so many prefills a batch prompt, so
// that the 95th percentile of the online token gap stays unaffected.
constexpr double kMinStepsBetweenStarts = 40;
// Time from a start to its first token, in token gaps: up to the first bound the
// prompts prefilled together are cheap; above the second they cost too much.
constexpr double kCheapPrefillGaps = 3;
constexpr double kCostlyPrefillGaps = 6;
constexpr double kMaxPrefillWindow = 16;

}  // namespace

void BatchLimitPolicy::Report(const EngineLoad& load, Time now) {
  load_ = load;
  reported_at_ = now;
}

bool BatchLimitPolicy::IsMemoryShort(Time now) const {
  return reported_at_ && now - *reported_at_ <= kMaxReportAge && load_.kv_used >= kMemoryShortShare;
}

int BatchLimitPolicy::Limit(const TokenGapModel& model, int online, int slots, Time now) const {
  const double gap = model.ReachableGap(static_cast<double>(config_.target_gap.count()));
  const double within_target = model.RunningAt(gap) - online;
  double limit = std::min<double>(within_target, slots - online);
  if (online > 0) {
    const double within_slowdown = config_.max_slowdown * model.Predict(online) / model.slope_us();
    limit = IsMemoryShort(now) ? 0 : std::min(limit, within_slowdown);
  } else {
    // One stream is always allowed on an idle engine, or a slow engine would never be used.
    limit = std::max(limit, 1.0);
  }
  return std::max(0, static_cast<int>(std::floor(limit)));
}

void BatchLimitPolicy::AddFirstToken(Duration wait, Duration gap) {
  const double gaps = static_cast<double>(wait.count()) /
                      static_cast<double>(std::max<Duration::rep>(gap.count(), 1));
  if (gaps <= kCheapPrefillGaps) {
    prefill_window_ = std::min(prefill_window_ + 1, kMaxPrefillWindow);
  } else if (gaps > kCostlyPrefillGaps) {
    prefill_window_ = std::max(prefill_window_ / 2, 1.0);
  }
}

int BatchLimitPolicy::AllowedStarts(const TokenGapModel& model, const StreamCounts& load,
                                    int free_slots, Time now) const {
  if (IsMemoryShort(now)) return 0;
  if (!config_.has_prefill) return free_slots;
  if (load.online == 0)
    return std::min(free_slots, static_cast<int>(prefill_window_) - load.batch_prefilling);
  const Duration spacing{
      std::llround(kMinStepsBetweenStarts * model.Predict(load.online + load.batch_running))};
  if (load.batch_prefilling > 0 || (last_start_ && now < *last_start_ + spacing)) return 0;
  return std::min(free_slots, 1);
}

}  // namespace figmill::detail
