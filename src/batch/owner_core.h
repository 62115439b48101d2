#pragma once

// Joins the parts of one owner: board, runs, scheduler, store client.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batch/job_board.h"
#include "batch/job_run.h"

namespace figmill::detail {

class OwnerCore final : public JobHost {
 public:
  OwnerCore(NodeId self, BatchLimits limits, RandomBits random);

  std::vector<BatchAction> Handle(const BatchEvent& event, Time now);
  [[nodiscard]] BatchCounts counts() const;

  // JobHost
  void Ready(ReadyItem item) override;
  void Claimed(const JobId& job, Epoch epoch) override {
    out_.emplace_back(JobNote{job, epoch, JobNote::What::kClaimed});
  }
  void Ended(const JobId& job, JobNote::What how) override;
  [[nodiscard]] const BatchLimits& limits() const override { return limits_; }
  [[nodiscard]] const RepeatableRule& repeatable() const override { return repeatable_; }
  [[nodiscard]] Token NewToken() override { return FreshToken(random_); }
  void CountCommitted(std::uint32_t items) override { items_committed_ += items; }

 private:
  struct Flying {
    JobId job;
    std::uint32_t index = 0;
    NodeId agent;
    Incarnation incarnation = 0;
    bool repeatable = true;
  };

  void On(const BatchTick&);
  void On(const OwnerLeaseHeld& event);
  void On(const OwnerLeaseLost&);
  void On(const StoreSilent&);
  void On(const OwnerLapsed& event);
  void On(const FleetSeen& event);
  void On(const JobChanged& event);
  void On(const DrainBatch&);
  void On(const ItemStarted& event);
  void On(const ItemEnded& event);
  template <typename Answer>
  void On(const Answer& answer) {
    store_.Handle(answer, now_);
  }

  // The lease lets this process begin something new.
  [[nodiscard]] bool acting() const { return now_ < act_until_; }
  // The lease ran out because the store is down, not because we were paused. An
  // owner that wakes from a pause must look at its lease before it sends again:
  // its jobs may be cancelled.
  [[nodiscard]] bool riding_out_outage() const { return now_ < outage_until_; }
  void DropRuns();
  void CancelFlying(const JobId& job);
  void TakeBackFrom(const std::vector<BatchAgent>& agents);

  void StartRound();
  void ScanOne(std::size_t round, const std::string& prefix);
  void FinishRound();
  void ClaimJob(const JobId& job);

  void OpenChunks();
  void OpenFor(const TeamId& team, std::size_t ready, std::uint32_t most_open);
  void Dispatch();
  void Send(Assignment assignment);
  void GoOnDraining();

  NodeId self_;
  BatchLimits limits_;
  RandomBits random_;
  RepeatableRule repeatable_;
  Time now_;
  StoreClient store_;
  CommitQueue commits_;
  JobBoard board_;
  FillScheduler scheduler_;

  Epoch lease_ = 0;
  Time act_until_;
  Time outage_until_;
  bool draining_ = false;
  bool drained_ = false;

  std::map<JobId, std::shared_ptr<JobRun>> runs_;
  std::set<JobId> claiming_;  // their row is being read
  std::map<RequestId, Flying> flying_;
  std::vector<ReadyItem> held_back_;  // not repeatable, waiting for the lease

  // One round of scans.
  std::size_t round_ = 0;
  std::size_t scans_left_ = 0;
  std::vector<OpenJob> seen_;
  std::set<JobId> held_at_start_;
  Time next_round_;

  std::uint64_t items_committed_ = 0;
  std::uint64_t attempts_ = 0;
  std::vector<BatchAction> out_;
};

}  // namespace figmill::detail
