// The process beside a backend server: every call to it passes here.

#include <memory>
#include <nlohmann/json.hpp>

#include "figmill/runtime.h"
#include "figmilld/agent_gate.h"
#include "figmilld/process.h"

namespace figmill {
namespace {

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
        gate_(client_, settings.agent, incarnation_) {}

  int Run() {
    Result<std::unique_ptr<HttpServer>> server =
        HttpServer::Listen(loop_, settings_.common.http,
                           [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                             Route(std::move(request), std::move(reply));
                           });
    if (!IsOk(server)) return RowOf(ErrorOf(server).kind).exit_code;
    loop_.OnTerminate([this] { loop_.Stop(); });
    loop_.Run();
    return 0;
  }

 private:
  void Route(HttpRequest request, std::shared_ptr<HttpReply> reply) {
    if (request.path == "/agent/run") {
      gate_.OnDispatch(std::move(request), std::move(reply));
    } else if (request.path == "/agent/status") {
      Status(*reply);
    } else if (request.path == "/healthz" || request.path == "/readyz") {
      reply->Send({200, "text/plain", {}, "ok\n"});
    } else {
      reply->Send(ProblemOf({ErrorKind::kNotFound, "no such path: " + request.path}));
    }
  }

  void Status(HttpReply& reply) const {
    const nlohmann::json status = {{"node", settings_.common.node.value},
                                   {"incarnation", incarnation_}};
    reply.Send({200, "application/json", {}, status.dump()});
  }

  const Settings& settings_;
  Incarnation incarnation_;
  Loop loop_;
  HttpClient client_{loop_};
  AgentGate gate_;
};

}  // namespace

int RunAgent(const Settings& settings) {
  return Agent(settings).Run();
}

}  // namespace figmill
