#pragma once

// Load of teams that compete for the slots of a service, and the checks that shares must pass.

#include <doctest/doctest.h>

#include <span>

#include "test/slot-sim.h"

namespace figmill::sim {

// The aims: callers of a team below its share who are refused for lack of room, the part of the
// overall rate that a team of a low priority gets, and the room in use that the order may cost.
inline constexpr double kMaxRefused = 0.005;
inline constexpr double kMinLowRankRate = 0.25;
inline constexpr double kMaxUnusedRoom = 0.01;

inline Load Competing(int entries, double factor) {
  constexpr double kUsualShare = 0.6;  // of the slots, while no team sends more than its usual
  Load load;
  load.entries = entries;
  load.engines = entries * 7 / 5;
  load.low = load.high = 1;
  load.online_per_s = kUsualShare * load.engines * load.slots /
                      std::chrono::duration<double>(load.online_run).count();
  load.online_spread = 0.25;
  load.same_arrivals = true;
  load.batch_per_s = 0.01;
  load.retries = true;
  load.teams = {.count = 12, .named = true, .factor = factor, .from = Duration{1'000'000}};
  load.simulated_time = Duration{entries > 30 ? 4'000'000 : 10'000'000};
  return load;
}

inline double UnservedOf(std::span<const TeamOutcome> teams) {
  double online = 0;
  double unserved = 0;
  for (const TeamOutcome& team : teams) {
    online += team.online;
    unserved += team.unserved;
  }
  return unserved / online;
}

inline double UnservedOfOthers(const Outcome& outcome) {
  return UnservedOf(std::span(outcome.teams).subspan(Teams::kHeavyTeam + 1));
}

inline void LogOutcome(const char* order, const Outcome& outcome) {
  const TeamOutcome& heavy = outcome.teams[Teams::kHeavyTeam];
  MESSAGE(order << ": unserved " << UnservedOfOthers(outcome) << " of the others, "
                << UnservedOf({&heavy, 1}) << " of the heavy team; started " << outcome.started
                << "; queued " << outcome.queued << ", in vain " << outcome.queued_in_vain
                << "; refused late " << outcome.refused_late);
}

inline void CheckCompeting(int entries, double factor) {
  Load load = Competing(entries, factor);
  const Outcome fair = Simulation(load, true, 7).Run();
  load.teams.named = false;
  const Outcome before = Simulation(load, true, 7).Run();
  LogOutcome("shares", fair);
  LogOutcome("deadlines only", before);
  CHECK(UnservedOfOthers(fair) < kMaxRefused);
  CHECK(fair.started >= (1 - kMaxUnusedRoom) * before.started);
}

}  // namespace figmill::sim
