// The agent process, which runs next to a backend server and proxies every call to it.

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "figmill/runtime.h"
#include "figmilld/agent/agent_rpc.h"
#include "figmilld/agent/dispatch_handler.h"
#include "figmilld/agent/engine_client.h"
#include "figmilld/agent/placement_executor.h"
#include "figmilld/daemon.h"
#include "figmilld/process.h"
#include "figmilld/traffic/served_models.h"

namespace figmill {
namespace {

constexpr Duration kServedModelsCheckPeriod{200'000};
// How long the agent counts as leaving after the last "leave" call, which reports that
// the platform lists this host as leaving.
constexpr Duration kListedLeavingDuration{10'000'000};

class Agent {
 public:
  explicit Agent(const Settings& settings)
      : daemon_(settings, "agent"),
        models_(daemon_.loop(), daemon_.client(), settings.agent),
        dispatch_handler_({daemon_.loop(), daemon_.client(), daemon_.metrics(), &daemon_.tracer()},
                          settings.agent, daemon_.self().incarnation),
        engine_(daemon_.client(), settings.agent.backend, settings.agent.backend_kind),
        placement_executor_(
            {daemon_.loop(), daemon_.platform(), daemon_.platform(), engine_, SystemRandom(),
             daemon_.self().node, daemon_.self().incarnation,
             [this](std::function<void()> drained) { BeginReconfiguration(std::move(drained)); },
             [this] { EndReconfiguration(); }},
            ReconcilerSettings{}) {
    RpcServer& rpc = daemon_.rpc();
    BindAgentRpc(rpc, dispatch_handler_);
    rpc.Bind("status", [this](std::string_view) -> Result<std::string> { return Status(); });
    rpc.Bind("leave", [this](std::string_view) -> Result<std::string> {
      listed_leaving_until_ = Loop::Now() + kListedLeavingDuration;
      UpdateLeaving();
      return std::string("{}");
    });
    served_models_timer_ =
        daemon_.loop().Every(kServedModelsCheckPeriod, [this] { PublishServedModels(); });
  }

  int Run() {
    return daemon_.Run({
        [this](HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
          return Route(request, reply);
        },
        [this](std::function<void()> finished) { Leave(std::move(finished)); },
        [this] { return dispatch_handler_.leaving(); },
        [this](const std::shared_ptr<const RoutingSnapshot>& snapshot) { OnSnapshot(*snapshot); },
    });
  }

 private:
  void Leave(std::function<void()> finished) {
    terminating_ = true;
    UpdateLeaving();
    dispatch_handler_.NotifyWhenDrained(std::move(finished));
  }

  void OnSnapshot(const RoutingSnapshot& snapshot) {
    dispatch_handler_.UpdateEntries(snapshot);
    dispatch_handler_.SetControlSequence(snapshot.sequence);
    drained_ =
        snapshot.control_state && snapshot.control_state->drained.contains(daemon_.self().node);
    UpdateLeaving();
    if (snapshot.control_state) placement_executor_.OnControlState(*snapshot.control_state);
    for (const ServiceName& service : models_.services()) {
      const auto found = snapshot.config->services.find(service);
      if (found != snapshot.config->services.end()) {
        dispatch_handler_.SetTarget(found->second.target);
      }
    }
  }

  // Refuses new work while at least one reason holds; the reasons are independent.
  void UpdateLeaving() {
    const bool listed = Loop::Now() < listed_leaving_until_;
    dispatch_handler_.SetLeaving(terminating_ || drained_ || reconfiguring_ || listed);
  }

  // Called before the engine changes its models or role.
  void BeginReconfiguration(std::function<void()> drained) {
    reconfiguring_ = true;
    UpdateLeaving();
    if (!terminating_) dispatch_handler_.NotifyWhenDrained(std::move(drained));
  }
  void EndReconfiguration() {
    reconfiguring_ = false;
    UpdateLeaving();
    if (!terminating_) dispatch_handler_.NotifyWhenDrained(nullptr);
  }

  void PublishServedModels() {
    UpdateLeaving();
    if (models_.services() == published_services_) return;
    published_services_ = models_.services();
    daemon_.control().SetServes(published_services_);
  }

  bool Route(HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
    if (request.path == "/agent/run") {
      dispatch_handler_.OnDispatch(std::move(request), reply);
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
                          {"leaving", dispatch_handler_.leaving()},
                          {"orders", daemon_.control().current()->sequence},
                          {"serves", serves},
                          {"stamp", Loop::Now().time_since_epoch().count()}}
        .dump();
  }

  Daemon daemon_;
  ServedModels models_;
  DispatchHandler dispatch_handler_;
  EngineClient engine_;
  PlacementExecutor placement_executor_;
  std::vector<ServiceName> published_services_;
  bool terminating_ = false;
  bool drained_ = false;
  bool reconfiguring_ = false;
  Time listed_leaving_until_{};
  Timer served_models_timer_;
};

}  // namespace

int RunAgent(const Settings& settings) {
  return Agent(settings).Run();
}

}  // namespace figmill
