#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "figmill/online.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

const Time kStart{Duration{1'000'000}};
const ServiceName kService{"note-llm"};

Member Agent(int index, const std::string& data_centre = "north/a") {
  Member member;
  member.node = {"a" + std::to_string(index)};
  member.role = Role::kAgent;
  member.incarnation = 1;
  member.data_centre = {data_centre};
  member.http = {"127.0.0.1", static_cast<std::uint16_t>(9000 + index)};
  member.serves = {kService};
  return member;
}

RoutingSnapshot Fleet(int agents) {
  RoutingSnapshot snapshot;
  snapshot.config = std::make_shared<Config>();
  for (int i = 0; i < agents; ++i) snapshot.members.push_back(Agent(i));
  return snapshot;
}

struct RouterFixture {
  explicit RouterFixture(const RoutingSnapshot& snapshot, const std::string& self = "e0")
      : router(MakeRouter(self)) {
    router.Update(snapshot, kStart);
  }
  Router MakeRouter(const std::string& self) {
    return {NodeId{self}, DataCentre{"north/a"}, [this] { return random(); }};
  }
  // Sends `n` requests that stay in flight; returns their number by agent.
  std::map<std::string, int> Send(int n, Time now, std::string_view prefix = {}) {
    std::map<std::string, int> to;
    for (int i = 0; i < n; ++i) {
      const auto endpoint = router.Choose({kService, prefix, 256, {}}, now);
      REQUIRE(IsOk(endpoint));
      ++to[ValueOf(endpoint).node.value];
      router.RecordDispatch(ValueOf(endpoint).node, 256);
    }
    return to;
  }
  std::mt19937_64 random{1};
  Router router;
};

}  // namespace

TEST_CASE(
    "each entry has a bounded set of candidates, and all entries together load agents evenly") {
  const RoutingSnapshot fleet = Fleet(100);
  std::map<std::string, int> to;
  for (int entry = 0; entry < 60; ++entry) {
    RouterFixture fixture(fleet, "e" + std::to_string(entry));
    CHECK(fixture.router.candidates(kService) <= Router::kSubsetSize);
    for (const auto& [node, n] : fixture.Send(32, kStart)) to[node] += n;
  }
  CHECK(to.size() == 100);
  for (const auto& [node, n] : to) CHECK(n < 4 * 60 * 32 / 100);
}

TEST_CASE(
    "leaving, drained and dead agents are removed at once, suspect ones unless there is no other") {
  RoutingSnapshot fleet = Fleet(5);
  fleet.members[0].leaving = true;
  fleet.members[1].liveness = Liveness::kDead;
  fleet.members[2].liveness = Liveness::kSuspect;
  auto config = std::make_shared<Config>();
  config->backends[{"a3"}].drained = true;
  fleet.config = config;
  RouterFixture fixture(fleet);
  CHECK(fixture.Send(50, kStart).size() == 1);
  fleet.members[4].leaving = true;
  fixture.router.Update(fleet, kStart);
  CHECK(fixture.Send(50, kStart).begin()->first == "a2");
  fleet.members[2].liveness = Liveness::kDead;
  fixture.router.Update(fleet, kStart);
  CHECK_FALSE(IsOk(fixture.router.Choose({kService, {}, 1, {}}, kStart)));
}

TEST_CASE("a prefix stays with its owner until the owner's load is far above the mean") {
  RouterFixture fixture(Fleet(8));
  constexpr std::string_view kPrefix = "you are an agronomist";
  const std::string owner = fixture.Send(1, kStart, kPrefix).begin()->first;
  for (int i = 0; i < 20; ++i) {
    fixture.router.RecordAttemptEnd({owner}, 256, AttemptEnd::kAnswered, std::nullopt, kStart);
    CHECK(fixture.Send(1, kStart, kPrefix).begin()->first == owner);
  }
  const auto many = fixture.Send(79, kStart, kPrefix);
  CHECK(many.size() * Router::kBoundedLoad >= 8);
  for (const auto& [node, n] : many) CHECK(n <= 15);
}

TEST_CASE("an agent without a load report isn't assumed to be idle") {
  // Guards against one slow agent that attracts the load of every entry, so that first tokens
  // take seconds at the 99th percentile. All agents but one report the requests of other
  // entries; the slow one's answers, and its load reports with them, don't arrive. Without a
  // report an agent was taken for idle.
  RouterFixture fixture(Fleet(4));
  for (const char* node : {"a1", "a2", "a3"}) {
    fixture.router.RecordLoad({node}, {.online_running = 10}, kStart);
  }
  CHECK(fixture.Send(40, kStart)["a0"] <= 15);
}

TEST_CASE("another data centre is used when the load difference exceeds the cost of the distance") {
  RoutingSnapshot fleet = Fleet(2);
  fleet.members.push_back(Agent(2, "north/b"));
  fleet.members.push_back(Agent(3, "south/a"));
  RouterFixture fixture(fleet);
  const auto light = fixture.Send(2, kStart);
  CHECK_FALSE(light.contains("a2"));
  const auto heavy = fixture.Send(30, kStart);
  CHECK(heavy.contains("a2"));
  CHECK_FALSE(heavy.contains("a3"));
}

