#include "figmilld/once_ticket.h"

#include <algorithm>

namespace figmill {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::size_t kMaxTimers = 8;  // an item has two or three that matter

HttpResponse WithRetryAfter(const Error& error) {
  HttpResponse response = ProblemOf(error);
  if (error.retry_after && !RowOf(error.kind).retry_may_help) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return response;
}

// Ends a run whose item has another answer; the caller never sees it.
Error NotClaimed() {
  return Error{ErrorKind::kConflict, "the item was not claimed for this run"};
}

// What the request asks can't be done, now or later.
bool IsHopeless(const Error& error) {
  const ErrorRow& row = RowOf(error.kind);
  return error.ran == Ran::kNo && row.http_status < 500 && !row.retry_may_help;
}

}  // namespace

OnceTicket::OnceTicket(OnceTools& tools, KeyedItem item, Run run, std::shared_ptr<HttpReply> reply)
    : tools_(tools), item_(std::move(item)), run_(std::move(run)), reply_(std::move(reply)) {}

void OnceTicket::Start() {
  if (accepted()) return Step(once::Tick{});
  // A caller that leaves stops what isn't claimed yet; what is runs to its end.
  reply_->OnClosed([self = weak_from_this()] {
    const auto ticket = self.lock();
    if (!ticket) return;
    const bool stop = ticket->request_.empty();
    ticket->Step(once::Detached{});
    if (stop && ticket->stop_run_) ticket->stop_run_();
  });
  StartRun();
}

// --- From the run ----------------------------------------------------------------

void OnceTicket::StartRun() {
  run_over_ = false;
  stop_run_ = run_(Sink(), [self = shared_from_this()](const RequestId& request, const Pick& agent,
                                                       ClaimAnswer answer) {
    self->Claim(request, agent, std::move(answer));
  });
}

OnlineSink OnceTicket::Sink() {
  const auto self = shared_from_this();
  OnlineSink sink;
  sink.head = [self](int status, const std::string& type) { self->Head(status, type); };
  sink.bytes = [self](std::string bytes) { self->Bytes(std::move(bytes)); };
  sink.finish = [self] { self->Whole(); };
  sink.fail = [self](const Error& error) { self->Failed(error); };
  return sink;
}

void OnceTicket::Claim(const RequestId& request, const Pick& agent, ClaimAnswer answer) {
  // The run asks again only after its last attempt is proven never started, or the
  // item is repeatable.
  if (item_.sent()) Step(once::DidNotRun{{}, true});
  if (!item_.idle() || item_.finished()) return answer(NotClaimed());
  claim_answer_ = std::move(answer);
  once::Claim claim{request, OnceParty{agent.node, agent.incarnation}};
  // An agent that doesn't tell its stamp will hardly take the dispatch: the run
  // finds out, and goes elsewhere.
  tools_.agent.ReadStamp(
      agent.address, [self = shared_from_this(), claim](std::optional<std::int64_t> stamp) mutable {
        if (!self->item_.idle() || self->item_.finished()) return self->LetGo();
        claim.stamp = stamp.value_or(0);
        self->request_ = claim.request;
        self->body_.clear();
        self->Step(claim);
      });
}

void OnceTicket::Head(int status, const std::string& content_type) {
  status_ = status;
  content_type_ = content_type;
  body_.clear();
  // A stream goes on as it comes; only its end waits for the commit.
  if (accepted() || item_.told() || !content_type_.starts_with(kEventStream)) return;
  streaming_ = true;
  reply_->Begin({status_, content_type_, {}, ""});
}

void OnceTicket::Bytes(std::string bytes) {
  body_ += bytes;
  if (!streaming_ || item_.told()) return;
  passed_ = body_.size();
  reply_->Write(std::move(bytes));
}

void OnceTicket::Whole() {
  run_over_ = true;
  Step(once::Answered{OutcomeOf(status_, content_type_, body_)});
}

void OnceTicket::Failed(const Error& error) {
  run_over_ = true;
  if (accepted() && item_.idle() && IsHopeless(error)) {
    HttpResponse problem = ProblemOf(error);
    return Step(once::Answered{
        OutcomeOf(problem.status, std::move(problem.content_type), std::move(problem.body))});
  }
  if (error.ran == Ran::kNo) return Step(once::DidNotRun{error, false});
  Step(once::Lost{error});
}

// --- The item's steps ----------------------------------------------------------------

void OnceTicket::Step(const once::Event& event) {
  const once::Context context{Loop::Now(), tools_.random, tools_.view.gone};
  for (once::Action& action : item_.Handle(event, context)) Act(std::move(action));
  if (item_.finished()) LetGo();
}

