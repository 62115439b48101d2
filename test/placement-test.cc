#include <doctest/doctest.h>

#include "test/placement-fixture.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using fake::Failure;
using fake::kSettings;
using fake::StateOf;
using fake::Wish;
using std::chrono::seconds;

namespace {

// One placer and the actions that it has asked for and not been answered.
struct Story {
  Placer placer{kSettings};
  Time now{seconds(1000)};
  std::vector<PlacerAction> actions;
  std::uint64_t number = 0;  // of the last order

  void Say(const PlacerEvent& event) {
    actions = placer.On(now, event);
    if (const auto* send = Find<SendOrder>()) number = send->number;
  }
  void Pass(Duration time) { now += time; }
  template <typename A>
  const A* Find() const {
    for (const PlacerAction& action : actions) {
      if (const A* found = std::get_if<A>(&action)) return found;
    }
    return nullptr;
  }
  template <typename A>
  const A& Only() const {
    const A* found = Find<A>();
    REQUIRE(found != nullptr);
    REQUIRE(actions.size() == 1);
    return *found;
  }
  // Up to the first look at the right, which every story starts with.
  void Begin(const DesiredPlacement& wish, const EngineState& state) {
    Say(wish);
    Only<ReadEngineState>();
    Say(EngineStateRead{state});
    Only<ReadRight>();
    Say(RightRead{true});
  }
};

}  // namespace

TEST_CASE("a model change reserves its weights, drains, orders under its sequence, reads back") {
  Story story;
  story.Begin(Wish(812, {"note-llm@2"}), StateOf({"note-llm@1"}));
  CHECK(story.Only<ReserveWeights>().object == "note-llm@2");
  story.Say(WeightsGranted{seconds(5)});
  CHECK(story.actions.empty());
  story.Pass(seconds(4));
  story.Say(PlacerTick{});
  CHECK(story.actions.empty());  // the weight store's rate is respected
  story.Pass(seconds(1));
  story.Say(PlacerTick{});
  story.Only<ReadEngineState>();  // it may have changed during the wait
  story.Say(EngineStateRead{StateOf({"note-llm@1"})});
  story.Only<BeginDrain>();
  story.Say(EngineDrained{});
  story.Only<ReadRight>();
  story.Say(RightRead{true});
  const EngineOrder unload = story.Only<SendOrder>().order;
  CHECK(unload.kind == "unload-model");
  CHECK(unload.fence == 812);
  story.Say(OrderDone{story.number});
  story.Only<ReadEngineState>();
  story.Say(EngineStateRead{StateOf({}, "mixed", 812)});
  story.Only<ReadRight>();
  story.Say(RightRead{true});
  CHECK(story.Only<SendOrder>().order.kind == "load-model");
  story.Say(OrderDone{story.number});
  story.Say(EngineStateRead{StateOf({"note-llm@2"}, "mixed", 812)});
  story.Only<EndDrain>();
  CHECK(story.placer.settled());
}

// Symptom: a role change unloads a model that traffic uses. Events: the model was
// loaded without figmill, then a role is ordered. Cause: taking what isn't named
// for unwanted.
TEST_CASE("what an order doesn't name stays on the engine") {
  DesiredPlacement wish = Wish(5, {"a@2"}, "prefill");
  wish.unwanted_models = {"c@1"};
  std::string kinds;
  for (const EngineOrder& order : OrdersFor(wish, StateOf({"a@1", "b@1", "c@1"}))) {
    kinds += order.kind + " " + order.subject + "@" + order.version + "; ";
  }
  CHECK(kinds == "unload-model a@1; unload-model c@1; role prefill@; load-model a@2; ");
}

TEST_CASE("an adapter comes without a drain") {
  Story story;
  DesiredPlacement wish = Wish(5, {"m@1"});
  wish.adapters = {"rye@3"};
  story.Begin(wish, StateOf({"m@1"}));
  story.Say(WeightsGranted{});
  story.Only<ReadRight>();
  story.Say(RightRead{true});
  CHECK(story.Only<SendOrder>().order.kind == "load-adapter");
}

