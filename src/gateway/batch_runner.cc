#include "gateway/batch_runner.h"

#include <algorithm>
#include <utility>

#include "gateway/item_call.h"

namespace figmill {

BatchRunner::BatchRunner(RelayTools& tools, JobStore& jobs, const StoreClock& clock,
                         std::function<void()> wanted_changed)
    : tools_(tools), jobs_(jobs), clock_(clock), wanted_changed_(std::move(wanted_changed)) {
  sweep_timer_ = tools_.loop.Every(kSweepPeriod, [this] { Sweep(); });
  keep_timer_ = tools_.loop.Every(kKeepPeriod, [this] { KeepProgress(); });
}

void BatchRunner::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  routes_ = std::move(routes);
  check_routes_ = true;
}

std::vector<WaitingItems> BatchRunner::Waiting() const {
  static_assert(ItemBacklog::kLate == WaitingItems::kLate);
  std::vector<WaitingItems> waiting;
  for (const auto& [group, items] : work_.backlog().Startable(TimeNow())) {
    const auto& [rank, due] = group;
    if (waiting.size() < WaitingItems::kMaxGroups) {
      waiting.push_back({due, items, rank == ItemRank::kBegun});
    } else {
      waiting.back().items += items;
    }
  }
  return waiting;
}

void BatchRunner::OnOwned(OwnedJob& job, const std::vector<ledger::ProgressPiece>& progress) {
  for (const ledger::ProgressPiece& piece : progress) {
    if (piece.item >= job.items().size() || !job.IsOpen(piece.item)) continue;
    work_.Restore({job.record().id, piece.item}, piece);
  }
  for (std::size_t i = 0; i < job.items().size(); ++i) {
    if (job.IsOpen(i)) Queue({job.record().id, i}, Duration{0});
  }
  check_routes_ = true;
  wanted_changed_();
  Pump();
}

void BatchRunner::OnDropped(const JobId& job) {
  std::vector<JobItemRef> running;
  for (const auto& [key, run] : runs_) {
    if (key.job == job) running.push_back(key);
  }
  for (const JobItemRef& key : running) EndRun(key, relay::SendEnd::kAbandoned);
  work_.RemoveJob(job);
}

void BatchRunner::OnHandedOver(OwnedJob& job) {
  KeepProgressOf(job);
  OnDropped(job.record().id);
}

void BatchRunner::KeepProgressOf(OwnedJob& job) {
  for (ledger::ProgressPiece& piece : work_.TakePieces(job.record().id))
    job.AddProgress(std::move(piece));
}

void BatchRunner::KeepProgress() {
  for (const JobId& id : work_.Jobs()) {
    OwnedJob* job = jobs_.Owned(id);
    if (job == nullptr || job->writing()) continue;
    KeepProgressOf(*job);
    jobs_.Write(*job);
  }
}

void BatchRunner::Queue(const JobItemRef& key, Duration pause) {
  const OwnedJob* job = jobs_.Owned(key.job);
  if (job == nullptr) return;
  pause = std::max(pause, QuarantineLeft(*job, key));
  work_.Wait(key, job->record().due, Loop::Now() + pause);
  if (pause.count() > 0) tools_.loop.Later(pause, [this] { Pump(); });
}

// Until the item may run, for the crashes that followed it. It is not given up before its time:
// what is listed as dead stays dead, and another request may have been the cause.
Duration BatchRunner::QuarantineLeft(const OwnedJob& job, const JobItemRef& key) const {
  if (!tools_.crashes.quarantines()) return Duration{0};
  const HttpCall call = ItemCall(tools_.names, job.record(), job.items()[key.item]);
  const std::optional<Error> why =
      tools_.crashes.WhyNot(FingerprintOf(job.record(), call), WorkClass::kBatch);
  return why ? why->retry_after.value_or(Duration{0}) : Duration{0};
}

BacklogTime BatchRunner::TimeNow() const {
  return {Loop::Now(), clock_.Earliest(Loop::SinceBoot())};
}

const Route* BatchRunner::RouteOf(const JobRecord& head, const JobItem& item) const {
  if (!routes_) return nullptr;
  const Route* route = routes_->Find(head.host, item.target);
  return route != nullptr && route->kind == RouteKind::kBatch ? route : nullptr;
}

bool BatchRunner::Fits(const JobItemRef& key, const BackendInfo& backend) const {
  const OwnedJob* job = jobs_.Owned(key.job);
  if (job == nullptr) return false;
  const Route* route = RouteOf(job->record(), job->items()[key.item]);
  if (route == nullptr) return false;
  return std::any_of(
      route->split.begin(), route->split.end(),
      [&backend](const ServiceShare& share) { return share.service == backend.service; });
}

std::string BatchRunner::IdOf(const JobItemRef& key) const {
  const OwnedJob* job = jobs_.Owned(key.job);
  return job == nullptr ? std::to_string(key.item) : job->items()[key.item].id;
}

void BatchRunner::Pump() {
  StopExcess();
  StartAllowed();
}

