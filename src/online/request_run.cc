#include <algorithm>
#include <utility>

#include "figmill/online.h"
#include "online/request_errors.h"

namespace figmill {

RequestRun::RequestRun(RequestPlan plan, const RequestRoutes& routes, RetryBudget& budget,
                       RandomBits random)
    : plan_(std::move(plan)), routes_(routes), budget_(budget), random_(std::move(random)) {}

std::vector<RequestAction> RequestRun::On(const RequestEvent& event, Time now) {
  out_.clear();
  if (done()) {
    if (!std::holds_alternative<event::TimerFired>(event)) ++late_;
    return {};
  }
  std::visit(Overloaded{
                 [&](const event::Start&) { OnStart(now); },
                 [&](const event::Sent& sent) { OnSent(sent, now); },
                 [&](const event::AgentRefused& refused) { OnRefused(refused, now); },
                 [&](const event::Head& head) { OnHead(head, now); },
                 [&](const event::Data& data) { OnData(data, now); },
                 [&](const event::End& end) { OnEnd(end, now); },
                 [&](const event::Broke& broke) { OnBroke(broke, now); },
                 [&](const event::RevokeAnswered& answered) { OnRevokeAnswered(answered, now); },
                 [&](const event::TimerFired&) { OnTimer(now); },
                 [&](const event::CallerGone&) { OnCallerGone(); },
             },
             event);
  return std::exchange(out_, {});
}

void RequestRun::OnStart(Time now) {
  if (phase_ != Phase::kNew) return;
  if (now >= plan_.deadline) return GiveUp(detail::DeadlinePassed());
  const Result<Pick> pick = routes_.choose(plan_, tried_, now);
  if (!IsOk(pick)) return GiveUp(ErrorOf(pick));
  DispatchTo(ValueOf(pick), false, now);
}

void RequestRun::OnSent(const event::Sent& sent, Time now) {
  if (IsCurrent(sent.call)) Listen(kHeadPatience, now);
}

void RequestRun::DispatchTo(const Pick& pick, bool resume, Time now) {
  if (!resume) {
    ++attempts_;
    tried_.push_back(pick.node);
    attempt_ = Attempt{.first_to = pick,
                       .request = {plan_.request.value + "." + std::to_string(attempts_)},
                       .ran = Ran::kUnknown};
    replay_left_ = tokens_sent_;
    replay_hash_ = 0;
  }
  attempt_.to = pick;
  attempt_.resuming = resume;
  phase_ = Phase::kWaiting;
  ++call_;
  call_bytes_ = 0;
  out_.emplace_back(action::Dispatch{.call = call_,
                                     .to = pick,
                                     .request = attempt_.request,
                                     .resume = resume,
                                     .resume_from = resume ? tokens_sent_ - replay_left_ : 0});
  Listen(kHeadPatience, now);
}

void RequestRun::OnRefused(const event::AgentRefused& refused, Time now) {
  if (!IsCurrent(refused.call)) return;
  const Error& error = refused.error;
  last_error_ = error;
  // A refused resume says nothing of the run that it asks for.
  if (attempt_.resuming && phase_ == Phase::kWaiting) {
    CloseCall(AttemptEnd::kRefused, error);
    return detail::PassesSoon(error.kind) ? ResumeSoon(now) : CantResume(now);
  }
  const bool not_run = error.ran == Ran::kNo && phase_ == Phase::kWaiting;
  if (!not_run) {
    if (error.ran == Ran::kYes) attempt_.ran = Ran::kYes;
    if (!detail::MayGoElsewhere(error.kind)) return GiveUp(error);
    CloseCall(AttemptEnd::kFailed, error);
    DropUnsent();
    return plan_.can_resume ? ResumeSoon(now) : CantResume(now);
  }
  attempt_.ran = Ran::kNo;
  if (!detail::MayGoElsewhere(error.kind)) return GiveUp(error);
  CloseCall(AttemptEnd::kRefused, error);
  // The agent was restarted: its new process is another one to try.
  const std::optional<Pick> found = routes_.find(attempt_.to.node);
  if (error.kind == ErrorKind::kStaleOrders && found &&
      found->incarnation > attempt_.to.incarnation) {
    std::erase(tried_, attempt_.to.node);
  }
  TryElsewhere(now);
}

void RequestRun::OnBroke(const event::Broke& broke, Time now) {
  if (!IsCurrent(broke.call)) return;
  last_error_ = Error{ErrorKind::kBackendFailed, "the call to the agent broke off: " + broke.why};
  if (!broke.sent && !attempt_.resuming) {
    attempt_.ran = Ran::kNo;
    CloseCall(AttemptEnd::kFailed, last_error_);
    return TryElsewhere(now);
  }
  Broken(last_error_, now);
}

// The open call gives no whole answer. What started is resumed; whether it
// started is asked first when that isn't known.
void RequestRun::Broken(const Error& why, Time now) {
  last_error_ = why;
  CloseCall(AttemptEnd::kFailed, why);
  DropUnsent();
  if (attempt_.ran != Ran::kYes) return AskWhetherStarted(now);
  return plan_.can_resume ? ResumeSoon(now) : CantResume(now);
}

// A request may have reached the agent though the call broke before any answer:
// sending it elsewhere at once would run it twice. The agent's tombstone makes
// `never-started` final. Only the incarnation that got the request may say so: a
// successor knows nothing of it, and would say the same of work that ran.
void RequestRun::AskWhetherStarted(Time now) {
  phase_ = Phase::kRevoking;
  ++attempt_.revokes;
  out_.emplace_back(action::Revoke{call_, attempt_.first_to, attempt_.request});
  wake_at_ = now + kRevokeTimeout;
  Arm(wake_at_);
}

// The open call has been silent for long. A paused agent looks like a slow one:
// its answer to a probe tells them apart, and the call stays open meanwhile.
void RequestRun::Probe(Time now) {
  probing_ = true;
  out_.emplace_back(action::Revoke{call_, attempt_.first_to, attempt_.request});
  wake_at_ = now + kRevokeTimeout;
  Arm(wake_at_);
}

void RequestRun::OnRevokeAnswered(const event::RevokeAnswered& answered, Time now) {
  if (answered.call != call_) {
    ++late_;
    return;
  }
  if (probing_) return ProbeAnswered(answered.state, now);
  if (phase_ != Phase::kRevoking) return;
  switch (answered.state) {
    case event::RevokeState::kNeverStarted:
      if (attempt_.ran == Ran::kYes) return CantResume(now);
      attempt_.ran = Ran::kNo;
      return TryElsewhere(now);
    case event::RevokeState::kRunning:
    case event::RevokeState::kFinished:
      attempt_.ran = Ran::kYes;
      return plan_.can_resume ? ResumeSoon(now) : CantResume(now);
    case event::RevokeState::kNoAnswer:
      // What may not be repeated is asked for again when the timer fires.
      if (plan_.repeatable) AskedInVain(now);
      return;
  }
}

void RequestRun::ProbeAnswered(event::RevokeState state, Time now) {
  probing_ = false;
  switch (state) {
    case event::RevokeState::kNeverStarted:
      if (attempt_.ran == Ran::kYes) return Listen(patience_, now);
      last_error_ = Error{ErrorKind::kOverloaded, "the agent didn't start the work in time"};
      attempt_.ran = Ran::kNo;
      CloseCall(AttemptEnd::kRefused, last_error_);
      return TryElsewhere(now);
    case event::RevokeState::kFinished:
      // Its last bytes may be on their way, once.
      if (++attempt_.said_finished > 1) {
        attempt_.ran = Ran::kYes;
        return Broken(detail::Silent(), now);
      }
      [[fallthrough]];
    case event::RevokeState::kRunning:
      attempt_.ran = Ran::kYes;
      return Listen(2 * patience_, now);
    case event::RevokeState::kNoAnswer:
      last_error_ = detail::Silent();
      CloseCall(AttemptEnd::kFailed, last_error_);
      DropUnsent();
      return AskedInVain(now);
  }
}

// The agent doesn't say whether the work started. Its successor's engine may
// still hold the stream; else it stays unknown.
void RequestRun::AskedInVain(Time now) {
  const std::optional<Pick> found = routes_.find(attempt_.to.node);
  if (plan_.can_resume && found && found->incarnation != attempt_.to.incarnation &&
      !attempt_.new_incarnation_tried) {
    attempt_.new_incarnation_tried = true;
    return Resume(now);
  }
  if (!plan_.repeatable && attempt_.revokes < kRevokes) return AskWhetherStarted(now);
  CantResume(now);
}

void RequestRun::ResumeSoon(Time now) {
  const int most = plan_.repeatable ? kResumes : kResumesOfUnrepeatable;
  if (attempt_.resumes_in_row >= most) return CantResume(now);
  if (attempt_.resumes_in_row == 0) return Resume(now);
  phase_ = Phase::kResting;
  const Duration backoff = kResumeBackoff * (1 << (2 * (attempt_.resumes_in_row - 1)));
  wake_at_ = now + std::min(backoff, kLongestResumeBackoff);
  Arm(wake_at_);
}

void RequestRun::Resume(Time now) {
  ++attempt_.resumes_in_row;
  const std::optional<Pick> found = routes_.find(attempt_.to.node);
  if (!found) return plan_.repeatable ? CantResume(now) : ResumeSoon(now);
  ++resumes_;
  DispatchTo(*found, true, now);
}

// The attempt's answer is lost. A new run is allowed for repeatable work; what
// the caller has of a stream must then come again, event for event, or the
// answer is given up as broken.
void RequestRun::CantResume(Time now) {
  if (plan_.repeatable) {
    CancelStarted();
    return TryElsewhere(now);
  }
  Error error = last_error_;
  error.kind = attempt_.ran == Ran::kYes ? ErrorKind::kBrokenAnswer : ErrorKind::kOutcomeUnknown;
  GiveUp(std::move(error));
}

// The budget keeps retries from multiplying the load. An agent that leaves refuses
// at no cost and to everyone at once: charged for that, the budget would run out
// and callers be refused though others have room.
bool RequestRun::SpentNothing() const {
  return ran_before_ == Ran::kNo &&
         (last_error_.kind == ErrorKind::kLeaving || last_error_.kind == ErrorKind::kStaleOrders);
}

void RequestRun::TryElsewhere(Time now) {
  phase_ = Phase::kNew;
  ran_before_ = detail::Worse(ran_before_, std::exchange(attempt_.ran, Ran::kNo));
  if (now >= plan_.deadline) return GiveUp(detail::DeadlinePassed());
  const Result<Pick> pick = routes_.choose(plan_, tried_, now);
  if (!IsOk(pick) || !(SpentNothing() || budget_.Spend())) {
    // All there is to say to the caller is that it may come back.
    const bool not_run = ran_before_ == Ran::kNo && last_error_.kind == ErrorKind::kBackendFailed;
    if (not_run) last_error_.kind = ErrorKind::kNoBackend;
    return GiveUp(last_error_);
  }
  DispatchTo(ValueOf(pick), false, now);
}

void RequestRun::OnTimer(Time now) {
  armed_at_.reset();
  if (now >= plan_.deadline) return GiveUp(detail::DeadlinePassed());
  if (now < wake_at_) return Arm(wake_at_);
  switch (phase_) {
    case Phase::kWaiting:
    case Phase::kStreaming:
      return probing_ ? ProbeAnswered(event::RevokeState::kNoAnswer, now) : Probe(now);
    case Phase::kRevoking:
      return AskedInVain(now);
    case Phase::kResting:
      return Resume(now);
    case Phase::kNew:
    case Phase::kDone:
      return;
  }
}

void RequestRun::OnCallerGone() {
  CancelStarted();
  CloseCall(AttemptEnd::kAbandoned);
  phase_ = Phase::kDone;
}

void RequestRun::CancelStarted() {
  if (attempt_.ran == Ran::kNo) return;
  out_.emplace_back(action::CancelAt{attempt_.to, attempt_.request});
}

void RequestRun::CloseCall(AttemptEnd end, std::optional<Error> error) {
  if (!CallOpen()) return;
  out_.emplace_back(action::CallOver{call_, attempt_.to, end, std::move(error)});
  probing_ = false;
  phase_ = Phase::kNew;
}

void RequestRun::GiveUp(Error error) {
  error.ran = detail::Worse(ran_before_, attempt_.ran);
  if (ErrorInfoOf(error.kind).retry_may_help) {
    // Spread over twice the time, so that callers don't come back together.
    const Duration least = error.retry_after.value_or(kRetryAfter);
    const auto spread = static_cast<std::uint64_t>(std::max<std::int64_t>(1, least.count()));
    error.retry_after = least + Duration(static_cast<std::int64_t>(random_() % spread));
  }
  if (plan_.repeatable) CancelStarted();
  const bool refused = error.ran == Ran::kNo;
  CloseCall(refused ? AttemptEnd::kRefused : AttemptEnd::kAbandoned, error);
  phase_ = Phase::kDone;
  out_.emplace_back(action::Fail{std::move(error)});
}

void RequestRun::Listen(Duration patience, Time now) {
  probing_ = false;
  patience_ = patience;
  wake_at_ = now + patience;
  Arm(wake_at_);
}

// A timer that fires early is armed again, so that each piece of a stream
// doesn't cost one.
void RequestRun::Arm(Time at) {
  at = std::min(at, plan_.deadline);
  if (armed_at_ && *armed_at_ <= at) return;
  armed_at_ = at;
  out_.emplace_back(action::SetTimer{at});
}

bool RequestRun::IsCurrent(CallNumber call) {
  if (call == call_ && CallOpen()) return true;
  ++late_;
  return false;
}

bool RequestRun::CallOpen() const {
  return phase_ == Phase::kWaiting || phase_ == Phase::kStreaming;
}

}  // namespace figmill
