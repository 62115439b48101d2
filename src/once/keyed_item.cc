// The normal path of a keyed item: claim, send, outcome, and the result of each write.
// keyed_item_recovery.cc handles keys that another sender has claimed.

#include <algorithm>
#include <cassert>

#include "figmill/once.h"
#include "once/errors.h"

namespace figmill {

using namespace once;    // NOLINT(google-build-using-namespace): events and actions
using namespace detail;  // NOLINT(google-build-using-namespace)

KeyedItem::KeyedItem(Spec spec, std::optional<Accepted> accepted, Timeouts timeouts)
    : spec_(std::move(spec)), timeouts_(timeouts), accepted_(accepted.has_value()) {
  if (!accepted) return;
  row_ = std::move(accepted->row);
  version_ = accepted->version;
  replied_ = true;  // the caller has the 202
}

std::vector<Action> KeyedItem::Handle(const Event& event, const Context& context) {
  now_ = context.now;
  random_ = &context.random;
  gone_ = &context.gone;
  actions_.clear();
  const bool unsolicited =
      std::holds_alternative<Tick>(event) || std::holds_alternative<CallerDisconnected>(event);
  if (!unsolicited) awaiting_event_ = false;
  if (!finished()) std::visit([this](const auto& concrete) { On(concrete); }, event);
  return std::move(actions_);
}

// --- Events ----------------------------------------------------------------------

void KeyedItem::On(const Claim& event) {
  // A second dispatch of a claimed item could run it twice: the shell must
  // report DidNotRun for the first one before.
  assert(state_ == State::kIdle);
  pending_claim_ = event;
  ClaimKey();
}

void KeyedItem::On(const WriteDone& event) {
  std::visit(Overloaded{[this](const OnceCommitted& result) { OnCommitted(result.version); },
                        [this](const OnceRejected& result) { OnRejected(result.current); },
                        [this](const NotWritten&) { OnNotConfirmed(false); },
                        [this](const FateUnknown&) { OnNotConfirmed(true); }},
             event.result);
}

void KeyedItem::On(const Answered& event) {
  // An accepted item may also end before it is sent, with the refusal of an invalid request.
  const bool rejected_unsent = accepted_ && state_ == State::kIdle;
  if (state_ != State::kSent && state_ != State::kResuming && !rejected_unsent) return;
  answer_ = event.outcome;
  OnceOutcome outcome = event.outcome;
  if (!FitsInRow(outcome.body)) {
    outcome.object = "results/" + spec_.key.value + "/" + outcome.digest;
    unstored_body_ = std::move(outcome.body);
    outcome.body.clear();
  }
  CommitOutcome(OncePhase::kDone, std::move(outcome));
}

void KeyedItem::On(const DidNotRun& event) {
  if (state_ != State::kSent && state_ != State::kIdle) return;
  ran_ = Ran::kNo;
  state_ = State::kIdle;
  const bool claimed = OwnsRow() && row_.phase == OncePhase::kClaimed;
  if (event.retry) return;
  if (claimed) return Release(event.error);
  if (accepted_) return WakeAfter(timeouts_.redispatch_delay);
  ReplyAndFinish(ReplyError{event.error});
}

void KeyedItem::On(const SendOutcomeUnknown& event) {
  if (state_ != State::kSent) return;
  not_run_error_ = event.error;
  attempts_since_ = now_;
  RevokeDispatch();
}

void KeyedItem::On(const CallerDisconnected&) {
  caller_disconnected_ = true;
  // Another sender's item completes without this request.
  if (state_ == State::kWaitingForOther || state_ == State::kIdle) state_ = State::kFinished;
}

void KeyedItem::On(const Tick&) {
  const bool out_of_time = spec_.caller_deadline && now_ >= *spec_.caller_deadline;
  switch (state_) {
    case State::kIdle:
      if (!accepted_ || awaiting_event_) return;
      if (row_.phase == OncePhase::kQueued) return StartAction(RetryDispatch{});
      attempts_since_ = now_;
      return RevokeDispatch();
    case State::kWaitingForOther:
      if (out_of_time) return ReplyAndFinish(ReplyError{StillRunning()});
      if (!awaiting_event_) StartAction(ReadRow{OnceRowKey(spec_.key)});
      return;
    case State::kRevoking:
    case State::kResuming:
      // The caller's deadline has passed; the item's outcome is still recovered.
      if (out_of_time && !OwnsRow()) SendReply(ReplyError{StillRunning()});
      if (!awaiting_event_) RevokeDispatch();
      return;
    case State::kClaiming:
    case State::kReleasing:
      if (!awaiting_event_) SendWrite();
      return;
    case State::kCommitting:
      return OnCommitTimer();
    case State::kSent:
    case State::kFinished:
      return;
  }
}

void KeyedItem::On(const ObjectStored& event) {
  if (state_ != State::kCommitting) return;
  if (!event.stored) return WakeAfter(timeouts_.retry_delay);
  unstored_body_.clear();
  StoreBodyOrSendWrite();
}

// A response that has arrived is valid whether or not the store can be reached, so the
// caller gets it after max_reply_delay, and the commit is retried until it succeeds. For a
// repeatable item the commit comes first: another sender may have run it too, and one key
// would get two different responses.
void KeyedItem::OnCommitTimer() {
  const bool reply_waits = now_ - attempts_since_ < timeouts_.max_reply_delay;
  const bool out_of_time = spec_.caller_deadline && now_ >= *spec_.caller_deadline;
  if (pending_row_.phase == OncePhase::kUnknown) {
    if (!reply_waits) SendReply(ReplyError{OutcomeUnknown()});
  } else if (!pending_row_.repeatable) {
    if (!reply_waits) SendReply(ReplyOutcome{answer_, false});
  } else if (out_of_time) {
    SendReply(ReplyError{OutcomeNotRecorded()});
  }
  if (!awaiting_event_) StoreBodyOrSendWrite();
}

// --- Writes ------------------------------------------------------------------------

void KeyedItem::Submit(OnceRow row, State state) {
  pending_row_ = std::move(row);
  pending_row_.token = GenerateToken(*random_);
  pending_row_.retention_tick = spec_.retention_tick;
  state_ = state;
  attempts_since_ = now_;
  write_attempts_ = 0;
  if (state == State::kCommitting && !replied_) WakeAfter(timeouts_.max_reply_delay);
  StoreBodyOrSendWrite();
}

// The object is stored first, so that a row never names an object that doesn't exist.
void KeyedItem::StoreBodyOrSendWrite() {
  if (state_ == State::kCommitting && !unstored_body_.empty()) {
    return StartAction(PutObject{pending_row_.outcome.object, unstored_body_});
  }
  SendWrite();
}

void KeyedItem::SendWrite() {
  OnceWrite write;
  write.condition = RowCondition{OnceRowKey(spec_.key), version_};
  write.value = SerializeOnceRow(pending_row_);
  write.fail_fast = state_ == State::kClaiming;
  const bool final =
      pending_row_.phase == OncePhase::kDone || pending_row_.phase == OncePhase::kUnknown;
  if (final && !row_.request_object.empty()) {
    write.marker_writes.emplace_back(DeleteRow{OpenItemMarkerKey(row_.sender.node, spec_.key)});
  }
  ++write_attempts_;
  StartAction(WriteRow{std::move(write)});
}

void KeyedItem::OnCommitted(RowVersion version) {
  SetKnownRow(pending_row_, version);
  switch (state_) {
    case State::kClaiming:
      if (caller_disconnected_ && !accepted_) return Release(DisconnectedBeforeSend());
      state_ = State::kSent;
      ran_ = Ran::kUnknown;
      StartAction(Send{pending_claim_->request, pending_claim_->agent});
      pending_claim_.reset();
      return;
    case State::kCommitting:
      return ReplyFromRow(false);
    case State::kReleasing:
      if (!accepted_) return ReplyAndFinish(ReplyError{not_run_error_});
      state_ = State::kIdle;
      return WakeAfter(timeouts_.redispatch_delay);
    default:
      return;
  }
}

void KeyedItem::OnRejected(const std::optional<Row>& current) {
  // The condition may have failed because an earlier attempt, whose answer was lost, succeeded.
  Result<OnceRow> parsed = current ? ParseOnceRow(current->value) : OnceRow{};
  if (!IsOk(parsed)) return ReplyAndFinish(ReplyError{ErrorOf(parsed)});
  if (current && ValueOf(parsed).token == pending_row_.token) return OnCommitted(current->version);

  SetKnownRow(std::move(ValueOf(parsed)), current ? current->version : 0);
  if (state_ == State::kCommitting) return OnOutcomeRejected();
  const bool free = version_ == 0 || row_.phase == OncePhase::kReleased;
  if (state_ == State::kReleasing && free) return ReplyAndFinish(ReplyError{not_run_error_});
  HandleCurrentRow();
}

// Another process wrote the row before the outcome was committed. An outcome that it
// wrote is final. If it only took the same request over, or recorded its outcome as
// unknown, then the response received here is that request's and completes the row; a
// repeatable item takes the first response to arrive.
void KeyedItem::OnOutcomeRejected() {
  const bool row_deleted = version_ == 0;
  const bool same_item = pending_row_.repeatable ? row_.content == pending_row_.content
                                                 : row_.request == pending_row_.request;
  const bool open = row_.phase != OncePhase::kDone;
  if (!row_deleted && pending_row_.phase == OncePhase::kDone && same_item && open) {
    pending_row_.sender = row_.sender;
    pending_row_.epoch = row_.epoch;
    return SendWrite();
  }
  if (!row_deleted) return HandleCurrentRow();
  row_ = pending_row_;
  ReplyFromRow(false);
}

void KeyedItem::OnNotConfirmed(bool may_be_written) {
  const bool retrying = now_ - attempts_since_ < timeouts_.claim_timeout;
  if (state_ == State::kClaiming && !accepted_ && !(may_be_written && retrying)) {
    // Nothing was sent, so "not run" is true even if the claim was written: a later
    // request with the key revokes the dispatch at the agent and claims the key again.
    return ReplyAndFinish(ReplyError{StoreDown()});
  }
  // The release itself is retried until it succeeds: while its sender is alive, a claim
  // left in place would make later requests wait for an outcome that never comes.
  if (state_ == State::kReleasing && !accepted_ && !retrying) SendReply(ReplyError{not_run_error_});
  constexpr int kMaxDoublings = 4;
  WakeAfter(timeouts_.retry_delay * (1 << std::min(write_attempts_ - 1, kMaxDoublings)));
}

void KeyedItem::CommitOutcome(OncePhase phase, OnceOutcome outcome) {
  OnceRow row = row_;
  row.phase = phase;
  row.outcome = std::move(outcome);
  Submit(std::move(row), State::kCommitting);
}

void KeyedItem::Release(Error error) {
  not_run_error_ = std::move(error);
  not_run_error_.ran = ran_;
  OnceRow row = row_;
  row.phase = accepted_ ? OncePhase::kQueued : OncePhase::kReleased;
  pending_claim_.reset();
  Submit(std::move(row), State::kReleasing);
}

// --- Answers -------------------------------------------------------------------------

void KeyedItem::SetKnownRow(OnceRow row, RowVersion version) {
  if (version != version_) {
    unchanged_since_ = now_;
    agent_reported_finished_ = false;
  }
  row_ = std::move(row);
  version_ = version;
}

void KeyedItem::ReplyFromRow(bool replayed) {
  const bool received_here = !answer_.digest.empty() && answer_.digest == row_.outcome.digest;
  if (row_.phase == OncePhase::kDone) {
    return ReplyAndFinish(ReplyOutcome{received_here ? answer_ : row_.outcome, replayed});
  }
  ReplyAndFinish(ReplyError{OutcomeUnknown()});
}

void KeyedItem::SendReply(Action answer) {
  if (replied_) return;
  replied_ = true;
  // A later step may fail with an error that says "not run" while an earlier
  // dispatch of the same item may have run.
  if (auto* refusal = std::get_if<ReplyError>(&answer); refusal && refusal->error.ran == Ran::kNo) {
    refusal->error.ran = ran_;
  }
  actions_.push_back(std::move(answer));
}

void KeyedItem::ReplyAndFinish(Action answer) {
  SendReply(std::move(answer));
  state_ = State::kFinished;
}

void KeyedItem::StartAction(Action action) {
  awaiting_event_ = true;
  actions_.push_back(std::move(action));
}

void KeyedItem::WakeAfter(Duration delay) {
  actions_.emplace_back(WakeAt{now_ + delay});
}

}  // namespace figmill