// Online has come.
void BatchRunner::StopExcess() {
  std::vector<std::pair<BackendId, int>> excess;
  tools_.places.ForEach([&excess](const BackendInfo& info, const PlaceUse& use) {
    if (info.state == BackendState::kUnreadable) return;  // what runs there is left to end
    if (use.batch > use.batch_allowed) excess.emplace_back(info.id, use.batch - use.batch_allowed);
  });
  for (const auto& [backend, count] : excess) {
    std::vector<RunningItem> there;
    for (const auto& [key, run] : runs_) {
      if (run.backend.id == backend) there.push_back({key, run.due, work_.TimeLeft(key)});
    }
    for (const JobItemRef& key : ItemsToStop(std::move(there), count, TimeNow().store)) {
      Requeue(key, relay::SendEnd::kAbandoned, "gives way to online", Duration{0});
    }
  }
}

void BatchRunner::StartAllowed() {
  if (work_.backlog().size() == 0) return;
  const Time now = Loop::Now();
  std::vector<std::pair<double, BackendInfo>> open;
  tools_.places.ForEach([&](const BackendInfo& info, const PlaceUse& use) {
    if (use.batch >= use.batch_allowed || !tools_.places.IsUsable(info.id, now)) return;
    const int used = use.online + use.batch + use.online_other + use.batch_other;
    for (int i = use.batch; i < use.batch_allowed; ++i) {
      open.emplace_back(static_cast<double>(used + i - use.batch) / info.places, info);
    }
  });
  // The least used first: there a run disturbs others least, and is stopped last.
  std::sort(open.begin(), open.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  bool started = false;
  for (const auto& [share, info] : open) started |= StartOn(info);
  if (started) wanted_changed_();
}

bool BatchRunner::StartOn(const BackendInfo& backend) {
  const auto entry =
      work_.Next(TimeNow(), [this, &backend](const JobItemRef& key) { return Fits(key, backend); });
  if (!entry) return false;
  Start({entry->job, entry->item}, entry->due, backend);
  return true;
}

void BatchRunner::Start(const JobItemRef& key, StoreTime due, const BackendInfo& backend) {
  const OwnedJob* job = jobs_.Owned(key.job);
  const JobItem& item = job->items()[key.item];
  const ItemProgress& progress = work_.Of(key);
  HttpCall call = ItemCall(tools_.names, job->record(), item);
  const RequestFingerprint fingerprint = FingerprintOf(job->record(), call);
  call.to = backend.address;
  call.headers.push_back({tools_.names.request_id, item.id});
  call.headers.push_back({tools_.names.expect_backend, backend.id.value});
  if (progress.text.last_id()) {
    call.headers.push_back({tools_.names.last_event_id, *progress.text.last_id()});
  }
  call.bytes = &BytesOf(tools_, TrafficKind::kBatch, backend.id);
  const PlaceUse use = tools_.places.Use(backend.id);
  Log(LogLevel::kInfo, "item_run",
      {{"job", key.job.value},
       {"item", item.id},
       {"run", std::to_string(progress.runs)},
       {"after_event", progress.text.last_id().value_or("")},
       {"backend", backend.id.value},
       {"allowed", std::to_string(use.batch_allowed)},
       {"online", std::to_string(use.online + use.online_other)},
       {"batch", std::to_string(use.batch + use.batch_other)}});
  Run& run = runs_[key];
  run = Run{};
  run.backend = AddressOf(backend);
  run.started_at = run.heard_at = Loop::Now();
  run.lost_send = {item.id, fingerprint, run.backend, run.started_at};
  tools_.crashes.Began(fingerprint);
  run.due = due;
  run.place = tools_.places.Began(backend.id, WorkClass::kBatch, run.started_at);
  run.number = tools_.sends.Add(run.backend, run.started_at, [this, key] {
    tools_.crashes.Crashed(runs_[key].lost_send);
    Requeue(key, relay::SendEnd::kBroken, "the backend server has started again", Duration{0});
  });
  run.cancel = tools_.client.Start(
      std::move(call),
      [this, key, number = run.number](HttpEvent event) { OnHttp(key, number, std::move(event)); });
}

void BatchRunner::OnHttp(const JobItemRef& key, OpenSends::Number number, HttpEvent event) {
  const auto found = runs_.find(key);
  if (found == runs_.end() || found->second.number != number) return;
  Run& run = found->second;
  run.heard_at = Loop::Now();
  if (!std::holds_alternative<HttpFailure>(event)) {
    tools_.places.Heard(run.place, run.heard_at);
    tools_.sends.Heard(run.number, run.heard_at);
  }
  std::visit(Overloaded{
                 [&](const HttpHead& head) { OnHead(key, head); },
                 [&](const HttpBytes& bytes) { OnBytes(key, bytes.bytes); },
                 [&](const HttpEnd&) { OnEnd(key); },
                 [&](const HttpFailure& failure) {
                   if (failure.sent) return OnConnectionLost(key, failure.why);
                   Requeue(key, relay::SendEnd::kUnreachable, failure.why, kRetryPause);
                 },
             },
             event);
}

void BatchRunner::OnConnectionLost(const JobItemRef& key, std::string why) {
  const Run& run = runs_[key];
  tools_.crashes.Check(run.lost_send, [this, key, number = run.number, why = std::move(why)] {
    const auto found = runs_.find(key);
    const bool current = found != runs_.end() && found->second.number == number;
    if (current) Requeue(key, relay::SendEnd::kBroken, why, kRetryPause);
  });
}

void BatchRunner::OnHead(const JobItemRef& key, const HttpHead& head) {
  const OwnedJob* job = jobs_.Owned(key.job);
  if (job == nullptr) return EndRun(key, relay::SendEnd::kAbandoned);
  const WireNames& names = tools_.names;
  const AnsweredId id = AnsweredIdOf(head.HeaderOr(names.request_id), job->items()[key.item].id);
  const bool not_run = !head.HeaderOr(names.not_run).empty();
  const std::string why = "status " + std::to_string(head.status);
  std::visit(Overloaded{
                 [&](item_answer::Output) { runs_[key].answering = true; },
                 [&](item_answer::NotRun answer) {
                   const auto end = answer.misdirected ? relay::SendEnd::kMisdirected
                                                       : relay::SendEnd::kRejected;
                   Requeue(key, end, "not run, " + why, kRetryPause);
                 },
                 [&](item_answer::Stray) {
                   Requeue(key, relay::SendEnd::kBroken, "answered another request", kRetryPause);
                 },
                 [&](item_answer::Impossible) {
                   EndRun(key, relay::SendEnd::kAnswered);
                   Finish(key, ResultState::kDead, why);
                 },
                 [&](item_answer::Failed failed) { OnFailed(key, failed.counts, why); },
             },
             ItemAnswerOf({head.status, not_run, id}));
}

void BatchRunner::OnFailed(const JobItemRef& key, bool counts, const std::string& why) {
  const OwnedJob* job = jobs_.Owned(key.job);
  const Route* route = RouteOf(job->record(), job->items()[key.item]);
  int& failures = work_.Of(key).failures;
  if (counts) ++failures;
  FailedRuns failed{failures, {}};
  if (route != nullptr) failed.allowed = route->max_backends;
  if (!counts || MayRunAgain(failed)) {
    return Requeue(key, relay::SendEnd::kFailed, why, kRetryPause);
  }
  EndRun(key, relay::SendEnd::kFailed);
  Finish(key, ResultState::kDead, "failed " + std::to_string(failures) + " times");
}

void BatchRunner::OnBytes(const JobItemRef& key, std::string_view bytes) {
  if (!runs_[key].answering) return;
  ItemText& text = work_.Of(key).text;
  text.Feed(bytes);
  if (text.repeats()) Requeue(key, relay::SendEnd::kBroken, "an event came again", kRetryPause);
}

void BatchRunner::OnEnd(const JobItemRef& key) {
  const Run& run = runs_[key];
  if (!run.answering || !work_.Of(key).text.at_event_end()) {
    return Requeue(key, relay::SendEnd::kBroken, "ended early", kRetryPause);
  }
  if (tools_.crashes.has_reports()) tools_.crashes.Completed(run.lost_send.request);
  EndRun(key, relay::SendEnd::kAnswered);
  work_.Whole(key, TimeNow());
  Finish(key, ResultState::kComplete, "");
}

void BatchRunner::EndRun(const JobItemRef& key, relay::SendEnd end) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) return;
  const Run run = std::move(found->second);
  runs_.erase(found);
  run.cancel();
  const Time now = Loop::Now();
  tools_.sends.Remove(run.number);
  work_.RunEnded(key, now);
  tools_.places.Ended(run.place, end, now - run.started_at, now);
}

