#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "figmill/engine_speed.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Duration kReportInterval{100'000};
constexpr Duration kSecond{1'000'000};

// An engine with eight runs at a time.
struct Engine {
  // Runs for `time` with `per_event` between the events of each run.
  void Run(Duration per_event, Duration time) {
    for (const Time end = now + time; now < end;) {
      now += kReportInterval;
      const std::uint64_t events = 8 * kReportInterval / per_event;
      speed.Record({events, per_event * static_cast<Duration::rep>(events)}, now);
    }
  }
  Duration Known() const { return speed.TimePerEvent(now).value_or(Duration{0}); }

  EngineSpeed speed;
  Time now{Duration{10'000'000}};
};

}  // namespace

TEST_CASE("a run is timed from its first event on, over the events of this run") {
  RunTimer timer(5);
  const Time start{kSecond};
  CHECK(timer.Update(5, start) == EventTiming{});
  CHECK(timer.Update(6, start + Duration{300'000}) == EventTiming{});
  CHECK(timer.Update(8, start + Duration{340'000}) == EventTiming{2, Duration{40'000}});
  CHECK(timer.Update(8, start + Duration{900'000}) == EventTiming{});
}

TEST_CASE("totals that fall are those of a sender that started anew") {
  CHECK(AddedSince({10, kSecond}, {12, kSecond * 2}) == EventTiming{2, kSecond});
  CHECK(AddedSince({10, kSecond}, {4, kSecond * 2}) == EventTiming{});
}

TEST_CASE("the time per event is known after a second of runs") {
  Engine engine;
  engine.Run(Duration{19'000}, kSecond);
  CHECK(engine.Known() == Duration{19'000});
}

TEST_CASE("a few samples tell nothing") {
  EngineSpeed speed;
  const Time now{kSecond};
  for (int i = 0; i < 60; ++i) speed.Record({1, Duration{50'000}}, now + kSecond * i);
  CHECK_FALSE(speed.TimePerEvent(now + kSecond * 60).has_value());
}

TEST_CASE("an engine that turns slow is known within about a second, and its recovery too") {
  Engine engine;
  engine.Run(Duration{20'000}, kSecond * 5);
  engine.Run(Duration{100'000}, Duration{1'300'000});
  CHECK(engine.Known() == Duration{100'000});
  engine.Run(Duration{100'000}, kSecond * 60);
  CHECK(engine.Known() == Duration{100'000});
  engine.Run(Duration{20'000}, Duration{1'300'000});
  CHECK(engine.Known() == Duration{20'000});
}

// Guards against an order of engines that changes with each pause of one of them.
TEST_CASE("pauses of 600 ms in a sixth of the time rarely move an engine to another class") {
  std::mt19937_64 random(7);
  Engine engine;
  engine.Run(Duration{32'000}, kSecond * 2);
  int wrong = 0;
  int all = 0;
  for (int i = 0; i < 200; ++i) {
    const Duration gap{
        static_cast<Duration::rep>(std::exponential_distribution<double>(1 / 3.4e6)(random))};
    engine.Run(Duration{32'000}, gap);
    for (int part = 0; part < 6; ++part) {
      engine.Run(Duration{80'000}, Duration{100'000});
      ++all;
      if (engine.Known() > Duration{48'000}) ++wrong;
    }
  }
  MESSAGE(wrong << " of " << all);
  CHECK(wrong * 10 < all);
}

TEST_CASE("an engine that ran nothing for long is unknown") {
  Engine engine;
  engine.Run(Duration{20'000}, kSecond * 2);
  CHECK_FALSE(engine.speed.TimePerEvent(engine.now + EngineSpeed::kMaxAge + kSecond).has_value());
}

TEST_CASE("engines that differ by less than half count as alike") {
  const std::vector<Duration> alike = {Duration{20'000}, Duration{26'000}};
  const std::vector<Duration> differ = {Duration{19'000}, Duration{32'000}};
  CHECK_FALSE(SpeedsDiffer(alike));
  CHECK(SpeedsDiffer(differ));
  CHECK_FALSE(SpeedsDiffer({}));
}

TEST_CASE("a class changes only clearly beyond its limit") {
  SpeedClass speed;
  const Duration fastest{20'000};
  CHECK_FALSE(speed.Update(Duration{30'500}, fastest));
  CHECK(speed.Update(Duration{32'000}, fastest));
  CHECK(speed.value() == 1);
  CHECK_FALSE(speed.Update(Duration{29'000}, fastest));
  CHECK(speed.Update(Duration{20'000}, fastest));
  CHECK(speed.value() == 0);
}

TEST_CASE("a time per event keeps its class over the wire") {
  CHECK(EncodeTimePerEvent(std::nullopt) == 0);
  CHECK_FALSE(DecodeTimePerEvent(0).has_value());
  CHECK_FALSE(DecodeTimePerEvent(kMaxSpeedCode + 1).has_value());
  for (Duration time{200}; time < Duration{400'000}; time += time / 3) {
    const Duration decoded = DecodeTimePerEvent(EncodeTimePerEvent(time)).value_or(Duration{0});
    CHECK(decoded * 100 >= time * 96);
    CHECK(decoded * 100 <= time * 104);
  }
}
