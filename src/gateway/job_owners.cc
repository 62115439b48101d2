// Who owns a job: takes those whose owners are gone or have let them go, and loads what
// earlier owners have kept of them.

#include <algorithm>
#include <utility>

#include "gateway/hedged_commit.h"
#include "gateway/job_store.h"

namespace figmill {
namespace {

// The item runs on from the piece before it, or from its start.
void LogProgressRefused(const TableRow& row, std::string_view why) {
  Log(LogLevel::kWarning, "job_progress_refused", {{"row", row.at.key}, {"why", std::string(why)}});
}

}  // namespace

void JobStore::Own(JobRecord head, RowVersion version, std::vector<JobItem> items,
                   const std::vector<ledger::ProgressPiece>& progress) {
  if (leaving_ || owned_.contains(head.id)) return;
  if (items.size() != head.total) {
    Log(LogLevel::kError, "job_items_missing",
        {{"job", head.id.value},
         {"total", std::to_string(head.total)},
         {"found", std::to_string(items.size())}});
    return LoadLater(head.id);
  }
  const JobId id = head.id;
  Log(LogLevel::kInfo, "job_owned",
      {{"job", id.value},
       {"row_version", std::to_string(version)},
       {"total", std::to_string(head.total)},
       {"listed", std::to_string(head.stored_results)}});
  const auto at =
      owned_.emplace(id, std::make_unique<OwnedJob>(std::move(head), version, std::move(items)));
  hooks_.owned(*at.first->second, progress);
}

bool JobStore::IsFree(const KnownJob& job, Time now) const {
  if (job.head.owner.empty()) return true;
  if (peers_.IsLive(job.head.owner, now)) return false;
  return now - job.seen_at >= kTakeOverAfter && now - started_at_ >= kTakeOverAfter;
}

// The first in line may be there and yet not take the job: it can't read the table, or
// the store turns its writes away. Left to it alone, jobs stood still for 5 s. Two that
// take it at once do no harm: the row lets one of them.
std::optional<Duration> JobStore::Turn(const JobId& job, Time now) const {
  const std::vector<Peer> line = peers_.RankedFor(job.value, now);
  const auto self = std::find_if(line.begin(), line.end(), [this](const Peer& peer) {
    return peer.node == peers_.self().node;
  });
  if (self == line.end()) return std::nullopt;
  return kTakeOverAfter * (self - line.begin());
}

bool JobStore::ShouldTake(KnownJob& job, Time now) const {
  if (!job.head.open() || job.taking || IsMine(job.head)) return false;
  if (now < job.take_again_at) return false;
  // The condition of the write would not hold, over and over.
  if (IsUnreadable(job.head.id)) return false;
  // An earlier process of this very slot: it can't come back.
  if (job.head.owner == peers_.self().node) return true;
  if (!IsFree(job, now)) {
    job.free_since.reset();
    return false;
  }
  if (!job.free_since) job.free_since = now;
  const std::optional<Duration> turn = Turn(job.head.id, now);
  return turn && now - *job.free_since >= *turn;
}

void JobStore::CheckOwners() {
  if (leaving_) return;
  const Time now = Loop::Now();
  std::vector<JobId> take;
  std::vector<JobId> load;
  for (auto& [id, job] : known_) {
    if (owned_.contains(id)) continue;
    if (ShouldTake(job, now)) take.push_back(id);
    // Given to this entry by the one that accepted it, or accepted here by a write
    // whose answer was lost.
    const bool may_load = !job.taking && now >= job.load_after && !IsUnreadable(id);
    if (IsMine(job.head) && job.head.open() && may_load) load.push_back(id);
  }
  for (const JobId& id : take) Take(id);
  for (const JobId& id : load) LoadAndOwn(id);
}

void JobStore::Take(const JobId& id) {
  KnownJob& known = known_[id];
  known.taking = true;
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
               [this, head](const TableOutcome& outcome) { OnTaken(head, outcome); });
}

void JobStore::OnTaken(const JobRecord& head, const TableOutcome& outcome) {
  KnownJob& known = known_[head.id];
  known.taking = false;
  known.take_again_at = Loop::Now() + kTakeAgainAfter;
  if (const auto* committed = std::get_if<TableCommitted>(&outcome)) {
    Learn(head, committed->version);
    LoadAndOwn(head.id);
  } else if (const auto* rejected = std::get_if<TableRejected>(&outcome)) {
    const TableRow* row = RowIn(*rejected, ledger::JobRecordKey(head.id));
    if (row == nullptr) return;
    (void)LearnRow(*row);
    const JobRecord* now = Known(head.id);
    if (now != nullptr && now->token == head.token) LoadAndOwn(head.id);
  }
  // Otherwise a later check tries again.
}

void JobStore::LoadAndOwn(const JobId& id) {
  known_[id].taking = true;
  ReadItems(id, [this, id](Result<std::vector<JobItem>> items) {
    if (IsOk(items)) return LoadProgress(id, std::move(ValueOf(items)));
    Log(LogLevel::kWarning, "job_items_unread",
        {{"job", id.value}, {"why", ErrorOf(items).detail}});
    LoadLater(id);
  });
}

void JobStore::LoadLater(const JobId& id) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  found->second.taking = false;
  found->second.load_after = Loop::Now() + kReloadPause;
}

void JobStore::LoadProgress(const JobId& id, std::vector<JobItem> items) {
  ReadAll(ledger::ProgressRange(id), std::make_shared<std::vector<TableRow>>(),
          [this, id, items = std::move(items)](const Result<std::vector<TableRow>>& rows) mutable {
            const auto found = known_.find(id);
            if (found == known_.end()) return;
            found->second.taking = false;
            if (!IsOk(rows)) {
              // The next check tries again.
              Log(LogLevel::kWarning, "job_progress_unread",
                  {{"job", id.value}, {"why", ErrorOf(rows).detail}});
              return;
            }
            if (!IsMine(found->second.head) || leaving_) return;
            Own(found->second.head, found->second.version, std::move(items),
                ledger::DecodeProgress(id, ValueOf(rows), LogProgressRefused));
          });
}

}  // namespace figmill
