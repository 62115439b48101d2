#pragma once

// The shell around the gate: dispatches come in, the backend server beside this
// process is called, and answers go back as frames.

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

#include "figmill/gate.h"
#include "figmill/runtime.h"
#include "figmilld/agent/agent_answer.h"
#include "figmilld/agent/agent_metrics.h"
#include "figmilld/agent/agent_work.h"
#include "figmilld/agent/engine_client.h"
#include "figmilld/settings.h"

namespace figmill {

// What it needs of the process; all outlive it.
struct AgentParts {
  Loop& loop;
  HttpClient& client;
  Metrics& metrics;
  Tracer* tracer = nullptr;
};

class AgentGate {
 public:
  AgentGate(const AgentParts& parts, const AgentSettings& settings, Incarnation incarnation);

  void OnDispatch(HttpRequest request, std::shared_ptr<HttpReply> reply);

  // Orders (docs/PROTOCOLS.md). `age` is how long ago the dispatch was sent.
  [[nodiscard]] Result<RequestState> RevokeRequest(const RequestId& request,
                                                   Incarnation incarnation,
                                                   std::optional<Duration> age);
  [[nodiscard]] Result<RequestState> CancelRequest(const RequestId& request);
  void SupersedeJob(const JobId& job, Epoch epoch);

  // From membership and configuration.
  void OnMembers(const RoutingSnapshot& snapshot);
  void SetTarget(const LatencyTarget& target) { gate_.SetTarget(target); }
  void SetOrders(Sequence orders) { orders_ = orders; }
  // A leaving gate takes nothing new; what runs goes on.
  void SetLeaving(bool leaving);
  [[nodiscard]] bool leaving() const { return leaving_; }
  // Calls `drained` once no request is left.
  void OnDrained(std::function<void()> drained);

  [[nodiscard]] SchedulerStats counts() const { return gate_.counts(); }
  [[nodiscard]] EngineClient& engine() { return engine_; }

 private:
  void Do(const SchedulerEvent& event);
  void CarryOut(const std::vector<SchedulerAction>& actions);
  void Carry(const StartStream& action);
  void Carry(const ResumeStream& action);
  void Carry(const StopStream& action);
  void Carry(const FailRequest& action);
  void Carry(const CompleteRequest& action);
  void Carry(const DetachSender& action);
  void Carry(const CommandReply& action);

  void Receive(const RequestId& request, AnswerEvent event);
  void ReceiveHead(AgentWork& work, AnswerHead head);
  void ReceiveBytes(AgentWork& work, const AnswerBytes& bytes);
  [[nodiscard]] std::function<void(AnswerEvent)> Receiver(const RequestId& request);
  void ResumeExported(AgentWork& work);
  void FailLater(const RequestId& request, Error error);
  void StopAtBackend(const RequestId& request, std::shared_ptr<StopClock> clock);
  void Stopped(const RequestId& request, const std::shared_ptr<StopClock>& clock);
  void OnPeerGone(ArrivalId arrival);
  void FailArrival(ArrivalId arrival, const Error& error);
  void Forget(const RequestId& request, ArrivalId arrival, bool failed);
  AgentWork* Find(const RequestId& request);
  AgentAnswer* AnswerOf(const AgentWork& work);
  [[nodiscard]] FrameHead HeadFor(const AgentWork& work) const;
  [[nodiscard]] std::string StartSpan(AgentWork& work);
  void PollLoad();
  void KeepAnswersAlive();
  void Tick();

  Loop& loop_;
  Tracer* tracer_;
  AgentSettings settings_;
  Incarnation incarnation_;
  Sequence orders_ = 0;
  EngineClient engine_;
  AgentMetrics metrics_;
  BackendScheduler gate_;
  bool leaving_ = false;
  std::set<NodeId> entries_;  // by the last snapshot
  std::function<void()> drained_;
  ArrivalId last_arrival_ = 0;
  std::unordered_map<ArrivalId, AgentAnswer> answers_;
  std::unordered_map<ArrivalId, RequestId> requests_;  // of the answers
  std::unordered_map<RequestId, AgentWork> works_;
  std::optional<Result<RequestState>> order_answer_;
  std::shared_ptr<StopClock> stop_clock_;  // of the step being carried out
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Timer tick_timer_, load_timer_, keep_alive_timer_;
};

}  // namespace figmill
