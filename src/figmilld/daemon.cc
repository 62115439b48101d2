#include "figmilld/daemon.h"

#include <exception>
#include <utility>

#include "figmilld/process.h"

namespace figmill {
namespace {

// For the last answers to leave the sockets' buffers.
constexpr Duration kLastAnswers{200'000};

// The root restarts nothing: the server and the control state can't be had back
// without those who use them, and a host keeps nothing that a new process, which
// the platform starts, would lack.
constexpr RestartPolicy kNoRestarts{0, Duration{1'000'000}};

}  // namespace

class Daemon::HttpChild final : public Child {
 public:
  explicit HttpChild(Daemon& daemon) : daemon_(daemon) {}
  Result<Ok> Start(std::function<void(Error)> /*failed*/) override {
    Result<std::unique_ptr<HttpServer>> server =
        HttpServer::Listen(daemon_.loop_, daemon_.settings_.common.http,
                           [this](HttpRequest request, const std::shared_ptr<HttpReply>& reply) {
                             daemon_.Route(std::move(request), reply);
                           });
    if (!IsOk(server)) return ErrorOf(server);
    daemon_.server_ = std::move(ValueOf(server));
    return Ok{};
  }
  void Stop() override {
    if (daemon_.server_) daemon_.server_->StopAccepting();
  }

 private:
  Daemon& daemon_;
};

class Daemon::ControlChild final : public Child {
 public:
  explicit ControlChild(ControlShell& control) : control_(control) {}
  Result<Ok> Start(std::function<void(Error)> failed) override {
    return control_.Start(std::move(failed));
  }
  void Stop() override { control_.Stop(); }

 private:
  ControlShell& control_;
};

Daemon::Daemon(const Settings& settings, std::string kind)
    : settings_(settings),
      kind_(std::move(kind)),
      self_(SelfAsMember(settings)),
      platform_(client_, settings.common.platform, settings.common.store_timeout),
      tracer_(loop_, client_, settings.common.trace_endpoint, "figmill-" + kind_, metrics_),
      control_(loop_, metrics_, {self_, settings.common.platform, settings.common.store_timeout}),
      root_(loop_, "root", kNoRestarts) {}

Daemon::~Daemon() = default;

void Daemon::BuildTree() {
  root_.Add("http", [this] { return std::make_unique<HttpChild>(*this); });
  root_.Add("control", [this] { return std::make_unique<ControlChild>(control_); });
}

int Daemon::Run(Hooks hooks) {
  hooks_ = std::move(hooks);
  control_.OnChange(hooks_.changed);
  control_.OnSuperseded([this] { End(ErrorInfoOf(ErrorKind::kFenced).exit_code); });
  BuildTree();
  const Result<Ok> started = root_.Start([this](const Error& error) { Fail(error); });
  if (!IsOk(started)) {
    Fail(ErrorOf(started));
    return exit_code_;
  }
  Log(LogLevel::kInfo, kind_ + "_started",
      {{"node", self_.node.value}, {"incarnation", std::to_string(self_.incarnation)}});
  loop_.OnTerminate([this] { Leave(); });
  RunLoop();
  return exit_code_;
}

// A defect that throws on the traffic thread ends the process with its cause
// logged, in place of an abort that says nothing.
void Daemon::RunLoop() {
  try {
    loop_.Run();
  } catch (const std::exception& defect) {
    Fail({ErrorKind::kInternal, std::string("traffic: ") + defect.what()});
  }
}

void Daemon::End(int code) {
  exit_code_ = code;
  loop_.Stop();
}

void Daemon::Fail(const Error& error) {
  Log(LogLevel::kError, kind_ + "_failed", {{"why", error.detail}});
  End(ErrorInfoOf(error.kind).exit_code);
}

// What runs ends first, so that no request is cut. A second signal ends the
// process at once.
void Daemon::Leave() {
  if (std::exchange(terminating_, true)) return End(0);
  Log(LogLevel::kInfo, kind_ + "_leaving");
  control_.SetLeaving();
  grace_timer_ = loop_.After(settings_.common.shutdown_grace, [this] { End(0); });
  hooks_.leave([this] { EndAfterLastAnswers(); });
}

void Daemon::EndAfterLastAnswers() {
  server_->StopAccepting();
  last_answers_ = loop_.After(kLastAnswers, [this] { End(0); });
}

void Daemon::Route(HttpRequest request, const std::shared_ptr<HttpReply>& reply) {
  if (hooks_.route(request, reply)) return;
  const std::string& path = request.path;
  if (path == "/rpc") {
    reply->Send({200, "application/json", {}, rpc_.Handle(request.body)});
  } else if (ControlShell::Handles(path)) {
    control_.OnRequest(std::move(request), reply);
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

void Daemon::TellReadiness(HttpReply& reply) const {
  if (terminating_ || hooks_.leaving()) return reply.Send({503, "text/plain", {}, "leaving\n"});
  if (!control_.ready()) return reply.Send({503, "text/plain", {}, "orders not known yet\n"});
  reply.Send({200, "text/plain", {}, "ready\n"});
}

}  // namespace figmill
