// Arriving dispatches: refused, reattached to an existing stream, or queued.

#include <algorithm>

#include "gate/backend_scheduler_impl.h"

namespace figmill {

void BackendScheduler::Impl::On(const DispatchArrived& event) {
  const Dispatch& dispatch = event.dispatch;
  if (dispatch.work_class == WorkClass::kBatch) UpdateEpoch(dispatch.job, dispatch.epoch);
  if (std::optional<Error> refusal = CheckDispatch(dispatch)) {
    // The network may deliver a second copy after this refusal reported "not run".
    // The tombstone keeps that copy from running.
    const bool same_incarnation = dispatch.incarnation == config_.incarnation;
    if (same_incarnation && refusal->ran == Ran::kNo && !table_.Find(dispatch.request)) {
      table_.Close(dispatch.request, detail::RecordState::kNeverStarted, now_);
    }
    Emit(FailRequest{event.arrival, dispatch.request, *std::move(refusal)});
    return;
  }
  if (dispatch.resume_from) {
    Reattach(event.arrival, dispatch);
  } else {
    Enqueue(event.arrival, dispatch);
  }
}

std::optional<Error> BackendScheduler::Impl::CheckDispatch(const Dispatch& dispatch) {
  if (dispatch.incarnation != config_.incarnation) {
    return Error{ErrorKind::kStaleOrders, "meant for another incarnation of this agent", Ran::kNo};
  }
  if (table_.Find(dispatch.request)) return CheckDuplicate(dispatch);
  if (dispatch.resume_from) return CheckAnswerKept(Ran::kUnknown);
  if (dispatch.stamp && table_.MayBeEvicted(*dispatch.stamp)) {
    return Error{ErrorKind::kStaleOrders, "the dispatch is older than this agent's records",
                 Ran::kUnknown};
  }
  if (!dispatch.stamp && !dispatch.repeatable) {
    return Error{ErrorKind::kStaleOrders, "the request is not repeatable and has no time stamp",
                 Ran::kNo};
  }
  if (leaving_) return Error{ErrorKind::kLeaving, "this backend server is leaving", Ran::kNo};
  const auto job = epochs_.find(dispatch.job);
  if (dispatch.work_class == WorkClass::kBatch && job != epochs_.end() &&
      dispatch.epoch < job->second.epoch) {
    return Error{ErrorKind::kFenced, "the job has a newer lease holder", Ran::kNo};
  }
  if (dispatch.time_left <= Duration::zero()) {
    return Error{ErrorKind::kDeadlineExceeded, "the deadline had passed on arrival", Ran::kNo};
  }
  return CheckQueues(dispatch);
}

// The id arrived before. Only a sender that asks to resume the stream gets it; a
// second run never starts.
std::optional<Error> BackendScheduler::Impl::CheckDuplicate(const Dispatch& dispatch) const {
  switch (*table_.Find(dispatch.request)) {
    case detail::RecordState::kNeverStarted:
      return Error{ErrorKind::kCancelled, "the request was refused or revoked before", Ran::kNo};
    case detail::RecordState::kFinished:
      if (dispatch.resume_from) return CheckAnswerKept(Ran::kYes);
      return Error{ErrorKind::kConflict, "the request has already run", Ran::kYes};
    case detail::RecordState::kOpen:
      break;
  }
  if (dispatch.resume_from) return std::nullopt;
  // A queued request hasn't run but still may, so kNo could become untrue.
  const bool ran = streams_.at(dispatch.request).ran;
  return Error{ErrorKind::kConflict, "the request has already arrived",
               ran ? Ran::kYes : Ran::kUnknown};
}

// A plain service doesn't store its answers; calling it again would be a second
// run.
std::optional<Error> BackendScheduler::Impl::CheckAnswerKept(Ran ran) const {
  if (config_.token_streams) return std::nullopt;
  return Error{ErrorKind::kNotFound, "a plain service stores no answers", ran};
}

std::optional<Error> BackendScheduler::Impl::CheckQueues(const Dispatch& dispatch) const {
  if (dispatch.work_class == WorkClass::kBatch) {
    if (batch_queue_.unstarted() < 2 * config_.batch_queue_target) return std::nullopt;
    return OverloadedError("the batch queue is full");
  }
  const bool starts_now = online_queue_.empty() && online_running_ < OnlineLimit();
  if (starts_now) return std::nullopt;
  if (online_queue_.size() >= config_.max_online_queue) {
    return OverloadedError("the online queue is full");
  }
  // Half of the target is reserved for the prefill and for prediction errors.
  const Duration wait = ExpectedWait();
  if (wait > config_.target.first_token / 2) {
    return OverloadedError("the wait would pass the first-token target");
  }
  if (wait + ExpectedService(dispatch) > dispatch.time_left) {
    return OverloadedError("the wait passes the deadline");
  }
  return std::nullopt;
}

Error BackendScheduler::Impl::OverloadedError(std::string detail) const {
  constexpr Duration kMinRetryAfter{1'000'000};  // Retry-After counts whole seconds
  return Error{ErrorKind::kOverloaded, std::move(detail), Ran::kNo,
               std::max(kMinRetryAfter, ExpectedWait())};
}

void BackendScheduler::Impl::Enqueue(ArrivalId arrival, const Dispatch& dispatch) {
  table_.Open(dispatch.request);
  Stream stream{dispatch, arrival};
  stream.waiting_since = now_;
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

// Connects a sender that lost its connection, or the successor of a lost sender, to
// the existing stream. No run is started: the backend server returns what it holds.
void BackendScheduler::Impl::Reattach(ArrivalId arrival, const Dispatch& dispatch) {
  Stream* stream = Find(dispatch.request);
  if (stream == nullptr) {
    table_.Open(dispatch.request);
    Stream reattached_stream{dispatch};
    reattached_stream.ran = true;
    stream =
        &streams_.insert_or_assign(dispatch.request, std::move(reattached_stream)).first->second;
  } else if (stream->arrival != 0) {
    arrivals_.erase(stream->arrival);
    Emit(DetachSender{stream->arrival, dispatch.request,
                      Error{ErrorKind::kFenced, "another sender has reattached to the stream",
                            stream->ran ? Ran::kYes : Ran::kUnknown}});
  }
  stream->arrival = arrival;
  stream->deadline = now_ + dispatch.time_left;
  stream->cancel_at.reset();
  stream->dispatch.owner = dispatch.owner;
  stream->dispatch.epoch = dispatch.epoch;
  arrivals_[arrival] = dispatch.request;
  if (stream->phase == Phase::kQueued && !stream->ran) return;  // it starts from the queue
  if (!config_.token_streams) return;  // DispatchHandler buffers the answer until it is complete
  batch_queue_.Remove(dispatch.request);
  if (stream->phase == Phase::kRunning) LeaveRunning(*stream);
  stream->reattached = true;
  stream->tokens = *dispatch.resume_from;
  Resume(*stream, arrival);
  Schedule();
}

}  // namespace figmill
