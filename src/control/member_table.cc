#include "control/member_table.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace figmill::detail {
namespace {

std::uint64_t HashOf(const Record& record) {
  if (record.member.liveness == Liveness::kDead) return 0;
  const std::string state = std::to_string(record.member.incarnation) + ":" +
                            std::to_string(record.version) + ":" +
                            std::to_string(static_cast<unsigned>(record.member.liveness));
  return RendezvousWeight(record.member.node.value, state);
}

}  // namespace

bool Beats(const Brief& a, const Brief& b) {
  return std::tie(a.incarnation, a.version, a.liveness) >
         std::tie(b.incarnation, b.version, b.liveness);
}

std::size_t MemberTable::BucketOf(const NodeId& node) {
  return RendezvousWeight(node.value, "bucket") % kBuckets;
}

const MemberTable::Entry* MemberTable::Find(const NodeId& node) const {
  const auto found = entries_.find(node);
  return found == entries_.end() ? nullptr : &found->second;
}

void MemberTable::Toggle(const Entry& entry) {
  hash_ ^= entry.hash;
  bucket_hashes_[BucketOf(entry.record.member.node)] ^= entry.hash;
}

void MemberTable::Put(Time now, Record record) {
  const NodeId node = record.member.node;
  const auto [found, added] = entries_.try_emplace(node);
  Entry& entry = found->second;
  if (!added) Toggle(entry);
  const bool same_process = !added && entry.record.member.incarnation == record.member.incarnation;
  const bool same_word = same_process && entry.record.version == record.version &&
                         entry.record.member.liveness == record.member.liveness;
  if (!same_word) entry.since = now;
  record.member.control_sequence = same_process ? entry.record.member.control_sequence : 0;
  entry.record = std::move(record);
  entry.hash = HashOf(entry.record);
  Toggle(entry);
  members_of_[BucketOf(node)].insert(node);
}

Merged MemberTable::Merge(Time now, const Record& record) {
  if (const Entry* entry = Find(record.member.node)) {
    const Brief mine = BriefOf(entry->record);
    const Brief theirs = BriefOf(record);
    if (!Beats(theirs, mine)) return Beats(mine, theirs) ? Merged::kOlder : Merged::kSame;
  } else if (record.member.liveness == Liveness::kDead) {
    return Merged::kSame;  // forgotten here; nothing would come of it
  }
  Put(now, record);
  return Merged::kTaken;
}

Merged MemberTable::Merge(Time now, const Brief& brief) {
  const Entry* entry = Find(brief.node);
  if (entry == nullptr) {
    return brief.liveness == Liveness::kDead ? Merged::kSame : Merged::kUnknown;
  }
  const Brief mine = BriefOf(entry->record);
  if (!Beats(brief, mine)) return Beats(mine, brief) ? Merged::kOlder : Merged::kSame;
  if (brief.incarnation != mine.incarnation || brief.shape != mine.shape) return Merged::kUnknown;
  Record record = entry->record;
  record.version = brief.version;
  record.member.liveness = brief.liveness;
  record.member.leaving = brief.leaving;
  Put(now, std::move(record));
  return Merged::kTaken;
}

void MemberTable::SetLiveness(Time now, const NodeId& node, Liveness liveness) {
  const Entry* entry = Find(node);
  if (entry == nullptr) return;
  Record record = entry->record;
  record.member.liveness = liveness;
  Put(now, std::move(record));
}

void MemberTable::SetSequence(const NodeId& node, Incarnation incarnation, Sequence sequence) {
  const auto found = entries_.find(node);
  if (found == entries_.end()) return;
  Member& member = found->second.record.member;
  if (member.incarnation != incarnation) return;
  member.control_sequence = std::max(member.control_sequence, sequence);
}

void MemberTable::Erase(const NodeId& node) {
  const auto found = entries_.find(node);
  if (found == entries_.end()) return;
  Toggle(found->second);
  members_of_[BucketOf(node)].erase(node);
  entries_.erase(found);
}

std::vector<std::uint32_t> MemberTable::BucketHashes() const {
  std::vector<std::uint32_t> hashes;
  hashes.reserve(kBuckets);
  for (const std::uint64_t hash : bucket_hashes_) {
    hashes.push_back(static_cast<std::uint32_t>(hash ^ (hash >> 32U)));
  }
  return hashes;
}

std::vector<const Record*> MemberTable::InBucket(std::size_t bucket) const {
  std::vector<const Record*> records;
  if (bucket >= kBuckets) return records;
  for (const NodeId& node : members_of_[bucket]) records.push_back(&entries_.at(node).record);
  return records;
}

}  // namespace figmill::detail
