#include "figmill/quota.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

#include "figmill/peer_messages.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{100'000'000}};
constexpr Duration kMs{1'000};
const QuotaClient::Entries kEntries{10, true};

Team Limited(double rate, double burst) {
  Team team;
  team.name.value = "rye";
  team.requests_per_second = rate;
  team.burst = burst;
  return team;
}

QuotaRequest CreditRequest(std::uint32_t wanted, std::uint32_t returned = 0) {
  return {1, TeamId{"rye"}, wanted, returned};
}

QuotaClient::Request Request(std::uint64_t ticket) {
  return {ticket, Duration{5'000'000}};
}

bool IsAdmitted(const quota::AdmitResult& result) {
  return std::holds_alternative<quota::Admitted>(result);
}
bool IsPending(const quota::AdmitResult& result) {
  return std::holds_alternative<quota::Pending>(result);
}

QuotaGrant GrantFor(const QuotaRequest& request, std::uint32_t credits,
                    Duration time_to_next = Duration{0}) {
  return {request.number, request.team, true, credits, time_to_next, time_to_next};
}

}  // namespace

// --- Owner -------------------------------------------------------------------------

TEST_CASE("an owner grants the burst and then the rate") {
  QuotaOwner owner(kStart);
  const Team team = Limited(10, 20);
  const Time later = kStart + std::chrono::seconds(60);
  CHECK(owner.Grant(CreditRequest(20), team, later).credits == 20);
  const QuotaGrant none = owner.Grant(CreditRequest(1), team, later);
  CHECK(none.credits == 0);
  CHECK(none.time_to_next == 100 * kMs);
  CHECK(none.credit_interval == 100 * kMs);
  CHECK(owner.Grant(CreditRequest(9), team, later + 500 * kMs).credits == 5);
}

// Guards against granting a whole burst from each entry that becomes the owner.
TEST_CASE("a new owner grants what the bound leaves, and no burst") {
  QuotaOwner owner(kStart);
  const Team team = Limited(10, 100);
  // (10 x 5 + 100) x 1.1 + 20 are allowed in a window, and 10 x 5.25 + 100 may have been granted;
  // six owners may have followed each other.
  constexpr std::uint32_t kInitial = 5;  // (185 - 152.5) / 6 in whole credits
  CHECK(owner.Grant(CreditRequest(100), team, kStart).credits == kInitial);
  owner.OnEntriesChanged([](const TeamId&) { return true; }, kStart + std::chrono::seconds(60));
  CHECK(owner.Grant(CreditRequest(500), team, kStart + std::chrono::seconds(60)).credits == 100);
  owner.OnEntriesChanged([](const TeamId&) { return false; }, kStart + std::chrono::seconds(60));
  CHECK(owner.Grant(CreditRequest(100), team, kStart + std::chrono::seconds(60)).credits ==
        kInitial);
  owner.Reset(kStart + std::chrono::seconds(90));
  CHECK(owner.Grant(CreditRequest(100), team, kStart + std::chrono::seconds(90)).credits ==
        kInitial);
}

// Guards against initial credits where the bound leaves none.
TEST_CASE("a new owner starts empty under a bound without slack") {
  CHECK(QuotaBounds{Duration{5'000'000}, 0, 0}.InitialCredits(Limited(10, 100)) == 0);
}

TEST_CASE("credits that an entry returns are granted again, up to the burst") {
  QuotaOwner owner(kStart);
  const Team team = Limited(1, 10);
  const Time later = kStart + std::chrono::seconds(60);
  CHECK(owner.Grant(CreditRequest(10), team, later).credits == 10);
  CHECK(owner.Grant(CreditRequest(10, 4), team, later).credits == 4);
  CHECK(owner.Grant(CreditRequest(50, 40), team, later).credits == 10);
}

TEST_CASE("an owner grants no more than the burst at once") {
  QuotaOwner owner(kStart);
  const QuotaGrant grant =
      owner.Grant(CreditRequest(30), Limited(10, 20), kStart + std::chrono::seconds(60));
  CHECK(grant.credits == 20);
  CHECK(grant.time_to_next == 100 * kMs);
}

TEST_CASE("a lowered limit applies to all later grants") {
  QuotaOwner owner(kStart);
  const Time later = kStart + std::chrono::seconds(60);
  CHECK(owner.Grant(CreditRequest(1), Limited(100, 100), later).credits == 1);
  CHECK(owner.Grant(CreditRequest(90), Limited(1, 5), later).credits == 5);
}

TEST_CASE("a team with a rate below one request a second may make one from time to time") {
  QuotaOwner owner(kStart);
  const Team team = Limited(0.1, 0);
  CHECK(owner.Grant(CreditRequest(1), team, kStart + std::chrono::seconds(20)).credits == 1);
  CHECK(owner.Grant(CreditRequest(1), team, kStart + std::chrono::seconds(21)).credits == 0);
  CHECK(owner.Grant(CreditRequest(1), team, kStart + std::chrono::seconds(31)).credits == 1);
}

// --- Entry -------------------------------------------------------------------------

