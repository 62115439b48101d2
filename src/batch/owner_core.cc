#include "batch/owner_core.h"

#include <algorithm>

namespace figmill::detail {
namespace {

// How often the open jobs are scanned, which bounds the delay until a cancellation
// whose notification was lost is noticed.
constexpr Duration kScanPeriod{1'000'000};
// How long after a failed renewal the store is considered down. Longer than the time
// between two attempts to renew a lease.
constexpr Duration kOutageTimeout{5'000'000};
constexpr Duration kDefaultRetryAfter{200'000};
// A team may open this many chunks regardless of the other teams.
constexpr std::uint32_t kMinOpenChunksPerTeam = 2;

}  // namespace

OwnerCore::OwnerCore(NodeId self, BatchLimits limits, RandomBits random)
    : JobRunDelegate(store_, commits_),
      self_(std::move(self)),
      limits_(limits),
      random_(std::move(random)),
      commits_(store_),
      planner_(self_) {}

std::vector<BatchAction> OwnerCore::Handle(const BatchEvent& event, Time now) {
  now_ = now;
  store_.Tick(now);
  commits_.Tick(now);
  std::visit([this](const auto& e) { On(e); }, event);
  OpenChunks();
  Dispatch();
  if (draining_) ContinueDraining();
  for (StoreCall& call : store_.TakeCalls()) {
    std::visit([this](auto& c) { out_.emplace_back(std::move(c)); }, call);
  }
  return std::exchange(out_, {});
}

// --- Lease and fleet ---------------------------------------------------------------

void OwnerCore::On(const BatchTick&) {
  if (now_ >= next_scan_round_ && scans_left_ == 0 && !draining_) StartScanRound();
}

void OwnerCore::On(const OwnerLeaseHeld& event) {
  if (event.epoch != lease_) DropRuns();
  lease_ = event.epoch;
  lease_valid_until_ = event.valid_until;
  planner_.SetLease(lease_);
  for (ReadyItem& item : std::exchange(deferred_items_, {})) scheduler_.Add(std::move(item));
}

void OwnerCore::On(const OwnerLeaseLost&) {
  lease_valid_until_ = {};
  DropRuns();
}

void OwnerCore::On(const StoreUnavailable&) {
  outage_until_ = now_ + kOutageTimeout;
}

void OwnerCore::On(const LeaseExpired& event) {
  planner_.OnLeaseExpired(OwnerLease{event.owner, event.epoch});
  next_scan_round_ = now_;
}

void OwnerCore::On(const FleetUpdate& event) {
  if (planner_.SetEntries(event.entries)) next_scan_round_ = now_;
  repeatable_ = event.repeatable;
  scheduler_.SetAgents(event.agents);
  RetryItemsOfLostAgents(event.agents);
}

void OwnerCore::On(const JobChanged& event) {
  const auto run = runs_.find(event.job);
  if (run != runs_.end()) run->second->VerifyOwnership();
}

void OwnerCore::On(const DrainBatch&) {
  draining_ = true;
  for (const auto& [job, run] : runs_) run->StartDraining();
}

void OwnerCore::DropRuns() {
  while (!runs_.empty()) OnJobEnded(runs_.begin()->first, JobTransition::Kind::kFenced);
}

// A lost agent may not close its connections, for example when its host failed or its
// process is stopped. Its items would wait forever, so the repeatable ones are retried
// on other agents.
void OwnerCore::RetryItemsOfLostAgents(const std::vector<BatchAgent>& agents) {
  const auto lost = [&](const InFlightItem& item) {
    return std::none_of(agents.begin(), agents.end(), [&](const BatchAgent& agent) {
      return agent.node == item.agent && agent.incarnation == item.incarnation;
    });
  };
  std::vector<RequestId> lost_requests;
  for (const auto& [request, item] : in_flight_) {
    if (item.repeatable && lost(item)) lost_requests.push_back(request);
  }
  for (const RequestId& request : lost_requests) {
    const InFlightItem& item = in_flight_.at(request);
    out_.emplace_back(CancelItem{request, item.agent, item.incarnation});
    On(ItemEnded{request, Error{ErrorKind::kBackendFailed, "the agent was lost", Ran::kUnknown}});
  }
}

// --- Finding jobs ------------------------------------------------------------------

void OwnerCore::StartScanRound() {
  next_scan_round_ = now_ + kScanPeriod;
  std::vector<JobId> held;
  held_at_start_.clear();
  for (const auto& [job, run] : runs_) {
    held.push_back(job);
    if (run->claimed()) held_at_start_.insert(job);
  }
  scanned_jobs_.clear();
  const std::vector<std::string> prefixes = planner_.ScanPrefixes(held);
  scans_left_ = prefixes.size();
  ++scan_round_;
  for (const std::string& prefix : prefixes) ScanPrefix(scan_round_, prefix);
}

void OwnerCore::ScanPrefix(std::size_t round, const std::string& prefix) {
  store_.ScanAll(prefix, [this, round](const Result<std::vector<Row>>& rows) {
    if (round != scan_round_ || !IsOk(rows)) return;
    for (const Row& row : ValueOf(rows)) {
      if (auto job = ParseOpenJob(row)) scanned_jobs_.push_back(std::move(*job));
    }
    if (--scans_left_ == 0) FinishScanRound();
  });
}

void OwnerCore::FinishScanRound() {
  std::set<JobId> busy = claiming_;
  for (const auto& [job, run] : runs_) busy.insert(job);
  const ClaimPlanner::ClaimPlan plan = planner_.MakePlan(scanned_jobs_, held_at_start_, busy);
  scanned_jobs_.clear();
  for (const JobId& job : plan.verify) {
    const auto run = runs_.find(job);
    if (run != runs_.end()) run->second->VerifyOwnership();
  }
  if (auto owners = planner_.TakeWatchList()) out_.emplace_back(WatchLeases{std::move(*owners)});
  if (!has_valid_lease() || draining_) return;
  for (const JobId& job : plan.claim) ClaimJob(job);
}

void OwnerCore::ClaimJob(const JobId& job) {
  claiming_.insert(job);
  store_.Read(JobKey(job), [this, job](const Result<std::optional<Row>>& answer) {
    claiming_.erase(job);
    if (!IsOk(answer) || !ValueOf(answer) || !has_valid_lease() || draining_) return;
    Result<JobRow> row = ParseJobRow(ValueOf(answer)->value);
    if (!IsOk(row) || ValueOf(row).state != JobState::kRunning) return;
    if (!planner_.Claimable(ValueOf(row).owner, ValueOf(row).owner_lease)) return;
    auto run =
        std::make_shared<JobRun>(*this, job, std::move(ValueOf(row)), ValueOf(answer)->version);
    runs_[job] = run;
    run->Claim(self_, lease_);
  });
}

// --- Work --------------------------------------------------------------------------

void OwnerCore::EnqueueItem(ReadyItem item) {
  scheduler_.Add(std::move(item));
}

// Prefetches chunks so that each team has ready items, earliest due job first.
void OwnerCore::OpenChunks() {
  if (!has_valid_lease() || draining_) return;
  std::map<TeamId, std::size_t> ready;
  std::size_t held = 0;
  std::uint32_t open = 0;
  for (const auto& [job, run] : runs_) {
    ready[run->row().team] += std::size_t{run->loading()} * kMaxChunkItems;
    held += run->held_bytes();
    open += run->open_chunks();
  }
  if (ready.empty() || held >= limits_.max_held_bytes || open >= limits_.max_open_chunks) return;
  const auto teams = static_cast<std::uint32_t>(ready.size());
  const std::uint32_t max_open_per_team =
      std::max(kMinOpenChunksPerTeam, limits_.max_open_chunks / teams);
  for (const auto& [team, loading] : ready) {
    OpenChunkForTeam(team, loading + scheduler_.ReadyOf(team), max_open_per_team);
  }
}

// A job without an open chunk gets one even if its team has enough ready items: these
// may all be for one model while the engines of another are idle.
void OwnerCore::OpenChunkForTeam(const TeamId& team, std::size_t ready, std::uint32_t max_open) {
  const bool enough = ready >= limits_.ready_items_per_team;
  JobRun* earliest = nullptr;
  std::uint32_t open = 0;
  for (const auto& [job, run] : runs_) {
    if (run->row().team != team) continue;
    open += run->open_chunks();
    // Open no further chunks of a job while some of its items can't be served.
    if (!run->has_more() || run->has_unsent_intents() || scheduler_.UnservedOf(job) > 0) continue;
    if (enough && run->open_chunks() > 0) continue;
    if (earliest == nullptr || run->row().due < earliest->row().due) earliest = run.get();
  }
  if (earliest != nullptr && open < max_open) earliest->OpenNext();
}

void OwnerCore::Dispatch() {
  if (!has_valid_lease() && !in_store_outage()) return;
  while (auto assignment = scheduler_.Next(now_)) SendItem(std::move(*assignment));
}

void OwnerCore::SendItem(Assignment assignment) {
  const auto run = runs_.find(assignment.item.job);
  const BatchItem* item =
      run == runs_.end() ? nullptr : run->second->FindItem(assignment.item.index);
  if (item == nullptr) return scheduler_.OnEnded(assignment.agent);
  // A new owner may already have recorded the item's outcome as unknown, so it must not
  // be sent now.
  if (!item->repeatable && !has_valid_lease()) {
    scheduler_.OnEnded(assignment.agent);
    deferred_items_.push_back(std::move(assignment.item));
    return;
  }
  const JobRow& row = run->second->row();
  const std::uint32_t index = assignment.item.index;
  run->second->OnSent(index);
  RequestId request{assignment.item.job.value + ":" + std::to_string(row.epoch) + ":" +
                    std::to_string(index) + ":" + std::to_string(++attempts_)};
  in_flight_[request] = InFlightItem{assignment.item.job, index, assignment.agent,
                                     assignment.incarnation, item->repeatable};
  out_.emplace_back(DispatchItem{std::move(request), std::move(assignment.agent),
                                 assignment.incarnation, std::move(assignment.item.job), row.team,
                                 row.epoch, index, *item});
}

void OwnerCore::On(const ItemStarted& event) {
  const auto found = in_flight_.find(event.request);
  if (found == in_flight_.end()) return;
  scheduler_.OnFreeSlots(found->second.agent, event.free_slots);
  const auto run = runs_.find(found->second.job);
  if (run != runs_.end()) run->second->OnStarted(found->second.index);
}

void OwnerCore::On(const ItemEnded& event) {
  const auto found = in_flight_.find(event.request);
  if (found == in_flight_.end()) return;  // late outcome of a cancelled or lost job
  const InFlightItem item = std::move(found->second);
  in_flight_.erase(found);
  std::visit(Overloaded{
                 [&](const ItemAnswer& answer) {
                   if (answer.status >= 500) {
                     scheduler_.OnFailed(item.agent, now_);
                   } else {
                     scheduler_.OnEnded(item.agent);
                   }
                 },
                 [&](const Error& error) {
                   if (item.revoked && error.ran == Ran::kNo) {
                     scheduler_.OnEnded(item.agent);
                   } else if (error.ran == Ran::kNo && error.kind != ErrorKind::kBackendFailed) {
                     scheduler_.OnRefused(item.agent,
                                          error.retry_after.value_or(kDefaultRetryAfter), now_);
                   } else {
                     scheduler_.OnFailed(item.agent, now_);
                   }
                 },
             },
             event.outcome);
  const auto run = runs_.find(item.job);
  if (run != runs_.end()) run->second->OnOutcome(item.index, event.outcome, item.agent);
}

std::set<std::uint32_t> OwnerCore::RecallItems(const JobId& job, std::uint32_t first,
                                               std::uint32_t count) {
  const auto recalled = [&](const JobId& of, std::uint32_t index) {
    return of == job && index >= first && index - first < count;
  };
  scheduler_.RemoveItems(job, first, count);
  std::erase_if(deferred_items_,
                [&](const ReadyItem& item) { return recalled(item.job, item.index); });
  std::set<std::uint32_t> revoked;
  for (auto& [request, item] : in_flight_) {
    if (!recalled(item.job, item.index)) continue;
    out_.emplace_back(RevokeItem{request, item.agent, item.incarnation});
    item.revoked = true;
    revoked.insert(item.index);
  }
  return revoked;
}

void OwnerCore::CancelInFlight(const JobId& job) {
  for (auto it = in_flight_.begin(); it != in_flight_.end();) {
    if (it->second.job != job) {
      ++it;
      continue;
    }
    out_.emplace_back(CancelItem{it->first, it->second.agent, it->second.incarnation});
    scheduler_.OnEnded(it->second.agent);
    it = in_flight_.erase(it);
  }
}

void OwnerCore::OnJobEnded(const JobId& job, JobTransition::Kind transition) {
  const auto run = runs_.find(job);
  if (run == runs_.end()) return;
  out_.emplace_back(JobTransition{job, run->second->row().epoch, transition});
  scheduler_.RemoveJob(job);
  std::erase_if(deferred_items_, [&](const ReadyItem& item) { return item.job == job; });
  CancelInFlight(job);
  runs_.erase(run);
}

// Finishes the chunks that have started so that no work is lost, then releases the jobs.
void OwnerCore::ContinueDraining() {
  std::vector<std::shared_ptr<JobRun>> idle;
  for (const auto& [job, run] : runs_) {
    if (run->idle()) idle.push_back(run);
  }
  for (const auto& run : idle) run->Release();
  if (!runs_.empty() || !claiming_.empty() || drained_) return;
  drained_ = true;
  out_.emplace_back(BatchDrained{});
}

BatchCounts OwnerCore::counts() const {
  BatchCounts counts;
  counts.jobs = static_cast<std::uint32_t>(runs_.size());
  counts.in_flight = static_cast<std::uint32_t>(in_flight_.size());
  for (const auto& [job, run] : runs_) {
    counts.open_chunks += run->open_chunks();
    counts.held_bytes += run->held_bytes();
  }
  counts.items_committed = items_committed_;
  counts.transactions = commits_.transactions();
  counts.chunks_returned = chunks_returned_;
  return counts;
}

}  // namespace figmill::detail

namespace figmill {

BatchOwner::BatchOwner(NodeId self, BatchLimits limits, RandomBits random)
    : core_(std::make_unique<detail::OwnerCore>(std::move(self), limits, std::move(random))) {}
BatchOwner::~BatchOwner() = default;
std::vector<BatchAction> BatchOwner::Handle(const BatchEvent& event, Time now) {
  return core_->Handle(event, now);
}
BatchCounts BatchOwner::counts() const {
  return core_->counts();
}

}  // namespace figmill
