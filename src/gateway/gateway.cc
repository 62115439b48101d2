// The process: a control thread that follows the configuration, the list of
// backend servers and the other entries, and the main thread, which carries the
// traffic and the batch jobs.

#include "figmill/gateway.h"

#include <thread>
#include <utility>

#include "gateway/batch_runner.h"
#include "gateway/caller_door.h"
#include "gateway/clocked_tables.h"
#include "gateway/crash_watch.h"
#include "gateway/fleet_watch.h"
#include "gateway/job_desk.h"
#include "gateway/job_store.h"
#include "gateway/member_watch.h"
#include "gateway/open_sends.h"
#include "gateway/peer_link.h"
#include "gateway/store_caller.h"
#include "gateway/team_access.h"

namespace figmill {
namespace {

// The balancer asks once a second and takes a process out after two misses; until
// then new connections come in, and callers keep using open ones.
constexpr Duration kBalancerNotice{3'000'000};
constexpr Duration kIdleCheck{50'000};
// Entries by way of which the store may be reached; some may be turned away as well.
constexpr std::size_t kStorePeers = 12;
// Requests that come later than this before the kill are refused, as they could be
// cut: a stream lasts about a second, and waits for a place before.
constexpr Duration kLastRequest{3'000'000};
// Kept free of the time until the kill, for the last bytes.
constexpr Duration kGraceMargin{700'000};

// The control thread and what lives on it.
class Control {
 public:
  struct Hooks {
    FleetWatch::Hooks fleet;
    MemberWatch::Hooks members;
  };

  Control(const GatewaySettings& settings, const PlatformAdapter& adapter, Metrics& metrics,
          TrafficMetrics& traffic, const Peer& self, Hooks hooks)
      : client_(loop_),
        store_(loop_, client_, settings.store, traffic),
        tables_(adapter.Connect(store_)),
        fleet_(loop_, *tables_, adapter, metrics, settings.teams.lease(), std::move(hooks.fleet)),
        members_(loop_, *tables_, metrics, self, std::move(hooks.members)),
        thread_([this] {
          // In this order most have joined by the time at which others hear of them.
          fleet_.Start();
          members_.Start();
          loop_.Run();
        }) {}
  ~Control() {
    loop_.Stop();
    thread_.join();
  }

  void Leave() {
    loop_.Post([this] { members_.Leave(); });
  }
  void RemoveMember(const Peer& peer) {
    loop_.Post([this, peer] { members_.Remove(peer); });
  }
  void Rename(const Peer& self) {
    loop_.Post([this, self] { members_.Rename(self); });
  }
  void SetPeers(std::vector<Address> peers) {
    loop_.Post([this, peers = std::move(peers)]() mutable { store_.SetPeers(std::move(peers)); });
  }

 private:
  Loop loop_;
  NoRetryHttpClient client_;
  StoreCaller store_;
  std::unique_ptr<SharedTables> tables_;
  FleetWatch fleet_;
  MemberWatch members_;
  std::thread thread_;
};

Peer SelfOf(const GatewaySettings& settings) {
  const auto incarnation = static_cast<Incarnation>(Loop::WallNow().time_since_epoch().count());
  Peer self{settings.node, incarnation, settings.peers, settings.data_centre, settings.cores};
  self.joining = true;
  return self;
}

class Gateway {
 public:
  Gateway(const GatewaySettings& settings, const PlatformAdapter& adapter)
      : settings_(settings),
        client_(loop_),
        store_(loop_, client_, settings.store, traffic_),
        tables_(adapter.Connect(store_)),
        clocked_tables_(*tables_, clock_),
        places_(settings.data_centre, SystemRandom()),
        peers_(SelfOf(settings)),
        link_(loop_, peers_, places_, metrics_, traffic_,
              {[this] { return runner_.Waiting(); }, [this] { runner_.Pump(); },
               [this](const PlaceAnswer& answer) { finder_.OnAnswer(answer); },
               [this](const Peer& peer) { control_.RemoveMember(peer); },
               [this](const Peer& self) { control_.Rename(self); },
               [this](const Peer& from, const QuotaAsk& ask) { teams_.OnAsk(from, ask); },
               [this](const QuotaGrant& grant) { teams_.OnGrant(grant); }}),
        teams_(loop_, peers_, link_, metrics_, settings.teams),
        finder_(loop_, places_, link_),
        crashes_(loop_, client_, clocked_tables_, metrics_, settings.node),
        tools_{loop_,    client_, places_,         finder_,          sends_,
               crashes_, teams_,  adapter.names(), gateway_metrics_, traffic_},
        jobs_(loop_, clocked_tables_, metrics_, peers_, SystemRandom(),
              {[this](OwnedJob& job, const std::vector<ledger::ProgressPiece>& progress) {
                 runner_.OnOwned(job, progress);
               },
               [this](const JobId& job) { runner_.OnDropped(job); },
               [this](OwnedJob& job) { runner_.OnHandedOver(job); },
               [this](const JobRecord& head) { desk_.OnChanged(head); }}),
        runner_(tools_, jobs_, clock_, [this] { link_.WantedChanged(); }),
        desk_(loop_, jobs_, clock_, adapter),
        door_(tools_, adapter, desk_, SystemRandom()),
        control_(settings, adapter, metrics_, traffic_, peers_.self(), ControlHooks()) {
    places_.OnUse([this](const BackendId& backend) { link_.Touch(backend); });
  }

  int Run() {
    const Result<Ok> linked = link_.Start(settings_.seeds);
    if (!IsOk(linked)) {
      Log(LogLevel::kError, "cannot_listen", {{"why", ErrorOf(linked).detail}});
      return ErrorInfoOf(ErrorKind::kInternal).exit_code;
    }
    if (!Listen(settings_.callers, callers_,
                [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                  door_.OnRequest(std::move(request), std::move(reply));
                }) ||
        !Listen(settings_.health, health_,
                [this](const HttpRequest& /*request*/, const std::shared_ptr<HttpReply>& reply) {
                  TellReadiness(*reply);
                }) ||
        !Listen(settings_.peers, peers_server_,
                [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                  OnPeerRequest(std::move(request), std::move(reply));
                }) ||
        !Listen(settings_.metrics, metrics_server_,
                [this](const HttpRequest& /*request*/, const std::shared_ptr<HttpReply>& reply) {
                  UpdateGauges();
                  reply->Send({200, "text/plain; version=0.0.4", {}, metrics_.PrometheusText()});
                })) {
      return ErrorInfoOf(ErrorKind::kInternal).exit_code;
    }
    jobs_.Start();
    crashes_.Start();
    peers_timer_ = loop_.Every(PeerTable::kPresence, [this] { TellPeers(); });
    Log(LogLevel::kInfo, "started",
        {{"node", settings_.node.value},
         {"incarnation", std::to_string(peers_.self().incarnation)}});
    loop_.OnTerminate([this] { Leave(); });
    loop_.OnReload([] {
      Log(LogLevel::kInfo, "reload", {{"why", "settings are read at start; none to apply"}});
    });
    loop_.Run();
    Log(LogLevel::kInfo, "stopped", {{"node", settings_.node.value}});
    return 0;
  }

 private:
  Control::Hooks ControlHooks() {
    return {
        {[this](std::shared_ptr<const FleetView> view) {
           loop_.Post([this, view = std::move(view)] { Update(view); });
         },
         [this](Duration asked_at) { loop_.Post([this, asked_at] { teams_.Confirm(asked_at); }); }},
        {[this](const Peer& peer) { loop_.Post([this, peer] { link_.Named(peer); }); },
         [this](const NodeId& node) { loop_.Post([this, node] { link_.Unlisted(node); }); }}};
  }

  void OnPeerRequest(HttpRequest request, std::shared_ptr<HttpReply> reply) {
    if (StoreCaller::IsForwarded(request)) {
      return store_.Forward(std::move(request), std::move(reply));
    }
    reply->Send(ProblemOf({ErrorKind::kNotFound, "no such path: " + request.path}));
  }

  void UpdateGauges() {
    const auto set = [this](std::string_view name, std::string_view help, double value) {
      metrics_.gauge(name, help).Set(value);
    };
    set("figmill_requests_in_flight", "Requests without a final answer yet",
        static_cast<double>(door_.in_flight()));
    set("figmill_items_running", "Batch items that run", static_cast<double>(runner_.running()));
    set("figmill_items_waiting", "Batch items that could run", CountOf(runner_.Waiting()));
    set("figmill_jobs_owned", "Batch jobs that this entry owns",
        static_cast<double>(jobs_.owned()));
    set("figmill_peers_live", "Entries that are there, with this one",
        static_cast<double>(peers_.Live(Loop::Now()).size()));
    set("figmill_backends_known", "Backend servers in the list",
        static_cast<double>(places_.size()));
    set("figmill_config_version", "Version of the configuration in force",
        static_cast<double>(door_.config_version()));
    set("figmill_connections_opened", "Connections opened since the start",
        static_cast<double>(client_.connections_opened()));
    set("figmill_store_clock_age_seconds",
        "Since the store last told its time; -1 before it first did",
        SecondsOr(clock_.Age(Loop::SinceBoot()), -1));
    set("figmill_config_confirmed_age_seconds",
        "Since the store was last asked whether the configuration still holds; -1 before it was",
        SecondsOr(teams_.age(), -1));
    set("figmill_log_lines_dropped", "Log lines left out or lost since the start",
        static_cast<double>(LogLinesDropped()));
  }

  [[nodiscard]] static double SecondsOr(std::optional<Duration> time, double fallback) {
    return time ? std::chrono::duration<double>(*time).count() : fallback;
  }

  // By way of whom the store may be reached.
  void TellPeers() {
    std::vector<Address> peers;
    for (const Peer& peer : peers_.Capable(Loop::Now())) {
      if (peer.node != peers_.self().node) peers.push_back(peer.address);
      if (peers.size() == kStorePeers) break;
    }
    store_.SetPeers(peers);
    control_.SetPeers(std::move(peers));
  }

  void Update(const std::shared_ptr<const FleetView>& view) {
    for (const Address& address : ChangedAddresses(backends_, view->backends)) {
      client_.CloseIdleConnections(address);
    }
    backends_ = view->backends;
    teams_.SetRoutes(view->routes);
    door_.Update(view);
    runner_.SetRoutes(view->routes);
    std::vector<BackendInfo> backends;
    backends.reserve(view->backends.size());
    for (const auto& [id, info] : view->backends) backends.push_back(info);
    link_.SetBackends(std::move(backends));
    if (view->backends_listed) link_.Joined();
    EndOutdatedSends();
  }

  // After the place book has heard of the new incarnations: what ends here goes on at them.
  void EndOutdatedSends() {
    const OpenSends::Ended ended = sends_.EndOutdated(backends_, Loop::Now());
    if (ended.lost > 0) {
      Log(LogLevel::kWarning, "sends_lost",
          {{"why", "their backend server has started again"},
           {"sends", std::to_string(ended.lost)},
           {"in_doubt", std::to_string(ended.in_doubt)}});
      runner_.Pump();
    }
    if (ended.in_doubt == 0) return outdated_timer_.Reset();
    outdated_timer_ = loop_.After(OpenSends::kSignOfLife, [this] { EndOutdatedSends(); });
  }

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
    if (!teams_.ready()) return reply.Send({503, "text/plain", {}, "keys not confirmed\n"});
    reply.Send({200, "text/plain", {}, "ready\n"});
  }

  void Leave() {
    if (std::exchange(leaving_, true)) return loop_.Stop();
    Log(LogLevel::kInfo, "leaving", {{"in_flight", std::to_string(door_.in_flight())}});
    door_.SetLeaving();
    desk_.SetLeaving();
    link_.Leave();
    control_.Leave();
    jobs_.Leave([this] { jobs_left_ = true; });
    grace_timer_ = loop_.After(settings_.shutdown_grace - kGraceMargin, [this] { loop_.Stop(); });
    last_request_timer_ =
        loop_.After(settings_.shutdown_grace - kLastRequest, [this] { door_.RefuseAll(); });
    idle_timer_ = loop_.After(kBalancerNotice, [this] { StopWhenIdle(); });
  }

  void StopWhenIdle() {
    callers_->CloseIdle();
    const bool idle = door_.in_flight() == 0 && desk_.in_flight() == 0;
    if (idle && callers_->open_replies() == 0 && jobs_left_) return loop_.Stop();
    idle_timer_ = loop_.After(kIdleCheck, [this] { StopWhenIdle(); });
  }

  const GatewaySettings& settings_;
  Metrics metrics_;
  GatewayMetrics gateway_metrics_{metrics_};
  TrafficMetrics traffic_{metrics_};
  Loop loop_;
  NoRetryHttpClient client_;
  StoreCaller store_;
  std::unique_ptr<SharedTables> tables_;
  StoreClock clock_;
  ClockedTables clocked_tables_;
  PlaceBook places_;
  BackendList backends_;  // of the view in use
  OpenSends sends_;
  PeerTable peers_;
  PeerLink link_;
  TeamAccess teams_;
  PlaceFinder finder_;
  CrashWatch crashes_;
  RelayTools tools_;
  JobStore jobs_;
  BatchRunner runner_;
  JobDesk desk_;
  CallerDoor door_;
  std::unique_ptr<HttpServer> callers_, health_, peers_server_, metrics_server_;
  bool leaving_ = false;
  bool jobs_left_ = false;
  Timer grace_timer_, idle_timer_, last_request_timer_, peers_timer_, outdated_timer_;
  Control control_;
};

}  // namespace

int RunGateway(const GatewaySettings& settings, const PlatformAdapter& adapter) {
  return Gateway(settings, adapter).Run();
}

}  // namespace figmill
