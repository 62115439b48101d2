// The process beside a backend server: every call to it passes here.

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "figmill/runtime.h"
#include "figmilld/agent_gate.h"
#include "figmilld/agent_orders.h"
#include "figmilld/control_shell.h"
#include "figmilld/engine_client.h"
#include "figmilld/placement_shell.h"
#include "figmilld/process.h"
#include "figmilld/served_models.h"

namespace figmill {
namespace {

// For the last answers to leave the sockets' buffers.
constexpr Duration kLastAnswers{200'000};
constexpr Duration kServesCheck{200'000};
// After the platform's list was last said to name this host as leaving.
constexpr Duration kListedLeaving{10'000'000};

class Agent {
 public:
  explicit Agent(const Settings& settings)
      : settings_(settings),
        self_(SelfAsMember(settings)),
        tracer_(loop_, client_, settings.common.trace_endpoint, "figmill-agent", metrics_),
        control_(loop_, metrics_, {self_, settings.common.platform, settings.common.store_timeout}),
        gate_({loop_, client_, metrics_, &tracer_}, settings.agent, self_.incarnation),
        platform_(client_, settings.common.platform, settings.common.store_timeout),
        engine_(client_, settings.agent.backend, settings.agent.backend_kind),
        placement_(
            {loop_, platform_, platform_, engine_, SystemRandom(), self_.node, self_.incarnation,
             [this](std::function<void()> drained) { BeginPlacing(std::move(drained)); },
             [this] { EndPlacing(); }},
            PlacerSettings{}) {
    BindAgentOrders(rpc_, gate_);
    rpc_.Bind("status", [this](std::string_view) -> Result<std::string> { return Status(); });
    rpc_.Bind("leave", [this](std::string_view) -> Result<std::string> {
      listed_leaving_until_ = Loop::Now() + kListedLeaving;
      SetLeaving();
      return std::string("{}");
    });
    control_.OnChange(
        [this](const std::shared_ptr<const Snapshot>& snapshot) { OnSnapshot(*snapshot); });
    control_.OnSuperseded([this] { End(RowOf(ErrorKind::kFenced).exit_code); });
    serves_timer_ = loop_.Every(kServesCheck, [this] { TellServes(); });
  }

  int Run() {
    Result<std::unique_ptr<HttpServer>> server =
        HttpServer::Listen(loop_, settings_.common.http,
                           [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                             Route(std::move(request), std::move(reply));
                           });
    if (!IsOk(server)) return Refuse(ErrorOf(server));
    server_ = std::move(ValueOf(server));
    const Result<Ok> started = control_.Start();
    if (!IsOk(started)) return Refuse(ErrorOf(started));
    Log(LogLevel::kInfo, "agent_started",
        {{"node", self_.node.value}, {"incarnation", std::to_string(self_.incarnation)}});
    loop_.OnTerminate([this] { Leave(); });
    loop_.Run();
    return exit_code_;
  }

 private:
  static int Refuse(const Error& error) {
    Log(LogLevel::kError, "agent_failed_to_start", {{"why", error.detail}});
    return RowOf(error.kind).exit_code;
  }

  void End(int code) {
    exit_code_ = code;
    loop_.Stop();
  }

  // Nothing new; what runs ends first, so that no request is cut. A second signal
  // ends the process at once.
  void Leave() {
    if (std::exchange(terminating_, true)) return End(0);
    Log(LogLevel::kInfo, "agent_leaving");
    control_.SetLeaving();
    gate_.SetLeaving(true);
    grace_timer_ = loop_.After(settings_.common.shutdown_grace, [this] { End(0); });
    gate_.OnDrained([this] {
      server_->StopAccepting();
      last_answers_ = loop_.After(kLastAnswers, [this] { End(0); });
    });
  }

  void OnSnapshot(const Snapshot& snapshot) {
    gate_.OnMembers(snapshot);
    gate_.SetOrders(snapshot.sequence);
    drained_ = snapshot.fold && snapshot.fold->drained.contains(self_.node);
    SetLeaving();
    if (snapshot.fold) placement_.OnFold(*snapshot.fold);
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
    control_.SetServes(told_serves_);
  }

  void Route(HttpRequest request, std::shared_ptr<HttpReply> reply) {
    const std::string& path = request.path;
    if (path == "/agent/run") {
      gate_.OnDispatch(std::move(request), std::move(reply));
    } else if (path == "/agent/status") {
      reply->Send({200, "application/json", {}, Status()});
    } else if (path == "/rpc") {
      reply->Send({200, "application/json", {}, rpc_.Handle(request.body)});
    } else if (ControlShell::Handles(path)) {
      control_.OnRequest(std::move(request), std::move(reply));
    } else if (path == "/healthz") {
      reply->Send({200, "text/plain", {}, "ok\n"});
    } else if (path == "/readyz") {
      TellReadiness(*reply);
    } else if (path == "/metrics") {
      reply->Send({200, "text/plain; version=0.0.4", {}, metrics_.PrometheusText()});
    } else {
      reply->Send(ProblemOf({ErrorKind::kNotFound, "no such path: " + path}));
    }
  }

  void TellReadiness(HttpReply& reply) const {
    if (gate_.leaving()) return reply.Send({503, "text/plain", {}, "leaving\n"});
    if (!control_.ready()) return reply.Send({503, "text/plain", {}, "orders not known yet\n"});
    reply.Send({200, "text/plain", {}, "ready\n"});
  }

  std::string Status() const {
    nlohmann::json serves = nlohmann::json::array();
    for (const ServiceName& service : models_.services()) serves.push_back(service.value);
    return nlohmann::json{
        {"node", self_.node.value},   {"incarnation", self_.incarnation},
        {"leaving", gate_.leaving()}, {"orders", control_.current()->sequence},
        {"serves", serves},           {"stamp", Loop::Now().time_since_epoch().count()}}
        .dump();
  }

  const Settings& settings_;
  Member self_;
  Loop loop_;
  HttpClient client_{loop_};
  Metrics metrics_;
  RpcServer rpc_{&metrics_};
  Tracer tracer_;
  ControlShell control_;
  ServedModels models_{loop_, client_, settings_.agent};
  AgentGate gate_;
  HttpPlatform platform_;
  EngineClient engine_;
  PlacementShell placement_;
  std::unique_ptr<HttpServer> server_;
  std::vector<ServiceName> told_serves_;
  bool terminating_ = false;
  bool drained_ = false;
  bool placing_ = false;
  Time listed_leaving_until_{};
  int exit_code_ = 0;
  Timer last_answers_, serves_timer_, grace_timer_;
};

}  // namespace

int RunAgent(const Settings& settings) {
  return Agent(settings).Run();
}

}  // namespace figmill
