// Bookings of credits, at the owner of a quota and at an entry.

#include <doctest/doctest.h>

#include <variant>
#include <vector>

#include "figmill/peer_messages.h"
#include "figmill/quota.h"
#include "quota/owned_quota.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{100'000'000}};
constexpr Duration kMs{1'000};
constexpr Duration kPatience = 3'000 * kMs;
const QuotaClient::Entries kEntries{10, true};
const QuotaClient::Entries kNoFallback{10, false};

Team Limited(double rate, double burst) {
  Team team;
  team.name.value = "rye";
  team.requests_per_second = rate;
  team.burst = burst;
  return team;
}

QuotaRequest LastTries(std::vector<QuotaLastTry> last_tries) {
  const auto wanted = static_cast<std::uint32_t>(last_tries.size());
  return {1, TeamId{"rye"}, wanted, 0, std::move(last_tries)};
}

// A new owner whose bucket is empty at kStart: the bound leaves it no initial credits.
QuotaOwner EmptyOwner() {
  return QuotaOwner(kStart, {Duration{5'000'000}, 0, 0});
}

QuotaClient::Request LastTry(std::uint64_t ticket, Duration max_wait = kPatience) {
  return {ticket, max_wait + 700 * kMs, true, max_wait};
}

QuotaGrant Answer(const QuotaRequest& request, std::uint32_t credits,
                  std::vector<QuotaBooking> bookings) {
  return {request.number, request.team, true, credits, {}, {}, std::move(bookings)};
}

QuotaRequest TheRequest(QuotaClient& client) {
  std::vector<QuotaRequest> requests = client.TakeRequests();
  REQUIRE(requests.size() == 1);
  return requests.front();
}

// An entry with a caller that is booked for kStart + 500 ms; returns the request that booked it.
QuotaRequest BookOne(QuotaClient& client, const Team& team,
                     const QuotaClient::Entries& entries = kEntries) {
  (void)client.Admit(team, entries, LastTry(1), kStart);
  QuotaRequest request = TheRequest(client);
  client.OnGrant(Answer(request, 0, {{7, 500 * kMs}}), kStart);
  CHECK(client.TakeDecisions().empty());
  return request;
}

}  // namespace

// --- Owner -------------------------------------------------------------------------

// Guards against refusing a last try for good although a credit comes before its deadline.
// Guards against a team without a burst that is served nothing while refused callers have places.
TEST_CASE("places for returns keep no credit of a bucket that can't hold it") {
  QuotaOwner owner(kStart);
  Team team;
  team.name = TeamId{"rye"};
  team.requests_per_second = 10;
  const Time later = kStart + std::chrono::seconds(60);
  CHECK(owner.Grant({1, team.name, 1, 0}, team, later).credits == 1);
  CHECK(owner.Grant({2, team.name, 1, 0}, team, later).credits == 0);
  CHECK(owner.Grant({3, team.name, 1, 0}, team, later).credits == 0);
  CHECK(owner.Grant({4, team.name, 1, 0}, team, later + 101 * kMs).credits == 1);
}

TEST_CASE("last tries without a credit are booked one credit apart, and get it when they ask") {
  const Team team = Limited(10, 20);
  QuotaOwner owner = EmptyOwner();
  const QuotaGrant grant =
      owner.Grant(LastTries({{0, kPatience}, {0, kPatience}, {0, kPatience}}), team, kStart);
  CHECK(grant.credits == 0);
  REQUIRE(grant.bookings.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(grant.bookings[i].booking != 0);
    CHECK(grant.bookings[i].wait == 100 * kMs * static_cast<int>(i + 1));
  }
  for (const QuotaBooking& booking : grant.bookings) {
    const QuotaGrant served =
        owner.Grant(LastTries({{booking.booking, kPatience}}), team, kStart + booking.wait);
    CHECK(served.credits == 1);
    REQUIRE(served.bookings.size() == 1);
    CHECK(served.bookings[0] == QuotaBooking{});
  }
  CHECK(owner.counts() == BookingCounts{3, 3, 0, 0});
}

TEST_CASE("a last try is refused at once if no credit comes before its deadline") {
  const Team team = Limited(10, 20);
  QuotaOwner owner = EmptyOwner();
  const QuotaGrant grant =
      owner.Grant(LastTries({{0, 150 * kMs}, {0, 190 * kMs}, {0, kPatience}}), team, kStart);
  REQUIRE(grant.bookings.size() == 3);
  CHECK(grant.bookings[0].booking == 0);
  CHECK(grant.bookings[0].wait > Duration{0});
  CHECK(grant.bookings[1].booking == 0);
  CHECK(grant.bookings[2].booking != 0);
}

