#include "gateway/job_store.h"

#include <algorithm>
#include <utility>

#include "gateway/hedged_commit.h"

namespace figmill {
JobStore::JobStore(Loop& loop, SharedTables& tables, Metrics& metrics, const PeerTable& peers,
                   RandomBits random, Hooks hooks)
    : loop_(loop),
      tables_(tables),
      peers_(peers),
      random_(std::move(random)),
      hooks_(std::move(hooks)),
      refused_(metrics, {"job", "job_row_refused", "job"}),
      follower_(
          loop, tables, std::string(ledger::kJobTable), ledger::Parts(),
          [this](const TableMirror::Change& change) { OnRow(change); }, [] {}) {}

void JobStore::Start() {
  started_at_ = Loop::Now();
  follower_.SetMinInterval(kMinFeedInterval);
  follower_.Start();
  check_timer_ = loop_.Every(kOwnerCheckPeriod, [this] { CheckOwners(); });
}

bool JobStore::IsOwnedHere(const JobRecord& head) const {
  return head.owner == peers_.self().node && head.owner_incarnation == peers_.self().incarnation;
}

const JobRecord* JobStore::KnownHead(const JobId& job) const {
  const auto found = known_.find(job);
  return found == known_.end() ? nullptr : &found->second.head;
}

OwnedJob* JobStore::FindOwned(const JobId& job) {
  const auto found = owned_.find(job);
  return found == owned_.end() ? nullptr : found->second.get();
}

// --- Rows from the store ----------------------------------------------------------

void JobStore::OnRow(const TableMirror::Change& change) {
  if (change.row == nullptr) {
    const JobId job{change.at.key};
    refused_.Clear(job.value);
    known_.erase(job);
    if (owned_.contains(job)) DropOwned(job);
    return;
  }
  (void)ApplyRow(*change.row);
}

Result<JobRecord> JobStore::DecodeRow(const TableRow& row) const {
  Result<JobRecord> head = ledger::DecodeJobRecord(row.value);
  if (!IsOk(head)) return head;
  if (ledger::JobRecordKey(ValueOf(head).id) != row.at) {
    return Error{ErrorKind::kBadRequest, "job row: it names another job than its key"};
  }
  const JobRecord* known = KnownHead(ValueOf(head).id);
  if (known == nullptr) return head;
  if (const auto why = ledger::InvalidUpdateReason(*known, ValueOf(head))) {
    return Error{ErrorKind::kBadRequest, "job row: " + std::string(*why)};
  }
  return head;
}

Result<Ok> JobStore::ApplyRow(const TableRow& row) {
  const auto known = known_.find(JobId{row.at.key});
  if (known != known_.end() && row.version <= known->second.version) return Ok{};
  const Result<JobRecord> head = DecodeRow(row);
  if (!IsOk(head)) {
    refused_.Refuse(row.at.key, row.version, ErrorOf(head).detail);
    return Error{ErrorKind::kStoreUnavailable, ErrorOf(head).detail};
  }
  refused_.Clear(row.at.key);
  ApplyHead(ValueOf(head), row.version);
  return Ok{};
}

void JobStore::ApplyHead(const JobRecord& head, RowVersion version) {
  KnownJob& known = known_[head.id];
  if (version <= known.version) return;
  const bool new_owner = known.version == 0 || known.head.owner != head.owner ||
                         known.head.owner_incarnation != head.owner_incarnation;
  if (new_owner) {
    known.owner_seen_at = Loop::Now();
    known.unowned_since.reset();
  }
  known.head = head;
  known.version = version;
  if (OwnedJob* job = FindOwned(head.id)) {
    if (!job->OnJobRecord(head, version)) {
      Log(LogLevel::kWarning, "job_lost",
          {{"job", head.id.value},
           {"owner", head.owner.value},
           {"row_version", std::to_string(version)}});
      DropOwned(head.id);
    } else if (!head.open()) {
      hooks_.dropped(head.id);
      if (job->all_written()) owned_.erase(head.id);
    } else {
      Write(*job);
    }
  }
  hooks_.changed(head);
}

void JobStore::DropOwned(const JobId& job) {
  hooks_.dropped(job);
  owned_.erase(job);
}

// --- Acceptance ---------------------------------------------------------------------

void JobStore::Accept(JobRecord head, JobSubmission submission,
                      std::function<void(Result<Ok>)> done) {
  if (const JobRecord* known = KnownHead(head.id)) {
    if (known->digest == head.digest) return done(Ok{});
    return done(Error{ErrorKind::kConflict, "a job with this id and other items was accepted"});
  }
  if (leaving_) return done(Error{ErrorKind::kLeaving, "this entry is shutting down", Ran::kNo});
  const Peer owner = ChooseOwner(head.id);
  head.owner = owner.node;
  head.owner_incarnation = owner.incarnation;
  head.token = GenerateToken(random_);
  auto transactions = std::make_shared<std::vector<TableTransaction>>(
      ledger::AcceptTransactions(head, submission.items));
  CommitAll(transactions, 0,
            [this, head, submission = std::move(submission),
             done = std::move(done)](const TableOutcome& outcome) mutable {
              OnAccepted(head, std::move(submission), outcome, done);
            });
}

// This entry, unless its host is too small to do more than serve its callers.
Peer JobStore::ChooseOwner(const JobId& job) const {
  const Time now = Loop::Now();
  const std::vector<Peer> capable = peers_.EligiblePeers(now);
  const bool am_capable = std::any_of(capable.begin(), capable.end(), [this](const Peer& peer) {
    return peer.node == peers_.self().node;
  });
  if (am_capable) return peers_.self();
  return peers_.OwnerOf(job.value, peers_.self().data_centre, now).value_or(peers_.self());
}

void JobStore::CommitAll(std::shared_ptr<std::vector<TableTransaction>> transactions,
                         std::size_t next, std::function<void(TableOutcome)> done) {
  HedgedCommit(loop_, tables_, (*transactions)[next],
               [this, transactions, next, done = std::move(done)](const TableOutcome& outcome) {
                 const bool last = next + 1 == transactions->size();
                 if (last || !std::holds_alternative<TableCommitted>(outcome)) {
                   // Item rows have no effect without the job's own row.
                   const bool not_accepted = !last && std::holds_alternative<FateUnknown>(outcome);
                   return done(not_accepted ? TableOutcome{NotWritten{"the items were not written"}}
                                            : outcome);
                 }
                 CommitAll(transactions, next + 1, done);
               });
}

void JobStore::OnAccepted(const JobRecord& head, JobSubmission submission,
                          const TableOutcome& outcome,
                          const std::function<void(Result<Ok>)>& done) {
  std::visit(Overloaded{
                 [&](const TableCommitted& committed) {
                   ApplyHead(head, committed.version);
                   if (IsOwnedHere(head)) BecomeOwner(head.id, std::move(submission.items), {});
                   done(Ok{});
                 },
                 [&](const TableRejected& rejected) {
                   const TableRow* row = RowIn(rejected, ledger::JobRecordKey(head.id));
                   const Result<JobRecord> there =
                       row == nullptr ? Error{ErrorKind::kInternal,
                                              "the write was rejected, but the job has no row"}
                                      : ledger::DecodeJobRecord(row->value);
                   if (!IsOk(there)) {
                     return done(
                         Error{ErrorKind::kStoreUnavailable, ErrorOf(there).detail, Ran::kUnknown});
                   }
                   if (ValueOf(there).digest != head.digest) {
                     return done(Error{ErrorKind::kConflict,
                                       "a job with this id and other items was accepted"});
                   }
                   (void)ApplyRow(*row);
                   // An earlier copy of the same write took effect.
                   if (ValueOf(there).token == head.token && IsOwnedHere(head)) {
                     BecomeOwner(head.id, std::move(submission.items), {});
                   }
                   done(Ok{});
                 },
                 [&](const NotWritten& refused) {
                   done(Error{ErrorKind::kStoreUnavailable, refused.why, Ran::kNo});
                 },
                 [&](const FateUnknown& unknown) {
                   done(Error{ErrorKind::kStoreUnavailable, unknown.why, Ran::kUnknown});
                 },
             },
             outcome);
}

// --- Results --------------------------------------------------------------------------

void JobStore::Write(OwnedJob& job) {
  if (IsUnreadable(job.record().id) || write_retries_.contains(job.record().id)) return;
  std::optional<TableTransaction> write = job.NextWrite(random_);
  if (!write) return;
  HedgedCommit(
      loop_, tables_, *std::move(write),
      [this, id = job.record().id](const TableOutcome& outcome) { OnWritten(id, outcome); });
}

void JobStore::OnWritten(const JobId& id, const TableOutcome& outcome) {
  OwnedJob* job = FindOwned(id);
  if (job == nullptr) return;
  bool row_unreadable = false;
  std::visit(Overloaded{
                 [&](const TableCommitted& committed) {
                   job->OnCommitted(committed.version);
                   ApplyHead(JobRecord(job->record()), job->version());
                 },
                 [&](const TableRejected& rejected) {
                   job->OnFailed();
                   const TableRow* row = RowIn(rejected, ledger::JobRecordKey(id));
                   row_unreadable = row != nullptr && !IsOk(ApplyRow(*row));
                 },
                 [&](const NotWritten& refused) {
                   Log(LogLevel::kWarning, "results_not_written",
                       {{"job", id.value}, {"why", refused.why}});
                   job->OnFailed();
                 },
                 [&](const FateUnknown& unknown) {
                   Log(LogLevel::kWarning, "results_fate_unknown",
                       {{"job", id.value}, {"why", unknown.why}});
                   job->OnFailed();
                 },
             },
             outcome);
  job = FindOwned(id);
  if (job == nullptr) return;
  if (!job->record().open() && job->all_written()) {
    DropOwned(id);
    return FinishLeaving();
  }
  if (leaving_ && (job->all_written() || row_unreadable)) return Release(id);
  // Retried once the row can be read: retried at once, the write would be rejected as often as
  // the store can respond.
  if (row_unreadable) return;
  if (std::holds_alternative<TableCommitted>(outcome) ||
      std::holds_alternative<TableRejected>(outcome)) {
    return Write(*job);
  }
  RetryWriteLater(*job);
}

// One retry for each job at a time: new results and progress wait for it, or each of them would
// begin retries of its own while the store is away.
void JobStore::RetryWriteLater(const OwnedJob& job) {
  const JobId& id = job.record().id;
  write_retries_.insert(id);
  Duration delay = kWriteRetryDelay;
  for (int i = 1; i < job.consecutive_failures() && delay < kMaxWriteRetryDelay; ++i) delay *= 2;
  loop_.Later(std::min(delay, kMaxWriteRetryDelay), [this, id] {
    write_retries_.erase(id);
    if (OwnedJob* again = FindOwned(id)) Write(*again);
  });
}

}  // namespace figmill
