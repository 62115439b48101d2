#pragma once

// The implementation of BatchOwner: connects the claim planner, the job runs, the
// scheduler and the store client.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batch/claim_planner.h"
#include "batch/job_run.h"

namespace figmill::detail {

class OwnerCore final : public JobRunDelegate {
 public:
  OwnerCore(NodeId self, BatchLimits limits, RandomBits random);

  std::vector<BatchAction> Handle(const BatchEvent& event, Time now);
  [[nodiscard]] BatchCounts counts() const;

  // JobRunDelegate
  void EnqueueItem(ReadyItem item) override;
  [[nodiscard]] std::set<std::uint32_t> RecallItems(const JobId& job, std::uint32_t first,
                                                    std::uint32_t count) override;
  void OnJobClaimed(const JobId& job, Epoch epoch) override {
    out_.emplace_back(JobTransition{job, epoch, JobTransition::Kind::kClaimed});
  }
  void OnJobEnded(const JobId& job, JobTransition::Kind transition) override;
  [[nodiscard]] const BatchLimits& limits() const override { return limits_; }
  [[nodiscard]] const RepeatableRule& repeatable() const override { return repeatable_; }
  [[nodiscard]] Token NewToken() override { return GenerateToken(random_); }
  void CountCommitted(std::uint32_t items) override { items_committed_ += items; }
  void CountReturnedChunk() override { ++chunks_returned_; }

 private:
  struct InFlightItem {
    JobId job;
    std::uint32_t index = 0;
    NodeId agent;
    Incarnation incarnation = 0;
    bool repeatable = true;
    bool revoked = false;
  };

  void On(const BatchTick&);
  void On(const OwnerLeaseHeld& event);
  void On(const OwnerLeaseLost&);
  void On(const StoreUnavailable&);
  void On(const LeaseExpired& event);
  void On(const FleetUpdate& event);
  void On(const JobChanged& event);
  void On(const DrainBatch&);
  void On(const ItemStarted& event);
  void On(const ItemEnded& event);
  template <typename Answer>
  void On(const Answer& answer) {
    store_.Handle(answer, now_);
  }

  // The lease is valid, so this process may start new work.
  [[nodiscard]] bool has_valid_lease() const { return now_ < lease_valid_until_; }
  // The lease expired because the store is down and not because this process was
  // paused. An owner that resumes after a pause must check its lease before it sends
  // again, since its jobs may have been cancelled.
  [[nodiscard]] bool in_store_outage() const { return now_ < outage_until_; }
  void DropRuns();
  void CancelInFlight(const JobId& job);
  void RetryItemsOfLostAgents(const std::vector<BatchAgent>& agents);

  void StartScanRound();
  void ScanPrefix(std::size_t round, const std::string& prefix);
  void FinishScanRound();
  void ClaimJob(const JobId& job);

  void OpenChunks();
  void OpenChunkForTeam(const TeamId& team, std::size_t ready, std::uint32_t max_open);
  void Dispatch();
  void SendItem(Assignment assignment);
  void ContinueDraining();

  NodeId self_;
  BatchLimits limits_;
  RandomBits random_;
  RepeatableRule repeatable_;
  Time now_;
  StoreClient store_;
  CommitQueue commits_;
  ClaimPlanner planner_;
  ItemScheduler scheduler_;

  Epoch lease_ = 0;
  Time lease_valid_until_;
  Time outage_until_;
  bool draining_ = false;
  bool drained_ = false;

  std::map<JobId, std::shared_ptr<JobRun>> runs_;
  std::set<JobId> claiming_;  // jobs whose row is being read for a claim
  std::map<RequestId, InFlightItem> in_flight_;
  std::vector<ReadyItem> deferred_items_;  // not repeatable; sent once the lease is valid

  // State of the current scan round.
  std::size_t scan_round_ = 0;
  std::size_t scans_left_ = 0;
  std::vector<OpenJob> scanned_jobs_;
  std::set<JobId> held_at_start_;
  Time next_scan_round_;

  std::uint64_t items_committed_ = 0;
  std::uint32_t chunks_returned_ = 0;
  std::uint64_t attempts_ = 0;
  std::vector<BatchAction> out_;
};

}  // namespace figmill::detail
