#include <doctest/doctest.h>

#include "test/engine-speeds.h"

using namespace figmill;       // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::sim;  // NOLINT(google-build-using-namespace): tests read better

// Guards against items that are begun on slots which the next load peak takes back.
TEST_CASE("items are stopped less often where speeds are known, and online starts in time") {
  const Comparison both = Compare(ThreeSpeeds());
  MESSAGE("runs a result " << RunsPerResult(both.unknown) << " unknown, "
                           << RunsPerResult(both.known) << " known");
  CHECK(RunsPerResult(both.known) < RunsPerResult(both.unknown));
  CHECK(StoppedShare(both.known) < StoppedShare(both.unknown));
  CHECK(both.known.items_in_time == both.known.items);
  CHECK(both.known.items_in_time >= both.known.items_due);
  CHECK(both.known.late + both.known.refused < 0.005 * both.known.online);
}

// Guards against streams that go on to an engine that has become five times slower.
TEST_CASE("an engine that turns slow gets few online requests after a second and a half") {
  Load load;
  load.online_per_s = 130;
  load.low = load.high = 1;
  load.simulated_time = Duration{18'000'000};
  load.slow_factor = 5;
  load.slow_from = Duration{10'000'000};
  load.slow_until = Duration{16'500'000};
  const Outcome outcome = Simulation(load, true, 7).Run();
  const double usual = load.online_per_s / load.engines * 5;
  MESSAGE(outcome.known_slow << " of usually " << usual);
  CHECK(outcome.known_slow < usual / 10);
}

// Guards against slots of fast engines that stay idle while requests are refused.
TEST_CASE("under overload engines of three speeds serve nearly all that they could") {
  Load load = ThreeSpeeds();
  load.online_per_s = 640;
  load.low = load.high = 1;
  load.batch_per_s = 0.01;
  load.count_from = Duration{5'000'000};
  load.simulated_time = Duration{15'000'000};
  const Outcome outcome = Simulation(load, true, 7).Run();
  double best = 0;
  int started = 0;
  for (int i = 0; i < load.engines; ++i) {
    const double run_s = std::chrono::duration<double>(load.online_run).count() *
                         load.run_time_factors[static_cast<std::size_t>(i) % 3];
    best += load.slots / run_s * 10;
    started += outcome.online_of_engine[static_cast<std::size_t>(i)];
  }
  MESSAGE(started << " of " << best);
  CHECK(started >= 0.97 * best);
}
