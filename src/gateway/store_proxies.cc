#include "gateway/store_proxies.h"

namespace figmill {

std::vector<Address> StoreProxiesFor(const PeerTable& peers, Time now) {
  const Peer& self = peers.self();
  std::vector<Address> local;
  std::vector<Address> remote;
  for (const Peer& peer : peers.RankedFor("store by way of " + self.node.value, now)) {
    if (peer.node == self.node) continue;
    const bool is_local = peer.data_centre == self.data_centre;
    std::vector<Address>& chosen = is_local ? local : remote;
    if (chosen.size() < (is_local ? kMaxLocalStoreProxies : kMaxRemoteStoreProxies)) {
      chosen.push_back(peer.address);
    }
  }
  local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

}  // namespace figmill
