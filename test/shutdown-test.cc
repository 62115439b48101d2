#include "figmill/shutdown.h"

#include <doctest/doctest.h>

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kBegun{Duration{10'000'000}};
constexpr Duration kGrace = seconds(8);

}  // namespace

// Guards against streams that are cut at the end of the process, as they began too late for the
// time that they may take.
TEST_CASE("a request that may last longer than the process isn't begun") {
  const ShutdownPlan plan(kBegun, kGrace);
  for (Time now = plan.open_until(); now < plan.end(); now += milliseconds(100)) {
    CHECK_FALSE(plan.MayBegin(now, now + seconds(6)));
    CHECK_FALSE(plan.MayBegin(now, plan.end() + milliseconds(1)));
  }
}

TEST_CASE("a request that gets its answer before the end of the process is served") {
  const ShutdownPlan plan(kBegun, kGrace);
  CHECK(plan.MayBegin(kBegun + seconds(2), kBegun + seconds(7)));
  CHECK(plan.MayBegin(kBegun + milliseconds(4'900), kBegun + milliseconds(5'000)));
}

// Guards against more requests of a team than its limit allows, while the entries that own the
// limit stop one after the other.
TEST_CASE("nothing is accepted in the last part of the grace period") {
  const ShutdownPlan plan(kBegun, kGrace);
  CHECK(plan.MayAccept(kBegun + milliseconds(4'900), kBegun + milliseconds(5'200)));
  CHECK_FALSE(plan.MayAccept(kBegun + milliseconds(5'100), kBegun + milliseconds(5'200)));
  const ShutdownPlan shorter(kBegun, seconds(4));
  CHECK_FALSE(shorter.MayAccept(kBegun + milliseconds(1'100), kBegun + milliseconds(1'200)));
}

// Guards against a request that waits for a slot, gets one in time, and is refused then.
TEST_CASE("an accepted request that ends in time may begin in the last part of the grace period") {
  const ShutdownPlan plan(kBegun, kGrace);
  CHECK(plan.MayBegin(kBegun + milliseconds(5'100), kBegun + milliseconds(6'900)));
}

// Guards against callers that are refused although no other entry gets their connections yet.
TEST_CASE("all requests are served until the load balancer has removed the process") {
  const ShutdownPlan plan(kBegun, kGrace);
  CHECK(plan.MayBegin(kBegun, kBegun + seconds(60)));
  CHECK(plan.MayBegin(kBegun + milliseconds(1'900), kBegun + seconds(60)));
}

TEST_CASE("a short grace period leaves the last requests time as well") {
  const ShutdownPlan plan(kBegun, seconds(4));
  CHECK(plan.MayBegin(kBegun + milliseconds(900), kBegun + seconds(60)));
  CHECK_FALSE(plan.MayBegin(kBegun + milliseconds(1'100), kBegun + seconds(60)));
  const ShutdownPlan none(kBegun, milliseconds(500));
  CHECK_FALSE(none.MayBegin(kBegun, kBegun + milliseconds(1)));
}
