#include "figmilld/batch/batch_dispatcher.h"

#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

// Of one item; a longer answer ends the item as failed. A chunk's results have to
// fit the owner's memory and the platform's objects.
constexpr std::size_t kMaxAnswerBytes = 2U << 20;
constexpr Duration kOrderTimeout{2'000'000};
// Batch items wait at agents for as long as online work needs the room.
constexpr Duration kItemDeadline{3'600'000'000};

std::int64_t AgeMs(Time sent) {
  const Duration age = Loop::Now() - sent;
  return std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1;
}

}  // namespace

BatchDispatcher::BatchDispatcher(HttpClient& client, NodeId self, Report report)
    : client_(client), self_(std::move(self)), report_(std::move(report)) {}

void BatchDispatcher::Send(DispatchItem item) {
  const auto agent = agents_.find(item.agent);
  if (agent == agents_.end()) {
    report_(ItemEnded{item.request, Error{ErrorKind::kStaleOrders, "the agent is not known"}});
    return;
  }
  DispatchHeaders headers;
  headers.request = item.request;
  headers.incarnation = item.incarnation;
  headers.work = WorkClass::kBatch;
  headers.service = item.item.service;
  headers.path = item.item.path;
  headers.item.value = item.job.value + "/" + std::to_string(item.index);
  headers.repeatable = item.item.repeatable;
  headers.time_left = kItemDeadline;
  headers.tokens = item.item.tokens;
  headers.owner = self_;
  headers.epoch = item.epoch;
  Call& call = calls_[item.request];
  call.agent = item.agent;
  call.incarnation = item.incarnation;
  call.repeatable = item.item.repeatable;
  call.sent = Loop::Now();
  call.hang_up = SendDispatch(
      client_, agent->second, headers, std::move(item.item.body),
      [this, request = item.request](DispatchEvent event) { On(request, std::move(event)); });
}

void BatchDispatcher::On(const RequestId& request, DispatchEvent event) {
  const auto found = calls_.find(request);
  if (found == calls_.end()) return;
  Call& call = found->second;
  std::visit(Overloaded{
                 [&](const FrameHead& head) {
                   call.status = head.status;
                   report_(ItemStarted{request, head.room});
                 },
                 [&](const FrameData& data) { TakeData(request, call, data.bytes); },
                 [&](const FrameEnd&) {
                   End(request, ItemAnswer{call.status, std::move(call.body)});
                 },
                 [&](const FrameFailure& failure) { TakeError(request, failure.error); },
                 [&](const DispatchRefused& refused) { TakeError(request, refused.error); },
                 [&](const DispatchBroke& broke) {
                   TakeError(request, Error{ErrorKind::kBackendFailed, broke.why,
                                            broke.sent ? Ran::kUnknown : Ran::kNo});
                 },
             },
             event);
}

void BatchDispatcher::TakeData(const RequestId& request, Call& call, const std::string& bytes) {
  call.body += bytes;
  if (call.body.size() <= kMaxAnswerBytes) return;
  call.hang_up();
  End(request,
      ItemAnswer{413, "the answer is longer than " + std::to_string(kMaxAnswerBytes) + " bytes"});
}

void BatchDispatcher::TakeError(const RequestId& request, const Error& error) {
  const Call& call = calls_.at(request);
  if (!call.repeatable && error.ran == Ran::kUnknown) return EndRevoked(request, error);
  End(request, error);
}

void BatchDispatcher::EndRevoked(const RequestId& request, const Error& error) {
  CallRevoke(request, calls_.at(request), [this, request, error](bool never_started) {
    Error known = error;
    if (never_started) known.ran = Ran::kNo;
    End(request, known);
  });
}

void BatchDispatcher::Revoke(const RevokeItem& item) {
  const auto call = calls_.find(item.request);
  if (call == calls_.end()) return;
  CallRevoke(item.request, call->second, [this, request = item.request](bool never_started) {
    // Its answer is still to come. How many more items the agent accepts is not known here.
    if (!never_started) return report_(ItemStarted{request, 0});
    End(request, Error{ErrorKind::kCancelled, "the item was revoked", Ran::kNo});
  });
}

void BatchDispatcher::CallRevoke(const RequestId& request, const Call& call,
                                 std::function<void(bool)> done) {
  const auto agent = agents_.find(call.agent);
  if (agent == agents_.end()) return done(false);
  const Json params = {
      {"request", request.value}, {"incarnation", call.incarnation}, {"age_ms", AgeMs(call.sent)}};
  CallRpc(client_, agent->second, "revoke", params.dump(), kOrderTimeout,
          [done = std::move(done)](const Result<std::string>& answer) {
            if (!IsOk(answer)) return done(false);
            const Json json = ParseJson(ValueOf(answer));
            done(json.is_object() && json.value("state", "") == "never-started");
          });
}

void BatchDispatcher::End(const RequestId& request, ItemOutcome outcome) {
  if (calls_.erase(request) > 0) report_(ItemEnded{request, std::move(outcome)});
}

void BatchDispatcher::Supersede(const JobId& job, Epoch epoch) {
  const std::string params = Json{{"job", job.value}, {"epoch", epoch}}.dump();
  for (const auto& [node, address] : agents_) {
    CallRpc(client_, address, "supersede", params, kOrderTimeout,
            [](const Result<std::string>&) {});
  }
}

void BatchDispatcher::Cancel(const CancelItem& item) {
  const auto found = calls_.find(item.request);
  if (found == calls_.end()) return;
  const CancelCall hang_up = std::move(found->second.hang_up);
  calls_.erase(found);
  if (hang_up) hang_up();
  const auto agent = agents_.find(item.agent);
  if (agent == agents_.end()) return;
  CallRpc(client_, agent->second, "cancel", Json{{"request", item.request.value}}.dump(),
          kOrderTimeout, [](const Result<std::string>&) {});
}

}  // namespace figmill
