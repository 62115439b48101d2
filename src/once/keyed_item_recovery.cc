// Recovery of a key that another sender has claimed: waits for the outcome, and when that
// sender makes no progress, resolves it by querying the agent and the engine.

#include "figmill/once.h"
#include "once/errors.h"

namespace figmill {

using namespace once;    // NOLINT(google-build-using-namespace): events and actions
using namespace detail;  // NOLINT(google-build-using-namespace)

// The row is this request's own claim, or an accepted item that this process owns.
bool KeyedItem::OwnsRow() const {
  if (version_ == 0 || row_.sender != spec_.self) return false;
  return accepted_ || row_.request == claimed_request_;
}

bool KeyedItem::ClaimIsStale() const {
  return now_ - unchanged_since_ >= timeouts_.stale_after || (*gone_)(row_.sender);
}

void KeyedItem::HandleCurrentRow() {
  if (version_ == 0) return ClaimKey();
  if (accepted_ && row_.sender != spec_.self) {
    state_ = State::kFinished;  // a successor has taken the item over and now owns it
    return;
  }
  const bool free = row_.phase == OncePhase::kReleased;
  if (!free && row_.content != spec_.content) return ReplyAndFinish(ReplyError{ContentMismatch()});
  switch (row_.phase) {
    case OncePhase::kDone:
    case OncePhase::kUnknown:
      return ReplyFromRow(true);
    case OncePhase::kReleased:
      return ClaimKey();
    case OncePhase::kQueued:
      return accepted_ ? ClaimKey() : WaitForOtherSender();
    case OncePhase::kClaimed:
      // An accepted item stays with its owner or the owner's successor: a request
      // that claimed it could give up, and then no process would run it.
      if (!accepted_ && !row_.request_object.empty()) return WaitForOtherSender();
      if (!OwnsRow() && !ClaimIsStale()) return WaitForOtherSender();
      if (row_.repeatable && (*gone_)(row_.sender)) return ClaimKey();
      attempts_since_ = now_;
      return RevokeDispatch();
  }
}

void KeyedItem::WaitForOtherSender() {
  state_ = caller_disconnected_ || replied_ ? State::kFinished : State::kWaitingForOther;
  if (finished()) return;
  WakeAfter(timeouts_.poll_interval);
}

void KeyedItem::On(const ReadDone& event) {
  if (state_ != State::kWaitingForOther) return;
  if (!IsOk(event.row)) return WaitForOtherSender();
  const std::optional<Row>& row = ValueOf(event.row);
  Result<OnceRow> parsed = row ? ParseOnceRow(row->value) : OnceRow{};
  if (!IsOk(parsed)) return ReplyAndFinish(ReplyError{ErrorOf(parsed)});
  SetKnownRow(std::move(ValueOf(parsed)), row ? row->version : 0);
  HandleCurrentRow();
}

// Claims the key under the next epoch. Only reached when no earlier dispatch can still
// run (there was none, or it is known not to have run and is blocked by a tombstone), or
// when the item is repeatable.
void KeyedItem::ClaimKey() {
  if (!accepted_ && (!pending_claim_ || caller_disconnected_ || replied_))
    return ReplyAndFinish(ReplyError{not_run_error_});
  if (!pending_claim_) return Release(not_run_error_);
  OnceRow row;
  row.phase = OncePhase::kClaimed;
  row.content = spec_.content;
  row.team = spec_.team;
  row.repeatable = spec_.repeatable;
  row.epoch = row_.epoch + 1;
  row.sender = spec_.self;
  row.agent = pending_claim_->agent;
  row.stamp = pending_claim_->stamp;
  row.request = pending_claim_->request;
  row.request_object = row_.request_object;
  claimed_request_ = row.request;
  Submit(std::move(row), State::kClaiming);
}

void KeyedItem::RevokeDispatch() {
  state_ = State::kRevoking;
  StartAction(Revoke{row_.request, row_.agent, row_.stamp});
}

void KeyedItem::On(const RevokeDone& event) {
  if (state_ != State::kRevoking) return;
  const bool sender_alive = !OwnsRow() && !(*gone_)(row_.sender);
  switch (event.state) {
    case RevokeState::kNeverStarted:
      if (!OwnsRow()) return ClaimKey();
      ran_ = Ran::kNo;
      return Release(not_run_error_);
    case RevokeState::kRunning:
    case RevokeState::kFinished:
      // The sender normally has the response or will get it. If it doesn't commit one, a
      // second Revoke finds the request still finished without an outcome.
      if (sender_alive && !agent_reported_finished_) {
        agent_reported_finished_ = event.state == RevokeState::kFinished;
        unchanged_since_ = now_;
        return WaitForOtherSender();
      }
      [[fallthrough]];
    case RevokeState::kOtherIncarnation:
      state_ = State::kResuming;
      return StartAction(Resume{row_.request, row_.agent});
    case RevokeState::kUnreachable:
      return RetryRecoveryOrConclude();
  }
}

void KeyedItem::On(const StreamNotFound&) {
  if (state_ == State::kResuming) ConcludeRecovery();
}

void KeyedItem::On(const ResumeFailed&) {
  if (state_ == State::kResuming) RetryRecoveryOrConclude();
}

void KeyedItem::RetryRecoveryOrConclude() {
  const bool sender_gone = OwnsRow() || (*gone_)(row_.sender);
  const bool agent_gone = (*gone_)(row_.agent);
  const bool may_retry = now_ - attempts_since_ < timeouts_.recovery_timeout;
  if ((sender_gone && (agent_gone || !may_retry)) || (agent_gone && !may_retry))
    return ConcludeRecovery();
  state_ = State::kRevoking;
  WakeAfter(timeouts_.poll_interval);
}

// Neither agent nor engine knows the outcome. A repeatable item may run again; any
// other ends with an unknown outcome, as another run might be its second one.
void KeyedItem::ConcludeRecovery() {
  if (!row_.repeatable) return CommitOutcome(OncePhase::kUnknown, {});
  if (OwnsRow()) return Release(not_run_error_);
  ClaimKey();
}

}  // namespace figmill
