#include <doctest/doctest.h>

#include "test/placement-fixture.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using fake::DesiredState;
using fake::Failure;
using fake::kSettings;
using fake::StateOf;
using std::chrono::seconds;

namespace {

// A reconciler under test, its clock, and the actions that its last event returned.
struct ReconcilerFixture {
  PlacementReconciler reconciler{kSettings};
  Time now{seconds(1000)};
  std::vector<ReconcilerAction> actions;
  std::uint64_t number = 0;  // of the last order

  void Handle(const ReconcilerEvent& event) {
    actions = reconciler.Step(now, event);
    if (const auto* send = FindAction<SendOrder>()) number = send->number;
  }
  void AdvanceTime(Duration time) { now += time; }
  template <typename A>
  const A* FindAction() const {
    for (const ReconcilerAction& action : actions) {
      if (const A* found = std::get_if<A>(&action)) return found;
    }
    return nullptr;
  }
  template <typename A>
  const A& OnlyAction() const {
    const A* found = FindAction<A>();
    REQUIRE(found != nullptr);
    REQUIRE(actions.size() == 1);
    return *found;
  }
  // Passes the first events up to the first ownership reading, which every test needs.
  void ReadInitialState(const DesiredPlacement& desired, const EngineState& state) {
    Handle(desired);
    OnlyAction<ReadEngineState>();
    Handle(EngineStateRead{state});
    OnlyAction<ReadOwnership>();
    Handle(OwnershipRead{true});
  }
};

}  // namespace

TEST_CASE("a model change reserves its weights, drains, orders under its sequence, reads back") {
  ReconcilerFixture fixture;
  fixture.ReadInitialState(DesiredState(812, {"note-llm@2"}), StateOf({"note-llm@1"}));
  CHECK(fixture.OnlyAction<ReserveWeights>().object == "note-llm@2");
  fixture.Handle(WeightsGranted{seconds(5)});
  CHECK(fixture.actions.empty());
  fixture.AdvanceTime(seconds(4));
  fixture.Handle(ReconcilerTick{});
  CHECK(fixture.actions.empty());  // the load waits as the weight store demands
  fixture.AdvanceTime(seconds(1));
  fixture.Handle(ReconcilerTick{});
  fixture.OnlyAction<ReadEngineState>();  // the state may have changed during the wait
  fixture.Handle(EngineStateRead{StateOf({"note-llm@1"})});
  fixture.OnlyAction<BeginDrain>();
  fixture.Handle(EngineDrained{});
  fixture.OnlyAction<ReadOwnership>();
  fixture.Handle(OwnershipRead{true});
  const EngineOrder unload = fixture.OnlyAction<SendOrder>().order;
  CHECK(unload.kind == "unload-model");
  CHECK(unload.fence == 812);
  fixture.Handle(OrderDone{fixture.number});
  fixture.OnlyAction<ReadEngineState>();
  fixture.Handle(EngineStateRead{StateOf({}, "mixed", 812)});
  fixture.OnlyAction<ReadOwnership>();
  fixture.Handle(OwnershipRead{true});
  CHECK(fixture.OnlyAction<SendOrder>().order.kind == "load-model");
  fixture.Handle(OrderDone{fixture.number});
  fixture.Handle(EngineStateRead{StateOf({"note-llm@2"}, "mixed", 812)});
  fixture.OnlyAction<EndDrain>();
  CHECK(fixture.reconciler.settled());
}

// A role change must not unload a model that is in use: the model was loaded without
// figmill, and objects that aren't named would be treated as unwanted.
TEST_CASE("objects that a placement doesn't name stay on the engine") {
  DesiredPlacement desired = DesiredState(5, {"a@2"}, "prefill");
  desired.unwanted_models = {"c@1"};
  std::string kinds;
  for (const EngineOrder& order : PlanOrders(desired, StateOf({"a@1", "b@1", "c@1"}))) {
    kinds += order.kind + " " + order.subject + "@" + order.version + "; ";
  }
  CHECK(kinds == "unload-model a@1; unload-model c@1; role prefill@; load-model a@2; ");
}

