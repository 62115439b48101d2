// figmill-standin: small servers that take the platform's, a model engine's or
// a plain service's place in tests and trials.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <random>

#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"

namespace figmill::standin {
namespace {

// Serves until SIGTERM.
template <typename Handler>
int Serve(Loop& loop, const Address& at, Handler& handler) {
  auto server =
      HttpServer::Listen(loop, at, [&handler](const HttpRequest& request, const auto& reply) {
        handler.Handle(request, reply);
      });
  if (!IsOk(server)) {
    std::fprintf(stderr, "%s\n", ErrorOf(server).detail.c_str());
    return 1;
  }
  std::printf("listening %s\n", ToString(ValueOf(server)->address()).c_str());
  std::fflush(stdout);
  loop.OnTerminate([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

CLI::Validator AddressForm() {
  return CLI::Validator(
      [](std::string& text) {
        const auto parsed = ParseAddress(text);
        return IsOk(parsed) ? std::string() : ErrorOf(parsed).detail;
      },
      "IP:PORT");
}

CLI::Option* AddHttp(CLI::App& command, Address& http) {
  return command
      .add_option_function<std::string>(
          "--http", [&http](const std::string& text) { http = ValueOf(ParseAddress(text)); },
          "where to listen; port 0 takes a free one")
      ->required()
      ->check(AddressForm());
}

// A whole number of `Unit` into a Duration.
template <typename Unit>
CLI::Option* AddDuration(CLI::App& command, const std::string& name, Duration& value,
                         const std::string& help) {
  const auto now = std::chrono::duration_cast<Unit>(value).count();
  return command
      .add_option_function<std::uint32_t>(
          name, [&value](std::uint32_t count) { value = Unit(count); },
          help + " [" + std::to_string(now) + "]")
      ->check(CLI::Range(0U, 3'600'000U));
}

template <typename T>
void AddCount(CLI::App& command, const std::string& name, T& value, const std::string& help) {
  command.add_option(name, value, help)->check(CLI::PositiveNumber)->capture_default_str();
}

void AddCosts(CLI::App& command, EngineCosts& costs) {
  using std::chrono::microseconds;
  AddDuration<microseconds>(command, "--step-base-us", costs.step_base, "a step's fixed time");
  AddDuration<microseconds>(command, "--step-per-running-us", costs.per_running,
                            "a step's time for each running stream");
  AddDuration<microseconds>(command, "--step-per-prefill-us", costs.per_prefill_token,
                            "a step's time for each prompt token it prefills");
  AddCount(command, "--prefill-budget", costs.prefill_budget, "prompt tokens in one step");
  AddCount(command, "--max-running", costs.max_running, "streams in one step");
  AddCount(command, "--max-waiting", costs.max_waiting, "streams in the queue");
  AddCount(command, "--kv-tokens", costs.kv_tokens, "KV memory");
}

void AddEngine(CLI::App& command, EngineSettings& settings) {
  using std::chrono::milliseconds;
  AddHttp(command, settings.http);
  command.add_option("--model", settings.models, "loaded at the start: NAME or NAME@VERSION")
      ->required();
  command.add_option("--checks-fencing", settings.checks_fencing, "refuse orders of lower fence")
      ->capture_default_str();
  command.add_flag("--cancel-on-disconnect", settings.cancel_on_disconnect,
                   "a stream ends with its last connection");
  AddCosts(command, settings.costs);
  AddDuration<milliseconds>(command, "--load-lag-ms", settings.load_lag, "age of the load report")
      ->check(CLI::PositiveNumber);
  AddDuration<milliseconds>(command, "--cache-event-lag-ms", settings.cache_event_lag,
                            "age of cache events")
      ->check(CLI::PositiveNumber);
  command.add_option("--cache-event-loss", settings.cache_event_loss, "share of events lost")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  AddDuration<milliseconds>(command, "--load-model-ms", settings.load_model_time,
                            "time that loading a model or adapter takes");
}

void AddPlatform(CLI::App& command, PlatformSettings& settings) {
  using std::chrono::milliseconds;
  AddHttp(command, settings.http);
  AddCount(command, "--writes-per-second", settings.writes_per_second, "of each store");
  AddCount(command, "--reads-per-second", settings.reads_per_second, "of each store");
  AddCount(command, "--weight-bytes-per-second", settings.weight_bytes_per_second,
           "of the weight store");
  AddDuration<milliseconds>(command, "--latency-ms", settings.latency, "of each call");
  AddDuration<milliseconds>(command, "--host-lag-ms", settings.host_lag, "of the host list");
}

void AddService(CLI::App& command, ServiceSettings& settings) {
  AddHttp(command, settings.http);
  command.add_option("--name", settings.name, "told in answers")->required();
  AddDuration<std::chrono::milliseconds>(command, "--delay-ms", settings.delay,
                                         "time that an answer takes");
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-ins for the platform, model engines and plain services");
  app.require_subcommand(1);
  std::uint64_t seed = 1;
  app.add_option("--seed", seed, "of what is random")->capture_default_str();
  EngineSettings engine_settings;
  PlatformSettings platform_settings;
  ServiceSettings service_settings;
  CLI::App* engine = app.add_subcommand("engine", "a model engine");
  CLI::App* platform = app.add_subcommand("platform", "the platform's stores");
  CLI::App* service = app.add_subcommand("service", "a plain service");
  AddEngine(*engine, engine_settings);
  AddPlatform(*platform, platform_settings);
  AddService(*service, service_settings);
  CLI11_PARSE(app, argc, argv);

  Loop loop;
  if (engine->parsed()) {
    Engine handler(loop, engine_settings, std::mt19937_64(seed));
    return Serve(loop, engine_settings.http, handler);
  }
  if (platform->parsed()) {
    Platform handler(loop, platform_settings);
    return Serve(loop, platform_settings.http, handler);
  }
  Service handler(loop, service_settings);
  return Serve(loop, service_settings.http, handler);
}

}  // namespace
}  // namespace figmill::standin

int main(int argc, char** argv) {
  return figmill::standin::Main(argc, argv);
}
