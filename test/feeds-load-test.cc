// Calls at the store and the time that changes take, for fleets of several sizes, in virtual time.

#include <doctest/doctest.h>

#include <cmath>

#include "feed-sim.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using sim::FeedFigures;
using sim::FeedScenario;
using sim::FeedSimulation;

namespace {

// A configuration is in force everywhere within this, and a backend server that leaves gets no new
// work.
constexpr Duration kChangeBound{2'000'000};

FeedScenario FleetOf(int entries) {
  FeedScenario scenario;
  scenario.entries = entries;
  scenario.changes_per_s = entries / 20.0;
  scenario.length = Duration{12'000'000};
  return scenario;
}

}  // namespace

// Guards against calls that grow with the product of entries and changes.
TEST_CASE("calls at the store per entry don't rise with the fleet") {
  const FeedFigures small = FeedSimulation(FleetOf(130)).Run();
  const FeedFigures fleet = FeedSimulation(FleetOf(420)).Run();
  const FeedFigures large = FeedSimulation(FleetOf(1000)).Run();
  const auto exponent = [](double a, double b, double n, double m) {
    return std::log(b / a) / std::log(m / n);
  };
  CHECK(exponent(small.calls_per_s, fleet.calls_per_s, 130, 420) <= 1.05);
  CHECK(exponent(fleet.calls_per_s, large.calls_per_s, 420, 1000) <= 1.05);
  CHECK(large.change_worst <= kChangeBound);
}

TEST_CASE("changes reach all entries in time when a relay of each data centre is killed") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FeedScenario scenario = FleetOf(420);
    scenario.kill_relays = true;
    scenario.seed = seed;
    CHECK(FeedSimulation(scenario).Run().change_worst <= kChangeBound);
  }
}
