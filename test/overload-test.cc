#include "figmill/overload.h"

#include <doctest/doctest.h>

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{Duration{10'000'000}};
constexpr Duration kRun{500'000};

// Refusals every 50 ms, as while a wave lasts.
void SimulateOverload(OverloadTracker& tracker, Time from, Duration length) {
  for (Duration at{0}; at <= length; at += milliseconds(50)) tracker.OnRefused(from + at);
}
void SimulateOverload(RetryScheduler& book, Time from, Duration length) {
  for (Duration at{0}; at <= length; at += milliseconds(50)) {
    (void)book.ScheduleRetry({seconds(5), Duration{0}, Duration{0}}, from + at);
  }
}

}  // namespace

// Symptom: at the rise of a wave requests are queued, and refused after their goal has passed.
// Sequence: all runs began within some ms, so that none ends for most of their length.
// Cause: the wait was reckoned from the number of places alone.
TEST_CASE("young runs end later than old ones") {
  RunStartTimes ages;
  ages.SetCount(10, kStart);
  CHECK(ages.CompletionsWithin(milliseconds(200), kRun, kStart).mean < 1);
  CHECK(ages.CompletionsWithin(milliseconds(200), kRun, kStart + milliseconds(400)).mean > 6);
  CHECK(ages.CompletionsWithin(seconds(2), kRun, kStart).mean > 9.9);
}

TEST_CASE("those that began first are taken to end first") {
  RunStartTimes ages;
  ages.SetCount(1, kStart);
  ages.SetCount(2, kStart + kRun);
  ages.SetCount(1, kStart + kRun);
  CHECK(ages.CompletionsWithin(milliseconds(100), kRun, kStart + kRun).mean < 0.1);
}

TEST_CASE("a request is queued while it will surely be served") {
  const QueueAdmission admission;
  CHECK(admission.Admits(0, {2.5, 1}));
  CHECK_FALSE(admission.Admits(2, {2.5, 1}));
  CHECK_FALSE(admission.Admits(0, {0.5, 0.1}));
}

TEST_CASE("the queue grows shorter when requests wait in vain, and longer when none does") {
  QueueAdmission admission;
  admission.OnExpired();
  const double strict = admission.margin();
  CHECK_FALSE(admission.Admits(0, {2, 1}));
  for (int i = 0; i < 99; ++i) admission.OnServed();
  CHECK(admission.margin() < strict);
  for (int i = 0; i < 1000; ++i) admission.OnServed();
  CHECK(admission.margin() == QueueAdmission::kMinMargin);
  for (int i = 0; i < 100; ++i) admission.OnExpired();
  CHECK(admission.margin() == QueueAdmission::kMaxMargin);
}

TEST_CASE("how long an overload lasts is told by those that lasted longer") {
  OverloadTracker tracker;
  SimulateOverload(tracker, kStart, seconds(2));
  CHECK_FALSE(tracker.ExpectedRemaining(kStart + seconds(1)));
  SimulateOverload(tracker, kStart + seconds(6), seconds(1));
  CHECK(tracker.ExpectedRemaining(kStart + seconds(7)) == seconds(1));
  SimulateOverload(tracker, kStart + seconds(12), Duration{0});
  CHECK(tracker.ExpectedRemaining(kStart + seconds(12)) == milliseconds(1500));
  CHECK(tracker.ExpectedRemaining(kStart + milliseconds(13'500)) == milliseconds(500));
  CHECK_FALSE(tracker.ExpectedRemaining(kStart + seconds(15)));
}

// Symptom: a tenth of the requests are refused twice, although many places are free after each
// wave.
// Sequence: callers are told to come back as soon as a place may fall free, and meet the wave
// again. Cause: only those who waited counted, not the wave that went on, nor those told before.
TEST_CASE("refused callers come back after the overload, one after the other") {
  RetryScheduler book;
  SimulateOverload(book, kStart, seconds(2));
  const Time next = kStart + seconds(6);
  SimulateOverload(book, next, milliseconds(1'000));
  const RetryScheduler::RefusedRequest refused{seconds(5), Duration{0}, milliseconds(20)};
  const Duration first = book.ScheduleRetry(refused, next + milliseconds(1'050));
  const Duration second = book.ScheduleRetry(refused, next + milliseconds(1'050));
  CHECK(first == milliseconds(950));
  CHECK(second - first == RetryScheduler::kSlotsPerRetry * refused.slot_interval);
}

TEST_CASE(
    "callers are sent as far away as they will go while nothing is known, and never further") {
  RetryScheduler book;
  const RetryScheduler::RefusedRequest refused{seconds(5), Duration{0}, milliseconds(20)};
  CHECK(book.ScheduleRetry(refused, kStart) == milliseconds(1'500));
  SimulateOverload(book, kStart, seconds(4));
  CHECK(book.ScheduleRetry(refused, kStart + seconds(8)) == milliseconds(1'500));
}

TEST_CASE("a caller on its last try waits beyond its goal while that helps others like it") {
  OverloadTracker tracker;
  tracker.OnRefused(kStart);
  LastTryAdmission chances;
  const LastTryAdmission::Attempt ask{seconds(3), milliseconds(200), kRun};
  CHECK(chances.Admits(ask, tracker, kStart));
  CHECK_FALSE(chances.Admits({milliseconds(600), milliseconds(200), kRun}, tracker, kStart));
  chances.OnExpired();
  CHECK_FALSE(chances.Admits(ask, tracker, kStart));
  chances.OnServed();
  CHECK(chances.Admits(ask, tracker, kStart));
}

TEST_CASE("a new overload says nothing of those who waited in the last one") {
  OverloadTracker tracker;
  tracker.OnRefused(kStart);
  LastTryAdmission chances;
  const LastTryAdmission::Attempt ask{seconds(3), milliseconds(200), kRun};
  CHECK(chances.Admits(ask, tracker, kStart));
  chances.OnExpired();
  tracker.OnRefused(kStart + seconds(3));
  CHECK(chances.Admits(ask, tracker, kStart + seconds(3)));
}

TEST_CASE("a caller on its last try is told at once when the overload outlasts it") {
  OverloadTracker tracker;
  SimulateOverload(tracker, kStart, seconds(4));
  tracker.OnRefused(kStart + seconds(8));
  LastTryAdmission chances;
  CHECK_FALSE(chances.Admits({seconds(3), Duration{0}, kRun}, tracker, kStart + seconds(8)));
  CHECK(chances.Admits({seconds(3), Duration{0}, kRun}, tracker, kStart + seconds(10)));
}

// Symptom: requests that were refused are refused again, and their callers leave unserved.
// Sequence: a caller comes back after 0.2 s of its 5, and is queued like one that came first.
// Cause: only a caller with a tenth less time than its route allows was taken for a second try.
TEST_CASE("a second try is known by the time that it has left") {
  RetryDetector tries;
  CHECK_FALSE(tries.IsRetry("r", seconds(5), kStart));
  CHECK(tries.IsRetry("r", milliseconds(4'800), kStart));
  CHECK_FALSE(tries.IsRetry("r", milliseconds(4'990), kStart));
  CHECK_FALSE(tries.IsRetry("other", seconds(3), kStart));
}

TEST_CASE("first tries with less time than before are known after a while") {
  RetryDetector tries;
  (void)tries.IsRetry("r", seconds(5), kStart);
  CHECK(tries.IsRetry("r", seconds(3), kStart + RetryDetector::kSpan));
  CHECK_FALSE(tries.IsRetry("r", seconds(3), kStart + 2 * RetryDetector::kSpan));
}