void BatchRunner::Requeue(const JobItemRef& key, relay::SendEnd end, std::string_view why,
                          Duration pause) {
  ItemProgress& progress = work_.Of(key);
  progress.text.BreakOff();
  tools_.metrics.ItemStopped(end);
  Log(LogLevel::kInfo, "item_stopped",
      {{"job", key.job.value},
       {"item", IdOf(key)},
       {"backend", runs_[key].backend.id.value},
       {"end", std::string(relay::ToString(end))},
       {"events", std::to_string(progress.text.events())},
       {"why", std::string(why)}});
  EndRun(key, end);
  Queue(key, pause);
  wanted_changed_();
}

void BatchRunner::Finish(const JobItemRef& key, ResultState state, std::string_view why) {
  OwnedJob* job = jobs_.Owned(key.job);
  if (job == nullptr) return;
  const std::string& id = job->items()[key.item].id;
  const ItemProgress progress = work_.Remove(key);
  tools_.metrics.ItemEnded(state == ResultState::kComplete, Loop::Now() - progress.first_run_at);
  Log(LogLevel::kInfo, "item_finished",
      {{"job", key.job.value},
       {"item", id},
       {"state", state == ResultState::kComplete ? "complete" : "dead"},
       {"runs", std::to_string(progress.runs)},
       {"events", std::to_string(progress.text.events())},
       {"why", std::string(why)}});
  job->Finish(key.item, {id, state, state == ResultState::kComplete ? progress.text.text() : ""});
  jobs_.Write(*job);
  Pump();
}

}  // namespace figmill
