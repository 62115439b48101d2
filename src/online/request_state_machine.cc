#include <algorithm>
#include <utility>

#include "figmill/online.h"
#include "online/request_errors.h"

namespace figmill {

RequestStateMachine::RequestStateMachine(RequestPlan plan, const AgentLookup& lookup,
                                         RetryBudget& budget, RandomBits random)
    : plan_(std::move(plan)), lookup_(lookup), budget_(budget), random_(std::move(random)) {}

std::vector<RequestAction> RequestStateMachine::On(const RequestEvent& event, Time now) {
  out_.clear();
  if (done()) {
    if (!std::holds_alternative<event::TimerFired>(event)) ++late_events_;
    return {};
  }
  std::visit(Overloaded{
                 [&](const event::Start&) { OnStart(now); },
                 [&](const event::Sent& sent) { OnSent(sent, now); },
                 [&](const event::AgentRefused& refused) { OnRefused(refused, now); },
                 [&](const event::Head& head) { OnHead(head, now); },
                 [&](const event::Data& data) { OnData(data, now); },
                 [&](const event::End& end) { OnEnd(end, now); },
                 [&](const event::CallFailed& failure) { OnCallFailed(failure, now); },
                 [&](const event::RevokeAnswered& answered) { OnRevokeAnswered(answered, now); },
                 [&](const event::TimerFired&) { OnTimer(now); },
                 [&](const event::CallerDisconnected&) { OnCallerDisconnected(); },
             },
             event);
  return std::exchange(out_, {});
}

void RequestStateMachine::OnStart(Time now) {
  if (phase_ != Phase::kNew) return;
  if (now >= plan_.deadline) return FinishWithError(detail::DeadlineError());
  const Result<NodeEndpoint> endpoint = lookup_.choose(plan_, tried_, now);
  if (!IsOk(endpoint)) return FinishWithError(ErrorOf(endpoint));
  DispatchTo(ValueOf(endpoint), false, now);
}

void RequestStateMachine::OnSent(const event::Sent& sent, Time now) {
  if (IsCurrent(sent.call)) ArmSilenceTimer(kHeadTimeout, now);
}

void RequestStateMachine::DispatchTo(const NodeEndpoint& endpoint, bool resume, Time now) {
  if (!resume) {
    ++attempts_;
    tried_.push_back(endpoint.node);
    attempt_ = Attempt{.dispatched_to = endpoint,
                       .request = {plan_.request.value + "." + std::to_string(attempts_)},
                       .ran = Ran::kUnknown};
    rerun_events_left_ = tokens_sent_;
    rerun_hash_ = 0;
  }
  attempt_.to = endpoint;
  attempt_.resuming = resume;
  phase_ = Phase::kWaiting;
  ++call_;
  call_bytes_ = 0;
  out_.emplace_back(
      action::Dispatch{.call = call_,
                       .to = endpoint,
                       .request = attempt_.request,
                       .resume = resume,
                       .resume_from = resume ? tokens_sent_ - rerun_events_left_ : 0});
  ArmSilenceTimer(kHeadTimeout, now);
}

void RequestStateMachine::OnRefused(const event::AgentRefused& refused, Time now) {
  if (!IsCurrent(refused.call)) return;
  const Error& error = refused.error;
  last_error_ = error;
  // A refused resume doesn't tell whether the run still exists.
  if (attempt_.resuming && phase_ == Phase::kWaiting) {
    CloseCall(AttemptEnd::kRefused, error);
    return detail::MaySucceedLater(error.kind) ? ScheduleResume(now) : RerunOrFail(now);
  }
  const bool not_run = error.ran == Ran::kNo && phase_ == Phase::kWaiting;
  if (!not_run) {
    if (error.ran == Ran::kYes) attempt_.ran = Ran::kYes;
    if (!detail::MaySucceedAtOtherAgent(error.kind)) return FinishWithError(error);
    CloseCall(AttemptEnd::kFailed, error);
    DropUnsent();
    return plan_.can_resume ? ScheduleResume(now) : RerunOrFail(now);
  }
  attempt_.ran = Ran::kNo;
  if (!detail::MaySucceedAtOtherAgent(error.kind)) return FinishWithError(error);
  CloseCall(AttemptEnd::kRefused, error);
  // The agent was restarted: its new incarnation may be tried as well.
  const std::optional<NodeEndpoint> found = lookup_.find(attempt_.to.node);
  if (error.kind == ErrorKind::kStaleOrders && found &&
      found->incarnation > attempt_.to.incarnation) {
    std::erase(tried_, attempt_.to.node);
  }
  DispatchToNextAgent(now);
}

void RequestStateMachine::OnCallFailed(const event::CallFailed& failure, Time now) {
  if (!IsCurrent(failure.call)) return;
  last_error_ = Error{ErrorKind::kBackendFailed, "the call to the agent failed: " + failure.why};
  if (!failure.sent && !attempt_.resuming) {
    attempt_.ran = Ran::kNo;
    CloseCall(AttemptEnd::kFailed, last_error_);
    return DispatchToNextAgent(now);
  }
  HandleBrokenCall(last_error_, now);
}

// The open call will not deliver a complete answer. An attempt that is known to have started is
// resumed; otherwise the agent is asked first whether it started.
void RequestStateMachine::HandleBrokenCall(const Error& why, Time now) {
  last_error_ = why;
  CloseCall(AttemptEnd::kFailed, why);
  DropUnsent();
  if (attempt_.ran != Ran::kYes) return SendRevoke(now);
  return plan_.can_resume ? ScheduleResume(now) : RerunOrFail(now);
}

// The request may have reached the agent although the call failed before any answer: sent to
// another agent at once, it could run twice. The agent keeps a tombstone of the revoked
// request, which makes `never-started` final. Only the incarnation that got the request can
// give this answer: a later one has no record of the request and would also report
// `never-started` for work that ran.
void RequestStateMachine::SendRevoke(Time now) {
  phase_ = Phase::kRevoking;
  ++attempt_.revokes;
  out_.emplace_back(action::Revoke{call_, attempt_.dispatched_to, attempt_.request});
  timer_due_ = now + kRevokeTimeout;
  ArmTimer(timer_due_);
}

// The open call has received no data within its silence timeout. The answer to a probe
// distinguishes a slow agent from a paused one; the call stays open meanwhile.
void RequestStateMachine::SendProbe(Time now) {
  probing_ = true;
  out_.emplace_back(action::Revoke{call_, attempt_.dispatched_to, attempt_.request});
  timer_due_ = now + kRevokeTimeout;
  ArmTimer(timer_due_);
}

void RequestStateMachine::OnRevokeAnswered(const event::RevokeAnswered& answered, Time now) {
  if (answered.call != call_) {
    ++late_events_;
    return;
  }
  if (probing_) return OnProbeAnswered(answered.state, now);
  if (phase_ != Phase::kRevoking) return;
  switch (answered.state) {
    case event::RevokeState::kNeverStarted:
      if (attempt_.ran == Ran::kYes) return RerunOrFail(now);
      attempt_.ran = Ran::kNo;
      return DispatchToNextAgent(now);
    case event::RevokeState::kRunning:
    case event::RevokeState::kFinished:
      attempt_.ran = Ran::kYes;
      return plan_.can_resume ? ScheduleResume(now) : RerunOrFail(now);
    case event::RevokeState::kNoAnswer:
      // For a request that is not repeatable, the revoke is sent again when the timer fires.
      if (plan_.repeatable) OnRevokeUnanswered(now);
      return;
  }
}

void RequestStateMachine::OnProbeAnswered(event::RevokeState state, Time now) {
  probing_ = false;
  switch (state) {
    case event::RevokeState::kNeverStarted:
      if (attempt_.ran == Ran::kYes) return ArmSilenceTimer(silence_timeout_, now);
      last_error_ = Error{ErrorKind::kOverloaded, "the agent didn't start the work in time"};
      attempt_.ran = Ran::kNo;
      CloseCall(AttemptEnd::kRefused, last_error_);
      return DispatchToNextAgent(now);
    case event::RevokeState::kFinished:
      // The last bytes may still be in transit, so the first such answer is tolerated.
      if (++attempt_.finished_probes > 1) {
        attempt_.ran = Ran::kYes;
        return HandleBrokenCall(detail::AgentSilentError(), now);
      }
      [[fallthrough]];
    case event::RevokeState::kRunning:
      attempt_.ran = Ran::kYes;
      return ArmSilenceTimer(2 * silence_timeout_, now);
    case event::RevokeState::kNoAnswer:
      last_error_ = detail::AgentSilentError();
      CloseCall(AttemptEnd::kFailed, last_error_);
      DropUnsent();
      return OnRevokeUnanswered(now);
  }
}

// The agent gave no answer whether the work started. If it was restarted, its engine may still
// have the stream; otherwise the outcome stays unknown.
void RequestStateMachine::OnRevokeUnanswered(Time now) {
  const std::optional<NodeEndpoint> found = lookup_.find(attempt_.to.node);
  if (plan_.can_resume && found && found->incarnation != attempt_.to.incarnation &&
      !attempt_.new_incarnation_tried) {
    attempt_.new_incarnation_tried = true;
    return Resume(now);
  }
  if (!plan_.repeatable && attempt_.revokes < kMaxRevokes) return SendRevoke(now);
  RerunOrFail(now);
}

void RequestStateMachine::ScheduleResume(Time now) {
  const int max_resumes = plan_.repeatable ? kMaxResumes : kMaxResumesOfUnrepeatable;
  if (attempt_.consecutive_resumes >= max_resumes) return RerunOrFail(now);
  if (attempt_.consecutive_resumes == 0) return Resume(now);
  phase_ = Phase::kBackingOff;
  const Duration backoff = kResumeBackoff * (1 << (2 * (attempt_.consecutive_resumes - 1)));
  timer_due_ = now + std::min(backoff, kMaxResumeBackoff);
  ArmTimer(timer_due_);
}

void RequestStateMachine::Resume(Time now) {
  ++attempt_.consecutive_resumes;
  const std::optional<NodeEndpoint> found = lookup_.find(attempt_.to.node);
  if (!found) return plan_.repeatable ? RerunOrFail(now) : ScheduleResume(now);
  ++resumes_;
  DispatchTo(*found, true, now);
}

// The answer of the attempt can't be recovered. Repeatable work may be run again; the events
// that the caller already has must then be the same in the rerun, otherwise the answer fails as
// broken.
void RequestStateMachine::RerunOrFail(Time now) {
  if (plan_.repeatable) {
    CancelStarted();
    return DispatchToNextAgent(now);
  }
  Error error = last_error_;
  error.kind = attempt_.ran == Ran::kYes ? ErrorKind::kBrokenAnswer : ErrorKind::kOutcomeUnknown;
  FinishWithError(std::move(error));
}

// The budget keeps retries from multiplying the load. A leaving agent refuses at no cost and
// refuses the requests of all callers at once: charged for that, the budget would be used up
// and callers would be refused although other agents have capacity.
bool RequestStateMachine::IsFreeRetry() const {
  return ran_before_ == Ran::kNo &&
         (last_error_.kind == ErrorKind::kLeaving || last_error_.kind == ErrorKind::kStaleOrders);
}

void RequestStateMachine::DispatchToNextAgent(Time now) {
  phase_ = Phase::kNew;
  ran_before_ = detail::CombineRan(ran_before_, std::exchange(attempt_.ran, Ran::kNo));
  if (now >= plan_.deadline) return FinishWithError(detail::DeadlineError());
  const Result<NodeEndpoint> endpoint = lookup_.choose(plan_, tried_, now);
  if (!IsOk(endpoint) || !(IsFreeRetry() || budget_.TrySpend())) {
    // Nothing ran, so the caller is only told that it may retry.
    const bool not_run = ran_before_ == Ran::kNo && last_error_.kind == ErrorKind::kBackendFailed;
    if (not_run) last_error_.kind = ErrorKind::kNoBackend;
    return FinishWithError(last_error_);
  }
  DispatchTo(ValueOf(endpoint), false, now);
}

void RequestStateMachine::OnTimer(Time now) {
  armed_at_.reset();
  if (now >= plan_.deadline) return FinishWithError(detail::DeadlineError());
  if (now < timer_due_) return ArmTimer(timer_due_);
  switch (phase_) {
    case Phase::kWaiting:
    case Phase::kStreaming:
      return probing_ ? OnProbeAnswered(event::RevokeState::kNoAnswer, now) : SendProbe(now);
    case Phase::kRevoking:
      return OnRevokeUnanswered(now);
    case Phase::kBackingOff:
      return Resume(now);
    case Phase::kNew:
    case Phase::kDone:
      return;
  }
}

void RequestStateMachine::OnCallerDisconnected() {
  CancelStarted();
  CloseCall(AttemptEnd::kAbandoned);
  phase_ = Phase::kDone;
}

void RequestStateMachine::CancelStarted() {
  if (attempt_.ran == Ran::kNo) return;
  out_.emplace_back(action::CancelWork{attempt_.to, attempt_.request});
}

void RequestStateMachine::CloseCall(AttemptEnd end, std::optional<Error> error) {
  if (!CallOpen()) return;
  out_.emplace_back(action::EndCall{call_, attempt_.to, end, std::move(error)});
  probing_ = false;
  phase_ = Phase::kNew;
}

void RequestStateMachine::FinishWithError(Error error) {
  error.ran = detail::CombineRan(ran_before_, attempt_.ran);
  if (ErrorInfoOf(error.kind).retry_may_help) {
    // Random over [min_delay, 2 x min_delay), so that callers don't retry all at the same time.
    const Duration min_delay = error.retry_after.value_or(kRetryAfter);
    const auto spread = static_cast<std::uint64_t>(std::max<std::int64_t>(1, min_delay.count()));
    error.retry_after = min_delay + Duration(static_cast<std::int64_t>(random_() % spread));
  }
  if (plan_.repeatable) CancelStarted();
  const bool refused = error.ran == Ran::kNo;
  CloseCall(refused ? AttemptEnd::kRefused : AttemptEnd::kAbandoned, error);
  phase_ = Phase::kDone;
  out_.emplace_back(action::Fail{std::move(error)});
}

void RequestStateMachine::ArmSilenceTimer(Duration silence_timeout, Time now) {
  probing_ = false;
  silence_timeout_ = silence_timeout;
  timer_due_ = now + silence_timeout;
  ArmTimer(timer_due_);
}

// A timer that fires before the timeout is set again; extending the timeout for each piece of a
// stream would otherwise cost a timer operation.
void RequestStateMachine::ArmTimer(Time at) {
  at = std::min(at, plan_.deadline);
  if (armed_at_ && *armed_at_ <= at) return;
  armed_at_ = at;
  out_.emplace_back(action::SetTimer{at});
}

bool RequestStateMachine::IsCurrent(CallNumber call) {
  if (call == call_ && CallOpen()) return true;
  ++late_events_;
  return false;
}

bool RequestStateMachine::CallOpen() const {
  return phase_ == Phase::kWaiting || phase_ == Phase::kStreaming;
}

}  // namespace figmill
