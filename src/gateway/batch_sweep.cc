// What a BatchRunner ends by time: runs that are silent, and items that can't be done any more.

#include <vector>

#include "gateway/batch_runner.h"
#include "gateway/log_text.h"

namespace figmill {

void BatchRunner::Sweep() {
  StopSilent();
  GiveUpHopeless();
  Pump();
}

void BatchRunner::GiveUpHopeless() {
  const bool check_routes = std::exchange(check_routes_, false) && routes_;
  std::vector<std::pair<JobItemRef, std::string_view>> hopeless;
  for (const auto& [key, progress] : work_.open()) {
    const OwnedJob* job = jobs_.Owned(key.job);
    if (job == nullptr) continue;
    const JobRecord& head = job->record();
    const bool has_route =
        !check_routes || routes_->Find(head.host, job->items()[key.item].target) != nullptr;
    const std::uint64_t version = routes_ ? routes_->version() : 0;
    const auto why = WhyGivenUp(head, has_route, version, TimeNow().store);
    if (why) hopeless.emplace_back(key, *why);
  }
  for (const auto& [key, why] : hopeless) {
    LogGivenUp(key, why);
    EndRun(key, relay::SendEnd::kAbandoned);
    Finish(key, ResultState::kDead, why);
  }
}

// What the verdict rests on: the end of the job's life by the store's clock, and how
// long ago the store last told its time.
void BatchRunner::LogGivenUp(const JobItemRef& key, std::string_view why) const {
  const JobRecord* head = jobs_.Known(key.job);
  const std::optional<StoreTime> now = TimeNow().store;
  const std::optional<Duration> age = clock_.Age(Loop::SinceBoot());
  Log(LogLevel::kInfo, "item_given_up",
      {{"job", key.job.value},
       {"item", IdOf(key)},
       {"why", std::string(why)},
       {"submitted_ms", head == nullptr ? "" : Milliseconds(head->submitted)},
       {"expires_ms", head == nullptr ? "" : Milliseconds(head->expires)},
       {"store_now_ms", now ? Milliseconds(*now) : "unknown"},
       {"store_heard_ms_ago", age ? Milliseconds(*age) : "never"},
       {"config", std::to_string(routes_ ? routes_->version() : 0)}});
}

void BatchRunner::StopSilent() {
  const Time now = Loop::Now();
  std::vector<JobItemRef> silent;
  for (const auto& [key, run] : runs_) {
    const Duration patience = run.answering ? kNextByteSilence : kFirstByteSilence;
    if (now - run.heard_at >= patience) silent.push_back(key);
  }
  for (const JobItemRef& key : silent) {
    Requeue(key, relay::SendEnd::kSilent, "no bytes in time", Duration{0});
  }
}

}  // namespace figmill
