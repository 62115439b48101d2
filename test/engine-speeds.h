#pragma once

// Load of a service whose engines differ in speed.

#include <algorithm>
#include <vector>

#include "test/slot-sim.h"

namespace figmill::sim {

// Engines of 19, 32 and 52 ms an event, a third each; online streams of 22 events, items of 153.
inline Load ThreeSpeeds() {
  constexpr double kMeanMs = (19 + 32 + 52) / 3.0;
  Load load;
  load.entries = 30;
  load.engines = 46;
  load.slots = 8;
  load.online_per_s = 206;
  load.run_time_factors = {19 / kMeanMs, 32 / kMeanMs, 52 / kMeanMs};
  load.online_run = Duration{static_cast<Duration::rep>(load.online_events * kMeanMs * 1000)};
  load.batch_run = Duration{static_cast<Duration::rep>(load.batch_events * kMeanMs * 1000)};
  load.job_items = 5;
  load.simulated_time = Duration{30'000'000};
  return load;
}

inline Duration Quantile(std::vector<Duration> waits, double share) {
  std::sort(waits.begin(), waits.end());
  return waits[static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1))];
}

inline double RunsPerResult(const Outcome& outcome) {
  return static_cast<double>(outcome.batch_runs) / outcome.items;
}

inline double StoppedShare(const Outcome& outcome) {
  return static_cast<double>(outcome.preemptions) / outcome.batch_runs;
}

struct Comparison {
  Outcome unknown;  // engines' speeds unknown
  Outcome known;
};
inline Comparison Compare(Load load) {
  load.reports_timing = false;
  const Outcome unknown = Simulation(load, true, 7).Run();
  load.reports_timing = true;
  return {unknown, Simulation(load, true, 7).Run()};
}

}  // namespace figmill::sim
