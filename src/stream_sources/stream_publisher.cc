#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "figmill/stream_sources.h"

namespace figmill {
namespace {

struct Ranked {
  std::uint64_t weight = 0;
  const Peer* peer = nullptr;
};

std::vector<Ranked> RankFor(std::span<const Peer> eligible, StreamKey key) {
  const std::string name = std::to_string(key.value);
  std::vector<Ranked> ranked;
  ranked.reserve(eligible.size());
  for (const Peer& peer : eligible)
    ranked.push_back({RendezvousWeight(name, peer.node.value), &peer});
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked& a, const Ranked& b) { return a.weight > b.weight; });
  return ranked;
}

}  // namespace

std::vector<const Peer*> StreamHolders(std::span<const Peer> eligible, StreamKey key) {
  const std::size_t wanted =
      eligible.size() >= kLargeFleet ? kStreamHoldersInLargeFleet : kStreamHolders;
  const std::vector<Ranked> ranked = RankFor(eligible, key);
  std::vector<const Peer*> holders;
  const auto take = [&](const auto& allowed) {
    for (const Ranked& each : ranked) {
      if (holders.size() >= wanted) return;
      if (allowed(*each.peer)) holders.push_back(each.peer);
    }
  };
  take([&](const Peer& peer) {
    return std::none_of(holders.begin(), holders.end(), [&](const Peer* holder) {
      return holder->data_centre == peer.data_centre;
    });
  });
  take([&](const Peer& peer) {
    return std::find(holders.begin(), holders.end(), &peer) == holders.end();
  });
  return holders;
}

void StreamPublisher::Add(const StreamRecord& record, bool always, Time now) {
  begun_.push_back({record, always, now, {}});
}

std::vector<StreamPublisher::Outgoing> StreamPublisher::TakeOutgoing(std::span<const Peer> eligible,
                                                                     const NodeId& self,
                                                                     const IsNeeded& needed,
                                                                     Time now) {
  while (!begun_.empty() && now - begun_.front().at > kRepeatWithin) {
    begun_.pop_front();
    if (checked_ > 0) --checked_;
  }
  std::map<NodeId, std::vector<StreamRecord>> records;
  for (; checked_ < begun_.size(); ++checked_) {
    Begun& begun = begun_[checked_];
    const bool all = begun.always || needed(begun.record.source.service);
    for (const Peer* holder : StreamHolders(eligible, begun.record.key)) {
      if (holder->node == self) continue;
      if (begun.sent_to.insert(holder->node).second) records[holder->node].push_back(begun.record);
      if (!all) break;
    }
  }
  std::vector<Outgoing> outgoing;
  for (auto& [node, each] : records) {
    for (std::size_t at = 0; at < each.size(); at += StreamRecords::kMaxRecords) {
      const std::size_t end = std::min(at + StreamRecords::kMaxRecords, each.size());
      const std::span part = std::span(each).subspan(at, end - at);
      outgoing.push_back({node, {{part.begin(), part.end()}}});
    }
  }
  return outgoing;
}

}  // namespace figmill
