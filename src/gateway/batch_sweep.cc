// Periodic checks of a BatchRunner: stops runs that receive no data, and gives up items that can't
// be completed any more.

#include <vector>

#include "gateway/batch_runner.h"
#include "gateway/log_text.h"

namespace figmill {

void BatchRunner::Sweep() {
  StopStalledRuns();
  GiveUpItems();
  UpdateRuns();
}

void BatchRunner::GiveUpItems() {
  const bool check_routes = std::exchange(check_routes_, false) && routes_;
  std::vector<std::pair<JobItemRef, std::string_view>> given_up;
  for (const auto& [key, progress] : open_items_.open_items()) {
    const OwnedJob* job = jobs_.FindOwned(key.job);
    if (job == nullptr) continue;
    const JobRecord& head = job->record();
    const bool has_route = !check_routes || RouteOf(head, job->items()[key.item]) != nullptr;
    const std::uint64_t version = routes_ ? routes_->version() : 0;
    const auto why = GiveUpReason(head, has_route, version, TimeNow().store);
    if (why) given_up.emplace_back(key, *why);
  }
  for (const auto& [key, why] : given_up) {
    LogGivenUp(key, why);
    EndRun(key, relay::SendEnd::kAbandoned);
    Finish(key, ResultState::kDead, why);
  }
}

// Logs what the decision is based on: when the job expires by the store's clock, and how long ago
// the store last reported its time.
void BatchRunner::LogGivenUp(const JobItemRef& key, std::string_view why) const {
  const JobRecord* head = jobs_.KnownHead(key.job);
  const std::optional<StoreTime> now = TimeNow().store;
  const std::optional<Duration> age = clock_.Age(Loop::SinceBoot());
  Log(LogLevel::kInfo, "item_given_up",
      {{"job", key.job.value},
       {"item", ItemId(key)},
       {"why", std::string(why)},
       {"submitted_ms", head == nullptr ? "" : Milliseconds(head->submitted)},
       {"expires_ms", head == nullptr ? "" : Milliseconds(head->expires)},
       {"store_now_ms", now ? Milliseconds(*now) : "unknown"},
       {"store_heard_ms_ago", age ? Milliseconds(*age) : "never"},
       {"config", std::to_string(routes_ ? routes_->version() : 0)}});
}

void BatchRunner::StopStalledRuns() {
  const Time now = Loop::Now();
  std::vector<JobItemRef> stalled;
  for (const auto& [key, run] : runs_) {
    const Duration timeout = run.answering ? kNextEventTimeout : kFirstByteTimeout;
    if (now - run.last_activity_at >= timeout) stalled.push_back(key);
  }
  for (const JobItemRef& key : stalled) {
    Requeue(key, relay::SendEnd::kSilent, "no whole event in time", Duration{0});
  }
}

}  // namespace figmill
