// Load tests of quotas: one team's requests arrive at many entries, evenly, skewed or at a single
// one, at rates from below the limit to ten times the limit, while the owner of its quota fails.

#include <doctest/doctest.h>

#include "test/quota-policies.h"
#include "test/quota-sim.h"

using namespace figmill;       // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::sim;  // NOLINT(google-build-using-namespace): tests read better

namespace {

void CheckBound(QuotaLoad load) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    load.seed = seed;
    CAPTURE(load.entries);
    CAPTURE(load.rate);
    CAPTURE(seed);
    CHECK(SimulateQuota<Credits>(load).worst_window <= 1);
  }
}

}  // namespace

TEST_CASE("below its limit a team is served, wherever its requests arrive") {
  for (const int entries : {30, 100, 300}) {
    for (const double rate : {2.0, 40.0, 400.0}) {
      QuotaLoad load;
      load.entries = entries;
      load.rate = load.burst = rate;
      load.offered = 0.6 * rate;
      CAPTURE(entries);
      CAPTURE(rate);
      CHECK(SimulateQuota<Credits>(load).admitted >= 0.95);
      load.weights = Skewed(entries);
      CHECK(SimulateQuota<Credits>(load).admitted >= 0.85);
      load.weights = AllAtOne(entries);
      CHECK(SimulateQuota<Credits>(load).admitted >= 0.85);
    }
  }
}

TEST_CASE("a team that sends ten times its limit gets its limit and no more") {
  for (const int entries : {30, 100, 300}) {
    for (const double rate : {2.0, 40.0, 400.0}) {
      QuotaLoad load;
      load.entries = entries;
      load.rate = load.burst = rate;
      load.offered = 10 * rate;
      load.span = Duration{12'000'000};
      CheckBound(load);
      CAPTURE(entries);
      CAPTURE(rate);
      CHECK(SimulateQuota<Credits>(load).admitted >= 0.95);
    }
  }
}

// Guards against a limit that is enforced only while its owner is alive.
TEST_CASE("a limit holds while its owner is killed, stopped or cut off") {
  using Fault = QuotaLoad::Fault;
  for (const Fault fault : {Fault::kOwnerKilled, Fault::kOwnerStopped, Fault::kOwnerCut,
                            Fault::kSomeCut, Fault::kAllRestarted}) {
    for (const int entries : {30, 100, 300}) {
      for (const double rate : {2.0, 40.0, 400.0}) {
        QuotaLoad load;
        load.entries = entries;
        load.rate = load.burst = rate;
        load.offered = 10 * rate;
        load.span = Duration{18'000'000};
        load.fault = fault;
        CAPTURE(static_cast<int>(fault));
        CheckBound(load);
      }
    }
  }
}

// Guards against refusing a team until the owner of its quota is replaced.
TEST_CASE("a team below its limit is served while the owner of its quota is replaced") {
  QuotaLoad load;
  load.rate = load.burst = 400;
  load.offered = 100;
  load.fault = QuotaLoad::Fault::kOwnerKilled;
  CHECK(SimulateQuota<Credits>(load).admitted >= 0.95);
}
