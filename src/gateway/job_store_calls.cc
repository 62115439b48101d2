// What callers ask of jobs: their ends and reads; and how a leaving entry hands them over.

#include <utility>

#include "gateway/hedged_commit.h"
#include "gateway/job_store.h"

namespace figmill {
namespace {

// A job's row changes with each result; after so many lost races the caller is told.
constexpr int kMaxEndTries = 8;

void LogSpoilt(std::string_view event, const JobId& job, const std::string& why) {
  Log(LogLevel::kError, event, {{"job", job.value}, {"why", why}});
}

}  // namespace

// --- Ends -------------------------------------------------------------------------------

void JobStore::End(const JobId& id, std::function<void(Result<Ok>)> done) {
  Find(id, [this, id, done = std::move(done)](Result<JobRecord> head) {
    if (!IsOk(head)) return done(ErrorOf(head));
    if (ValueOf(head).ended) return done(Ok{});
    if (IsUnreadable(id)) {
      return done(Error{ErrorKind::kStoreUnavailable, "the job's row is spoilt"});
    }
    // What runs goes on until the end is written: one that is turned away leaves the job
    // as it was, and items that were stopped for it would wait for ever.
    EndElsewhere(id, ValueOf(head), known_[id].version, kMaxEndTries, done);
  });
}

// Also for a job of this entry's own: its next write then finds the new row.
void JobStore::EndElsewhere(const JobId& id, const JobRecord& head, RowVersion version, int tries,
                            std::function<void(Result<Ok>)> done) {
  JobRecord next = head;
  next.ended = true;
  next.token = GenerateToken(random_);
  TableTransaction transaction;
  transaction.conditions.push_back({ledger::JobRecordKey(id), version});
  transaction.puts.push_back({ledger::JobRecordKey(id), ledger::EncodeJobRecord(next)});
  HedgedCommit(loop_, tables_, std::move(transaction),
               [this, id, next, tries, done = std::move(done)](const TableOutcome& outcome) {
                 if (const auto* committed = std::get_if<TableCommitted>(&outcome)) {
                   Learn(next, committed->version);
                   return done(Ok{});
                 }
                 const auto* rejected = std::get_if<TableRejected>(&outcome);
                 const TableRow* row =
                     rejected == nullptr ? nullptr : RowIn(*rejected, ledger::JobRecordKey(id));
                 if (row == nullptr || tries == 0) {
                   return done(Error{ErrorKind::kStoreUnavailable, "the end could not be written",
                                     Ran::kUnknown});
                 }
                 // With the version of a row that can't be read the end would overwrite
                 // what nobody has seen.
                 const Result<Ok> learnt = LearnRow(*row);
                 if (!IsOk(learnt)) return done(ErrorOf(learnt));
                 const JobRecord* now = Known(id);
                 if (now == nullptr) return done(Error{ErrorKind::kNotFound, "no such job"});
                 if (now->ended) return done(Ok{});
                 EndElsewhere(id, *now, row->version, tries - 1, done);
               });
}

// --- Reads --------------------------------------------------------------------------------

void JobStore::Find(const JobId& job, std::function<void(Result<JobRecord>)> done) {
  if (const JobRecord* known = Known(job)) return done(*known);
  Refresh(job, std::move(done));
}

void JobStore::Refresh(const JobId& job, std::function<void(Result<JobRecord>)> done) {
  const TableKey at = ledger::JobRecordKey(job);
  tables_.Read({at.table, at.part, at.key, at.key + '\0', 1},
               [this, job, done = std::move(done)](const Result<TablePage>& page) {
                 if (!IsOk(page)) return done(ErrorOf(page));
                 Result<Ok> learnt = Ok{};
                 for (const TableRow& row : ValueOf(page).rows) learnt = LearnRow(row);
                 const JobRecord* known = Known(job);
                 // Neither "no such job" nor "no result yet" is known to be true.
                 if (!IsOk(learnt)) return done(ErrorOf(learnt));
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
                   LogSpoilt("job_results_unread", job, ErrorOf(results).detail);
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

// --- Leaving ------------------------------------------------------------------------------

void JobStore::Leave(std::function<void()> done) {
  leaving_ = true;
  left_ = std::move(done);
  std::vector<JobId> mine;
  for (const auto& [id, job] : owned_) mine.push_back(id);
  for (const JobId& id : mine) {
    // What is finished and what has been done of the rest is written first;
    // OnWritten releases the job after that.
    OwnedJob& job = *owned_[id];
    hooks_.handed_over(job);
    if (job.all_written() || IsUnreadable(id)) {
      Release(id);
    } else {
      Write(job);
    }
  }
  FinishLeaving();
}

void JobStore::Release(const JobId& id) {
  const OwnedJob* job = Owned(id);
  JobRecord head = job->record();
  const RowVersion version = job->version();
  Drop(id);
  head.owner = NodeId{};
  head.owner_incarnation = 0;
  head.token = GenerateToken(random_);
  TableTransaction transaction;
  transaction.conditions.push_back({ledger::JobRecordKey(id), version});
  transaction.puts.push_back({ledger::JobRecordKey(id), ledger::EncodeJobRecord(head)});
  Log(LogLevel::kInfo, "job_released", {{"job", id.value}});
  ++releasing_;
  HedgedCommit(loop_, tables_, std::move(transaction), [this](const TableOutcome& /*outcome*/) {
    // When it failed, the others take the job over once this process is gone.
    --releasing_;
    FinishLeaving();
  });
}

void JobStore::FinishLeaving() {
  if (releasing_ == 0 && owned_.empty() && left_) std::exchange(left_, nullptr)();
}

}  // namespace figmill
