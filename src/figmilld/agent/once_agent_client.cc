#include "figmilld/agent/once_agent_client.h"

#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmilld/traffic/dispatch.h"

namespace figmill {
namespace {

constexpr Duration kStampTimeout{1'000'000};
constexpr Duration kRevokeTimeout{2'000'000};

RevokeState ParseRevokeReply(const Result<std::string>& answer) {
  if (!IsOk(answer)) {
    // An agent that answers with an error (another incarnation, or a request too old for its
    // records) will never know the state; one that can't be reached may still know it.
    const Error& error = ErrorOf(answer);
    return error.kind == ErrorKind::kBackendFailed ? RevokeState::kUnreachable
                                                   : RevokeState::kOtherIncarnation;
  }
  const auto json = ParseJson(ValueOf(answer));
  const std::string state = json.is_object() ? json.value("state", std::string()) : std::string();
  if (state == "never-started") return RevokeState::kNeverStarted;
  if (state == "running") return RevokeState::kRunning;
  if (state == "finished") return RevokeState::kFinished;
  return RevokeState::kOtherIncarnation;
}

// Collects a stream that is read again from its start.
struct StreamCollector {
  std::function<void(OnceAgentClient::ResumeResult)> done;
  int status = 0;
  std::string content_type;
  std::string body;
};

void OnDispatchEvent(StreamCollector& collector, DispatchEvent event) {
  const auto fail = [&](const Error& error) {
    const bool gone = error.kind == ErrorKind::kNotFound;
    collector.done(gone ? OnceAgentClient::ResumeResult{once::StreamNotFound{}}
                        : OnceAgentClient::ResumeResult{once::ResumeFailed{}});
  };
  std::visit(Overloaded{
                 [&](FrameHead& head) {
                   collector.status = head.status;
                   collector.content_type = head.content_type;
                 },
                 [&](FrameData& data) { collector.body += data.bytes; },
                 [&](FrameEnd&) {
                   collector.done(MakeOutcome(collector.status, std::move(collector.content_type),
                                              std::move(collector.body)));
                 },
                 [&](FrameFailure& failure) { fail(failure.error); },
                 [&](DispatchRefused& refusal) { fail(refusal.error); },
                 [&](DispatchBroke&) { collector.done(once::ResumeFailed{}); },
             },
             event);
}

}  // namespace

OnceOutcome MakeOutcome(int status, std::string content_type, std::string body) {
  OnceOutcome outcome{status, std::move(content_type), "", std::move(body), ""};
  const std::string_view parts[] = {outcome.content_type, outcome.body};
  outcome.digest = ContentDigest(parts);
  return outcome;
}

void OnceAgentClient::ReadAgentClock(const Address& agent,
                                     std::function<void(std::optional<std::int64_t>)> done) {
  HttpCall call;
  call.to = agent;
  call.target = "/agent/status";
  call.total_timeout = kStampTimeout;
  client_.Fetch(std::move(call), [done = std::move(done)](const Result<HttpResponse>& answer) {
    if (!IsOk(answer) || ValueOf(answer).status != 200) return done(std::nullopt);
    const auto json = ParseJson(ValueOf(answer).body);
    const bool has_stamp = json.is_object() && json.contains("stamp");
    if (!has_stamp || !json["stamp"].is_number()) return done(std::nullopt);
    done(json["stamp"].get<std::int64_t>());
  });
}

void OnceAgentClient::Revoke(const once::Revoke& order, std::function<void(RevokeState)> done) {
  const std::optional<Member> agent = view_.agent(order.agent.node);
  if (!agent) return done(RevokeState::kUnreachable);
  // A later process in the same slot has no records of the request.
  if (agent->incarnation > order.agent.incarnation) return done(RevokeState::kOtherIncarnation);
  ReadAgentClock(agent->http, [this, at = agent->http, order,
                               done = std::move(done)](std::optional<std::int64_t> now) {
    if (!now) return done(RevokeState::kUnreachable);
    SendRevoke(at, order, *now, done);
  });
}

// The dispatch can't be older than its stamp. Without an age, or with one beyond the agent's
// record retention, the agent makes no promise, as it may have dropped the record of a run.
void OnceAgentClient::SendRevoke(const Address& agent, const once::Revoke& order,
                                 std::int64_t stamp_now, std::function<void(RevokeState)> done) {
  nlohmann::json params = {{"request", order.request.value},
                           {"incarnation", order.agent.incarnation}};
  if (order.stamp != 0) {
    const Duration age = Duration(stamp_now - order.stamp) + kRevokeTimeout;
    params["age_ms"] = std::chrono::ceil<std::chrono::milliseconds>(age).count();
  }
  CallRpc(client_, agent, "revoke", params.dump(), kRevokeTimeout,
          [done = std::move(done)](const Result<std::string>& answer) {
            done(ParseRevokeReply(answer));
          });
}

void OnceAgentClient::Resume(const once::Resume& order, const ItemKey& item, bool repeatable,
                             std::function<void(ResumeResult)> done) {
  const std::optional<Member> agent = view_.agent(order.agent.node);
  if (!agent) return done(once::ResumeFailed{});
  DispatchHeaders dispatch;
  dispatch.request = order.request;
  dispatch.incarnation = agent->incarnation;
  dispatch.item = item;
  dispatch.repeatable = repeatable;
  dispatch.resume_from = 0;
  auto collector = std::make_shared<StreamCollector>();
  collector->done = std::move(done);
  SendDispatch(client_, agent->http, dispatch, "",
               [collector](DispatchEvent event) { OnDispatchEvent(*collector, std::move(event)); });
}

}  // namespace figmill
