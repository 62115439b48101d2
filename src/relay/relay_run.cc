#include <algorithm>
#include <cassert>

#include "figmill/relay.h"

namespace figmill {
namespace {

constexpr int kFirstFailure = 500;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

AnsweredId AnsweredIdOf(std::string_view echoed, std::string_view ours) {
  if (echoed == ours) return AnsweredId::kOurs;
  return echoed.empty() ? AnsweredId::kNone : AnsweredId::kAnothers;
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

RelayRun::RelayRun(RelayPlan plan) : plan_(std::move(plan)) {
  if (plan_.resumable && plan_.after_event) pieces_.GoOnAfter(*plan_.after_event, 0);
}

std::vector<relay::Action> RelayRun::Step(Time now, const relay::Event& event) {
  if (finished()) return {};
  std::visit([this, now](const auto& e) { On(now, e); }, event);
  return std::exchange(actions_, {});
}

bool RelayRun::IsCurrent(SendNumber send) const {
  return send == send_ && (state_ == State::kSent || state_ == State::kAnswering);
}

void RelayRun::On(Time now, const relay::Start& /*event*/) {
  assert(state_ == State::kIdle);
  Ask(now);
}

void RelayRun::Ask(Time now) {
  state_ = State::kAsking;
  ArmTimer(now);
  actions_.emplace_back(relay::AskPlace{tried_, head_passed_});
}

void RelayRun::On(Time now, const relay::Placed& event) {
  if (state_ != State::kAsking) return;
  backend_ = event.backend;
  tried_.push_back(backend_.id);
  state_ = State::kSent;
  heard_at_ = now;
  std::optional<std::string> after = pieces_.last_id();
  if (!after) after = plan_.after_event;
  const Duration left = std::max(plan_.limit - now, Duration{0});
  actions_.emplace_back(relay::Send{++send_, backend_, std::move(after), left});
  ArmTimer(now);
}

void RelayRun::On(Time /*now*/, const relay::NoPlace& event) {
  if (state_ != State::kAsking) return;
  Error error = event.error;
  error.ran = ran_;
  if (ran_ != Ran::kNo) error.kind = ErrorKind::kBackendFailed;
  GiveUp(std::move(error));
}

void RelayRun::On(Time now, const relay::Head& event) {
  if (!IsCurrent(event.send) || state_ != State::kSent) return;
  if (!IsOurs(event.id, event.not_run)) {
    return TryElsewhere(now, relay::SendEnd::kBroken, "answered another request", Ran::kUnknown);
  }
  if (event.not_run) {
    ++rejections_;
    const bool misdirected = event.head.status == kMisdirected;
    return TryElsewhere(now, misdirected ? relay::SendEnd::kMisdirected : relay::SendEnd::kRejected,
                        "not run, status " + std::to_string(event.head.status), Ran::kNo);
  }
  if (event.head.status >= kFirstFailure) return OnFailedAnswer(now, event);
  heard_at_ = now;
  state_ = State::kAnswering;
  ran_ = Ran::kYes;
  head_ = event.head;
  if (plan_.stream && IsSuccess(head_.status) && !head_passed_) {
    head_passed_ = true;
    actions_.emplace_back(relay::PassHead{head_});
  }
  ArmTimer(now);
}

// Its own failure, after it began to work. Another backend server may do better.
void RelayRun::OnFailedAnswer(Time now, const relay::Head& event) {
  if (MaySendAgain(Ran::kYes) || head_passed_) {
    return TryElsewhere(now, relay::SendEnd::kFailed, "status " + std::to_string(event.head.status),
                        Ran::kYes);
  }
  state_ = State::kAnswering;
  ran_ = Ran::kYes;
  head_ = event.head;
}

void RelayRun::On(Time now, const relay::Bytes& event) {
  if (!IsCurrent(event.send) || state_ != State::kAnswering) return;
  heard_at_ =
      now;  // the timer looks at this when it fires, which is cheaper than a new one each time
  if (plan_.stream && IsSuccess(head_.status)) {
    std::string events = pieces_.Feed(event.bytes);
    if (!events.empty()) actions_.emplace_back(relay::PassBytes{std::move(events)});
    if (!pieces_.repeats()) return;
    return TryElsewhere(now, relay::SendEnd::kBroken, "an event came again", Ran::kUnknown);
  }
  if (head_passed_) {
    actions_.emplace_back(relay::PassBytes{std::string(event.bytes)});
    return;
  }
  held_.append(event.bytes);
  if (held_.size() <= kMaxHeldBytes) return;
  head_passed_ = true;
  actions_.emplace_back(relay::PassHead{head_});
  actions_.emplace_back(relay::PassBytes{std::exchange(held_, {})});
}

void RelayRun::On(Time now, const relay::End& event) {
  if (!IsCurrent(event.send)) return;
  if (state_ != State::kAnswering || pieces_.in_event()) {
    return TryElsewhere(now, relay::SendEnd::kBroken, "ended early", Ran::kUnknown);
  }
  const bool failed = head_.status >= kFirstFailure;
  EndSend(failed ? relay::SendEnd::kFailed : relay::SendEnd::kAnswered,
          "status " + std::to_string(head_.status));
  state_ = State::kFinished;
  if (head_passed_) {
    actions_.emplace_back(relay::Finish{});
  } else {
    actions_.emplace_back(relay::PassAnswer{std::move(head_), std::move(held_)});
  }
}

void RelayRun::On(Time now, const relay::Broke& event) {
  if (!IsCurrent(event.send)) return;
  if (!event.sent) return TryElsewhere(now, relay::SendEnd::kUnreachable, event.why, Ran::kNo);
  TryElsewhere(now, relay::SendEnd::kBroken, event.why, Ran::kUnknown);
}

// Whether it ran can't be known: it may have run at the incarnation that has ended, and a
// request that crossed the restart runs at the new one, which goes by the same id. The new one
// may be tried: it is as good as any other backend server.
void RelayRun::On(Time now, const relay::BackendRestarted& event) {
  if (!IsCurrent(event.send)) return;
  std::erase(tried_, backend_.id);
  TryElsewhere(now, relay::SendEnd::kBroken, "the backend server has started again", Ran::kUnknown);
}

void RelayRun::On(Time now, const relay::TimerFired& /*event*/) {
  if (now >= plan_.limit) return OnTimeUp();
  if (state_ != State::kSent && state_ != State::kAnswering) return;
  if (now - timer_at_ >= kOverslept) heard_at_ = now;
  const Duration patience =
      state_ == State::kSent ? plan_.first_byte_patience : plan_.next_byte_patience;
  const bool silent = patience.count() > 0 && now - heard_at_ >= patience;
  if (silent && MaySendAgain(Ran::kUnknown)) {
    return TryElsewhere(now, relay::SendEnd::kSilent, "no bytes in time", Ran::kUnknown);
  }
  ArmTimer(now);
}

void RelayRun::OnTimeUp() {
  const bool out = state_ == State::kSent || state_ == State::kAnswering;
  if (out) {
    EndSend(relay::SendEnd::kAbandoned, "time is up");
    if (ran_ == Ran::kNo) ran_ = Ran::kUnknown;
  }
  if (ran_ == Ran::kNo) {
    return GiveUp({ErrorKind::kOverloaded, "no backend server had room in time", Ran::kNo});
  }
  GiveUp({ErrorKind::kDeadlineExceeded, "no whole answer in time", ran_});
}

void RelayRun::On(Time /*now*/, const relay::CallerGone& /*event*/) {
  if (state_ == State::kSent || state_ == State::kAnswering) {
    EndSend(relay::SendEnd::kAbandoned, "the caller left");
  }
  state_ = State::kFinished;
}

void RelayRun::EndSend(relay::SendEnd end, std::string why) {
  actions_.emplace_back(relay::SendOver{send_, backend_, end, std::move(why)});
}

// `ran` is what the end of the last send says about it.
bool RelayRun::MaySendAgain(Ran ran) const {
  if (ran == Ran::kNo) return rejections_ < kMaxRejections;
  if (!plan_.idempotent) return false;
  if (head_passed_ && !(plan_.stream && plan_.resumable)) return false;
  return backends_used_ + 1 < plan_.max_backends;
}

void RelayRun::TryElsewhere(Time now, relay::SendEnd end, std::string why, Ran ran) {
  const bool again = MaySendAgain(ran) && now < plan_.limit;
  EndSend(end, why);
  pieces_.DropTail();
  held_.clear();
  if (ran != Ran::kNo) {
    ++backends_used_;
    if (ran_ != Ran::kYes) ran_ = ran;
  }
  if (again) return Ask(now);
  if (ran_ == Ran::kNo) {
    return GiveUp(
        {ErrorKind::kOverloaded, "no backend server took it; the last one: " + why, Ran::kNo});
  }
  GiveUp({end == relay::SendEnd::kBroken ? ErrorKind::kBrokenAnswer : ErrorKind::kBackendFailed,
          std::move(why), ran_});
}

void RelayRun::GiveUp(Error error) {
  state_ = State::kFinished;
  if (head_passed_) {
    actions_.emplace_back(relay::BreakOff{std::move(error)});
  } else {
    actions_.emplace_back(relay::Refuse{std::move(error)});
  }
}

void RelayRun::ArmTimer(Time now) {
  Time at = plan_.limit;
  Duration patience{0};
  if (state_ == State::kSent) patience = plan_.first_byte_patience;
  if (state_ == State::kAnswering) patience = plan_.next_byte_patience;
  if (patience.count() > 0 && MaySendAgain(Ran::kUnknown)) at = std::min(at, heard_at_ + patience);
  timer_at_ = std::max(at, now);
  actions_.emplace_back(relay::SetTimer{timer_at_});
}

}  // namespace figmill
