#include <algorithm>

#include "figmill/sharing.h"

namespace figmill {

bool PeerTable::Named(const Peer& peer, Time now) {
  if (peer.node == self_.node) return false;
  const auto [at, fresh] = others_.try_emplace(peer.node, Entry{peer, std::nullopt, now});
  at->second.named_at = now;
  if (fresh) return true;
  // A later process in the same slot; what was heard of the earlier one is void.
  if (peer.incarnation <= at->second.peer.incarnation) return false;
  at->second = Entry{peer, std::nullopt, now};
  return true;
}

bool PeerTable::Heard(const Peer& peer, Time now) {
  if (peer.node == self_.node) return false;
  Named(peer, now);
  Entry& entry = others_[peer.node];
  if (peer.incarnation < entry.peer.incarnation) return false;  // a late datagram
  const bool was_live = entry.heard_at && now - *entry.heard_at < kSilence;
  entry.peer = peer;
  entry.heard_at = now;
  return !was_live;
}

bool PeerTable::IsLive(const NodeId& node, Time now) const {
  if (node == self_.node) return true;
  const auto found = others_.find(node);
  if (found == others_.end() || !found->second.heard_at) return false;
  return now - *found->second.heard_at < kSilence;
}

const Peer* PeerTable::Find(const NodeId& node) const {
  if (node == self_.node) return &self_;
  const auto found = others_.find(node);
  return found == others_.end() ? nullptr : &found->second.peer;
}

std::vector<Peer> PeerTable::others() const {
  std::vector<Peer> peers;
  peers.reserve(others_.size());
  for (const auto& [node, entry] : others_) peers.push_back(entry.peer);
  return peers;
}

std::vector<Peer> PeerTable::Live(Time now) const {
  std::vector<Peer> peers{self_};
  for (const auto& [node, entry] : others_) {
    if (IsLive(node, now)) peers.push_back(entry.peer);
  }
  return peers;
}

std::optional<Peer> PeerTable::KeeperOf(const BackendInfo& backend, Time now) const {
  const std::vector<Peer> live = Live(now);
  const auto is_local = [&backend](const Peer& peer) {
    return peer.data_centre == backend.data_centre && !peer.leaving;
  };
  const bool any_local = std::any_of(live.begin(), live.end(), is_local);
  const Peer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const Peer& peer : live) {
    if (peer.leaving || (any_local && !is_local(peer))) continue;
    const std::uint64_t weight = RendezvousWeight(backend.id.value, peer.node.value);
    if (best != nullptr && weight <= best_weight) continue;
    best = &peer;
    best_weight = weight;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

}  // namespace figmill
