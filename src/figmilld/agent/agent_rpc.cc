#include "figmilld/agent/agent_rpc.h"

#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

std::string_view StateName(RequestState state) {
  switch (state) {
    case RequestState::kNeverStarted:
      return "never-started";
    case RequestState::kRunning:
      return "running";
    case RequestState::kFinished:
      return "finished";
  }
  return "finished";
}

Result<std::string> ToJsonReply(const Result<RequestState>& state) {
  if (!IsOk(state)) return ErrorOf(state);
  return Json{{"state", StateName(ValueOf(state))}}.dump();
}

// Binds a method whose JSON parameters are passed to `handler`; malformed ones are a bad request.
template <typename Handler>
void Bind(RpcServer& server, std::string name, Handler handler) {
  server.Bind(std::move(name), [handler](std::string_view params) -> Result<std::string> {
    try {
      return handler(ParseJsonOrThrow(params));
    } catch (const Json::exception& failure) {
      return Error{ErrorKind::kBadRequest, failure.what()};
    }
  });
}

RequestId ReadRequestId(const Json& params) {
  return RequestId{params.at("request").get<std::string>()};
}

}  // namespace

void BindAgentRpc(RpcServer& server, DispatchHandler& dispatch_handler) {
  Bind(server, "revoke", [&dispatch_handler](const Json& params) {
    std::optional<Duration> age;
    if (params.contains("age_ms")) {
      age = std::chrono::milliseconds(params.at("age_ms").get<std::uint32_t>());
    }
    const auto incarnation = params.at("incarnation").get<Incarnation>();
    return ToJsonReply(dispatch_handler.RevokeRequest(ReadRequestId(params), incarnation, age));
  });
  Bind(server, "cancel", [&dispatch_handler](const Json& params) {
    return ToJsonReply(dispatch_handler.CancelRequest(ReadRequestId(params)));
  });
  Bind(server, "supersede", [&dispatch_handler](const Json& params) -> Result<std::string> {
    dispatch_handler.SupersedeJob(JobId{params.at("job").get<std::string>()},
                                  params.at("epoch").get<Epoch>());
    return std::string("{}");
  });
}

}  // namespace figmill