TEST_CASE("a new agent gets a slow start, failing ones are ejected, and at most half of them") {
  // Guards against two failures: a third of the requests fail for minutes while one agent is
  // broken, because failures aren't remembered; and a fault of all agents puts all the load on
  // one of them, because ejection has no lower bound on the remaining agents. Agents answer
  // nothing; each failure is reported to the router.
  RoutingSnapshot fleet = Fleet(4);
  RouterFixture fixture(fleet);
  fleet.members.push_back(Agent(4));
  fixture.router.Update(fleet, kStart);
  CHECK(fixture.Send(100, kStart)["a4"] < 10);

  RouterFixture failing(fleet);
  const auto fail = [&](const char* node, Time now) {
    failing.router.RecordAttemptEnd({node}, 0, AttemptEnd::kFailed, std::nullopt, now);
  };
  for (int i = 0; i < Router::kFailuresToEject; ++i) fail("a0", kStart);
  CHECK(failing.Send(50, kStart).size() == 4);
  CHECK(failing.router.ejected(kStart) == 1);
  for (const char* node : {"a1", "a2", "a3", "a4"}) {
    for (int i = 0; i < Router::kFailuresToEject; ++i) fail(node, kStart);
  }
  CHECK(failing.Send(50, kStart).size() >= 3);
  const Time back = kStart + Router::kFirstEjection + Router::kSlowStart;
  CHECK(failing.Send(200, back).size() == 5);
  fail("a0", back);  // one more failure is enough after an ejection
  CHECK(failing.router.ejected(back) == 1);
}

TEST_CASE("the failure of a third of the agents doesn't multiply load") {
  // Guards against overload of the remaining servers after a third of them fail. Agents a0..a3
  // of twelve answer nothing and never start the work; every request of 40 entries is
  // repeatable. Without a retry budget and without a record of failures, each failed request is
  // sent again.
  const RoutingSnapshot fleet = Fleet(12);
  int requests = 0, attempts = 0, answered = 0;
  for (int entry = 0; entry < 40; ++entry) {
    RouterFixture fixture(fleet, "e" + std::to_string(entry));
    RetryBudget budget;
    Time now = kStart;
    const AgentLookup lookup{
        [&](const RequestPlan& plan, std::span<const NodeId> tried, Time at) {
          return fixture.router.Choose({plan.service, {}, plan.tokens, tried}, at);
        },
        [&](const NodeId& node) { return fixture.router.Find(node); }};
    for (int i = 0; i < 600; ++i) {
      now += Duration{100'000};
      RequestPlan plan;
      plan.request = {"r" + std::to_string(i)};
      plan.service = kService;
      plan.deadline = now + Duration{10'000'000};
      RequestStateMachine run(plan, lookup, budget, [&] { return fixture.random(); });
      std::vector<RequestAction> actions = run.On(event::Start{}, now);
      while (!actions.empty()) {
        std::vector<RequestAction> next;
        for (const RequestAction& action : actions) {
          if (const auto* over = std::get_if<action::EndCall>(&action)) {
            fixture.router.RecordAttemptEnd(over->to.node, 1, over->end, over->error, now);
          }
          if (const auto* dispatch = std::get_if<action::Dispatch>(&action)) {
            fixture.router.RecordDispatch(dispatch->to.node, 1);
            const bool broken =
                std::set<std::string>{"a0", "a1", "a2", "a3"}.contains(dispatch->to.node.value);
            if (broken) {
              next = run.On(event::CallFailed{dispatch->call, false, "no connection"}, now);
            } else {
              static_cast<void>(
                  run.On(event::Head{dispatch->call, 200, "", dispatch->request}, now));
              next = run.On(event::End{dispatch->call, 0, 1, 0}, now);
            }
          }
          if (std::holds_alternative<action::Finish>(action)) ++answered;
        }
        actions = std::move(next);
      }
      ++requests;
      attempts += static_cast<int>(run.attempts());
    }
  }
  MESSAGE("attempts / requests: " << static_cast<double>(attempts) / requests
                                  << ", answered: " << static_cast<double>(answered) / requests);
  CHECK(attempts <= 1.1 * requests);
  CHECK(answered >= 0.97 * requests);
}

// Guards against spreading a load that a few engines could hold within their online marks:
// batch then got 6 in 100 of the capacity that online left. With online streams spread evenly,
// each engine always has a few, and beside any online stream batch may increase the token gap
// only by a small fraction.
TEST_CASE("online streams go to the fewest agents that can hold them, the same at every entry") {
  RoutingSnapshot fleet = Fleet(10);
  auto config = std::make_shared<Config>();
  config->services[kService].kind = ServiceKind::kModel;
  fleet.config = config;
  std::set<std::string> used;
  for (const char* self : {"e0", "e1", "e2"}) {
    RouterFixture fixture(fleet, self);
    for (int i = 0; i < 10; ++i) {
      fixture.router.RecordLoad(Agent(i).node, {.online_running = 0, .online_mark = 20}, kStart);
    }
    const auto to = fixture.Send(30, kStart);
    CHECK(to.size() == 2);
    for (const auto& [node, n] : to) {
      CHECK(n <= 20 + 1);
      used.insert(node);
    }
    const auto more = fixture.Send(300, kStart);
    CHECK(more.size() == 10);  // beyond all marks, every agent is used
  }
  CHECK(used.size() == 2);
}
