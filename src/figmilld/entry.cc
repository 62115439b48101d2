// The process that takes callers' requests and owns batch jobs.

#include <memory>
#include <utility>

#include "figmill/runtime.h"
#include "figmilld/control_shell.h"
#include "figmilld/entry_batch.h"
#include "figmilld/entry_once.h"
#include "figmilld/entry_online.h"
#include "figmilld/entry_query.h"
#include "figmilld/once_view.h"
#include "figmilld/process.h"

namespace figmill {
namespace {

// How long the balancer may still send requests after /readyz has said no.
constexpr Duration kBalancerNotice{1'000'000};
constexpr Duration kIdleCheck{50'000};
// For the last answers to leave the sockets' buffers.
constexpr Duration kLastAnswers{200'000};

EntryBatchSettings BatchSettingsOf(const Settings& settings, Incarnation incarnation) {
  EntryBatchSettings batch;
  batch.node = settings.common.node;
  batch.incarnation = incarnation;
  batch.platform = settings.common.platform;
  batch.store_timeout = settings.common.store_timeout;
  return batch;
}

class Entry {
 public:
  explicit Entry(const Settings& settings)
      : settings_(settings),
        self_(SelfAsMember(settings)),
        platform_(client_, settings.common.platform, settings.common.store_timeout),
        tracer_(loop_, client_, settings.common.trace_endpoint, "figmill-entry", metrics_),
        control_(loop_, metrics_, {self_, settings.common.platform, settings.common.store_timeout}),
        online_(loop_, client_, rpc_, metrics_, tracer_, {self_.node, self_.data_centre}),
        batch_(loop_, BatchSettingsOf(settings, self_.incarnation), metrics_),
        query_({loop_, client_, platform_, platform_, control_, self_.node,
                [this](const JobId& job) { batch_.Cancel(job, [](const Result<JobRow>&) {}); }}),
        once_(loop_, client_, platform_, platform_, {self_.node, self_.incarnation},
              ViewOver(control_, self_),
              [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                RunStored(std::move(request), std::move(reply));
              }) {
    online_.SetOnce(&once_);
    batch_.BindOrders(rpc_);
    query_.BindRpc(rpc_);
    control_.OnChange([this](const std::shared_ptr<const Snapshot>& snapshot) {
      online_.Update(snapshot);
      batch_.Update(snapshot);
    });
    control_.OnSuperseded([this] { End(RowOf(ErrorKind::kFenced).exit_code); });
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
    Log(LogLevel::kInfo, "entry_started",
        {{"node", self_.node.value}, {"incarnation", std::to_string(self_.incarnation)}});
    loop_.OnTerminate([this] { Leave(); });
    loop_.Run();
    return exit_code_;
  }

 private:
  static int Refuse(const Error& error) {
    Log(LogLevel::kError, "entry_failed_to_start", {{"why", error.detail}});
    return RowOf(error.kind).exit_code;
  }

  void End(int code) {
    exit_code_ = code;
    loop_.Stop();
  }

  // The balancer is told first, then what runs is finished and the jobs handed
  // over. A second signal ends the process at once.
  void Leave() {
    if (std::exchange(leaving_, true)) return End(0);
    Log(LogLevel::kInfo, "entry_leaving", {{"in_flight", std::to_string(online_.in_flight())}});
    control_.SetLeaving();
    grace_timer_ = loop_.After(settings_.common.shutdown_grace, [this] { End(0); });
    batch_.Drain([this] { batch_drained_ = true; });
    idle_timer_ = loop_.After(kBalancerNotice, [this] { EndWhenIdle(); });
  }

  void EndWhenIdle() {
    // A keyed item's outcome is kept even when its caller has its answer already.
    if (!batch_drained_ || online_.in_flight() > 0 || once_.open() > 0) {
      idle_timer_ = loop_.After(kIdleCheck, [this] { EndWhenIdle(); });
      return;
    }
    server_->StopAccepting();
    idle_timer_ = loop_.After(kLastAnswers, [this] { End(0); });
  }

  void Route(HttpRequest request, std::shared_ptr<HttpReply> reply) {
    const std::string& path = request.path;
    if (path.starts_with("/v1/") && !EntryQuery::Handles(path)) {
      reply = query_.Recording(request, std::move(reply));
    }
    const bool completion = path == "/v1/completions" || path == "/v1/chat/completions";
    if (completion && request.method == "POST") {
      online_.OnCompletion(std::move(request), std::move(reply));
    } else if (path.starts_with("/v1/services/")) {
      online_.OnServiceCall(std::move(request), std::move(reply));
    } else if (EntryBatch::Takes(path)) {
      batch_.OnRequest(std::move(request), std::move(reply));
    } else if (path.starts_with("/v1/results/")) {
      once_.OnResult(request, std::move(reply));
    } else if (EntryQuery::Handles(path)) {
      query_.OnRequest(request, reply);
    } else {
      RouteInternal(std::move(request), std::move(reply));
    }
  }

  // An item accepted before. Its reply is its ticket, by which the online part knows
  // it: behind another reply it would be taken for a new request with the key, and
  // wait for its own outcome.
  void RunStored(HttpRequest request, std::shared_ptr<HttpReply> ticket) {
    if (request.path.starts_with("/v1/services/")) {
      online_.OnServiceCall(std::move(request), std::move(ticket));
    } else {
      online_.OnCompletion(std::move(request), std::move(ticket));
    }
  }

  // What processes and the platform ask for.
  void RouteInternal(HttpRequest request, std::shared_ptr<HttpReply> reply) {
    const std::string& path = request.path;
    if (path == "/once/write") {
      once_.OnWrite(request, std::move(reply));
    } else if (path == "/rpc") {
      reply->Send({200, "application/json", {}, rpc_.Handle(request.body)});
    } else if (ControlShell::Handles(path)) {
      control_.OnRequest(std::move(request), std::move(reply));
    } else if (path == "/metrics") {
      reply->Send({200, "text/plain; version=0.0.4", {}, metrics_.PrometheusText()});
    } else if (path == "/healthz") {
      reply->Send({200, "text/plain", {}, "ok\n"});
    } else if (path == "/readyz") {
      TellReadiness(*reply);
    } else {
      reply->Send(ProblemOf({ErrorKind::kNotFound, "no such path: " + path}));
    }
  }

  void TellReadiness(HttpReply& reply) const {
    if (leaving_) return reply.Send({503, "text/plain", {}, "leaving\n"});
    if (!control_.ready()) return reply.Send({503, "text/plain", {}, "orders not known yet\n"});
    reply.Send({200, "text/plain", {}, "ready\n"});
  }

  const Settings& settings_;
  Member self_;
  Metrics metrics_;
  RpcServer rpc_{&metrics_};
  Loop loop_;
  HttpClient client_{loop_};
  HttpPlatform platform_;
  Tracer tracer_;
  ControlShell control_;
  EntryOnline online_;
  EntryBatch batch_;
  EntryQuery query_;
  EntryOnce once_;
  std::unique_ptr<HttpServer> server_;
  bool leaving_ = false;
  bool batch_drained_ = false;
  int exit_code_ = 0;
  Timer grace_timer_, idle_timer_;
};

}  // namespace

int RunEntry(const Settings& settings) {
  return Entry(settings).Run();
}

}  // namespace figmill
