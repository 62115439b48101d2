#include <algorithm>
#include <set>
#include <utility>

#include "figmill/peers.h"

namespace figmill {
namespace {

KeptBackend KeptOf(const BackendInfo& info) {
  const bool draining = info.state == BackendState::kDraining;
  return {info.service, draining ? 0 : info.slots, info.state == BackendState::kUnreadable,
          info.incarnation};
}

}  // namespace

void KeeperMap::SetBackends(std::vector<BackendInfo> backends) {
  backends_ = std::move(backends);
  backends_changed_ = true;
}

// The allocators opposite to this entry when both the entries and the allocators of a data centre
// are laid out evenly around a ring.
std::vector<Peer> KeeperMap::Near(const std::vector<Peer>& keepers, const PeerTable& peers,
                                  Time now) {
  if (keepers.size() <= kNear + 1) return keepers;
  const Peer& self = peers.self();
  std::size_t rank = 0;
  std::size_t entries = 0;
  for (const Peer& peer : peers.Live(now)) {
    if (peer.data_centre != self.data_centre) continue;
    ++entries;
    if (peer.node < self.node) ++rank;
  }
  const std::size_t start = rank * keepers.size() / std::max<std::size_t>(entries, 1);
  std::vector<Peer> near;
  for (std::size_t i = 0; i < kNear; ++i) near.push_back(keepers[(start + i) % keepers.size()]);
  return near;
}

void KeeperMap::Use(const BackendInfo& info, const Peer& keeper) {
  if (!used_.emplace(info.id, keeper).second) return;
  used_infos_.push_back(info);
}

bool KeeperMap::Update(PeerTable& peers, Time now) {
  const std::uint64_t generation = peers.Generation(now);
  if (!backends_changed_ && generation == peers_generation_) return false;
  backends_changed_ = false;
  peers_generation_ = generation;
  used_.clear();
  used_infos_.clear();
  kept_.clear();

  std::map<DataCentre, std::size_t> counts;
  for (const BackendInfo& info : backends_) ++counts[info.data_centre];
  const Peer& self = peers.self();
  std::map<DataCentre, std::vector<Peer>> keepers;
  std::set<NodeId> used_keepers;
  const std::size_t far_centres = std::max<std::size_t>(counts.size(), 2) - 1;
  const std::size_t far_each = std::max<std::size_t>(kFar / far_centres, 1);
  for (const auto& [centre, count] : counts) {
    keepers[centre] = peers.KeepersOf(centre, count, now);
    std::vector<Peer> use = Near(keepers[centre], peers, now);
    if (centre != self.data_centre && use.size() > far_each) use.resize(far_each);
    for (const Peer& peer : use) used_keepers.insert(peer.node);
  }

  std::set<ServiceName> served;
  std::vector<std::pair<const BackendInfo*, const Peer*>> unused;
  for (const BackendInfo& info : backends_) {
    const Peer* keeper = KeeperAmong(keepers[info.data_centre], info.id);
    if (keeper == nullptr) continue;
    if (keeper->node == self.node) kept_[info.id] = KeptOf(info);
    if (used_keepers.contains(keeper->node)) {
      Use(info, *keeper);
      served.insert(info.service);
    } else {
      unused.emplace_back(&info, keeper);
    }
  }
  // A service with few backend servers may have none among those chosen so far.
  for (const auto& [info, keeper] : unused) {
    if (!served.contains(info->service)) Use(*info, *keeper);
  }
  return true;
}

}  // namespace figmill
