// Shares of teams, the order of waiting requests, and what an allocator does with them.

#include "figmill/fairness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "figmill/peer_messages.h"
#include "figmill/sharing.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

const TeamId kHeavy{"heavy"};
const TeamId kLight{"light"};
const ServiceName kLlm{"llm"};
const BackendId kEngine{"engine"};
constexpr Time kStart{Duration{10'000'000}};
constexpr Time kSettled = kStart + SlotAllocator::kTakeoverDelay;

SlotRequest RequestOf(std::uint64_t number, const TeamId& team, int rank = 0) {
  SlotRequest request;
  request.number = number;
  request.service = kLlm;
  request.goal_left = Duration{300'000};
  request.time_left = Duration{5'000'000};
  request.may_queue = true;
  request.team = team;
  request.rank = rank;
  return request;
}

SlotRequestQueue::Entry EntryOf(std::uint64_t number, const TeamId& team, Duration goal_left,
                                int rank = 0) {
  return {NodeId{"entry"}, RequestOf(number, team, rank), kStart + goal_left,
          kStart + Duration{5'000'000}};
}

std::vector<std::uint64_t> PopAll(SlotRequestQueue& queue) {
  std::vector<std::uint64_t> numbers;
  while (const auto popped = queue.PopFirst(kStart, [](const auto&) { return true; })) {
    queue.OnServed(popped->request);
    numbers.push_back(popped->request.number);
  }
  return numbers;
}

// One team has just been served more than its credit, another one nothing.
void ServeHeavy(SlotRequestQueue& queue) {
  for (int i = 0; i < 20; ++i) queue.OnServed(RequestOf(0, kHeavy));
}

}  // namespace

TEST_CASE(
    "teams that always wait are served by their weights, and the lowest rank is not starved") {
  FairShares shares;
  std::map<std::string, int> served;
  for (int i = 0; i < 300; ++i) {
    const bool low_first = shares.NextStart(kLight) < shares.NextStart(kHeavy);
    shares.OnServed(low_first ? kLight : kHeavy, low_first ? 1'000'000 : 0);
    ++served[low_first ? "low" : "high"];
  }
  CHECK(served["low"] >= 99);
  CHECK(served["low"] <= 110);
  CHECK(CostOfRank(0) == kUnitCost);
  CHECK(CostOfRank(1) > CostOfRank(0));
  CHECK(CostOfRank(2) > CostOfRank(1));
}

// Guards against an allocator's memory that grows with each team that ever asked.
TEST_CASE("the number of teams that are remembered is bounded") {
  FairShares shares;
  for (int i = 0; i < 20'000; ++i) {
    shares.OnServed(TeamId{std::to_string(i)}, 0);
    REQUIRE(shares.size() <= FairShares::kMaxTeams);
  }
  ShareCounts counts;
  for (int i = 0; i < 1'000; ++i) {
    counts.Count(TeamId{std::to_string(i)}, ShareCounts::Event::kServed);
  }
  CHECK(counts.team_count() == ShareCounts::kMaxTeams + 1);
}

