#include <algorithm>
#include <cassert>

#include "figmill/relay.h"

namespace figmill {
namespace {

constexpr int kFirstErrorStatus = 500;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

AnswerIdMatch MatchAnswerId(std::string_view echoed, std::string_view ours) {
  if (echoed == ours) return AnswerIdMatch::kSame;
  return echoed.empty() ? AnswerIdMatch::kMissing : AnswerIdMatch::kOther;
}

std::string_view relay::ToString(SendEnd end) {
  switch (end) {
    case SendEnd::kAnswered:
      return "answered";
    case SendEnd::kRejected:
      return "rejected";
    case SendEnd::kMisdirected:
      return "misdirected";
    case SendEnd::kFailed:
      return "failed";
    case SendEnd::kUnreachable:
      return "unreachable";
    case SendEnd::kBroken:
      return "broken";
    case SendEnd::kSilent:
      return "silent";
    case SendEnd::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

RelayStateMachine::RelayStateMachine(RelayPlan plan) : plan_(std::move(plan)) {
  if (plan_.resumable && plan_.after_event) splitter_.ResumeAfter(*plan_.after_event, 0);
}

std::vector<relay::Action> RelayStateMachine::Step(Time now, const relay::Event& event) {
  if (finished()) return {};
  std::visit([this, now](const auto& e) { On(now, e); }, event);
  return std::exchange(actions_, {});
}

bool RelayStateMachine::IsCurrent(SendNumber send) const {
  return send == send_ && (state_ == State::kSent || state_ == State::kAnswering);
}

void RelayStateMachine::On(Time now, const relay::Start& /*event*/) {
  assert(state_ == State::kIdle);
  // The route may have been resumable when the stream began.
  if (!plan_.stream || !plan_.after_event) return ChooseNextBackend(now);
  state_ = State::kFindingSource;
  ArmTimer(now);
  actions_.emplace_back(relay::FindSource{});
}

void RelayStateMachine::On(Time now, const relay::SourceFound& event) {
  if (state_ != State::kFindingSource) return;
  version_ = event.version;
  ChooseNextBackend(now);
}

void RelayStateMachine::On(Time /*now*/, const relay::SourceUnknown& event) {
  if (state_ == State::kFindingSource) FinishWithError(event.error);
}

void RelayStateMachine::ChooseNextBackend(Time now) {
  state_ = State::kChoosingBackend;
  ArmTimer(now);
  actions_.emplace_back(relay::ChooseBackend{tried_, version_.has_value(), version_});
}

void RelayStateMachine::On(Time now, const relay::BackendChosen& event) {
  if (state_ != State::kChoosingBackend) return;
  backend_ = event.backend;
  received_stray_answer_ = false;
  tried_.push_back(backend_.id);
  // The backend server may have changed its version since it was looked for.
  if (version_ && backend_.version != *version_) return ChooseNextBackend(now);
  state_ = State::kSent;
  last_data_at_ = now;
  std::optional<std::string> after = splitter_.last_id();
  if (!after) after = plan_.after_event;
  const Duration left = std::max(plan_.deadline - now, Duration{0});
  actions_.emplace_back(relay::Send{++send_, backend_, std::move(after), left});
  ArmTimer(now);
}

// A stray answer on a kept connection says nothing about the backend server: where no other one is
// left, the same one is tried again, on another connection.
void RelayStateMachine::On(Time now, const relay::NoBackend& event) {
  if (state_ != State::kChoosingBackend) return;
  if (std::exchange(received_stray_answer_, false)) {
    std::erase(tried_, backend_.id);
    return ChooseNextBackend(now);
  }
  if (ShouldWaitForVersion(now, event.error)) {
    state_ = State::kWaitingForVersion;
    return ArmTimer(now);
  }
  Error error = event.error;
  error.ran = ran_;
  if (ran_ != Ran::kNo) error.kind = ErrorKind::kBackendFailed;
  FinishWithError(std::move(error));
}

// A refusal with a time to come back says that no slot will be free in time.
bool RelayStateMachine::ShouldWaitForVersion(Time now, const Error& error) {
  if (!version_ || error.kind != ErrorKind::kOverloaded || error.retry_after) return false;
  if (!version_missed_at_) version_missed_at_ = now;
  return now - *version_missed_at_ < kVersionWait;
}

void RelayStateMachine::On(Time now, const relay::Head& event) {
  if (!IsCurrent(event.send) || state_ != State::kSent) return;
  if (!BelongsToRequest(event.id, event.not_run)) {
    received_stray_answer_ = true;
    return RetryOrFail(now, relay::SendEnd::kBroken, "received an answer to another request",
                       Ran::kUnknown);
  }
  if (event.not_run) {
    ++rejections_;
    const bool misdirected = event.head.status == kMisdirected;
    return RetryOrFail(now, misdirected ? relay::SendEnd::kMisdirected : relay::SendEnd::kRejected,
                       "not run, status " + std::to_string(event.head.status), Ran::kNo);
  }
  if (event.head.status >= kFirstErrorStatus) return OnFailedAnswer(now, event);
  last_data_at_ = now;
  state_ = State::kAnswering;
  ran_ = Ran::kYes;
  head_ = event.head;
  if (plan_.stream && IsSuccess(head_.status) && !head_forwarded_) {
    head_forwarded_ = true;
    version_ = backend_.version;
    if (plan_.resumable) actions_.emplace_back(relay::RecordSource{backend_.version});
    actions_.emplace_back(relay::ForwardHead{head_});
  }
  ArmTimer(now);
}

// The backend server failed after it started the request. Another one may succeed.
void RelayStateMachine::OnFailedAnswer(Time now, const relay::Head& event) {
  if (MayResend(Ran::kYes) || head_forwarded_) {
    return RetryOrFail(now, relay::SendEnd::kFailed, "status " + std::to_string(event.head.status),
                       Ran::kYes);
  }
  state_ = State::kAnswering;
  ran_ = Ran::kYes;
  head_ = event.head;
}

void RelayStateMachine::On(Time now, const relay::Bytes& event) {
  if (!IsCurrent(event.send) || state_ != State::kAnswering) return;
  if (plan_.stream && IsSuccess(head_.status)) return OnEventBytes(now, event.bytes);
  last_data_at_ = now;  // the timer compares against this when it fires, which is cheaper than a
                        // new timer for each read
  if (head_forwarded_) {
    actions_.emplace_back(relay::ForwardBytes{std::string(event.bytes)});
    return;
  }
  buffer_.append(event.bytes);
  if (buffer_.size() <= kMaxBufferedBytes) return;
  head_forwarded_ = true;
  actions_.emplace_back(relay::ForwardHead{head_});
  actions_.emplace_back(relay::ForwardBytes{std::exchange(buffer_, {})});
}

// Bytes that complete no event are as good as silence.
void RelayStateMachine::OnEventBytes(Time now, std::string_view bytes) {
  const std::uint64_t count_before = splitter_.count();
  std::string events = splitter_.Feed(bytes);
  if (splitter_.count() != count_before) last_data_at_ = now;
  if (!events.empty()) actions_.emplace_back(relay::ForwardBytes{std::move(events)});
  if (splitter_.has_duplicate()) {
    return RetryOrFail(now, relay::SendEnd::kBroken, "received a duplicate event", Ran::kUnknown);
  }
  if (splitter_.too_long()) {
    return RetryOrFail(now, relay::SendEnd::kBroken, "received bytes that are no event stream",
                       Ran::kUnknown);
  }
}

void RelayStateMachine::On(Time now, const relay::End& event) {
  if (!IsCurrent(event.send)) return;
  if (state_ != State::kAnswering || splitter_.in_event()) {
    return RetryOrFail(now, relay::SendEnd::kBroken, "the answer ended early", Ran::kUnknown);
  }
  const bool failed = head_.status >= kFirstErrorStatus;
  EndSend(failed ? relay::SendEnd::kFailed : relay::SendEnd::kAnswered,
          "status " + std::to_string(head_.status));
  state_ = State::kFinished;
  if (head_forwarded_) {
    actions_.emplace_back(relay::Finish{});
  } else {
    actions_.emplace_back(relay::ForwardAnswer{std::move(head_), std::move(buffer_)});
  }
}

void RelayStateMachine::On(Time now, const relay::SendFailed& event) {
  if (!IsCurrent(event.send)) return;
  if (!event.sent) return RetryOrFail(now, relay::SendEnd::kUnreachable, event.why, Ran::kNo);
  RetryOrFail(now, relay::SendEnd::kBroken, event.why, Ran::kUnknown);
}

// Whether the request ran is unknown: it may have run in the incarnation that has ended, or in
// the new one with the same id if it arrived after the restart. The new incarnation may be
// tried like any other backend server.
void RelayStateMachine::On(Time now, const relay::BackendRestarted& event) {
  if (!IsCurrent(event.send)) return;
  std::erase(tried_, backend_.id);
  RetryOrFail(now, relay::SendEnd::kBroken, "the backend server has started again", Ran::kUnknown);
}

void RelayStateMachine::On(Time now, const relay::TimerFired& /*event*/) {
  if (now >= plan_.deadline) return OnDeadline();
  if (state_ == State::kWaitingForVersion) {
    tried_.clear();
    return ChooseNextBackend(now);
  }
  if (state_ != State::kSent && state_ != State::kAnswering) return;
  if (now - timer_at_ >= kSuspendedTimerDelay) last_data_at_ = now;
  const Duration timeout =
      state_ == State::kSent ? plan_.first_byte_timeout : plan_.next_byte_timeout;
  const bool silent = timeout.count() > 0 && now - last_data_at_ >= timeout;
  if (silent && MayResend(Ran::kUnknown)) {
    return RetryOrFail(now, relay::SendEnd::kSilent, "no bytes in time", Ran::kUnknown);
  }
  ArmTimer(now);
}

void RelayStateMachine::OnDeadline() {
  const bool send_open = state_ == State::kSent || state_ == State::kAnswering;
  if (send_open) {
    EndSend(relay::SendEnd::kAbandoned, "time is up");
    if (ran_ == Ran::kNo) ran_ = Ran::kUnknown;
  }
  if (ran_ == Ran::kNo) {
    return FinishWithError({ErrorKind::kOverloaded,
                            "no backend server had a free slot before the deadline", Ran::kNo});
  }
  FinishWithError({ErrorKind::kDeadlineExceeded, "no whole answer in time", ran_});
}

void RelayStateMachine::On(Time /*now*/, const relay::CallerDisconnected& /*event*/) {
  if (state_ == State::kSent || state_ == State::kAnswering) {
    EndSend(relay::SendEnd::kAbandoned, "the caller disconnected");
  }
  state_ = State::kFinished;
}

void RelayStateMachine::On(Time /*now*/, const relay::Refuse& event) {
  const bool sent = state_ == State::kSent || state_ == State::kAnswering;
  if (!sent && !may_have_run()) FinishWithError(event.error);
}

void RelayStateMachine::EndSend(relay::SendEnd end, std::string why) {
  actions_.emplace_back(relay::CloseSend{send_, backend_, end, std::move(why)});
}

// `ran`: whether the request ran, as shown by the end of the last send.
bool RelayStateMachine::MayResend(Ran ran) const {
  if (ran == Ran::kNo) return rejections_ < kMaxRejections;
  if (!plan_.idempotent) return false;
  if (head_forwarded_ && !(plan_.stream && plan_.resumable && splitter_.can_resume())) return false;
  return backends_used_ + 1 < plan_.max_backends;
}

void RelayStateMachine::RetryOrFail(Time now, relay::SendEnd end, std::string why, Ran ran) {
  const bool again = MayResend(ran) && now < plan_.deadline;
  EndSend(end, why);
  splitter_.DropIncomplete();
  buffer_.clear();
  if (ran != Ran::kNo) {
    ++backends_used_;
    if (ran_ != Ran::kYes) ran_ = ran;
  }
  if (again) return ChooseNextBackend(now);
  if (ran_ == Ran::kNo) {
    return FinishWithError(
        {ErrorKind::kOverloaded, "no backend server took it; the last one: " + why, Ran::kNo});
  }
  FinishWithError(
      {end == relay::SendEnd::kBroken ? ErrorKind::kBrokenAnswer : ErrorKind::kBackendFailed,
       std::move(why), ran_});
}

void RelayStateMachine::FinishWithError(Error error) {
  state_ = State::kFinished;
  if (head_forwarded_) {
    actions_.emplace_back(relay::AbortAnswer{std::move(error)});
  } else {
    actions_.emplace_back(relay::SendError{std::move(error)});
  }
}

void RelayStateMachine::ArmTimer(Time now) {
  Time at = plan_.deadline;
  Duration timeout{0};
  if (state_ == State::kSent) timeout = plan_.first_byte_timeout;
  if (state_ == State::kAnswering) timeout = plan_.next_byte_timeout;
  if (state_ == State::kWaitingForVersion) at = std::min(at, now + kVersionRetryInterval);
  if (timeout.count() > 0 && MayResend(Ran::kUnknown)) at = std::min(at, last_data_at_ + timeout);
  timer_at_ = std::max(at, now);
  actions_.emplace_back(relay::SetTimer{timer_at_});
}

}  // namespace figmill