// Guards against first tries that take the credits of those who wait.
TEST_CASE("a booked credit is given to no other caller, and what is left over is") {
  const Team team = Limited(10, 20);
  QuotaOwner owner = EmptyOwner();
  const QuotaGrant booked = owner.Grant(LastTries({{0, kPatience}}), team, kStart);
  CHECK(owner.Grant({2, team.name, 1, 0}, team, kStart + 100 * kMs).credits == 0);
  const QuotaRequest claim = LastTries({{booked.bookings[0].booking, kPatience}});
  CHECK(owner.Grant({2, team.name, 1, 5}, team, kStart + 100 * kMs).credits == 1);
  CHECK(owner.Grant(claim, team, kStart + 100 * kMs).credits == 1);
}

// Guards against refused callers who all return at once.
TEST_CASE("refused first tries are told times one credit apart, at which a credit is theirs") {
  const Team team = Limited(10, 20);
  QuotaOwner owner = EmptyOwner();
  const QuotaGrant refused = owner.Grant({2, team.name, 3, 0}, team, kStart);
  CHECK(refused.time_to_next == 100 * kMs);
  CHECK(refused.credit_interval == 100 * kMs);
  CHECK(owner.Grant({3, team.name, 1, 0}, team, kStart).time_to_next == 400 * kMs);
  for (int i = 1; i <= 4; ++i) {
    const Time at = kStart + i * 100 * kMs;
    CHECK(owner.Grant({4, team.name, 1, 0}, team, at).credits == 0);
    CHECK(owner.Grant(LastTries({{0, kPatience}}), team, at).credits == 1);
  }
}

// Guards against credits that idle because a caller left or its entry died.
TEST_CASE("a booking that is not claimed expires, and its credit goes to others") {
  const Team team = Limited(10, 20);
  QuotaOwner owner = EmptyOwner();
  (void)owner.Grant(LastTries({{0, kPatience}}), team, kStart);
  const Time late = kStart + 100 * kMs + OwnedQuota::kClaimTimeout + kMs;
  CHECK(owner.Grant({2, team.name, 9, 0}, team, late).credits == 3);
  CHECK(owner.counts() == BookingCounts{1, 0, 1, 0});
}

// Guards against a caller who is not served because the answer to its claim was lost.
TEST_CASE("a repeated claim gets the same credit, and later the next one") {
  const Team team = Limited(10, 20);
  OwnedQuota quota({}, 0, kStart);
  const auto claim_at = [&](std::uint64_t booking, Duration at) {
    quota.Update(team, 0, kStart + at);
    return quota.Serve({booking, 150 * kMs}, 9, kStart + at);
  };
  quota.Update(team, 0, kStart);
  CHECK(quota.Serve({0, kPatience}, 1, kStart) == QuotaBooking{1, 100 * kMs});
  CHECK(quota.Serve({0, kPatience}, 2, kStart) == QuotaBooking{2, 200 * kMs});
  CHECK(claim_at(1, 100 * kMs) == QuotaBooking{});
  CHECK(claim_at(1, 140 * kMs) == QuotaBooking{});
  CHECK(claim_at(1, 110 * kMs + QuotaBounds{}.ClaimHold()).wait > Duration{0});
  // The second caller's credit is still its own, and there was one credit for the first.
  CHECK(claim_at(2, 200 * kMs) == QuotaBooking{});
  CHECK(quota.TakeFree(9, kStart + 200 * kMs) == 0);
}

// Guards against a new owner that takes another's promise for a credit.
TEST_CASE("a new owner knows no bookings: who claims one is served or booked like any other") {
  const Team team = Limited(10, 20);
  const QuotaBounds two_credits{Duration{5'000'000}, 0, 12};
  QuotaOwner owner(kStart, two_credits);
  const QuotaGrant grant =
      owner.Grant(LastTries({{77, kPatience}, {78, kPatience}, {79, kPatience}}), team, kStart);
  CHECK(grant.credits == 2);
  REQUIRE(grant.bookings.size() == 3);
  CHECK(grant.bookings[2].booking != 0);
  CHECK(grant.bookings[2].wait == 100 * kMs);
  owner.Reset(kStart + kMs);
  CHECK(owner.Grant(LastTries({{grant.bookings[2].booking, kPatience}}), team, kStart + kMs)
            .credits == 1);
}

// Guards against bookings of credits that a small bucket can't keep.
TEST_CASE("a team without a burst has no bookings") {
  const Team team = Limited(10, 0);
  QuotaOwner owner = EmptyOwner();
  const QuotaGrant grant = owner.Grant(LastTries({{0, kPatience}}), team, kStart);
  REQUIRE(grant.bookings.size() == 1);
  CHECK(grant.bookings[0].booking == 0);
}

