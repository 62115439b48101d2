// The process beside a backend server: every call to it passes here.

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "figmill/runtime.h"
#include "figmilld/agent/agent_gate.h"
#include "figmilld/agent/agent_orders.h"
#include "figmilld/agent/engine_client.h"
#include "figmilld/agent/placement_shell.h"
#include "figmilld/daemon.h"
#include "figmilld/process.h"
#include "figmilld/traffic/served_models.h"

namespace figmill {
namespace {

constexpr Duration kServesCheck{200'000};
// After the platform's list was last said to name this host as leaving.
constexpr Duration kListedLeaving{10'000'000};

class Agent {
 public:
  explicit Agent(const Settings& settings)
      : daemon_(settings, "agent"),
        models_(daemon_.loop(), daemon_.client(), settings.agent),
        gate_({daemon_.loop(), daemon_.client(), daemon_.metrics(), &daemon_.tracer()},
              settings.agent, daemon_.self().incarnation),
        engine_(daemon_.client(), settings.agent.backend, settings.agent.backend_kind),
        placement_({daemon_.loop(), daemon_.platform(), daemon_.platform(), engine_, SystemRandom(),
                    daemon_.self().node, daemon_.self().incarnation,
                    [this](std::function<void()> drained) { BeginPlacing(std::move(drained)); },
                    [this] { EndPlacing(); }},
                   ReconcilerSettings{}) {
    RpcServer& rpc = daemon_.rpc();
    BindAgentOrders(rpc, gate_);
    rpc.Bind("status", [this](std::string_view) -> Result<std::string> { return Status(); });
    rpc.Bind("leave", [this](std::string_view) -> Result<std::string> {
      listed_leaving_until_ = Loop::Now() + kListedLeaving;
      SetLeaving();
      return std::string("{}");
    });
    serves_timer_ = daemon_.loop().Every(kServesCheck, [this] { TellServes(); });
  }

  int Run() {
    return daemon_.Run({
        [this](HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
          return Route(request, reply);
        },
        [this](std::function<void()> finished) { Leave(std::move(finished)); },
        [this] { return gate_.leaving(); },
        [this](const std::shared_ptr<const RoutingSnapshot>& snapshot) { OnSnapshot(*snapshot); },
    });
  }

 private:
  void Leave(std::function<void()> finished) {
    terminating_ = true;
    SetLeaving();
    gate_.OnDrained(std::move(finished));
  }

  void OnSnapshot(const RoutingSnapshot& snapshot) {
    gate_.OnMembers(snapshot);
    gate_.SetOrders(snapshot.sequence);
    drained_ =
        snapshot.control_state && snapshot.control_state->drained.contains(daemon_.self().node);
    SetLeaving();
    if (snapshot.control_state) placement_.OnFold(*snapshot.control_state);
    for (const ServiceName& service : models_.services()) {
      const auto found = snapshot.config->services.find(service);
      if (found != snapshot.config->services.end()) gate_.SetTarget(found->second.target);
    }
  }

  // Whatever holds new work off; each reason ends on its own.
  void SetLeaving() {
    const bool listed = Loop::Now() < listed_leaving_until_;
    gate_.SetLeaving(terminating_ || drained_ || placing_ || listed);
  }

  // The engine is about to change its models or role.
  void BeginPlacing(std::function<void()> drained) {
    placing_ = true;
    SetLeaving();
    if (!terminating_) gate_.OnDrained(std::move(drained));
  }
  void EndPlacing() {
    placing_ = false;
    SetLeaving();
    if (!terminating_) gate_.OnDrained(nullptr);
  }

  void TellServes() {
    SetLeaving();
    if (models_.services() == told_serves_) return;
    told_serves_ = models_.services();
    daemon_.control().SetServes(told_serves_);
  }

  bool Route(HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
    if (request.path == "/agent/run") {
      gate_.OnDispatch(std::move(request), reply);
    } else if (request.path == "/agent/status") {
      reply->Send({200, "application/json", {}, Status()});
    } else {
      return false;
    }
    return true;
  }

  std::string Status() const {
    nlohmann::json serves = nlohmann::json::array();
    for (const ServiceName& service : models_.services()) serves.push_back(service.value);
    return nlohmann::json{{"node", daemon_.self().node.value},
                          {"incarnation", daemon_.self().incarnation},
                          {"leaving", gate_.leaving()},
                          {"orders", daemon_.control().current()->sequence},
                          {"serves", serves},
                          {"stamp", Loop::Now().time_since_epoch().count()}}
        .dump();
  }

  Daemon daemon_;
  ServedModels models_;
  AgentGate gate_;
  EngineClient engine_;
  PlacementShell placement_;
  std::vector<ServiceName> told_serves_;
  bool terminating_ = false;
  bool drained_ = false;
  bool placing_ = false;
  Time listed_leaving_until_{};
  Timer serves_timer_;
};

}  // namespace

int RunAgent(const Settings& settings) {
  return Agent(settings).Run();
}

}  // namespace figmill
