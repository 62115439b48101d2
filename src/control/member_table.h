#pragma once

// A node's view of all members, and the merge rule for gossiped updates. Private to the
// control library.

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/gossip_codec.h"

namespace figmill::detail {

enum class MergeResult : std::uint8_t {
  kOlder,  // the stored record is newer
  kSame,
  kApplied,
  kRecordMissing,  // the matching full record is missing here and must be requested
};

// Records of a member are ordered by (incarnation, version, liveness): a newer process
// supersedes an older one, a newer version published by the member itself supersedes
// suspicions of other members, and suspect or dead supersedes alive at the same version.
// Since every node uses the same order, all converge to the same record in whichever
// order updates arrive, and an old incarnation never supersedes a newer one.
class MemberTable {
 public:
  struct Entry {
    MemberRecord record;
    Time stored_at;          // when this incarnation, version and liveness was stored
    std::uint64_t hash = 0;  // its contribution to hash(); 0 for a dead member
  };

  MergeResult Merge(Time now, const MemberSummary& summary);
  MergeResult Merge(Time now, const MemberRecord& record);
  void SetLiveness(Time now, const NodeId& node, Liveness liveness);
  void SetSequence(const NodeId& node, Incarnation incarnation, Sequence sequence);
  void Erase(const NodeId& node);

  [[nodiscard]] const Entry* Find(const NodeId& node) const;
  [[nodiscard]] const std::map<NodeId, Entry>& entries() const { return entries_; }
  // Hash of the alive and suspect members. Dead ones are excluded: nodes erase them at
  // different times, which must not count as a difference.
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  // For each member a hash of its id and a hash of its state, 4 bytes each.
  [[nodiscard]] std::string Digest() const;
  // The records that the sender of such a digest lacks; nullopt if it is truncated. Dead
  // members only if the sender knows them, or they would circulate forever.
  [[nodiscard]] std::optional<std::vector<MemberRecord>> RecordsMissingIn(
      std::string_view digest) const;

 private:
  void Put(Time now, MemberRecord record);
  void ToggleHash(const Entry& entry);

  std::map<NodeId, Entry> entries_;
  std::uint64_t hash_ = 0;
};

// Whether `a` supersedes `b`, both of the same member.
[[nodiscard]] bool Supersedes(const MemberSummary& a, const MemberSummary& b);

}  // namespace figmill::detail
