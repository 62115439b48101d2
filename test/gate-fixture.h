#pragma once

// A scheduler under test with its clock, and helper functions to step it.

#include <string>
#include <utility>
#include <vector>

#include "figmill/gate.h"

namespace figmill::test {

struct SchedulerFixture {
  explicit SchedulerFixture(SchedulerConfig config = {})
      : scheduler(config), incarnation(config.incarnation) {}

  Dispatch Online(std::string request) const {
    Dispatch dispatch;
    dispatch.request.value = std::move(request);
    dispatch.incarnation = incarnation;
    dispatch.max_tokens = 100;
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
  std::vector<SchedulerAction> Step(const SchedulerEvent& event) {
    return last_actions = scheduler.Step(now, event);
  }
  std::vector<SchedulerAction> Arrive(Dispatch dispatch) {
    return Step(DispatchArrived{++arrivals, std::move(dispatch)});
  }
  void AdvanceTime(Duration time) { now += time; }

  // Starts `count` batch streams and reports their first token.
  void StartBatchStreams(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string request = "batch-" + std::to_string(i);
      Arrive(Batch(request));
      AdvanceTime(Duration(20'000));
      Step(StreamTokens{RequestId{request}});
    }
  }

  template <typename Action>
  [[nodiscard]] std::vector<Action> LastActions() const {
    std::vector<Action> found;
    for (const SchedulerAction& action : last_actions) {
      if (const auto* match = std::get_if<Action>(&action)) found.push_back(*match);
    }
    return found;
  }
  // The state in the answer to the last revoke or cancel.
  [[nodiscard]] Result<RequestState> LastCommandState() const {
    return LastActions<CommandReply>().at(0).state;
  }

  BackendScheduler scheduler;
  Incarnation incarnation;
  Time now = Time(std::chrono::hours(1));
  ArrivalId arrivals = 0;
  std::vector<SchedulerAction> last_actions;
};

}  // namespace figmill::test
