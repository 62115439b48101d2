#include <doctest/doctest.h>

#include "test/engine-speeds.h"

using namespace figmill;       // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::sim;  // NOLINT(google-build-using-namespace): tests read better

// Guards against work that is lost to stopped runs, and online requests that wait for it.
TEST_CASE("target: at most two runs a result, a third of them stopped, no wait longer") {
  const Comparison both = Compare(ThreeSpeeds());
  CHECK(RunsPerResult(both.known) <= 2.0);
  CHECK(StoppedShare(both.known) < 0.35);
  for (const double share : {0.5, 0.9, 0.95, 0.99, 0.999, 1.0})
    CHECK(Quantile(both.known.waits, share) <= Quantile(both.unknown.waits, share));
}
