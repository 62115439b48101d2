#pragma once

// One job in the hands of its owner: claim, chunks, commits, end.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "batch/commit_queue.h"
#include "batch/open_chunk.h"
#include "batch/store_client.h"

namespace figmill::detail {

// What a job needs of its owner. Outlives every JobRun.
class JobHost {
 public:
  virtual ~JobHost() = default;
  virtual void Ready(ReadyItem item) = 0;
  virtual void Claimed(const JobId& job, Epoch epoch) = 0;
  // The job is out of this owner's hands; the JobRun is dropped afterwards.
  virtual void Ended(const JobId& job, JobNote::What how) = 0;
  [[nodiscard]] virtual const BatchLimits& limits() const = 0;
  [[nodiscard]] virtual const RepeatableRule& repeatable() const = 0;
  [[nodiscard]] virtual Token NewToken() = 0;
  virtual void CountCommitted(std::uint32_t items) = 0;

  StoreClient& store;
  CommitQueue& commits;

 protected:
  JobHost(StoreClient& store_client, CommitQueue& commit_queue)
      : store(store_client), commits(commit_queue) {}
};

class JobRun : public std::enable_shared_from_this<JobRun> {
 public:
  // `row` as read at `version`.
  JobRun(JobHost& host, JobId job, JobRow row, RowVersion version);

  // Becomes the owner by compare-and-set; every earlier owner is fenced by it.
  void Claim(const NodeId& self, Epoch lease);
  // Looks whether the job is still ours; ends this run when it isn't.
  void Verify();
  // Gives the job up to whom it may concern. Only while idle().
  void Release();

  // Loads one more chunk ahead, if there is one.
  void OpenNext();
  [[nodiscard]] bool has_more() const;
  // Not-repeatable items are intended and not sent yet. What goes wrong if more of
  // them are intended ahead: an owner's death ends them all as unknown although
  // they never ran, which shows as far more `outcome-unknown` than runs.
  [[nodiscard]] bool awaits_sending_once() const {
    return unsent_once_ > 0 || (has_once_ && loading_ > 0);
  }
  // Nothing is open, loading, or on its way to the store.
  [[nodiscard]] bool idle() const;

  // Null when the item has ended.
  [[nodiscard]] const BatchItem* Find(std::uint32_t index) const;
  void OnSent(std::uint32_t index);
  void OnOutcome(std::uint32_t index, const ItemOutcome& outcome, const NodeId& agent);

  [[nodiscard]] bool claimed() const { return phase_ != Phase::kClaiming; }
  [[nodiscard]] const JobId& job() const { return job_; }
  [[nodiscard]] const JobRow& row() const { return row_; }
  [[nodiscard]] std::uint32_t open_chunks() const {
    return static_cast<std::uint32_t>(open_.size()) + loading_;
  }
  [[nodiscard]] std::uint32_t loading() const { return loading_; }
  [[nodiscard]] std::size_t held_bytes() const;

 private:
  struct StoredResults {
    std::uint32_t chunk = 0;
    std::string object;
    std::uint32_t pieces = 0;
  };
  enum class Phase : std::uint8_t { kClaiming, kIdle, kLoading, kRunning, kReleasing, kEnded };

  // Wraps a callback so that it is dropped once this run has ended.
  template <typename F>
  auto Guarded(F callback);
  void TakeVerification(const std::optional<Row>& found);
  // A commit or an intent was superseded.
  void VerifyLoss();
  void Load();
  void TakeManifest(const Result<std::string>& bytes);
  void TakeChunkRows(const std::vector<Row>& rows);
  void LoadChunk(std::uint32_t chunk);
  void TakeChunk(std::uint32_t chunk, const Result<std::string>& text);
  void Intend(std::uint32_t chunk);
  void OfferItems(std::uint32_t chunk, bool repeatable);
  void Offer(std::uint32_t index, const NodeId& avoid);
  void StoreIfFinished(std::uint32_t chunk);
  void CommitStored();
  void TakeCommit(const std::vector<std::uint32_t>& chunks, bool ends_job,
                  const CommitResult& result);
  [[nodiscard]] std::uint32_t ChunkOf(std::uint32_t index) const;
  void End(JobNote::What how);

  JobHost& host_;
  JobId job_;
  JobRow row_;
  RowVersion version_;
  Phase phase_ = Phase::kClaiming;

  std::vector<ChunkEntry> chunks_;
  std::vector<std::uint32_t> first_index_;  // of each chunk
  std::vector<bool> committed_;
  std::uint32_t committed_count_ = 0;
  std::map<std::uint32_t, RowVersion> intended_;  // by an earlier owner
  std::uint32_t next_ = 0;                        // first chunk not opened yet
  std::uint32_t loading_ = 0;
  std::map<std::uint32_t, OpenChunk> open_;

  std::vector<StoredResults> stored_;  // results in the object store, not committed
  std::uint32_t unsent_once_ = 0;      // not-repeatable items of intended chunks
  bool has_once_ = false;
  bool committing_ = false;
  bool verifying_ = false;
  bool lost_ = false;
};

}  // namespace figmill::detail
