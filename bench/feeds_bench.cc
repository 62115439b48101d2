// What following one table costs the store, for fleets of several sizes, with relays and without:
// a simulation in virtual time.

#include <fmt/core.h>

#include <CLI/CLI.hpp>

#include "test/feed-sim.h"

int main(int argc, char** argv) {
  using namespace figmill;  // NOLINT(google-build-using-namespace): a program of one function
  CLI::App app("Calls at the store and time of changes, by size of the fleet");
  std::vector<int> sizes{42, 130, 420, 1000, 2100};
  double changes_per_entry = 0.05;
  sim::FeedScenario scenario;
  app.add_option("--entries", sizes, "Sizes of the fleet")->delimiter(',');
  app.add_option("--changes", changes_per_entry, "Changes a second for each entry");
  app.add_option("--data-centres", scenario.data_centres, "Number of data centres");
  app.add_option("--lost", scenario.lost, "Share of the store's responses that are lost");
  app.add_flag("--kill-relays", scenario.kill_relays, "Kill a relay of each data centre");
  app.add_option("--seed", scenario.seed, "Seed");
  CLI11_PARSE(app, argc, argv);
  fmt::print("{:>8} {:>7} {:>9} {:>10} {:>12} {:>10} {:>10}\n", "entries", "relays", "calls/s",
             "per entry", "polls/relay", "mean ms", "worst ms");
  for (const int entries : sizes) {
    for (const bool relays : {false, true}) {
      scenario.entries = entries;
      scenario.relays = relays;
      scenario.changes_per_s = changes_per_entry * entries;
      const sim::FeedFigures figures = sim::FeedSimulation(scenario).Run();
      fmt::print("{:>8} {:>7} {:>9.1f} {:>10.2f} {:>12.1f} {:>10.1f} {:>10.1f}\n", entries,
                 relays ? "yes" : "no", figures.calls_per_s, figures.calls_per_entry_s,
                 figures.relay_polls_per_s, static_cast<double>(figures.change_mean.count()) / 1e3,
                 static_cast<double>(figures.change_worst.count()) / 1e3);
    }
  }
  return 0;
}
