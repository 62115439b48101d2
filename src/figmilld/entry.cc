// The process that takes callers' requests.

#include <memory>

#include "figmill/runtime.h"
#include "figmilld/entry_batch.h"
#include "figmilld/entry_online.h"
#include "figmilld/members.h"
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
        batch_(loop_, BatchSettings(settings), metrics_),
        snapshot_timer_(loop_.Every(kSnapshotPeriod, [this] { PublishSnapshot(); })) {}

  int Run() {
    Result<std::unique_ptr<HttpServer>> server =
        HttpServer::Listen(loop_, settings_.common.http,
                           [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                             Route(std::move(request), std::move(reply));
                           });
    if (!IsOk(server)) return RowOf(ErrorOf(server).kind).exit_code;
    batch_.BindOrders(rpc_);
    loop_.OnTerminate([this] { Leave(); });
    loop_.Run();
    return 0;
  }

 private:
  static EntryBatchSettings BatchSettings(const Settings& settings) {
    EntryBatchSettings batch;
    batch.node = settings.common.node;
    batch.incarnation = static_cast<Incarnation>(Loop::WallNow().time_since_epoch().count());
    batch.platform = settings.common.platform;
    batch.store_timeout = settings.common.store_timeout;
    return batch;
  }
  // The jobs are handed over before the process goes.
  void Leave() {
    batch_.Drain([this] { loop_.Stop(); });
    grace_ = loop_.After(settings_.common.shutdown_grace, [this] { loop_.Stop(); });
  }

  void Route(HttpRequest request, std::shared_ptr<HttpReply> reply) {
    const bool completion =
        request.path == "/v1/completions" || request.path == "/v1/chat/completions";
    if (EntryBatch::Takes(request.path)) {
      batch_.OnRequest(std::move(request), std::move(reply));
    } else if (completion && request.method == "POST") {
      online_.OnCompletion(std::move(request), std::move(reply));
    } else if (request.path.starts_with("/v1/services/")) {
      online_.OnServiceCall(std::move(request), std::move(reply));
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

  void PublishSnapshot() {
    Snapshot snapshot;
    snapshot.members = members_.agents();
    Member self;
    self.node = settings_.common.node;
    self.http = settings_.common.http;
    snapshot.members.push_back(self);
    for (const Member& entry : members_.entries()) {
      if (entry.node != self.node) snapshot.members.push_back(entry);
    }
    const auto shared = std::make_shared<const Snapshot>(std::move(snapshot));
    online_.Update(shared);
    batch_.Update(shared);
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
  EntryBatch batch_;
  Timer snapshot_timer_;
  Timer grace_;
};

}  // namespace

int RunEntry(const Settings& settings) {
  return Entry(settings).Run();
}

}  // namespace figmill
