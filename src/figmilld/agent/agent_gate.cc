#include "figmilld/agent/agent_gate.h"

#include <algorithm>
#include <utility>

namespace figmill {
namespace {

constexpr Duration kTick{50'000};
constexpr Duration kLoadPeriod{200'000};
constexpr Duration kKeepAlivePeriod{10'000'000};
// Exported KV that is kept here for a stopped stream. An engine whose exports
// are larger has its streams run again, as this process has little memory.
constexpr std::size_t kMaxExport = 64 << 10;
// How much earlier than it says a revoked dispatch may have been sent: the
// revoke itself was on its way too, and its sender waits no longer than this.
constexpr Duration kRevokeSlack{10'000'000};

SchedulerConfig ConfigOf(const AgentSettings& settings, Incarnation incarnation) {
  SchedulerConfig config;
  config.incarnation = incarnation;
  config.token_streams = settings.backend_kind == BackendKind::kModel;
  return config;
}

}  // namespace

AgentGate::AgentGate(const AgentParts& parts, const AgentSettings& settings,
                     Incarnation incarnation)
    : loop_(parts.loop),
      tracer_(parts.tracer),
      settings_(settings),
      incarnation_(incarnation),
      engine_(parts.client, settings.backend, settings.backend_kind),
      metrics_(parts.metrics),
      gate_(ConfigOf(settings, incarnation)) {
  tick_timer_ = loop_.Every(kTick, [this] { Tick(); });
  keep_alive_timer_ = loop_.Every(kKeepAlivePeriod, [this] { KeepAnswersAlive(); });
  if (settings_.backend_kind == BackendKind::kModel) {
    load_timer_ = loop_.Every(kLoadPeriod, [this] { PollLoad(); });
  }
}

// --- In ------------------------------------------------------------------------------

void AgentGate::OnDispatch(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  Result<DispatchHeaders> parsed = ParseDispatch(request);
  if (!IsOk(parsed)) {
    reply->Send(ProblemOf(ErrorOf(parsed)));
    return;
  }
  AgentWork work(std::move(ValueOf(parsed)), std::move(request.body), settings_.backend_kind);
  const RequestId id = work.headers().request;
  const ArrivalId arrival = ++last_arrival_;
  work.arrival = arrival;
  work.ResetAnswer();
  reply->OnClosed([this, arrival] { OnPeerGone(arrival); });
  answers_.emplace(arrival, AgentAnswer(std::move(reply)));
  requests_[arrival] = id;
  const Time now = Loop::Now();
  const std::vector<SchedulerAction> actions =
      gate_.Step(now, DispatchArrived{arrival, work.ToDispatch()});
  const bool refused =
      std::any_of(actions.begin(), actions.end(), [&](const SchedulerAction& action) {
        const auto* refuse = std::get_if<FailRequest>(&action);
        return refuse != nullptr && refuse->arrival == arrival;
      });
  if (refused) {
    metrics_.CountRefusal(std::get<FailRequest>(actions.front()).error, work.headers().work);
  } else if (AgentWork* known = Find(id); known && settings_.backend_kind == BackendKind::kPlain) {
    known->arrival = arrival;  // the running call goes on, its answer is held
  } else if (known != nullptr) {
    // Taken up: the new sender's wishes count, the running call is replaced.
    work.call = std::move(known->call);
    work.kv = std::move(known->kv);
    work.paused = known->paused;
    work.span = std::move(known->span);
    *known = std::move(work);
  } else {
    works_.emplace(id, std::move(work));
  }
  stop_clock_ = std::make_shared<StopClock>(StopClock{now});
  CarryOut(actions);
  stop_clock_.reset();
}

void AgentGate::OnPeerGone(ArrivalId arrival) {
  const auto found = requests_.find(arrival);
  if (found == requests_.end()) return;
  AgentWork* work = Find(found->second);
  if (work != nullptr && work->arrival == arrival) work->arrival = 0;
  requests_.erase(found);
  answers_.erase(arrival);
  Do(SenderDisconnected{arrival});
}

std::function<void(AnswerEvent)> AgentGate::Receiver(const RequestId& request) {
  return [this, request](AnswerEvent event) { Receive(request, std::move(event)); };
}

void AgentGate::Receive(const RequestId& request, AnswerEvent event) {
  AgentWork* work = Find(request);
  if (work == nullptr) return;
  std::visit(Overloaded{
                 [&](AnswerHead& head) { ReceiveHead(*work, std::move(head)); },
                 [&](const AnswerBytes& bytes) { ReceiveBytes(*work, bytes); },
                 [&](const AnswerEnd&) { Do(StreamFinished{request}); },
                 [&](AnswerFailed& failed) {
                   Do(StreamFailed{request, std::move(failed.error)});
                 },
             },
             event);
}

void AgentGate::ReceiveHead(AgentWork& work, AnswerHead head) {
  work.head = std::move(head);
  AgentAnswer* answer = AnswerOf(work);
  if (answer == nullptr || answer->Begin(HeadFor(work))) return;
  if (work.call) std::exchange(work.call, nullptr)();
  FailLater(work.headers().request,
            Error{ErrorKind::kBackendFailed, "a second run was answered otherwise", Ran::kYes});
}

void AgentGate::ReceiveBytes(AgentWork& work, const AnswerBytes& bytes) {
  std::uint32_t tokens = 0;
  const std::string ready = work.Take(bytes, tokens);
  if (AgentAnswer* answer = AnswerOf(work)) answer->Data(ready);
  if (tokens == 0) return;
  metrics_.Tokens(work.headers().work, tokens);
  Do(StreamTokens{work.headers().request, tokens});
}

FrameHead AgentGate::HeadFor(const AgentWork& work) const {
  const SchedulerStats counts = gate_.counts();
  FrameHead head;
  head.status = work.head.status;
  head.content_type = work.content_type();
  head.incarnation = incarnation_;
  head.orders = orders_;
  head.online_running = static_cast<std::uint32_t>(counts.online_running + counts.online_queued);
  head.batch_running = static_cast<std::uint32_t>(counts.batch_running);
  head.room = static_cast<std::uint32_t>(counts.room);
  head.online_mark = static_cast<std::uint32_t>(counts.online_mark);
  head.request = work.headers().request;
  return head;
}

// --- Out -----------------------------------------------------------------------------

void AgentGate::Do(const SchedulerEvent& event) {
  CarryOut(gate_.Step(Loop::Now(), event));
}

void AgentGate::CarryOut(const std::vector<SchedulerAction>& actions) {
  for (const SchedulerAction& action : actions) {
    std::visit([this](const auto& each) { Carry(each); }, action);
  }
  if (drained_ && works_.empty() && answers_.empty()) std::exchange(drained_, nullptr)();
}

void AgentGate::Carry(const StartStream& action) {
  AgentWork* work = Find(action.request);
  if (work == nullptr) return;
  if (action.rerun) metrics_.TokensRerun(work->tokens());
  work->ResetAnswer();
  work->kv.clear();
  work->paused = false;
  const std::string traceparent = StartSpan(*work);
  work->call = engine_.Call(work->ToBackend(traceparent), Receiver(action.request));
}

void AgentGate::Carry(const ResumeStream& action) {
  AgentWork* work = Find(action.request);
  if (work == nullptr) return;
  if (action.reattached_arrival == 0 && work->paused) {
    ResumeExported(*work);
    return;
  }
  if (work->call) work->call();
  work->paused = false;
  work->call = engine_.Resume(action.request, action.from, Receiver(action.request));
}

// A stopped stream is gone at the engine; only its export can go on.
void AgentGate::ResumeExported(AgentWork& work) {
  const RequestId request = work.headers().request;
  work.paused = false;
  if (work.kv.empty()) {
    FailLater(request, Error{ErrorKind::kNotFound, "the stream was stopped", Ran::kUnknown});
    return;
  }
  engine_.Import(request, std::exchange(work.kv, {}), [this, request](const Result<Ok>& done) {
    AgentWork* imported = Find(request);
    if (imported == nullptr || imported->paused) return;
    if (!IsOk(done)) {
      Do(StreamFailed{request, Error{ErrorKind::kNotFound, ErrorOf(done).detail, Ran::kUnknown}});
      return;
    }
    metrics_.TokensKept(imported->tokens());
    imported->call = engine_.Resume(request, imported->tokens(), Receiver(request));
  });
}

void AgentGate::FailLater(const RequestId& request, Error error) {
  loop_.Post([this, alive = std::weak_ptr(alive_), request, error = std::move(error)] {
    if (alive.lock()) Do(StreamFailed{request, error});
  });
}

void AgentGate::Carry(const StopStream& action) {
  AgentWork* work = Find(action.request);
  if (work == nullptr) return;
  if (work->call) std::exchange(work->call, nullptr)();
  const std::shared_ptr<StopClock> clock = action.keep ? stop_clock_ : nullptr;
  if (clock) ++clock->left;
  work->paused = action.keep;
  const RequestId& request = action.request;
  if (settings_.backend_kind == BackendKind::kPlain) {
    loop_.Post([this, alive = std::weak_ptr(alive_), request, clock] {
      if (alive.lock()) Stopped(request, clock);
    });
  } else if (!action.keep || work->tokens() == 0) {
    StopAtBackend(request, clock);
  } else {
    engine_.Export(request, [this, request, clock](Result<std::string> exported) {
      AgentWork* stopped = Find(request);
      if (stopped != nullptr && stopped->paused && IsOk(exported) &&
          ValueOf(exported).size() <= kMaxExport) {
        stopped->kv = std::move(ValueOf(exported));
      }
      StopAtBackend(request, clock);
    });
  }
}

void AgentGate::StopAtBackend(const RequestId& request, std::shared_ptr<StopClock> clock) {
  engine_.Cancel(request, [this, request, clock = std::move(clock)](const Result<Ok>&) {
    Stopped(request, clock);
  });
}

void AgentGate::Stopped(const RequestId& request, const std::shared_ptr<StopClock>& clock) {
  if (clock && --clock->left == 0) metrics_.BatchStopped(Loop::Now() - clock->arrived);
  Do(StreamStopped{request});
}

void AgentGate::Carry(const FailRequest& action) {
  const AgentWork* work = Find(action.request);
  if (work != nullptr && work->arrival == action.arrival) {
    metrics_.CountRefusal(action.error, work->headers().work);
  }
  FailArrival(action.arrival, action.error);
  Forget(action.request, action.arrival, true);
}

void AgentGate::Carry(const CompleteRequest& action) {
  AgentWork* work = Find(action.request);
  if (work == nullptr) return;
  if (AgentAnswer* answer = AnswerOf(*work)) {
    (void)answer->Begin(HeadFor(*work));
    answer->Data(work->Rest());
    const TokenUsage usage = work->usage();
    answer->End(usage.completion_tokens, usage.cached_tokens);
  }
  answers_.erase(action.arrival);
  requests_.erase(action.arrival);
  Forget(action.request, action.arrival, false);
}

void AgentGate::Carry(const DetachSender& action) {
  FailArrival(action.arrival, action.error);
  AgentWork* work = Find(action.request);
  if (work != nullptr && work->arrival == action.arrival) work->arrival = 0;
}

void AgentGate::Carry(const CommandReply& action) {
  order_answer_ = action.state;
}

void AgentGate::FailArrival(ArrivalId arrival, const Error& error) {
  const auto found = answers_.find(arrival);
  if (found == answers_.end()) return;
  AgentAnswer answer = std::move(found->second);
  answers_.erase(found);
  requests_.erase(arrival);
  answer.Fail(error);
}

// The request is over, unless it was another arrival of it that was refused.
void AgentGate::Forget(const RequestId& request, ArrivalId arrival, bool failed) {
  const auto found = works_.find(request);
  if (found == works_.end() || found->second.arrival != arrival) return;
  AgentWork& work = found->second;
  if (work.call) work.call();
  if (work.span && tracer_ != nullptr) {
    work.span->failed = failed;
    tracer_->Finish(*std::exchange(work.span, std::nullopt));
  }
  works_.erase(found);
}

AgentWork* AgentGate::Find(const RequestId& request) {
  const auto found = works_.find(request);
  return found == works_.end() ? nullptr : &found->second;
}

AgentAnswer* AgentGate::AnswerOf(const AgentWork& work) {
  const auto found = answers_.find(work.arrival);
  return found == answers_.end() ? nullptr : &found->second;
}

std::string AgentGate::StartSpan(AgentWork& work) {
  if (tracer_ == nullptr) return work.headers().traceparent;
  if (!work.span) {
    work.span = tracer_->Start("agent.run", ParseTraceparent(work.headers().traceparent));
    work.span->attributes.push_back({"figmill.request", work.headers().request.value});
    work.span->attributes.push_back({"figmill.service", work.headers().service.value});
  }
  return ToTraceparent(work.span->context);
}

// --- Orders and upkeep ---------------------------------------------------------------

Result<RequestState> AgentGate::RevokeRequest(const RequestId& request, Incarnation incarnation,
                                              std::optional<Duration> age) {
  std::optional<Time> stamp;
  if (age) stamp = Loop::Now() - *age - kRevokeSlack;
  Do(Revoke{request, incarnation, stamp});
  return *std::exchange(order_answer_, std::nullopt);
}

Result<RequestState> AgentGate::CancelRequest(const RequestId& request) {
  Do(Cancel{request});
  return *std::exchange(order_answer_, std::nullopt);
}

void AgentGate::SupersedeJob(const JobId& job, Epoch epoch) {
  Do(Supersede{job, epoch});
}

void AgentGate::OnMembers(const RoutingSnapshot& snapshot) {
  std::set<NodeId> entries;
  for (const Member& member : snapshot.members) {
    if (member.role == Role::kEntry) entries.insert(member.node);
  }
  entries_.swap(entries);
  for (const NodeId& before : entries) {
    if (!entries_.contains(before)) Do(OwnerLost{before});
  }
}

void AgentGate::SetLeaving(bool leaving) {
  if (std::exchange(leaving_, leaving) != leaving) Do(LeavingChanged{leaving});
}

void AgentGate::OnDrained(std::function<void()> drained) {
  drained_ = std::move(drained);
  CarryOut({});
}

void AgentGate::PollLoad() {
  engine_.Load([this](const Result<EngineLoad>& load) {
    if (IsOk(load)) Do(LoadReported{ValueOf(load)});
  });
}

void AgentGate::KeepAnswersAlive() {
  for (auto& [arrival, answer] : answers_) answer.KeepAlive();
}

void AgentGate::Tick() {
  Do(figmill::Tick{});
  metrics_.Set(gate_.counts());
}

}  // namespace figmill
