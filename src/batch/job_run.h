#pragma once

// The execution of one job by its owner: claim, chunks, commits, end.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batch/commit_queue.h"
#include "batch/open_chunk.h"
#include "batch/store_client.h"

namespace figmill::detail {

// The interface through which a JobRun uses its owner. Outlives every JobRun.
class JobRunDelegate {
 public:
  virtual ~JobRunDelegate() = default;
  virtual void EnqueueItem(ReadyItem item) = 0;
  // Stops sending the items [first, first + count) and revokes those that were sent: returns
  // their indices, whose outcomes follow.
  [[nodiscard]] virtual std::set<std::uint32_t> RecallItems(const JobId& job, std::uint32_t first,
                                                            std::uint32_t count) = 0;
  virtual void OnJobClaimed(const JobId& job, Epoch epoch) = 0;
  // The owner stops processing the job and drops its JobRun.
  virtual void OnJobEnded(const JobId& job, JobTransition::Kind transition) = 0;
  [[nodiscard]] virtual const BatchLimits& limits() const = 0;
  [[nodiscard]] virtual const RepeatableRule& repeatable() const = 0;
  [[nodiscard]] virtual Token NewToken() = 0;
  virtual void CountCommitted(std::uint32_t items) = 0;
  virtual void CountReturnedChunk() = 0;

  StoreClient& store;
  CommitQueue& commits;

 protected:
  JobRunDelegate(StoreClient& store_client, CommitQueue& commit_queue)
      : store(store_client), commits(commit_queue) {}
};

class JobRun : public std::enable_shared_from_this<JobRun> {
 public:
  // `row` is the job's row as read at `version`.
  JobRun(JobRunDelegate& delegate, JobId job, JobRow row, RowVersion version);

  // Takes ownership by compare-and-set, which fences every earlier owner.
  void Claim(const NodeId& self, Epoch lease);
  // Reads the job's row and ends this run if the job was claimed, cancelled or
  // finished elsewhere.
  void VerifyOwnership();
  // Returns the open chunks of which no item has started, so that another owner processes
  // them, and opens no further ones.
  void StartDraining();
  // Clears the job's owner so that any process may claim it. Requires idle().
  void Release();

  // Loads the job's manifest, or prefetches its next chunk if there is one.
  void OpenNext();
  // Whether OpenNext() has anything to load.
  [[nodiscard]] bool has_more() const;
  // Some not-repeatable items have a recorded intent but were not sent yet. No further
  // chunks are opened meanwhile: if the owner dies, all items with an intent end as
  // unknown although they never ran, which shows as far more `outcome-unknown` results
  // than runs.
  [[nodiscard]] bool has_unsent_intents() const {
    return unsent_intents_ > 0 || (has_not_repeatable_ && loading_count_ > 0);
  }
  // No chunk is open or loading, and no commit or verification is pending.
  [[nodiscard]] bool idle() const;

  // Null when the item's chunk is not open or has finished.
  [[nodiscard]] const BatchItem* FindItem(std::uint32_t index) const;
  void OnSent(std::uint32_t index);
  void OnStarted(std::uint32_t index);
  void OnOutcome(std::uint32_t index, const ItemOutcome& outcome, const NodeId& agent);

  [[nodiscard]] bool claimed() const { return phase_ != Phase::kClaiming; }
  [[nodiscard]] const JobId& job() const { return job_; }
  [[nodiscard]] const JobRow& row() const { return row_; }
  [[nodiscard]] std::uint32_t open_chunks() const {
    return static_cast<std::uint32_t>(open_.size()) + loading_count_;
  }
  [[nodiscard]] std::uint32_t loading() const { return loading_count_; }
  [[nodiscard]] std::size_t held_bytes() const;

 private:
  struct StoredResults {
    std::uint32_t chunk = 0;
    std::string object;
    std::uint32_t pieces = 0;
  };
  enum class Phase : std::uint8_t { kClaiming, kClaimed, kLoading, kRunning, kReleasing, kEnded };

  // Wraps a callback so that it does nothing after this run has ended.
  template <typename F>
  auto IfNotEnded(F callback);
  void OnOwnershipRead(const std::optional<Row>& found);
  // Verifies after a superseded commit or intent; ends the run even if the job is still
  // owned.
  void VerifyAfterConflict();
  void LoadManifest();
  void OnManifest(const Result<std::string>& bytes);
  void OnChunkRows(const std::vector<Row>& rows);
  void LoadChunk(std::uint32_t chunk);
  void OnChunkItems(std::uint32_t chunk, const Result<std::string>& text);
  void RecordIntent(std::uint32_t chunk);
  void EnqueueItems(std::uint32_t chunk, bool repeatable);
  void EnqueueItem(std::uint32_t index, const NodeId& avoid);
  // Recalls the chunk's items; the chunk is dropped once none of them can start any more.
  void ReturnChunk(std::uint32_t chunk);
  void FinishReturn(std::uint32_t chunk);
  // A recalled item has started, so this owner finishes the chunk.
  void KeepChunk(std::uint32_t chunk);
  // True if the outcome was that of a recalled item which never started.
  bool TakeRecalled(std::uint32_t index, AttemptResult result);
  void StoreResultsIfFinished(std::uint32_t chunk);
  void CommitStoredResults();
  void OnCommitResult(const std::vector<std::uint32_t>& chunks, bool ends_job,
                      const CommitResult& result);
  [[nodiscard]] std::uint32_t ChunkOf(std::uint32_t index) const;
  void End(JobTransition::Kind transition);

  JobRunDelegate& delegate_;
  JobId job_;
  JobRow row_;
  RowVersion version_;
  Phase phase_ = Phase::kClaiming;

  std::vector<ChunkEntry> chunks_;
  std::vector<std::uint32_t> first_index_;  // index of each chunk's first item
  std::vector<bool> committed_;
  std::uint32_t committed_count_ = 0;
  std::map<std::uint32_t, RowVersion> intent_versions_;  // intents of earlier owners, by chunk
  std::uint32_t next_chunk_ = 0;                         // next chunk to open
  std::uint32_t loading_count_ = 0;
  std::map<std::uint32_t, OpenChunk> open_;

  // Chunks being returned, each with its revoked items whose outcomes are pending.
  std::map<std::uint32_t, std::set<std::uint32_t>> returning_;
  // Intents of returned chunks. They are deleted with the release: a later owner would end
  // their items as unknown.
  std::map<std::uint32_t, RowVersion> withdrawn_intents_;
  bool draining_ = false;

  std::vector<StoredResults> stored_;  // in the object store, not committed yet
  std::uint32_t unsent_intents_ = 0;   // not-repeatable items with an intent, not sent yet
  bool has_not_repeatable_ = false;
  bool committing_ = false;
  bool verifying_ = false;
  bool commit_conflicted_ = false;
};

}  // namespace figmill::detail
