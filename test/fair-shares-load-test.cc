// Replays teams that compete for the slots of a service in virtual time, with and without an order
// among them.

#include <doctest/doctest.h>

#include "test/competing-teams.h"

using namespace figmill::sim;  // NOLINT(google-build-using-namespace): tests read better

// Guards against callers of other teams being refused because one team sends more than its usual.
TEST_CASE("a team at twice its usual rate takes no room from the others: 30 entries") {
  CheckCompeting(30, 2);
}

TEST_CASE("a team at 6 times its usual rate takes no room from the others: 30 entries") {
  CheckCompeting(30, 6);
}

TEST_CASE("a team at 20 times its usual rate takes no room from the others: 100 entries") {
  CheckCompeting(100, 20);
}

// Guards against a team of a low priority that is served nothing while another team takes all.
TEST_CASE("a team of a low priority gets a quarter of the overall rate or more") {
  Load load = Competing(30, 20);
  load.teams.low = 1;
  const Outcome outcome = Simulation(load, true, 7).Run();
  const double low = 1 - UnservedOf({&outcome.teams.back(), 1});
  const double all = 1 - UnservedOf(outcome.teams);
  MESSAGE("served: " << low << " of the low priority, " << all << " of all");
  CHECK(low >= kMinLowRankRate * all);
}
