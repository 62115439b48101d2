#include "figmilld/traffic/once_ticket.h"

#include <algorithm>

#include "figmilld/traffic/sse.h"

namespace figmill {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::size_t kMaxTimers = 8;  // an item has two or three that matter

HttpResponse WithRetryAfter(const Error& error) {
  HttpResponse response = ProblemOf(error);
  if (error.retry_after && !ErrorInfoOf(error.kind).retry_may_help) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return response;
}

}  // namespace

OnceTicket::OnceTicket(OnceTools& tools, KeyedItem item, std::shared_ptr<HttpReply> reply,
                       std::function<void()> try_again)
    : tools_(tools),
      item_(std::move(item)),
      reply_(std::move(reply)),
      try_again_(std::move(try_again)) {}

// --- From the run ----------------------------------------------------------------

void OnceTicket::Claim(const RequestId& request, const Member& agent, Go go) {
  if (item_.finished()) return;
  // A run dispatches anew only after its last dispatch is known not to have run,
  // or the item is repeatable.
  if (item_.sent()) Step(once::DidNotRun{{}, true});
  if (!item_.idle()) return;
  run_over_ = false;
  go_ = std::move(go);
  once::Claim claim{request, NodeInstance{agent.node, agent.incarnation}};
  tools_.agent.ReadAgentClock(
      agent.http, [self = shared_from_this(), claim](std::optional<std::int64_t> stamp) mutable {
        if (!self->item_.idle()) return;
        claim.stamp = stamp.value_or(0);
        if (stamp) return self->ClaimWith(claim);
        if (const auto unreached = std::exchange(self->go_, {})) unreached(std::nullopt);
      });
}

void OnceTicket::ClaimWith(const once::Claim& claim) {
  body_.clear();
  stamp_ = claim.stamp;
  request_ = claim.request;
  Step(claim);
}

void OnceTicket::Fail(const Error& error) {
  run_over_ = true;
  const ErrorKindInfo& row = ErrorInfoOf(error.kind);
  const bool hopeless = row.http_status < 500 && !row.retry_may_help;
  if (accepted() && hopeless && error.ran == Ran::kNo && item_.idle()) {
    HttpResponse problem = ProblemOf(error);
    return Step(once::Answered{
        MakeOutcome(problem.status, std::move(problem.content_type), std::move(problem.body))});
  }
  if (error.ran == Ran::kNo) return Step(once::DidNotRun{error, false});
  Step(once::SendOutcomeUnknown{error});
}

void OnceTicket::Send(HttpResponse response) {
  Fail(ErrorFromProblem(response.status, response.body));
}

void OnceTicket::Begin(HttpResponse head) {
  status_ = head.status;
  content_type_ = std::move(head.content_type);
  body_ = std::move(head.body);
  // A stream goes on as it comes; only its end waits for the commit.
  if (!reply_ || !content_type_.starts_with(kEventStream)) return;
  streaming_ = true;
  reply_->Begin({status_, content_type_, std::move(head.headers), body_});
  passed_ = body_.size();
}

void OnceTicket::Write(std::string bytes) {
  body_ += bytes;
  if (!streaming_ || item_.replied()) return;
  passed_ = body_.size();
  reply_->Write(std::move(bytes));
}

void OnceTicket::End() {
  run_over_ = true;
  Step(once::Answered{MakeOutcome(status_, content_type_, body_)});
}

void OnceTicket::OnClosed(std::function<void()> closed) {
  if (!reply_) return;
  reply_->OnClosed([self = weak_from_this(), closed = std::move(closed)] {
    const auto ticket = self.lock();
    if (!ticket) return;
    ticket->Step(once::CallerDisconnected{});
    if (!ticket->claimed_) closed();
  });
}

// --- The item's steps ----------------------------------------------------------------

void OnceTicket::Step(const once::Event& event) {
  const once::Context context{Loop::Now(), tools_.random, tools_.view.is_dead_or_replaced};
  for (once::Action& action : item_.Handle(event, context)) Act(std::move(action));
  if (!item_.finished()) return;
  timers_.clear();
  go_ = {};
}

template <typename Event>
std::function<void(Event)> OnceTicket::Back() {
  return [self = shared_from_this()](Event event) { self->Step(std::move(event)); };
}

void OnceTicket::Act(once::Action action) {
  std::visit(
      Overloaded{
          [this](once::WriteRow& write) {
            tools_.writer.Write(
                std::move(write.write),
                [back = Back<once::WriteDone>()](OnceWriteResult fate) { back({fate}); });
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
            // The run's time was up while its claim was under way: it sends nothing,
            // and without this the caller would wait for an answer for ever.
            if (run_over_ || !go_) {
              return Step(once::DidNotRun{{ErrorKind::kDeadlineExceeded, "not sent in time"}});
            }
            claimed_ = true;
            if (const auto go = std::exchange(go_, {})) go(static_cast<std::uint64_t>(stamp_));
          },
          [this](once::Revoke& revoke) {
            tools_.agent.Revoke(
                revoke, [back = Back<once::RevokeDone>()](RevokeState state) { back({state}); });
          },
          [this](once::Resume& resume) {
            tools_.agent.Resume(
                resume, item_.spec().key, item_.spec().repeatable,
                [back = Back<once::Event>()](OnceAgentClient::ResumeResult resumed) {
                  std::visit(Overloaded{[&](OnceOutcome& outcome) {
                                          back(once::Answered{std::move(outcome)});
                                        },
                                        [&](const auto& nothing) { back(nothing); }},
                             resumed);
                });
          },
          [this](once::ReplyOutcome& told) { Tell(told); },
          [this](once::ReplyError& told) { TellError(told.error); },
          [this](once::RetryDispatch&) {
            if (try_again_) try_again_();
          },
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

void OnceTicket::Tell(const once::ReplyOutcome& told) {
  if (!reply_) return;
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
  if (!reply_) return;
  if (streaming_) {
    reply_->Write(ErrorEvent(error));
    reply_->End();
    return;
  }
  HttpResponse response = WithRetryAfter(error);
  NameItem(response);
  reply_->Send(std::move(response));
}

void OnceTicket::NameItem(HttpResponse& response) const {
  response.headers.push_back({"Idempotency-Key", item_.spec().key.value});
  if (!request_.empty()) response.headers.push_back({"Figmill-Request", request_.value});
}

}  // namespace figmill
