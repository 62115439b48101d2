#include "figmilld/agent/once_agent.h"

#include <nlohmann/json.hpp>

#include "figmilld/traffic/dispatch.h"

namespace figmill {
namespace {

constexpr Duration kStampTimeout{1'000'000};
constexpr Duration kRevokeTimeout{2'000'000};

RevokeState ReadState(const Result<std::string>& answer) {
  if (!IsOk(answer)) {
    // An agent that answers and still can't promise (another incarnation, or a
    // request too old for its records) can't tell; one that doesn't may yet.
    const Error& error = ErrorOf(answer);
    return error.kind == ErrorKind::kBackendFailed ? RevokeState::kUnreachable
                                                   : RevokeState::kOtherIncarnation;
  }
  const auto json = nlohmann::json::parse(ValueOf(answer), nullptr, false);
  const std::string state = json.is_object() ? json.value("state", std::string()) : std::string();
  if (state == "never-started") return RevokeState::kNeverStarted;
  if (state == "running") return RevokeState::kRunning;
  if (state == "finished") return RevokeState::kFinished;
  return RevokeState::kOtherIncarnation;
}

// Collects a stream that is read again from its start.
struct Reading {
  std::function<void(OnceAgent::Resumed)> done;
  int status = 0;
  std::string content_type;
  std::string body;
};

void Read(Reading& reading, DispatchEvent event) {
  const auto refused = [&](const Error& error) {
    const bool gone = error.kind == ErrorKind::kNotFound;
    reading.done(gone ? OnceAgent::Resumed{once::StreamNotFound{}}
                      : OnceAgent::Resumed{once::ResumeFailed{}});
  };
  std::visit(Overloaded{
                 [&](FrameHead& head) {
                   reading.status = head.status;
                   reading.content_type = head.content_type;
                 },
                 [&](FrameData& data) { reading.body += data.bytes; },
                 [&](FrameEnd&) {
                   reading.done(OutcomeOf(reading.status, std::move(reading.content_type),
                                          std::move(reading.body)));
                 },
                 [&](FrameFailure& failure) { refused(failure.error); },
                 [&](DispatchRefused& refusal) { refused(refusal.error); },
                 [&](DispatchBroke&) { reading.done(once::ResumeFailed{}); },
             },
             event);
}

}  // namespace

OnceOutcome OutcomeOf(int status, std::string content_type, std::string body) {
  OnceOutcome outcome{status, std::move(content_type), "", std::move(body), ""};
  const std::string_view parts[] = {outcome.content_type, outcome.body};
  outcome.digest = ContentDigest(parts);
  return outcome;
}

void OnceAgent::ReadStamp(const Address& agent,
                          std::function<void(std::optional<std::int64_t>)> done) {
  HttpCall call;
  call.to = agent;
  call.target = "/agent/status";
  call.total_timeout = kStampTimeout;
  client_.Fetch(std::move(call), [done = std::move(done)](const Result<HttpResponse>& answer) {
    if (!IsOk(answer) || ValueOf(answer).status != 200) return done(std::nullopt);
    const auto json = nlohmann::json::parse(ValueOf(answer).body, nullptr, false);
    const bool told = json.is_object() && json.contains("stamp");
    if (!told || !json["stamp"].is_number()) return done(std::nullopt);
    done(json["stamp"].get<std::int64_t>());
  });
}

void OnceAgent::Revoke(const once::Revoke& order, std::function<void(RevokeState)> done) {
  const std::optional<Member> agent = view_.agent(order.agent.node);
  if (!agent) return done(RevokeState::kUnreachable);
  // Its successor in the slot has no records of it.
  if (agent->incarnation > order.agent.incarnation) return done(RevokeState::kOtherIncarnation);
  ReadStamp(agent->http, [this, at = agent->http, order,
                          done = std::move(done)](std::optional<std::int64_t> now) {
    if (!now) return done(RevokeState::kUnreachable);
    RevokeAged(at, order, *now, done);
  });
}

// The dispatch can't be older than its stamp. Without an age that the agent's
// records reach back to, it promises nothing, for it may have forgotten the run.
void OnceAgent::RevokeAged(const Address& agent, const once::Revoke& order, std::int64_t stamp_now,
                           std::function<void(RevokeState)> done) {
  nlohmann::json params = {{"request", order.request.value},
                           {"incarnation", order.agent.incarnation}};
  if (order.stamp != 0) {
    const Duration age = Duration(stamp_now - order.stamp) + kRevokeTimeout;
    params["age_ms"] = std::chrono::ceil<std::chrono::milliseconds>(age).count();
  }
  CallRpc(client_, agent, "revoke", params.dump(), kRevokeTimeout,
          [done = std::move(done)](const Result<std::string>& answer) { done(ReadState(answer)); });
}

void OnceAgent::Resume(const once::Resume& order, const ItemKey& item, bool repeatable,
                       std::function<void(Resumed)> done) {
  const std::optional<Member> agent = view_.agent(order.agent.node);
  if (!agent) return done(once::ResumeFailed{});
  DispatchHeaders dispatch;
  dispatch.request = order.request;
  dispatch.incarnation = agent->incarnation;
  dispatch.item = item;
  dispatch.repeatable = repeatable;
  dispatch.resume_from = 0;
  auto reading = std::make_shared<Reading>();
  reading->done = std::move(done);
  SendDispatch(client_, agent->http, dispatch, "",
               [reading](DispatchEvent event) { Read(*reading, std::move(event)); });
}

}  // namespace figmill
