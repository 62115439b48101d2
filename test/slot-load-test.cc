#include <doctest/doctest.h>

#include <set>

#include "test/slot-sim.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

double LateShare(const sim::Outcome& outcome) {
  return static_cast<double>(outcome.late + outcome.refused) / outcome.online;
}

// Items that run longer than the time between two load peaks.
sim::Load LongItems() {
  sim::Load load;
  load.batch_run = Duration{4'700'000};
  load.batch_per_s = 19;
  load.simulated_time = Duration{60'000'000};
  return load;
}

}  // namespace

// Guards against one online stream in twenty starting late at each load peak while a quarter of the
// slots is free of online requests. Entries choose by usage counts that are about ten ms old. Those
// that choose within that time all pick the least used engine, and its queue grows. The allocator
// counts the slots that it has just assigned.
TEST_CASE("online requests find a slot at peak load by asking the allocator") {
  const sim::Load load;
  const sim::Outcome local = sim::Simulation(load, /*ask_allocators=*/false, 7).Run();
  const sim::Outcome asked = sim::Simulation(load, /*ask_allocators=*/true, 7).Run();
  MESSAGE("late or refused: " << LateShare(local) << " local, " << LateShare(asked) << " asked");
  CHECK(LateShare(asked) < 0.005);
  CHECK(LateShare(local) > 2 * LateShare(asked));
}

TEST_CASE("with a fifth of the engines lost most online requests still start in time") {
  sim::Load load;
  load.engines = 40;
  const sim::Outcome outcome = sim::Simulation(load, true, 7).Run();
  MESSAGE("late or refused: " << LateShare(outcome));
  CHECK(LateShare(outcome) < 0.1);
}

// Guards against a batch item that is preempted six times before it is done, and reads its text
// again each time. At peak load each free slot was granted to batch at once and taken back for the
// next online request a few ms later.
TEST_CASE("batch runs between load peaks and is seldom preempted") {
  sim::Load load;
  load.job_items = 1;
  const sim::Outcome outcome = sim::Simulation(load, true, 7).Run();
  MESSAGE(outcome.items << " items, " << outcome.preemptions << " preemptions");
  CHECK(outcome.items > 500);  // of about 780 that arrived
  CHECK(outcome.preemptions < 3 * outcome.items);
}

TEST_CASE("batch does not delay online requests") {
  sim::Load load;
  load.batch_per_s = 0.01;
  const sim::Outcome alone = sim::Simulation(load, true, 7).Run();
  load.batch_per_s = 26;
  const sim::Outcome both = sim::Simulation(load, true, 7).Run();
  CHECK(LateShare(both) <= LateShare(alone) + 0.003);
}

// Guards against late items that could have been in time with a third of the engines lost. Each
// entry owns a job or two, and free slots were granted to the entries in turn, so all jobs took as
// long as the last one. With the earliest due time first, those that fit are in time.
TEST_CASE("when slots are scarce the items that are due first finish in time") {
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

// Guards against fewer items in time with half of the engines lost than with slots granted in turn.
// Items that would just be in time went first, were preempted by online requests and became late,
// because their remaining time was estimated without preemption.
TEST_CASE("when most items cannot be in time the slots go to those that can") {
  sim::Load load = LongItems();
  load.engines = 28;
  const sim::Outcome by_due = sim::Simulation(load, true, 7).Run();
  load.reports_due_times = false;
  const sim::Outcome in_turn = sim::Simulation(load, true, 7).Run();
  MESSAGE("in time: " << by_due.items_in_time << " of " << by_due.items << " by due time, "
                      << in_turn.items_in_time << " of " << in_turn.items << " in turn");
  CHECK(by_due.items_in_time > 1.02 * in_turn.items_in_time);
  // 721 when items preempted in load peaks were ordered by due time among all others.
  CHECK(by_due.items_in_time > 740);
}

// Guards against a tenth of the slots idle between load peaks while items wait that will be late.
// Each allocator reserved slots for the expected online requests of all services, twice as many as
// arrive before a run can be preempted; 304 items finished with that.
TEST_CASE("between load peaks slots are not reserved for online requests that don't arrive") {
  sim::Load load = LongItems();
  load.engines = 40;
  load.batch_per_s = 40;
  load.simulated_time = Duration{18'000'000};
  const sim::Outcome outcome = sim::Simulation(load, true, 7).Run();
  MESSAGE(outcome.items << " items, late or refused: " << LateShare(outcome));
  CHECK(outcome.items >= 308);
  CHECK(LateShare(outcome) < 0.018);
}
