#include "control/member_table.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace figmill::detail {
namespace {

constexpr std::size_t kDigestWord = 4;  // bytes

std::uint64_t StateHash(const Record& record) {
  const std::string state = std::to_string(record.member.incarnation) + ":" +
                            std::to_string(record.version) + ":" +
                            std::to_string(static_cast<unsigned>(record.member.liveness));
  return RendezvousWeight(record.member.node.value, state);
}

std::uint64_t HashOf(const Record& record) {
  return record.member.liveness == Liveness::kDead ? 0 : StateHash(record);
}

std::uint32_t IdWord(const Record& record) {
  return static_cast<std::uint32_t>(RendezvousWeight(record.member.node.value, "digest"));
}
std::uint32_t StateWord(const Record& record) {
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

bool Beats(const Brief& a, const Brief& b) {
  return std::tie(a.incarnation, a.version, a.liveness) >
         std::tie(b.incarnation, b.version, b.liveness);
}

const MemberTable::Entry* MemberTable::Find(const NodeId& node) const {
  const auto found = entries_.find(node);
  return found == entries_.end() ? nullptr : &found->second;
}

void MemberTable::Toggle(const Entry& entry) {
  hash_ ^= entry.hash;
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

std::optional<std::vector<Record>> MemberTable::Beyond(std::string_view digest) const {
  if (digest.size() % (2 * kDigestWord) != 0) return std::nullopt;
  std::map<std::uint32_t, std::uint32_t> theirs;
  for (std::size_t at = 0; at < digest.size(); at += 2 * kDigestWord) {
    theirs[WordAt(digest, at)] = WordAt(digest, at + kDigestWord);
  }
  std::vector<Record> records;
  for (const auto& [node, entry] : entries_) {
    const auto known = theirs.find(IdWord(entry.record));
    const bool lacking = known == theirs.end() ? entry.record.member.liveness != Liveness::kDead
                                               : known->second != StateWord(entry.record);
    if (lacking) records.push_back(entry.record);
  }
  return records;
}

}  // namespace figmill::detail
