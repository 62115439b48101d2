// Replays teams that compete for the slots of a service in virtual time, with and without an order
// among them.

#include <doctest/doctest.h>

#include "test/slot-sim.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

// The aims: callers of a team below its share who are refused for lack of room, the part of the
// overall rate that a team of a low priority gets, and the room in use that the order may cost.
constexpr double kMaxRefused = 0.005;
constexpr double kMinLowRankRate = 0.25;
constexpr double kMaxUnusedRoom = 0.01;

sim::Load Competing(int entries, double factor) {
  constexpr double kUsualShare = 0.6;  // of the slots, while no team sends more than its usual
  sim::Load load;
  load.entries = entries;
  load.engines = entries * 7 / 5;
  load.low = load.high = 1;
  load.online_per_s = kUsualShare * load.engines * load.slots /
                      std::chrono::duration<double>(load.online_run).count();
  load.online_spread = 0.25;
  load.batch_per_s = 0.01;
  load.retries = true;
  load.teams = {.count = 12, .named = true, .factor = factor, .from = Duration{1'000'000}};
  load.simulated_time = Duration{entries > 30 ? 4'000'000 : 10'000'000};
  return load;
}

double UnservedOf(std::span<const sim::TeamOutcome> teams) {
  double online = 0;
  double unserved = 0;
  for (const sim::TeamOutcome& team : teams) {
    online += team.online;
    unserved += team.unserved;
  }
  return unserved / online;
}

double UnservedOfOthers(const sim::Outcome& outcome) {
  return UnservedOf(std::span(outcome.teams).subspan(sim::Teams::kHeavyTeam + 1));
}

void LogOutcome(const char* order, const sim::Outcome& outcome) {
  const sim::TeamOutcome& heavy = outcome.teams[sim::Teams::kHeavyTeam];
  MESSAGE(order << ": unserved " << UnservedOfOthers(outcome) << " of the others, "
                << UnservedOf({&heavy, 1}) << " of the heavy team; started " << outcome.started
                << "; queued " << outcome.queued << ", in vain " << outcome.queued_in_vain
                << "; refused late " << outcome.refused_late);
}

void CheckCompeting(int entries, double factor) {
  sim::Load load = Competing(entries, factor);
  const sim::Outcome fair = sim::Simulation(load, true, 7).Run();
  load.teams.named = false;
  const sim::Outcome before = sim::Simulation(load, true, 7).Run();
  LogOutcome("shares", fair);
  LogOutcome("deadlines only", before);
  CHECK(UnservedOfOthers(fair) < kMaxRefused);
  CHECK(fair.started >= (1 - kMaxUnusedRoom) * before.started);
}

}  // namespace

// Guards against callers of other teams being refused because one team sends more than its usual.
TEST_CASE("a team at twice its usual rate takes no room from the others: 30 entries") {
  CheckCompeting(30, 2);
}

TEST_CASE("a team at 6 times its usual rate takes no room from the others: 30 entries") {
  CheckCompeting(30, 6);
}

TEST_CASE("a team at 20 times its usual rate takes no room from the others: 30 entries") {
  CheckCompeting(30, 20);
}

TEST_CASE("a team at 20 times its usual rate takes no room from the others: 100 entries") {
  CheckCompeting(100, 20);
}

// Guards against a team of a low priority that is served nothing while another team takes all.
TEST_CASE("a team of a low priority gets a quarter of the overall rate or more") {
  sim::Load load = Competing(30, 20);
  load.teams.low = 1;
  const sim::Outcome outcome = sim::Simulation(load, true, 7).Run();
  const double low = 1 - UnservedOf({&outcome.teams.back(), 1});
  const double all = 1 - UnservedOf(outcome.teams);
  MESSAGE("served: " << low << " of the low priority, " << all << " of all");
  CHECK(low >= kMinLowRankRate * all);
}
