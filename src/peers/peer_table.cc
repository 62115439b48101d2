#include <algorithm>
#include <iterator>
#include <utility>

#include "figmill/peers.h"

namespace figmill {

bool PeerTable::Named(const Peer& peer) {
  if (peer.node == self_.node) return false;
  const auto [at, fresh] = others_.try_emplace(peer.node, Entry{peer});
  // A later process under the same name: the state of the earlier one no longer holds.
  const bool later = peer.incarnation > at->second.peer.incarnation;
  if (later) at->second = Entry{peer};
  at->second.listed = true;
  if (fresh || later) ++generation_;
  return fresh || later;
}

void PeerTable::Unlisted(const NodeId& node) {
  const auto found = others_.find(node);
  if (found == others_.end()) return;
  found->second.listed = false;
  // A peer without any message is known from the list alone.
  if (!found->second.heard_at) others_.erase(found);
  ++generation_;
}

bool PeerTable::Heard(const Peer& peer, Time now) {
  if (peer.node == self_.node) return false;
  const auto [at, fresh] = others_.try_emplace(peer.node, Entry{peer});
  Entry& entry = at->second;
  if (peer.incarnation < entry.peer.incarnation) return false;  // a delayed datagram
  if (peer.incarnation > entry.peer.incarnation) entry = Entry{peer};
  const bool first = !entry.heard_at || entry.suspected;
  if (first || entry.peer != peer) ++generation_;
  entry.peer = peer;
  entry.heard_at = now;
  entry.asked_at.reset();
  entry.suspected = false;
  return first;
}

bool PeerTable::Joined() {
  if (!std::exchange(self_.joining, false)) return false;
  ++generation_;
  return true;
}

bool PeerTable::Outlive(Incarnation known) {
  if (known <= self_.incarnation) return false;
  self_.incarnation = known + 1;
  ++generation_;
  return true;
}

const Peer* PeerTable::LaterThan(const Peer& peer) const {
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
  const Entry& entry = found->second;
  if (entry.listed) return true;
  return entry.heard_at && now - *entry.heard_at < kSilence;
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
  for (const auto& [node, entry] : others_) {
    if (IsLive(node, now)) peers.push_back(entry.peer);
  }
  return peers;
}

void PeerTable::ForgetGone(Time now) {
  std::erase_if(others_, [now](const auto& each) {
    const Entry& entry = each.second;
    const Time last = std::max(entry.heard_at.value_or(Time{}), entry.asked_at.value_or(Time{}));
    return entry.gone() && now - last >= kForgotten;
  });
}

std::vector<PeerTable::Entry*> PeerTable::Ring() {
  const auto place = [](const NodeId& node) { return RendezvousWeight("ring", node.value); };
  const std::uint64_t here = place(self_.node);
  std::vector<std::pair<std::uint64_t, Entry*>> ring;
  ring.reserve(others_.size());
  for (auto& [node, entry] : others_) {
    if (!entry.gone()) ring.emplace_back(place(node) - here, &entry);
  }
  std::sort(ring.begin(), ring.end());
  std::vector<Entry*> entries;
  entries.reserve(ring.size());
  for (const auto& [distance, entry] : ring) entries.push_back(entry);
  return entries;
}

// Suspected peers don't count against the limits: otherwise they would displace the peers after
// them in the ring, and after the loss of a data centre most of its entries would not be monitored.
std::vector<PeerTable::Entry*> PeerTable::Watched(const std::vector<Entry*>& ring) const {
  if (ring.size() <= kWatchAll) return ring;
  std::vector<Entry*> watched;
  std::size_t anywhere = 0;
  std::size_t near = 0;
  for (Entry* entry : ring) {
    if (anywhere == kWatchedAnywhere && near == kWatchedNear) break;
    if (entry->suspected) continue;
    if (anywhere < kWatchedAnywhere) {
      ++anywhere;
    } else if (near < kWatchedNear && entry->peer.data_centre == self_.data_centre) {
      ++near;
    } else {
      continue;
    }
    watched.push_back(entry);
  }
  return watched;
}

void PeerTable::Look(Entry& entry, Watch& watch, Time now) {
  if (entry.heard_at && now - *entry.heard_at < kPresence) return;
  if (!entry.asked_at) entry.asked_at = now;
  watch.to_ask.push_back(entry.peer);
  const Time since =
      std::max(entry.heard_at.value_or(*entry.asked_at), *entry.asked_at - kPresence);
  if (entry.suspected || now - since < kSilence) return;
  watch.silent.push_back(entry.peer);
}

PeerTable::Watch PeerTable::WatchOthers(Time now) {
  ForgetGone(now);
  Watch watch;
  const std::vector<Entry*> ring = Ring();
  for (Entry* entry : Watched(ring)) Look(*entry, watch, now);
  for (const Peer& peer : watch.silent) Suspect(peer.node);
  AskInTurn(ring, watch, now);
  return watch;
}

bool PeerTable::HearsMost(Time now) {
  const std::vector<Entry*> watched = Watched(Ring());
  const auto heard = std::count_if(watched.begin(), watched.end(), [now](const Entry* entry) {
    return entry->heard_at && now - *entry->heard_at < kSilence;
  });
  return watched.empty() || 2 * static_cast<std::size_t>(heard) > watched.size();
}

// A peer is also suspected when it fails to respond as an allocator, by entries that don't monitor
// it. Without a probe it would stay suspected for ever.
void PeerTable::AskInTurn(const std::vector<Entry*>& ring, Watch& watch, Time now) {
  std::vector<const Entry*> in_doubt;
  for (const Entry* entry : ring) {
    const bool joining = entry->peer.joining && IsLive(entry->peer.node, now);
    const auto is_same = [entry](const Peer& peer) { return peer.node == entry->peer.node; };
    if (!entry->suspected && !joining) continue;
    if (std::any_of(watch.to_ask.begin(), watch.to_ask.end(), is_same)) continue;
    in_doubt.push_back(entry);
  }
  const std::size_t count = std::min(kAskedInTurn, in_doubt.size());
  for (std::size_t i = 0; i < count; ++i) {
    watch.to_ask.push_back(in_doubt[asked_in_turn_++ % in_doubt.size()]->peer);
  }
}

std::vector<Peer> PeerTable::Capable(Time now) const {
  std::vector<Peer> peers = Live(now);
  std::erase_if(peers, [](const Peer& peer) { return peer.leaving || peer.joining; });
  double largest = 0;
  for (const Peer& peer : peers) largest = std::max(largest, peer.capacity);
  std::erase_if(peers,
                [largest](const Peer& peer) { return peer.capacity < largest * kLeastCapacity; });
  return peers;
}

namespace {

void KeepOnly(std::vector<Peer>& peers, const DataCentre& data_centre) {
  const auto is_there = [&](const Peer& peer) { return peer.data_centre == data_centre; };
  if (std::none_of(peers.begin(), peers.end(), is_there)) return;
  std::erase_if(peers, [&](const Peer& peer) { return !is_there(peer); });
}

// Sorts by descending rendezvous weight.
void Rank(std::vector<Peer>& peers, std::string_view key) {
  std::sort(peers.begin(), peers.end(), [key](const Peer& a, const Peer& b) {
    return RendezvousWeight(key, a.node.value) > RendezvousWeight(key, b.node.value);
  });
}

}  // namespace

std::vector<Peer> PeerTable::RankedFor(std::string_view key, Time now) const {
  std::vector<Peer> peers = Capable(now);
  Rank(peers, key);
  return peers;
}

std::optional<Peer> PeerTable::OwnerOf(std::string_view key,
                                       const std::optional<DataCentre>& prefer, Time now) const {
  std::vector<Peer> peers = RankedFor(key, now);
  if (prefer) KeepOnly(peers, *prefer);
  if (peers.empty()) return std::nullopt;
  return peers.front();
}

std::vector<Peer> PeerTable::KeepersOf(const DataCentre& data_centre, std::size_t backends,
                                       Time now) const {
  std::vector<Peer> peers = Capable(now);
  KeepOnly(peers, data_centre);
  Rank(peers, data_centre.value);
  const std::size_t wanted = (backends + kBackendsPerKeeper - 1) / kBackendsPerKeeper;
  if (peers.size() > std::max<std::size_t>(wanted, 1)) {
    peers.resize(std::max<std::size_t>(wanted, 1));
  }
  return peers;
}

const Peer* KeeperAmong(std::span<const Peer> keepers, const BackendId& backend) {
  const Peer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const Peer& peer : keepers) {
    const std::uint64_t weight = RendezvousWeight(backend.value, peer.node.value);
    if (best != nullptr && weight <= best_weight) continue;
    best = &peer;
    best_weight = weight;
  }
  return best;
}

}  // namespace figmill
