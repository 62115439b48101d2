// Replays one team that asks for many times its usual in virtual time.

#include <doctest/doctest.h>

#include "test/competing-teams.h"

using namespace figmill::sim;  // NOLINT(google-build-using-namespace): tests read better

// Guards against callers of other teams being refused because one team sends more than its usual.
TEST_CASE("a team at 20 times its usual rate takes no room from the others: 30 entries") {
  CheckCompeting(30, 20);
}
