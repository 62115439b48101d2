#pragma once

// One online request on its way: carries out what its RequestStateMachine decides, over
// HTTP to the agents and into a sink.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "figmill/online.h"
#include "figmill/runtime.h"
#include "figmilld/traffic/online_metrics.h"
#include "figmilld/traffic/online_work.h"

namespace figmill {

// Where an answer goes. `head` comes before `bytes`; `finish` or `fail` is last.
// After `head`, `fail` must show the reader that the answer is not whole.
struct OnlineSink {
  std::function<void(int status, const std::string& content_type)> head;
  std::function<void(std::string bytes)> bytes;
  std::function<void()> finish;
  std::function<void(const Error& error)> fail;
};

// Asked before each attempt (not before resumes) of a keyed or unrepeatable item.
// `go` is called once, now or later, on the loop, when `request` may go to `agent`,
// with the agent's stamp; without one the agent wasn't reached. Dropped without a
// call, it ends the run: the caller is answered otherwise. A further ask means
// that the attempt before never started, or that the item is repeatable.
using ClaimGranted = std::function<void(std::optional<std::uint64_t> stamp)>;
using ClaimAttempt =
    std::function<void(const RequestId& request, const NodeEndpoint& agent, ClaimGranted go)>;

// What calls share; outlives them.
struct OnlineParts {
  Loop& loop;
  HttpClient& client;
  Tracer& tracer;
  RandomBits random;
  Router router;
  TeamLimits limits;
  AgentLookup routes;
  OnlineMetrics metrics;
  std::unordered_map<ServiceName, RetryBudget> budgets;
};

class OnlineCall : public std::enable_shared_from_this<OnlineCall> {
 public:
  // `over` is called once, after the sink's last call.
  OnlineCall(OnlineParts& parts, OnlineWork work, OnlineSink sink, ClaimAttempt claim,
             std::function<void()> over);
  void Start() { Step(event::Start{}); }
  // The caller hung up: stops the work.
  void CallerGone() { Step(event::CallerDisconnected{}); }

 private:
  struct Open {
    CancelCall cancel;
    Span span;
  };

  void Step(const RequestEvent& event);
  void Carry(RequestAction& action);
  void Dispatch(const action::Dispatch& dispatch);
  void ClaimAndSend(const action::Dispatch& dispatch);
  void SendNow(const action::Dispatch& dispatch, std::optional<std::uint64_t> stamp);
  void OnDispatchEvent(CallNumber call, const NodeEndpoint& to, DispatchEvent& event);
  void Revoke(const action::Revoke& revoke);
  void CancelAt(const action::CancelWork& cancel);
  void CallOver(const action::EndCall& over);
  void SendBytes(std::string bytes);
  void SetTimer(Time at);
  void OnTimer();
  void Finish(const action::Finish& finish);
  void Fail(const Error& error);
  void Conclude();

  OnlineParts& parts_;
  OnlineWork work_;
  OnlineSink sink_;
  ClaimAttempt claim_;
  std::function<void()> over_;
  RequestStateMachine run_;
  Span span_;
  std::map<CallNumber, Open> open_;
  std::deque<RequestEvent> queued_;
  bool stepping_ = false;
  bool claiming_ = false;  // the present attempt waits for its claim
  bool concluded_ = false;
  Timer timer_;
  Time started_;
  Time sent_at_{};  // of the last attempt
  std::optional<Time> last_bytes_;
  std::string outcome_ = "abandoned";
  double tokens_used_ = 0;
};

}  // namespace figmill
