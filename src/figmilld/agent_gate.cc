#include "figmilld/agent_gate.h"

#include <utility>

namespace figmill {
namespace {

// One answer of the backend server on its way into frames.
struct Relay {
  std::shared_ptr<HttpReply> reply;
  Incarnation incarnation = 0;
  std::uint64_t bytes = 0;
  bool begun = false;
};

void TellHead(Relay& relay, const HttpHead& head) {
  FrameHead frame;
  frame.status = head.status;
  frame.incarnation = relay.incarnation;
  for (const Header& header : head.headers) {
    if (header.name == "Content-Type" || header.name == "content-type") {
      frame.content_type = header.value;
    }
  }
  relay.begun = true;
  relay.reply->Begin({200, std::string(kFramesType), {}, Encode(frame)});
}

void TellFailure(Relay& relay, const HttpFailure& failure) {
  const Error error{ErrorKind::kBackendFailed, failure.why,
                    failure.sent ? Ran::kUnknown : Ran::kNo};
  if (!relay.begun) {
    relay.reply->Send(ProblemOf(error));
    return;
  }
  relay.reply->Write(Encode(FrameFailure{error}));
  relay.reply->End();
}

void TellEnd(Relay& relay) {
  relay.reply->Write(Encode(FrameEnd{relay.bytes, 0, 0}));
  relay.reply->End();
}

void TellBytes(Relay& relay, std::string_view bytes) {
  relay.bytes += bytes.size();
  relay.reply->Write(Encode(FrameData{std::string(bytes)}));
}

}  // namespace

AgentGate::AgentGate(HttpClient& client, const AgentSettings& settings, Incarnation incarnation)
    : client_(client), settings_(settings), incarnation_(incarnation) {}

void AgentGate::OnDispatch(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  const Result<DispatchHeaders> parsed = ParseDispatch(request);
  if (!IsOk(parsed)) {
    reply->Send(ProblemOf(ErrorOf(parsed)));
    return;
  }
  const DispatchHeaders& dispatch = ValueOf(parsed);
  if (dispatch.incarnation != incarnation_) {
    reply->Send(ProblemOf({ErrorKind::kStaleOrders, "the agent has been restarted"}));
    return;
  }
  HttpCall call;
  call.method = dispatch.method;
  call.to = settings_.backend;
  call.target = dispatch.path;
  call.headers = {{"Content-Type", dispatch.content_type},
                  {"X-Request-Id", dispatch.request.value},
                  {"X-Item-Key", dispatch.item.value},
                  {"X-Repeatable", dispatch.repeatable ? "true" : "false"}};
  call.body = std::move(request.body);
  call.fresh_connection = !dispatch.repeatable;
  auto relay = std::make_shared<Relay>(Relay{reply, incarnation_});
  const CancelCall cancel = client_.Start(std::move(call), [relay](HttpEvent event) {
    std::visit(Overloaded{
                   [&](const HttpHead& head) { TellHead(*relay, head); },
                   [&](const HttpBytes& bytes) { TellBytes(*relay, bytes.bytes); },
                   [&](const HttpEnd&) { TellEnd(*relay); },
                   [&](const HttpFailure& failure) { TellFailure(*relay, failure); },
               },
               event);
  });
  reply->OnClosed(cancel);
}

}  // namespace figmill
