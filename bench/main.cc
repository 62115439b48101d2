// figmill-bench: harm to online tail latency and batch throughput, in phases
// that alternate within one run against a running fleet.

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "bench/fleet.h"
#include "bench/report.h"
#include "standin/engine_model.h"

namespace figmill::bench {
namespace {

struct Options {
  std::string fleet_file;
  double online_share = 0.3;  // of the engines' bound, in online tokens
  PhasePlan plan;
  OnlineShape online;
  BatchShape batch;
  std::uint64_t seed = 1;
  std::string json_file;
  std::string svg_file;
};

void AddDuration(CLI::App& app, const std::string& flag, Duration& into, const std::string& help) {
  app.add_option_function<double>(
         flag,
         [&into](double seconds) { into = Duration(static_cast<std::int64_t>(seconds * 1e6)); },
         help)
      ->check(CLI::Range(0.1, 3600.0))
      ->type_name("SECONDS");
}

void AddOptions(CLI::App& app, Options& options) {
  app.add_option("--fleet", options.fleet_file, "fleet.json of a running fleet")->required();
  app.add_option("--online-share", options.online_share,
                 "online load as a share of the engines' bound [0.3]")
      ->check(CLI::Range(0.0, 2.0));
  app.add_option("--rounds", options.plan.rounds, "how often each phase comes [3]")
      ->check(CLI::Range(1, 100));
  AddDuration(app, "--warm-up", options.plan.warm_up, "unmeasured start of a phase [3]");
  AddDuration(app, "--measured", options.plan.measured, "measured part of a phase [12]");
  app.add_option("--answer-tokens", options.online.answer_tokens, "of an online answer [40]")
      ->check(CLI::Range(1, 4096));
  app.add_option("--batch-answer-tokens", options.batch.answer_tokens, "of a batch answer [80]")
      ->check(CLI::Range(1, 4096));
  app.add_option("--seed", options.seed, "of arrivals and job names [1]");
  app.add_option("--json", options.json_file, "write the figures here");
  app.add_option("--svg", options.svg_file, "write the plot here");
}

// The engines' bound for batch answers, from the stand-in's stated cost model.
double EngineBound(const Options& options, std::size_t engines) {
  const standin::EngineCosts costs;
  return static_cast<double>(engines) * standin::TokensPerSecondBound(costs,
                                                                      options.batch.prompt_words,
                                                                      options.batch.answer_tokens);
}

int Fail(const Error& error) {
  std::cerr << "figmill-bench: " << error.detail << "\n";
  return ErrorInfoOf(error.kind).exit_code;
}

int Run(Options& options) {
  const Result<Fleet> loaded = LoadFleet(options.fleet_file);
  if (!IsOk(loaded)) return Fail(ErrorOf(loaded));
  const Fleet& fleet = ValueOf(loaded);
  const double bound = EngineBound(options, fleet.engines.size());
  options.online.targets = options.batch.entries = fleet.entries;
  options.online.model = options.batch.model = fleet.models.front();
  options.online.requests_per_second = bound * options.online_share / options.online.answer_tokens;
  Loop loop;
  HttpClient client(loop);
  OnlineLoad online(loop, client, options.online, options.seed);
  BatchLoad batch(loop, client, options.batch, options.seed);
  PhaseRunner runner(loop, client, options.plan, fleet.engines, online, batch);
  Result<Ok> outcome = Ok{};
  runner.Run([&](Result<Ok> result) {
    outcome = std::move(result);
    loop.Stop();
  });
  loop.Run();
  if (!IsOk(outcome)) return Fail(ErrorOf(outcome));
  const Summary summary = Summarise(runner, bound);
  std::cout << ToText(summary);
  std::cout << "jobs accepted " << batch.accepted() << ", refused " << batch.refused() << "\n";
  if (!options.json_file.empty()) std::ofstream(options.json_file) << ToJson(summary);
  if (!options.svg_file.empty()) std::ofstream(options.svg_file) << ToSvg(summary);
  return 0;
}

}  // namespace
}  // namespace figmill::bench

int main(int argc, char** argv) {
  figmill::bench::Options options;
  CLI::App app("figmill-bench: online harm and batch throughput of a running fleet");
  figmill::bench::AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  return figmill::bench::Run(options);
}
