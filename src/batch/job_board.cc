#include "batch/job_board.h"

#include <algorithm>

namespace figmill::detail {
namespace {

// Up to this many entries one scan over all open jobs is cheaper than a scan for
// each shard: at 16 entries and one round a second, 16 scans against 256.
constexpr std::size_t kEntriesScanningAll = 16;
constexpr std::string_view kOpenRoot = "open/";

const NodeId& OwnerOf(std::uint32_t shard, const std::vector<NodeId>& entries) {
  const std::string key = OpenPrefix(shard);
  return *std::max_element(entries.begin(), entries.end(), [&](const NodeId& a, const NodeId& b) {
    return RendezvousWeight(key, a.value) < RendezvousWeight(key, b.value);
  });
}

}  // namespace

std::optional<OpenJob> ReadOpenRow(const Row& row) {
  const std::size_t slash = row.key.rfind('/');
  Result<OpenRow> parsed = ParseOpenRow(row.value);
  if (slash == std::string::npos || !IsOk(parsed)) return std::nullopt;
  return OpenJob{JobId{row.key.substr(slash + 1)}, std::move(ValueOf(parsed))};
}

bool JobBoard::SetEntries(const std::vector<NodeId>& entries) {
  if (entries == entries_) return false;
  entries_ = entries;
  std::set<std::uint32_t> shards;
  for (std::uint32_t shard = 0; !entries_.empty() && shard < kOpenShards; ++shard) {
    if (OwnerOf(shard, entries_) == self_) shards.insert(shard);
  }
  return std::exchange(shards_, std::move(shards)) != shards_;
}

std::vector<std::string> JobBoard::Prefixes(const std::vector<JobId>& held) const {
  std::set<std::uint32_t> shards = shards_;
  for (const JobId& job : held) shards.insert(ShardOf(job));
  if (shards.empty()) return {};
  if (entries_.size() <= kEntriesScanningAll) return {std::string(kOpenRoot)};
  std::vector<std::string> prefixes;
  prefixes.reserve(shards.size());
  for (const std::uint32_t shard : shards) prefixes.push_back(OpenPrefix(shard));
  return prefixes;
}

bool JobBoard::Claimable(const NodeId& owner, Epoch owner_lease) const {
  // A row of ours without a run is one that an earlier incarnation left, or that
  // was given up after a lost commit.
  return owner.empty() || owner == self_ || lapsed_.contains(OwnerToWatch{owner, owner_lease});
}

JobBoard::Verdict JobBoard::Judge(const std::vector<OpenJob>& open, const std::set<JobId>& held,
                                  const std::set<JobId>& busy) {
  Verdict verdict;
  std::set<JobId> seen;
  std::set<OwnerToWatch> watched;
  for (const OpenJob& job : open) {
    const bool ours = job.row.owner == self_ && job.row.owner_lease == lease_;
    if (ours) seen.insert(job.job);
    if (busy.contains(job.job) || !shards_.contains(ShardOf(job.job))) continue;
    if (Claimable(job.row.owner, job.row.owner_lease)) {
      verdict.claim.push_back(job.job);
    } else {
      watched.insert(OwnerToWatch{job.row.owner, job.row.owner_lease});
    }
  }
  std::set_difference(held.begin(), held.end(), seen.begin(), seen.end(),
                      std::back_inserter(verdict.doubtful));
  watch_list_changed_ = watched != watched_;
  watched_ = std::move(watched);
  return verdict;
}

std::optional<std::vector<OwnerToWatch>> JobBoard::TakeWatchList() {
  if (!std::exchange(watch_list_changed_, false)) return std::nullopt;
  return std::vector<OwnerToWatch>(watched_.begin(), watched_.end());
}

}  // namespace figmill::detail
