#include <doctest/doctest.h>

#include <map>
#include <string>

#include "gateway/store_proxies.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

// Guards against a few entries that forward the calls of all hosts that the store refuses, most of
// them from other data centres.
TEST_CASE("entries forward for each other evenly, and mostly within a data centre") {
  constexpr int kEntries = 120;
  const auto entry = [](int number) {
    const std::string node = "e" + std::to_string(number);
    return Peer{NodeId{node}, 1, {node, 80}, DataCentre{"dc" + std::to_string(number % 3)}};
  };
  std::map<Address, int> users;
  for (int self = 0; self < kEntries; ++self) {
    PeerTable peers(entry(self));
    for (int i = 0; i < kEntries; ++i) peers.AddListed(entry(i));
    const std::vector<Address> proxies = StoreProxiesFor(peers, Time{});
    REQUIRE(proxies.size() == kMaxLocalStoreProxies + kMaxRemoteStoreProxies);
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      const int number = std::stoi(proxies[i].host.substr(1));
      CHECK(number != self);
      CHECK((number % 3 == self % 3) == (i < kMaxLocalStoreProxies));
      ++users[proxies[i]];
    }
  }
  CHECK(users.size() == kEntries);
  for (const auto& [address, count] : users) CHECK(count < 36);  // 12 in the mean
}
