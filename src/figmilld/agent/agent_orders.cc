#include "figmilld/agent/agent_orders.h"

#include <nlohmann/json.hpp>

namespace figmill {
namespace {

using Json = nlohmann::json;

std::string_view NameOf(RequestState state) {
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

Result<std::string> Told(const Result<RequestState>& state) {
  if (!IsOk(state)) return ErrorOf(state);
  return Json{{"state", NameOf(ValueOf(state))}}.dump();
}

// Binds a method whose parameters `act` reads from JSON.
template <typename Act>
void Bind(RpcServer& server, std::string name, Act act) {
  server.Bind(std::move(name), [act](std::string_view params) -> Result<std::string> {
    try {
      return act(Json::parse(params));
    } catch (const Json::exception& failure) {
      return Error{ErrorKind::kBadRequest, failure.what()};
    }
  });
}

RequestId RequestOf(const Json& params) {
  return RequestId{params.at("request").get<std::string>()};
}

}  // namespace

void BindAgentOrders(RpcServer& server, AgentGate& gate) {
  Bind(server, "revoke", [&gate](const Json& params) {
    std::optional<Duration> age;
    if (params.contains("age_ms")) {
      age = std::chrono::milliseconds(params.at("age_ms").get<std::uint32_t>());
    }
    const auto incarnation = params.at("incarnation").get<Incarnation>();
    return Told(gate.RevokeRequest(RequestOf(params), incarnation, age));
  });
  Bind(server, "cancel",
       [&gate](const Json& params) { return Told(gate.CancelRequest(RequestOf(params))); });
  Bind(server, "supersede", [&gate](const Json& params) -> Result<std::string> {
    gate.SupersedeJob(JobId{params.at("job").get<std::string>()}, params.at("epoch").get<Epoch>());
    return std::string("{}");
  });
}

}  // namespace figmill
