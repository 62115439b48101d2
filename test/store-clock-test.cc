#include <doctest/doctest.h>

#include "figmill/store_clock.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

using std::chrono::seconds;

// The store's clock is this far behind the host's.
constexpr Duration kStoreLag = seconds(100);
constexpr StoreClock::HostTime kNow = seconds(1000);

// A response with a timestamp from the middle of a call that took `took`.
StoreClock::Sample SampleAt(StoreClock::HostTime received_at, Duration took,
                            Duration behind = kStoreLag) {
  return {received_at - took / 2 - behind, received_at - took, received_at};
}

}  // namespace

TEST_CASE("the store's time is unknown before the first response") {
  StoreClock clock;
  CHECK_FALSE(clock.Earliest(kNow));
  CHECK_FALSE(clock.Latest(kNow));
  CHECK_FALSE(clock.Age(kNow));
}

// Guards against an item that is recorded as dead a second before its job expires: a process that
// has just started accepts a job when its only response so far took two seconds, and a process
// with fast responses judges the expiry. When the first one took the arrival of the response for
// its timestamp, the job seemed to have been submitted a second too early.
TEST_CASE("a job submitted with a slow response and judged with a fast one has its full lifetime") {
  StoreClock slow;
  slow.AddSample(SampleAt(kNow, seconds(2)));
  StoreClock fast;
  fast.AddSample(SampleAt(kNow, Duration{10'000}));
  const StoreTime actual = kNow - kStoreLag;
  CHECK(*slow.Latest(kNow) >= actual);
  CHECK(*fast.Earliest(kNow) <= actual);
  CHECK(*fast.Earliest(kNow) > actual - Duration{10'000});
}

TEST_CASE("each response narrows the bounds, however slow a later one is") {
  StoreClock clock;
  clock.AddSample(SampleAt(kNow, Duration{10'000}));
  clock.AddSample(SampleAt(kNow + seconds(3), seconds(3)));
  const StoreTime actual = kNow + seconds(3) - kStoreLag;
  CHECK(*clock.Latest(kNow + seconds(3)) - actual <= Duration{6'000});
  CHECK(actual - *clock.Earliest(kNow + seconds(3)) <= Duration{6'000});
}

// Guards against a process that records all its items as dead from some moment on: one response
// has a timestamp far ahead, and later ones are right, but the largest timestamp was kept. A store
// that is replaced by a copy whose clock is behind has the same effect.
TEST_CASE("a response that contradicts the earlier ones replaces them") {
  StoreClock clock;
  CHECK(clock.AddSample(SampleAt(kNow, Duration{10'000}, kStoreLag - seconds(60))));
  CHECK_FALSE(clock.AddSample(SampleAt(kNow + seconds(1), Duration{10'000})));
  const StoreTime actual = kNow + seconds(1) - kStoreLag;
  CHECK(*clock.Earliest(kNow + seconds(1)) <= actual);
  CHECK(clock.AddSample(SampleAt(kNow + seconds(2), Duration{10'000})));
}

TEST_CASE("the age is the time since the last response") {
  StoreClock clock;
  clock.AddSample(SampleAt(kNow, Duration{10'000}));
  CHECK(*clock.Age(kNow + seconds(4)) == seconds(4));
}
