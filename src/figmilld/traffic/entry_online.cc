#include "figmilld/traffic/entry_online.h"

#include <utility>

#include "figmilld/traffic/sse.h"

namespace figmill {
namespace {

// One answer on its way to a caller.
struct Answer {
  std::shared_ptr<HttpReply> reply;
  HttpResponse whole;
  bool streaming = false;
};

// Without its closing event a stream is known to be broken; the error event says
// why, and whether the work ran.
void BreakStream(Answer& answer, const Error& error) {
  answer.reply->Write(ErrorEvent(error));
  answer.reply->End();
}

}  // namespace

OnlineSink SinkInto(std::shared_ptr<HttpReply> reply) {
  auto answer = std::make_shared<Answer>();
  answer->reply = std::move(reply);
  OnlineSink sink;
  sink.head = [answer](int status, const std::string& content_type) {
    answer->whole.status = status;
    answer->whole.content_type = content_type;
    answer->streaming = content_type.starts_with("text/event-stream");
    if (answer->streaming) answer->reply->Begin(answer->whole);
  };
  sink.bytes = [answer](std::string bytes) {
    if (answer->streaming) return answer->reply->Write(std::move(bytes));
    answer->whole.body += bytes;
  };
  sink.finish = [answer] {
    if (answer->streaming) return answer->reply->End();
    answer->reply->Send(std::move(answer->whole));
  };
  sink.fail = [answer](const Error& error) {
    if (answer->streaming) return BreakStream(*answer, error);
    answer->reply->Send(ProblemOf(error));
  };
  return sink;
}

EntryOnline::EntryOnline(Loop& loop, HttpClient& client, RpcServer& rpc, Metrics& metrics,
                         Tracer& tracer, OnlineSettings settings)
    : parts_{.loop = loop,
             .client = client,
             .tracer = tracer,
             .random = SystemRandom(),
             .router = Router(settings.self, settings.data_centre, SystemRandom()),
             .limits = TeamLimits(settings.self),
             .routes = {},
             .metrics = OnlineMetrics(metrics),
             .budgets = {}},
      shares_(loop, client, rpc, settings.self, parts_.limits) {
  parts_.routes.choose = [this](const RequestPlan& plan, std::span<const NodeId> tried, Time now) {
    return parts_.router.Choose({plan.service, plan.prefix, plan.tokens, tried}, now);
  };
  parts_.routes.find = [this](const NodeId& node) { return parts_.router.Find(node); };
}

EntryOnline::~EntryOnline() = default;

void EntryOnline::Update(std::shared_ptr<const RoutingSnapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  const Time now = Loop::Now();
  parts_.router.Update(*snapshot_, now);
  parts_.limits.Update(*snapshot_, now);
}

void EntryOnline::OnCompletion(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  auto parsed = ParseCompletion(request, *snapshot_, Loop::Now(), parts_.random);
  Accept(std::move(request), std::move(parsed), std::move(reply));
}

void EntryOnline::OnServiceCall(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  auto parsed = ParseServiceCall(request, *snapshot_, Loop::Now(), parts_.random);
  Accept(std::move(request), std::move(parsed), std::move(reply));
}

void EntryOnline::Accept(HttpRequest request, Result<OnlineWork> parsed,
                         std::shared_ptr<HttpReply> reply) {
  const auto refuse = [&](const Error& error) {
    parts_.metrics.Ended(std::string(ErrorInfoOf(error.kind).name));
    reply->Send(ProblemOf(error));
  };
  if (!IsOk(parsed)) return refuse(ErrorOf(parsed));
  OnlineWork& work = ValueOf(parsed);
  // The run of an item that was accepted, and charged, before.
  if (auto ticket = std::dynamic_pointer_cast<OnceTicket>(reply)) {
    work.body = std::move(request.body);
    return RunWith(std::move(ticket), std::move(work));
  }
  const Time now = Loop::Now();
  const Result<Ok> admitted = parts_.limits.Admit(work.team, work.plan.tokens, now);
  if (!IsOk(admitted)) return refuse(ErrorOf(admitted));
  const bool repeatable = work.plan.repeatable;
  if (once_ != nullptr && EntryOnce::WantsAsync(request)) {
    return once_->Accept(std::move(request), repeatable, std::move(reply));
  }
  if (once_ != nullptr && EntryOnce::Needed(request, repeatable)) {
    auto ticket = once_->Open(request, repeatable, work.plan.deadline - now, reply);
    if (!IsOk(ticket)) return refuse(ErrorOf(ticket));
    work.body = std::move(request.body);
    return RunWith(std::move(ValueOf(ticket)), std::move(work));
  }
  work.body = std::move(request.body);
  reply->OnClosed(Run(std::move(work), SinkInto(reply), {}));
}

void EntryOnline::RunWith(std::shared_ptr<OnceTicket> ticket, OnlineWork work) {
  work.dispatch.item = ticket->item().spec().key;
  OnlineSink sink;
  sink.head = [ticket](int status, const std::string& content_type) {
    ticket->Begin({status, content_type, {}, ""});
  };
  sink.bytes = [ticket](std::string bytes) { ticket->Write(std::move(bytes)); };
  sink.finish = [ticket] { ticket->End(); };
  sink.fail = [ticket](const Error& error) { ticket->Fail(error); };
  ClaimAttempt claim = [ticket](const RequestId& request, const NodeEndpoint& agent,
                                ClaimGranted go) {
    Member member;
    member.node = agent.node;
    member.incarnation = agent.incarnation;
    member.http = agent.address;
    ticket->Claim(request, member, std::move(go));
  };
  ticket->OnClosed(Run(std::move(work), std::move(sink), std::move(claim)));
}

std::function<void()> EntryOnline::Run(OnlineWork work, OnlineSink sink, ClaimAttempt claim) {
  auto weak = std::make_shared<std::weak_ptr<OnlineCall>>();
  auto call = std::make_shared<OnlineCall>(
      parts_, std::move(work), std::move(sink), std::move(claim), [this, weak] {
        // Not within the call's own step.
        parts_.loop.Post([this, done = weak->lock()] {
          calls_.erase(done);
          parts_.metrics.in_flight.Set(static_cast<double>(calls_.size()));
        });
      });
  *weak = call;
  calls_.insert(call);
  parts_.metrics.in_flight.Set(static_cast<double>(calls_.size()));
  call->Start();
  return [weak] {
    if (const auto running = weak->lock()) running->CallerGone();
  };
}

}  // namespace figmill
