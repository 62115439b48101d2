// A keyed item's own path: claim, send, outcome, and the fate of each write.
// keyed_item_recovery.cc holds what is done about other senders' items.

#include <algorithm>
#include <cassert>

#include "figmill/once.h"
#include "once/answers.h"

namespace figmill {

using namespace once;    // NOLINT(google-build-using-namespace): events and actions
using namespace detail;  // NOLINT(google-build-using-namespace)

KeyedItem::KeyedItem(Spec spec, std::optional<Accepted> accepted, Tuning tuning)
    : spec_(std::move(spec)), tuning_(tuning), accepted_(accepted.has_value()) {
  if (!accepted) return;
  row_ = std::move(accepted->row);
  version_ = accepted->version;
  told_ = true;  // by the 202
}

std::vector<Action> KeyedItem::Handle(const Event& event, const Context& context) {
  now_ = context.now;
  random_ = &context.random;
  gone_ = &context.gone;
  actions_.clear();
  const bool unasked =
      std::holds_alternative<Tick>(event) || std::holds_alternative<Detached>(event);
  if (!unasked) busy_ = false;
  if (!finished()) std::visit([this](const auto& concrete) { On(concrete); }, event);
  return std::move(actions_);
}

// --- Events ----------------------------------------------------------------------

void KeyedItem::On(const Claim& event) {
  // A second dispatch of a claimed item is how it would run twice: the shell must
  // have said DidNotRun before.
  assert(state_ == State::kIdle);
  wanted_ = event;
  Reclaim();
}

void KeyedItem::On(const Wrote& event) {
  std::visit(Overloaded{[this](const OnceCommitted& fate) { OnCommitted(fate.version); },
                        [this](const OnceRejected& fate) { OnRejected(fate.current); },
                        [this](const NotWritten&) { OnNoFate(false); },
                        [this](const FateUnknown&) { OnNoFate(true); }},
             event.fate);
}

void KeyedItem::On(const Answered& event) {
  // An accepted item may also end before it is sent: what it asks can't be done.
  const bool refused = accepted_ && state_ == State::kIdle;
  if (state_ != State::kSent && state_ != State::kResuming && !refused) return;
  answer_ = event.outcome;
  OnceOutcome outcome = event.outcome;
  if (!FitsInRow(outcome.body)) {
    outcome.object = "results/" + spec_.key.value + "/" + outcome.digest;
    object_bytes_ = std::move(outcome.body);
    outcome.body.clear();
  }
  CommitOutcome(OncePhase::kDone, std::move(outcome));
}

void KeyedItem::On(const DidNotRun& event) {
  if (state_ != State::kSent && state_ != State::kIdle) return;
  ran_ = Ran::kNo;
  state_ = State::kIdle;
  const bool claimed = Owned() && row_.phase == OncePhase::kIntended;
  if (event.retry) return;
  if (claimed) return Release(event.error);
  if (accepted_) return Wake(tuning_.try_again);
  Finish(TellError{event.error});
}

void KeyedItem::On(const Lost& event) {
  if (state_ != State::kSent) return;
  failure_ = event.error;
  state_since_ = now_;
  Ask();
}

void KeyedItem::On(const Detached&) {
  detached_ = true;
  // Another sender's item needs nobody to wait for it.
  if (state_ == State::kFollowing || state_ == State::kIdle) state_ = State::kFinished;
}

void KeyedItem::On(const Tick&) {
  const bool out_of_time = spec_.wait_until && now_ >= *spec_.wait_until;
  switch (state_) {
    case State::kIdle:
      if (!accepted_ || busy_) return;
      if (row_.phase == OncePhase::kQueued) return Call(TryAgain{});
      state_since_ = now_;
      return Ask();
    case State::kFollowing:
      if (out_of_time) return Finish(TellError{StillRunning()});
      if (!busy_) Call(ReadRow{OnceRowKey(spec_.key)});
      return;
    case State::kAsking:
    case State::kResuming:
      // The caller leaves; what became of the item is found out all the same.
      if (out_of_time && !Owned()) Tell(TellError{StillRunning()});
      if (!busy_) Ask();
      return;
    case State::kClaiming:
    case State::kReleasing:
      if (!busy_) Resubmit();
      return;
    case State::kCommitting:
      return CommitTick();
    case State::kSent:
    case State::kFinished:
      return;
  }
}

void KeyedItem::On(const ObjectStored& event) {
  if (state_ != State::kCommitting) return;
  if (!event.stored) return Wake(tuning_.retry);
  object_bytes_.clear();
  WriteOrStore();
}

// The answer in hand is true whether or not the store can be reached, so the
// caller gets it after a while, and the commit is tried until it succeeds. Not so
// for a repeatable item: another sender may have run it too, and the two answers
// to one key would differ.
void KeyedItem::CommitTick() {
  const bool patient = now_ - state_since_ < tuning_.tell_patience;
  const bool out_of_time = spec_.wait_until && now_ >= *spec_.wait_until;
  if (pending_.phase == OncePhase::kUnknown) {
    if (!patient) Tell(TellError{OutcomeUnknown()});
  } else if (!pending_.repeatable) {
    if (!patient) Tell(TellOutcome{answer_, false});
  } else if (out_of_time) {
    Tell(TellError{NotRecorded()});
  }
  if (!busy_) WriteOrStore();
}

// --- Writes ------------------------------------------------------------------------

void KeyedItem::Submit(OnceRow row, State state) {
  pending_ = std::move(row);
  pending_.token = GenerateToken(*random_);
  pending_.tick = spec_.tick;
  state_ = state;
  state_since_ = now_;
  attempts_ = 0;
  if (state == State::kCommitting && !told_) Wake(tuning_.tell_patience);
  WriteOrStore();
}

// A row never names an object that isn't stored.
void KeyedItem::WriteOrStore() {
  if (state_ == State::kCommitting && !object_bytes_.empty()) {
    return Call(PutObject{pending_.outcome.object, object_bytes_});
  }
  Resubmit();
}

void KeyedItem::Resubmit() {
  OnceWrite write;
  write.condition = RowCondition{OnceRowKey(spec_.key), version_};
  write.value = SerializeOnceRow(pending_);
  write.refusable = state_ == State::kClaiming;
  const bool final = pending_.phase == OncePhase::kDone || pending_.phase == OncePhase::kUnknown;
  if (final && !row_.request_object.empty()) {
    write.side.emplace_back(DeleteRow{OnceOpenKey(row_.sender.node, spec_.key)});
  }
  ++attempts_;
  Call(WriteRow{std::move(write)});
}

void KeyedItem::OnCommitted(RowVersion version) {
  Learn(pending_, version);
  switch (state_) {
    case State::kClaiming:
      if (detached_ && !accepted_) return Release(CallerLeft());
      state_ = State::kSent;
      ran_ = Ran::kUnknown;
      Call(Send{wanted_->request, wanted_->agent});
      wanted_.reset();
      return;
    case State::kCommitting:
      return TellRow(false);
    case State::kReleasing:
      if (!accepted_) return Finish(TellError{failure_});
      state_ = State::kIdle;
      return Wake(tuning_.try_again);
    default:
      return;
  }
}

void KeyedItem::OnRejected(const std::optional<Row>& current) {
  // Our own earlier submission, whose answer was lost, is what made it fail.
  Result<OnceRow> parsed = current ? ParseOnceRow(current->value) : OnceRow{};
  if (!IsOk(parsed)) return Finish(TellError{ErrorOf(parsed)});
  if (current && ValueOf(parsed).token == pending_.token) return OnCommitted(current->version);

  Learn(std::move(ValueOf(parsed)), current ? current->version : 0);
  if (state_ == State::kCommitting) return OutcomeOvertaken();
  const bool free = version_ == 0 || row_.phase == OncePhase::kReleased;
  if (state_ == State::kReleasing && free) return Finish(TellError{failure_});
  FollowRow();
}

// Another process wrote while the outcome was on its way. An outcome of its own
// stands. But where it only took the same request over, or gave its answer up as
// unknown, the answer in hand is of that very request and completes the row; and a
// repeatable item takes the first answer there is.
void KeyedItem::OutcomeOvertaken() {
  const bool swept = version_ == 0;
  const bool same =
      pending_.repeatable ? row_.content == pending_.content : row_.request == pending_.request;
  const bool open = row_.phase != OncePhase::kDone;
  if (!swept && pending_.phase == OncePhase::kDone && same && open) {
    pending_.sender = row_.sender;
    pending_.epoch = row_.epoch;
    return Resubmit();
  }
  if (!swept) return FollowRow();
  row_ = pending_;
  TellRow(false);
}

void KeyedItem::OnNoFate(bool unknown) {
  const bool patient = now_ - state_since_ < tuning_.claim_patience;
  if (state_ == State::kClaiming && !accepted_ && !(unknown && patient)) {
    // Nothing was sent, so "not run" is true even if the claim stands: a later
    // request with the key has it revoked at the agent, and claims it anew.
    return Finish(TellError{StoreDown()});
  }
  // The release itself is tried until it succeeds: a claim left behind by a live
  // sender would keep later requests waiting for an outcome that never comes.
  if (state_ == State::kReleasing && !accepted_ && !patient) Tell(TellError{failure_});
  constexpr int kMaxDoublings = 4;
  Wake(tuning_.retry * (1 << std::min(attempts_ - 1, kMaxDoublings)));
}

void KeyedItem::CommitOutcome(OncePhase phase, OnceOutcome outcome) {
  OnceRow row = row_;
  row.phase = phase;
  row.outcome = std::move(outcome);
  Submit(std::move(row), State::kCommitting);
}

void KeyedItem::Release(Error error) {
  failure_ = std::move(error);
  failure_.ran = ran_;
  OnceRow row = row_;
  row.phase = accepted_ ? OncePhase::kQueued : OncePhase::kReleased;
  wanted_.reset();
  Submit(std::move(row), State::kReleasing);
}

// --- Answers -------------------------------------------------------------------------

void KeyedItem::Learn(OnceRow row, RowVersion version) {
  if (version != version_) {
    unchanged_since_ = now_;
    finished_seen_ = false;
  }
  row_ = std::move(row);
  version_ = version;
}

void KeyedItem::TellRow(bool replayed) {
  const bool in_hand = !answer_.digest.empty() && answer_.digest == row_.outcome.digest;
  if (row_.phase == OncePhase::kDone) {
    return Finish(TellOutcome{in_hand ? answer_ : row_.outcome, replayed});
  }
  Finish(TellError{OutcomeUnknown()});
}

void KeyedItem::Tell(Action answer) {
  if (told_) return;
  told_ = true;
  // A later step may fail for a reason by which it did not run, while an earlier
  // dispatch of the same item may have.
  if (auto* refusal = std::get_if<TellError>(&answer); refusal && refusal->error.ran == Ran::kNo) {
    refusal->error.ran = ran_;
  }
  actions_.push_back(std::move(answer));
}

void KeyedItem::Finish(Action answer) {
  Tell(std::move(answer));
  state_ = State::kFinished;
}

void KeyedItem::Call(Action action) {
  busy_ = true;
  actions_.push_back(std::move(action));
}

void KeyedItem::Wake(Duration delay) {
  actions_.emplace_back(WakeAt{now_ + delay});
}

}  // namespace figmill
