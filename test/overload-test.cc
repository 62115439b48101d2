#include "figmill/overload.h"

#include <doctest/doctest.h>

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{Duration{10'000'000}};
constexpr Duration kRun{500'000};

// Refusals every 50 ms, as while a wave lasts.
void Overload(OverloadWatch& watch, Time from, Duration length) {
  for (Duration at{0}; at <= length; at += milliseconds(50)) watch.OnRefused(from + at);
}
void Overload(ReturnBook& book, Time from, Duration length) {
  for (Duration at{0}; at <= length; at += milliseconds(50)) {
    (void)book.ComeBackAfter({seconds(5), Duration{0}, Duration{0}}, from + at);
  }
}

}  // namespace

// Symptom: at the rise of a wave requests are queued, and refused after their goal has passed.
// Sequence: all runs began within some ms, so that none ends for most of their length.
// Cause: the wait was reckoned from the number of places alone.
TEST_CASE("young runs end later than old ones") {
  RunAges ages;
  ages.SetCount(10, kStart);
  CHECK(ages.EndsWithin(milliseconds(200), kRun, kStart).mean < 1);
  CHECK(ages.EndsWithin(milliseconds(200), kRun, kStart + milliseconds(400)).mean > 6);
  CHECK(ages.EndsWithin(seconds(2), kRun, kStart).mean > 9.9);
}

TEST_CASE("those that began first are taken to end first") {
  RunAges ages;
  ages.SetCount(1, kStart);
  ages.SetCount(2, kStart + kRun);
  ages.SetCount(1, kStart + kRun);
  CHECK(ages.EndsWithin(milliseconds(100), kRun, kStart + kRun).mean < 0.1);
}

TEST_CASE("a request is queued while it will surely be served") {
  const QueueAdmission admission;
  CHECK(admission.Admits(0, {2.5, 1}));
  CHECK_FALSE(admission.Admits(2, {2.5, 1}));
  CHECK_FALSE(admission.Admits(0, {0.5, 0.1}));
}

TEST_CASE("the queue grows shorter when requests wait in vain, and longer when none does") {
  QueueAdmission admission;
  admission.WaitedInVain();
  const double strict = admission.margin();
  CHECK_FALSE(admission.Admits(0, {2, 1}));
  for (int i = 0; i < 99; ++i) admission.Served();
  CHECK(admission.margin() < strict);
  for (int i = 0; i < 1000; ++i) admission.Served();
  CHECK(admission.margin() == QueueAdmission::kLeastMargin);
  for (int i = 0; i < 100; ++i) admission.WaitedInVain();
  CHECK(admission.margin() == QueueAdmission::kMostMargin);
}

TEST_CASE("how long an overload lasts is told by those that lasted longer") {
  OverloadWatch watch;
  Overload(watch, kStart, seconds(2));
  CHECK_FALSE(watch.ExpectedLeft(kStart + seconds(1)));
  Overload(watch, kStart + seconds(6), seconds(1));
  CHECK(watch.ExpectedLeft(kStart + seconds(7)) == seconds(1));
  Overload(watch, kStart + seconds(12), Duration{0});
  CHECK(watch.ExpectedLeft(kStart + seconds(12)) == milliseconds(1500));
  CHECK(watch.ExpectedLeft(kStart + milliseconds(13'500)) == milliseconds(500));
  CHECK_FALSE(watch.ExpectedLeft(kStart + seconds(15)));
}

// Symptom: a tenth of the requests are refused twice, although many places are free after each
// wave.
// Sequence: callers are told to come back as soon as a place may fall free, and meet the wave
// again. Cause: only those who waited counted, not the wave that went on, nor those told before.
TEST_CASE("refused callers come back after the overload, one after the other") {
  ReturnBook book;
  Overload(book, kStart, seconds(2));
  const Time next = kStart + seconds(6);
  Overload(book, next, milliseconds(1'000));
  const ReturnBook::Refused refused{seconds(5), Duration{0}, milliseconds(20)};
  const Duration first = book.ComeBackAfter(refused, next + milliseconds(1'050));
  const Duration second = book.ComeBackAfter(refused, next + milliseconds(1'050));
  CHECK(first == milliseconds(950));
  CHECK(second - first == ReturnBook::kPlacesPerReturn * refused.place_every);
}

TEST_CASE(
    "callers are sent as far away as they will go while nothing is known, and never further") {
  ReturnBook book;
  const ReturnBook::Refused refused{seconds(5), Duration{0}, milliseconds(20)};
  CHECK(book.ComeBackAfter(refused, kStart) == milliseconds(1'500));
  Overload(book, kStart, seconds(4));
  CHECK(book.ComeBackAfter(refused, kStart + seconds(8)) == milliseconds(1'500));
}

TEST_CASE("a caller on its last try waits beyond its goal while that helps others like it") {
  OverloadWatch watch;
  watch.OnRefused(kStart);
  LastChances chances;
  const LastChances::Ask ask{seconds(3), milliseconds(200), kRun};
  CHECK(chances.Admits(ask, watch, kStart));
  CHECK_FALSE(chances.Admits({milliseconds(600), milliseconds(200), kRun}, watch, kStart));
  chances.WaitedInVain();
  CHECK_FALSE(chances.Admits(ask, watch, kStart));
  chances.Served();
  CHECK(chances.Admits(ask, watch, kStart));
}

TEST_CASE("a new overload says nothing of those who waited in the last one") {
  OverloadWatch watch;
  watch.OnRefused(kStart);
  LastChances chances;
  const LastChances::Ask ask{seconds(3), milliseconds(200), kRun};
  CHECK(chances.Admits(ask, watch, kStart));
  chances.WaitedInVain();
  watch.OnRefused(kStart + seconds(3));
  CHECK(chances.Admits(ask, watch, kStart + seconds(3)));
}

TEST_CASE("a caller on its last try is told at once when the overload outlasts it") {
  OverloadWatch watch;
  Overload(watch, kStart, seconds(4));
  watch.OnRefused(kStart + seconds(8));
  LastChances chances;
  CHECK_FALSE(chances.Admits({seconds(3), Duration{0}, kRun}, watch, kStart + seconds(8)));
  CHECK(chances.Admits({seconds(3), Duration{0}, kRun}, watch, kStart + seconds(10)));
}

// Symptom: requests that were refused are refused again, and their callers leave unserved.
// Sequence: a caller comes back after 0.2 s of its 5, and is queued like one that came first.
// Cause: only a caller with a tenth less time than its route allows was taken for a second try.
TEST_CASE("a second try is known by the time that it has left") {
  FirstTries tries;
  CHECK_FALSE(tries.IsSecond("r", seconds(5), kStart));
  CHECK(tries.IsSecond("r", milliseconds(4'800), kStart));
  CHECK_FALSE(tries.IsSecond("r", milliseconds(4'990), kStart));
  CHECK_FALSE(tries.IsSecond("other", seconds(3), kStart));
}

TEST_CASE("first tries with less time than before are known after a while") {
  FirstTries tries;
  (void)tries.IsSecond("r", seconds(5), kStart);
  CHECK(tries.IsSecond("r", seconds(3), kStart + FirstTries::kSpan));
  CHECK_FALSE(tries.IsSecond("r", seconds(3), kStart + 2 * FirstTries::kSpan));
}
