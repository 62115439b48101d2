#include "control/member_table.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace figmill::detail {
namespace {

constexpr std::size_t kDigestWord = 4;  // bytes

std::uint64_t StateHash(const MemberRecord& record) {
  const std::string state = std::to_string(record.member.incarnation) + ":" +
                            std::to_string(record.version) + ":" +
                            std::to_string(static_cast<unsigned>(record.member.liveness));
  return RendezvousWeight(record.member.node.value, state);
}

std::uint64_t TableHash(const MemberRecord& record) {
  return record.member.liveness == Liveness::kDead ? 0 : StateHash(record);
}

std::uint32_t IdWord(const MemberRecord& record) {
  return static_cast<std::uint32_t>(RendezvousWeight(record.member.node.value, "digest"));
}
std::uint32_t StateWord(const MemberRecord& record) {
  return static_cast<std::uint32_t>(StateHash(record));
}

void Append(std::string& out, std::uint32_t word) {
  for (std::size_t i = 0; i < kDigestWord; ++i) out.push_back(static_cast<char>(word >> (8 * i)));
}
std::uint32_t WordAt(std::string_view bytes, std::size_t at) {
  std::uint32_t word = 0;
  for (std::size_t i = 0; i < kDigestWord; ++i) {
    word |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  }
  return word;
}

}  // namespace

bool Supersedes(const MemberSummary& a, const MemberSummary& b) {
  return std::tie(a.incarnation, a.version, a.liveness) >
         std::tie(b.incarnation, b.version, b.liveness);
}

const MemberTable::Entry* MemberTable::Find(const NodeId& node) const {
  const auto found = entries_.find(node);
  return found == entries_.end() ? nullptr : &found->second;
}

void MemberTable::ToggleHash(const Entry& entry) {
  hash_ ^= entry.hash;
}

void MemberTable::Put(Time now, MemberRecord record) {
  const NodeId node = record.member.node;
  const auto [found, added] = entries_.try_emplace(node);
  Entry& entry = found->second;
  if (!added) ToggleHash(entry);
  const bool same_process = !added && entry.record.member.incarnation == record.member.incarnation;
  const bool same_state = same_process && entry.record.version == record.version &&
                          entry.record.member.liveness == record.member.liveness;
  if (!same_state) entry.stored_at = now;
  record.member.control_sequence = same_process ? entry.record.member.control_sequence : 0;
  entry.record = std::move(record);
  entry.hash = TableHash(entry.record);
  ToggleHash(entry);
}

MergeResult MemberTable::Merge(Time now, const MemberRecord& record) {
  if (const Entry* entry = Find(record.member.node)) {
    const MemberSummary mine = SummaryOf(entry->record);
    const MemberSummary theirs = SummaryOf(record);
    if (!Supersedes(theirs, mine))
      return Supersedes(mine, theirs) ? MergeResult::kOlder : MergeResult::kSame;
  } else if (record.member.liveness == Liveness::kDead) {
    return MergeResult::kSame;  // already erased here, and adding it again has no use
  }
  Put(now, record);
  return MergeResult::kApplied;
}

MergeResult MemberTable::Merge(Time now, const MemberSummary& summary) {
  const Entry* entry = Find(summary.node);
  if (entry == nullptr) {
    return summary.liveness == Liveness::kDead ? MergeResult::kSame : MergeResult::kRecordMissing;
  }
  const MemberSummary mine = SummaryOf(entry->record);
  if (!Supersedes(summary, mine))
    return Supersedes(mine, summary) ? MergeResult::kOlder : MergeResult::kSame;
  if (summary.incarnation != mine.incarnation || summary.details_version != mine.details_version)
    return MergeResult::kRecordMissing;
  MemberRecord record = entry->record;
  record.version = summary.version;
  record.member.liveness = summary.liveness;
  record.member.leaving = summary.leaving;
  Put(now, std::move(record));
  return MergeResult::kApplied;
}

void MemberTable::SetLiveness(Time now, const NodeId& node, Liveness liveness) {
  const Entry* entry = Find(node);
  if (entry == nullptr) return;
  MemberRecord record = entry->record;
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
  ToggleHash(found->second);
  entries_.erase(found);
}

std::string MemberTable::Digest() const {
  std::string digest;
  digest.reserve(entries_.size() * 2 * kDigestWord);
  for (const auto& [node, entry] : entries_) {
    Append(digest, IdWord(entry.record));
    Append(digest, StateWord(entry.record));
  }
  return digest;
}

std::optional<std::vector<MemberRecord>> MemberTable::RecordsMissingIn(
    std::string_view digest) const {
  if (digest.size() % (2 * kDigestWord) != 0) return std::nullopt;
  std::map<std::uint32_t, std::uint32_t> theirs;
  for (std::size_t at = 0; at < digest.size(); at += 2 * kDigestWord) {
    theirs[WordAt(digest, at)] = WordAt(digest, at + kDigestWord);
  }
  std::vector<MemberRecord> records;
  for (const auto& [node, entry] : entries_) {
    const auto known = theirs.find(IdWord(entry.record));
    const bool missing = known == theirs.end() ? entry.record.member.liveness != Liveness::kDead
                                               : known->second != StateWord(entry.record);
    if (missing) records.push_back(entry.record);
  }
  return records;
}

}  // namespace figmill::detail
