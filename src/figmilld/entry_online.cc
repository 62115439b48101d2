#include "figmilld/entry_online.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "figmilld/dispatch.h"

namespace figmill {
namespace {

void Answer(HttpReply& reply, bool& begun, DispatchEvent event) {
  std::visit(Overloaded{
                 [&](FrameHead& head) {
                   begun = true;
                   reply.Begin({head.status, head.content_type, {}, ""});
                 },
                 [&](FrameData& data) { reply.Write(std::move(data.bytes)); },
                 [&](FrameEnd&) { reply.End(); },
                 [&](FrameFailure& failure) {
                   if (begun) {
                     reply.Write(ProblemOf(failure.error).body);
                     reply.End();
                   } else {
                     reply.Send(ProblemOf(failure.error));
                   }
                 },
                 [&](DispatchRefused& refused) { reply.Send(ProblemOf(refused.error)); },
                 [&](DispatchBroke& broke) {
                   const Error error{ErrorKind::kBrokenAnswer, broke.why,
                                     broke.sent ? Ran::kUnknown : Ran::kNo};
                   if (begun) {
                     reply.Write(ProblemOf(error).body);
                     reply.End();
                   } else {
                     reply.Send(ProblemOf(error));
                   }
                 },
             },
             event);
}

}  // namespace

EntryOnline::EntryOnline(HttpClient& client, const Members& members, RandomBits random)
    : client_(client), members_(members), random_(std::move(random)) {}

void EntryOnline::OnCompletion(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
    reply->Send(ProblemOf({ErrorKind::kBadRequest, "the body must be a JSON object with a model"}));
    return;
  }
  if (members_.agents().empty()) {
    reply->Send(ProblemOf({ErrorKind::kNoBackend, "no agent is known"}));
    return;
  }
  const Member& agent = members_.agents()[random_() % members_.agents().size()];
  DispatchHeaders dispatch;
  dispatch.request.value = FreshToken(random_).value;
  dispatch.incarnation = agent.incarnation;
  dispatch.service.value = body["model"].get<std::string>();
  dispatch.path = request.path;
  const CancelCall cancel = SendDispatch(client_, agent.http, dispatch, std::move(request.body),
                                         [reply, begun = false](DispatchEvent event) mutable {
                                           Answer(*reply, begun, std::move(event));
                                         });
  reply->OnClosed(cancel);
}

}  // namespace figmill
