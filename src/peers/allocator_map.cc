#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <utility>

#include "figmill/peers.h"

namespace figmill {
namespace {

ManagedBackend ToManagedBackend(const BackendInfo& info, int service_slots) {
  const bool draining = info.state == BackendState::kDraining;
  return {info.service,
          draining ? 0 : info.slots,
          info.state == BackendState::kUnreadable,
          info.incarnation,
          service_slots,
          info.version};
}

std::map<ServiceName, int> ReadySlots(std::span<const BackendInfo> backends) {
  std::map<ServiceName, int> slots;
  for (const BackendInfo& info : backends) {
    if (info.state == BackendState::kReady) slots[info.service] += info.slots;
  }
  return slots;
}

}  // namespace

void AllocatorMap::SetBackends(std::vector<BackendInfo> backends) {
  backends_ = std::move(backends);
  backends_changed_ = true;
}

// The allocators opposite to this entry when both the entries and the allocators of a data centre
// are laid out evenly around a ring.
std::vector<Peer> AllocatorMap::ChooseAllocators(const std::vector<Peer>& allocators,
                                                 const PeerTable& peers, Time now) {
  if (allocators.size() <= kLocalAllocators + 1) return allocators;
  const Peer& self = peers.self();
  std::size_t rank = 0;
  std::size_t entries = 0;
  for (const Peer& peer : peers.Live(now)) {
    if (peer.data_centre != self.data_centre) continue;
    ++entries;
    if (peer.node < self.node) ++rank;
  }
  const std::size_t start = rank * allocators.size() / std::max<std::size_t>(entries, 1);
  std::vector<Peer> chosen;
  for (std::size_t i = 0; i < kLocalAllocators; ++i) {
    chosen.push_back(allocators[(start + i) % allocators.size()]);
  }
  return chosen;
}

void AllocatorMap::AddUsed(const BackendInfo& info, const Peer& allocator) {
  if (!used_allocators_.emplace(info.id, allocator).second) return;
  used_backends_.push_back(info);
}

bool AllocatorMap::Update(PeerTable& peers, Time now) {
  const std::uint64_t generation = peers.Generation(now);
  if (!backends_changed_ && generation == peers_generation_) return false;
  backends_changed_ = false;
  peers_generation_ = generation;
  used_allocators_.clear();
  used_backends_.clear();
  owned_backends_.clear();

  std::map<DataCentre, std::size_t> counts;
  for (const BackendInfo& info : backends_) ++counts[info.data_centre];
  const Peer& self = peers.self();
  std::map<DataCentre, std::vector<Peer>> allocators;
  std::set<NodeId> chosen_nodes;
  const std::size_t remote_centres = std::max<std::size_t>(counts.size(), 2) - 1;
  const std::size_t per_remote_centre =
      std::max<std::size_t>(kRemoteAllocators / remote_centres, 1);
  for (const auto& [centre, count] : counts) {
    allocators[centre] = peers.AllocatorsOf(centre, count, now);
    std::vector<Peer> chosen = ChooseAllocators(allocators[centre], peers, now);
    if (centre != self.data_centre && chosen.size() > per_remote_centre) {
      chosen.resize(per_remote_centre);
    }
    for (const Peer& peer : chosen) chosen_nodes.insert(peer.node);
  }

  std::map<ServiceName, int> ready_slots = ReadySlots(backends_);
  std::vector<Candidate> not_chosen;
  for (const BackendInfo& info : backends_) {
    const Peer* allocator = AllocatorFor(allocators[info.data_centre], info.id);
    if (allocator == nullptr) continue;
    if (allocator->node == self.node) {
      owned_backends_[info.id] = ToManagedBackend(info, ready_slots[info.service]);
    }
    if (chosen_nodes.contains(allocator->node)) {
      AddUsed(info, *allocator);
    } else {
      not_chosen.push_back({&info, allocator});
    }
  }
  AddForRareServices(std::move(not_chosen), self);
  return true;
}

void AllocatorMap::AddForRareServices(std::vector<Candidate> not_chosen, const Peer& self) {
  const auto is_local = [&self](const BackendInfo& info) {
    return info.data_centre == self.data_centre;
  };
  struct Count {
    std::size_t all = 0;
    std::size_t local = 0;
  };
  std::map<ServiceName, Count> used;
  std::map<OutputSource, std::size_t> used_of_version;
  const auto add_to_count = [&](const BackendInfo& info) {
    ++used_of_version[{info.service, info.version}];
    Count& count = used[info.service];
    ++count.all;
    if (is_local(info)) ++count.local;
  };
  for (const BackendInfo& info : used_backends_) add_to_count(info);
  const auto has_enough = [&](const Candidate& candidate) {
    const BackendInfo& info = *candidate.info;
    if (used_of_version[{info.service, info.version}] < kMinBackendsPerVersion) return false;
    const Count& count = used[info.service];
    return (is_local(*candidate.info) ? count.local : count.all) >= kMinBackendsPerService;
  };
  std::erase_if(not_chosen, has_enough);
  // In an order of its own for each entry, so that all of them are used evenly.
  const auto rank = [&](const Candidate& candidate) {
    return std::pair(!is_local(*candidate.info),
                     RendezvousWeight(self.node.value, candidate.info->id.value));
  };
  std::sort(not_chosen.begin(), not_chosen.end(),
            [&rank](const Candidate& a, const Candidate& b) { return rank(a) < rank(b); });
  for (const Candidate& candidate : not_chosen) {
    if (has_enough(candidate)) continue;
    AddUsed(*candidate.info, *candidate.allocator);
    add_to_count(*candidate.info);
  }
}

}  // namespace figmill
