#include "gateway/relay_call.h"

#include <algorithm>
#include <utility>

#include "figmill/sharing.h"
#include "gateway/error_response.h"
#include "gateway/log_text.h"

namespace figmill {
namespace {

// A caller that is refused before this fraction of its latency goal has passed (1/n) can still meet
// the goal with a retry.
constexpr int kLateRefusalDivisor = 4;
constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;
// Connecting within the region takes a few ms; a host that is down doesn't answer at all.
constexpr Duration kConnectTimeout{250'000};

// Retry delay while this entry shuts down. Another entry can serve the request at once; the delay
// covers opening a connection to it.
constexpr Duration kOtherEntryRetryDelay{50'000};

// Limit on the bytes of an answer that wait for the caller to take them.
constexpr std::size_t kMaxUnsentBytes = 1U << 20;

// Time that a caller on its last try keeps for its run when it waits for a credit: the run, and as
// long again until it has a slot.
constexpr Duration kReservedForRun = 2 * SlotAllocator::kDefaultRunTime;

// Age of the slot usage that the allocator last sent; empty if it has sent none.
std::string AgeMs(Time known_at) {
  return known_at == Time{} ? std::string() : Milliseconds(Loop::Now() - known_at);
}

Error LeavingError() {
  return {ErrorKind::kLeaving, "this entry is shutting down", Ran::kNo, kOtherEntryRetryDelay};
}

}  // namespace

std::optional<Error> ShutdownError(const RelayContext& context, Time deadline) {
  if (!context.shutdown || context.shutdown->MayAccept(Loop::Now(), deadline)) return std::nullopt;
  return LeavingError();
}

Counter& BackendBytesCounter(RelayContext& context, TrafficKind kind, const BackendId& backend) {
  const Reach reach = context.backends.IsLocal(backend) ? Reach::kSameCentre : Reach::kOtherCentre;
  return context.traffic.CounterFor(kind, reach);
}

RelayCall::RelayCall(RelayContext& context, RelayPlan plan, RelayedRequest request,
                     std::shared_ptr<HttpReply> reply, std::function<void()> on_finished)
    : context_(context),
      state_machine_(std::move(plan)),
      request_(std::move(request)),
      reply_(std::move(reply)),
      on_finished_(std::move(on_finished)),
      started_at_(Loop::Now()) {}

void RelayCall::Start() {
  reply_->OnClosed([self = shared_from_this()] {
    if (self->request_.team) self->context_.teams.Cancel(*self->request_.team, self->quota_ticket_);
    self->Step(relay::CallerDisconnected{});
    self->Complete("caller_left", "");
  });
  if (!request_.team) return Step(relay::Start{});
  QuotaClient::Request charge;
  charge.time_left = state_machine_.plan().deadline - started_at_;
  charge.last_try = request_.last_try;
  if (charge.last_try) {
    quota_patience_ = std::max(charge.time_left - kReservedForRun, Duration{0});
  }
  charge.max_wait = quota_patience_;
  quota_ticket_ = context_.teams.Admit(
      *request_.team, charge, [self = shared_from_this()](const Result<quota::Admitted>& decision) {
        self->OnQuotaDecision(decision);
      });
}

void RelayCall::OnQuotaDecision(const Result<quota::Admitted>& decision) {
  const bool caller_disconnected = !on_finished_;
  quota_wait_ = Loop::Now() - started_at_;
  if (!IsOk(decision)) {
    if (!caller_disconnected) Do(relay::SendError{ErrorOf(decision)});
    return;
  }
  const auto& admitted = std::get<quota::Admitted>(decision);
  if (caller_disconnected) return context_.teams.Refund(*request_.team, admitted);
  charged_ = admitted;
  Step(relay::Start{});
}

void RelayCall::Step(const relay::Event& event) {
  const auto keep = shared_from_this();
  std::vector<relay::Action> actions = state_machine_.Step(Loop::Now(), event);
  for (relay::Action& action : actions) {
    std::visit([this](auto& each) { Do(each); }, action);
  }
}

void RelayCall::Do(const relay::FindSource& /*action*/) {
  source_search_ = context_.stream_sources.Find(
      {state_machine_.plan().request, request_.resumes, request_.services},
      [weak = weak_from_this()](const Result<OutputSource>& found) {
        if (const auto self = weak.lock()) self->OnSourceFound(found);
      });
}

void RelayCall::OnSourceFound(const Result<OutputSource>& found) {
  if (!IsOk(found)) return Step(relay::SourceUnknown{ErrorOf(found)});
  request_.service = ValueOf(found).service;
  suspects_.clear();
  Step(relay::SourceFound{ValueOf(found).version});
}

void RelayCall::Do(const relay::RecordSource& action) {
  const RequestId& began =
      request_.resumes.empty() ? state_machine_.plan().request : request_.resumes;
  context_.stream_sources.Record(began, {request_.service, action.version},
                                 /*always=*/request_.services.size() > 1);
}

// A request that may have run is continued: its caller has a part of the answer, or can't be told
// that it did not run.
std::optional<Error> RelayCall::CheckShutdown() const {
  if (!context_.shutdown || state_machine_.may_have_run()) return std::nullopt;
  if (context_.shutdown->MayBegin(Loop::Now(), state_machine_.plan().deadline)) return std::nullopt;
  return LeavingError();
}

void RelayCall::RefuseIfTooLate() {
  const std::optional<Error> why = on_finished_ ? CheckShutdown() : std::nullopt;
  if (!why) return;
  if (request_.team) context_.teams.Cancel(*request_.team, quota_ticket_);
  Step(relay::Refuse{*why});
}

void RelayCall::Do(const relay::ChooseBackend& action) {
  if (const std::optional<Error> why = CheckShutdown()) return Step(relay::NoBackend{*why});
  if (const std::optional<Error> why = CheckQuarantine()) return Step(relay::NoBackend{*why});
  const Time now = Loop::Now();
  SlotFinder::Request slot_request;
  slot_request.query.service = request_.service;
  slot_request.query.tried = action.tried;
  slot_request.query.version = action.version;
  slot_request.time_left = state_machine_.plan().deadline - now;
  slot_request.goal_left = std::max(request_.goal_deadline - now, Duration{0});
  slot_request.last_try = request_.last_try || action.resumes;
  slot_request.team = request_.team.value_or(TeamId{});
  slot_request.rank = request_.rank;
  search_ = context_.slot_finder.Find(slot_request,
                                      [weak = weak_from_this()](Result<BackendAddress> found) {
                                        if (const auto self = weak.lock())
                                          self->OnBackendFound(std::move(found));
                                      });
}

void RelayCall::OnBackendFound(Result<BackendAddress> found) {
  if (!IsOk(found)) return Step(relay::NoBackend{ErrorOf(found)});
  // While this request waited for a slot, this process may have been told to stop.
  if (const std::optional<Error> why = CheckShutdown()) return Step(relay::NoBackend{*why});
  // While this request waited for a slot, others with its fingerprint may have crashed backend
  // servers.
  if (const std::optional<Error> why = CheckQuarantine()) return Step(relay::NoBackend{*why});
  Step(relay::BackendChosen{ValueOf(found)});
}

std::optional<Error> RelayCall::CheckQuarantine() {
  if (!context_.crash_tracker.has_quarantined()) return std::nullopt;
  return context_.crash_tracker.QuarantineError(Suspects());
}

const std::vector<Fingerprint>& RelayCall::Suspects() {
  if (suspects_.empty()) {
    suspects_ = PartSuspects();
    suspects_.insert(suspects_.begin(),
                     FingerprintOf(request_.method, request_.target, request_.headers,
                                   request_.body, request_.team.value_or(TeamId{})));
  }
  return suspects_;
}

std::vector<Fingerprint> RelayCall::PartSuspects() const {
  return PartFingerprintsOf(HeaderValue(request_.headers, context_.names.prompt_parts),
                            request_.service);
}

HttpCall RelayCall::MakeHttpCall(const relay::Send& action) const {
  HttpCall call;
  call.method = request_.method;
  call.to = action.backend.address;
  call.target = request_.target;
  call.body = request_.body;
  call.connect_timeout = std::min(kConnectTimeout, std::max(action.time_left, Duration{1'000}));
  call.headers = request_.headers;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(action.time_left);
  call.headers.push_back({context_.names.deadline_ms, std::to_string(left.count())});
  call.headers.push_back({context_.names.expect_backend, action.backend.id.value});
  if (action.after_event)
    call.headers.push_back({context_.names.last_event_id, *action.after_event});
  call.bytes = &BackendBytesCounter(context_, TrafficKind::kOnline, action.backend.id);
  // The call outlives this one in the pool of connections.
  call.hold_reads = [weak = std::weak_ptr<HttpReply>(reply_)] {
    const auto reply = weak.lock();
    return reply && reply->unsent() > kMaxUnsentBytes;
  };
  return call;
}

void RelayCall::Do(const relay::Send& action) {
  sent_to_ = action.backend;
  const SlotUsage use = context_.backends.UsageOf(action.backend.id);
  Log(LogLevel::kInfo, "placed",
      {{"request", state_machine_.plan().request.value},
       {"send", std::to_string(action.send)},
       {"backend", sent_to_.id.value},
       {"version", sent_to_.version.value},
       {"after_event", action.after_event.value_or("")},
       {"online", std::to_string(use.online)},
       {"online_other", std::to_string(use.online_other)},
       {"batch", std::to_string(use.batch)},
       {"batch_other", std::to_string(use.batch_other)},
       {"use_age_ms", AgeMs(use.known_at)},
       {"left_ms", Milliseconds(action.time_left)}});
  BeginSend(action);
}

void RelayCall::BeginSend(const relay::Send& action) {
  sent_at_ = Loop::Now();
  suspended_before_send_ = Loop::Suspended();
  if (context_.crash_tracker.has_quarantined()) context_.crash_tracker.RecordStart(Suspects());
  slot_ = context_.backends.AcquireSlot(action.backend.id, WorkClass::kOnline, sent_at_);
  events_before_send_ = state_machine_.events_forwarded();
  parts_are_sound_ = false;
  run_timer_ = RunTimer(events_before_send_);
  open_send_id_ = context_.open_sends.Add(
      action.backend, sent_at_, [weak = weak_from_this(), send = action.send] {
        const auto self = weak.lock();
        if (!self) return;
        self->context_.crash_tracker.ReportRestart(self->MakeLostSend());
        self->Step(relay::BackendRestarted{send});
      });
  cancel_ = context_.client.Start(MakeHttpCall(action),
                                  [self = shared_from_this(), send = action.send](HttpEvent event) {
                                    self->OnHttpEvent(send, std::move(event));
                                  });
}

void RelayCall::OnHttpEvent(SendNumber send, HttpEvent event) {
  const HeaderNames& names = context_.names;
  if (!std::holds_alternative<HttpFailure>(event)) {
    context_.backends.RecordActivity(slot_, Loop::Now());
    context_.open_sends.RecordActivity(open_send_id_, Loop::Now());
  }
  std::visit(Overloaded{
                 [&](HttpHead& head) {
                   const bool not_run =
                       !head.HeaderOr(names.not_run).empty() || head.status == kMisdirected;
                   const std::string_view id = head.HeaderOr(names.request_id);
                   const AnswerIdMatch answered =
                       MatchAnswerId(id, state_machine_.plan().request.value);
                   if (answered == AnswerIdMatch::kSame && head.status != kMisdirected) {
                     context_.crash_tracker.RecordAnswer(sent_to_, sent_at_);
                   }
                   Step(relay::Head{send, std::move(head), not_run, answered});
                 },
                 [&](const HttpBytes& bytes) {
                   if (first_byte_at_ == Time{}) first_byte_at_ = Loop::Now();
                   Step(relay::Bytes{send, bytes.bytes});
                   RecordEvents();
                 },
                 [&](const HttpEnd& end) {
                   if (end.by_close) return OnEndByClose(send, end);
                   Step(relay::End{send});
                 },
                 [&](const HttpFailure& failure) {
                   if (failure.sent) return OnConnectionLost(send, failure.why);
                   Step(relay::SendFailed{send, false, failure.why});
                 },
             },
             event);
}

void RelayCall::RecordEvents() {
  const std::uint64_t events = state_machine_.events_forwarded();
  context_.backends.RecordEvents(slot_, run_timer_.Update(events, Loop::Now()));
  if (parts_are_sound_ || !Quarantine::ShowsSoundParts(events - events_before_send_)) return;
  parts_are_sound_ = true;
  context_.crash_tracker.RecordSound(PartSuspects());
}

void RelayCall::OnConnectionLost(SendNumber send, std::string why) {
  context_.crash_tracker.CheckBackend(MakeLostSend(),
                                      [weak = weak_from_this(), send, why = std::move(why)] {
                                        if (const auto self = weak.lock())
                                          self->Step(relay::SendFailed{send, true, why});
                                      });
}

void RelayCall::OnEndByClose(SendNumber send, const HttpEnd& end) {
  if (state_machine_.in_event()) return OnConnectionLost(send, "the answer ended inside an event");
  EndEvidence evidence;
  evidence.asked = sent_to_.incarnation;
  evidence.closed_after = CrashTracker::ClosedAfter(end, suspended_before_send_);
  evidence.events = state_machine_.events_forwarded();
  evidence.max_output_tokens =
      ParseMaxOutputTokens(HeaderValue(request_.headers, context_.names.tokens));
  context_.crash_tracker.CheckEnd(
      MakeLostSend(), evidence, [weak = weak_from_this(), send](Completeness completeness) {
        const auto self = weak.lock();
        if (!self) return;
        if (completeness == Completeness::kWhole) return self->Step(relay::End{send});
        self->Step(relay::SendFailed{send, true, "nothing shows that the answer is whole"});
      });
}

LostSend RelayCall::MakeLostSend() {
  const BackendInfo* listed = context_.backends.Find(sent_to_.id);
  LostSend lost;
  lost.id = state_machine_.plan().request.value;
  lost.suspects = Suspects();
  lost.backend = sent_to_;
  lost.started_at = sent_at_;
  lost.events = state_machine_.events_forwarded() - events_before_send_;
  lost.leaving = listed != nullptr && listed->state == BackendState::kDraining;
  lost.online = true;
  return lost;
}

void RelayCall::OnWholeAnswer(int status) {
  const bool success = status >= kFirstSuccess && status <= kLastSuccess;
  if (!success) return;
  context_.crash_tracker.RecordSound(context_.crash_tracker.has_reports() ? Suspects()
                                                                          : PartSuspects());
}

void RelayCall::Do(const relay::CloseSend& action) {
  if (const CancelCall cancel = std::exchange(cancel_, nullptr)) cancel();
  const Time now = Loop::Now();
  context_.open_sends.Remove(open_send_id_);
  context_.backends.ReleaseSlot(slot_, action.end, now - sent_at_, now);
  context_.metrics.SendEnded(action.end);
  if (action.end == relay::SendEnd::kAnswered) return;
  Log(LogLevel::kInfo, "send_over",
      {{"request", state_machine_.plan().request.value},
       {"send", std::to_string(action.send)},
       {"backend", action.backend.id.value},
       {"end", std::string(relay::ToString(action.end))},
       {"why", action.why},
       {"after_ms", Milliseconds(now - started_at_)}});
}

HttpResponse RelayCall::MakeResponse(HttpHead head, std::string body) const {
  HttpResponse response;
  response.status = head.status;
  response.content_type.clear();
  std::erase_if(head.headers, [](const Header& header) { return IsConnectionHeader(header.name); });
  response.headers = std::move(head.headers);
  response.body = std::move(body);
  response.close = context_.shutdown.has_value();
  return response;
}

void RelayCall::Do(const relay::ForwardHead& action) {
  status_ = action.head.status;
  reply_->Begin(MakeResponse(action.head, {}));
}

void RelayCall::Do(relay::ForwardBytes& action) {
  reply_->Write(std::move(action.bytes));
}

void RelayCall::Do(relay::ForwardAnswer& action) {
  status_ = action.head.status;
  reply_->Send(MakeResponse(std::move(action.head), std::move(action.body)));
  OnWholeAnswer(status_);
  Complete("answered", "");
}

void RelayCall::Do(const relay::Finish& /*action*/) {
  reply_->End();
  OnWholeAnswer(status_);
  Complete("answered", "");
}

void RelayCall::Do(const relay::SendError& action) {
  if (charged_ && action.error.ran == Ran::kNo) context_.teams.Refund(*request_.team, *charged_);
  HttpResponse response = ErrorResponseFor(action.error);
  response.close = context_.shutdown.has_value();
  status_ = response.status;
  retry_after_ = action.error.retry_after.value_or(Duration{0});
  reply_->Send(std::move(response));
  const Duration goal = request_.goal_deadline - started_at_;
  if (Loop::Now() - started_at_ > goal / kLateRefusalDivisor) context_.metrics.RefusedLate();
  Complete("refused", action.error.detail);
}

void RelayCall::Do(const relay::AbortAnswer& action) {
  reply_->Abort();
  Complete("broken_off", action.error.detail);
}

// Most changes move the timer to a later time. The timer is then left to fire early and is armed
// again.
void RelayCall::Do(const relay::SetTimer& action) {
  timer_deadline_ = action.at;
  if (timer_armed_ && timer_at_ <= timer_deadline_) return;
  ArmTimer();
}

void RelayCall::ArmTimer() {
  timer_armed_ = true;
  timer_at_ = timer_deadline_;
  timer_ = context_.loop.After(std::max(timer_deadline_ - Loop::Now(), Duration{0}),
                               [weak = weak_from_this()] {
                                 const auto self = weak.lock();
                                 if (!self) return;
                                 self->timer_armed_ = false;
                                 if (Loop::Now() < self->timer_deadline_) return self->ArmTimer();
                                 self->Step(relay::TimerFired{});
                               });
}

void RelayCall::Complete(std::string_view outcome, const std::string& why) {
  if (!on_finished_) return;
  timer_.Reset();
  search_.reset();
  source_search_.reset();
  const Time now = Loop::Now();
  const Duration first = first_byte_at_ == Time{} ? Duration{0} : first_byte_at_ - started_at_;
  context_.metrics.RequestEnded(outcome, now - started_at_, first);
  Log(LogLevel::kInfo, "request",
      {{"request", state_machine_.plan().request.value},
       {"route", request_.route},
       {"team", request_.team.value_or(TeamId{}).value},
       {"config", std::to_string(request_.config_version)},
       {"outcome", std::string(outcome)},
       {"status", std::to_string(status_)},
       {"resumes", request_.resumes.value},
       {"backend", sent_to_.id.value},
       {"backends", std::to_string(state_machine_.backends_used())},
       {"events", std::to_string(state_machine_.events_forwarded())},
       {"quota_wait_ms", quota_wait_.count() == 0 ? "" : Milliseconds(quota_wait_)},
       {"quota_patience_ms", quota_patience_.count() == 0 ? "" : Milliseconds(quota_patience_)},
       {"first_ms", first.count() == 0 ? "" : Milliseconds(first)},
       {"ms", Milliseconds(now - started_at_)},
       {"retry_after_ms", retry_after_.count() == 0 ? "" : Milliseconds(retry_after_)},
       {"why", why}});
  reply_->OnClosed(nullptr);
  std::exchange(on_finished_, nullptr)();
}

}  // namespace figmill
