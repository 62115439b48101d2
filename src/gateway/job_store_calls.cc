// The requests of callers for jobs (end and read), and the release of jobs at shutdown.

#include <utility>

#include "gateway/hedged_commit.h"
#include "gateway/job_store.h"

namespace figmill {
namespace {

// A job's row changes with each result; after this many lost races the caller gets an error.
constexpr int kMaxEndAttempts = 8;

void LogUnreadable(std::string_view event, const JobId& job, const std::string& why) {
  Log(LogLevel::kError, event, {{"job", job.value}, {"why", why}});
}

}  // namespace

// --- Ends -------------------------------------------------------------------------------

void JobStore::End(const JobId& id, std::function<void(Result<Ok>)> done) {
  Find(id, [this, id, done = std::move(done)](Result<JobRecord> head) {
    if (!IsOk(head)) return done(ErrorOf(head));
    if (ValueOf(head).ended) return done(Ok{});
    if (IsUnreadable(id)) {
      return done(Error{ErrorKind::kStoreUnavailable, "the job's row can't be read"});
    }
    // Runs continue until the end is written: when the write is refused, the job stays open,
    // and items that were stopped for it would wait forever.
    WriteEnd(id, ValueOf(head), known_[id].version, kMaxEndAttempts, done);
  });
}

// Used also for a job that this entry owns: its next write then finds the new row.
void JobStore::WriteEnd(const JobId& id, const JobRecord& head, RowVersion version,
                        int attempts_left, std::function<void(Result<Ok>)> done) {
  JobRecord next = head;
  next.ended = true;
  next.token = GenerateToken(random_);
  TableTransaction transaction;
  transaction.conditions.push_back({ledger::JobRecordKey(id), version});
  transaction.puts.push_back({ledger::JobRecordKey(id), ledger::EncodeJobRecord(next)});
  HedgedCommit(
      loop_, tables_, std::move(transaction),
      [this, id, next, attempts_left, done = std::move(done)](const TableOutcome& outcome) {
        if (const auto* committed = std::get_if<TableCommitted>(&outcome)) {
          ApplyHead(next, committed->version);
          return done(Ok{});
        }
        const auto* rejected = std::get_if<TableRejected>(&outcome);
        const TableRow* row =
            rejected == nullptr ? nullptr : RowIn(*rejected, ledger::JobRecordKey(id));
        if (row == nullptr || attempts_left == 0) {
          return done(Error{ErrorKind::kStoreUnavailable, "the end of the job could not be written",
                            Ran::kUnknown});
        }
        // Written with the version of a row that can't be read, the end would
        // overwrite content that no entry has read.
        const Result<Ok> applied = ApplyRow(*row);
        if (!IsOk(applied)) return done(ErrorOf(applied));
        const JobRecord* now = KnownHead(id);
        if (now == nullptr) return done(Error{ErrorKind::kNotFound, "no such job"});
        if (now->ended) return done(Ok{});
        WriteEnd(id, *now, row->version, attempts_left - 1, done);
      });
}

// --- Reads --------------------------------------------------------------------------------

void JobStore::Find(const JobId& job, std::function<void(Result<JobRecord>)> done) {
  if (const JobRecord* known = KnownHead(job)) return done(*known);
  Refresh(job, std::move(done));
}

void JobStore::Refresh(const JobId& job, std::function<void(Result<JobRecord>)> done) {
  const TableKey at = ledger::JobRecordKey(job);
  tables_.Read({at.table, at.part, at.key, at.key + '\0', 1},
               [this, job, done = std::move(done)](const Result<TablePage>& page) {
                 if (!IsOk(page)) return done(ErrorOf(page));
                 Result<Ok> applied = Ok{};
                 for (const TableRow& row : ValueOf(page).rows) applied = ApplyRow(row);
                 const JobRecord* known = KnownHead(job);
                 // It isn't certain that there is no such job, or no result yet.
                 if (!IsOk(applied)) return done(ErrorOf(applied));
                 if (known == nullptr) return done(Error{ErrorKind::kNotFound, "no such job"});
                 done(*known);
               });
}

void JobStore::ReadResults(const JobId& job, std::uint32_t from,
                           std::function<void(Result<std::vector<ItemResult>>)> done) {
  tables_.Read(ledger::ResultRange(job, from),
               [job, from, done = std::move(done)](const Result<TablePage>& page) {
                 if (!IsOk(page)) return done(ErrorOf(page));
                 Result<std::vector<ItemResult>> results =
                     ledger::DecodeResults(job, from, ValueOf(page).rows);
                 if (!IsOk(results)) {
                   LogUnreadable("job_results_unread", job, ErrorOf(results).detail);
                   return done(Error{ErrorKind::kStoreUnavailable, ErrorOf(results).detail});
                 }
                 done(std::move(results));
               });
}

void JobStore::ReadItems(const JobId& job, std::function<void(Result<std::vector<JobItem>>)> done) {
  ReadAll(ledger::ItemRange(job), std::make_shared<std::vector<TableRow>>(),
          [job, done = std::move(done)](const Result<std::vector<TableRow>>& rows) {
            if (!IsOk(rows)) return done(ErrorOf(rows));
            Result<std::vector<JobItem>> items = ledger::DecodeItems(job, ValueOf(rows));
            if (!IsOk(items))
              return done(Error{ErrorKind::kStoreUnavailable, ErrorOf(items).detail});
            done(std::move(items));
          });
}

void JobStore::ReadAll(TableRange range, std::shared_ptr<std::vector<TableRow>> rows,
                       std::function<void(Result<std::vector<TableRow>>)> done) {
  tables_.Read(range,
               [this, range, rows, done = std::move(done)](const Result<TablePage>& page) mutable {
                 if (!IsOk(page)) return done(ErrorOf(page));
                 rows->insert(rows->end(), ValueOf(page).rows.begin(), ValueOf(page).rows.end());
                 if (ValueOf(page).truncated && !rows->empty()) {
                   range.from = rows->back().at.key + '\0';
                   return ReadAll(std::move(range), rows, std::move(done));
                 }
                 done(std::move(*rows));
               });
}

// --- Shutdown -----------------------------------------------------------------------------

void JobStore::Leave(std::function<void()> done) {
  leaving_ = true;
  on_left_ = std::move(done);
  std::vector<JobId> mine;
  for (const auto& [id, job] : owned_) mine.push_back(id);
  for (const JobId& id : mine) {
    // Results, and the progress of the other items, are written first; OnWritten
    // releases the job after that.
    OwnedJob& job = *owned_[id];
    hooks_.releasing(job);
    if (job.all_written() || IsUnreadable(id)) {
      Release(id);
    } else {
      Write(job);
    }
  }
  FinishLeaving();
}

void JobStore::Release(const JobId& id) {
  const OwnedJob* job = FindOwned(id);
  JobRecord head = job->record();
  const RowVersion version = job->version();
  DropOwned(id);
  head.owner = NodeId{};
  head.owner_incarnation = 0;
  head.token = GenerateToken(random_);
  TableTransaction transaction;
  transaction.conditions.push_back({ledger::JobRecordKey(id), version});
  transaction.puts.push_back({ledger::JobRecordKey(id), ledger::EncodeJobRecord(head)});
  Log(LogLevel::kInfo, "job_released", {{"job", id.value}});
  ++releasing_;
  HedgedCommit(loop_, tables_, std::move(transaction), [this](const TableOutcome& /*outcome*/) {
    // If the write failed, other entries take the job over once this process is gone.
    --releasing_;
    FinishLeaving();
  });
}

void JobStore::FinishLeaving() {
  if (releasing_ == 0 && owned_.empty() && on_left_) std::exchange(on_left_, nullptr)();
}

}  // namespace figmill
