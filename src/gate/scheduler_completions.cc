// Events of the backend server, and all ways in which a request ends.

#include <algorithm>

#include "gate/backend_scheduler_impl.h"

namespace figmill {
namespace {

// A stop that isn't confirmed within this time counts as confirmed: the backend
// server is gone or unreachable, and a resume will then fail.
constexpr Duration kStopTimeout{2'000'000};
// Starts of one batch item on this agent, after which it fails and its owner decides.
constexpr int kMaxStarts = 4;

}  // namespace

BackendScheduler::Impl::Stream* BackendScheduler::Impl::Find(const RequestId& request) {
  const auto found = streams_.find(request);
  return found == streams_.end() ? nullptr : &found->second;
}

BackendScheduler::Impl::Stream* BackendScheduler::Impl::FindRunning(const RequestId& request) {
  Stream* stream = Find(request);
  return stream != nullptr && stream->phase == Phase::kRunning ? stream : nullptr;
}

void BackendScheduler::Impl::On(const StreamTokens& event) {
  Stream* stream = FindRunning(event.request);
  if (stream == nullptr || event.tokens == 0) return;
  const bool online = stream->dispatch.work_class == WorkClass::kOnline;
  const int running = online_running_ + batch_running_;
  stream->tokens += event.tokens;
  if (stream->prefilling) {
    const Duration wait = now_ - stream->started;
    EndPrefill(*stream);
    stream->last_token = now_;
    if (online) {
      service_estimate_.AddFirstToken(wait);
    } else {
      batch_limit_policy_.AddFirstToken(
          wait, Duration(static_cast<std::int64_t>(token_gap_model_.Predict(running))));
    }
    Schedule();
    return;
  }
  const Duration gap = (now_ - stream->last_token) / event.tokens;
  const bool prefill_in_gap = prefilling_ > 0 || last_prefill_end_ >= stream->last_token;
  if (!prefill_in_gap) token_gap_model_.Add(running, gap);
  if (online) online_limit_.AddGap(gap, running);
  stream->last_token = now_;
}

void BackendScheduler::Impl::On(const StreamFinished& event) {
  Stream* stream = FindRunning(event.request);
  if (stream == nullptr) return;
  const Duration whole = now_ - stream->started;
  const bool online = stream->dispatch.work_class == WorkClass::kOnline;
  if (!config_.token_streams) {
    const int running = online_running_ + batch_running_;
    token_gap_model_.Add(running, whole);
    if (online) online_limit_.AddGap(whole, running);
  }
  if (online && !stream->reattached) {
    service_estimate_.AddEnded(whole, stream->tokens, stream->dispatch.max_tokens);
  }
  End(event.request, std::nullopt);
  Schedule();
}

void BackendScheduler::Impl::On(const StreamFailed& event) {
  Stream* stream = FindRunning(event.request);
  if (stream == nullptr) return;
  const Dispatch& dispatch = stream->dispatch;
  if (event.error.ran == Ran::kNo && stream->starts == 1 && !stream->reattached &&
      !stream->tokens_at_break && stream->tokens == 0) {
    stream->ran = false;
  }
  const bool stream_missing = event.error.kind == ErrorKind::kNotFound;
  const bool stream_broken = event.error.kind == ErrorKind::kBrokenAnswer;
  const bool progressed = !stream->tokens_at_break || stream->tokens > *stream->tokens_at_break;
  if (stream_broken && stream->ran && config_.token_streams && progressed) {
    stream->tokens_at_break = stream->tokens;
    LeaveRunning(*stream);
    Resume(*stream, 0);
  } else if (stream_missing && !stream->reattached && dispatch.repeatable &&
             dispatch.work_class == WorkClass::kBatch && stream->starts < kMaxStarts) {
    Rerun(*stream);
  } else if (stream_missing && !stream->reattached && !dispatch.repeatable) {
    End(event.request, Error{ErrorKind::kOutcomeUnknown,
                             "the backend server no longer holds the stream", Ran::kUnknown});
  } else if (stream_missing && !stream->reattached) {
    End(event.request, Error{ErrorKind::kBackendFailed,
                             "the backend server no longer holds the stream", Ran::kYes});
  } else {
    End(event.request, event.error);
  }
  Schedule();
}

void BackendScheduler::Impl::On(const StreamStopped& event) {
  Stream* stream = Find(event.request);
  if (stream == nullptr || stream->phase != Phase::kPaused) return;
  stream->stop_requested_at.reset();
  batch_queue_.ConfirmStop(event.request);
  Schedule();
}

void BackendScheduler::Impl::On(const SenderDisconnected& event) {
  const auto found = arrivals_.find(event.arrival);
  if (found == arrivals_.end()) return;
  DropSender(streams_.at(found->second));
  Schedule();
}

// The sender has disconnected. A request that isn't running is dropped. A running
// one that must not be repeated runs to its end, and its answer can be fetched by its
// request id. Batch and keyed online requests are kept for a time so that a sender
// can reattach; all others are stopped.
void BackendScheduler::Impl::DropSender(Stream& stream) {
  arrivals_.erase(stream.arrival);
  stream.arrival = 0;
  const RequestId request = stream.dispatch.request;
  const bool keep =
      stream.dispatch.work_class == WorkClass::kBatch || !stream.dispatch.item.empty();
  if (stream.phase != Phase::kRunning) {
    End(request, Error{ErrorKind::kCancelled, "the sender has disconnected"});
  } else if (!stream.dispatch.repeatable) {
    return;
  } else if (keep) {
    stream.cancel_at = now_ + config_.resume_window;
  } else {
    Stop(request, Error{ErrorKind::kCancelled, "the sender has disconnected"});
  }
}

// Ends a request: with a complete answer if `error` is empty. Removes it from all
// structures but the table, which records whether it ran.
void BackendScheduler::Impl::End(const RequestId& request, std::optional<Error> error) {
  const auto found = streams_.find(request);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  const RequestId id = found->first;  // `request` may point into the stream
  if (stream.phase == Phase::kRunning) LeaveRunning(stream);
  online_queue_.Remove(id);
  batch_queue_.Remove(id);
  table_.Close(id, stream.ran ? detail::RecordState::kFinished : detail::RecordState::kNeverStarted,
               now_);
  arrivals_.erase(stream.arrival);
  if (error) {
    if (!stream.ran) error->ran = Ran::kNo;
    if (stream.ran && error->ran == Ran::kNo) error->ran = Ran::kYes;
    Emit(FailRequest{stream.arrival, id, *std::move(error)});
  } else {
    Emit(CompleteRequest{stream.arrival, id});
  }
  streams_.erase(found);
}

void BackendScheduler::Impl::Stop(const RequestId& request, Error error) {
  if (FindRunning(request) != nullptr) Emit(StopStream{request});
  End(request, std::move(error));
}

std::vector<RequestId> BackendScheduler::Impl::FindStreams(
    const std::function<bool(const Stream&)>& test) const {
  std::vector<RequestId> selected;
  for (const auto& [id, stream] : streams_) {
    if (test(stream)) selected.push_back(id);
  }
  std::sort(selected.begin(), selected.end());  // deterministic order
  return selected;
}

void BackendScheduler::Impl::On(const Tick&) {
  ExpireStreams();
  Schedule();
}

void BackendScheduler::Impl::ExpireStreams() {
  table_.EvictExpired(now_);
  EvictOldEpochs();
  const auto late = FindStreams([&](const Stream& s) {
    // Keyed work continues after the deadline, since the caller may retry with the key.
    const bool keeps_running = !s.dispatch.item.empty() || !s.dispatch.repeatable;
    return now_ >= s.deadline && (s.phase != Phase::kRunning || !keeps_running);
  });
  for (const RequestId& request : late) {
    Stop(request, Error{ErrorKind::kDeadlineExceeded, "the deadline passed"});
  }
  // Under constant online load an item could wait here for hours although other
  // agents have free slots. Refusing it lets its owner send it elsewhere.
  for (const RequestId& request : FindStreams([&](const Stream& s) {
         return s.dispatch.work_class == WorkClass::kBatch && s.phase != Phase::kRunning &&
                now_ >= s.waiting_since + config_.max_batch_wait;
       })) {
    End(request, OverloadedError("online work has left no capacity for batch"));
  }
  for (const RequestId& request :
       FindStreams([&](const Stream& s) { return s.cancel_at && now_ >= *s.cancel_at; })) {
    Stop(request, Error{ErrorKind::kCancelled, "no sender has reattached to the stream"});
  }
  for (const RequestId& request : FindStreams([&](const Stream& s) {
         return s.stop_requested_at && now_ >= *s.stop_requested_at + kStopTimeout;
       })) {
    Find(request)->stop_requested_at.reset();
    batch_queue_.ConfirmStop(request);
  }
}

}  // namespace figmill
