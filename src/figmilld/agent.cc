// The process beside a backend server: every call to it passes here.

#include <memory>
#include <nlohmann/json.hpp>

#include "figmill/runtime.h"
#include "figmilld/agent_gate.h"
#include "figmilld/agent_orders.h"
#include "figmilld/process.h"
#include "figmilld/served_models.h"

namespace figmill {
namespace {

// For the last answers to leave the sockets' buffers.
constexpr Duration kLastAnswers{200'000};

// Milliseconds since the epoch: a later process in the same slot gets a higher
// number, since a process takes longer than that to start.
Incarnation FreshIncarnation() {
  return static_cast<Incarnation>(Loop::WallNow().time_since_epoch().count());
}

class Agent {
 public:
  explicit Agent(const Settings& settings)
      : settings_(settings),
        incarnation_(FreshIncarnation()),
        gate_({loop_, client_, metrics_}, settings.agent, incarnation_) {
    BindAgentOrders(rpc_, gate_);
    rpc_.Bind("status", [this](std::string_view) -> Result<std::string> { return Status(); });
  }

  int Run() {
    Result<std::unique_ptr<HttpServer>> server =
        HttpServer::Listen(loop_, settings_.common.http,
                           [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                             Route(std::move(request), std::move(reply));
                           });
    if (!IsOk(server)) return RowOf(ErrorOf(server).kind).exit_code;
    HttpServer& listening = *ValueOf(server);
    loop_.OnTerminate([this, &listening] { Leave(listening); });
    loop_.Run();
    return 0;
  }

 private:
  // Nothing new; what runs ends first, so that no request is cut.
  void Leave(HttpServer& server) {
    gate_.SetLeaving(true);
    gate_.OnDrained([this, &server] {
      server.StopAccepting();
      last_answers_ = loop_.After(kLastAnswers, [this] { loop_.Stop(); });
    });
  }

  void Route(HttpRequest request, std::shared_ptr<HttpReply> reply) {
    if (request.path == "/agent/run") {
      gate_.OnDispatch(std::move(request), std::move(reply));
    } else if (request.path == "/agent/status") {
      reply->Send({200, "application/json", {}, Status()});
    } else if (request.path == "/rpc") {
      reply->Send({200, "application/json", {}, rpc_.Handle(request.body)});
    } else if (request.path == "/healthz") {
      reply->Send({200, "text/plain", {}, "ok\n"});
    } else if (request.path == "/readyz") {
      const bool ready = !gate_.leaving();
      reply->Send({ready ? 200 : 503, "text/plain", {}, ready ? "ready\n" : "leaving\n"});
    } else if (request.path == "/metrics") {
      reply->Send({200, "text/plain; version=0.0.4", {}, metrics_.PrometheusText()});
    } else {
      reply->Send(ProblemOf({ErrorKind::kNotFound, "no such path: " + request.path}));
    }
  }

  std::string Status() const {
    nlohmann::json serves = nlohmann::json::array();
    for (const ServiceName& service : models_.services()) serves.push_back(service.value);
    return nlohmann::json{{"node", settings_.common.node.value},
                          {"incarnation", incarnation_},
                          {"leaving", gate_.leaving()},
                          {"serves", serves},
                          {"stamp", Loop::Now().time_since_epoch().count()}}
        .dump();
  }

  const Settings& settings_;
  Incarnation incarnation_;
  Loop loop_;
  HttpClient client_{loop_};
  Metrics metrics_;
  RpcServer rpc_{&metrics_};
  ServedModels models_{loop_, client_, settings_.agent};
  AgentGate gate_;
  Timer last_answers_;
};

}  // namespace

int RunAgent(const Settings& settings) {
  return Agent(settings).Run();
}

}  // namespace figmill