TEST_CASE("an adapter is loaded without a drain") {
  ReconcilerFixture fixture;
  DesiredPlacement desired = DesiredState(5, {"m@1"});
  desired.adapters = {"rye@3"};
  fixture.ReadInitialState(desired, StateOf({"m@1"}));
  fixture.Handle(WeightsGranted{});
  fixture.OnlyAction<ReadOwnership>();
  fixture.Handle(OwnershipRead{true});
  CHECK(fixture.OnlyAction<SendOrder>().order.kind == "load-adapter");
}

// An engine's role must not alternate: the agent requests the ownership and is paused,
// its successor starts and sends orders, and the agent resumes with the old result.
// It would act on an ownership that was read before the pause.
TEST_CASE("an agent that was paused reads the ownership again and sends no order") {
  ReconcilerFixture fixture;
  fixture.ReadInitialState(DesiredState(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  fixture.Handle(EngineDrained{});
  fixture.OnlyAction<ReadOwnership>();
  fixture.AdvanceTime(kSettings.ownership_validity);
  fixture.Handle(OwnershipRead{true});
  fixture.OnlyAction<ReadEngineState>();
  fixture.Handle(EngineStateRead{StateOf({"m@1"})});
  fixture.OnlyAction<ReadOwnership>();
  fixture.Handle(OwnershipRead{false});
  CHECK(fixture.FindAction<SendOrder>() == nullptr);
  CHECK(fixture.FindAction<EndDrain>() != nullptr);
  fixture.Handle(DesiredState(8, {"m@1"}, "decode"));
  CHECK(fixture.actions.empty());
}

// As above, but the agent is paused after its state machine has issued the order: an
// order without an expiry time would then be sent too late.
TEST_CASE("an order expires with the ownership reading") {
  ReconcilerFixture fixture;
  fixture.ReadInitialState(DesiredState(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  fixture.Handle(EngineDrained{});
  const Time asked = fixture.now;
  fixture.AdvanceTime(seconds(3));
  fixture.Handle(OwnershipRead{true});
  CHECK(fixture.OnlyAction<SendOrder>().not_after == asked + kSettings.ownership_validity);
}

// A placement must not revert a minute after it was made: a predecessor ordered a load
// and died, and the engine, which ignores fencing, completes the load after the
// successor's orders. The successor would send orders while earlier ones still run.
TEST_CASE("on an engine that ignores fencing the first order waits for a predecessor's last one") {
  ReconcilerFixture fixture;
  const Time start = fixture.now;
  fixture.ReadInitialState(DesiredState(7, {"m@1"}, "prefill", false), StateOf({"m@1"}));
  CHECK(fixture.actions.empty());
  fixture.now = start + kSettings.ownership_validity + kSettings.max_order_time - Duration(1);
  fixture.Handle(ReconcilerTick{});
  CHECK(fixture.actions.empty());
  fixture.AdvanceTime(Duration(1));
  fixture.Handle(ReconcilerTick{});
  fixture.OnlyAction<ReadEngineState>();
  fixture.Handle(EngineStateRead{StateOf({"m@1"})});
  fixture.OnlyAction<BeginDrain>();
}

// An engine must not load twice or stay drained after one lost answer: the order takes
// effect and its answer is lost. The loss would be treated as a failure instead of
// reading the state back.
TEST_CASE("after a lost answer the engine's state decides, and no order is sent twice") {
  ReconcilerFixture fixture;
  fixture.ReadInitialState(DesiredState(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  fixture.Handle(EngineDrained{});
  fixture.Handle(OwnershipRead{true});
  fixture.Handle(OrderFailed{fixture.number, Failure(ErrorKind::kBackendFailed, Ran::kUnknown)});
  CHECK(fixture.FindAction<EndDrain>() == nullptr);  // the role may still change while requests run
  fixture.AdvanceTime(seconds(1));
  fixture.Handle(ReconcilerTick{});
  fixture.OnlyAction<ReadEngineState>();
  fixture.Handle(EngineStateRead{StateOf({"m@1"}, "prefill", 7)});
  fixture.OnlyAction<EndDrain>();
  CHECK(fixture.reconciler.settled());
}

// An engine must not stay drained for minutes after a role change: the order takes
// effect, its answer never arrives and the connection stays open. Waiting for the
// answer alone would block.
TEST_CASE("an order without an answer is done once the engine's state reflects it") {
  ReconcilerFixture fixture;
  fixture.ReadInitialState(DesiredState(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  fixture.Handle(EngineDrained{});
  fixture.Handle(OwnershipRead{true});
  const std::uint64_t first = fixture.number;
  fixture.AdvanceTime(kSettings.order_poll_period);
  fixture.Handle(ReconcilerTick{});
  fixture.OnlyAction<ReadEngineState>();
  fixture.Handle(EngineStateRead{StateOf({"m@1"}, "mixed", 7)});
  CHECK(fixture.actions.empty());  // not yet
  fixture.AdvanceTime(kSettings.order_poll_period);
  fixture.Handle(ReconcilerTick{});
  fixture.Handle(EngineStateRead{StateOf({"m@1"}, "prefill", 7)});
  fixture.Handle(EngineStateRead{StateOf({"m@1"}, "prefill", 7)});
  fixture.OnlyAction<EndDrain>();
  // The lost answer arrives late and isn't taken for that of the next order.
  fixture.Handle(DesiredState(8, {"m@1"}, "decode"));
  fixture.Handle(EngineDrained{});
  fixture.Handle(OwnershipRead{true});
  fixture.OnlyAction<SendOrder>();
  fixture.Handle(OrderDone{first});
  CHECK(fixture.actions.empty());
}

TEST_CASE("an order reported as done without effect is retried later, without a drain until then") {
  ReconcilerFixture fixture;
  fixture.ReadInitialState(DesiredState(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  for (const Duration wait : {seconds(1), seconds(2), seconds(4)}) {
    fixture.Handle(EngineDrained{});
    fixture.Handle(OwnershipRead{true});
    fixture.Handle(OrderDone{fixture.number});
    fixture.Handle(EngineStateRead{StateOf({"m@1"}, "mixed", 7)});
    CHECK(fixture.FindAction<ReportPlacementError>() != nullptr);
    CHECK(fixture.FindAction<EndDrain>() != nullptr);
    fixture.AdvanceTime(wait - Duration(1));
    fixture.Handle(ReconcilerTick{});
    CHECK(fixture.actions.empty());
    fixture.AdvanceTime(Duration(1));
    fixture.Handle(ReconcilerTick{});
    fixture.OnlyAction<ReadEngineState>();
    fixture.Handle(EngineStateRead{StateOf({"m@1"}, "mixed", 7)});
    fixture.OnlyAction<BeginDrain>();
  }
}

TEST_CASE("an agent whose orders are older than the engine's fence sends none") {
  ReconcilerFixture fixture;
  fixture.Handle(DesiredState(7, {"m@1"}));
  fixture.Handle(EngineStateRead{StateOf({"m@2"}, "mixed", 9)});
  CHECK(fixture.OnlyAction<ReportPlacementError>().error.kind == ErrorKind::kFenced);
  fixture.Handle(DesiredState(9, {"m@2"}));
  fixture.Handle(EngineStateRead{StateOf({"m@2"}, "mixed", 9)});
  CHECK(fixture.reconciler.settled());
}

TEST_CASE("reverting the desired placement ends the drain that it started") {
  ReconcilerFixture fixture;
  fixture.ReadInitialState(DesiredState(7, {"m@1"}, "prefill"), StateOf({"m@1"}));
  fixture.OnlyAction<BeginDrain>();
  fixture.Handle(DesiredState(8, {"m@1"}, "mixed"));
  fixture.OnlyAction<EndDrain>();
  CHECK(fixture.reconciler.settled());
  fixture.Handle(EngineDrained{});  // late, so it is ignored
  CHECK(fixture.actions.empty());
}
