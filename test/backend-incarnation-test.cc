// Backend servers that start again under the id that they had: what tells one incarnation from
// the next, and what of an ended one goes on counting.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "figmill/fleet.h"
#include "gateway/fleet_view.h"
#include "gateway/open_sends.h"
#include "platform/documents.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{10'000'000}};
constexpr Duration kMillisecond{1'000};
const ServiceName kLlm{"llm"};
const BackendId kEngine{"engine"};
const Address kAddress{"10.0.0.1", 80};
constexpr BackendIncarnation kFirst{1'700'000'000'000};
constexpr BackendIncarnation kSecond{1'700'000'005'000};

BackendInfo EngineIn(BackendIncarnation incarnation) {
  return {kEngine, kLlm, kAddress, DataCentre{"dc"}, 2, BackendState::kReady, incarnation};
}

BackendList Listed(BackendIncarnation incarnation) {
  return {{kEngine, EngineIn(incarnation)}};
}

// A place book that knows the engine in its first incarnation, and whose draws are all alike.
struct Book {
  Book() { book.AddOrUpdate(EngineIn(kFirst)); }
  AcquiredSlot Take(Time now = kStart) {
    return book.AcquireSlot(kEngine, WorkClass::kOnline, now);
  }
  void Fault(Time now = kStart) { book.ReleaseSlot(Take(now), relay::SendEnd::kBroken, {}, now); }
  BackendPool book{DataCentre{"dc"}, [] { return std::uint64_t{0}; }};
};

// A send to the engine, and whether it was ended for its incarnation.
struct Watched {
  explicit Watched(OpenSends& sends, BackendIncarnation incarnation = kFirst)
      : number(sends.Add({kEngine, kAddress, incarnation}, kStart, [this] { ++lost; })) {}
  int lost = 0;
  OpenSends::Id number;
};

constexpr Time kQuiet = kStart + OpenSends::kRecentActivity;

}  // namespace

// --- The entry ---------------------------------------------------------------------------

TEST_CASE("an entry says its incarnation, and one that doesn't is still an entry") {
  const std::string entry = R"({"service":"llm","address":"10.0.0.1:80","zone":"dc",)"
                            R"("version":"v1","slots":2,"state":"ready","coldLeftMs":0,)"
                            R"("sequence":3)";
  const auto told = users::ParseBackend("engine", entry + R"(,"born":1700000000000})");
  REQUIRE(IsOk(told));
  CHECK(ValueOf(told) == EngineIn(kFirst));
  const auto untold = users::ParseBackend("engine", entry + "}");
  REQUIRE(IsOk(untold));
  CHECK_FALSE(ValueOf(untold).incarnation.known());
}

// Symptom: a backend server that has started again is used as if it had not.
// Sequence: its entry changes in nothing but its incarnation.
TEST_CASE("an entry that differs in its incarnation alone is a change") {
  BackendList list = Listed(kFirst);
  CHECK(UpdateBackendList(list, EngineIn(kFirst)) == BackendListChange::kNone);
  CHECK(UpdateBackendList(list, EngineIn(kSecond)) == BackendListChange::kRestarted);
  CHECK(list.at(kEngine).incarnation == kSecond);
}

// Symptom: requests go to the address at which a backend server listened before it ended.
// Sequence: its last write reaches the store after the first one of its next incarnation.
TEST_CASE("an entry of an earlier incarnation replaces none of a later one") {
  BackendList list = Listed(kSecond);
  BackendInfo late = EngineIn(kFirst);
  late.address.port = 81;
  CHECK(UpdateBackendList(list, BackendInfo(late)) == BackendListChange::kOutdated);
  CHECK(list == Listed(kSecond));
}

TEST_CASE("an entry without an incarnation leaves the one that is known") {
  BackendList list = Listed(kFirst);
  BackendInfo untold = EngineIn({});
  untold.state = BackendState::kDraining;
  CHECK(UpdateBackendList(list, BackendInfo(untold)) == BackendListChange::kUpdated);
  CHECK(list.at(kEngine).state == BackendState::kDraining);
  CHECK(UpdateBackendList(list, EngineIn(kSecond)) == BackendListChange::kRestarted);
}

TEST_CASE("the first incarnation that is told is no restart") {
  BackendList list = Listed({});
  CHECK(UpdateBackendList(list, EngineIn(kFirst)) == BackendListChange::kUpdated);
}

// Symptom: a request that may not be repeated fails on a connection that was kept.
TEST_CASE("connections that were kept to an ended incarnation are dropped") {
  CHECK(ChangedAddresses(Listed(kFirst), Listed(kFirst)).empty());
  CHECK_FALSE(ChangedAddresses(Listed(kFirst), Listed(kSecond)).empty());
}

// --- The place book ----------------------------------------------------------------------