TEST_CASE("no credits are requested for a team without a limit") {
  QuotaClient client{QuotaBounds{}};
  CHECK(IsAdmitted(client.Admit(Limited(0, 0), kEntries, Request(1), kStart)));
  CHECK(client.TakeRequests().empty());
  CHECK(client.tracked() == 0);
}

TEST_CASE("requests that arrive before a grant share the next request to the owner") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(10, 10);
  CHECK(IsPending(client.Admit(team, kEntries, Request(1), kStart)));
  const std::vector<QuotaRequest> first = client.TakeRequests();
  REQUIRE(first.size() == 1);
  CHECK(IsPending(client.Admit(team, kEntries, Request(2), kStart)));
  CHECK(IsPending(client.Admit(team, kEntries, Request(3), kStart)));
  CHECK(client.TakeRequests().empty());
  client.OnGrant(GrantFor(first[0], 1), kStart + 2 * kMs);
  REQUIRE(client.TakeDecisions().size() == 1);
  const std::vector<QuotaRequest> second = client.TakeRequests();
  REQUIRE(second.size() == 1);
  CHECK(second[0].wanted >= 2);
}

// Guards against a process that was stopped after a grant and then spends its credits.
TEST_CASE("credits that are not spent in time are returned to the owner") {
  const QuotaBounds bounds;
  QuotaClient client{bounds};
  const Team team = Limited(100, 100);
  (void)client.Admit(team, kEntries, Request(1), kStart);
  client.OnGrant(GrantFor(client.TakeRequests()[0], 4), kStart + 2 * kMs);
  CHECK(client.TakeDecisions().size() == 1);
  CHECK(IsAdmitted(client.Admit(team, kEntries, Request(2), kStart + 3 * kMs)));
  CHECK(IsPending(client.Admit(team, kEntries, Request(3), kStart + bounds.CreditLifetime())));
  CHECK(client.TakeRequests()[0].returned == 2);
}

TEST_CASE("a request that was refused and has not run is refunded if it was charged recently") {
  const QuotaBounds bounds;
  QuotaClient client{bounds};
  const Team team = Limited(100, 100);
  (void)client.Admit(team, kEntries, Request(1), kStart);
  client.OnGrant(GrantFor(client.TakeRequests()[0], 1), kStart);
  client.Refund(team.name, kStart, kStart + 10 * kMs);
  client.Refund(team.name, kStart, kStart + bounds.CreditLifetime());
  (void)client.Admit(team, kEntries, Request(2), kStart + std::chrono::seconds(1));
  CHECK(client.TakeRequests()[0].returned == 1);
}

TEST_CASE("callers over the limit are told at once when to retry, at increasing times") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(10, 10);
  for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
    (void)client.Admit(team, {1, true}, Request(ticket), kStart);
  }
  client.OnGrant(GrantFor(client.TakeRequests()[0], 0, 100 * kMs), kStart + 2 * kMs);
  const std::vector<quota::Decision> refused = client.TakeDecisions();
  REQUIRE(refused.size() == 3);
  for (const quota::Decision& decision : refused) {
    REQUIRE_FALSE(IsOk(decision.result));
    const Error& error = ErrorOf(decision.result);
    CHECK(error.kind == ErrorKind::kTeamLimit);
    CHECK(error.ran == Ran::kNo);
    REQUIRE(error.retry_after);
    CHECK(*error.retry_after >= 100 * kMs);
  }
  // No credits are requested for the next one until a credit may be available.
  const quota::AdmitResult next = client.Admit(team, {1, true}, Request(4), kStart + 10 * kMs);
  CHECK(std::holds_alternative<Error>(next));
  CHECK(client.TakeRequests().empty());
}

// Guards against one lost datagram that delays all later requests until the next timeout.
TEST_CASE("a lost request to the owner is sent again, and does not delay later ones") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(100, 100);
  (void)client.Admit(team, kEntries, Request(1), kStart);
  CHECK(client.TakeRequests().size() == 1);  // lost
  client.ApplyTimeouts(kStart + QuotaClient::kRetryInterval);
  const std::vector<QuotaRequest> again = client.TakeRequests();
  REQUIRE(again.size() == 1);
  client.OnGrant(GrantFor(again[0], 1), kStart + QuotaClient::kRetryInterval + 2 * kMs);
  CHECK(client.TakeDecisions().size() == 1);
  CHECK(IsPending(
      client.Admit(team, kEntries, Request(2), kStart + 2 * QuotaClient::kRetryInterval)));
  CHECK(client.TakeRequests().size() == 1);
}

