// Who runs: online first, batch in what online leaves.

#include <algorithm>

#include "gate/gate_impl.h"

namespace figmill {
namespace {

// Batch streams that may not be stopped, as they may not be repeated, may hold
// so many places at once and no more.
constexpr int kMaxUnstoppable = 2;

}  // namespace

void Gate::Impl::Schedule() {
  StopBatch();
  StartOnline();
  StartBatch();
}

// Online that runs or could run now. What waits beyond the limit needs no more
// room than the limit has.
int Gate::Impl::OnlineWanted() const {
  return std::min(online_running_ + online_queue_.size(), std::max(online_running_, OnlineLimit()));
}

// Where the engine queues, more online would wait in there, unseen.
int Gate::Impl::OnlineLimit() const {
  return std::min(limit_.limit(), places_.count());
}

bool Gate::Impl::MayStop(const Stream& stream) const {
  return stream.dispatch.work_class == WorkClass::kBatch && stream.phase == Phase::kRunning &&
         stream.dispatch.repeatable;
}

// Least work lost first. Without online nothing is stopped: the streams end by
// themselves. While online merely goes on, a slightly smaller limit stops
// nothing either, or noise in the measured gap would stop and resume by turns.
void Gate::Impl::StopBatch() {
  const int online = OnlineWanted();
  const bool arrived = online > online_before_;
  online_before_ = online;
  if (online == 0 || batch_running_ == 0) return;
  const int limit = yield_.Limit(model_, online, places_.count(), now_);
  if (batch_running_ <= (arrived ? limit : limit + limit / 4 + 1)) return;
  std::vector<Stream*> candidates;
  for (auto& [id, stream] : streams_) {
    if (MayStop(stream)) candidates.push_back(&stream);
  }
  const auto work = [](const Stream* s) { return s->tokens + s->dispatch.prompt_tokens; };
  std::sort(candidates.begin(), candidates.end(), [&](const Stream* x, const Stream* y) {
    return std::pair(work(x), x->dispatch.request) < std::pair(work(y), y->dispatch.request);
  });
  for (Stream* stream : candidates) {
    if (batch_running_ <= limit) break;
    Pause(*stream);
  }
}

void Gate::Impl::Pause(Stream& stream) {
  Emit(CancelBackend{stream.dispatch.request, true});
  LeaveRunning(stream);
  stream.phase = Phase::kPaused;
  stream.stop_asked = now_;
  stream.waits_since = now_;
  ++stops_;
  batch_queue_.PushPaused(
      {stream.dispatch.request, stream.tokens + stream.dispatch.prompt_tokens, false});
}

void Gate::Impl::StartOnline() {
  for (const RequestId& request : online_queue_.TakeHopeless(now_)) {
    End(request, Overloaded("the wait would pass the deadline"));
  }
  while (!online_queue_.empty() && online_running_ < OnlineLimit()) {
    Start(*Find(online_queue_.Pop()));
  }
}

void Gate::Impl::StartBatch() {
  if (!online_queue_.empty()) return;
  const int online = OnlineWanted();
  const int room = yield_.Limit(model_, online, places_.count(), now_) - batch_running_;
  int may_start = yield_.MayStart(model_, {online, batch_running_, batch_reading_}, room, now_);
  for (; may_start > 0; --may_start) {
    const auto next = batch_queue_.Pop(unstoppable_ < kMaxUnstoppable);
    if (!next) return;
    yield_.Started(now_);
    Start(*Find(*next));
  }
}

void Gate::Impl::Start(Stream& stream) {
  // What was taken up by its id is never started: this agent may have forgotten
  // that it promised so.
  if (stream.adopted || (config_.token_streams && stream.tokens > 0)) {
    Resume(stream, 0);
    return;
  }
  const bool rerun = stream.starts > 0;
  if (rerun) ++reruns_;
  EnterRunning(stream);
  ++stream.starts;
  Emit(StartBackend{stream.dispatch.request, rerun});
}

void Gate::Impl::Resume(Stream& stream, Arrival adopted) {
  EnterRunning(stream);
  Emit(ResumeBackend{stream.dispatch.request, stream.tokens, adopted});
}

void Gate::Impl::Rerun(Stream& stream) {
  LeaveRunning(stream);
  stream.tokens = 0;
  Start(stream);
}

void Gate::Impl::EnterRunning(Stream& stream) {
  stream.phase = Phase::kRunning;
  stream.ran = true;
  stream.reading = config_.token_streams;
  stream.started = now_;
  stream.last_token = now_;
  stream.stop_asked.reset();
  if (stream.reading) ++reading_;
  if (stream.dispatch.work_class == WorkClass::kOnline) {
    ++online_running_;
    return;
  }
  ++batch_running_;
  if (stream.reading) ++batch_reading_;
  if (!stream.dispatch.repeatable) ++unstoppable_;
}

void Gate::Impl::LeaveRunning(Stream& stream) {
  EndReading(stream);
  if (stream.dispatch.work_class == WorkClass::kOnline) {
    --online_running_;
    return;
  }
  --batch_running_;
  if (!stream.dispatch.repeatable) --unstoppable_;
}

void Gate::Impl::EndReading(Stream& stream) {
  if (!stream.reading) return;
  stream.reading = false;
  last_reading_ = now_;
  --reading_;
  if (stream.dispatch.work_class == WorkClass::kBatch) --batch_reading_;
}

Duration Gate::Impl::ExpectedService(const Dispatch& dispatch) const {
  if (!config_.token_streams) return estimate_.whole();
  return estimate_.Expect(dispatch.tokens, model_.Predict(std::max(1, online_running_)));
}

// A limit that has just fallen lets nobody in until enough have ended.
Duration Gate::Impl::ExpectedWait() const {
  const int over = std::max(0, online_running_ - OnlineLimit());
  return detail::PredictedWait(online_queue_.size() + over, OnlineLimit(), estimate_.whole());
}

}  // namespace figmill
