#include <doctest/doctest.h>

#include <set>

#include "test/slot-sim.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

double LateShare(const sim::Outcome& outcome) {
  return static_cast<double>(outcome.late + outcome.refused) / outcome.online;
}

// Items that take longer than the valley between two waves.
sim::Load LongItems() {
  sim::Load load;
  load.batch_run = Duration{4'700'000};
  load.batch_per_s = 19;
  load.duration = Duration{60'000'000};
  return load;
}

}  // namespace

// Symptom: at each wave one online stream in twenty starts late, although a quarter
// of all places is free of online.
// Sequence: entries choose by counts that are some ten ms old; those of one such span
// all choose the engine that was least used, and its queue grows.
// Cause: nobody counts what was chosen meanwhile. The keeper does, when it is asked.
TEST_CASE("online finds its place at the wave's peak by asking the keeper") {
  const sim::Load load;
  const sim::Outcome local = sim::Simulation(load, /*ask_allocators=*/false, 7).Run();
  const sim::Outcome asked = sim::Simulation(load, /*ask_allocators=*/true, 7).Run();
  MESSAGE("late or refused: " << LateShare(local) << " unasked, " << LateShare(asked) << " asked");
  CHECK(LateShare(asked) < 0.005);
  CHECK(LateShare(local) > 2 * LateShare(asked));
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
  sim::Load load;
  load.job_items = 1;
  const sim::Outcome outcome = sim::Simulation(load, true, 7).Run();
  MESSAGE(outcome.items << " items, " << outcome.preemptions << " stops");
  CHECK(outcome.items > 500);  // of some 780 that came
  CHECK(outcome.preemptions < 3 * outcome.items);
}

TEST_CASE("batch does no harm to online") {
  sim::Load load;
  load.batch_per_s = 0.01;
  const sim::Outcome alone = sim::Simulation(load, true, 7).Run();
  load.batch_per_s = 26;
  const sim::Outcome both = sim::Simulation(load, true, 7).Run();
  CHECK(LateShare(both) <= LateShare(alone) + 0.003);
}

// Symptom: with a third of the engines gone items are late that need not be.
// Sequence: each entry owns a job or two, and free places go round among the entries.
// Cause: all jobs take as long as the last one. Due first, those that fit are in time.
TEST_CASE("when places are short the items that are due first are done in time") {
  sim::Load load = LongItems();
  load.engines = 31;
  const sim::Outcome by_due = sim::Simulation(load, true, 7).Run();
  load.reports_due_times = false;
  const sim::Outcome in_turn = sim::Simulation(load, true, 7).Run();
  MESSAGE("in time: " << by_due.items_in_time << " of " << by_due.items << " by due time, "
                      << in_turn.items_in_time << " of " << in_turn.items << " in turn");
  CHECK(by_due.items_in_time > 1.05 * in_turn.items_in_time);
  CHECK(by_due.items_in_time >= 0.99 * by_due.items);
}

// Symptom: with half of the engines gone fewer items are in time than when places go
// round.
// Sequence: items that would just be in time go first, are stopped for online, and late.
// Cause: their time was reckoned as if they ran on.
TEST_CASE("when most can't be in time the places go to items that can") {
  sim::Load load = LongItems();
  load.engines = 28;
  const sim::Outcome by_due = sim::Simulation(load, true, 7).Run();
  load.reports_due_times = false;
  const sim::Outcome in_turn = sim::Simulation(load, true, 7).Run();
  MESSAGE("in time: " << by_due.items_in_time << " of " << by_due.items << " by due time, "
                      << in_turn.items_in_time << " of " << in_turn.items << " in turn");
  CHECK(by_due.items_in_time > 1.02 * in_turn.items_in_time);
  // 721 while those that waves had interrupted went by due times among all others.
  CHECK(by_due.items_in_time > 740);
}

// Symptom: a tenth of the places stands idle between waves, while items wait that are late then.
// Sequence: each keeper leaves places to the online requests that are to come, of all services.
// Cause: twice as many as come before a run can give way. 304 items were whole before.
TEST_CASE("between waves places are not left to online that doesn't come") {
  sim::Load load = LongItems();
  load.engines = 40;
  load.batch_per_s = 40;
  load.duration = Duration{18'000'000};
  const sim::Outcome outcome = sim::Simulation(load, true, 7).Run();
  MESSAGE(outcome.items << " items, late or refused: " << LateShare(outcome));
  CHECK(outcome.items >= 308);
  CHECK(LateShare(outcome) < 0.018);
}
