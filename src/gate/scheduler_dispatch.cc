// Scheduling: online requests first, batch items in the remaining capacity.

#include <algorithm>

#include "gate/backend_scheduler_impl.h"

namespace figmill {
namespace {

// Upper bound on running batch streams that can't be preempted because they must
// not be repeated.
constexpr int kMaxNonPreemptible = 2;

}  // namespace

void BackendScheduler::Impl::Schedule() {
  PreemptBatch();
  StartOnline();
  StartBatch();
}

// Online streams that run or could run now. Requests queued beyond the limit
// don't count: they can't start before others end.
int BackendScheduler::Impl::OnlineDemand() const {
  return std::min(online_running_ + online_queue_.size(), std::max(online_running_, OnlineLimit()));
}

// Beyond its slots the engine queues requests itself, and their wait in there
// isn't visible here.
int BackendScheduler::Impl::OnlineLimit() const {
  return std::min(online_limit_.limit(), capacity_.slots());
}

bool BackendScheduler::Impl::IsPreemptible(const Stream& stream) const {
  return stream.dispatch.work_class == WorkClass::kBatch && stream.phase == Phase::kRunning &&
         stream.dispatch.repeatable;
}

// Preempts the streams with the fewest tokens first. Nothing is preempted when
// there is no online work, as the streams end by themselves. When online demand
// hasn't grown, a quarter of the limit plus one is tolerated as excess; otherwise
// noise in the measured gap would stop and resume streams in alternation.
void BackendScheduler::Impl::PreemptBatch() {
  const int online = OnlineDemand();
  const bool arrived = online > last_online_demand_;
  last_online_demand_ = online;
  if (online == 0 || batch_running_ == 0) return;
  const int limit = batch_limit_policy_.Limit(token_gap_model_, online, capacity_.slots(), now_);
  if (batch_running_ <= (arrived ? limit : limit + limit / 4 + 1)) return;
  std::vector<Stream*> candidates;
  for (auto& [id, stream] : streams_) {
    if (IsPreemptible(stream)) candidates.push_back(&stream);
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

void BackendScheduler::Impl::Pause(Stream& stream) {
  Emit(StopStream{stream.dispatch.request, true});
  LeaveRunning(stream);
  stream.phase = Phase::kPaused;
  stream.stop_requested_at = now_;
  stream.waiting_since = now_;
  ++stops_;
  batch_queue_.PushPaused(
      {stream.dispatch.request, stream.tokens + stream.dispatch.prompt_tokens, false});
}

void BackendScheduler::Impl::StartOnline() {
  for (const RequestId& request : online_queue_.TakeTooLate(now_)) {
    End(request, OverloadedError("the wait would pass the deadline"));
  }
  while (!online_queue_.empty() && online_running_ < OnlineLimit()) {
    Start(*Find(online_queue_.Pop()));
  }
}

void BackendScheduler::Impl::StartBatch() {
  if (!online_queue_.empty()) return;
  const int online = OnlineDemand();
  const int free_slots =
      batch_limit_policy_.Limit(token_gap_model_, online, capacity_.slots(), now_) - batch_running_;
  int may_start = batch_limit_policy_.AllowedStarts(
      token_gap_model_, {online, batch_running_, batch_prefilling_}, free_slots, now_);
  for (; may_start > 0; --may_start) {
    const auto next = batch_queue_.Pop(non_preemptible_ < kMaxNonPreemptible);
    if (!next) return;
    batch_limit_policy_.BatchStarted(now_);
    Start(*Find(*next));
  }
}

void BackendScheduler::Impl::Start(Stream& stream) {
  // A reattached stream is never started anew: this agent may have evicted the
  // record of a promise that the request never starts here.
  if (stream.reattached || (config_.token_streams && stream.tokens > 0)) {
    Resume(stream, 0);
    return;
  }
  const bool rerun = stream.starts > 0;
  if (rerun) ++reruns_;
  EnterRunning(stream);
  ++stream.starts;
  Emit(StartStream{stream.dispatch.request, rerun});
}

void BackendScheduler::Impl::Resume(Stream& stream, ArrivalId reattached_arrival) {
  EnterRunning(stream);
  Emit(ResumeStream{stream.dispatch.request, stream.tokens, reattached_arrival});
}

void BackendScheduler::Impl::Rerun(Stream& stream) {
  LeaveRunning(stream);
  stream.tokens = 0;
  Start(stream);
}

void BackendScheduler::Impl::EnterRunning(Stream& stream) {
  stream.phase = Phase::kRunning;
  stream.ran = true;
  stream.prefilling = config_.token_streams;
  stream.started = now_;
  stream.last_token = now_;
  stream.stop_requested_at.reset();
  if (stream.prefilling) ++prefilling_;
  if (stream.dispatch.work_class == WorkClass::kOnline) {
    ++online_running_;
    return;
  }
  ++batch_running_;
  if (stream.prefilling) ++batch_prefilling_;
  if (!stream.dispatch.repeatable) ++non_preemptible_;
}

void BackendScheduler::Impl::LeaveRunning(Stream& stream) {
  EndPrefill(stream);
  if (stream.dispatch.work_class == WorkClass::kOnline) {
    --online_running_;
    return;
  }
  --batch_running_;
  if (!stream.dispatch.repeatable) --non_preemptible_;
}

void BackendScheduler::Impl::EndPrefill(Stream& stream) {
  if (!stream.prefilling) return;
  stream.prefilling = false;
  last_prefill_end_ = now_;
  --prefilling_;
  if (stream.dispatch.work_class == WorkClass::kBatch) --batch_prefilling_;
}

Duration BackendScheduler::Impl::ExpectedService(const Dispatch& dispatch) const {
  if (!config_.token_streams) return service_estimate_.whole();
  return service_estimate_.Expect(dispatch.max_tokens,
                                  token_gap_model_.Predict(std::max(1, online_running_)));
}

// After the limit has dropped, nothing starts until enough streams have ended.
Duration BackendScheduler::Impl::ExpectedWait() const {
  const int over = std::max(0, online_running_ - OnlineLimit());
  return detail::PredictedWait(online_queue_.size() + over, OnlineLimit(),
                               service_estimate_.whole());
}

}  // namespace figmill
