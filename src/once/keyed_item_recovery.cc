// What a request does about a key that another sender holds: wait for its
// outcome, and when that sender is silent, find out from agent and engine.

#include "figmill/once.h"
#include "once/answers.h"

namespace figmill {

using namespace once;    // NOLINT(google-build-using-namespace): events and actions
using namespace detail;  // NOLINT(google-build-using-namespace)

// The row is a claim (or an accepted item) that this very item answers for.
bool KeyedItem::Owned() const {
  if (version_ == 0 || row_.sender != spec_.self) return false;
  return accepted_ || row_.request == mine_;
}

bool KeyedItem::Stale() const {
  return now_ - unchanged_since_ >= tuning_.stale_after || (*gone_)(row_.sender);
}

void KeyedItem::FollowRow() {
  if (version_ == 0) return Reclaim();
  if (accepted_ && row_.sender != spec_.self) {
    state_ = State::kFinished;  // a successor took it over: it is that one's now
    return;
  }
  const bool free = row_.phase == OncePhase::kReleased;
  if (!free && row_.content != spec_.content) return Finish(TellError{OtherContent()});
  switch (row_.phase) {
    case OncePhase::kDone:
    case OncePhase::kUnknown:
      return TellRow(true);
    case OncePhase::kReleased:
      return Reclaim();
    case OncePhase::kQueued:
      return accepted_ ? Reclaim() : Follow();
    case OncePhase::kIntended:
      // An accepted item stays with its owner, or that one's successor: a request
      // that claimed it might give up, and nobody would run it then.
      if (!accepted_ && !row_.request_object.empty()) return Follow();
      if (!Owned() && !Stale()) return Follow();
      if (row_.repeatable && (*gone_)(row_.sender)) return Reclaim();
      state_since_ = now_;
      return Ask();
  }
}

void KeyedItem::Follow() {
  state_ = detached_ || told_ ? State::kFinished : State::kFollowing;
  if (finished()) return;
  Wake(tuning_.poll);
}

void KeyedItem::On(const ReadDone& event) {
  if (state_ != State::kFollowing) return;
  if (!IsOk(event.row)) return Follow();
  const std::optional<Row>& row = ValueOf(event.row);
  Result<OnceRow> parsed = row ? ParseOnceRow(row->value) : OnceRow{};
  if (!IsOk(parsed)) return Finish(TellError{ErrorOf(parsed)});
  Learn(std::move(ValueOf(parsed)), row ? row->version : 0);
  FollowRow();
}

// Claims the key under the next epoch. Only reached when no earlier dispatch can
// run any more: there was none, or it is known not to have run and is stopped.
void KeyedItem::Reclaim() {
  if (!accepted_ && (!wanted_ || detached_ || told_)) return Finish(TellError{failure_});
  if (!wanted_) return Release(failure_);
  OnceRow row;
  row.phase = OncePhase::kIntended;
  row.content = spec_.content;
  row.team = spec_.team;
  row.repeatable = spec_.repeatable;
  row.epoch = row_.epoch + 1;
  row.sender = spec_.self;
  row.agent = wanted_->agent;
  row.stamp = wanted_->stamp;
  row.request = wanted_->request;
  row.request_object = row_.request_object;
  mine_ = row.request;
  Submit(std::move(row), State::kClaiming);
}

void KeyedItem::Ask() {
  state_ = State::kAsking;
  Call(Revoke{row_.request, row_.agent, row_.stamp});
}

void KeyedItem::On(const Revoked& event) {
  if (state_ != State::kAsking) return;
  const bool sender_alive = !Owned() && !(*gone_)(row_.sender);
  switch (event.state) {
    case RevokeState::kNeverStarted:
      if (!Owned()) return Reclaim();
      ran_ = Ran::kNo;
      return Release(failure_);
    case RevokeState::kRunning:
    case RevokeState::kFinished:
      // The sender has the answer or gets it, unless it lost track: then a second
      // question finds the request finished still, and no outcome.
      if (sender_alive && !finished_seen_) {
        finished_seen_ = event.state == RevokeState::kFinished;
        unchanged_since_ = now_;
        return Follow();
      }
      [[fallthrough]];
    case RevokeState::kOtherIncarnation:
      state_ = State::kResuming;
      return Call(Resume{row_.request, row_.agent});
    case RevokeState::kUnreachable:
      return AskAgainOrConclude();
  }
}

void KeyedItem::On(const StreamGone&) {
  if (state_ == State::kResuming) Conclude();
}

void KeyedItem::On(const ResumeFailed&) {
  if (state_ == State::kResuming) AskAgainOrConclude();
}

void KeyedItem::AskAgainOrConclude() {
  const bool sender_gone = Owned() || (*gone_)(row_.sender);
  const bool agent_gone = (*gone_)(row_.agent);
  const bool patient = now_ - state_since_ < tuning_.ask_patience;
  if ((sender_gone && (agent_gone || !patient)) || (agent_gone && !patient)) return Conclude();
  state_ = State::kAsking;
  Wake(tuning_.poll);
}

// Neither agent nor engine can tell. A repeatable item may simply run again;
// another one ends here, for to run it once more might be the second time.
void KeyedItem::Conclude() {
  if (!row_.repeatable) return CommitOutcome(OncePhase::kUnknown, {});
  if (Owned()) return Release(failure_);
  Reclaim();
}

}  // namespace figmill
