#include "gateway/batch_runner.h"

#include <algorithm>
#include <span>
#include <utility>

#include "gateway/item_call.h"

namespace figmill {

BatchRunner::BatchRunner(RelayContext& tools, JobStore& jobs, const StoreClock& clock,
                         std::function<void()> waiting_changed)
    : tools_(tools), jobs_(jobs), clock_(clock), waiting_changed_(std::move(waiting_changed)) {
  sweep_timer_ = tools_.loop.Every(kSweepPeriod, [this] { Sweep(); });
  progress_timer_ = tools_.loop.Every(kProgressWriteInterval, [this] { SaveProgress(); });
}

void BatchRunner::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  routes_ = std::move(routes);
  check_routes_ = true;
}

std::vector<WaitingItems> BatchRunner::Waiting() const {
  static_assert(ItemBacklog::kLate == WaitingItems::kLate);
  std::vector<WaitingItems> waiting;
  for (const auto& [group, items] : open_items_.backlog().Startable(TimeNow())) {
    const auto& [rank, due] = group;
    if (waiting.size() < WaitingItems::kMaxGroups) {
      waiting.push_back({due, items, rank == ItemRank::kStarted});
    } else {
      waiting.back().items += items;
    }
  }
  return waiting;
}

void BatchRunner::OnOwned(OwnedJob& job, const std::vector<ledger::ProgressPiece>& progress) {
  for (const ledger::ProgressPiece& piece : progress) {
    if (piece.item >= job.items().size() || !job.IsOpen(piece.item)) continue;
    open_items_.Restore({job.record().id, piece.item}, piece);
  }
  for (std::size_t i = 0; i < job.items().size(); ++i) {
    if (job.IsOpen(i)) Enqueue({job.record().id, i}, Duration{0});
  }
  check_routes_ = true;
  waiting_changed_();
  UpdateRuns();
}

void BatchRunner::OnDropped(const JobId& job) {
  std::vector<JobItemRef> running;
  for (const auto& [key, run] : runs_) {
    if (key.job == job) running.push_back(key);
  }
  for (const JobItemRef& key : running) EndRun(key, relay::SendEnd::kAbandoned);
  open_items_.RemoveJob(job);
}

void BatchRunner::OnReleasing(OwnedJob& job) {
  SaveProgressOf(job);
  OnDropped(job.record().id);
}

void BatchRunner::SaveProgressOf(OwnedJob& job) {
  for (ledger::ProgressPiece& piece : open_items_.TakePieces(job.record().id))
    job.AddProgress(std::move(piece));
}

void BatchRunner::SaveProgress() {
  for (const JobId& id : open_items_.Jobs()) {
    OwnedJob* job = jobs_.FindOwned(id);
    if (job == nullptr || job->writing()) continue;
    SaveProgressOf(*job);
    jobs_.Write(*job);
  }
}

void BatchRunner::Enqueue(const JobItemRef& key, Duration delay) {
  const OwnedJob* job = jobs_.FindOwned(key.job);
  if (job == nullptr) return;
  delay = std::max(delay, std::min(QuarantineLeft(*job, key), kQuarantineCheckInterval));
  open_items_.Enqueue(key, job->record().due, Loop::Now() + delay);
  if (delay.count() > 0) tools_.loop.Later(delay, [this] { UpdateRuns(); });
}

// Time until the item may run on some service of its route. It isn't recorded as dead before its
// job expires: a recorded result is final, and another request may have caused the crashes.
Duration BatchRunner::QuarantineLeft(const OwnedJob& job, const JobItemRef& key) const {
  if (!tools_.crash_tracker.has_quarantined()) return Duration{0};
  const Route* route = RouteOf(job.record(), job.items()[key.item]);
  if (route == nullptr) return Duration{0};
  Duration least = Duration::max();
  for (const ServiceShare& share : route->split) {
    least = std::min(least, QuarantineLeft(key, share.service));
  }
  return least == Duration::max() ? Duration{0} : least;
}

