#include <doctest/doctest.h>

#include <variant>
#include <vector>

#include "figmill/overload.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kNow{Duration{10'000'000}};

// Ten completions a second.
ExpectedCompletions Forecast(Duration span) {
  return {static_cast<double>(span.count()) / 100'000, 0};
}

DeadlineLine::Request RequestOf(bool last_try) {
  return {kNow + Duration{500'000}, kNow + Duration{2'000'000}, Duration{2'200'000}, last_try};
}

std::vector<Time> Waiting(std::size_t count, Duration start_by) {
  return std::vector<Time>(count, kNow + start_by);
}

std::optional<Time> StartBy(const DeadlineLine::Decision& decision) {
  const auto* admitted = std::get_if<DeadlineLine::Admitted>(&decision);
  if (admitted == nullptr) return std::nullopt;
  return admitted->start_by;
}

Duration RetryAfter(const DeadlineLine::Decision& decision) {
  return std::get<DeadlineLine::Refused>(decision).retry_after;
}

}  // namespace

TEST_CASE("a first try is admitted while it can start by its goal") {
  DeadlineLine line;
  CHECK(StartBy(line.Decide(RequestOf(false), Waiting(4, Duration{400'000}), Forecast, kNow)) ==
        kNow + Duration{500'000});
  CHECK_FALSE(
      StartBy(line.Decide(RequestOf(false), Waiting(5, Duration{500'000}), Forecast, kNow)));
}

// Guards against last tries that were admitted and are never served, because first tries that came
// later go first.
TEST_CASE("a first try is refused if one that was admitted before would start too late") {
  DeadlineLine line;
  CHECK_FALSE(
      StartBy(line.Decide(RequestOf(false), Waiting(10, Duration{1'000'000}), Forecast, kNow)));
}

TEST_CASE("a last try may start after its goal, but in time for its caller") {
  DeadlineLine line;
  const auto start_by = [&line](std::size_t waiting) {
    return StartBy(
        line.Decide(RequestOf(true), Waiting(waiting, Duration{500'000}), Forecast, kNow));
  };
  CHECK(start_by(4) == kNow + Duration{500'000});
  CHECK(start_by(19) == kNow + Duration{2'000'000});
  CHECK_FALSE(start_by(20));
}

TEST_CASE("a refused caller returns when there is room, within the time that it accepts") {
  DeadlineLine line;
  CHECK(RetryAfter(line.Decide(RequestOf(false), Waiting(5, Duration{500'000}), Forecast, kNow)) ==
        Duration{500'000});
  // Behind the one that is told to return.
  CHECK(RetryAfter(line.Decide(RequestOf(false), Waiting(5, Duration{500'000}), Forecast, kNow)) ==
        Duration{600'000});
  CHECK(RetryAfter(line.Decide(RequestOf(false), Waiting(50, Duration{500'000}), Forecast, kNow)) ==
        Duration{660'000});
}

TEST_CASE("room is kept for callers that were told to return, until they are overdue") {
  DeadlineLine line;
  const std::vector<Time> full = Waiting(5, Duration{500'000});
  for (int i = 0; i < 20; ++i) (void)line.Decide(RequestOf(false), full, Forecast, kNow);
  CHECK_FALSE(StartBy(line.Decide(RequestOf(false), {}, Forecast, kNow)));
  const Time overdue = kNow + Duration{660'000} + DeadlineLine::kReturnGrace;
  DeadlineLine::Request later = RequestOf(false);
  later.goal_start = overdue + Duration{500'000};
  CHECK(StartBy(line.Decide(later, {}, Forecast, overdue)));
}

TEST_CASE("admitted, refused and missed requests are counted") {
  DeadlineLine line;
  (void)line.Decide(RequestOf(false), {}, Forecast, kNow);
  (void)line.Decide(RequestOf(false), Waiting(5, Duration{500'000}), Forecast, kNow);
  (void)line.OnExpired(RequestOf(false), 0, Forecast, kNow);
  CHECK(line.TakeCounts() == DeadlineLine::Counts{1, 1, 1});
  CHECK(line.TakeCounts() == DeadlineLine::Counts{});
}

TEST_CASE("the interval between starts is measured while requests wait") {
  DeadlineLine line;
  Time now = kNow;
  for (int i = 0; i <= DeadlineLine::kMinIntervals; ++i) {
    CHECK_FALSE(line.slot_time());
    line.OnServed(/*others_wait=*/true, /*slots=*/6, now += Duration{13'000});
  }
  CHECK(line.slot_time() == Duration{6 * 13'000});
}
