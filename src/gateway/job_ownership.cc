// Ownership of jobs: takes over jobs whose owners are gone or have released them, and loads
// the progress that earlier owners saved.

#include <algorithm>
#include <utility>

#include "gateway/hedged_commit.h"
#include "gateway/job_store.h"

namespace figmill {
namespace {

// The item resumes after the piece before the refused one, or from its start.
void LogProgressRefused(const TableRow& row, std::string_view why) {
  Log(LogLevel::kWarning, "job_progress_refused", {{"row", row.at.key}, {"why", std::string(why)}});
}

}  // namespace

// Decides by the row as it is known now: the job may have ended, or have another owner, since this
// entry began to accept or load it.
void JobStore::BecomeOwner(const JobId& id, std::vector<JobItem> items,
                           const std::vector<ledger::ProgressPiece>& progress) {
  const auto found = known_.find(id);
  if (leaving_ || owned_.contains(id) || found == known_.end()) return;
  const JobRecord& head = found->second.head;
  const RowVersion version = found->second.version;
  if (!head.open() || !IsOwnedHere(head)) {
    Log(LogLevel::kInfo, "job_not_owned",
        {{"job", id.value},
         {"why", head.open() ? "it has another owner" : "it has ended"},
         {"owner", head.owner.value},
         {"row_version", std::to_string(version)}});
    return;
  }
  if (items.size() != head.total) {
    Log(LogLevel::kError, "job_items_missing",
        {{"job", id.value},
         {"total", std::to_string(head.total)},
         {"found", std::to_string(items.size())}});
    return RetryLoadLater(id);
  }
  Log(LogLevel::kInfo, "job_owned",
      {{"job", id.value},
       {"row_version", std::to_string(version)},
       {"total", std::to_string(head.total)},
       {"listed", std::to_string(head.stored_results)}});
  const auto at = owned_.emplace(id, std::make_unique<OwnedJob>(head, version, std::move(items)));
  hooks_.owned(*at.first->second, progress);
}

bool JobStore::IsUnowned(const KnownJob& job, Time now) const {
  if (job.head.owner.empty()) return true;
  const bool replaced = peers_.IsReplaced(job.head.owner, job.head.owner_incarnation);
  if (!replaced && peers_.IsLive(job.head.owner, now)) return false;
  return now - job.owner_seen_at >= kTakeoverDelay && now - started_at_ >= kTakeoverDelay;
}

// The entry that ranks first for a job may be live and yet not take it over: it can't read the
// table, or the store refuses its writes. Jobs that were left to it alone made no progress for 5 s.
// Two entries that take a job over at once do no harm: the condition on its row lets one succeed.
std::optional<Duration> JobStore::RankDelay(const JobId& job, Time now) const {
  const std::vector<Peer> ranked = peers_.RankedFor(job.value, now);
  const auto self = std::find_if(ranked.begin(), ranked.end(), [this](const Peer& peer) {
    return peer.node == peers_.self().node;
  });
  if (self == ranked.end()) return std::nullopt;
  return kTakeoverDelay * (self - ranked.begin());
}

bool JobStore::ShouldTakeOver(KnownJob& job, Time now) const {
  if (!job.head.open() || job.acquiring || IsOwnedHere(job.head)) return false;
  if (now < job.retry_takeover_at) return false;
  // The condition of the write would fail every time.
  if (IsUnreadable(job.head.id)) return false;
  // The owner is an earlier process of this node, which can't come back. The others leave the job
  // to this one for a while.
  if (job.head.owner == peers_.self().node) return true;
  if (!IsUnowned(job, now)) {
    job.unowned_since.reset();
    return false;
  }
  if (!job.unowned_since) job.unowned_since = now;
  std::optional<Duration> delay = RankDelay(job.head.id, now);
  if (delay && peers_.IsLive(job.head.owner, now)) *delay += kTakeoverDelay;
  return delay && now - *job.unowned_since >= *delay;
}

// An entry that is joining could not run the items of a job.
void JobStore::CheckOwners() {
  if (leaving_ || peers_.self().joining) return;
  const Time now = Loop::Now();
  std::vector<JobId> take;
  std::vector<JobId> load;
  for (auto& [id, job] : known_) {
    if (owned_.contains(id)) continue;
    if (ShouldTakeOver(job, now)) take.push_back(id);
    // Assigned to this entry by the one that accepted it, or accepted here by a write
    // whose response was lost.
    const bool may_load = !job.acquiring && now >= job.retry_load_at && !IsUnreadable(id);
    if (IsOwnedHere(job.head) && job.head.open() && may_load) load.push_back(id);
  }
  for (const JobId& id : take) TakeOver(id);
  for (const JobId& id : load) LoadAndOwn(id);
}

void JobStore::TakeOver(const JobId& id) {
  KnownJob& known = known_[id];
  known.acquiring = true;
  JobRecord head = known.head;
  Log(LogLevel::kInfo, "job_take_over",
      {{"job", id.value},
       {"from", head.owner.value},
       {"row_version", std::to_string(known.version)}});
  head.owner = peers_.self().node;
  head.owner_incarnation = peers_.self().incarnation;
  head.token = GenerateToken(random_);
  TableTransaction transaction;
  transaction.conditions.push_back({ledger::JobRecordKey(id), known.version});
  transaction.puts.push_back({ledger::JobRecordKey(id), ledger::EncodeJobRecord(head)});
  HedgedCommit(loop_, tables_, std::move(transaction),
               [this, head](const TableOutcome& outcome) { OnTakeoverWritten(head, outcome); });
}

void JobStore::OnTakeoverWritten(const JobRecord& head, const TableOutcome& outcome) {
  KnownJob& known = known_[head.id];
  known.acquiring = false;
  known.retry_takeover_at = Loop::Now() + kTakeoverRetryDelay;
  if (const auto* committed = std::get_if<TableCommitted>(&outcome)) {
    ApplyHead(head, committed->version);
    LoadAndOwn(head.id);
  } else if (const auto* rejected = std::get_if<TableRejected>(&outcome)) {
    const TableRow* row = RowIn(*rejected, ledger::JobRecordKey(head.id));
    if (row == nullptr) return;
    (void)ApplyRow(*row);
    const JobRecord* now = KnownHead(head.id);
    if (now != nullptr && now->token == head.token) LoadAndOwn(head.id);
  }
  // Otherwise a later check retries.
}

void JobStore::LoadAndOwn(const JobId& id) {
  known_[id].acquiring = true;
  ReadItems(id, [this, id](Result<std::vector<JobItem>> items) {
    if (IsOk(items)) return LoadProgress(id, std::move(ValueOf(items)));
    Log(LogLevel::kWarning, "job_items_unread",
        {{"job", id.value}, {"why", ErrorOf(items).detail}});
    RetryLoadLater(id);
  });
}

void JobStore::RetryLoadLater(const JobId& id) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  found->second.acquiring = false;
  found->second.retry_load_at = Loop::Now() + kReloadDelay;
}

void JobStore::LoadProgress(const JobId& id, std::vector<JobItem> items) {
  ReadAll(ledger::ProgressRange(id), std::make_shared<std::vector<TableRow>>(),
          [this, id, items = std::move(items)](const Result<std::vector<TableRow>>& rows) mutable {
            const auto found = known_.find(id);
            if (found == known_.end()) return;
            found->second.acquiring = false;
            if (!IsOk(rows)) {
              // The next check retries.
              Log(LogLevel::kWarning, "job_progress_unread",
                  {{"job", id.value}, {"why", ErrorOf(rows).detail}});
              return;
            }
            BecomeOwner(id, std::move(items),
                        ledger::DecodeProgress(id, ValueOf(rows), LogProgressRefused));
          });
}

}  // namespace figmill