// Guards against an entry that grows the state of an owner without limit.
TEST_CASE("the bookings of a team are bounded") {
  OwnedQuota quota({}, 0, kStart);
  const Team team = Limited(2'000, 2'000);
  quota.Update(team, 0, kStart);
  for (int i = 0; i < 1'000; ++i) (void)quota.BookReturns(1'000'000, kStart);
  std::uint64_t id = 0;
  for (int i = 0; i < 10'000; ++i) (void)quota.Serve({0, std::chrono::hours(1)}, ++id, kStart);
  CHECK(quota.bookings() == OwnedQuota::kMaxBookings);
}

// Guards against bookings that are never served after the limit was lowered.
TEST_CASE("after a limit was lowered, the callers who wait come later, or are refused in time") {
  QuotaOwner owner = EmptyOwner();
  const QuotaGrant booked =
      owner.Grant(LastTries({{0, kPatience}, {0, kPatience}}), Limited(10, 20), kStart);
  const Team lowered = Limited(1, 1);
  const Time due = kStart + 200 * kMs;
  const QuotaGrant later = owner.Grant(LastTries({{booked.bookings[0].booking, 2'000 * kMs},
                                                  {booked.bookings[1].booking, 200 * kMs}}),
                                       lowered, due);
  REQUIRE(later.bookings.size() == 2);
  CHECK(later.bookings[0] == QuotaBooking{booked.bookings[0].booking, 800 * kMs});
  CHECK(later.bookings[1].booking == 0);
  CHECK(owner.counts() == BookingCounts{2, 0, 0, 1});
}

// --- Entry -------------------------------------------------------------------------

TEST_CASE("a booked caller waits at its entry, which asks again at the booked time") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(10, 10);
  const QuotaRequest first = BookOne(client, team);
  CHECK(first.wanted == 1);
  REQUIRE(first.last_tries.size() == 1);
  CHECK(first.last_tries[0] == QuotaLastTry{0, kPatience});
  client.ApplyTimeouts(kStart + 499 * kMs);
  CHECK(client.TakeRequests().empty());
  client.ApplyTimeouts(kStart + 500 * kMs);
  const QuotaRequest claim = TheRequest(client);
  REQUIRE(claim.last_tries.size() == 1);
  CHECK(claim.last_tries[0] == QuotaLastTry{7, kPatience - 500 * kMs});
  client.OnGrant(Answer(claim, 1, {{}}), kStart + 502 * kMs);
  const std::vector<quota::Decision> decisions = client.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(IsOk(decisions[0].result));
  CHECK(decisions[0].booked);
  CHECK_FALSE(client.has_waiting());
}

TEST_CASE("a caller whom the owner refuses for good is told so at once") {
  QuotaClient client{QuotaBounds{}};
  (void)client.Admit(Limited(10, 10), kEntries, LastTry(1), kStart);
  client.OnGrant(Answer(TheRequest(client), 0, {{0, 4'000 * kMs}}), kStart + 2 * kMs);
  const std::vector<quota::Decision> decisions = client.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  REQUIRE_FALSE(IsOk(decisions[0].result));
  CHECK(ErrorOf(decisions[0].result).kind == ErrorKind::kTeamLimit);
  CHECK(ErrorOf(decisions[0].result).ran == Ran::kNo);
}

// Guards against a refusal that a last try inherits from the first tries before it.
TEST_CASE("a last try asks the owner also while first tries are refused") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(10, 10);
  (void)client.Admit(team, kEntries, {1, kPatience}, kStart);
  QuotaGrant refused = Answer(TheRequest(client), 0, {});
  refused.time_to_next = refused.credit_interval = 100 * kMs;
  client.OnGrant(refused, kStart);
  CHECK(std::holds_alternative<Error>(client.Admit(team, kEntries, {2, kPatience}, kStart + kMs)));
  CHECK(std::holds_alternative<quota::Pending>(
      client.Admit(team, kEntries, LastTry(3), kStart + kMs)));
  CHECK(TheRequest(client).last_tries.size() == 1);
}

// Guards against a caller that is held past its deadline.
TEST_CASE("a caller is refused when its patience ends, whatever the owner promised") {
  QuotaClient client{QuotaBounds{}};
  (void)client.Admit(Limited(10, 10), kEntries, LastTry(1, 400 * kMs), kStart);
  client.OnGrant(Answer(TheRequest(client), 0, {{7, 500 * kMs}}), kStart);
  client.ApplyTimeouts(kStart + 399 * kMs);
  CHECK(client.TakeDecisions().empty());
  client.ApplyTimeouts(kStart + 400 * kMs);
  const std::vector<quota::Decision> decisions = client.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK_FALSE(IsOk(decisions[0].result));
}

// Guards against credits that are lost with a caller.
TEST_CASE("a caller who leaves while it waits gives its place up, and its credit is for others") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(10, 10);
  (void)client.Admit(team, kEntries, LastTry(1), kStart);
  const QuotaRequest asked = TheRequest(client);
  client.Cancel(team.name, 1);
  CHECK_FALSE(client.has_waiting());
  client.OnGrant(Answer(asked, 1, {{}}), kStart + 2 * kMs);
  CHECK(client.TakeDecisions().empty());
  CHECK(std::holds_alternative<quota::Admitted>(
      client.Admit(team, kEntries, LastTry(2), kStart + 3 * kMs)));
}

// Guards against one credit that is spent twice because the claim was repeated.
TEST_CASE("a credit that is granted to a claim and to its repetition is spent once") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(10, 10);
  (void)BookOne(client, team);
  const Time due = kStart + 500 * kMs;
  client.ApplyTimeouts(due);
  const QuotaRequest claim = TheRequest(client);
  client.ApplyTimeouts(due + QuotaClient::kRetryInterval);
  const QuotaRequest again = TheRequest(client);
  client.OnGrant(Answer(again, 1, {{}}), due + 42 * kMs);
  CHECK(client.TakeDecisions().size() == 1);
  client.OnGrant(Answer(claim, 1, {{}}), due + 43 * kMs);
  CHECK(std::holds_alternative<quota::Pending>(
      client.Admit(team, kEntries, LastTry(2), due + 44 * kMs)));
}

// Guards against a lost datagram that costs a caller its credit.
TEST_CASE("a claim that is lost is sent again") {
  QuotaClient client{QuotaBounds{}};
  (void)BookOne(client, Limited(10, 10));
  client.ApplyTimeouts(kStart + 500 * kMs);
  (void)TheRequest(client);  // lost
  client.ApplyTimeouts(kStart + 500 * kMs + QuotaClient::kRetryInterval);
  const QuotaRequest again = TheRequest(client);
  REQUIRE(again.last_tries.size() == 1);
  CHECK(again.last_tries[0].booking == 7);
}

// Guards against a caller that is sent away because the owner of its booking was killed, stopped
// or cut off.
TEST_CASE("while the owner is silent a booked caller goes on waiting, and asks the next owner") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(10, 10);
  (void)BookOne(client, team, kNoFallback);
  client.ApplyTimeouts(kStart + 500 * kMs);
  (void)client.TakeRequests();
  client.ApplyTimeouts(kStart + 500 * kMs + QuotaClient::kOwnerTimeout);
  CHECK(client.TakeDecisions().empty());
  CHECK(client.has_waiting());
  (void)client.TakeRequests();
  client.OnOwnerChanged(team.name);
  client.ApplyTimeouts(kStart + 1'000 * kMs);
  const QuotaRequest asked = TheRequest(client);
  REQUIRE(asked.last_tries.size() == 1);
  CHECK(asked.last_tries[0].booking == 0);
  client.OnGrant(Answer(asked, 1, {{}}), kStart + 1'002 * kMs);
  REQUIRE(client.TakeDecisions().size() == 1);
}

TEST_CASE("while the owner is silent a booked caller may use the entry's own share") {
  QuotaClient client{QuotaBounds{}};
  (void)BookOne(client, Limited(10, 10));
  client.ApplyTimeouts(kStart + 500 * kMs);
  client.ApplyTimeouts(kStart + 500 * kMs + QuotaClient::kOwnerTimeout);
  const std::vector<quota::Decision> decisions = client.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(IsOk(decisions[0].result));
}

// Guards against a credit of an owner that was frozen, spent after its time.
TEST_CASE("a grant that arrives after its credits expired serves no booked caller") {
  const QuotaBounds bounds;
  QuotaClient client{bounds};
  (void)client.Admit(Limited(10, 10), kNoFallback, LastTry(1), kStart);
  const QuotaRequest asked = TheRequest(client);
  client.OnGrant(Answer(asked, 1, {{}}), kStart + bounds.CreditLifetime());
  CHECK(client.TakeDecisions().empty());
  const QuotaRequest again = TheRequest(client);
  CHECK(again.returned == 1);
  CHECK(again.last_tries.size() == 1);
}

// Guards against callers who are refused by owners of the version before.
TEST_CASE("an owner that makes no bookings serves last tries like first ones") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(10, 10);
  (void)client.Admit(team, kEntries, LastTry(1), kStart);
  client.OnGrant(Answer(TheRequest(client), 1, {}), kStart);
  const std::vector<quota::Decision> decisions = client.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(IsOk(decisions[0].result));
}
