#include "batch/claim_planner.h"

#include <algorithm>

namespace figmill::detail {
namespace {

// With at most this many entries, one scan over all open jobs is cheaper than a scan
// per shard: with 16 entries and one round per second, 16 scans instead of 256.
constexpr std::size_t kMaxEntriesForFullScan = 16;
// Scan rounds for which a job without an owner is left to the first in line, which may have died
// unnoticed.
constexpr int kRoundsLeftToFirst = 3;
constexpr std::string_view kOpenJobsPrefix = "open/";

}  // namespace

std::optional<OpenJob> ParseOpenJob(const Row& row) {
  const std::size_t slash = row.key.rfind('/');
  Result<OpenJobRow> parsed = ParseOpenJobRow(row.value);
  if (slash == std::string::npos || !IsOk(parsed)) return std::nullopt;
  return OpenJob{JobId{row.key.substr(slash + 1)}, std::move(ValueOf(parsed))};
}

bool ClaimPlanner::SetEntries(const std::vector<NodeId>& entries) {
  if (entries == entries_) return false;
  entries_ = entries;
  claimants_.clear();
  std::set<std::uint32_t> first;
  std::set<std::uint32_t> second;
  for (std::uint32_t shard = 0; !entries_.empty() && shard < kOpenJobShards; ++shard) {
    const Claimants& claimants = claimants_.emplace_back(RankEntries(shard));
    if (claimants.first == self_) first.insert(shard);
    if (claimants.second == self_) second.insert(shard);
  }
  const bool changed = first != first_shards_ || second != second_shards_;
  first_shards_ = std::move(first);
  second_shards_ = std::move(second);
  return changed;
}

ClaimPlanner::Claimants ClaimPlanner::RankEntries(std::uint32_t shard) const {
  const std::string key = OpenJobPrefix(shard);
  Claimants best;
  std::uint64_t first_weight = 0;
  std::uint64_t second_weight = 0;
  for (const NodeId& entry : entries_) {
    const std::uint64_t weight = RendezvousWeight(key, entry.value);
    if (best.first.empty() || weight > first_weight) {
      best.second = std::exchange(best.first, entry);
      second_weight = std::exchange(first_weight, weight);
    } else if (best.second.empty() || weight > second_weight) {
      best.second = entry;
      second_weight = weight;
    }
  }
  return best;
}

bool ClaimPlanner::IsClaimant(std::uint32_t shard, const NodeId& owner) const {
  if (claimants_.empty()) return false;
  const Claimants& claimants = claimants_[shard];
  // The first in line goes on with what an earlier incarnation of it left.
  const bool owned_by_first = claimants.first == owner && owner != self_;
  return (owned_by_first ? claimants.second : claimants.first) == self_;
}

void ClaimPlanner::CountOwnerlessRounds(const std::vector<OpenJob>& open) {
  std::map<JobId, int> rounds;
  for (const OpenJob& job : open) {
    if (!job.row.owner.empty() || !second_shards_.contains(ShardOf(job.job))) continue;
    const auto before = ownerless_rounds_.find(job.job);
    rounds[job.job] = before == ownerless_rounds_.end() ? 1 : before->second + 1;
  }
  ownerless_rounds_ = std::move(rounds);
}

bool ClaimPlanner::IsLeftToSecond(const OpenJob& job) const {
  const auto rounds = ownerless_rounds_.find(job.job);
  return rounds != ownerless_rounds_.end() && rounds->second > kRoundsLeftToFirst;
}

std::vector<std::string> ClaimPlanner::ScanPrefixes(const std::vector<JobId>& held) const {
  std::set<std::uint32_t> shards = first_shards_;
  shards.insert(second_shards_.begin(), second_shards_.end());
  for (const JobId& job : held) shards.insert(ShardOf(job));
  if (shards.empty()) return {};
  if (entries_.size() <= kMaxEntriesForFullScan) return {std::string(kOpenJobsPrefix)};
  std::vector<std::string> prefixes;
  prefixes.reserve(shards.size());
  for (const std::uint32_t shard : shards) prefixes.push_back(OpenJobPrefix(shard));
  return prefixes;
}

bool ClaimPlanner::Claimable(const NodeId& owner, Epoch owner_lease) const {
  // A row that names this process but has no run was left by an earlier incarnation,
  // or its run was ended after a superseded commit.
  return owner.empty() || owner == self_ ||
         expired_leases_.contains(OwnerLease{owner, owner_lease});
}

ClaimPlanner::ClaimPlan ClaimPlanner::MakePlan(const std::vector<OpenJob>& open,
                                               const std::set<JobId>& held,
                                               const std::set<JobId>& busy) {
  ClaimPlan plan;
  std::set<JobId> confirmed;
  std::set<OwnerLease> watched;
  CountOwnerlessRounds(open);
  for (const OpenJob& job : open) {
    const bool owned_here = job.row.owner == self_ && job.row.owner_lease == lease_;
    if (owned_here) confirmed.insert(job.job);
    const bool mine = IsClaimant(ShardOf(job.job), job.row.owner) || IsLeftToSecond(job);
    if (busy.contains(job.job) || !mine) continue;
    if (Claimable(job.row.owner, job.row.owner_lease)) {
      plan.claim.push_back(job.job);
    } else {
      watched.insert(OwnerLease{job.row.owner, job.row.owner_lease});
    }
  }
  std::set_difference(held.begin(), held.end(), confirmed.begin(), confirmed.end(),
                      std::back_inserter(plan.verify));
  watch_list_changed_ = watched != watched_leases_;
  watched_leases_ = std::move(watched);
  return plan;
}

std::optional<std::vector<OwnerLease>> ClaimPlanner::TakeWatchList() {
  if (!std::exchange(watch_list_changed_, false)) return std::nullopt;
  return std::vector<OwnerLease>(watched_leases_.begin(), watched_leases_.end());
}

}  // namespace figmill::detail
