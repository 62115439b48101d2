#include <algorithm>
#include <iterator>
#include <utility>

#include "figmill/peers.h"

namespace figmill {

bool PeerTable::AddListed(const Peer& peer) {
  if (peer.node == self_.node) return false;
  const auto [at, inserted] = others_.try_emplace(peer.node, PeerState{peer});
  // A later process under the same name: the state of the earlier one no longer holds.
  const bool later = peer.incarnation > at->second.peer.incarnation;
  if (later) at->second = PeerState{peer};
  at->second.listed = true;
  if (inserted || later) ++generation_;
  return inserted || later;
}

void PeerTable::MarkUnlisted(const NodeId& node) {
  const auto found = others_.find(node);
  if (found == others_.end()) return;
  found->second.listed = false;
  // A peer without any message is known from the list alone.
  if (!found->second.heard_at) others_.erase(found);
  ++generation_;
}

bool PeerTable::RecordMessage(const Peer& peer, Time now) {
  if (peer.node == self_.node) return false;
  const auto [at, inserted] = others_.try_emplace(peer.node, PeerState{peer});
  PeerState& state = at->second;
  if (peer.incarnation < state.peer.incarnation) return false;  // a delayed datagram
  if (peer.incarnation > state.peer.incarnation) state = PeerState{peer};
  const bool first = !state.heard_at || state.suspected;
  if (first || state.peer != peer) ++generation_;
  state.peer = peer;
  state.heard_at = now;
  state.probed_at.reset();
  state.suspected = false;
  return first;
}

bool PeerTable::FinishJoining() {
  if (!std::exchange(self_.joining, false)) return false;
  ++generation_;
  return true;
}

bool PeerTable::RaiseIncarnation(Incarnation known) {
  if (known <= self_.incarnation) return false;
  self_.incarnation = known + 1;
  ++generation_;
  return true;
}

const Peer* PeerTable::FindLaterProcess(const Peer& peer) const {
  const Peer* known = Find(peer.node);
  return known != nullptr && known->incarnation > peer.incarnation ? known : nullptr;
}

void PeerTable::Suspect(const NodeId& node) {
  const auto found = others_.find(node);
  if (found == others_.end() || found->second.suspected) return;
  found->second.suspected = true;
  ++generation_;
}

bool PeerTable::IsLive(const NodeId& node, Time now) const {
  if (node == self_.node) return true;
  const auto found = others_.find(node);
  if (found == others_.end() || found->second.suspected) return false;
  const PeerState& state = found->second;
  if (state.listed) return true;
  return state.heard_at && now - *state.heard_at < kFailureTimeout;
}

bool PeerTable::IsReplaced(const NodeId& node, Incarnation incarnation) const {
  const Peer* known = Find(node);
  return known != nullptr && known->incarnation > incarnation;
}

std::uint64_t PeerTable::Generation(Time now) {
  const std::size_t live = Live(now).size();
  if (std::exchange(live_at_generation_, live) != live) ++generation_;
  return generation_;
}

const Peer* PeerTable::Find(const NodeId& node) const {
  if (node == self_.node) return &self_;
  const auto found = others_.find(node);
  return found == others_.end() ? nullptr : &found->second.peer;
}

bool PeerTable::ShouldGreet(const Peer& peer) const {
  if (others_.size() <= kMonitorAllLimit || peer.data_centre == self_.data_centre) return true;
  const auto found = others_.find(peer.node);
  return found != others_.end() && found->second.heard_at.has_value();
}

std::vector<Peer> PeerTable::others() const {
  std::vector<Peer> peers;
  peers.reserve(others_.size());
  const auto next = others_.upper_bound(self_.node);
  for (auto at = next; at != others_.end(); ++at) peers.push_back(at->second.peer);
  for (auto at = others_.begin(); at != next; ++at) peers.push_back(at->second.peer);
  return peers;
}

std::vector<Peer> PeerTable::Live(Time now) const {
  std::vector<Peer> peers{self_};
  for (const auto& [node, state] : others_) {
    if (IsLive(node, now)) peers.push_back(state.peer);
  }
  return peers;
}

void PeerTable::EvictGone(Time now) {
  std::erase_if(others_, [now](const auto& each) {
    const PeerState& state = each.second;
    const Time last = std::max(state.heard_at.value_or(Time{}), state.probed_at.value_or(Time{}));
    return state.gone() && now - last >= kEvictAfter;
  });
}

std::vector<PeerTable::PeerState*> PeerTable::HashRing() {
  const auto ring_position = [](const NodeId& node) {
    return RendezvousWeight("ring", node.value);
  };
  const std::uint64_t self_position = ring_position(self_.node);
  std::vector<std::pair<std::uint64_t, PeerState*>> ring;
  ring.reserve(others_.size());
  for (auto& [node, state] : others_) {
    if (!state.gone()) ring.emplace_back(ring_position(node) - self_position, &state);
  }
  std::sort(ring.begin(), ring.end());
  std::vector<PeerState*> entries;
  entries.reserve(ring.size());
  for (const auto& [distance, state] : ring) entries.push_back(state);
  return entries;
}

// Suspected peers don't count against the limits: otherwise they would displace the peers after
// them in the ring, and after the loss of a data centre most of its entries would not be monitored.
std::vector<PeerTable::PeerState*> PeerTable::MonitoredPeers(
    const std::vector<PeerState*>& ring) const {
  if (ring.size() <= kMonitorAllLimit) return ring;
  std::vector<PeerState*> monitored;
  std::size_t any_count = 0;
  std::size_t local_count = 0;
  for (PeerState* state : ring) {
    if (any_count == kMonitoredAnywhere && local_count == kMonitoredLocal) break;
    if (state->suspected) continue;
    if (any_count < kMonitoredAnywhere) {
      ++any_count;
    } else if (local_count < kMonitoredLocal && state->peer.data_centre == self_.data_centre) {
      ++local_count;
    } else {
      continue;
    }
    monitored.push_back(state);
  }
  return monitored;
}

void PeerTable::CheckPeer(PeerState& state, CheckResult& result, Time now) {
  if (state.heard_at && now - *state.heard_at < kProbeInterval) return;
  if (!state.probed_at) state.probed_at = now;
  result.to_probe.push_back(state.peer);
  const Time since =
      std::max(state.heard_at.value_or(*state.probed_at), *state.probed_at - kProbeInterval);
  if (state.suspected || now - since < kFailureTimeout) return;
  result.newly_suspected.push_back(state.peer);
}

PeerTable::CheckResult PeerTable::CheckPeers(Time now) {
  EvictGone(now);
  CheckResult result;
  const std::vector<PeerState*> ring = HashRing();
  for (PeerState* state : MonitoredPeers(ring)) CheckPeer(*state, result, now);
  for (const Peer& peer : result.newly_suspected) Suspect(peer.node);
  ProbeInTurn(ring, result, now);
  return result;
}

bool PeerTable::HearsMajority(Time now) {
  const std::vector<PeerState*> monitored = MonitoredPeers(HashRing());
  const auto heard =
      std::count_if(monitored.begin(), monitored.end(), [now](const PeerState* state) {
        return state->heard_at && now - *state->heard_at < kFailureTimeout;
      });
  return monitored.empty() || 2 * static_cast<std::size_t>(heard) > monitored.size();
}

// A peer is also suspected when it fails to respond as an allocator, by entries that don't monitor
// it. Without a probe it would stay suspected for ever.
void PeerTable::ProbeInTurn(const std::vector<PeerState*>& ring, CheckResult& result, Time now) {
  std::vector<const PeerState*> candidates;
  for (const PeerState* state : ring) {
    const bool joining = state->peer.joining && IsLive(state->peer.node, now);
    const auto is_same = [state](const Peer& peer) { return peer.node == state->peer.node; };
    if (!state->suspected && !joining) continue;
    if (std::any_of(result.to_probe.begin(), result.to_probe.end(), is_same)) continue;
    candidates.push_back(state);
  }
  const std::size_t count = std::min(kMaxExtraProbes, candidates.size());
  for (std::size_t i = 0; i < count; ++i) {
    result.to_probe.push_back(candidates[extra_probes_++ % candidates.size()]->peer);
  }
}

std::vector<Peer> PeerTable::EligiblePeers(Time now) const {
  std::vector<Peer> peers = Live(now);
  std::erase_if(peers, [](const Peer& peer) { return peer.leaving || peer.joining; });
  double largest = 0;
  for (const Peer& peer : peers) largest = std::max(largest, peer.capacity);
  std::erase_if(
      peers, [largest](const Peer& peer) { return peer.capacity < largest * kMinCapacityShare; });
  return peers;
}

namespace {

// Removes the peers of other data centres, unless there are none in `data_centre`.
void KeepDataCentre(std::vector<Peer>& peers, const DataCentre& data_centre) {
  const auto is_there = [&](const Peer& peer) { return peer.data_centre == data_centre; };
  if (std::none_of(peers.begin(), peers.end(), is_there)) return;
  std::erase_if(peers, [&](const Peer& peer) { return !is_there(peer); });
}

// Sorts by descending rendezvous weight.
void SortByWeight(std::vector<Peer>& peers, std::string_view key) {
  std::sort(peers.begin(), peers.end(), [key](const Peer& a, const Peer& b) {
    return RendezvousWeight(key, a.node.value) > RendezvousWeight(key, b.node.value);
  });
}

}  // namespace

std::vector<Peer> PeerTable::RankedFor(std::string_view key, Time now) const {
  std::vector<Peer> peers = EligiblePeers(now);
  SortByWeight(peers, key);
  return peers;
}

std::optional<Peer> PeerTable::OwnerOf(std::string_view key,
                                       const std::optional<DataCentre>& prefer, Time now) const {
  std::vector<Peer> peers = RankedFor(key, now);
  if (prefer) KeepDataCentre(peers, *prefer);
  if (peers.empty()) return std::nullopt;
  return peers.front();
}

std::vector<Peer> PeerTable::AllocatorsOf(const DataCentre& data_centre, std::size_t backends,
                                          Time now) const {
  std::vector<Peer> peers = EligiblePeers(now);
  KeepDataCentre(peers, data_centre);
  SortByWeight(peers, data_centre.value);
  const std::size_t wanted = (backends + kBackendsPerAllocator - 1) / kBackendsPerAllocator;
  if (peers.size() > std::max<std::size_t>(wanted, 1)) {
    peers.resize(std::max<std::size_t>(wanted, 1));
  }
  return peers;
}

const Peer* AllocatorFor(std::span<const Peer> allocators, const BackendId& backend) {
  const Peer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const Peer& peer : allocators) {
    const std::uint64_t weight = RendezvousWeight(backend.value, peer.node.value);
    if (best != nullptr && weight <= best_weight) continue;
    best = &peer;
    best_weight = weight;
  }
  return best;
}

}  // namespace figmill
