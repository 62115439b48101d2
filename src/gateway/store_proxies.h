#pragma once

// Chooses the entries that may forward calls to the table service for this one.

#include <vector>

#include "figmill/peers.h"

namespace figmill {

// The store may refuse some of the proxies too. Those of other data centres are for when the
// store refuses a whole data centre; bytes between data centres are expensive.
inline constexpr std::size_t kMaxLocalStoreProxies = 8;
inline constexpr std::size_t kMaxRemoteStoreProxies = 4;

// In the order in which to use them, which differs from entry to entry, so that no few entries
// forward the calls of all hosts that the store refuses.
[[nodiscard]] std::vector<Address> StoreProxiesFor(const PeerTable& peers, Time now);

}  // namespace figmill
