// Arrivals: what is refused, what is taken up again, what joins a queue.

#include <algorithm>

#include "gate/gate_impl.h"

namespace figmill {

void Gate::Impl::On(const Arrived& event) {
  const Dispatch& dispatch = event.dispatch;
  if (dispatch.work_class == WorkClass::kBatch) NoteNewEpoch(dispatch.job, dispatch.epoch);
  if (std::optional<Error> refusal = RefusalOf(dispatch)) {
    // What goes wrong: the network delivers a second copy after this refusal
    // said "not run", and the copy runs. The tombstone stops it.
    const bool ours = dispatch.incarnation == config_.incarnation;
    if (ours && refusal->ran == Ran::kNo && !table_.Find(dispatch.request)) {
      table_.Close(dispatch.request, detail::Fate::kNeverStarted, now_);
    }
    Emit(Refuse{event.arrival, dispatch.request, *std::move(refusal)});
    return;
  }
  if (dispatch.resume_from) {
    Adopt(event.arrival, dispatch);
  } else {
    Enqueue(event.arrival, dispatch);
  }
}

std::optional<Error> Gate::Impl::RefusalOf(const Dispatch& dispatch) {
  if (dispatch.incarnation != config_.incarnation) {
    return Error{ErrorKind::kStaleOrders, "meant for another incarnation of this agent", Ran::kNo};
  }
  if (table_.Find(dispatch.request)) return KnownRefusal(dispatch);
  if (dispatch.resume_from) return NothingKept(Ran::kUnknown);
  if (dispatch.stamp && table_.MayBeForgotten(*dispatch.stamp)) {
    return Error{ErrorKind::kStaleOrders, "the dispatch is older than this agent remembers",
                 Ran::kUnknown};
  }
  if (!dispatch.stamp && !dispatch.repeatable) {
    return Error{ErrorKind::kStaleOrders, "not repeatable and without a stamp of its age",
                 Ran::kNo};
  }
  if (leaving_) return Error{ErrorKind::kLeaving, "this backend server is leaving", Ran::kNo};
  const auto job = epochs_.find(dispatch.job);
  if (dispatch.work_class == WorkClass::kBatch && job != epochs_.end() &&
      dispatch.epoch < job->second.epoch) {
    return Error{ErrorKind::kFenced, "a newer holder works the job", Ran::kNo};
  }
  if (dispatch.time_left <= Duration::zero()) {
    return Error{ErrorKind::kDeadlineExceeded, "no time was left on arrival", Ran::kNo};
  }
  return QueueRefusal(dispatch);
}

// The id arrived before. Only a sender that asks to take the stream up may have
// it; a second run never starts.
std::optional<Error> Gate::Impl::KnownRefusal(const Dispatch& dispatch) const {
  switch (*table_.Find(dispatch.request)) {
    case detail::Fate::kNeverStarted:
      return Error{ErrorKind::kCancelled, "the request was refused or revoked before", Ran::kNo};
    case detail::Fate::kFinished:
      if (dispatch.resume_from) return NothingKept(Ran::kYes);
      return Error{ErrorKind::kConflict, "the request has run already", Ran::kYes};
    case detail::Fate::kOpen:
      break;
  }
  if (dispatch.resume_from) return std::nullopt;
  // While it waits it hasn't run, but it still may: "no" would become a lie.
  const bool ran = streams_.at(dispatch.request).ran;
  return Error{ErrorKind::kConflict, "the request is here already",
               ran ? Ran::kYes : Ran::kUnknown};
}

// A plain service can't be asked for an answer that it gave; to call it would be
// a second run.
std::optional<Error> Gate::Impl::NothingKept(Ran ran) const {
  if (config_.token_streams) return std::nullopt;
  return Error{ErrorKind::kNotFound, "a plain service keeps no answers", ran};
}

std::optional<Error> Gate::Impl::QueueRefusal(const Dispatch& dispatch) const {
  if (dispatch.work_class == WorkClass::kBatch) {
    if (batch_queue_.fresh() < 2 * config_.ready_batch) return std::nullopt;
    return Overloaded("the batch queue is full");
  }
  const bool at_once = online_queue_.empty() && online_running_ < OnlineLimit();
  if (at_once) return std::nullopt;
  if (online_queue_.size() >= config_.max_online_queue) {
    return Overloaded("the online queue is full");
  }
  // Half the target is left for the prompt and for what the prediction misses.
  const Duration wait = ExpectedWait();
  if (wait > config_.target.first_token / 2) {
    return Overloaded("the wait would pass the first-token target");
  }
  if (wait + ExpectedService(dispatch) > dispatch.time_left) {
    return Overloaded("the wait passes the deadline");
  }
  return std::nullopt;
}

Error Gate::Impl::Overloaded(std::string detail) const {
  constexpr Duration kShortest{1'000'000};  // Retry-After counts whole seconds
  return Error{ErrorKind::kOverloaded, std::move(detail), Ran::kNo,
               std::max(kShortest, ExpectedWait())};
}

void Gate::Impl::Enqueue(Arrival arrival, const Dispatch& dispatch) {
  table_.Open(dispatch.request);
  Stream stream{dispatch, arrival};
  stream.waits_since = now_;
  stream.deadline = now_ + dispatch.time_left;
  arrivals_[arrival] = dispatch.request;
  streams_.insert_or_assign(dispatch.request, std::move(stream));
  if (dispatch.work_class == WorkClass::kOnline) {
    online_queue_.Push(
        {dispatch.request, now_, now_ + dispatch.time_left, ExpectedService(dispatch)});
  } else {
    batch_queue_.Push({dispatch.request, dispatch.repeatable});
  }
  Schedule();
}

// A sender that lost its connection, or the successor of a lost one, takes the
// stream up. Nothing is started: the backend server gives what it holds.
void Gate::Impl::Adopt(Arrival arrival, const Dispatch& dispatch) {
  Stream* stream = Find(dispatch.request);
  if (stream == nullptr) {
    table_.Open(dispatch.request);
    Stream fresh{dispatch};
    fresh.ran = true;
    stream = &streams_.insert_or_assign(dispatch.request, std::move(fresh)).first->second;
  } else if (stream->arrival != 0) {
    arrivals_.erase(stream->arrival);
    Emit(Detach{stream->arrival, dispatch.request,
                Error{ErrorKind::kFenced, "another sender has taken the stream up",
                      stream->ran ? Ran::kYes : Ran::kUnknown}});
  }
  stream->arrival = arrival;
  stream->deadline = now_ + dispatch.time_left;
  stream->give_up.reset();
  stream->dispatch.owner = dispatch.owner;
  stream->dispatch.epoch = dispatch.epoch;
  arrivals_[arrival] = dispatch.request;
  if (stream->phase == Phase::kQueued && !stream->ran) return;  // its turn will come
  if (!config_.token_streams) return;  // the shell holds the answer until it is whole
  batch_queue_.Remove(dispatch.request);
  if (stream->phase == Phase::kRunning) LeaveRunning(*stream);
  stream->adopted = true;
  stream->tokens = *dispatch.resume_from;
  Resume(*stream, arrival);
  Schedule();
}

}  // namespace figmill
