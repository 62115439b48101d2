#pragma once

// What every process of the daemon has: its loop, HTTP server, control state,
// metrics and traces; how it starts under its supervisor, leaves and ends.

#include <functional>
#include <memory>
#include <string>

#include "figmill/runtime.h"
#include "figmilld/control/control_shell.h"
#include "figmilld/settings.h"

namespace figmill {

class Daemon {
 public:
  // What the kinds of process differ in. Called on the loop.
  struct Hooks {
    // Takes a request on one of this kind's own paths; false for other paths.
    std::function<bool(HttpRequest& request, const std::shared_ptr<HttpReply>& reply)> route;
    // Nothing new from now on; `finished` is called when what ran has ended.
    std::function<void(std::function<void()> finished)> leave;
    std::function<bool()> leaving;
    std::function<void(const std::shared_ptr<const RoutingSnapshot>& snapshot)> changed;
  };

  // `kind` names the process in logs and traces.
  Daemon(const Settings& settings, std::string kind);
  ~Daemon();

  // Until the process is told to stop or fails. Returns the exit code.
  [[nodiscard]] int Run(Hooks hooks);

  [[nodiscard]] const Settings& settings() const { return settings_; }
  [[nodiscard]] const Member& self() const { return self_; }
  [[nodiscard]] Loop& loop() { return loop_; }
  [[nodiscard]] HttpClient& client() { return client_; }
  [[nodiscard]] Metrics& metrics() { return metrics_; }
  [[nodiscard]] RpcServer& rpc() { return rpc_; }
  [[nodiscard]] HttpPlatform& platform() { return platform_; }
  [[nodiscard]] Tracer& tracer() { return tracer_; }
  [[nodiscard]] ControlShell& control() { return control_; }
  [[nodiscard]] const ControlShell& control() const { return control_; }

 private:
  class HttpChild;
  class ControlChild;

  void BuildTree();
  void RunLoop();
  void End(int code);
  void Fail(const Error& error);
  void Leave();
  void EndAfterLastAnswers();
  void Route(HttpRequest request, const std::shared_ptr<HttpReply>& reply);
  void TellReadiness(HttpReply& reply) const;

  const Settings& settings_;
  std::string kind_;
  Member self_;
  Metrics metrics_;
  RpcServer rpc_{&metrics_};
  Loop loop_;
  HttpClient client_{loop_};
  HttpPlatform platform_;
  Tracer tracer_;
  ControlShell control_;
  Hooks hooks_;
  std::unique_ptr<HttpServer> server_;
  Supervisor root_;
  bool terminating_ = false;
  int exit_code_ = 0;
  Timer grace_timer_, last_answers_;
};

}  // namespace figmill
