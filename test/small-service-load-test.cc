// Replays load peaks of a service with few slots in simulated time.

#include <doctest/doctest.h>

#include "test/slot-sim.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

// One of three backend servers is left. In the mean it can serve all requests.
sim::Load OneServer(int entries) {
  sim::Load load;
  load.entries = entries;
  load.engines = 1;
  load.slots = 6;
  load.data_centres = 1;
  load.online_per_s = 68;
  load.online_run = Duration{70'000};
  load.online_spread = 0.5;
  load.long_runs = 0.01;
  load.retries = true;
  load.goal = Duration{600'000};
  load.late_after = load.goal - SlotAllocator::kFirstEventLatency;
  load.caller_timeout = Duration{2'500'000};
  load.batch_per_s = 0;
  // Ends before a load peak. Shorter with many entries: each message goes to all of them.
  load.simulated_time =
      (load.low_duration + load.high_duration) * (entries > 100 ? 1 : 4) + load.low_duration;
  return load;
}

double ShareOf(int count, const sim::Outcome& outcome) {
  return static_cast<double>(count) / outcome.online;
}

void LogOutcome(const sim::Outcome& outcome) {
  MESSAGE("of " << outcome.online << ": refused " << ShareOf(outcome.refused, outcome)
                << ", unserved " << ShareOf(outcome.unserved, outcome) << ", told to wait "
                << outcome.told_to_wait << ", of these in vain " << outcome.waited_in_vain
                << ", late " << ShareOf(outcome.late, outcome) << ", late at the retry "
                << ShareOf(outcome.retried_late, outcome) << ", refused late "
                << ShareOf(outcome.refused_late, outcome) << "; worth "
                << outcome.worth / outcome.online);
}

}  // namespace

// Guards against 8.6% of the callers being refused twice although slots are free a second later:
// last tries could not wait for them.
TEST_CASE(
    "callers of a service that lost most of its slots are served, at the retry if not at once") {
  for (const int entries : {30, 100, 300}) {
    for (const unsigned seed : {7U, 8U, 9U}) {
      CAPTURE(entries);
      CAPTURE(seed);
      const sim::Outcome outcome = sim::Simulation(OneServer(entries), true, seed).Run();
      LogOutcome(outcome);
      CHECK(ShareOf(outcome.unserved, outcome) < 0.01);
      CHECK(outcome.waited_in_vain * 100 < outcome.told_to_wait);
    }
  }
}

TEST_CASE("with all servers of a small service alive nothing is worse than without the line") {
  sim::Load load = OneServer(30);
  load.engines = load.data_centres = 3;
  load.simulated_time = Duration{12'000'000};
  const sim::Outcome with = sim::Simulation(load, true, 7).Run();
  load.reports_service_slots = false;
  const sim::Outcome without = sim::Simulation(load, true, 7).Run();
  LogOutcome(without);
  LogOutcome(with);
  CHECK(with.unserved <= without.unserved);
  CHECK(with.late <= without.late);
  CHECK(with.worth >= without.worth);
}