// The run that waits for its claim is told that it won't come.
void OnceTicket::LetGo() {
  if (const auto answer = std::exchange(claim_answer_, {})) answer(NotClaimed());
}

template <typename Event>
std::function<void(Event)> OnceTicket::Back() {
  return [self = shared_from_this()](Event event) { self->Step(std::move(event)); };
}

void OnceTicket::Act(once::Action action) {
  std::visit(
      Overloaded{
          [this](once::WriteRow& write) {
            tools_.writer.Write(std::move(write.write),
                                [back = Back<once::Wrote>()](OnceFate fate) { back({fate}); });
          },
          [this](once::ReadRow& read) {
            tools_.table.Read(std::move(read.key),
                              [back = Back<once::ReadDone>()](const auto& row) { back({row}); });
          },
          [this](once::PutObject& put) {
            tools_.objects.Put(std::move(put.key), std::move(put.bytes),
                               [back = Back<once::ObjectStored>()](const Result<Ok>& stored) {
                                 back({IsOk(stored)});
                               });
          },
          [this](once::Send&) {
            const auto answer = std::exchange(claim_answer_, {});
            // Its time was up while the claim was under way.
            if (run_over_ || !answer) {
              return Step(once::DidNotRun{{ErrorKind::kDeadlineExceeded, "not sent in time"}});
            }
            answer(Ok{});
          },
          [this](once::Revoke& revoke) {
            tools_.agent.Revoke(
                revoke, [back = Back<once::Revoked>()](RevokeState state) { back({state}); });
          },
          [this](once::Resume& resume) {
            tools_.agent.Resume(resume, item_.spec().key, item_.spec().repeatable,
                                [back = Back<once::Event>()](OnceAgent::Resumed resumed) {
                                  std::visit(
                                      Overloaded{[&](OnceOutcome& outcome) {
                                                   back(once::Answered{std::move(outcome)});
                                                 },
                                                 [&](const auto& nothing) { back(nothing); }},
                                      resumed);
                                });
          },
          [this](once::TellOutcome& told) { Tell(told); },
          [this](once::TellError& told) { TellError(told.error); },
          [this](once::TryAgain&) { StartRun(); },
          [this](once::WakeAt& wake) { WakeAt(wake.at); },
      },
      action);
}

void OnceTicket::WakeAt(Time at) {
  const Duration delay = std::max(at - Loop::Now(), Duration{0});
  if (timers_.size() == kMaxTimers) timers_.pop_front();
  timers_.push_back(tools_.loop.After(delay, [self = weak_from_this()] {
    if (const auto ticket = self.lock()) ticket->Step(once::Tick{});
  }));
}

// --- To the caller -------------------------------------------------------------------

void OnceTicket::Tell(const once::TellOutcome& told) {
  if (accepted()) return;
  if (told.outcome.object.empty() || !told.outcome.body.empty()) {
    return TellWith(told.outcome, told.replayed);
  }
  tools_.objects.Get(told.outcome.object,
                     [self = shared_from_this(), told](Result<std::string> body) {
                       if (!IsOk(body)) {
                         Error error = ErrorOf(body);
                         error.ran = Ran::kYes;
                         return self->TellError(error);
                       }
                       OnceOutcome outcome = told.outcome;
                       outcome.body = std::move(ValueOf(body));
                       self->TellWith(outcome, told.replayed);
                     });
}

void OnceTicket::TellWith(const OnceOutcome& outcome, bool replayed) {
  if (streaming_) {
    // What the caller has is the beginning of this very answer, or the answer is
    // another run's and can't be joined to it.
    const bool joins = outcome.body.compare(0, passed_, body_, 0, passed_) == 0;
    if (!joins) {
      return TellError({ErrorKind::kBrokenAnswer, "the stream broke off", Ran::kYes});
    }
    if (outcome.body.size() > passed_) reply_->Write(outcome.body.substr(passed_));
    reply_->End();
    return;
  }
  HttpResponse response{outcome.status, outcome.content_type, {}, outcome.body};
  NameItem(response);
  if (replayed) response.headers.push_back({"Idempotency-Replayed", "true"});
  reply_->Send(std::move(response));
}

void OnceTicket::TellError(const Error& error) {
  if (accepted()) return;
  HttpResponse response = WithRetryAfter(error);
  if (streaming_) {
    reply_->Write("event: error\ndata: " + response.body + "\n\n");
    reply_->End();
    return;
  }
  NameItem(response);
  reply_->Send(std::move(response));
}

void OnceTicket::NameItem(HttpResponse& response) const {
  response.headers.push_back({"Idempotency-Key", item_.spec().key.value});
  if (!request_.empty()) response.headers.push_back({"Figmill-Request", request_.value});
}

}  // namespace figmill
