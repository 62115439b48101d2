#pragma once

// A gate under test with its clock, and short ways to step it.

#include <string>
#include <utility>
#include <vector>

#include "figmill/gate.h"

namespace figmill::test {

struct GateFixture {
  explicit GateFixture(GateConfig config = {}) : gate(config), incarnation(config.incarnation) {}

  Dispatch Online(std::string request) const {
    Dispatch dispatch;
    dispatch.request.value = std::move(request);
    dispatch.incarnation = incarnation;
    dispatch.tokens = 100;
    dispatch.stamp = now;
    return dispatch;
  }
  Dispatch Batch(std::string request, Epoch epoch = 1) const {
    Dispatch dispatch = Online(std::move(request));
    dispatch.work_class = WorkClass::kBatch;
    dispatch.owner.value = "entry-1";
    dispatch.job.value = "job";
    dispatch.epoch = epoch;
    dispatch.item.value = "job/" + dispatch.request.value;
    dispatch.time_left = std::chrono::hours(1);
    return dispatch;
  }
  std::vector<GateAction> Step(const GateEvent& event) { return last = gate.Step(now, event); }
  std::vector<GateAction> Arrive(Dispatch dispatch) {
    return Step(Arrived{++arrivals, std::move(dispatch)});
  }
  void Pass(Duration time) { now += time; }

  // Runs `count` batch streams up to their first token.
  void RunBatch(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string request = "batch-" + std::to_string(i);
      Arrive(Batch(request));
      Pass(Duration(20'000));
      Step(BackendTokens{RequestId{request}});
    }
  }

  template <typename Action>
  [[nodiscard]] std::vector<Action> Last() const {
    std::vector<Action> found;
    for (const GateAction& action : last) {
      if (const auto* match = std::get_if<Action>(&action)) found.push_back(*match);
    }
    return found;
  }
  // The state that the last revoke or cancel was answered with.
  [[nodiscard]] Result<RequestState> Answer() const { return Last<OrderAnswer>().at(0).state; }

  Gate gate;
  Incarnation incarnation;
  Time now = Time(std::chrono::hours(1));
  Arrival arrivals = 0;
  std::vector<GateAction> last;
};

}  // namespace figmill::test
