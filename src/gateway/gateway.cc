// The process: a control thread that follows the configuration and the list of
// backend servers, and the main thread, which carries the traffic.

#include "figmill/gateway.h"

#include <thread>
#include <utility>

#include "gateway/caller_door.h"
#include "gateway/fleet_watch.h"

namespace figmill {
namespace {

// The balancer asks once a second and takes a process out after two misses; until
// then new connections come in, and callers keep using open ones.
constexpr Duration kBalancerNotice{3'000'000};
constexpr Duration kIdleCheck{50'000};
// Kept free of the time until the kill, for the last bytes.
constexpr Duration kGraceMargin{700'000};

// The control thread and what lives on it.
class Control {
 public:
  Control(const GatewaySettings& settings, const PlatformAdapter& adapter,
          std::function<void(std::shared_ptr<const FleetView>)> publish)
      : client_(loop_),
        tables_(adapter.Connect(loop_, client_, settings.store)),
        watch_(loop_, *tables_, adapter, std::move(publish)),
        thread_([this] {
          watch_.Start();
          loop_.Run();
        }) {}
  ~Control() {
    loop_.Stop();
    thread_.join();
  }

 private:
  Loop loop_;
  ExchangeClient client_;
  std::unique_ptr<SharedTables> tables_;
  FleetWatch watch_;
  std::thread thread_;
};

class Gateway {
 public:
  Gateway(const GatewaySettings& settings, const PlatformAdapter& adapter)
      : settings_(settings),
        client_(loop_),
        places_(settings.data_centre),
        door_({loop_, client_, places_, adapter.names(), metrics_}, SystemRandom()),
        control_(settings, adapter, [this](std::shared_ptr<const FleetView> view) {
          loop_.Post([this, view = std::move(view)]() mutable { door_.Update(std::move(view)); });
        }) {}

  int Run() {
    if (!Listen(settings_.callers, callers_,
                [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                  door_.OnRequest(std::move(request), std::move(reply));
                }) ||
        !Listen(settings_.health, health_,
                [this](const HttpRequest& /*request*/, const std::shared_ptr<HttpReply>& reply) {
                  TellReadiness(*reply);
                }) ||
        !Listen(settings_.metrics, metrics_server_,
                [this](const HttpRequest& /*request*/, const std::shared_ptr<HttpReply>& reply) {
                  reply->Send({200, "text/plain; version=0.0.4", {}, metrics_.PrometheusText()});
                })) {
      return RowOf(ErrorKind::kInternal).exit_code;
    }
    Log(LogLevel::kInfo, "started", {{"node", settings_.node.value}});
    loop_.OnTerminate([this] { Leave(); });
    loop_.Run();
    Log(LogLevel::kInfo, "stopped", {{"node", settings_.node.value}});
    return 0;
  }

 private:
  bool Listen(const Address& at, std::unique_ptr<HttpServer>& server, HttpHandler handler) {
    Result<std::unique_ptr<HttpServer>> made = HttpServer::Listen(loop_, at, std::move(handler));
    if (!IsOk(made)) {
      Log(LogLevel::kError, "cannot_listen", {{"why", ErrorOf(made).detail}});
      return false;
    }
    server = std::move(ValueOf(made));
    return true;
  }

  void TellReadiness(HttpReply& reply) const {
    if (leaving_) return reply.Send({503, "text/plain", {}, "leaving\n"});
    if (!door_.ready()) return reply.Send({503, "text/plain", {}, "no configuration yet\n"});
    reply.Send({200, "text/plain", {}, "ready\n"});
  }

  void Leave() {
    if (std::exchange(leaving_, true)) return loop_.Stop();
    Log(LogLevel::kInfo, "leaving", {{"in_flight", std::to_string(door_.in_flight())}});
    door_.SetLeaving();
    grace_timer_ = loop_.After(settings_.shutdown_grace - kGraceMargin, [this] { loop_.Stop(); });
    idle_timer_ = loop_.After(kBalancerNotice, [this] { StopWhenIdle(); });
  }

  void StopWhenIdle() {
    if (door_.in_flight() == 0) return loop_.Stop();
    idle_timer_ = loop_.After(kIdleCheck, [this] { StopWhenIdle(); });
  }

  const GatewaySettings& settings_;
  Metrics metrics_;
  Loop loop_;
  ExchangeClient client_;
  PlaceBook places_;
  CallerDoor door_;
  std::unique_ptr<HttpServer> callers_, health_, metrics_server_;
  bool leaving_ = false;
  Timer grace_timer_, idle_timer_;
  Control control_;
};

}  // namespace

int RunGateway(const GatewaySettings& settings, const PlatformAdapter& adapter) {
  return Gateway(settings, adapter).Run();
}

}  // namespace figmill
