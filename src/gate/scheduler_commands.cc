// Commands about requests (revoke, cancel, supersede), lost owners, leaving, and
// load reports.

#include <algorithm>

#include "gate/backend_scheduler_impl.h"

namespace figmill {

RequestState BackendScheduler::Impl::StateOf(const RequestId& request) const {
  const auto found = streams_.find(request);
  if (found != streams_.end()) {
    return found->second.ran ? RequestState::kRunning : RequestState::kNeverStarted;
  }
  return table_.Find(request) == detail::RecordState::kFinished ? RequestState::kFinished
                                                                : RequestState::kNeverStarted;
}

bool BackendScheduler::Impl::ReplyIfEvicted(const RequestId& request, std::optional<Time> stamp) {
  if (table_.Find(request) || !table_.MayBeEvicted(stamp.value_or(Time::min()))) return false;
  Emit(CommandReply{request,
                    Error{ErrorKind::kOutcomeUnknown,
                          "the request may be older than this agent's records", Ran::kUnknown}});
  return true;
}

// "Never started" is a promise, enforced by a tombstone. It isn't given when the
// record of the id may have been evicted.
void BackendScheduler::Impl::On(const Revoke& event) {
  if (event.incarnation != config_.incarnation) {
    Emit(CommandReply{event.request,
                      Error{ErrorKind::kStaleOrders, "meant for another incarnation of this agent",
                            Ran::kUnknown}});
    return;
  }
  if (ReplyIfEvicted(event.request, event.stamp)) return;
  const RequestState state = StateOf(event.request);
  if (state == RequestState::kNeverStarted) {
    End(event.request, Error{ErrorKind::kCancelled, "the request was revoked"});
    table_.Close(event.request, detail::RecordState::kNeverStarted, now_);
  }
  Emit(CommandReply{event.request, state});
  Schedule();
}

void BackendScheduler::Impl::On(const Cancel& event) {
  if (ReplyIfEvicted(event.request, std::nullopt)) return;
  const RequestState state = StateOf(event.request);
  Stop(event.request, Error{ErrorKind::kCancelled, "the request was cancelled"});
  table_.Close(event.request, detail::RecordState::kNeverStarted, now_);
  Emit(CommandReply{event.request, state});
  Schedule();
}

void BackendScheduler::Impl::On(const Supersede& event) {
  UpdateEpoch(event.job, event.epoch);
  Schedule();
}

// Of the former lease holder's items, waiting ones are dropped and running ones are
// stopped unless they must not be repeated; the new holder can reattach to those by
// their request id.
void BackendScheduler::Impl::UpdateEpoch(const JobId& job, Epoch epoch) {
  JobEpoch& known = epochs_[job];
  known.updated_at = now_;
  if (epoch <= known.epoch) return;
  known.epoch = epoch;
  const auto superseded = FindStreams([&](const Stream& s) {
    return s.dispatch.work_class == WorkClass::kBatch && s.dispatch.job == job &&
           s.dispatch.epoch < epoch && (s.dispatch.repeatable || !s.ran);
  });
  for (const RequestId& request : superseded) {
    Stop(request, Error{ErrorKind::kFenced, "the job has a newer lease holder"});
  }
}

// Waiting items are dropped; running ones are kept for a time, as after any lost
// sender.
void BackendScheduler::Impl::On(const OwnerLost& event) {
  const auto lost = FindStreams([&](const Stream& s) {
    return s.arrival != 0 && s.dispatch.work_class == WorkClass::kBatch &&
           s.dispatch.owner == event.owner;
  });
  for (const RequestId& request : lost) {
    Stream& stream = *Find(request);
    Error error{ErrorKind::kCancelled, "the job's owner was lost", Ran::kYes};
    if (stream.phase != Phase::kRunning) {
      End(request, std::move(error));
      continue;
    }
    Emit(DetachSender{stream.arrival, request, std::move(error)});
    DropSender(stream);
  }
  Schedule();
}

// Without eviction the map would grow with every job that ever ran. Evicting an
// epoch is safe: the table service, not this class, decides which writes commit.
void BackendScheduler::Impl::EvictOldEpochs() {
  constexpr Duration kEvery{1'000'000};
  if (now_ < epochs_evicted_at_ + kEvery) return;
  epochs_evicted_at_ = now_;
  const Time oldest_kept = now_ - config_.record_retention;
  std::erase_if(epochs_, [&](const auto& entry) { return entry.second.updated_at < oldest_kept; });
}

// Running streams continue to their end; waiting requests are refused at once, so
// that their senders can use another backend server.
void BackendScheduler::Impl::On(const LeavingChanged& event) {
  leaving_ = event.leaving;
  if (!leaving_) return;
  for (const RequestId& request :
       FindStreams([](const Stream& s) { return s.phase != Phase::kRunning; })) {
    End(request, Error{ErrorKind::kLeaving, "this backend server is leaving"});
  }
}

Duration BackendScheduler::Impl::LongestPrefill() const {
  Duration longest{0};
  for (const auto& [id, stream] : streams_) {
    if (stream.prefilling) longest = std::max(longest, now_ - stream.started);
  }
  return longest;
}

void BackendScheduler::Impl::On(const LoadReported& event) {
  batch_limit_policy_.Report(event.load, now_);
  capacity_.Report(event.load, online_running_ + batch_running_, LongestPrefill(), now_);
  Schedule();
}

}  // namespace figmill
