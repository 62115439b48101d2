#pragma once

// All batch jobs as the table service has them, and those that this entry owns:
// accepts, takes over, writes results and hands over.

#include <functional>
#include <map>
#include <memory>
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
  // A job whose owner is not heard of is taken over after this. The owner's death
  // is known after PeerTable::kSilence; this leaves a restarted one time to come
  // back for its own.
  static constexpr Duration kTakeOverAfter{800'000};
  // After a try that failed. A store that turns writes away does so for seconds, and each
  // try costs it up to four calls.
  static constexpr Duration kTakeAgainAfter{500'000};
  static constexpr Duration kCheckPeriod{100'000};
  // The rows of jobs change with each result, and each entry hears of all. An owner
  // knows its own at once; for the others this is soon enough.
  static constexpr Duration kFeedPace{150'000};
  static constexpr Duration kRetryPause{100'000};
  // Until the items of a job are read again that could not be read: the store was away, or
  // another writer has spoilt them, and each try costs a call.
  static constexpr Duration kReloadPause{300'000};

  struct Hooks {
    // A job is owned now and its items are known, with what earlier owners have
    // kept of them.
    std::function<void(OwnedJob&, const std::vector<ledger::ProgressPiece>&)> owned;
    // It is not, or it has ended: stop what runs of it.
    std::function<void(const JobId&)> dropped;
    // It is about to be handed over: stop what runs of it and keep its progress.
    std::function<void(OwnedJob&)> handed_over;
    std::function<void(const JobRecord&)> changed;
  };

  JobStore(Loop& loop, SharedTables& tables, Metrics& metrics, const PeerTable& peers,
           RandomBits random, Hooks hooks);

  void Start();
  // Refuses new jobs; hands all open ones to others and calls `done`.
  void Leave(std::function<void()> done);

  // Accepts a job for good or finds it accepted. Errors: kConflict (other items under
  // this id), kStoreUnavailable with `ran` no (never will be accepted) or unknown.
  void Accept(JobRecord head, JobSubmission submission, std::function<void(Result<Ok>)> done);
  // Ends it for its sender. Errors: kNotFound, kStoreUnavailable.
  void End(const JobId& job, std::function<void(Result<Ok>)> done);
  // The job's row: from the mirror, else from the store. Errors: kNotFound, kStoreUnavailable.
  void Find(const JobId& job, std::function<void(Result<JobRecord>)> done);
  // As Find, always from the store: what is known here may be seconds old.
  void Refresh(const JobId& job, std::function<void(Result<JobRecord>)> done);
  // Errors: kStoreUnavailable.
  void ReadResults(const JobId& job, std::uint32_t from,
                   std::function<void(Result<std::vector<ItemResult>>)> done);
  void ReadItems(const JobId& job, std::function<void(Result<std::vector<JobItem>>)> done);

  [[nodiscard]] const JobRecord* Known(const JobId& job) const;
  [[nodiscard]] OwnedJob* Owned(const JobId& job);
  // Something was finished: write it.
  void Write(OwnedJob& job);
  [[nodiscard]] bool listed() const { return follower_.mirror().complete(); }
  [[nodiscard]] std::size_t owned() const { return owned_.size(); }

 private:
  struct KnownJob {
    JobRecord head;
    RowVersion version = 0;
    Time seen_at{};  // since when its owner has been as it is
    bool taking = false;
    std::optional<Time> free_since;  // nobody who is there owns it
    Time take_again_at{};            // after a try that failed
    Time load_after{};               // its items could not be read
  };

  void OnRow(const TableMirror::Change& change);
  void Learn(const JobRecord& head, RowVersion version);
  // What is known of a job stays in force when its row can't be used: a sound job is
  // neither dropped nor given up for what another writer did to its row. Errors:
  // kStoreUnavailable.
  Result<Ok> LearnRow(const TableRow& row);
  [[nodiscard]] Result<JobRecord> Readable(const TableRow& row) const;
  [[nodiscard]] bool IsUnreadable(const JobId& job) const { return refused_.Contains(job.value); }
  void LoadLater(const JobId& id);
  void CommitAll(std::shared_ptr<std::vector<TableTransaction>> transactions, std::size_t next,
                 std::function<void(TableOutcome)> done);
  void OnAccepted(const JobRecord& head, JobSubmission submission, const TableOutcome& outcome,
                  const std::function<void(Result<Ok>)>& done);
  void CheckOwners();
  // Its owner has released it or is gone.
  [[nodiscard]] bool IsFree(const KnownJob& job, Time now) const;
  [[nodiscard]] bool ShouldTake(KnownJob& job, Time now) const;
  // How long this entry leaves a free job to those that come before it.
  [[nodiscard]] std::optional<Duration> Turn(const JobId& job, Time now) const;
  void Take(const JobId& job);
  void OnTaken(const JobRecord& head, const TableOutcome& outcome);
  void Own(JobRecord head, RowVersion version, std::vector<JobItem> items,
           const std::vector<ledger::ProgressPiece>& progress);
  void ReadAll(TableRange range, std::shared_ptr<std::vector<TableRow>> rows,
               std::function<void(Result<std::vector<TableRow>>)> done);
  void LoadProgress(const JobId& id, std::vector<JobItem> items);
  void LoadAndOwn(const JobId& id);
  [[nodiscard]] Peer OwnerOfNew(const JobId& job) const;
  void Drop(const JobId& job);
  void OnWritten(const JobId& job, const TableOutcome& outcome);
  void EndElsewhere(const JobId& job, const JobRecord& head, RowVersion version, int tries,
                    std::function<void(Result<Ok>)> done);
  void Release(const JobId& job);
  void FinishLeaving();
  [[nodiscard]] bool IsMine(const JobRecord& head) const;

  Loop& loop_;
  SharedTables& tables_;
  const PeerTable& peers_;
  RandomBits random_;
  Hooks hooks_;
  RefusedRows refused_;
  TableFollower follower_;
  std::map<JobId, KnownJob> known_;
  std::map<JobId, std::unique_ptr<OwnedJob>> owned_;
  std::function<void()> left_;
  bool leaving_ = false;
  std::size_t releasing_ = 0;
  Time started_at_{};
  Timer check_timer_;
};

}  // namespace figmill
