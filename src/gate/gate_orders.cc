// Orders about work: revoke, cancel, supersede, leave.

#include <algorithm>

#include "gate/gate_impl.h"

namespace figmill {

RequestState Gate::Impl::StateOf(const RequestId& request) const {
  const auto found = streams_.find(request);
  if (found != streams_.end()) {
    return found->second.ran ? RequestState::kRunning : RequestState::kNeverStarted;
  }
  return table_.Find(request) == detail::Fate::kFinished ? RequestState::kFinished
                                                         : RequestState::kNeverStarted;
}

bool Gate::Impl::AnswerForgotten(const RequestId& request, std::optional<Time> stamp) {
  if (table_.Find(request) || !table_.MayBeForgotten(stamp.value_or(Time::min()))) return false;
  Emit(OrderAnswer{request,
                   Error{ErrorKind::kOutcomeUnknown,
                         "the request may be older than this agent remembers", Ran::kUnknown}});
  return true;
}

// "Never started" is a promise, kept by a tombstone; where the table may have
// forgotten the id, no promise is given.
void Gate::Impl::On(const Revoke& event) {
  if (event.incarnation != config_.incarnation) {
    Emit(OrderAnswer{event.request,
                     Error{ErrorKind::kStaleOrders, "meant for another incarnation of this agent",
                           Ran::kUnknown}});
    return;
  }
  if (AnswerForgotten(event.request, event.stamp)) return;
  const RequestState state = StateOf(event.request);
  if (state == RequestState::kNeverStarted) {
    End(event.request, Error{ErrorKind::kCancelled, "the request was revoked"});
    table_.Close(event.request, detail::Fate::kNeverStarted, now_);
  }
  Emit(OrderAnswer{event.request, state});
  Schedule();
}

void Gate::Impl::On(const Cancel& event) {
  if (AnswerForgotten(event.request, std::nullopt)) return;
  const RequestState state = StateOf(event.request);
  Stop(event.request, Error{ErrorKind::kCancelled, "the request was cancelled"});
  table_.Close(event.request, detail::Fate::kNeverStarted, now_);
  Emit(OrderAnswer{event.request, state});
  Schedule();
}

void Gate::Impl::On(const Supersede& event) {
  NoteNewEpoch(event.job, event.epoch);
  Schedule();
}

// The former holder's items: what waits is dropped, what runs is stopped unless
// it may not be repeated; that one the new holder can take up by its id.
void Gate::Impl::NoteNewEpoch(const JobId& job, Epoch epoch) {
  JobEpoch& known = epochs_[job];
  known.seen = now_;
  if (epoch <= known.epoch) return;
  known.epoch = epoch;
  const auto superseded = Select([&](const Stream& s) {
    return s.dispatch.work_class == WorkClass::kBatch && s.dispatch.job == job &&
           s.dispatch.epoch < epoch && (s.dispatch.repeatable || !s.ran);
  });
  for (const RequestId& request : superseded) {
    Stop(request, Error{ErrorKind::kFenced, "a newer holder works the job"});
  }
}

// What waits is dropped; what runs is kept a while, as for any lost sender.
void Gate::Impl::On(const OwnerSilent& event) {
  const auto lost = Select([&](const Stream& s) {
    return s.arrival != 0 && s.dispatch.work_class == WorkClass::kBatch &&
           s.dispatch.owner == event.owner;
  });
  for (const RequestId& request : lost) {
    Stream& stream = *Find(request);
    Error error{ErrorKind::kCancelled, "the job's owner is silent", Ran::kYes};
    if (stream.phase != Phase::kRunning) {
      End(request, std::move(error));
      continue;
    }
    Emit(Detach{stream.arrival, request, std::move(error)});
    DropPeer(stream);
  }
  Schedule();
}

// The table would otherwise grow by every job that ever ran. Forgetting an epoch
// is harmless: what commits is decided by the table service, not here.
void Gate::Impl::ForgetOldEpochs() {
  constexpr Duration kEvery{1'000'000};
  if (now_ < forgot_epochs_ + kEvery) return;
  forgot_epochs_ = now_;
  const Time since = now_ - config_.remember;
  std::erase_if(epochs_, [&](const auto& entry) { return entry.second.seen < since; });
}

// What runs goes on to its end; what waits is better off elsewhere at once.
void Gate::Impl::On(const LeavingChanged& event) {
  leaving_ = event.leaving;
  if (!leaving_) return;
  for (const RequestId& request :
       Select([](const Stream& s) { return s.phase != Phase::kRunning; })) {
    End(request, Error{ErrorKind::kLeaving, "this backend server is leaving"});
  }
}

Duration Gate::Impl::LongestWait() const {
  Duration longest{0};
  for (const auto& [id, stream] : streams_) {
    if (stream.reading) longest = std::max(longest, now_ - stream.started);
  }
  return longest;
}

void Gate::Impl::On(const LoadReported& event) {
  yield_.Report(event.load, now_);
  places_.Report(event.load, online_running_ + batch_running_, LongestWait(), now_);
  Schedule();
}

}  // namespace figmill