Duration BatchRunner::QuarantineLeft(const JobItemRef& key, const ServiceName& service) const {
  if (!tools_.crash_tracker.has_quarantined()) return Duration{0};
  const OwnedJob* job = jobs_.FindOwned(key.job);
  if (job == nullptr) return Duration{0};
  const std::vector<Fingerprint> suspects =
      SuspectsOf(tools_.names, job->record(), job->items()[key.item], service);
  return tools_.crash_tracker.ItemQuarantineLeft(suspects, ExpiryOf(job->record()));
}

Time BatchRunner::ExpiryOf(const JobRecord& head) const {
  const BacklogTime now = TimeNow();
  if (!now.store) return Time::max();
  return now.local + std::max(head.expires - *now.store, Duration{0});
}

void BatchRunner::Postpone(const JobItemRef& key, Duration delay) {
  open_items_.Postpone(key, Loop::Now() + delay);
  tools_.loop.Later(delay, [this] { UpdateRuns(); });
}

BacklogTime BatchRunner::TimeNow() const {
  return {Loop::Now(), clock_.Earliest(Loop::SinceBoot())};
}

const Route* BatchRunner::RouteOf(const JobRecord& head, const JobItem& item) const {
  return routes_ ? ItemRoute(*routes_, head, item) : nullptr;
}

bool BatchRunner::CanRunOn(const JobItemRef& key, const BackendInfo& backend, OtherSources others) {
  const OwnedJob* job = jobs_.FindOwned(key.job);
  if (job == nullptr) return false;
  const Route* route = RouteOf(job->record(), job->items()[key.item]);
  if (route == nullptr) return false;
  const bool routed = std::any_of(
      route->split.begin(), route->split.end(),
      [&backend](const ServiceShare& share) { return share.service == backend.service; });
  if (!routed) return false;
  const ItemProgress& progress = open_items_.ProgressOf(key);
  const std::optional<OutputSource> source = progress.text.source();
  if (!source || *source == SourceOf(backend)) return true;
  OtherSourceSlot slot;
  slot.source_is_served = ready_sources_.contains(*source);
  if (slot.source_is_served && others == OtherSources::kIfItsOwnIsGone) return false;
  slot.waited = Loop::Now() - progress.ended_at;
  slot.work = open_items_.WorkDone(key);
  return ShouldStartOver(slot);
}

std::string BatchRunner::ItemId(const JobItemRef& key) const {
  const OwnedJob* job = jobs_.FindOwned(key.job);
  return job == nullptr ? std::to_string(key.item) : job->items()[key.item].id;
}

void BatchRunner::UpdateRuns() {
  StopExcessRuns();
  StartGrantedRuns();
}

// Stops runs beyond the batch grants, which shrink when online requests arrive.
void BatchRunner::StopExcessRuns() {
  std::vector<std::pair<BackendId, int>> excess;
  tools_.backends.ForEach([&excess](const BackendInfo& info, const SlotUsage& use) {
    if (info.state == BackendState::kUnreadable) return;  // runs there may finish
    if (use.batch > use.batch_allowed) excess.emplace_back(info.id, use.batch - use.batch_allowed);
  });
  for (const auto& [backend, count] : excess) {
    std::vector<RunningItem> candidates;
    for (const auto& [key, run] : runs_) {
      if (run.backend.id == backend)
        candidates.push_back({key, run.due, open_items_.TimeToFinish(key)});
    }
    for (const JobItemRef& key : ItemsToStop(std::move(candidates), count, TimeNow().store)) {
      Requeue(key, relay::SendEnd::kAbandoned, "gives way to online", Duration{0});
    }
  }
}

