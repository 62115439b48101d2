#include <doctest/doctest.h>

#include "figmill/store_clock.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

using std::chrono::seconds;

// The store's clock is this far behind the host's.
constexpr Duration kBehind = seconds(100);
constexpr StoreClock::HostTime kNow = seconds(1000);

// Made in the middle of a call that took `took`.
StoreClock::Answer AnswerAt(StoreClock::HostTime heard_at, Duration took,
                            Duration behind = kBehind) {
  return {heard_at - took / 2 - behind, heard_at - took, heard_at};
}

}  // namespace

TEST_CASE("the store's time is unknown before its first answer") {
  StoreClock clock;
  CHECK_FALSE(clock.Earliest(kNow));
  CHECK_FALSE(clock.Latest(kNow));
  CHECK_FALSE(clock.Age(kNow));
}

// Symptom: an item is listed as dead a second before its job's life is over.
// Sequence: a process that has just started accepts a job when its only answer so far took
// two seconds; another process, whose answers were fast, judges the job's life.
// Cause: the first one reckoned from its answer's arrival, so that the job seemed to have
// been sent a second before it came.
TEST_CASE(
    "a job that begins at a slow call's time and is judged at a fast one's has its whole life") {
  StoreClock slow;
  slow.Heard(AnswerAt(kNow, seconds(2)));
  StoreClock fast;
  fast.Heard(AnswerAt(kNow, Duration{10'000}));
  const StoreTime truly = kNow - kBehind;
  CHECK(*slow.Latest(kNow) >= truly);
  CHECK(*fast.Earliest(kNow) <= truly);
  CHECK(*fast.Earliest(kNow) > truly - Duration{10'000});
}

TEST_CASE("each answer narrows the span, however slow a later one is") {
  StoreClock clock;
  clock.Heard(AnswerAt(kNow, Duration{10'000}));
  clock.Heard(AnswerAt(kNow + seconds(3), seconds(3)));
  const StoreTime truly = kNow + seconds(3) - kBehind;
  CHECK(*clock.Latest(kNow + seconds(3)) - truly <= Duration{6'000});
  CHECK(truly - *clock.Earliest(kNow + seconds(3)) <= Duration{6'000});
}

// Symptom: from some moment on, a process lists all items that it owns as dead.
// Sequence: one answer tells a time far ahead (a store that was replaced by a copy whose
// clock is behind does the same to all answers before); later ones tell the right one.
// Cause: the largest time ever told was kept.
TEST_CASE("an answer that contradicts the ones before is believed alone") {
  StoreClock clock;
  CHECK(clock.Heard(AnswerAt(kNow, Duration{10'000}, kBehind - seconds(60))));
  CHECK_FALSE(clock.Heard(AnswerAt(kNow + seconds(1), Duration{10'000})));
  const StoreTime truly = kNow + seconds(1) - kBehind;
  CHECK(*clock.Earliest(kNow + seconds(1)) <= truly);
  CHECK(clock.Heard(AnswerAt(kNow + seconds(2), Duration{10'000})));
}

TEST_CASE("the age is that of the last answer") {
  StoreClock clock;
  clock.Heard(AnswerAt(kNow, Duration{10'000}));
  CHECK(*clock.Age(kNow + seconds(4)) == seconds(4));
}