// Symptom: a backend server that has just started gets nothing, as all its places are taken.
TEST_CASE("places of an ended incarnation are free, and late ends free none of the new one") {
  Book b;
  const AcquiredSlot old = b.Take();
  b.Take();
  b.book.AddOrUpdate(EngineIn(kSecond));
  CHECK(b.book.UsageOf(kEngine).online == 0);
  const AcquiredSlot taken = b.Take();
  b.book.ReleaseSlot(old, relay::SendEnd::kAnswered, {}, kStart);
  CHECK(b.book.UsageOf(kEngine).online == 1);
  b.book.ReleaseSlot(taken, relay::SendEnd::kAnswered, {}, kStart);
  CHECK(b.book.UsageOf(kEngine).online == 0);
}

// Symptom: a backend server that has just started is left out for seconds.
// Sequence: what ran there broke off when its earlier incarnation ended.
TEST_CASE("faults and silence of an ended incarnation are not held against the new one") {
  Book b;
  SUBCASE("those that were known") {
    for (int i = 0; i < 3; ++i) b.Fault();
    CHECK_FALSE(b.book.IsUsable(kEngine, kStart));
    b.book.AddOrUpdate(EngineIn(kSecond));
  }
  SUBCASE("those that come late") {
    const std::vector<AcquiredSlot> old{b.Take(), b.Take(), b.Take()};
    b.book.AddOrUpdate(EngineIn(kSecond));
    for (const AcquiredSlot& each : old)
      b.book.ReleaseSlot(each, relay::SendEnd::kBroken, {}, kStart);
  }
  SUBCASE("silence") {
    b.Take();
    b.book.AddOrUpdate(EngineIn(kSecond));
  }
  SUBCASE("a refusal") {
    b.book.ReleaseSlot(b.Take(), relay::SendEnd::kRejected, {}, kStart);
    b.book.AddOrUpdate(EngineIn(kSecond));
  }
  const Time now = kStart + BackendPool::kMinInactivity + kMillisecond;
  CHECK(b.book.IsUsable(kEngine, kStart));
  CHECK(b.book.IsUsable(kEngine, now));
  CHECK(b.book.UsageOf(kEngine).faults == 0);
}

TEST_CASE("what others have at an ended incarnation, and a keeper's grant for it, are dropped") {
  Book b;
  b.book.ApplyGrant(kEngine, {2, 1, 3, true}, kStart);
  b.book.AddOrUpdate(EngineIn(kSecond));
  CHECK(b.book.UsageOf(kEngine).online_other == 0);
  CHECK(b.book.UsageOf(kEngine).batch_allowed == 0);
  CHECK(b.book.IsUsable(kEngine, kStart));
}

TEST_CASE("an entry that is changed otherwise leaves what is in use") {
  Book b;
  b.Take();
  BackendInfo draining = EngineIn(kFirst);
  draining.state = BackendState::kDraining;
  b.book.AddOrUpdate(draining);
  CHECK(b.book.UsageOf(kEngine).online == 1);
}

// --- Open sends --------------------------------------------------------------------------

TEST_CASE("a send to an ended incarnation is ended when a later one is listed") {
  OpenSends sends;
  Watched old(sends);
  Watched untold(sends, {});
  Watched current(sends, kSecond);
  CHECK(sends.EndOutdated(Listed(kFirst), kQuiet).lost == 0);
  CHECK(sends.EndOutdated({}, kQuiet).lost == 0);
  CHECK(sends.EndOutdated(Listed(kSecond), kQuiet).lost == 1);
  CHECK(old.lost == 1);
  CHECK(untold.lost + current.lost == 0);
  CHECK(sends.EndOutdated(Listed(kSecond), kQuiet).lost == 0);
}

TEST_CASE("a send that is over is not ended again, also by the end of another one") {
  OpenSends sends;
  Watched over(sends);
  sends.Remove(over.number);
  Watched* second = nullptr;
  int lost = 0;
  (void)sends.Add({kEngine, kAddress, kFirst}, kStart, [&] {
    ++lost;
    sends.Remove(second->number);
  });
  Watched other(sends);
  second = &other;
  CHECK(sends.EndOutdated(Listed(kSecond), kQuiet).lost == 1);
  CHECK(lost == 1);
  CHECK(over.lost + other.lost == 0);
}

// Symptom: a request that may not be repeated fails although its backend server works on it.
// Sequence: the store is away while a backend server starts again; the request is sent there,
// and then the new entry comes.
TEST_CASE("a send that goes on giving bytes was sent to the new incarnation") {
  OpenSends sends;
  Watched alive(sends);
  Watched dead(sends);
  Time now = kStart;
  CHECK(sends.EndOutdated(Listed(kSecond), now).in_doubt == 2);
  for (int i = 0; i < 6; ++i) {
    now += 40 * kMillisecond;
    sends.RecordActivity(alive.number, now);
  }
  const OpenSends::Ended ended = sends.EndOutdated(Listed(kSecond), now);
  CHECK(ended.lost == 1);
  CHECK(ended.in_doubt == 0);
  CHECK(dead.lost == 1);
  now += 10'000 * kMillisecond;
  CHECK(sends.EndOutdated(Listed(kSecond), now).lost == 0);
  CHECK(alive.lost == 0);
}
