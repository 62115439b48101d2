#include "figmilld/agent/dispatch_handler.h"

#include <algorithm>
#include <utility>

#include "figmill/observe.h"

namespace figmill {
namespace {

constexpr Duration kTickPeriod{50'000};
constexpr Duration kLoadPeriod{200'000};
constexpr Duration kKeepAlivePeriod{10'000'000};
// Largest exported KV cache that is kept in memory for a stopped stream. Streams with
// larger exports are run again, as this process has little memory.
constexpr std::size_t kMaxExportBytes = 64 << 10;
// Limit on an answer that is kept until it is complete.
constexpr std::size_t kMaxKeptAnswerBytes = kMaxFetchedBytes;
// Upper bound of the time that a revoke is in transit, as its sender waits no longer. The
// dispatch may have been sent by as much earlier than the age in the revoke says.
constexpr Duration kMaxRevokeTransit{10'000'000};

SchedulerConfig MakeSchedulerConfig(const AgentSettings& settings, Incarnation incarnation) {
  SchedulerConfig config;
  config.incarnation = incarnation;
  config.token_streams = settings.backend_kind == BackendKind::kModel;
  return config;
}

}  // namespace

DispatchHandler::DispatchHandler(const DispatchHandlerContext& context,
                                 const AgentSettings& settings, Incarnation incarnation)
    : loop_(context.loop),
      tracer_(context.tracer),
      settings_(settings),
      incarnation_(incarnation),
      engine_(context.client, settings.backend, settings.backend_kind),
      metrics_(context.metrics),
      scheduler_(MakeSchedulerConfig(settings, incarnation)) {
  tick_timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
  keep_alive_timer_ = loop_.Every(kKeepAlivePeriod, [this] { KeepAnswersAlive(); });
  if (settings_.backend_kind == BackendKind::kModel) {
    load_timer_ = loop_.Every(kLoadPeriod, [this] { PollLoad(); });
  }
}

// --- Events from senders and the backend server --------------------------------------

void DispatchHandler::OnDispatch(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  Result<DispatchHeaders> parsed = ParseDispatch(request);
  if (!IsOk(parsed)) {
    reply->Send(ProblemOf(ErrorOf(parsed)));
    return;
  }
  DispatchedRequest dispatched(std::move(ValueOf(parsed)), std::move(request.body),
                               settings_.backend_kind);
  const RequestId id = dispatched.headers().request;
  const ArrivalId arrival = ++last_arrival_;
  dispatched.arrival = arrival;
  dispatched.ResetAnswer();
  reply->OnClosed([this, arrival] { OnSenderDisconnected(arrival); });
  answers_.emplace(arrival, AnswerWriter(std::move(reply)));
  request_by_arrival_[arrival] = id;
  const Time now = Loop::Now();
  const std::vector<SchedulerAction> actions =
      scheduler_.Step(now, DispatchArrived{arrival, dispatched.ToDispatch()});
  const bool refused =
      std::any_of(actions.begin(), actions.end(), [&](const SchedulerAction& action) {
        const auto* refuse = std::get_if<FailRequest>(&action);
        return refuse != nullptr && refuse->arrival == arrival;
      });
  if (refused) {
    const Error& error = std::get<FailRequest>(actions.front()).error;
    metrics_.CountRefusal(error, dispatched.headers().work);
    if (error.kind == ErrorKind::kOverloaded) LogOverload(dispatched.headers(), error);
  } else if (DispatchedRequest* existing = FindRequest(id);
             existing && settings_.backend_kind == BackendKind::kPlain) {
    existing->arrival = arrival;  // the running call continues; its answer is buffered
  } else if (existing != nullptr) {
    // Reattached: the new sender's parameters apply, and the running call is replaced.
    dispatched.cancel_call = std::move(existing->cancel_call);
    dispatched.exported_kv = std::move(existing->exported_kv);
    dispatched.paused = existing->paused;
    dispatched.span = std::move(existing->span);
    *existing = std::move(dispatched);
  } else {
    active_requests_.emplace(id, std::move(dispatched));
  }
  batch_stop_timer_ = std::make_shared<BatchStopTimer>(BatchStopTimer{now});
  ExecuteAll(actions);
  batch_stop_timer_.reset();
}

// The inputs of the decision, which metrics show only as they were at the last tick.
void DispatchHandler::LogOverload(const DispatchHeaders& headers, const Error& error) const {
  const SchedulerStats counts = scheduler_.counts();
  Log(LogLevel::kInfo, "dispatch_overloaded",
      {{"request", headers.request.value},
       {"online", headers.work == WorkClass::kOnline ? "yes" : "no"},
       {"running", std::to_string(counts.online_running)},
       {"queued", std::to_string(counts.online_queued)},
       {"gap_limit", std::to_string(counts.gap_limit)},
       {"engine_slots", std::to_string(counts.engine_slots)},
       {"gap_us", std::to_string(counts.predicted_token_gap.count())},
       {"single_gap_us", std::to_string(counts.single_token_gap.count())},
       {"service_us", std::to_string(counts.online_service.count())},
       {"why", error.detail}});
}

void DispatchHandler::OnSenderDisconnected(ArrivalId arrival) {
  const auto found = request_by_arrival_.find(arrival);
  if (found == request_by_arrival_.end()) return;
  DispatchedRequest* dispatched = FindRequest(found->second);
  if (dispatched != nullptr && dispatched->arrival == arrival) dispatched->arrival = 0;
  request_by_arrival_.erase(found);
  answers_.erase(arrival);
  HandleEvent(SenderDisconnected{arrival});
}

std::function<void(AnswerEvent)> DispatchHandler::MakeAnswerCallback(const RequestId& request) {
  return [this, request](AnswerEvent event) { OnAnswerEvent(request, std::move(event)); };
}

void DispatchHandler::OnAnswerEvent(const RequestId& request, AnswerEvent event) {
  DispatchedRequest* dispatched = FindRequest(request);
  if (dispatched == nullptr) return;
  std::visit(Overloaded{
                 [&](AnswerHead& head) { OnAnswerHead(*dispatched, std::move(head)); },
                 [&](const AnswerBytes& bytes) { OnAnswerBytes(*dispatched, bytes); },
                 [&](const AnswerEnd&) { HandleEvent(StreamFinished{request}); },
                 [&](AnswerFailed& failed) {
                   HandleEvent(StreamFailed{request, std::move(failed.error)});
                 },
             },
             event);
}

void DispatchHandler::OnAnswerHead(DispatchedRequest& dispatched, AnswerHead head) {
  dispatched.answer_head = std::move(head);
  AnswerWriter* answer = FindAnswer(dispatched);
  if (answer == nullptr || answer->Begin(MakeFrameHead(dispatched))) return;
  AbortCall(dispatched, "the backend server answered a rerun with another status");
}

void DispatchHandler::OnAnswerBytes(DispatchedRequest& dispatched, const AnswerBytes& bytes) {
  if (dispatched.kept_bytes() + bytes.bytes.size() > kMaxKeptAnswerBytes) {
    return AbortCall(dispatched, "the backend server's answer is longer than one may be");
  }
  std::uint32_t tokens = 0;
  const std::string ready = dispatched.AddAnswerBytes(bytes, tokens);
  if (AnswerWriter* answer = FindAnswer(dispatched)) answer->WriteData(ready);
  if (tokens == 0) return;
  metrics_.CountTokens(dispatched.headers().work, tokens);
  HandleEvent(StreamTokens{dispatched.headers().request, tokens});
}

// Fails the request with an answer that can't be used.
void DispatchHandler::AbortCall(DispatchedRequest& dispatched, std::string why) {
  if (dispatched.cancel_call) std::exchange(dispatched.cancel_call, nullptr)();
  PostFailure(dispatched.headers().request,
              Error{ErrorKind::kBackendFailed, std::move(why), Ran::kYes});
}

FrameHead DispatchHandler::MakeFrameHead(const DispatchedRequest& dispatched) const {
  const SchedulerStats counts = scheduler_.counts();
  FrameHead head;
  head.status = dispatched.answer_head.status;
  head.content_type = dispatched.content_type();
  head.incarnation = incarnation_;
  head.orders = control_sequence_;
  head.online_running = static_cast<std::uint32_t>(counts.online_running + counts.online_queued);
  head.batch_running = static_cast<std::uint32_t>(counts.batch_running);
  head.room = static_cast<std::uint32_t>(counts.room);
  head.online_mark = static_cast<std::uint32_t>(counts.online_mark);
  head.request = dispatched.headers().request;
  return head;
}

// --- Actions of the scheduler --------------------------------------------------------

void DispatchHandler::HandleEvent(const SchedulerEvent& event) {
  ExecuteAll(scheduler_.Step(Loop::Now(), event));
}

void DispatchHandler::ExecuteAll(const std::vector<SchedulerAction>& actions) {
  for (const SchedulerAction& action : actions) {
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
  if (drained_ && active_requests_.empty() && answers_.empty()) std::exchange(drained_, nullptr)();
}

void DispatchHandler::Execute(const StartStream& action) {
  DispatchedRequest* dispatched = FindRequest(action.request);
  if (dispatched == nullptr) return;
  if (action.rerun) metrics_.CountTokensRerun(dispatched->tokens());
  dispatched->ResetAnswer();
  dispatched->exported_kv.clear();
  dispatched->paused = false;
  const std::string traceparent = StartSpan(*dispatched);
  dispatched->cancel_call =
      engine_.Call(dispatched->ToBackendRequest(traceparent), MakeAnswerCallback(action.request));
}

void DispatchHandler::Execute(const ResumeStream& action) {
  DispatchedRequest* dispatched = FindRequest(action.request);
  if (dispatched == nullptr) return;
  if (action.reattached_arrival == 0 && dispatched->paused) {
    ResumeExported(*dispatched);
    return;
  }
  if (dispatched->cancel_call) dispatched->cancel_call();
  dispatched->paused = false;
  dispatched->cancel_call =
      engine_.Resume(action.request, action.from, MakeAnswerCallback(action.request));
}

// The engine has dropped a stopped stream; it can only be resumed from its exported KV
// cache.
void DispatchHandler::ResumeExported(DispatchedRequest& dispatched) {
  const RequestId request = dispatched.headers().request;
  dispatched.paused = false;
  if (dispatched.exported_kv.empty()) {
    PostFailure(request,
                Error{ErrorKind::kNotFound, "the stream was stopped and has no exported KV cache",
                      Ran::kUnknown});
    return;
  }
  engine_.Import(
      request, std::exchange(dispatched.exported_kv, {}), [this, request](const Result<Ok>& done) {
        DispatchedRequest* imported = FindRequest(request);
        if (imported == nullptr || imported->paused) return;
        if (!IsOk(done)) {
          HandleEvent(StreamFailed{
              request, Error{ErrorKind::kNotFound, ErrorOf(done).detail, Ran::kUnknown}});
          return;
        }
        metrics_.CountTokensKept(imported->tokens());
        imported->cancel_call =
            engine_.Resume(request, imported->tokens(), MakeAnswerCallback(request));
      });
}

void DispatchHandler::PostFailure(const RequestId& request, Error error) {
  loop_.Post([this, alive = std::weak_ptr(alive_), request, error = std::move(error)] {
    if (alive.lock()) HandleEvent(StreamFailed{request, error});
  });
}

void DispatchHandler::Execute(const StopStream& action) {
  DispatchedRequest* dispatched = FindRequest(action.request);
  if (dispatched == nullptr) return;
  if (dispatched->cancel_call) std::exchange(dispatched->cancel_call, nullptr)();
  const std::shared_ptr<BatchStopTimer> timer = action.keep ? batch_stop_timer_ : nullptr;
  if (timer) ++timer->pending_stops;
  dispatched->paused = action.keep;
  const RequestId& request = action.request;
  if (settings_.backend_kind == BackendKind::kPlain) {
    loop_.Post([this, alive = std::weak_ptr(alive_), request, timer] {
      if (alive.lock()) OnStreamStopped(request, timer);
    });
  } else if (!action.keep || dispatched->tokens() == 0) {
    CancelAtBackend(request, timer);
  } else {
    engine_.Export(request, [this, request, timer](Result<std::string> exported) {
      DispatchedRequest* stopped = FindRequest(request);
      if (stopped != nullptr && stopped->paused && IsOk(exported) &&
          ValueOf(exported).size() <= kMaxExportBytes) {
        stopped->exported_kv = std::move(ValueOf(exported));
      }
      CancelAtBackend(request, timer);
    });
  }
}

void DispatchHandler::CancelAtBackend(const RequestId& request,
                                      std::shared_ptr<BatchStopTimer> timer) {
  engine_.Cancel(request, [this, request, timer = std::move(timer)](const Result<Ok>&) {
    OnStreamStopped(request, timer);
  });
}

void DispatchHandler::OnStreamStopped(const RequestId& request,
                                      const std::shared_ptr<BatchStopTimer>& timer) {
  if (timer && --timer->pending_stops == 0) {
    metrics_.RecordBatchStop(Loop::Now() - timer->arrival_time);
  }
  HandleEvent(StreamStopped{request});
}

void DispatchHandler::Execute(const FailRequest& action) {
  const DispatchedRequest* dispatched = FindRequest(action.request);
  if (dispatched != nullptr && dispatched->arrival == action.arrival) {
    metrics_.CountRefusal(action.error, dispatched->headers().work);
  }
  FailArrival(action.arrival, action.error);
  RemoveRequest(action.request, action.arrival, true);
}

void DispatchHandler::Execute(const CompleteRequest& action) {
  DispatchedRequest* dispatched = FindRequest(action.request);
  if (dispatched == nullptr) return;
  if (AnswerWriter* answer = FindAnswer(*dispatched)) {
    (void)answer->Begin(MakeFrameHead(*dispatched));
    answer->WriteData(dispatched->TakeRemaining());
    const TokenUsage usage = dispatched->usage();
    answer->End(usage.completion_tokens, usage.cached_tokens);
  }
  answers_.erase(action.arrival);
  request_by_arrival_.erase(action.arrival);
  RemoveRequest(action.request, action.arrival, false);
}

void DispatchHandler::Execute(const DetachSender& action) {
  FailArrival(action.arrival, action.error);
  DispatchedRequest* dispatched = FindRequest(action.request);
  if (dispatched != nullptr && dispatched->arrival == action.arrival) dispatched->arrival = 0;
}

void DispatchHandler::Execute(const CommandReply& action) {
  command_reply_ = action.state;
}

void DispatchHandler::FailArrival(ArrivalId arrival, const Error& error) {
  const auto found = answers_.find(arrival);
  if (found == answers_.end()) return;
  AnswerWriter answer = std::move(found->second);
  answers_.erase(found);
  request_by_arrival_.erase(arrival);
  answer.Fail(error);
}

// Removes the request, unless `arrival` is another arrival of it than the current one.
void DispatchHandler::RemoveRequest(const RequestId& request, ArrivalId arrival, bool failed) {
  const auto found = active_requests_.find(request);
  if (found == active_requests_.end() || found->second.arrival != arrival) return;
  DispatchedRequest& dispatched = found->second;
  if (dispatched.cancel_call) dispatched.cancel_call();
  if (dispatched.span && tracer_ != nullptr) {
    dispatched.span->failed = failed;
    tracer_->Finish(*std::exchange(dispatched.span, std::nullopt));
  }
  active_requests_.erase(found);
}

DispatchedRequest* DispatchHandler::FindRequest(const RequestId& request) {
  const auto found = active_requests_.find(request);
  return found == active_requests_.end() ? nullptr : &found->second;
}

AnswerWriter* DispatchHandler::FindAnswer(const DispatchedRequest& dispatched) {
  const auto found = answers_.find(dispatched.arrival);
  return found == answers_.end() ? nullptr : &found->second;
}

std::string DispatchHandler::StartSpan(DispatchedRequest& dispatched) {
  if (tracer_ == nullptr) return dispatched.headers().traceparent;
  if (!dispatched.span) {
    dispatched.span =
        tracer_->Start("agent.run", ParseTraceparent(dispatched.headers().traceparent));
    dispatched.span->attributes.push_back({"figmill.request", dispatched.headers().request.value});
    dispatched.span->attributes.push_back({"figmill.service", dispatched.headers().service.value});
  }
  return ToTraceparent(dispatched.span->context);
}

// --- RPC methods, membership and timers ----------------------------------------------

Result<RequestState> DispatchHandler::RevokeRequest(const RequestId& request,
                                                    Incarnation incarnation,
                                                    std::optional<Duration> age) {
  std::optional<Time> stamp;
  if (age) stamp = Loop::Now() - *age - kMaxRevokeTransit;
  HandleEvent(Revoke{request, incarnation, stamp});
  return *std::exchange(command_reply_, std::nullopt);
}

Result<RequestState> DispatchHandler::CancelRequest(const RequestId& request) {
  HandleEvent(Cancel{request});
  return *std::exchange(command_reply_, std::nullopt);
}

void DispatchHandler::SupersedeJob(const JobId& job, Epoch epoch) {
  HandleEvent(Supersede{job, epoch});
}

void DispatchHandler::UpdateEntries(const RoutingSnapshot& snapshot) {
  std::set<NodeId> entries;
  for (const Member& member : snapshot.members) {
    if (member.role == Role::kEntry) entries.insert(member.node);
  }
  entries_.swap(entries);
  for (const NodeId& before : entries) {
    if (!entries_.contains(before)) HandleEvent(OwnerLost{before});
  }
}

void DispatchHandler::SetLeaving(bool leaving) {
  if (std::exchange(leaving_, leaving) != leaving) HandleEvent(LeavingChanged{leaving});
}

void DispatchHandler::NotifyWhenDrained(std::function<void()> drained) {
  drained_ = std::move(drained);
  ExecuteAll({});
}

void DispatchHandler::PollLoad() {
  engine_.Load([this](const Result<EngineLoad>& load) {
    if (IsOk(load)) HandleEvent(LoadReported{ValueOf(load)});
  });
}

void DispatchHandler::KeepAnswersAlive() {
  for (auto& [arrival, answer] : answers_) answer.KeepAlive();
}

void DispatchHandler::Tick() {
  HandleEvent(figmill::Tick{});
  metrics_.Update(scheduler_.counts());
}

}  // namespace figmill
