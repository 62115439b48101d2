#include <algorithm>
#include <utility>

#include "figmill/gate.h"
#include "gate/backend_scheduler_impl.h"

namespace figmill {
namespace {

// Share of the online limit up to which senders fill this backend server. The rest
// absorbs what entries send before they learn of each other's requests.
constexpr int kFillNumerator = 5;
constexpr int kFillDenominator = 6;

// The duration that the concurrency limits keep within the target: the gap between
// two tokens for a model engine, the whole call for a plain service.
Duration TargetGap(const SchedulerConfig& config) {
  return config.token_streams ? config.target.token_gap : config.target.first_token;
}

detail::BatchLimitConfig BatchLimitConfigOf(const SchedulerConfig& config) {
  return {config.max_batch_slowdown, TargetGap(config), config.token_streams};
}

}  // namespace

BackendScheduler::Impl::Impl(const SchedulerConfig& config)
    : config_(config),
      table_(static_cast<std::size_t>(config.max_records), config.record_retention),
      online_limit_(TargetGap(config), config.max_running),
      capacity_(config.max_running),
      batch_limit_policy_(BatchLimitConfigOf(config)) {}

std::vector<SchedulerAction> BackendScheduler::Impl::Step(Time now, const SchedulerEvent& event) {
  now_ = now;
  actions_.clear();
  std::visit([this](const auto& e) { On(e); }, event);
  return std::exchange(actions_, {});
}

void BackendScheduler::Impl::SetTarget(const LatencyTarget& target) {
  config_.target = target;
  online_limit_.SetTarget(TargetGap(config_));
  batch_limit_policy_.SetTargetGap(TargetGap(config_));
}

SchedulerStats BackendScheduler::Impl::counts() const {
  SchedulerStats counts;
  counts.online_running = online_running_;
  counts.online_queued = online_queue_.size();
  counts.batch_running = batch_running_;
  counts.batch_queued = batch_queue_.unstarted();
  counts.batch_paused = batch_queue_.paused();
  counts.online_limit = OnlineLimit();
  counts.gap_limit = online_limit_.limit();
  counts.engine_slots = capacity_.slots();
  counts.online_mark = counts.online_limit * kFillNumerator / kFillDenominator;
  counts.batch_limit =
      batch_limit_policy_.Limit(token_gap_model_, OnlineDemand(), capacity_.slots(), now_);
  const int waiting = counts.batch_queued + counts.batch_paused;
  counts.room = leaving_ ? 0 : std::max(0, config_.batch_queue_target - waiting);
  counts.batch_stops = stops_;
  counts.batch_reruns = reruns_;
  counts.predicted_token_gap = Duration(
      static_cast<std::int64_t>(token_gap_model_.Predict(online_running_ + batch_running_)));
  counts.single_token_gap = Duration(static_cast<std::int64_t>(token_gap_model_.Predict(1)));
  counts.online_service = service_estimate_.whole();
  return counts;
}

BackendScheduler::BackendScheduler(const SchedulerConfig& config)
    : impl_(std::make_unique<Impl>(config)) {}
BackendScheduler::~BackendScheduler() = default;
BackendScheduler::BackendScheduler(BackendScheduler&&) noexcept = default;
BackendScheduler& BackendScheduler::operator=(BackendScheduler&&) noexcept = default;

std::vector<SchedulerAction> BackendScheduler::Step(Time now, const SchedulerEvent& event) {
  return impl_->Step(now, event);
}
void BackendScheduler::SetTarget(const LatencyTarget& target) {
  impl_->SetTarget(target);
}
SchedulerStats BackendScheduler::counts() const {
  return impl_->counts();
}

}  // namespace figmill
