#pragma once

// Which open jobs this process should claim, and whose leases to watch.
//
// Jobs are spread by shard: an entry claims the open jobs of the shards for
// which it has the highest rendezvous weight among the entries that are alive.
// A job of another owner is left alone until that owner's lease is seen to have
// lapsed. Two entries with different views of who is alive may both try: the
// compare-and-set on the job's row lets one of them in.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figmill/batch.h"

namespace figmill::detail {

struct OpenJob {
  JobId job;
  OpenRow row;
};

class JobBoard {
 public:
  explicit JobBoard(NodeId self) : self_(std::move(self)) {}

  // True when the shards of this process changed.
  bool SetEntries(const std::vector<NodeId>& entries);
  void SetLease(Epoch lease) { lease_ = lease; }
  void OnLapsed(const OwnerToWatch& owner) { lapsed_.insert(owner); }

  // Row prefixes to scan next: own shards, and those of `held` jobs.
  [[nodiscard]] std::vector<std::string> Prefixes(const std::vector<JobId>& held) const;

  struct Verdict {
    std::vector<JobId> claim;
    std::vector<JobId> doubtful;  // held here, but the rows say otherwise
  };
  // Judges the rows of one whole round of scans. `held`: jobs held by this
  // process since before the round began; `busy`: all of its jobs.
  [[nodiscard]] Verdict Judge(const std::vector<OpenJob>& open, const std::set<JobId>& held,
                              const std::set<JobId>& busy);
  // A new list when it changed in the last round.
  [[nodiscard]] std::optional<std::vector<OwnerToWatch>> TakeWatchList();

  // Whether the row's owner, if any, may be replaced by this process.
  [[nodiscard]] bool Claimable(const NodeId& owner, Epoch owner_lease) const;

 private:
  NodeId self_;
  Epoch lease_ = 0;
  std::vector<NodeId> entries_;
  std::set<std::uint32_t> shards_;
  std::set<OwnerToWatch> lapsed_;
  std::set<OwnerToWatch> watched_;
  bool watch_list_changed_ = false;
};

// Splits an `open/` row; nothing when it has another form.
[[nodiscard]] std::optional<OpenJob> ReadOpenRow(const Row& row);

}  // namespace figmill::detail
