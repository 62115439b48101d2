#include "batch/owner_core.h"

#include <algorithm>

namespace figmill::detail {
namespace {

// How often the open jobs are scanned; a cancellation whose notice got lost is
// seen this much later.
constexpr Duration kRoundPeriod{1'000'000};
// Longer than the time between two attempts to renew a lease.
constexpr Duration kOutageMemory{5'000'000};
constexpr Duration kRefusalPause{200'000};
// A team may open this many chunks whatever the others hold.
constexpr std::uint32_t kLeastOpenPerTeam = 2;

}  // namespace

OwnerCore::OwnerCore(NodeId self, BatchLimits limits, RandomBits random)
    : JobHost(store_, commits_),
      self_(std::move(self)),
      limits_(limits),
      random_(std::move(random)),
      commits_(store_),
      board_(self_) {}

std::vector<BatchAction> OwnerCore::Handle(const BatchEvent& event, Time now) {
  now_ = now;
  store_.Tick(now);
  commits_.Tick(now);
  std::visit([this](const auto& e) { On(e); }, event);
  OpenChunks();
  Dispatch();
  if (draining_) GoOnDraining();
  for (StoreCall& call : store_.Take()) {
    std::visit([this](auto& c) { out_.emplace_back(std::move(c)); }, call);
  }
  return std::exchange(out_, {});
}

// --- Lease and fleet ---------------------------------------------------------------

void OwnerCore::On(const BatchTick&) {
  if (now_ >= next_round_ && scans_left_ == 0 && !draining_) StartRound();
}

void OwnerCore::On(const OwnerLeaseHeld& event) {
  if (event.epoch != lease_) DropRuns();
  lease_ = event.epoch;
  act_until_ = event.act_until;
  board_.SetLease(lease_);
  for (ReadyItem& item : std::exchange(held_back_, {})) scheduler_.Add(std::move(item));
}

void OwnerCore::On(const OwnerLeaseLost&) {
  act_until_ = {};
  DropRuns();
}

void OwnerCore::On(const StoreSilent&) {
  outage_until_ = now_ + kOutageMemory;
}

void OwnerCore::On(const OwnerLapsed& event) {
  board_.OnLapsed(OwnerToWatch{event.owner, event.epoch});
  next_round_ = now_;
}

void OwnerCore::On(const FleetSeen& event) {
  if (board_.SetEntries(event.entries)) next_round_ = now_;
  repeatable_ = event.repeatable;
  scheduler_.SetAgents(event.agents);
  TakeBackFrom(event.agents);
}

void OwnerCore::On(const JobChanged& event) {
  const auto run = runs_.find(event.job);
  if (run != runs_.end()) run->second->Verify();
}

void OwnerCore::On(const DrainBatch&) {
  draining_ = true;
}

void OwnerCore::DropRuns() {
  while (!runs_.empty()) Ended(runs_.begin()->first, JobNote::What::kFenced);
}

// A dead agent may not close its connections: its host is gone, or it is
// stopped. Its items would wait for ever; those that may be repeated go elsewhere.
void OwnerCore::TakeBackFrom(const std::vector<BatchAgent>& agents) {
  const auto lost = [&](const Flying& flying) {
    return std::none_of(agents.begin(), agents.end(), [&](const BatchAgent& agent) {
      return agent.node == flying.agent && agent.incarnation == flying.incarnation;
    });
  };
  std::vector<RequestId> taken_back;
  for (const auto& [request, flying] : flying_) {
    if (flying.repeatable && lost(flying)) taken_back.push_back(request);
  }
  for (const RequestId& request : taken_back) {
    const Flying& flying = flying_.at(request);
    out_.emplace_back(CancelItem{request, flying.agent, flying.incarnation});
    On(ItemEnded{request, Error{ErrorKind::kBackendFailed, "the agent was lost", Ran::kUnknown}});
  }
}

// --- Finding jobs ------------------------------------------------------------------

void OwnerCore::StartRound() {
  next_round_ = now_ + kRoundPeriod;
  std::vector<JobId> held;
  held_at_start_.clear();
  for (const auto& [job, run] : runs_) {
    held.push_back(job);
    if (run->claimed()) held_at_start_.insert(job);
  }
  seen_.clear();
  const std::vector<std::string> prefixes = board_.Prefixes(held);
  scans_left_ = prefixes.size();
  ++round_;
  for (const std::string& prefix : prefixes) ScanOne(round_, prefix);
}

void OwnerCore::ScanOne(std::size_t round, const std::string& prefix) {
  store_.ScanAll(prefix, [this, round](const Result<std::vector<Row>>& rows) {
    if (round != round_ || !IsOk(rows)) return;
    for (const Row& row : ValueOf(rows)) {
      if (auto job = ReadOpenRow(row)) seen_.push_back(std::move(*job));
    }
    if (--scans_left_ == 0) FinishRound();
  });
}

void OwnerCore::FinishRound() {
  std::set<JobId> busy = claiming_;
  for (const auto& [job, run] : runs_) busy.insert(job);
  const JobBoard::Verdict verdict = board_.Judge(seen_, held_at_start_, busy);
  seen_.clear();
  for (const JobId& job : verdict.doubtful) {
    const auto run = runs_.find(job);
    if (run != runs_.end()) run->second->Verify();
  }
  if (auto owners = board_.TakeWatchList()) out_.emplace_back(WatchOwners{std::move(*owners)});
  if (!acting() || draining_) return;
  for (const JobId& job : verdict.claim) ClaimJob(job);
}

void OwnerCore::ClaimJob(const JobId& job) {
  claiming_.insert(job);
  store_.Read(JobKey(job), [this, job](const Result<std::optional<Row>>& answer) {
    claiming_.erase(job);
    if (!IsOk(answer) || !ValueOf(answer) || !acting() || draining_) return;
    Result<JobRow> row = ParseJobRow(ValueOf(answer)->value);
    if (!IsOk(row) || ValueOf(row).state != JobState::kRunning) return;
    if (!board_.Claimable(ValueOf(row).owner, ValueOf(row).owner_lease)) return;
    auto run =
        std::make_shared<JobRun>(*this, job, std::move(ValueOf(row)), ValueOf(answer)->version);
    runs_[job] = run;
    run->Claim(self_, lease_);
  });
}

// --- Work --------------------------------------------------------------------------

void OwnerCore::Ready(ReadyItem item) {
  scheduler_.Add(std::move(item));
}

// Opens chunks ahead so that each team has items ready, earliest due job first.
void OwnerCore::OpenChunks() {
  if (!acting() || draining_) return;
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
  const std::uint32_t most = std::max(kLeastOpenPerTeam, limits_.max_open_chunks / teams);
  for (const auto& [team, loading] : ready) {
    OpenFor(team, loading + scheduler_.ReadyOf(team), most);
  }
}

// A job with no chunk open gets one even when its team has enough ready: what is
// ready may all be for one model, while the engines of another stand idle.
void OwnerCore::OpenFor(const TeamId& team, std::size_t ready, std::uint32_t most_open) {
  const bool enough = ready >= limits_.ready_per_team;
  JobRun* first = nullptr;
  std::uint32_t open = 0;
  for (const auto& [job, run] : runs_) {
    if (run->row().team != team) continue;
    open += run->open_chunks();
    // A job whose items nobody serves now must not draw in ever more of them.
    if (!run->has_more() || run->awaits_sending_once() || scheduler_.StuckOf(job) > 0) continue;
    if (enough && run->open_chunks() > 0) continue;
    if (first == nullptr || run->row().due < first->row().due) first = run.get();
  }
  if (first != nullptr && open < most_open) first->OpenNext();
}

void OwnerCore::Dispatch() {
  if (!acting() && !riding_out_outage()) return;
  while (auto assignment = scheduler_.Next(now_)) Send(std::move(*assignment));
}

void OwnerCore::Send(Assignment assignment) {
  const auto run = runs_.find(assignment.item.job);
  const BatchItem* item = run == runs_.end() ? nullptr : run->second->Find(assignment.item.index);
  if (item == nullptr) return scheduler_.OnEnded(assignment.agent);
  // A successor may have judged these already; it must not be proved wrong.
  if (!item->repeatable && !acting()) {
    scheduler_.OnEnded(assignment.agent);
    held_back_.push_back(std::move(assignment.item));
    return;
  }
  const JobRow& row = run->second->row();
  const std::uint32_t index = assignment.item.index;
  run->second->OnSent(index);
  RequestId request{assignment.item.job.value + ":" + std::to_string(row.epoch) + ":" +
                    std::to_string(index) + ":" + std::to_string(++attempts_)};
  flying_[request] = Flying{assignment.item.job, index, assignment.agent, assignment.incarnation,
                            item->repeatable};
  out_.emplace_back(DispatchItem{std::move(request), std::move(assignment.agent),
                                 assignment.incarnation, std::move(assignment.item.job), row.team,
                                 row.epoch, index, *item});
}

void OwnerCore::On(const ItemStarted& event) {
  const auto flying = flying_.find(event.request);
  if (flying != flying_.end()) scheduler_.OnRoom(flying->second.agent, event.room);
}

void OwnerCore::On(const ItemEnded& event) {
  const auto found = flying_.find(event.request);
  if (found == flying_.end()) return;  // late: of a cancelled or lost job
  const Flying flying = std::move(found->second);
  flying_.erase(found);
  std::visit(Overloaded{
                 [&](const ItemAnswer& answer) {
                   if (answer.status >= 500) {
                     scheduler_.OnFailed(flying.agent, now_);
                   } else {
                     scheduler_.OnEnded(flying.agent);
                   }
                 },
                 [&](const Error& error) {
                   if (error.ran == Ran::kNo && error.kind != ErrorKind::kBackendFailed) {
                     scheduler_.OnRefused(flying.agent, error.retry_after.value_or(kRefusalPause),
                                          now_);
                   } else {
                     scheduler_.OnFailed(flying.agent, now_);
                   }
                 },
             },
             event.outcome);
  const auto run = runs_.find(flying.job);
  if (run != runs_.end()) run->second->OnOutcome(flying.index, event.outcome, flying.agent);
}

void OwnerCore::CancelFlying(const JobId& job) {
  for (auto it = flying_.begin(); it != flying_.end();) {
    if (it->second.job != job) {
      ++it;
      continue;
    }
    out_.emplace_back(CancelItem{it->first, it->second.agent, it->second.incarnation});
    scheduler_.OnEnded(it->second.agent);
    it = flying_.erase(it);
  }
}

void OwnerCore::Ended(const JobId& job, JobNote::What how) {
  const auto run = runs_.find(job);
  if (run == runs_.end()) return;
  out_.emplace_back(JobNote{job, run->second->row().epoch, how});
  scheduler_.RemoveJob(job);
  std::erase_if(held_back_, [&](const ReadyItem& item) { return item.job == job; });
  CancelFlying(job);
  runs_.erase(run);
}

// Open chunks are finished, so that no work is lost; then the jobs are released.
void OwnerCore::GoOnDraining() {
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
  counts.in_flight = static_cast<std::uint32_t>(flying_.size());
  for (const auto& [job, run] : runs_) {
    counts.open_chunks += run->open_chunks();
    counts.held_bytes += run->held_bytes();
  }
  counts.items_committed = items_committed_;
  counts.transactions = commits_.transactions();
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
