#include <algorithm>
#include <utility>

#include "control/membership_impl.h"

namespace figmill {

Membership::Membership(Member self, MembershipSettings settings, RandomBits random)
    : impl_(std::make_unique<Impl>(std::move(self), settings, std::move(random))) {}
Membership::~Membership() = default;

void Membership::SetSeeds(std::span<const ListedHost> hosts) {
  impl_->SetSeeds(hosts);
}
std::vector<MembershipAction> Membership::Tick(Time now) {
  return impl_->Tick(now);
}
std::vector<MembershipAction> Membership::OnDatagram(Time now, std::string_view bytes,
                                                     const Address& from) {
  return impl_->OnDatagram(now, bytes, from);
}
std::vector<MembershipAction> Membership::OnMembers(Time now, std::string_view bytes) {
  return impl_->OnMembers(now, bytes);
}

Result<std::string> Membership::OnFetch(Time now, std::string_view request) {
  return impl_->OnFetch(now, request);
}

std::vector<MembershipAction> Membership::SetLeaving(Time now) {
  if (self().leaving) return {};
  return impl_->Change(now, false, [](Member& member) { member.leaving = true; });
}
std::vector<MembershipAction> Membership::SetServes(Time now, std::vector<ServiceName> serves) {
  if (self().serves == serves) return {};
  return impl_->Change(now, true, [&](Member& member) { member.serves = std::move(serves); });
}
std::vector<MembershipAction> Membership::SetSequence(Time now, Sequence sequence) {
  return impl_->SetSequence(now, sequence);
}
std::vector<MembershipAction> Membership::QuerySequences(Time now, Sequence sequence) {
  return impl_->QuerySequences(now, sequence);
}

InForceReport Membership::InForce(Sequence sequence) const {
  InForceReport report;
  for (const auto& [node, entry] : impl_->table().entries()) {
    const Member& member = entry.record.member;
    if (member.liveness != Liveness::kAlive) {
      report.unreachable.push_back(node);
    } else if (member.control_sequence < sequence) {
      report.lagging.push_back(node);
    } else {
      ++report.in_force;
    }
  }
  return report;
}

const Member& Membership::self() const {
  return impl_->self().member;
}

std::vector<Member> Membership::Members() const {
  std::vector<Member> members;
  for (const auto& [node, entry] : impl_->table().entries()) {
    if (entry.record.member.liveness != Liveness::kDead) members.push_back(entry.record.member);
  }
  return members;
}

std::optional<Member> Membership::Find(const NodeId& node) const {
  const auto* entry = impl_->table().Find(node);
  if (entry == nullptr) return std::nullopt;
  return entry->record.member;
}

std::optional<Time> Membership::last_heard() const {
  return impl_->last_heard();
}
const Membership::Counts& Membership::counts() const {
  return impl_->counts();
}

bool ReadsLogFromStore(const Member& self, std::span<const Member> members, std::size_t count) {
  constexpr std::string_view kKey = "log-readers";
  const std::uint64_t mine = RendezvousWeight(kKey, self.node.value);
  const auto ahead = std::count_if(members.begin(), members.end(), [&](const Member& other) {
    return other.node != self.node && other.data_centre == self.data_centre && !other.leaving &&
           other.liveness == Liveness::kAlive && RendezvousWeight(kKey, other.node.value) > mine;
  });
  return !self.leaving && static_cast<std::size_t>(ahead) < count;
}

}  // namespace figmill
