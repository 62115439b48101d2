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
#include "gate/service_estimate.h"
#include "gate/step_model.h"

namespace figmill {

class Gate::Impl {
 public:
  explicit Impl(const GateConfig& config);
  std::vector<GateAction> Step(Time now, const GateEvent& event);
  void SetTarget(const LatencyTarget& target);
  [[nodiscard]] GateCounts counts() const;

 private:
  enum class Phase : std::uint8_t { kQueued, kRunning, kPaused };

  // A request that is neither refused nor finished.
  struct Stream {
    Dispatch dispatch;
    Arrival arrival = 0;  // 0: its peer is gone
    Phase phase = Phase::kQueued;
    bool ran = false;      // the backend server may have seen it
    bool reading = false;  // started or resumed, no token since
    Time deadline, started, last_token;
    Time waits_since;  // queued or paused
    std::uint64_t tokens = 0;
    int starts = 0;        // StartBackend so far
    bool adopted = false;  // taken up for a sender that knew of it
    // Tokens when the stream last broke off and was taken up again.
    std::optional<std::uint64_t> broke_at;
    std::optional<Time> give_up;     // peer gone: cancelled then
    std::optional<Time> stop_asked;  // paused: CancelBackend not confirmed yet
  };
  using Streams = std::unordered_map<RequestId, Stream>;

  // One overload for each event.
  void On(const Arrived& event);
  void On(const BackendTokens& event);
  void On(const BackendEnded& event);
  void On(const BackendFailed& event);
  void On(const BackendStopped& event);
  void On(const PeerGone& event);
  void On(const Revoke& event);
  void On(const Cancel& event);
  void On(const Supersede& event);
  void On(const OwnerSilent& event);
  void On(const LeavingChanged& event);
  void On(const LoadReported& event);
  void On(const Tick& event);

  // Arrivals (gate_arrivals.cc).
  [[nodiscard]] std::optional<Error> RefusalOf(const Dispatch& dispatch);
  [[nodiscard]] std::optional<Error> KnownRefusal(const Dispatch& dispatch) const;
  [[nodiscard]] std::optional<Error> NothingKept(Ran ran) const;
  [[nodiscard]] std::optional<Error> QueueRefusal(const Dispatch& dispatch) const;
  void Adopt(Arrival arrival, const Dispatch& dispatch);
  void Enqueue(Arrival arrival, const Dispatch& dispatch);

  // Who runs (gate_schedule.cc).
  void Schedule();
  void StopBatch();
  void StartOnline();
  void StartBatch();
  void Start(Stream& stream);
  void Pause(Stream& stream);
  [[nodiscard]] bool MayStop(const Stream& stream) const;
  [[nodiscard]] int OnlineLimit() const;
  [[nodiscard]] int OnlineWanted() const;
  [[nodiscard]] Duration ExpectedService(const Dispatch& dispatch) const;
  [[nodiscard]] Duration ExpectedWait() const;

  // Ends (gate_ends.cc).
  void End(const RequestId& request, std::optional<Error> error);
  void Stop(const RequestId& request, Error error);
  void Resume(Stream& stream, Arrival adopted);
  void Rerun(Stream& stream);
  void LeaveRunning(Stream& stream);
  void EndReading(Stream& stream);
  void EnterRunning(Stream& stream);
  void DropPeer(Stream& stream);
  void NoteNewEpoch(const JobId& job, Epoch epoch);
  void Expire();
  void ForgetOldEpochs();
  [[nodiscard]] Duration LongestWait() const;
  [[nodiscard]] Error Overloaded(std::string detail) const;
  // True, and answered, when the table may have forgotten the id.
  bool AnswerForgotten(const RequestId& request, std::optional<Time> stamp);
  [[nodiscard]] RequestState StateOf(const RequestId& request) const;
  [[nodiscard]] std::vector<RequestId> Select(const std::function<bool(const Stream&)>& test) const;

  void Emit(GateAction action) { actions_.push_back(std::move(action)); }
  Stream* Find(const RequestId& request);
  Stream* FindRunning(const RequestId& request);

  GateConfig config_;
  detail::DispatchTable table_;
  detail::StepModel model_;
  detail::AdmissionLimit limit_;
  detail::EnginePlaces places_;
  detail::YieldPolicy yield_;
  detail::ServiceEstimate estimate_;
  detail::OnlineQueue online_queue_;
  detail::BatchQueue batch_queue_;
  Streams streams_;
  std::unordered_map<Arrival, RequestId> arrivals_;
  struct JobEpoch {
    Epoch epoch = 0;
    Time seen;
  };
  std::unordered_map<JobId, JobEpoch> epochs_;
  bool leaving_ = false;
  int online_running_ = 0, batch_running_ = 0, batch_reading_ = 0, reading_ = 0;
  int online_before_ = 0;  // wanted at the last step
  int unstoppable_ = 0;    // running batch streams that may not be stopped
  Time last_reading_{};
  Time forgot_epochs_{};
  std::uint64_t stops_ = 0, reruns_ = 0;
  Time now_{};
  std::vector<GateAction> actions_;
};

}  // namespace figmill