TEST_CASE("while the owner doesn't respond, an entry admits its own share and probes the owner") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(2, 2);
  (void)client.Admit(team, kEntries, Request(1), kStart);
  (void)client.Admit(team, kEntries, Request(2), kStart);
  CHECK(client.TakeRequests().size() == 1);
  const Time late = kStart + QuotaClient::kOwnerTimeout;
  client.ApplyTimeouts(late);
  const std::vector<quota::Decision> decisions = client.TakeDecisions();
  REQUIRE(decisions.size() == 2);
  CHECK(IsOk(decisions[0].result));
  REQUIRE_FALSE(IsOk(decisions[1].result));
  CHECK(ErrorOf(decisions[1].result).kind == ErrorKind::kNoBackend);
  CHECK(ErrorOf(decisions[1].result).ran == Ran::kNo);
  const quota::AdmitResult at_once = client.Admit(team, kEntries, Request(3), late + kMs);
  CHECK(std::holds_alternative<Error>(at_once));
  (void)client.Admit(team, kEntries, Request(4), late + QuotaClient::kOwnerProbeInterval);
  const std::vector<QuotaRequest> requests = client.TakeRequests();
  REQUIRE(requests.size() == 1);
  client.OnGrant(GrantFor(requests[0], 1), late + QuotaClient::kOwnerProbeInterval + 2 * kMs);
  CHECK(IsAdmitted(
      client.Admit(team, kEntries, Request(5), late + QuotaClient::kOwnerProbeInterval + 3 * kMs)));
}

// Guards against entries that each admit one request, of which a fleet may have hundreds.
TEST_CASE("only some entries may admit requests of a small team on their own") {
  QuotaClient client{QuotaBounds{}};
  (void)client.Admit(Limited(1, 1), {300, false}, Request(1), kStart);
  client.ApplyTimeouts(kStart + QuotaClient::kOwnerTimeout);
  const std::vector<quota::Decision> decisions = client.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK_FALSE(IsOk(decisions[0].result));
  CHECK(QuotaBounds{}.FallbackEntries() == 10);
}

TEST_CASE("a grant of an entry that is not the owner is not taken as a refusal") {
  QuotaClient client{QuotaBounds{}};
  const Team team = Limited(100, 100);
  (void)client.Admit(team, kEntries, Request(1), kStart);
  QuotaGrant grant = GrantFor(client.TakeRequests()[0], 0);
  grant.owned = false;
  client.OnGrant(grant, kStart + 2 * kMs);
  REQUIRE(client.TakeDecisions().size() == 1);
  client.OnOwnerChanged(team.name);
  CHECK(IsPending(client.Admit(team, kEntries, Request(2), kStart + 3 * kMs)));
}

// --- Messages ----------------------------------------------------------------------

TEST_CASE("requests and grants of credits are decoded as they were encoded") {
  PeerMessage message;
  message.from = {NodeId{"a"}, 1, Address{"10.0.0.1", 1}, DataCentre{"dc"}, 1, false};
  message.quota_request = QuotaRequest{7, TeamId{"rye"}, 3, 2};
  message.quota_grant = QuotaGrant{8, TeamId{"rye"}, true, 5, 20 * kMs, 10 * kMs};
  const Result<PeerMessage> back = DecodePeerMessage(Encode(message));
  REQUIRE(IsOk(back));
  CHECK(std::get<PeerMessage>(back).quota_request == message.quota_request);
  CHECK(std::get<PeerMessage>(back).quota_grant == message.quota_grant);
  message.quota_grant.reset();
  CHECK_FALSE(std::get<PeerMessage>(DecodePeerMessage(Encode(message))).quota_grant);
}

// Guards against datagrams that grow, or that entries of an earlier version can't read.
TEST_CASE("only messages of last tries have their elements, and more than allowed are rejected") {
  PeerMessage message;
  message.from = {NodeId{"a"}, 1, Address{"10.0.0.1", 1}, DataCentre{"dc"}, 1, false};
  message.quota_request = QuotaRequest{7, TeamId{"rye"}, 3, 2, {}};
  message.quota_grant = QuotaGrant{8, TeamId{"rye"}, true, 5, 20 * kMs, 10 * kMs, {}};
  const std::string plain = Encode(message);
  message.quota_request->last_tries = {{0, 900 * kMs}, {12, 300 * kMs}};
  message.quota_grant->bookings = {{13, 40 * kMs}, {}};
  const std::string full = Encode(message);
  const Result<PeerMessage> back = DecodePeerMessage(full);
  REQUIRE(IsOk(back));
  CHECK(std::get<PeerMessage>(back).quota_request == message.quota_request);
  CHECK(std::get<PeerMessage>(back).quota_grant == message.quota_grant);
  CHECK(plain.size() + 2 < full.size());
  // [number, "rye", wanted, returned] and nothing more.
  CHECK(plain.find(std::string("\x94\x07\xa3rye\x03\x02", 8)) != std::string::npos);
  CHECK(plain.find(std::string("\x96\x08\xa3rye\xc3\x05", 8)) != std::string::npos);

  message.quota_request->last_tries.assign(kMaxQuotaLastTries, {1ULL << 40, kMs});
  CHECK(IsOk(DecodePeerMessage(Encode(message))));
  CHECK(Encode(message).size() <= kMaxPeerMessageBytes);
  message.quota_request->last_tries.push_back({});
  CHECK_FALSE(IsOk(DecodePeerMessage(Encode(message))));
  message.quota_request->last_tries.clear();
  message.quota_grant->bookings = {{1, std::chrono::hours(25)}};
  CHECK_FALSE(IsOk(DecodePeerMessage(Encode(message))));
}
