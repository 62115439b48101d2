#include "figmill/feeds.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{100'000'000}};
const Address kFirst{"10.0.0.2", 80};
const Address kSecond{"10.0.0.3", 80};

Peer EntryAt(const std::string& data_centre, int number, double capacity = 1) {
  const std::string node = data_centre + "-" + std::to_string(number);
  return {NodeId{node}, 1, {node, 80}, DataCentre{data_centre}, capacity};
}

// A peer table of entry `self` of data centre `a`, with `count` entries in each of two data
// centres.
PeerTable TableOf(int self, int count) {
  PeerTable peers(EntryAt("a", self));
  for (const char* data_centre : {"a", "b"}) {
    for (int i = 0; i < count; ++i) peers.AddListed(EntryAt(data_centre, i));
  }
  return peers;
}

std::set<Address> AsSet(const std::vector<Address>& addresses) {
  return {addresses.begin(), addresses.end()};
}

}  // namespace

TEST_CASE("all entries of a data centre choose the same relays, and use them evenly") {
  constexpr int kEntries = 70;
  std::set<Address> relays;
  std::map<Address, int> followers;
  for (int self = 0; self < kEntries; ++self) {
    const PeerTable peers = TableOf(self, kEntries);
    const std::vector<Address> chosen = FeedSourceSelector::RelaysFor(peers, kStart);
    REQUIRE_FALSE(chosen.empty());
    if (relays.empty()) relays = AsSet(chosen);
    CHECK(AsSet(chosen) == relays);
    ++followers[chosen.front()];
  }
  CHECK(relays.size() == 3);  // 70 entries, 32 for each relay
  for (const Address& relay : relays) {
    const PeerTable peers = TableOf(std::stoi(relay.host.substr(2)), kEntries);
    CHECK(FeedSourceSelector::RelaysFor(peers, kStart).front() == relay);
    CHECK(relay.host.starts_with("a-"));
    CHECK(followers[relay] > 10);
  }
}

// Guards against load that grows with the fleet: relays that serve more entries each, or store
// calls of more entries.
TEST_CASE("the number of relays grows with the data centre") {
  CHECK(FeedSourceSelector::RelaysFor(TableOf(0, 12), kStart).size() == 2);
  CHECK(FeedSourceSelector::RelaysFor(TableOf(0, 500), kStart).size() == 16);
}

TEST_CASE("entries of a small data centre follow the store") {
  for (int self = 0; self < 11; ++self) {
    CHECK(FeedSourceSelector::RelaysFor(TableOf(self, 11), kStart).empty());
  }
}

TEST_CASE("entries on small hosts, and entries that leave or join, are no relays") {
  PeerTable peers(EntryAt("a", 0));
  for (int i = 1; i < 40; ++i) {
    Peer peer = EntryAt("a", i, i < 20 ? 1 : 0.2);
    peer.leaving = i == 1;
    peer.joining = i == 2;
    peers.AddListed(peer);
  }
  for (const Address& relay : FeedSourceSelector::RelaysFor(peers, kStart)) {
    const int number = std::stoi(relay.host.substr(2));
    CHECK(number > 2);
    CHECK(number < 20);
  }
}

TEST_CASE("a relay that failed is left out for a while, and the next one is asked") {
  FeedSourceSelector selector;
  CHECK_FALSE(selector.Choose(kStart));
  selector.SetRelays({kFirst, kSecond});
  CHECK(selector.Choose(kStart) == kFirst);
  selector.RecordFailure(kFirst, kStart);
  CHECK(selector.Choose(kStart) == kSecond);
  selector.RecordFailure(kSecond, kStart);
  CHECK_FALSE(selector.Choose(kStart));
  CHECK(selector.Choose(kStart + FeedSourceSelector::kRelayBackoff) == kFirst);
}

// Guards against an entry whose idea of the store's time, and of its own path to the store, grows
// old because relays answer everything.
TEST_CASE("the store itself is asked once in a while") {
  FeedSourceSelector selector;
  selector.SetDirectInterval(FeedSourceSelector::kDirectInterval);
  selector.SetRelays({kFirst});
  CHECK_FALSE(selector.Choose(kStart));
  CHECK(selector.Choose(kStart));
  CHECK_FALSE(selector.Choose(kStart + FeedSourceSelector::kDirectInterval));
}

TEST_CASE("changes survive encoding") {
  TableChanges changes;
  changes.version = 42;
  changes.age = Duration{1'500};
  changes.rows.push_back({{"t", "p", "a"}, std::string("\0\xff", 2), 41, false});
  changes.rows.push_back({{"t", "", "b"}, "", 42, true});
  const Result<TableChanges> decoded = DecodeChanges("t", EncodeChanges(changes));
  REQUIRE(IsOk(decoded));
  CHECK(ValueOf(decoded).version == 42);
  CHECK(ValueOf(decoded).age == Duration{1'500});
  REQUIRE(ValueOf(decoded).rows.size() == 2);
  CHECK(ValueOf(decoded).rows[0].at == changes.rows[0].at);
  CHECK(ValueOf(decoded).rows[0].value == changes.rows[0].value);
  CHECK(ValueOf(decoded).rows[1].deleted);
}

// Guards against a relay, or another process at its address, that sends anything else.
TEST_CASE("bytes that are no changes are an error") {
  const std::string whole = EncodeChanges({{{{"t", "", "k"}, "value", 7, false}}, 8, {}, {}});
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(IsOk(DecodeChanges("t", std::string_view(whole).substr(0, size))));
  }
  CHECK_FALSE(IsOk(DecodeChanges("t", whole + "x")));
  CHECK_FALSE(IsOk(DecodeChanges("t", "<html></html>")));
  CHECK_FALSE(IsOk(DecodeChanges("t", std::string("\x93\x01\x00\xdd\xff\xff\xff\xff", 8))));
  TableChanges from_the_future;
  from_the_future.age = Duration{-1};
  CHECK_FALSE(IsOk(DecodeChanges("t", EncodeChanges(from_the_future))));
}