// Guards against the many requests of one team counting as one: each has a later tag than the one
// before it.
TEST_CASE("the waiting requests of a team take turns with those of others") {
  SlotRequestQueue queue;
  for (std::uint64_t i = 1; i <= 3; ++i) queue.Add(EntryOf(i, kHeavy, Duration(100'000 + i)));
  queue.Add(EntryOf(11, kLight, Duration{200'001}));
  CHECK(queue.CountAhead(EntryOf(12, kLight, Duration{200'002}), kStart) == 3);
  queue.Add(EntryOf(12, kLight, Duration{200'002}));
  CHECK(PopAll(queue) == std::vector<std::uint64_t>{1, 11, 2, 12, 3});
}

TEST_CASE("requests served without waiting count against a team's share") {
  SlotRequestQueue queue;
  ServeHeavy(queue);
  queue.Add(EntryOf(1, kHeavy, Duration{100'000}));
  CHECK(queue.CountAhead(EntryOf(2, kLight, Duration{200'000}), kStart) == 0);
  CHECK(queue.IsBelowShare(RequestOf(2, kLight)));
  CHECK_FALSE(queue.IsBelowShare(RequestOf(1, kHeavy)));
}

// Guards against a team losing its turn to a request that can't use the slot.
TEST_CASE("a request that can't use a slot leaves its turn to the next one of its team") {
  SlotRequestQueue queue;
  queue.Add(EntryOf(1, kHeavy, Duration{100'000}));
  queue.Add(EntryOf(2, kHeavy, Duration{110'000}));
  queue.Add(EntryOf(3, kLight, Duration{120'000}));
  const auto popped = queue.PopFirst(
      kStart, [](const SlotRequestQueue::Entry& entry) { return entry.request.number != 1; });
  REQUIRE(popped);
  CHECK(popped->request.number == 2);
}

TEST_CASE("only requests that can't wait behind a lighter team's request are displaced") {
  SlotRequestQueue queue;
  ServeHeavy(queue);
  for (std::uint64_t i = 1; i <= 3; ++i) queue.Add(EntryOf(i, kHeavy, Duration(100'000 + i)));
  const SlotRequestQueue::Entry light = EntryOf(9, kLight, Duration{200'000});
  queue.Add(light);
  const auto displaced =
      queue.TakeDisplaced(light, kStart, [](const auto&, std::size_t ahead) { return ahead <= 2; });
  REQUIRE(displaced.size() == 1);
  CHECK(displaced[0].request.number == 3);
  CHECK(PopAll(queue) == std::vector<std::uint64_t>{9, 1, 2});
}

// Guards against a changed order on deployments without teams. The reference is the order by
// deadlines alone.
TEST_CASE("without teams the order is that of the deadlines") {
  std::mt19937 random(7);
  const auto is_before = [](const SlotRequestQueue::Entry& a, const SlotRequestQueue::Entry& b) {
    const bool a_in_time = kStart < a.goal_deadline;
    const bool b_in_time = kStart < b.goal_deadline;
    if (a_in_time != b_in_time) return a_in_time;
    return a_in_time ? a.goal_deadline < b.goal_deadline : a.caller_deadline < b.caller_deadline;
  };
  for (int round = 0; round < 200; ++round) {
    SlotRequestQueue queue;
    std::vector<SlotRequestQueue::Entry> reference;
    for (std::uint64_t i = 0; i < 40; ++i) {
      SlotRequestQueue::Entry entry = EntryOf(i, {}, Duration(static_cast<int>(random() % 60) - 30),
                                              static_cast<int>(random() % 3));
      entry.caller_deadline += Duration(random() % 50);
      entry.request.service.value = random() % 2 == 0 ? "llm" : "other";
      const auto ahead = std::count_if(reference.begin(), reference.end(), [&](const auto& other) {
        return other.request.service == entry.request.service && !is_before(entry, other);
      });
      REQUIRE(queue.CountAhead(entry, kStart) == static_cast<std::size_t>(ahead));
      REQUIRE_FALSE(queue.IsBelowShare(entry.request));
      queue.Add(entry);
      REQUIRE(queue.TakeDisplaced(entry, kStart, [](const auto&, auto) { return false; }).empty());
      reference.push_back(entry);
      if (random() % 3 != 0) continue;
      const std::uint64_t unservable = random() % 40;
      const auto serve = [&](const auto& each) { return each.request.number != unservable; };
      const auto popped = queue.PopFirst(kStart, serve);
      std::sort(reference.begin(), reference.end(), is_before);
      const auto found = std::find_if(reference.begin(), reference.end(), serve);
      REQUIRE(popped.has_value() == (found != reference.end()));
      if (!popped) continue;
      REQUIRE(popped->request.number == found->request.number);
      reference.erase(found);
      queue.OnServed(popped->request);
    }
  }
}

namespace {

// An allocator whose slots are all taken, by runs that are likely to end soon.
struct Fixture {
  Fixture() {
    allocator.SetOwnedBackends({{kEngine, {kLlm, 8}}}, kStart);
    allocator.OnReport({NodeId{"a"}, 1, {}, DataCentre{"dc"}, 1, false}, true,
                       {1, 0, {}, {}, {{kEngine, 8, 0}}}, kSettled);
    (void)allocator.TakeShareSummaries(kNow);
  }
  std::vector<SlotResponse> Request(const SlotRequest& request) {
    allocator.OnRequest(NodeId{"b"}, request, kNow);
    std::vector<SlotResponse> answers;
    for (const SlotAllocator::Outgoing& out : allocator.TakeOutgoing(kNow)) {
      if (out.answer) answers.push_back(*out.answer);
    }
    return answers;
  }
  static constexpr Time kNow = kSettled + SlotAllocator::kDefaultRunTime - Duration{50'000};
  SlotAllocator allocator{0};
};

}  // namespace

// Guards against requests that are held although it is known that they can't be served in time, and
// against a light team refused because a heavy one fills the queue.
TEST_CASE("a light team's request is admitted, and the one that it displaces is refused at once") {
  Fixture f;
  std::uint64_t number = 0;
  while (f.Request(RequestOf(++number, kHeavy)).front().kind == SlotResponse::Kind::kQueued) {
  }
  REQUIRE(number > 2);
  const auto answers = f.Request(RequestOf(100, kLight));
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].number == 100);
  CHECK(answers[0].kind == SlotResponse::Kind::kQueued);
  CHECK(answers[1].number == number - 1);
  CHECK(answers[1].kind == SlotResponse::Kind::kFull);
  CHECK(answers[1].retry_after > Duration{0});
  const auto summaries =
      f.allocator.TakeShareSummaries(Fixture::kNow + SlotAllocator::kShareSummarySpan);
  REQUIRE(summaries.size() == 1);
  CHECK(summaries[0].displaced == 1);
  CHECK(summaries[0].by_team == "heavy 0/1/1/" + std::to_string(number - 2) + ", light 0/0/0/1");
}

TEST_CASE("a new allocator treats all teams alike") {
  const FairShares shares;
  CHECK(shares.NextStart(kHeavy) == shares.NextStart(kLight));
  CHECK_FALSE(shares.IsBelowShare(kLight));
}

TEST_CASE("the team and rank of a request round-trip, and one without a team has no extra byte") {
  PeerMessage message;
  message.from = {NodeId{"a"}, 1, Address{"10.0.0.1", 1}, DataCentre{"dc"}, 1, false};
  message.slot_request = RequestOf(9, kHeavy, 3);
  const Result<PeerMessage> back = DecodePeerMessage(Encode(message));
  REQUIRE(IsOk(back));
  CHECK(ValueOf(back).slot_request->team == kHeavy);
  CHECK(ValueOf(back).slot_request->rank == 3);
  const std::size_t with_team = Encode(message).size();
  message.slot_request->team = {};
  const std::string without = Encode(message);
  CHECK(with_team == without.size() + 1 + kHeavy.value.size() + 1);
  message.slot_request->rank = 0;
  CHECK(Encode(message) == without);
}
