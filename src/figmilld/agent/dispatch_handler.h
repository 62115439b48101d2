#pragma once

// Runs the BackendScheduler of an agent: receives dispatches, calls the backend server next
// to this process, and sends the answers back as frames.

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

#include "figmill/gate.h"
#include "figmill/runtime.h"
#include "figmilld/agent/agent_metrics.h"
#include "figmilld/agent/answer_writer.h"
#include "figmilld/agent/dispatched_request.h"
#include "figmilld/agent/engine_client.h"
#include "figmilld/settings.h"

namespace figmill {

// All must outlive the handler.
struct DispatchHandlerContext {
  Loop& loop;
  HttpClient& client;
  Metrics& metrics;
  Tracer* tracer = nullptr;
};

class DispatchHandler {
 public:
  DispatchHandler(const DispatchHandlerContext& context, const AgentSettings& settings,
                  Incarnation incarnation);

  void OnDispatch(HttpRequest request, std::shared_ptr<HttpReply> reply);

  // RPC methods (docs/PROTOCOLS.md). `age` is how long ago the dispatch was sent.
  [[nodiscard]] Result<RequestState> RevokeRequest(const RequestId& request,
                                                   Incarnation incarnation,
                                                   std::optional<Duration> age);
  [[nodiscard]] Result<RequestState> CancelRequest(const RequestId& request);
  void SupersedeJob(const JobId& job, Epoch epoch);

  // Updates from membership and configuration.
  void UpdateEntries(const RoutingSnapshot& snapshot);
  void SetTarget(const LatencyTarget& target) { scheduler_.SetTarget(target); }
  void SetControlSequence(Sequence sequence) { control_sequence_ = sequence; }
  // While leaving, new requests are refused; running ones continue.
  void SetLeaving(bool leaving);
  [[nodiscard]] bool leaving() const { return leaving_; }
  // Calls `drained` once no request is left; replaces an earlier callback.
  void NotifyWhenDrained(std::function<void()> drained);

  [[nodiscard]] SchedulerStats counts() const { return scheduler_.counts(); }
  [[nodiscard]] EngineClient& engine() { return engine_; }

 private:
  void HandleEvent(const SchedulerEvent& event);
  void ExecuteAll(const std::vector<SchedulerAction>& actions);
  void Execute(const StartStream& action);
  void Execute(const ResumeStream& action);
  void Execute(const StopStream& action);
  void Execute(const FailRequest& action);
  void Execute(const CompleteRequest& action);
  void Execute(const DetachSender& action);
  void Execute(const CommandReply& action);

  void OnAnswerEvent(const RequestId& request, AnswerEvent event);
  void OnAnswerHead(DispatchedRequest& dispatched, AnswerHead head);
  void OnAnswerBytes(DispatchedRequest& dispatched, const AnswerBytes& bytes);
  void AbortCall(DispatchedRequest& dispatched, std::string why);
  [[nodiscard]] std::function<void(AnswerEvent)> MakeAnswerCallback(const RequestId& request);
  void ResumeExported(DispatchedRequest& dispatched);
  void PostFailure(const RequestId& request, Error error);
  void CancelAtBackend(const RequestId& request, std::shared_ptr<BatchStopTimer> timer);
  void OnStreamStopped(const RequestId& request, const std::shared_ptr<BatchStopTimer>& timer);
  void LogOverload(const DispatchHeaders& headers, const Error& error) const;
  void OnSenderDisconnected(ArrivalId arrival);
  void FailArrival(ArrivalId arrival, const Error& error);
  void RemoveRequest(const RequestId& request, ArrivalId arrival, bool failed);
  DispatchedRequest* FindRequest(const RequestId& request);
  AnswerWriter* FindAnswer(const DispatchedRequest& dispatched);
  [[nodiscard]] FrameHead MakeFrameHead(const DispatchedRequest& dispatched) const;
  [[nodiscard]] std::string StartSpan(DispatchedRequest& dispatched);
  void PollLoad();
  void KeepAnswersAlive();
  void Tick();

  Loop& loop_;
  Tracer* tracer_;
  AgentSettings settings_;
  Incarnation incarnation_;
  Sequence control_sequence_ = 0;
  EngineClient engine_;
  AgentMetrics metrics_;
  BackendScheduler scheduler_;
  bool leaving_ = false;
  std::set<NodeId> entries_;  // in the last snapshot
  std::function<void()> drained_;
  ArrivalId last_arrival_ = 0;
  std::unordered_map<ArrivalId, AnswerWriter> answers_;
  std::unordered_map<ArrivalId, RequestId> request_by_arrival_;  // same keys as answers_
  std::unordered_map<RequestId, DispatchedRequest> active_requests_;
  std::optional<Result<RequestState>> command_reply_;
  std::shared_ptr<BatchStopTimer> batch_stop_timer_;  // set while OnDispatch() executes actions
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Timer tick_timer_, load_timer_, keep_alive_timer_;
};

}  // namespace figmill
