#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>

#include "test/placement-fixture.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using fake::DesiredState;
using fake::Failure;
using fake::kSettings;
using std::chrono::seconds;

namespace {

// An engine with two agents that both act as its owner: one is paused while the other
// starts, and resumes later. Loads take time and take effect at their end, answers
// get lost, and the engine may restart empty.
class Simulation {
 public:
  Simulation(std::uint64_t seed, bool checks_fencing)
      : random_(seed), checks_fencing_(checks_fencing) {}

  void Run() {
    DesiredPlacement desired = DesiredState(1, {"m@1"}, "mixed", checks_fencing_);
    for (int step = 0; step < 4000; ++step) {
      now_ += std::chrono::milliseconds(500);
      if (step % 1000 == 0) {
        desired = DesiredState(desired.sequence + 1 + Random(3), {"m@" + std::to_string(Random(3))},
                               Random(2) == 0 ? "mixed" : "prefill", checks_fencing_);
      }
      if (step == 600) owner_ = 1;      // the successor starts while the first still exists
      faults_off_ = step % 1000 > 500;  // no faults in the last half of each period
      EndOrders();
      if (owner_ == 1) StepAgent(1, desired);
      if (!Paused(step)) StepAgent(0, desired);
      if (step % 1000 == 999) CheckConverged(desired);
    }
  }

 private:
  struct Agent {
    PlacementReconciler reconciler{kSettings};
    std::deque<ReconcilerAction> pending;
    bool drained = false;
  };
  struct OrderInFlight {
    EngineOrder order;
    std::uint64_t number = 0;
    Time ends_at;
    int agent = 0;
    bool answered = false;
  };

  std::uint64_t Random(std::uint64_t n) { return random_() % n; }
  bool InjectFault() { return !faults_off_ && Random(6) == 0; }
  // Agent 0 is paused around its successor's start and resumes afterwards.
  [[nodiscard]] bool Paused(int step) const { return step > 580 && step < 1200; }

  void StepAgent(int index, const DesiredPlacement& desired) {
    Agent& agent = agents_[index];
    Enqueue(agent, agent.reconciler.Step(now_, desired));
    Enqueue(agent, agent.reconciler.Step(now_, ReconcilerTick{}));
    for (std::size_t n = agent.pending.size(); n > 0; --n) {
      const ReconcilerAction action = agent.pending.front();
      agent.pending.pop_front();
      Answer(index, action);
    }
  }

  static void Enqueue(Agent& agent, const std::vector<ReconcilerAction>& actions) {
    agent.pending.insert(agent.pending.end(), actions.begin(), actions.end());
  }

  void Answer(int index, const ReconcilerAction& action) {
    Agent& agent = agents_[index];
    const Error lost = Failure(ErrorKind::kStoreUnavailable, Ran::kNo);
    const auto reply = [&](const ReconcilerEvent& event) {
      Enqueue(agent, agent.reconciler.Step(now_, event));
    };
    std::visit(Overloaded{
                   [&](const ReadOwnership&) {
                     if (InjectFault()) return reply(OwnershipReadFailed{lost});
                     reply(OwnershipRead{index >= owner_});
                   },
                   [&](const ReadEngineState&) {
                     if (InjectFault()) return reply(EngineStateRead{lost});
                     reply(EngineStateRead{state_});
                   },
                   [&](const ReserveWeights&) {
                     if (InjectFault()) return reply(WeightsRefused{lost});
                     reply(WeightsGranted{seconds(Random(5))});
                   },
                   [&](const BeginDrain&) {
                     agent.drained = true;
                     reply(EngineDrained{});
                   },
                   [&](const EndDrain&) { agent.drained = false; },
                   [&](const SendOrder& send) { Send(index, send); },
                   [&](const ReportPlacementError&) {},
               },
               action);
  }

  void Send(int index, const SendOrder& send) {
    Agent& agent = agents_[index];
    const bool drains = !send.order.kind.ends_with("adapter");
    const bool ordered_undrained = drains && !agent.drained;
    REQUIRE_FALSE(ordered_undrained);
    const auto fail = [&](ErrorKind kind, Ran ran) {
      Enqueue(agent, agent.reconciler.Step(now_, OrderFailed{send.number, Failure(kind, ran)}));
    };
    if (now_ > send.not_after) return fail(ErrorKind::kDeadlineExceeded, Ran::kNo);
    if (checks_fencing_ && send.order.fence < state_.fence) {
      return fail(ErrorKind::kFenced, Ran::kNo);
    }
    if (checks_fencing_) state_.fence = send.order.fence;
    // On an engine that ignores fencing two orders in flight could take effect in
    // either sequence.
    const bool only_order = checks_fencing_ || in_flight_.empty();
    REQUIRE(only_order);
    in_flight_.push_back({send.order, send.number, now_ + seconds(Random(50)), index, false});
    if (InjectFault()) {
      in_flight_.back().answered = true;
      fail(ErrorKind::kBackendFailed, Ran::kUnknown);
    }
  }

  void EndOrders() {
    if (InjectFault() && Random(20) == 0 && in_flight_.empty()) state_.models.clear();  // a restart
    for (OrderInFlight& in_flight : in_flight_) {
      if (in_flight.ends_at > now_) continue;
      if (!checks_fencing_ || in_flight.order.fence == state_.fence) Apply(in_flight.order);
      Agent& agent = agents_[in_flight.agent];
      if (!in_flight.answered)
        Enqueue(agent, agent.reconciler.Step(now_, OrderDone{in_flight.number}));
    }
    std::erase_if(in_flight_,
                  [&](const OrderInFlight& in_flight) { return in_flight.ends_at <= now_; });
  }

  void Apply(const EngineOrder& order) {
    const std::string versioned = order.subject + "@" + order.version;
    if (order.kind == "role") state_.role = order.subject;
    if (order.kind.ends_with("-model")) std::erase(state_.models, versioned);
    if (order.kind == "load-model") state_.models.push_back(versioned);
  }

  void CheckConverged(const DesiredPlacement& desired) {
    CAPTURE(desired.sequence);
    CHECK(std::count(state_.models.begin(), state_.models.end(), desired.models.front()) == 1);
    CHECK(state_.models.size() == 1);
    CHECK(state_.role == desired.role);
    CHECK(agents_[owner_].reconciler.settled());
    CHECK_FALSE(agents_[owner_].drained);
  }

  std::mt19937_64 random_;
  bool checks_fencing_;
  bool faults_off_ = false;
  Time now_{seconds(1000)};
  int owner_ = 0;
  std::array<Agent, 2> agents_;
  std::vector<OrderInFlight> in_flight_;
  EngineState state_;
};

}  // namespace

// Guards against an engine that ends with an undesired placement, gets orders of two
// agents, or changes while requests run. Lost answers, refused reads, restarts of the
// engine and an agent that resumes after its successor has started come at random;
// any step that relies on outdated state would fail.
TEST_CASE(
    "under random faults an engine reaches each placement, with one owner, only while drained") {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    CAPTURE(seed);
    Simulation(seed, true).Run();
    Simulation(seed, false).Run();
  }
}
