#include <doctest/doctest.h>

#include <set>

#include "test/place-sim.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

double LateShare(const sim::Outcome& outcome) {
  return static_cast<double>(outcome.late + outcome.refused) / outcome.online;
}

}  // namespace

// Symptom: at each wave one online stream in twenty starts late, although a quarter
// of all places is free of online.
// Sequence: entries choose by counts that are some ten ms old; those of one such span
// all choose the engine that was least used, and its queue grows.
// Cause: nobody counts what was chosen meanwhile. The keeper does, when it is asked.
TEST_CASE("online finds its place at the wave's peak by asking the keeper") {
  const sim::Load load;
  const sim::Outcome unasked = sim::Simulation(load, /*asks=*/false, 7).Run();
  const sim::Outcome asked = sim::Simulation(load, /*asks=*/true, 7).Run();
  MESSAGE("late or refused: " << LateShare(unasked) << " unasked, " << LateShare(asked)
                              << " asked");
  CHECK(LateShare(asked) < 0.005);
  CHECK(LateShare(unasked) > 2 * LateShare(asked));
}

TEST_CASE("with a fifth of the engines gone most online still starts in time") {
  sim::Load load;
  load.engines = 40;
  const sim::Outcome outcome = sim::Simulation(load, true, 7).Run();
  MESSAGE("late or refused: " << LateShare(outcome));
  CHECK(LateShare(outcome) < 0.1);
}

// Symptom: a batch item is stopped six times before it is done, and reads its text
// again each time.
// Sequence: at the peak each place that falls free is filled with batch, and taken back
// by the next online request some ms later.
// Cause: batch was given all that was free at that moment.
TEST_CASE("batch fills the valleys and is seldom stopped") {
  const sim::Load load;
  const sim::Outcome outcome = sim::Simulation(load, true, 7).Run();
  MESSAGE(outcome.items << " items, " << outcome.stops << " stops");
  CHECK(outcome.items > 500);  // of some 780 that came
  CHECK(outcome.stops < 3 * outcome.items);
}

TEST_CASE("batch does no harm to online") {
  sim::Load load;
  load.batch_per_s = 0.01;
  const sim::Outcome alone = sim::Simulation(load, true, 7).Run();
  load.batch_per_s = 26;
  const sim::Outcome both = sim::Simulation(load, true, 7).Run();
  CHECK(LateShare(both) <= LateShare(alone) + 0.003);
}
