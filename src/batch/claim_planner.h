#pragma once

// Decides which open jobs this process should claim and whose leases to watch.
//
// Jobs are distributed by shard: an entry claims the open jobs of the shards for
// which it has the highest rendezvous weight among the live entries. A job of another
// owner is not claimed until that owner's lease has expired. The lease is watched while
// its owner lives, by the entry next in line: if watching began with the death of the
// owner, its jobs would stand still for the time to detect that and a whole term more.
// Two entries with
// different membership views may both try to claim a job; the compare-and-set on the
// job's row lets only one succeed.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figmill/batch.h"

namespace figmill::detail {

struct OpenJob {
  JobId job;
  OpenJobRow row;
};

class ClaimPlanner {
 public:
  explicit ClaimPlanner(NodeId self) : self_(std::move(self)) {}

  // Returns whether the shards for which this process is first or second in line changed.
  bool SetEntries(const std::vector<NodeId>& entries);
  void SetLease(Epoch lease) { lease_ = lease; }
  void OnLeaseExpired(const OwnerLease& owner) { expired_leases_.insert(owner); }

  // Row prefixes to scan next: those of the shards for which this process is first or
  // second in line, and of the `held` jobs.
  [[nodiscard]] std::vector<std::string> ScanPrefixes(const std::vector<JobId>& held) const;

  struct ClaimPlan {
    std::vector<JobId> claim;
    std::vector<JobId> verify;  // held by this process, but not according to the rows
  };
  // Evaluates the rows of one complete scan round. `held`: jobs that this process
  // held when the round began; `busy`: all jobs it holds or is claiming.
  [[nodiscard]] ClaimPlan MakePlan(const std::vector<OpenJob>& open, const std::set<JobId>& held,
                                   const std::set<JobId>& busy);
  // The new watch list if it changed in the last round.
  [[nodiscard]] std::optional<std::vector<OwnerLease>> TakeWatchList();

  // Whether this process may take over a job with this owner and owner lease.
  [[nodiscard]] bool Claimable(const NodeId& owner, Epoch owner_lease) const;

 private:
  // The live entries with the highest weights for a shard; empty where there is none.
  struct Claimants {
    NodeId first;
    NodeId second;
  };
  [[nodiscard]] Claimants RankEntries(std::uint32_t shard) const;
  // Whether this process claims the shard's jobs of `owner` once they are free.
  [[nodiscard]] bool IsClaimant(std::uint32_t shard, const NodeId& owner) const;
  void CountOwnerlessRounds(const std::vector<OpenJob>& open);
  // Whether the first in line has left a job without an owner to this process, the second.
  [[nodiscard]] bool IsLeftToSecond(const OpenJob& job) const;

  NodeId self_;
  Epoch lease_ = 0;
  std::vector<NodeId> entries_;
  std::vector<Claimants> claimants_;                      // by shard; empty without entries
  std::set<std::uint32_t> first_shards_, second_shards_;  // by the place of this process
  std::set<OwnerLease> expired_leases_;
  std::set<OwnerLease> watched_leases_;
  bool watch_list_changed_ = false;
  // Scan rounds in a row, of jobs for which this process is second in line.
  std::map<JobId, int> ownerless_rounds_;
};

// Parses an `open/` row; nothing when it is malformed.
[[nodiscard]] std::optional<OpenJob> ParseOpenJob(const Row& row);

}  // namespace figmill::detail