void BatchRunner::StartGrantedRuns() {
  if (open_items_.backlog().size() == 0) return;
  const Time now = Loop::Now();
  std::vector<std::pair<double, BackendInfo>> free_slots;
  ready_sources_.clear();
  tools_.backends.ForEach([&](const BackendInfo& info, const SlotUsage& use) {
    if (info.state == BackendState::kReady) ready_sources_.insert(SourceOf(info));
    if (use.batch >= use.batch_allowed || !tools_.backends.IsUsable(info.id, now)) return;
    const int used = use.online + use.batch + use.online_other + use.batch_other;
    for (int i = use.batch; i < use.batch_allowed; ++i) {
      free_slots.emplace_back(static_cast<double>(used + i - use.batch) / info.slots, info);
    }
  });
  // Least loaded first: a run there slows others least, and is stopped last.
  std::sort(free_slots.begin(), free_slots.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  bool started = false;
  for (const auto& [share, info] : free_slots) started |= StartOn(info);
  if (started) waiting_changed_();
}

// What has come into quarantine while it waited is found here. It is moved back, as an item that
// could start would ask for slots that it doesn't use.
bool BatchRunner::StartOn(const BackendInfo& backend) {
  std::map<JobItemRef, Duration> held;
  const auto next = [&](OtherSources others) {
    return open_items_.StartNext(TimeNow(), [&, others](const JobItemRef& key) {
      if (held.contains(key) || !CanRunOn(key, backend, others)) return false;
      const Duration left = QuarantineLeft(key, backend.service);
      if (left.count() > 0) held.emplace(key, left);
      return left.count() == 0;
    });
  };
  auto entry = next(OtherSources::kIfItsOwnIsGone);
  if (!entry) entry = next(OtherSources::kIfItHasWaited);
  for (const auto& [key, left] : held) Postpone(key, std::min(left, kQuarantineCheckInterval));
  if (!entry) return false;
  Start({entry->job, entry->item}, entry->due, backend);
  return true;
}

void BatchRunner::Start(const JobItemRef& key, StoreTime due, const BackendInfo& backend) {
  const OwnedJob* job = jobs_.FindOwned(key.job);
  const JobItem& item = job->items()[key.item];
  const std::uint64_t dropped = open_items_.BeginRun(key, SourceOf(backend));
  const ItemProgress& progress = open_items_.ProgressOf(key);
  HttpCall call = MakeItemCall(tools_.names, job->record(), item);
  call.to = backend.address;
  call.headers.push_back({tools_.names.request_id, item.id});
  call.headers.push_back({tools_.names.expect_backend, backend.id.value});
  if (progress.text.last_id()) {
    call.headers.push_back({tools_.names.last_event_id, *progress.text.last_id()});
  }
  call.bytes = &BackendBytesCounter(tools_, TrafficKind::kBatch, backend.id);
  const SlotUsage use = tools_.backends.UsageOf(backend.id);
  Log(LogLevel::kInfo, "item_run",
      {{"job", key.job.value},
       {"item", item.id},
       {"run", std::to_string(progress.runs)},
       {"after_event", progress.text.last_id().value_or("")},
       {"dropped_events", std::to_string(dropped)},
       {"backend", backend.id.value},
       {"version", backend.version.value},
       {"allowed", std::to_string(use.batch_allowed)},
       {"online", std::to_string(use.online + use.online_other)},
       {"batch", std::to_string(use.batch + use.batch_other)}});
  Run& run = runs_[key];
  run = Run{};
  run.backend = AddressOf(backend);
  run.started_at = run.last_activity_at = Loop::Now();
  run.suspended_before = Loop::Suspended();
  run.events_before = progress.text.events();
  run.max_output_tokens = ParseMaxOutputTokens(HeaderValue(item.headers, tools_.names.tokens));
  run.suspects = SuspectsOf(tools_.names, job->record(), item, backend.service);
  tools_.crash_tracker.RecordStart(run.suspects);
  run.due = due;
  run.slot = tools_.backends.AcquireSlot(backend.id, WorkClass::kBatch, run.started_at);
  run.timer = RunTimer(run.events_before);
  run.number = tools_.open_sends.Add(run.backend, run.started_at, [this, key] {
    tools_.crash_tracker.ReportRestart(MakeLostSend(key));
    Requeue(key, relay::SendEnd::kBroken, "the backend server has started again", Duration{0});
  });
  run.cancel = tools_.client.Start(
      std::move(call),
      [this, key, number = run.number](HttpEvent event) { OnHttp(key, number, std::move(event)); });
}

void BatchRunner::OnHttp(const JobItemRef& key, OpenSends::Id number, HttpEvent event) {
  const auto found = runs_.find(key);
  if (!IsCurrent(key, number)) return;
  Run& run = found->second;
  const Time now = Loop::Now();
  if (!std::holds_alternative<HttpBytes>(event)) run.last_activity_at = now;
  if (!std::holds_alternative<HttpFailure>(event)) {
    tools_.backends.RecordActivity(run.slot, now);
    tools_.open_sends.RecordActivity(run.number, now);
  }
  std::visit(Overloaded{
                 [&](const HttpHead& head) { OnHead(key, head); },
                 [&](const HttpBytes& bytes) { OnBytes(key, bytes.bytes); },
                 [&](const HttpEnd& end) { end.by_close ? OnEndByClose(key, end) : OnEnd(key); },
                 [&](const HttpFailure& failure) {
                   if (failure.sent) return OnConnectionLost(key, failure.why);
                   Requeue(key, relay::SendEnd::kUnreachable, failure.why, kRetryDelay);
                 },
             },
             event);
}

void BatchRunner::OnConnectionLost(const JobItemRef& key, std::string why) {
  const OpenSends::Id number = runs_[key].number;
  tools_.crash_tracker.CheckBackend(MakeLostSend(key), [this, key, number, why = std::move(why)] {
    if (IsCurrent(key, number)) Requeue(key, relay::SendEnd::kBroken, why, kRetryDelay);
  });
}

// Nothing but the close of its connection shows that the response is whole.
void BatchRunner::OnEndByClose(const JobItemRef& key, const HttpEnd& end) {
  const Run& run = runs_[key];
  if (!run.answering || !open_items_.ProgressOf(key).text.at_event_end()) {
    return OnConnectionLost(key, "response ended inside an event");
  }
  EndEvidence evidence;
  evidence.asked = run.backend.incarnation;
  evidence.closed_after = CrashTracker::ClosedAfter(end, run.suspended_before);
  evidence.events = open_items_.ProgressOf(key).text.events();
  evidence.max_output_tokens = run.max_output_tokens;
  tools_.crash_tracker.CheckEnd(MakeLostSend(key), evidence,
                                [this, key, number = run.number](Completeness completeness) {
                                  if (!IsCurrent(key, number)) return;
                                  if (completeness == Completeness::kWhole) return OnEnd(key);
                                  Requeue(key, relay::SendEnd::kBroken,
                                          "nothing shows that the response is whole", kRetryDelay);
                                });
}

bool BatchRunner::IsCurrent(const JobItemRef& key, OpenSends::Id number) const {
  const auto found = runs_.find(key);
  return found != runs_.end() && found->second.number == number;
}

LostSend BatchRunner::MakeLostSend(const JobItemRef& key) {
  const Run& run = runs_[key];
  const BackendInfo* listed = tools_.backends.Find(run.backend.id);
  LostSend lost;
  lost.id = ItemId(key);
  lost.suspects = run.suspects;
  lost.backend = run.backend;
  lost.started_at = run.started_at;
  lost.events = open_items_.ProgressOf(key).text.events() - run.events_before;
  lost.leaving = listed != nullptr && listed->state == BackendState::kDraining;
  return lost;
}

void BatchRunner::OnHead(const JobItemRef& key, const HttpHead& head) {
  const OwnedJob* job = jobs_.FindOwned(key.job);
  if (job == nullptr) return EndRun(key, relay::SendEnd::kAbandoned);
  const HeaderNames& names = tools_.names;
  const AnswerIdMatch id =
      MatchAnswerId(head.HeaderOr(names.request_id), job->items()[key.item].id);
  const bool not_run = !head.HeaderOr(names.not_run).empty();
  const std::string why = "status " + std::to_string(head.status);
  const Run& run = runs_[key];
  if (id == AnswerIdMatch::kSame && head.status != kMisdirected) {
    tools_.crash_tracker.RecordAnswer(run.backend, run.started_at);
  }
  std::visit(Overloaded{
                 [&](item_answer::Output) { runs_[key].answering = true; },
                 [&](item_answer::NotRun answer) {
                   const auto end = answer.misdirected ? relay::SendEnd::kMisdirected
                                                       : relay::SendEnd::kRejected;
                   Requeue(key, end, "not run, " + why, kRetryDelay);
                 },
                 [&](item_answer::WrongRequest) {
                   Requeue(key, relay::SendEnd::kBroken, "response belongs to another request",
                           kRetryDelay);
                 },
                 [&](item_answer::Unprocessable) {
                   EndRun(key, relay::SendEnd::kAnswered);
                   Finish(key, ResultState::kDead, why);
                 },
                 [&](item_answer::Failed failed) { OnFailed(key, failed.counts_as_failure, why); },
             },
             ItemAnswerOf({head.status, not_run, id}));
}

void BatchRunner::OnFailed(const JobItemRef& key, bool counts_as_failure, const std::string& why) {
  const OwnedJob* job = jobs_.FindOwned(key.job);
  const Route* route = RouteOf(job->record(), job->items()[key.item]);
  int& failures = open_items_.ProgressOf(key).failures;
  if (counts_as_failure) ++failures;
  FailedRuns failed{failures, {}};
  if (route != nullptr) failed.allowed = route->max_backends;
  if (!counts_as_failure || MayRunAgain(failed)) {
    return Requeue(key, relay::SendEnd::kFailed, why, kRetryDelay);
  }
  EndRun(key, relay::SendEnd::kFailed);
  Finish(key, ResultState::kDead, "failed " + std::to_string(failures) + " times");
}

void BatchRunner::OnBytes(const JobItemRef& key, std::string_view bytes) {
  Run& run = runs_[key];
  if (!run.answering) return;
  ItemText& text = open_items_.ProgressOf(key).text;
  const std::uint64_t events_before = text.events();
  text.Feed(bytes);
  const Time now = Loop::Now();
  // Bytes that complete no event are as good as silence.
  if (text.events() != events_before) run.last_activity_at = now;
  tools_.backends.RecordEvents(run.slot, run.timer.Update(text.events(), now));
  if (!run.parts_are_sound && Quarantine::ShowsSoundParts(text.events() - run.events_before)) {
    run.parts_are_sound = true;
    tools_.crash_tracker.RecordSound(std::span(run.suspects).subspan(1));
  }
  const std::optional<std::string_view> defect = text.Defect();
  if (!defect) return;
  const bool too_long = text.too_long();
  Requeue(key, relay::SendEnd::kBroken, *defect, kRetryDelay);
  if (too_long) text.StartOver();
}

void BatchRunner::OnEnd(const JobItemRef& key) {
  const Run& run = runs_[key];
  if (!run.answering || !open_items_.ProgressOf(key).text.at_event_end()) {
    return Requeue(key, relay::SendEnd::kBroken, "response ended early", kRetryDelay);
  }
  tools_.crash_tracker.RecordSound(run.suspects);
  EndRun(key, relay::SendEnd::kAnswered);
  open_items_.OnCompleted(key, TimeNow());
  Finish(key, ResultState::kComplete, "");
}

void BatchRunner::EndRun(const JobItemRef& key, relay::SendEnd end) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) return;
  const Run run = std::move(found->second);
  runs_.erase(found);
  run.cancel();
  const Time now = Loop::Now();
  tools_.crash_tracker.RecordItemEnd(run.suspects);
  tools_.open_sends.Remove(run.number);
  open_items_.OnRunEnded(key, now);
  tools_.backends.ReleaseSlot(run.slot, end, now - run.started_at, now);
}

void BatchRunner::Requeue(const JobItemRef& key, relay::SendEnd end, std::string_view why,
                          Duration delay) {
  ItemProgress& progress = open_items_.ProgressOf(key);
  progress.text.DropIncomplete();
  tools_.metrics.ItemStopped(end);
  Log(LogLevel::kInfo, "item_stopped",
      {{"job", key.job.value},
       {"item", ItemId(key)},
       {"backend", runs_[key].backend.id.value},
       {"end", std::string(relay::ToString(end))},
       {"events", std::to_string(progress.text.events())},
       {"why", std::string(why)}});
  EndRun(key, end);
  Enqueue(key, delay);
  waiting_changed_();
}

void BatchRunner::Finish(const JobItemRef& key, ResultState state, std::string_view why) {
  OwnedJob* job = jobs_.FindOwned(key.job);
  if (job == nullptr) return;
  const std::string& id = job->items()[key.item].id;
  const ItemProgress progress = open_items_.Remove(key);
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
  UpdateRuns();
}

}  // namespace figmill
