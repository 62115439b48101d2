// The gateway process: a control thread that follows the configuration, the list of
// backend servers and the other entries, and the main thread, which serves requests
// and runs batch jobs.

#include "figmill/gateway.h"

#include <thread>
#include <utility>

#include "gateway/batch_runner.h"
#include "gateway/clock_syncing_tables.h"
#include "gateway/crash_tracker.h"
#include "gateway/engine_speed_metrics.h"
#include "gateway/entry_registry.h"
#include "gateway/feed_relay.h"
#include "gateway/fleet_watcher.h"
#include "gateway/job_request_handler.h"
#include "gateway/job_store.h"
#include "gateway/open_sends.h"
#include "gateway/peer_messenger.h"
#include "gateway/relayed_tables.h"
#include "gateway/request_dispatcher.h"
#include "gateway/store_proxies.h"
#include "gateway/store_transport.h"
#include "gateway/stream_sources_client.h"
#include "gateway/team_access.h"

namespace figmill {
namespace {

// Callers keep using open connections for a while after the load balancer has removed the process.
constexpr Duration kIdleCheckDelay{3'000'000};
constexpr Duration kIdleCheckPeriod{50'000};
constexpr Duration kFeedRelaysCheckPeriod{500'000};
// The same for a while after the start, when the other entries become known.
constexpr Duration kFeedRelaysStartPeriod{50'000};
constexpr Duration kStartPhase{3'000'000};
constexpr Duration kShedLogPeriod{1'000'000};
// The control thread and the objects that it runs.
class ControlThread {
 public:
  struct Hooks {
    FleetWatcher::Hooks fleet;
    EntryRegistry::Hooks members;
  };

  ControlThread(const GatewaySettings& settings, const PlatformAdapter& adapter, Metrics& metrics,
                TrafficMetrics& traffic, StoreCallMetrics& store_calls, const Peer& self,
                Hooks hooks)
      : client_(loop_),
        store_(loop_, client_, settings.store, traffic, store_calls),
        tables_(adapter.Connect(store_)),
        relayed_tables_(*tables_, client_, metrics, traffic),
        fleet_(loop_, {ConfigTables(settings), relayed_tables_, EntryRegistry::kTable}, adapter,
               metrics, settings.teams.key_lease(), std::move(hooks.fleet)),
        members_(loop_, relayed_tables_, metrics, self, std::move(hooks.members)),
        thread_([this] {
          // In this order most entries have joined before others learn of them.
          fleet_.Start([this] { members_.Start(); });
          loop_.Run();
        }) {}
  ~ControlThread() {
    loop_.Stop();
    thread_.join();
  }

  void Leave() {
    loop_.Post([this] { members_.Leave(); });
  }
  void RemoveMember(const Peer& peer) {
    loop_.Post([this, peer] { members_.Remove(peer); });
  }
  void UpdateSelf(const Peer& self) {
    loop_.Post([this, self] { members_.UpdateSelf(self); });
  }
  void SetPeers(std::vector<Address> peers) {
    loop_.Post([this, peers = std::move(peers)]() mutable { store_.SetPeers(std::move(peers)); });
  }
  void SetRelays(std::vector<Address> relays) {
    loop_.Post([this, relays = std::move(relays)]() mutable {
      relayed_tables_.SetRelays(std::move(relays));
    });
  }

 private:
  // With a strict bound on revocation the age of the configuration decides whether keys are
  // believed, and a relay would add to it.
  SharedTables& ConfigTables(const GatewaySettings& settings) {
    if (settings.teams.key_lease()) return *tables_;
    return relayed_tables_;
  }

  Loop loop_;
  NoRetryHttpClient client_;
  StoreTransport store_;
  std::unique_ptr<SharedTables> tables_;
  RelayedTables relayed_tables_;
  FleetWatcher fleet_;
  EntryRegistry members_;
  std::thread thread_;
};

std::vector<std::string> TablesOf(const PlatformAdapter& adapter) {
  return {adapter.config_row().table,         adapter.backend_table(),
          std::string(EntryRegistry::kTable), std::string(CrashTracker::kTable),
          std::string(ledger::kJobTable),     std::string(ledger::kItemTable),
          std::string(ledger::kResultTable),  std::string(ledger::kProgressTable),
          std::string(VersionHistory::kTable)};
}

std::vector<FeedRelay::Table> RelayedFeeds(const PlatformAdapter& adapter) {
  return {{adapter.config_row().table, {adapter.config_row().part}},
          {adapter.backend_table(), {""}, FleetWatcher::kMinBackendsInterval},
          {VersionHistory::kTable, {""}},
          {EntryRegistry::kTable, {""}, EntryRegistry::kMinFeedInterval},
          {CrashTracker::kTable, {""}},
          {std::string(ledger::kJobTable), ledger::Parts(), JobStore::kMinFeedInterval}};
}

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
        store_calls_(metrics_, TablesOf(adapter)),
        store_(loop_, client_, settings.store, traffic_, store_calls_),
        tables_(adapter.Connect(store_)),
        relayed_tables_(*tables_, client_, metrics_, traffic_),
        clock_syncing_tables_(relayed_tables_, clock_),
        feed_relay_(loop_, *tables_, RelayedFeeds(adapter), metrics_),
        backend_pool_(settings.data_centre, SystemRandom()),
        peers_(SelfOf(settings)),
        peer_messenger_(loop_, peers_, backend_pool_, metrics_, traffic_,
                        {[this] { return runner_.Waiting(); }, [this] { runner_.UpdateRuns(); },
                         [this](const SlotResponse& answer) { slot_finder_.OnAnswer(answer); },
                         [this](const Peer& peer) { control_thread_.RemoveMember(peer); },
                         [this](const Peer& self) { control_thread_.UpdateSelf(self); },
                         [this](const Peer& from, const QuotaRequest& ask) {
                           team_access_.OnQuotaRequest(from, ask);
                         },
                         [this](const QuotaGrant& grant) { team_access_.OnQuotaGrant(grant); },
                         [this](const Peer& from, const StreamMessage& message) {
                           stream_sources_.OnMessage(from, message);
                         }}),
        team_access_(loop_, peers_, peer_messenger_, metrics_, settings.teams),
        slot_finder_(loop_, backend_pool_, peer_messenger_),
        stream_sources_(loop_, peers_, peer_messenger_, *tables_, clock_, metrics_),
        crash_tracker_(loop_, client_, clock_syncing_tables_, metrics_, settings.node, adapter),
        relay_context_{loop_,           client_,          backend_pool_,  slot_finder_,
                       stream_sources_, open_sends_,      crash_tracker_, team_access_,
                       adapter.names(), gateway_metrics_, traffic_},
        jobs_(loop_, clock_syncing_tables_, metrics_, peers_, SystemRandom(),
              {[this](OwnedJob& job, const std::vector<ledger::ProgressPiece>& progress) {
                 runner_.OnOwned(job, progress);
               },
               [this](const JobId& job) { runner_.OnDropped(job); },
               [this](OwnedJob& job) { runner_.OnReleasing(job); },
               [this](const JobRecord& head) { job_requests_.OnChanged(head); }}),
        runner_(relay_context_, jobs_, clock_, [this] { peer_messenger_.OnWaitingChanged(); }),
        job_requests_(loop_, jobs_, clock_, adapter),
        request_dispatcher_(relay_context_, adapter, job_requests_, SystemRandom()),
        control_thread_(settings, adapter, metrics_, traffic_, store_calls_, peers_.self(),
                        ControlHooks()) {
    relayed_tables_.SetDirectInterval(FeedSourceSelector::kDirectInterval);
    backend_pool_.SetUsageListener(
        [this](const BackendId& backend) { peer_messenger_.OnUsageChanged(backend); });
  }

  int Run() {
    const Result<Ok> linked = peer_messenger_.Start(settings_.seeds);
    if (!IsOk(linked)) {
      Log(LogLevel::kError, "cannot_listen", {{"why", ErrorOf(linked).detail}});
      return ErrorInfoOf(ErrorKind::kInternal).exit_code;
    }
    if (!Listen(
            settings_.callers, callers_,
            [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
              request_dispatcher_.OnRequest(std::move(request), std::move(reply));
            },
            [this] { return AcceptConnection(); }) ||
        !Listen(settings_.health, health_,
                [this](const HttpRequest& /*request*/, const std::shared_ptr<HttpReply>& reply) {
                  SendReadiness(*reply);
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
    crash_tracker_.Start();
    store_proxies_timer_ = loop_.Every(PeerTable::kProbeInterval, [this] { UpdateStoreProxies(); });
    feed_relays_timer_ = loop_.Every(kFeedRelaysStartPeriod, [this] { UpdateFeedRelays(); });
    lag_timer_ = loop_.Every(LagMonitor::kInterval, [this] { MeasureLag(); });
    shed_log_timer_ = loop_.Every(kShedLogPeriod, [this] { LogShedConnections(); });
    start_phase_timer_ = loop_.After(kStartPhase, [this] {
      feed_relays_timer_ = loop_.Every(kFeedRelaysCheckPeriod, [this] { UpdateFeedRelays(); });
    });
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
  ControlThread::Hooks ControlHooks() {
    return {{[this](std::shared_ptr<const FleetView> view) {
               loop_.Post([this, view = std::move(view)] { ApplyFleetView(view); });
             },
             [this](Duration asked_at) {
               loop_.Post([this, asked_at] { team_access_.Confirm(asked_at); });
             }},
            {[this](const Peer& peer) {
               loop_.Post([this, peer] { peer_messenger_.OnPeerListed(peer); });
             },
             [this](const NodeId& node) {
               loop_.Post([this, node] { peer_messenger_.OnPeerUnlisted(node); });
             }}};
  }

  void OnPeerRequest(HttpRequest request, std::shared_ptr<HttpReply> reply) {
    if (StoreTransport::IsForwarded(request)) {
      return store_.Forward(std::move(request), std::move(reply));
    }
    if (FeedRelay::IsFeedRequest(request)) {
      return feed_relay_.OnRequest(request, std::move(reply));
    }
    reply->Send(ProblemOf({ErrorKind::kNotFound, "no such path: " + request.path}));
  }

  void UpdateGauges() {
    const auto set = [this](std::string_view name, std::string_view help, double value) {
      metrics_.gauge(name, help).Set(value);
    };
    set("figmill_requests_in_flight", "Requests without a final answer yet",
        static_cast<double>(request_dispatcher_.in_flight()));
    set("figmill_items_running", "Batch items that run", static_cast<double>(runner_.running()));
    set("figmill_items_waiting", "Batch items that could run", CountItems(runner_.Waiting()));
    set("figmill_jobs_owned", "Batch jobs that this entry owns",
        static_cast<double>(jobs_.owned()));
    set("figmill_peers_live", "Entries that are there, with this one",
        static_cast<double>(peers_.Live(Loop::Now()).size()));
    set("figmill_backends_known", "Backend servers in the list",
        static_cast<double>(backend_pool_.size()));
    set("figmill_config_version", "Version of the configuration in force",
        static_cast<double>(request_dispatcher_.config_version()));
    set("figmill_connections_opened", "Connections opened since the start",
        static_cast<double>(client_.connections_opened()));
    set("figmill_store_clock_age_seconds",
        "Since the store last told its time; -1 before it first did",
        SecondsOr(clock_.Age(Loop::SinceBoot()), -1));
    set("figmill_config_confirmed_age_seconds",
        "Since the store was last asked whether the configuration still holds; -1 before it was",
        SecondsOr(team_access_.config_age(), -1));
    engine_speed_metrics_.Update(peer_messenger_.allocator());
    set("figmill_log_lines_dropped", "Log lines left out or lost since the start",
        static_cast<double>(LogLinesDropped()));
  }

  [[nodiscard]] static double SecondsOr(std::optional<Duration> time, double fallback) {
    return time ? std::chrono::duration<double>(*time).count() : fallback;
  }

  // Sets the entries that may forward calls to the store.
  void UpdateStoreProxies() {
    std::vector<Address> peers = StoreProxiesFor(peers_, Loop::Now());
    store_.SetPeers(peers);
    control_thread_.SetPeers(std::move(peers));
  }

  void UpdateFeedRelays() {
    std::vector<Address> relays = FeedSourceSelector::RelaysFor(peers_, Loop::Now());
    relayed_tables_.SetRelays(relays);
    control_thread_.SetRelays(std::move(relays));
  }

  void ApplyFleetView(const std::shared_ptr<const FleetView>& view) {
    for (const Address& address : ChangedAddresses(backends_, view->backends)) {
      client_.CloseIdleConnections(address);
    }
    backends_ = view->backends;
    if (view->backends_loaded) crash_tracker_.OnBackendsListed(backends_);
    team_access_.SetRoutes(view->routes);
    request_dispatcher_.Update(view);
    runner_.SetRoutes(view->routes);
    std::vector<BackendInfo> backends;
    backends.reserve(view->backends.size());
    for (const auto& [id, info] : view->backends) backends.push_back(info);
    stream_sources_.SetHistory(view->versions, view->history_followed, view->incomplete_services);
    peer_messenger_.SetBackends(std::move(backends));
    if (view->usable()) peer_messenger_.Join();
    EndOutdatedSends();
  }

  // Runs after the backend pool has the new incarnations: requests that end here are retried there.
  void EndOutdatedSends() {
    const OpenSends::Ended ended = open_sends_.EndOutdated(backends_, Loop::Now());
    if (ended.lost > 0) {
      Log(LogLevel::kWarning, "sends_lost",
          {{"why", "their backend server has started again"},
           {"sends", std::to_string(ended.lost)},
           {"in_doubt", std::to_string(ended.in_doubt)}});
      runner_.UpdateRuns();
    }
    if (ended.in_doubt == 0) return outdated_timer_.Reset();
    outdated_timer_ = loop_.After(OpenSends::kRecentActivity, [this] { EndOutdatedSends(); });
  }

  bool Listen(const Address& at, std::unique_ptr<HttpServer>& server, HttpHandler handler,
              HttpServer::ConnectionFilter filter = nullptr) {
    Result<std::unique_ptr<HttpServer>> listening =
        HttpServer::Listen(loop_, at, std::move(handler), std::move(filter));
    if (!IsOk(listening)) {
      Log(LogLevel::kError, "cannot_listen", {{"why", ErrorOf(listening).detail}});
      return false;
    }
    server = std::move(ValueOf(listening));
    return true;
  }

  bool AcceptConnection() {
    if (lag_monitor_.keeps_up()) return true;
    const bool others = peers_.Live(Loop::Now()).size() > 1;
    if (!others) return true;
    connections_shed_.Add();
    if (Loop::Now() - shed_logged_at_ >= kShedLogPeriod) LogShedConnections();
    return false;
  }

  void MeasureLag() {
    const Time now = Loop::Now();
    lag_monitor_.Measure(now - lag_measured_at_ - LagMonitor::kInterval);
    lag_measured_at_ = now;
  }

  void LogShedConnections() {
    const std::uint64_t shed = connections_shed_.value();
    if (shed == connections_logged_) return;
    shed_logged_at_ = Loop::Now();
    Log(LogLevel::kWarning, "connections_closed_unread",
        {{"why", "this entry does not keep up with its callers"},
         {"connections", std::to_string(shed - connections_logged_)},
         {"in_flight", std::to_string(request_dispatcher_.in_flight())}});
    connections_logged_ = shed;
  }

  void SendReadiness(HttpReply& reply) const {
    if (leaving_) return reply.Send({503, "text/plain", {}, "leaving\n"});
    if (!request_dispatcher_.ready())
      return reply.Send({503, "text/plain", {}, "no configuration yet\n"});
    if (peers_.self().joining)
      return reply.Send({503, "text/plain", {}, "backend servers not known yet\n"});
    if (!team_access_.ready()) return reply.Send({503, "text/plain", {}, "keys not confirmed\n"});
    reply.Send({200, "text/plain", {}, "ready\n"});
  }

  void Leave() {
    if (std::exchange(leaving_, true)) return loop_.Stop();
    Log(LogLevel::kInfo, "leaving",
        {{"in_flight", std::to_string(request_dispatcher_.in_flight())}});
    const Time now = Loop::Now();
    const ShutdownPlan plan(now, settings_.shutdown_grace);
    request_dispatcher_.SetLeaving(plan);
    job_requests_.SetLeaving();
    feed_relay_.SetLeaving();
    peer_messenger_.Leave();
    control_thread_.Leave();
    jobs_.Leave([this] { jobs_released_ = true; });
    grace_timer_ = loop_.After(plan.end() - now, [this] { loop_.Stop(); });
    request_cutoff_timer_ =
        loop_.After(plan.open_until() - now, [this] { request_dispatcher_.RefuseTooLate(); });
    idle_timer_ = loop_.After(kIdleCheckDelay, [this] { StopWhenIdle(); });
  }

  void StopWhenIdle() {
    callers_->CloseIdle();
    const bool idle = request_dispatcher_.in_flight() == 0 && job_requests_.in_flight() == 0;
    if (idle && callers_->open_replies() == 0 && jobs_released_) return loop_.Stop();
    idle_timer_ = loop_.After(kIdleCheckPeriod, [this] { StopWhenIdle(); });
  }

  const GatewaySettings& settings_;
  Metrics metrics_;
  GatewayMetrics gateway_metrics_{metrics_};
  EngineSpeedMetrics engine_speed_metrics_{metrics_};
  TrafficMetrics traffic_{metrics_};
  Loop loop_;
  NoRetryHttpClient client_;
  StoreCallMetrics store_calls_;
  StoreTransport store_;
  std::unique_ptr<SharedTables> tables_;
  RelayedTables relayed_tables_;
  StoreClock clock_;
  ClockSyncingTables clock_syncing_tables_;
  FeedRelay feed_relay_;
  BackendPool backend_pool_;
  BackendList backends_;  // of the FleetView in use
  OpenSends open_sends_;
  PeerTable peers_;
  PeerMessenger peer_messenger_;
  TeamAccess team_access_;
  SlotFinder slot_finder_;
  StreamSourcesClient stream_sources_;
  CrashTracker crash_tracker_;
  RelayContext relay_context_;
  JobStore jobs_;
  BatchRunner runner_;
  JobRequestHandler job_requests_;
  RequestDispatcher request_dispatcher_;
  std::unique_ptr<HttpServer> callers_, health_, peers_server_, metrics_server_;
  LagMonitor lag_monitor_;
  Time lag_measured_at_ = Loop::Now();
  Counter& connections_shed_ = metrics_.counter(
      "figmill_connections_closed_unread_total",
      "Connections of callers closed before a request was read, for lack of processor time");
  std::uint64_t connections_logged_ = 0;
  Time shed_logged_at_{};
  bool leaving_ = false;
  bool jobs_released_ = false;
  Timer grace_timer_, idle_timer_, request_cutoff_timer_, store_proxies_timer_, outdated_timer_,
      feed_relays_timer_, start_phase_timer_, lag_timer_, shed_log_timer_;
  ControlThread control_thread_;
};

}  // namespace

int RunGateway(const GatewaySettings& settings, const PlatformAdapter& adapter) {
  return Gateway(settings, adapter).Run();
}

}  // namespace figmill
