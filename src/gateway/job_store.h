#pragma once

// All batch jobs in the table service, and those that this entry owns: accepts jobs,
// takes them over, writes their results and releases them.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "figmill/ledger.h"
#include "figmill/peer_messages.h"
#include "figmill/runtime.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"

namespace figmill {

class JobStore {
 public:
  // Delay before a job whose owner isn't live is taken over. That an owner is dead is
  // known after PeerTable::kSilence; this leaves a restarted one time to reclaim its
  // own jobs.
  static constexpr Duration kTakeoverDelay{800'000};
  // Delay after a failed takeover. A store that refuses writes does so for seconds, and each
  // attempt costs it up to four calls.
  static constexpr Duration kTakeoverRetryDelay{500'000};
  static constexpr Duration kOwnerCheckPeriod{100'000};
  // Minimum interval between calls for changes: the rows of jobs change with each result, and
  // each entry receives all changes. An owner knows its own at once; for the others this is soon
  // enough.
  static constexpr Duration kMinFeedInterval{150'000};
  // Delay before a failed write is repeated; it doubles with each further failure, up to the
  // maximum. Results are listed late by no more than that once the store is back.
  static constexpr Duration kWriteRetryDelay{100'000};
  static constexpr Duration kMaxWriteRetryDelay{800'000};
  // Delay before the items of a job are read again after a failed read: the store was
  // unavailable or another writer corrupted them, and each attempt costs a call.
  static constexpr Duration kReloadDelay{300'000};

  struct Hooks {
    // A job is owned now and its items are loaded, with the progress that earlier owners
    // saved.
    std::function<void(OwnedJob&, const std::vector<ledger::ProgressPiece>&)> owned;
    // The job isn't owned any more, or has ended: stop its runs.
    std::function<void(const JobId&)> dropped;
    // The job is about to be released: stop its runs and keep their progress.
    std::function<void(OwnedJob&)> releasing;
    std::function<void(const JobRecord&)> changed;
  };

  JobStore(Loop& loop, SharedTables& tables, Metrics& metrics, const PeerTable& peers,
           RandomBits random, Hooks hooks);

  void Start();
  // Refuses new jobs, releases all owned ones for other entries to take, and calls `done`.
  void Leave(std::function<void()> done);

  // Accepts a job durably, or finds that it was accepted before. Errors: kConflict (other items
  // under this id), kStoreUnavailable with `ran` no (never will be accepted) or unknown.
  void Accept(JobRecord head, JobSubmission submission, std::function<void(Result<Ok>)> done);
  // Ends the job at its sender's request. Errors: kNotFound, kStoreUnavailable.
  void End(const JobId& job, std::function<void(Result<Ok>)> done);
  // The job's row: from the mirror, else from the store. Errors: kNotFound, kStoreUnavailable.
  void Find(const JobId& job, std::function<void(Result<JobRecord>)> done);
  // As Find, but always from the store: the local copy may be seconds old.
  void Refresh(const JobId& job, std::function<void(Result<JobRecord>)> done);
  // Errors: kStoreUnavailable.
  void ReadResults(const JobId& job, std::uint32_t from,
                   std::function<void(Result<std::vector<ItemResult>>)> done);
  void ReadItems(const JobId& job, std::function<void(Result<std::vector<JobItem>>)> done);

  [[nodiscard]] const JobRecord* KnownHead(const JobId& job) const;
  [[nodiscard]] OwnedJob* FindOwned(const JobId& job);
  // Writes results and progress that aren't written yet.
  void Write(OwnedJob& job);
  [[nodiscard]] bool loaded() const { return follower_.mirror().complete(); }
  [[nodiscard]] std::size_t owned() const { return owned_.size(); }

 private:
  struct KnownJob {
    JobRecord head;
    RowVersion version = 0;
    Time owner_seen_at{};  // when its present owner was first seen
    bool acquiring = false;
    std::optional<Time> unowned_since;  // since when no live entry has owned it
    Time retry_takeover_at{};           // after a failed attempt
    Time retry_load_at{};               // its items could not be read
  };

  void OnRow(const TableMirror::Change& change);
  void ApplyHead(const JobRecord& head, RowVersion version);
  // Applies a row of the job table. A row that can't be used changes nothing: a valid job is
  // neither dropped nor given up because another writer changed its row. Errors:
  // kStoreUnavailable.
  Result<Ok> ApplyRow(const TableRow& row);
  [[nodiscard]] Result<JobRecord> DecodeRow(const TableRow& row) const;
  [[nodiscard]] bool IsUnreadable(const JobId& job) const { return refused_.Contains(job.value); }
  void RetryLoadLater(const JobId& id);
  void CommitAll(std::shared_ptr<std::vector<TableTransaction>> transactions, std::size_t next,
                 std::function<void(TableOutcome)> done);
  void OnAccepted(const JobRecord& head, JobSubmission submission, const TableOutcome& outcome,
                  const std::function<void(Result<Ok>)>& done);
  void CheckOwners();
  // Its owner has released it or is gone.
  [[nodiscard]] bool IsUnowned(const KnownJob& job, Time now) const;
  [[nodiscard]] bool ShouldTakeOver(KnownJob& job, Time now) const;
  // How long this entry leaves an unowned job to the entries that rank before it.
  [[nodiscard]] std::optional<Duration> RankDelay(const JobId& job, Time now) const;
  void TakeOver(const JobId& job);
  void OnTakeoverWritten(const JobRecord& head, const TableOutcome& outcome);
  void BecomeOwner(const JobId& id, std::vector<JobItem> items,
                   const std::vector<ledger::ProgressPiece>& progress);
  void ReadAll(TableRange range, std::shared_ptr<std::vector<TableRow>> rows,
               std::function<void(Result<std::vector<TableRow>>)> done);
  void LoadProgress(const JobId& id, std::vector<JobItem> items);
  void LoadAndOwn(const JobId& id);
  [[nodiscard]] Peer ChooseOwner(const JobId& job) const;
  void DropOwned(const JobId& job);
  void OnWritten(const JobId& job, const TableOutcome& outcome);
  void RetryWriteLater(const OwnedJob& job);
  void WriteEnd(const JobId& job, const JobRecord& head, RowVersion version, int attempts_left,
                std::function<void(Result<Ok>)> done);
  void Release(const JobId& job);
  void FinishLeaving();
  [[nodiscard]] bool IsOwnedHere(const JobRecord& head) const;

  Loop& loop_;
  SharedTables& tables_;
  const PeerTable& peers_;
  RandomBits random_;
  Hooks hooks_;
  RefusedRows refused_;
  TableFollower follower_;
  std::map<JobId, KnownJob> known_;
  std::map<JobId, std::unique_ptr<OwnedJob>> owned_;
  std::set<JobId> write_retries_;  // owned jobs whose failed write will be repeated
  std::function<void()> on_left_;
  bool leaving_ = false;
  std::size_t releasing_ = 0;
  Time started_at_{};
  Timer check_timer_;
};

}  // namespace figmill
