#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "figmill/gate.h"
#include "gate/admission_limit.h"
#include "gate/batch_limit_policy.h"
#include "gate/batch_queue.h"
#include "gate/dispatch_table.h"
#include "gate/engine_capacity.h"
#include "gate/online_queue.h"
#include "gate/service_time_estimate.h"
#include "gate/token_gap_model.h"

namespace figmill {

class BackendScheduler::Impl {
 public:
  explicit Impl(const SchedulerConfig& config);
  std::vector<SchedulerAction> Step(Time now, const SchedulerEvent& event);
  void SetTarget(const LatencyTarget& target);
  [[nodiscard]] SchedulerStats counts() const;

 private:
  enum class Phase : std::uint8_t { kQueued, kRunning, kPaused };

  // A request that was accepted and has not ended.
  struct Stream {
    Dispatch dispatch;
    ArrivalId arrival = 0;  // 0: the sender has disconnected
    Phase phase = Phase::kQueued;
    bool ran = false;         // the backend server may have received it
    bool prefilling = false;  // started or resumed, no token received since
    Time deadline, started, last_token;
    Time waiting_since;  // queued or paused
    std::uint64_t tokens = 0;
    int starts = 0;           // number of StartStream actions
    bool reattached = false;  // resumed for a sender that reattached by its id
    // Token count when the stream last broke off and was resumed.
    std::optional<std::uint64_t> tokens_at_break;
    std::optional<Time> cancel_at;          // set when the sender disconnected
    std::optional<Time> stop_requested_at;  // paused: StopStream not confirmed yet
  };
  using Streams = std::unordered_map<RequestId, Stream>;

  // One overload for each event.
  void On(const DispatchArrived& event);
  void On(const StreamTokens& event);
  void On(const StreamFinished& event);
  void On(const StreamFailed& event);
  void On(const StreamStopped& event);
  void On(const SenderDisconnected& event);
  void On(const Revoke& event);
  void On(const Cancel& event);
  void On(const Supersede& event);
  void On(const OwnerLost& event);
  void On(const LeavingChanged& event);
  void On(const LoadReported& event);
  void On(const Tick& event);

  // Arriving dispatches (scheduler_arrivals.cc).
  [[nodiscard]] std::optional<Error> CheckDispatch(const Dispatch& dispatch);
  [[nodiscard]] std::optional<Error> CheckDuplicate(const Dispatch& dispatch) const;
  [[nodiscard]] std::optional<Error> CheckAnswerKept(Ran ran) const;
  [[nodiscard]] std::optional<Error> CheckQueues(const Dispatch& dispatch) const;
  void Reattach(ArrivalId arrival, const Dispatch& dispatch);
  void Enqueue(ArrivalId arrival, const Dispatch& dispatch);

  // Scheduling (scheduler_dispatch.cc).
  void Schedule();
  void PreemptBatch();
  void StartOnline();
  void StartBatch();
  void Start(Stream& stream);
  void Pause(Stream& stream);
  [[nodiscard]] bool IsPreemptible(const Stream& stream) const;
  [[nodiscard]] int OnlineLimit() const;
  [[nodiscard]] int OnlineDemand() const;
  [[nodiscard]] Duration ExpectedService(const Dispatch& dispatch) const;
  [[nodiscard]] Duration ExpectedWait() const;

  // Backend events and the end of requests (scheduler_completions.cc); commands
  // (scheduler_commands.cc).
  void End(const RequestId& request, std::optional<Error> error);
  void Stop(const RequestId& request, Error error);
  void Resume(Stream& stream, ArrivalId reattached_arrival);
  void Rerun(Stream& stream);
  void LeaveRunning(Stream& stream);
  void EndPrefill(Stream& stream);
  void EnterRunning(Stream& stream);
  void DropSender(Stream& stream);
  void UpdateEpoch(const JobId& job, Epoch epoch);
  void ExpireStreams();
  void EvictOldEpochs();
  [[nodiscard]] Duration LongestPrefill() const;
  [[nodiscard]] Error OverloadedError(std::string detail) const;
  // Replies with an error and returns true when the record of the id may have been
  // evicted.
  bool ReplyIfEvicted(const RequestId& request, std::optional<Time> stamp);
  [[nodiscard]] RequestState StateOf(const RequestId& request) const;
  [[nodiscard]] std::vector<RequestId> FindStreams(
      const std::function<bool(const Stream&)>& test) const;

  void Emit(SchedulerAction action) { actions_.push_back(std::move(action)); }
  Stream* Find(const RequestId& request);
  Stream* FindRunning(const RequestId& request);

  SchedulerConfig config_;
  detail::DispatchTable table_;
  detail::TokenGapModel token_gap_model_;
  detail::AdmissionLimit online_limit_;
  detail::EngineCapacity capacity_;
  detail::BatchLimitPolicy batch_limit_policy_;
  detail::ServiceTimeEstimate service_estimate_;
  detail::OnlineQueue online_queue_;
  detail::BatchQueue batch_queue_;
  Streams streams_;
  std::unordered_map<ArrivalId, RequestId> arrivals_;
  struct JobEpoch {
    Epoch epoch = 0;
    Time updated_at;
  };
  std::unordered_map<JobId, JobEpoch> epochs_;
  bool leaving_ = false;
  int online_running_ = 0, batch_running_ = 0, batch_prefilling_ = 0, prefilling_ = 0;
  int last_online_demand_ = 0;  // OnlineDemand() at the last preemption check
  int non_preemptible_ = 0;     // running batch streams that must not be repeated
  Time last_prefill_end_{};
  Time epochs_evicted_at_{};
  std::uint64_t stops_ = 0, reruns_ = 0;
  Time now_{};
  std::vector<SchedulerAction> actions_;
};

}  // namespace figmill
