// What the backend server answers, and every way a request ends.

#include <algorithm>

#include "gate/gate_impl.h"

namespace figmill {
namespace {

// A stop that isn't confirmed for so long is taken as done: the backend server
// or the way to it is gone, and then the resume will say so.
constexpr Duration kStopPatience{2'000'000};
// Runs of one batch item here, after which its owner decides.
constexpr int kMaxStarts = 4;

}  // namespace

Gate::Impl::Stream* Gate::Impl::Find(const RequestId& request) {
  const auto found = streams_.find(request);
  return found == streams_.end() ? nullptr : &found->second;
}

Gate::Impl::Stream* Gate::Impl::FindRunning(const RequestId& request) {
  Stream* stream = Find(request);
  return stream != nullptr && stream->phase == Phase::kRunning ? stream : nullptr;
}

void Gate::Impl::On(const BackendTokens& event) {
  Stream* stream = FindRunning(event.request);
  if (stream == nullptr || event.tokens == 0) return;
  const bool online = stream->dispatch.work_class == WorkClass::kOnline;
  const int running = online_running_ + batch_running_;
  stream->tokens += event.tokens;
  if (stream->reading) {
    const Duration wait = now_ - stream->started;
    EndReading(*stream);
    stream->last_token = now_;
    if (online) {
      estimate_.AddFirstToken(wait);
    } else {
      yield_.AddFirstToken(wait, Duration(static_cast<std::int64_t>(model_.Predict(running))));
    }
    Schedule();
    return;
  }
  const Duration gap = (now_ - stream->last_token) / event.tokens;
  const bool prompt_read = reading_ > 0 || last_reading_ >= stream->last_token;
  if (!prompt_read) model_.Add(running, gap);
  if (online) limit_.AddGap(gap, running);
  stream->last_token = now_;
}

void Gate::Impl::On(const BackendEnded& event) {
  Stream* stream = FindRunning(event.request);
  if (stream == nullptr) return;
  const Duration whole = now_ - stream->started;
  const bool online = stream->dispatch.work_class == WorkClass::kOnline;
  if (!config_.token_streams) {
    const int running = online_running_ + batch_running_;
    model_.Add(running, whole);
    if (online) limit_.AddGap(whole, running);
  }
  if (online && !stream->adopted) {
    estimate_.AddEnded(whole, stream->tokens, stream->dispatch.tokens);
  }
  End(event.request, std::nullopt);
  Schedule();
}

void Gate::Impl::On(const BackendFailed& event) {
  Stream* stream = FindRunning(event.request);
  if (stream == nullptr) return;
  const Dispatch& dispatch = stream->dispatch;
  if (event.error.ran == Ran::kNo && stream->starts == 1 && !stream->adopted && !stream->broke_at &&
      stream->tokens == 0) {
    stream->ran = false;
  }
  const bool gone = event.error.kind == ErrorKind::kNotFound;
  const bool broke = event.error.kind == ErrorKind::kBrokenAnswer;
  const bool progressed = !stream->broke_at || stream->tokens > *stream->broke_at;
  if (broke && stream->ran && config_.token_streams && progressed) {
    stream->broke_at = stream->tokens;
    LeaveRunning(*stream);
    Resume(*stream, 0);
  } else if (gone && !stream->adopted && dispatch.repeatable &&
             dispatch.work_class == WorkClass::kBatch && stream->starts < kMaxStarts) {
    Rerun(*stream);
  } else if (gone && !stream->adopted && !dispatch.repeatable) {
    End(event.request, Error{ErrorKind::kOutcomeUnknown,
                             "the backend server no longer holds the stream", Ran::kUnknown});
  } else if (gone && !stream->adopted) {
    End(event.request, Error{ErrorKind::kBackendFailed,
                             "the backend server no longer holds the stream", Ran::kYes});
  } else {
    End(event.request, event.error);
  }
  Schedule();
}

void Gate::Impl::On(const BackendStopped& event) {
  Stream* stream = Find(event.request);
  if (stream == nullptr || stream->phase != Phase::kPaused) return;
  stream->stop_asked.reset();
  batch_queue_.MarkStopped(event.request);
  Schedule();
}

void Gate::Impl::On(const PeerGone& event) {
  const auto found = arrivals_.find(event.arrival);
  if (found == arrivals_.end()) return;
  DropPeer(streams_.at(found->second));
  Schedule();
}

// Nobody listens any more. What never started is dropped; what isn't repeatable
// runs to its end, and may be asked for by its request id; batch and keyed
// online are kept a while for that; the rest is stopped.
void Gate::Impl::DropPeer(Stream& stream) {
  arrivals_.erase(stream.arrival);
  stream.arrival = 0;
  const RequestId request = stream.dispatch.request;
  const bool keep =
      stream.dispatch.work_class == WorkClass::kBatch || !stream.dispatch.item.empty();
  if (stream.phase != Phase::kRunning) {
    End(request, Error{ErrorKind::kCancelled, "the sender is gone"});
  } else if (!stream.dispatch.repeatable) {
    return;
  } else if (keep) {
    stream.give_up = now_ + config_.keep_for_resume;
  } else {
    Stop(request, Error{ErrorKind::kCancelled, "the sender is gone"});
  }
}

// `error` empty: the answer is whole. Removes the request from everywhere but
// the table, which remembers whether it ran.
void Gate::Impl::End(const RequestId& request, std::optional<Error> error) {
  const auto found = streams_.find(request);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  const RequestId id = found->first;  // `request` may point into the stream
  if (stream.phase == Phase::kRunning) LeaveRunning(stream);
  online_queue_.Remove(id);
  batch_queue_.Remove(id);
  table_.Close(id, stream.ran ? detail::Fate::kFinished : detail::Fate::kNeverStarted, now_);
  arrivals_.erase(stream.arrival);
  if (error) {
    if (!stream.ran) error->ran = Ran::kNo;
    if (stream.ran && error->ran == Ran::kNo) error->ran = Ran::kYes;
    Emit(Refuse{stream.arrival, id, *std::move(error)});
  } else {
    Emit(Finish{stream.arrival, id});
  }
  streams_.erase(found);
}

void Gate::Impl::Stop(const RequestId& request, Error error) {
  if (FindRunning(request) != nullptr) Emit(CancelBackend{request});
  End(request, std::move(error));
}

std::vector<RequestId> Gate::Impl::Select(const std::function<bool(const Stream&)>& test) const {
  std::vector<RequestId> selected;
  for (const auto& [id, stream] : streams_) {
    if (test(stream)) selected.push_back(id);
  }
  std::sort(selected.begin(), selected.end());  // the same in every run
  return selected;
}

void Gate::Impl::On(const Tick&) {
  Expire();
  Schedule();
}

void Gate::Impl::Expire() {
  table_.Sweep(now_);
  ForgetOldEpochs();
  const auto late = Select([&](const Stream& s) {
    // Keyed work outlives its sender's patience; the key's holder may ask again.
    const bool wanted_later = !s.dispatch.item.empty() || !s.dispatch.repeatable;
    return now_ >= s.deadline && (s.phase != Phase::kRunning || !wanted_later);
  });
  for (const RequestId& request : late) {
    Stop(request, Error{ErrorKind::kDeadlineExceeded, "the deadline passed"});
  }
  // What goes wrong without it: online never pauses here, and an item waits for
  // hours though other agents have room. Its owner sends it elsewhere.
  for (const RequestId& request : Select([&](const Stream& s) {
         return s.dispatch.work_class == WorkClass::kBatch && s.phase != Phase::kRunning &&
                now_ >= s.waits_since + config_.batch_patience;
       })) {
    End(request, Overloaded("online has left no room for batch"));
  }
  for (const RequestId& request :
       Select([&](const Stream& s) { return s.give_up && now_ >= *s.give_up; })) {
    Stop(request, Error{ErrorKind::kCancelled, "nobody took the stream up"});
  }
  for (const RequestId& request : Select([&](const Stream& s) {
         return s.stop_asked && now_ >= *s.stop_asked + kStopPatience;
       })) {
    Find(request)->stop_asked.reset();
    batch_queue_.MarkStopped(request);
  }
}

}  // namespace figmill
