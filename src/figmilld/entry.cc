// The process that takes callers' requests.

#include <memory>

#include "figmill/runtime.h"
#include "figmilld/entry_once.h"
#include "figmilld/entry_online.h"
#include "figmilld/members.h"
#include "figmilld/once_relay.h"
#include "figmilld/process.h"

namespace figmill {
namespace {

constexpr Duration kSnapshotPeriod{200'000};

class Entry {
 public:
  explicit Entry(const Settings& settings)
      : settings_(settings),
        platform_(client_, settings.common.platform, settings.common.store_timeout),
        tracer_(loop_, client_, settings.common.trace_endpoint, "figmill-entry", metrics_),
        online_(loop_, client_, rpc_, metrics_, tracer_,
                {settings.common.node, settings.common.data_centre}),
        once_(loop_, client_, platform_, platform_, self_, View(),
              [this](OnlineWork work, OnlineSink sink, ClaimAttempt claim) {
                return online_.Run(std::move(work), std::move(sink), std::move(claim));
              }),
        snapshot_timer_(loop_.Every(kSnapshotPeriod, [this] { PublishSnapshot(); })) {
    online_.SetOnceHandler([this](OnlineWork work, std::shared_ptr<HttpReply> reply) {
      once_.Handle(std::move(work), std::move(reply));
    });
  }

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
    const bool completion =
        request.path == "/v1/completions" || request.path == "/v1/chat/completions";
    if (completion && request.method == "POST") {
      online_.OnCompletion(std::move(request), std::move(reply));
    } else if (request.path.starts_with("/v1/services/")) {
      online_.OnServiceCall(std::move(request), std::move(reply));
    } else if (request.method == "GET" && request.path.starts_with("/v1/results/")) {
      once_.OnResult(request, std::move(reply));
    } else if (request.method == "POST" && request.path == kOnceWritePath) {
      once_.OnWrite(request, std::move(reply));
    } else if (request.path == "/rpc") {
      reply->Send({200, "application/json", {}, rpc_.Handle(request.body)});
    } else if (request.path == "/metrics") {
      reply->Send({200, "text/plain; version=0.0.4", {}, metrics_.PrometheusText()});
    } else if (request.path == "/healthz") {
      reply->Send({200, "text/plain", {}, "ok\n"});
    } else if (request.path == "/readyz") {
      const bool ready = !members_.agents().empty();
      reply->Send({ready ? 200 : 503, "text/plain", {}, ready ? "ready\n" : "not ready\n"});
    } else {
      reply->Send(ProblemOf({ErrorKind::kNotFound, "no such path: " + request.path}));
    }
  }

  // How keyed items see the other processes.
  OnceView View() {
    OnceView view;
    view.agent = [this](const NodeId& node) -> std::optional<Member> {
      for (const Member& agent : members_.agents()) {
        if (agent.node == node) return agent;
      }
      return std::nullopt;
    };
    view.gone = [this, agent = view.agent](const OnceParty& party) {
      if (party.node == self_.node) return party.incarnation < self_.incarnation;
      const std::optional<Member> member = agent(party.node);
      return member && party.incarnation < member->incarnation;
    };
    view.writer = [] { return std::optional<Address>(); };
    view.caretaker = [] { return true; };
    return view;
  }

  void PublishSnapshot() {
    Snapshot snapshot;
    snapshot.members = members_.agents();
    Member self;
    self.node = settings_.common.node;
    self.http = settings_.common.http;
    snapshot.members.push_back(self);
    online_.Update(std::make_shared<const Snapshot>(std::move(snapshot)));
  }

  const Settings& settings_;
  Metrics metrics_;
  RpcServer rpc_{&metrics_};
  Loop loop_;
  HttpClient client_{loop_};
  HttpPlatform platform_;
  Members members_{loop_, client_, platform_};
  Tracer tracer_;
  EntryOnline online_;
  // Milliseconds since the epoch: a later process in the same slot gets a higher
  // number, since a process takes longer than that to start.
  OnceParty self_{settings_.common.node,
                  static_cast<Incarnation>(Loop::WallNow().time_since_epoch().count())};
  EntryOnce once_;
  Timer snapshot_timer_;
};

}  // namespace

int RunEntry(const Settings& settings) {
  return Entry(settings).Run();
}

}  // namespace figmill
