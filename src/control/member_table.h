#pragma once

// What a node believes of all members, and how two beliefs merge. Private to the
// control library.

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/gossip_codec.h"

namespace figmill::detail {

enum class Merged : std::uint8_t {
  kOlder,  // what is here beats it
  kSame,
  kTaken,
  kUnknown,  // news of a member whose record isn't here: ask for the record
};

// Beliefs are ordered by (incarnation, version, liveness): a newer process beats
// an older one whatever is said of it, a member's own newer word beats others'
// doubts, and doubt or death beats the same word heard earlier. Since every node
// orders them alike, all end up with the same belief in whichever order news
// come, and an old incarnation can't win.
class MemberTable {
 public:
  struct Entry {
    Record record;
    Time since;              // when this word of it was taken in
    std::uint64_t hash = 0;  // its part in the sums; 0 for a dead member
  };

  Merged Merge(Time now, const Brief& brief);
  Merged Merge(Time now, const Record& record);
  void SetLiveness(Time now, const NodeId& node, Liveness liveness);
  void SetSequence(const NodeId& node, Incarnation incarnation, Sequence sequence);
  void Erase(const NodeId& node);

  [[nodiscard]] const Entry* Find(const NodeId& node) const;
  [[nodiscard]] const std::map<NodeId, Entry>& entries() const { return entries_; }
  // Of alive and suspect members. Dead ones are left out: nodes forget them at
  // different times, and that must not look like news.
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  // For each member a hash of its id and one of its state, 4 bytes each.
  [[nodiscard]] std::string Digest() const;
  // What the sender of such a digest lacks; nothing if it is cut off. Dead ones
  // only if the sender knows the member, or they would be handed round for ever.
  [[nodiscard]] std::optional<std::vector<Record>> Beyond(std::string_view digest) const;

 private:
  void Put(Time now, Record record);
  void Toggle(const Entry& entry);

  std::map<NodeId, Entry> entries_;
  std::uint64_t hash_ = 0;
};

// Whether `a` beats `b`, both of the same member.
[[nodiscard]] bool Beats(const Brief& a, const Brief& b);

}  // namespace figmill::detail
