#include <doctest/doctest.h>

#include <map>

#include "figmill/batch.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using namespace std::chrono_literals;

namespace {

const ServiceName kModel{"m"};
constexpr Time kNow{Duration{1'000'000}};

ReadyItem Item(const std::string& team, const std::string& job, std::uint32_t index,
               std::uint32_t cost = 100, int due_s = 0) {
  return ReadyItem{JobId{job}, index, TeamId{team}, WallTime(std::chrono::seconds(due_s)), kModel,
                   cost,       {}};
}

ItemScheduler MakeScheduler(const std::vector<std::string>& agents, std::uint32_t free_slots) {
  ItemScheduler scheduler;
  std::vector<BatchAgent> list;
  list.reserve(agents.size());
  for (const std::string& name : agents) list.push_back(BatchAgent{NodeId{name}, 1, {kModel}});
  scheduler.SetAgents(list);
  for (const std::string& name : agents) scheduler.OnFreeSlots(NodeId{name}, 2 * free_slots);
  return scheduler;
}

}  // namespace

TEST_CASE("teams get equal shares of tokens, regardless of queue and item length") {
  // Guards against a team with a job of 150,000 items, or with long items, that blocks
  // the other teams until it is done.
  ItemScheduler scheduler = MakeScheduler({"a"}, 200);
  for (std::uint32_t i = 0; i < 5000; ++i) scheduler.Add(Item("crowd", "big", i, 100));
  for (std::uint32_t i = 0; i < 500; ++i) scheduler.Add(Item("long", "l", i, 1000));
  for (std::uint32_t i = 0; i < 500; ++i) scheduler.Add(Item("small", "s", i, 100));
  std::map<std::string, std::uint64_t> tokens;
  for (int i = 0; i < 200; ++i) {
    const auto next = scheduler.Next(kNow);
    REQUIRE(next);
    tokens[next->item.team.value] += next->item.cost;
  }
  CHECK_FALSE(scheduler.Next(kNow));  // no free slots left
  for (const auto& [team, sum] : tokens) {
    const std::string shown = team;
    CAPTURE(shown);
    CHECK(sum >= tokens["small"] * 3 / 5);
    CHECK(sum <= tokens["small"] * 5 / 3);
  }
}

TEST_CASE("within a team the job with the earliest due time is scheduled first") {
  ItemScheduler scheduler = MakeScheduler({"a"}, 10);
  scheduler.Add(Item("t", "later", 0, 10, 200));
  scheduler.Add(Item("t", "sooner", 1, 10, 100));
  scheduler.Add(Item("t", "sooner", 0, 10, 100));
  CHECK(scheduler.Next(kNow)->item.index == 0);
  CHECK(scheduler.Next(kNow)->item.job.value == "sooner");
  CHECK(scheduler.Next(kNow)->item.job.value == "later");
}

TEST_CASE("an agent that fails every item immediately doesn't attract all items") {
  // Guards against items that use up their attempts within seconds. An agent whose
  // engine is gone fails immediately, so it always has the most free slots.
  ItemScheduler scheduler = MakeScheduler({"bad", "good"}, 8);
  for (std::uint32_t i = 0; i < 1000; ++i) scheduler.Add(Item("t", "j", i, 10));
  int bad = 0;
  for (Time now = kNow; now < kNow + 4s; now += 10ms) {
    while (const auto next = scheduler.Next(now)) {
      if (next->agent.value == "bad") {
        ++bad;
        scheduler.OnFailed(next->agent, now);
      } else {
        scheduler.OnEnded(next->agent);
        if (scheduler.ReadyOf(TeamId{"t"}) < 900) break;
      }
    }
  }
  CHECK(bad >= 1);
  CHECK(bad <= 20);
}

TEST_CASE("a leaving or unknown agent gets no items, and unserved items are counted separately") {
  ItemScheduler scheduler = MakeScheduler({"a"}, 4);
  scheduler.Add(Item("t", "j", 0));
  BatchAgent leaving{NodeId{"a"}, 1, {kModel}};
  leaving.leaving = true;
  scheduler.SetAgents(std::vector{leaving});
  CHECK_FALSE(scheduler.Next(kNow));
  CHECK(scheduler.UnservedOf(JobId{"j"}) == 1);
  CHECK(scheduler.ReadyOf(TeamId{"t"}) == 0);
  scheduler.SetAgents(std::vector{BatchAgent{NodeId{"b"}, 7, {kModel}}});
  const auto next = scheduler.Next(kNow);
  REQUIRE(next);
  CHECK(next->incarnation == 7);
}
