#include <algorithm>
#include <utility>

#include "figmill/feeds.h"

namespace figmill {

std::vector<Address> FeedSourceSelector::RelaysFor(const PeerTable& peers, Time now) {
  const Peer& self = peers.self();
  const std::vector<Peer> live = peers.Live(now);
  const auto entries =
      static_cast<std::size_t>(std::count_if(live.begin(), live.end(), [&](const Peer& peer) {
        return peer.data_centre == self.data_centre;
      }));
  if (entries < kMinEntries) return {};
  std::vector<Peer> relays = peers.RankedFor("feeds", now);
  std::erase_if(relays, [&](const Peer& peer) { return peer.data_centre != self.data_centre; });
  const std::size_t wanted =
      std::max(kMinRelays, (entries + kEntriesPerRelay - 1) / kEntriesPerRelay);
  if (relays.size() > wanted) relays.resize(wanted);
  std::vector<Address> addresses;
  // Spreads the entries evenly over the relays; a relay asks itself.
  std::size_t first = RendezvousWeight("feeds", self.node.value);
  for (const Peer& relay : relays) {
    if (relay.node == self.node) first = addresses.size();
    addresses.push_back(relay.address);
  }
  if (addresses.empty()) return {};
  first %= addresses.size();
  std::rotate(addresses.begin(), addresses.begin() + static_cast<std::ptrdiff_t>(first),
              addresses.end());
  return addresses;
}

std::optional<Address> FeedSourceSelector::Choose(Time now) {
  if (direct_interval_ && (!direct_at_ || now - *direct_at_ >= *direct_interval_)) {
    direct_at_ = now;
    return std::nullopt;
  }
  for (const Address& relay : relays_) {
    const auto avoid = avoid_until_.find(relay);
    if (avoid == avoid_until_.end() || now >= avoid->second) return relay;
  }
  return std::nullopt;
}

void FeedSourceSelector::RecordFailure(const Address& relay, Time now) {
  std::erase_if(avoid_until_, [now](const auto& each) { return each.second <= now; });
  avoid_until_[relay] = now + kRelayBackoff;
}

}  // namespace figmill
