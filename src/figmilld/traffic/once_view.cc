#include "figmilld/traffic/once_view.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace figmill {
namespace {

std::optional<Member> FindIn(const RoutingSnapshot& snapshot, const NodeId& node) {
  for (const Member& member : snapshot.members) {
    if (member.node == node) return member;
  }
  return std::nullopt;
}

// A process whose slot a newer one has, or which membership has declared dead.
// An entry that knows nobody else may be the one that is cut off, so it calls
// nobody gone. Being wrong costs a retry, not a second run: that is what the
// agent's tombstone and the compare-and-set on the row are for.
bool IsGone(const RoutingSnapshot& snapshot, const NodeInstance& party) {
  const std::optional<Member> present = FindIn(snapshot, party.node);
  if (present) return present->incarnation > party.incarnation;
  return snapshot.members.size() > 1;
}

// The entry that `duty` falls to: the same for all that see the same members.
std::optional<Member> EntryFor(std::string_view duty, const RoutingSnapshot& snapshot,
                               const DataCentre* within) {
  std::optional<Member> chosen;
  std::uint64_t highest = 0;
  for (const Member& member : snapshot.members) {
    const bool fits = member.role == Role::kEntry && !member.leaving &&
                      member.liveness == Liveness::kAlive &&
                      (within == nullptr || member.data_centre == *within);
    if (!fits) continue;
    const std::uint64_t weight = RendezvousWeight(duty, member.node.value);
    if (chosen && weight <= highest) continue;
    chosen = member;
    highest = weight;
  }
  return chosen;
}

}  // namespace

OnceMembershipView ViewOver(const ControlShell& control, Member self) {
  OnceMembershipView view;
  view.agent = [&control](const NodeId& node) { return FindIn(*control.current(), node); };
  view.is_dead_or_replaced = [&control](const NodeInstance& party) {
    return IsGone(*control.current(), party);
  };
  view.writer_address = [&control, self]() -> std::optional<Address> {
    const auto chosen = EntryFor("once-writer", *control.current(), &self.data_centre);
    if (!chosen || chosen->node == self.node) return std::nullopt;
    return chosen->http;
  };
  view.runs_recovery = [&control, self] {
    const auto chosen = EntryFor("once-caretaker", *control.current(), nullptr);
    return !chosen || chosen->node == self.node;
  };
  return view;
}

}  // namespace figmill
