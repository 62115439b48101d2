#include "figmilld/traffic/online_call.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "figmill/documents.h"

namespace figmill {
namespace {

using nlohmann::json;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

event::RevokeState RevokeStateIn(const Result<std::string>& answer) {
  if (!IsOk(answer)) return event::RevokeState::kNoAnswer;
  const json body = ParseJson(ValueOf(answer));
  const std::string state = body.is_object() && body.contains("state") && body["state"].is_string()
                                ? body["state"].get<std::string>()
                                : "";
  if (state == "never-started") return event::RevokeState::kNeverStarted;
  if (state == "running") return event::RevokeState::kRunning;
  if (state == "finished") return event::RevokeState::kFinished;
  return event::RevokeState::kNoAnswer;
}

// Ends the run when its claim's answer is dropped: the item was answered without
// it, and the run would wait out its deadline.
struct ClaimGuard {
  ClaimGuard(Loop& owner, std::weak_ptr<OnlineCall> guarded)
      : loop(owner), call(std::move(guarded)) {}
  ClaimGuard(const ClaimGuard&) = delete;
  ClaimGuard& operator=(const ClaimGuard&) = delete;
  ~ClaimGuard() {
    if (answered || call.expired()) return;
    loop.Post([weak = call] {
      if (const auto self = weak.lock()) self->CallerGone();
    });
  }
  Loop& loop;
  std::weak_ptr<OnlineCall> call;
  bool answered = false;
};

}  // namespace

OnlineCall::OnlineCall(OnlineParts& parts, OnlineWork work, OnlineSink sink, ClaimAttempt claim,
                       std::function<void()> over)
    : parts_(parts),
      work_(std::move(work)),
      sink_(std::move(sink)),
      claim_(std::move(claim)),
      over_(std::move(over)),
      run_(work_.plan, parts.routes, parts.budgets[work_.plan.service], parts.random),
      span_(parts.tracer.Start("online", work_.parent)),
      started_(Loop::Now()) {
  span_.attributes.push_back({"service", work_.plan.service.value});
  span_.attributes.push_back({"team", work_.team.value});
}

// A claim may answer while an action is carried out: what it says waits its turn.
void OnlineCall::Step(const RequestEvent& event) {
  if (stepping_) {
    queued_.push_back(event);
    return;
  }
  stepping_ = true;
  const std::shared_ptr<OnlineCall> alive = shared_from_this();
  std::vector<RequestAction> actions = run_.On(event, Loop::Now());
  for (RequestAction& action : actions) Carry(action);
  while (!queued_.empty()) {
    const RequestEvent next = std::move(queued_.front());
    queued_.pop_front();
    actions = run_.On(next, Loop::Now());
    for (RequestAction& action : actions) Carry(action);
  }
  stepping_ = false;
  if (run_.done()) Conclude();
}

void OnlineCall::Carry(RequestAction& action) {
  std::visit(Overloaded{
                 [&](const action::Dispatch& dispatch) { Dispatch(dispatch); },
                 [&](const action::Revoke& revoke) { Revoke(revoke); },
                 [&](const action::EndCall& over) { CallOver(over); },
                 [&](const action::CancelWork& cancel) { CancelAt(cancel); },
                 [&](const action::SendHead& head) { sink_.head(head.status, head.content_type); },
                 [&](action::SendBytes& bytes) { SendBytes(std::move(bytes.bytes)); },
                 [&](const action::Finish& finish) { Finish(finish); },
                 [&](const action::Fail& fail) { Fail(fail.error); },
                 [&](const action::SetTimer& timer) { SetTimer(timer.at); },
             },
             action);
}

void OnlineCall::Dispatch(const action::Dispatch& dispatch) {
  parts_.router.RecordDispatch(dispatch.to.node, work_.plan.tokens);
  (dispatch.resume ? parts_.metrics.resumes : parts_.metrics.attempts).Add();
  Open open;
  open.span = parts_.tracer.Start(dispatch.resume ? "resume" : "dispatch", span_.context);
  open.span.attributes.push_back({"agent", dispatch.to.node.value});
  open.span.attributes.push_back({"request", dispatch.request.value});
  open_.emplace(dispatch.call, std::move(open));
  if (dispatch.resume || !claim_) return SendNow(dispatch, std::nullopt);
  ClaimAndSend(dispatch);
}

void OnlineCall::ClaimAndSend(const action::Dispatch& dispatch) {
  claiming_ = true;
  auto guard = std::make_shared<ClaimGuard>(parts_.loop, weak_from_this());
  claim_(dispatch.request, dispatch.to, [guard, dispatch](std::optional<std::uint64_t> stamp) {
    guard->answered = true;
    const auto self = guard->call.lock();
    if (!self) return;
    self->claiming_ = false;
    if (!stamp)
      return self->Step(event::CallFailed{dispatch.call, false, "the agent wasn't reached"});
    self->SendNow(dispatch, stamp);
    self->Step(event::Sent{dispatch.call});
  });
}

void OnlineCall::SendNow(const action::Dispatch& dispatch, std::optional<std::uint64_t> stamp) {
  const auto open = open_.find(dispatch.call);
  if (open == open_.end()) return;  // given up while its claim was written
  const Time now = Loop::Now();
  if (!dispatch.resume) sent_at_ = now;
  DispatchHeaders headers = work_.dispatch;
  headers.request = dispatch.request;
  headers.incarnation = dispatch.to.incarnation;
  headers.time_left = std::max(Duration{0}, work_.plan.deadline - now);
  headers.stamp = stamp;
  if (dispatch.resume) headers.resume_from = dispatch.resume_from;
  headers.traceparent = ToTraceparent(open->second.span.context);
  open->second.cancel = SendDispatch(
      parts_.client, dispatch.to.address, headers, work_.body,
      [weak = weak_from_this(), call = dispatch.call, to = dispatch.to](DispatchEvent event) {
        if (const auto self = weak.lock()) self->OnDispatchEvent(call, to, event);
      });
}

void OnlineCall::OnDispatchEvent(CallNumber call, const NodeEndpoint& to, DispatchEvent& event) {
  std::visit(Overloaded{
                 [&](const FrameHead& head) {
                   parts_.router.RecordLoad(
                       to.node, {head.online_running, head.batch_running, head.online_mark},
                       Loop::Now());
                   Step(event::Head{call, head.status, head.content_type, head.request});
                 },
                 [&](const FrameData& data) {
                   Step(event::Data{call, data.bytes});
                 },
                 [&](const FrameEnd& end) {
                   Step(event::End{call, end.bytes, end.tokens, end.cached_tokens});
                 },
                 [&](const FrameFailure& failure) {
                   Step(event::AgentRefused{call, failure.error});
                 },
                 [&](const DispatchRefused& refused) {
                   Step(event::AgentRefused{call, refused.error});
                 },
                 [&](const DispatchBroke& broke) {
                   Step(event::CallFailed{call, broke.sent, broke.why});
                 },
             },
             event);
}

void OnlineCall::Revoke(const action::Revoke& revoke) {
  // The agent forgets after a while; it must not take a request that it forgot
  // for one that it never had.
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(Loop::Now() - sent_at_);
  const json params = {{"request", revoke.request.value},
                       {"incarnation", revoke.to.incarnation},
                       {"age_ms", age.count()}};
  CallRpc(parts_.client, revoke.to.address, "revoke", params.dump(),
          RequestStateMachine::kRevokeTimeout,
          [weak = weak_from_this(), call = revoke.call](const Result<std::string>& answer) {
            if (const auto self = weak.lock()) {
              self->Step(event::RevokeAnswered{call, RevokeStateIn(answer)});
            }
          });
}

void OnlineCall::CancelAt(const action::CancelWork& cancel) {
  const json params = {{"request", cancel.request.value}};
  CallRpc(parts_.client, cancel.to.address, "cancel", params.dump(),
          RequestStateMachine::kRevokeTimeout, [](const Result<std::string>&) {});
}

void OnlineCall::CallOver(const action::EndCall& over) {
  const auto open = open_.find(over.call);
  if (open == open_.end()) return;
  if (open->second.cancel) open->second.cancel();
  open->second.span.failed = over.end == AttemptEnd::kFailed;
  if (over.error) {
    open->second.span.attributes.push_back(
        {"error", std::string(ErrorInfoOf(over.error->kind).name)});
  }
  parts_.tracer.Finish(std::move(open->second.span));
  open_.erase(open);
  const Time now = Loop::Now();
  parts_.router.RecordAttemptEnd(over.to.node, work_.plan.tokens, over.end, over.error, now);
  parts_.metrics.ejected.Set(static_cast<double>(parts_.router.ejected(now)));
}

void OnlineCall::SendBytes(std::string bytes) {
  const Time now = Loop::Now();
  if (last_bytes_) {
    parts_.metrics.gap.Add(Seconds(now - *last_bytes_));
  } else {
    parts_.metrics.first_bytes.Add(Seconds(now - started_));
  }
  last_bytes_ = now;
  sink_.bytes(std::move(bytes));
}

void OnlineCall::SetTimer(Time at) {
  timer_ = parts_.loop.After(std::max(Duration{0}, at - Loop::Now()), [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnTimer();
  });
}

// While a claim is written the agent has nothing to be asked about.
void OnlineCall::OnTimer() {
  if (claiming_ && Loop::Now() < work_.plan.deadline) return SetTimer(work_.plan.deadline);
  Step(event::TimerFired{});
}

void OnlineCall::Finish(const action::Finish& finish) {
  outcome_ = "answered";
  tokens_used_ = static_cast<double>(finish.tokens);
  parts_.metrics.tokens.Add(finish.tokens);
  parts_.metrics.cached_tokens.Add(finish.cached_tokens);
  sink_.finish();
}

void OnlineCall::Fail(const Error& error) {
  outcome_ = ErrorInfoOf(error.kind).name;
  // What ran is charged as asked for: how much it generated isn't known.
  if (error.ran != Ran::kNo) tokens_used_ = work_.plan.tokens;
  span_.failed = true;
  span_.attributes.push_back({"error", outcome_});
  span_.attributes.push_back({"ran", std::string(ToString(error.ran))});
  sink_.fail(error);
}

void OnlineCall::Conclude() {
  if (std::exchange(concluded_, true)) return;
  timer_.Reset();
  if (outcome_ == "abandoned") tokens_used_ = work_.plan.tokens;
  parts_.limits.Settle(work_.team, work_.plan.tokens, tokens_used_);
  parts_.metrics.late_events.Add(run_.late_events());
  parts_.metrics.Ended(outcome_);
  span_.attributes.push_back({"attempts", std::to_string(run_.attempts())});
  parts_.tracer.Finish(std::move(span_));
  over_();
}

}  // namespace figmill