// Symptom: an engine changes its role back and forth. Events: the agent asks for
// its right, is paused, its successor starts and orders; the agent wakes with
// the old answer. Cause: acting on a right that was read before the pause.
TEST_CASE("an orderer that was paused reads its right again, and changes nothing") {
  Story story;
  story.Begin(Wish(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  story.Say(EngineDrained{});
  story.Only<ReadRight>();
  story.Pass(kSettings.right_term);
  story.Say(RightRead{true});
  story.Only<ReadEngineState>();
  story.Say(EngineStateRead{StateOf({"m@1"})});
  story.Only<ReadRight>();
  story.Say(RightRead{false});
  CHECK(story.Find<SendOrder>() == nullptr);
  CHECK(story.Find<EndDrain>() != nullptr);
  story.Say(Wish(8, {"m@1"}, "decode"));
  CHECK(story.actions.empty());
}

// Symptom: as above. Events: the agent is paused after the order left its state
// machine. Cause: an order without an end to its validity.
TEST_CASE("an order may not be sent after the reading of the right has lapsed") {
  Story story;
  story.Begin(Wish(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  story.Say(EngineDrained{});
  const Time asked = story.now;
  story.Pass(seconds(3));
  story.Say(RightRead{true});
  CHECK(story.Only<SendOrder>().not_after == asked + kSettings.right_term);
}

// Symptom: a placement reverts a minute after it was made. Events: a predecessor
// gave a load and died; the engine ignores fencing and ends the load after the
// successor's orders. Cause: ordering while others' orders may still run.
TEST_CASE("at an engine that ignores fencing the first order waits for a predecessor's last") {
  Story story;
  const Time start = story.now;
  story.Begin(Wish(7, {"m@1"}, "prefill", false), StateOf({"m@1"}));
  CHECK(story.actions.empty());
  story.now = start + kSettings.right_term + kSettings.longest_order - Duration(1);
  story.Say(PlacerTick{});
  CHECK(story.actions.empty());
  story.Pass(Duration(1));
  story.Say(PlacerTick{});
  story.Only<ReadEngineState>();
  story.Say(EngineStateRead{StateOf({"m@1"})});
  story.Only<BeginDrain>();
}

// Symptom: an engine loads twice, or stays drained, after one lost answer.
// Events: the order takes effect and its answer is lost. Cause: taking the loss
// for a failure instead of reading back.
TEST_CASE("after a lost answer the engine's state tells, and nothing is ordered twice") {
  Story story;
  story.Begin(Wish(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  story.Say(EngineDrained{});
  story.Say(RightRead{true});
  story.Say(OrderFailed{story.number, Failure(ErrorKind::kBackendFailed, Ran::kUnknown)});
  CHECK(story.Find<EndDrain>() == nullptr);  // the role may still change under work
  story.Pass(seconds(1));
  story.Say(PlacerTick{});
  story.Only<ReadEngineState>();
  story.Say(EngineStateRead{StateOf({"m@1"}, "prefill", 7)});
  story.Only<EndDrain>();
  CHECK(story.placer.settled());
}

// Symptom: an engine stays drained for minutes after a role change. Events: the
// order takes effect, its answer never comes and the connection stays open.
// Cause: waiting for the answer alone.
TEST_CASE("an order whose answer never comes is done once the engine shows it") {
  Story story;
  story.Begin(Wish(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  story.Say(EngineDrained{});
  story.Say(RightRead{true});
  const std::uint64_t first = story.number;
  story.Pass(kSettings.order_check);
  story.Say(PlacerTick{});
  story.Only<ReadEngineState>();
  story.Say(EngineStateRead{StateOf({"m@1"}, "mixed", 7)});
  CHECK(story.actions.empty());  // not yet
  story.Pass(kSettings.order_check);
  story.Say(PlacerTick{});
  story.Say(EngineStateRead{StateOf({"m@1"}, "prefill", 7)});
  story.Say(EngineStateRead{StateOf({"m@1"}, "prefill", 7)});
  story.Only<EndDrain>();
  // The lost answer, come late, is not taken for that of the next order.
  story.Say(Wish(8, {"m@1"}, "decode"));
  story.Say(EngineDrained{});
  story.Say(RightRead{true});
  story.Only<SendOrder>();
  story.Say(OrderDone{first});
  CHECK(story.actions.empty());
}

TEST_CASE("an order that the engine calls done without effect is retried later, undrained") {
  Story story;
  story.Begin(Wish(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  for (const Duration wait : {seconds(1), seconds(2), seconds(4)}) {
    story.Say(EngineDrained{});
    story.Say(RightRead{true});
    story.Say(OrderDone{story.number});
    story.Say(EngineStateRead{StateOf({"m@1"}, "mixed", 7)});
    CHECK(story.Find<PlacementTrouble>() != nullptr);
    CHECK(story.Find<EndDrain>() != nullptr);
    story.Pass(wait - Duration(1));
    story.Say(PlacerTick{});
    CHECK(story.actions.empty());
    story.Pass(Duration(1));
    story.Say(PlacerTick{});
    story.Only<ReadEngineState>();
    story.Say(EngineStateRead{StateOf({"m@1"}, "mixed", 7)});
    story.Only<BeginDrain>();
  }
}

TEST_CASE("an agent whose orders are older than the engine's gives none") {
  Story story;
  story.Say(Wish(7, {"m@1"}));
  story.Say(EngineStateRead{StateOf({"m@2"}, "mixed", 9)});
  CHECK(story.Only<PlacementTrouble>().error.kind == ErrorKind::kFenced);
  story.Say(Wish(9, {"m@2"}));
  story.Say(EngineStateRead{StateOf({"m@2"}, "mixed", 9)});
  CHECK(story.placer.settled());
}

TEST_CASE("taking the wish back ends the drain that it began") {
  Story story;
  story.Begin(Wish(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  story.Only<BeginDrain>();
  story.Say(Wish(8, {"m@1"}, "mixed"));
  story.Only<EndDrain>();
  CHECK(story.placer.settled());
  story.Say(EngineDrained{});  // too late to matter
  CHECK(story.actions.empty());
}
