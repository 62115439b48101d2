// Load tests of bookings: for some seconds a team sends twice its limit, and callers that are
// refused return once.

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

#include "test/quota-policies.h"
#include "test/quota-sim.h"

using namespace figmill;       // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::sim;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr double kLimit = 279;  // requests a second; the burst is as large
constexpr double kCalm = 100;   // requests a second before and after the crest
constexpr double kCrest = 590;  // requests a second
constexpr double kCrestSeconds = 5.4;
constexpr Duration kCrestBegin = std::chrono::seconds(4);
constexpr Duration kCrestEnd = kCrestBegin + Duration{5'400'000};
constexpr Duration kSpan = std::chrono::seconds(20);
constexpr Duration kDeadline = std::chrono::seconds(5);
constexpr Duration kRun{700'000};

// What callers saw. One that left early is in none of the counts.
struct Outcomes {
  int callers = 0;
  int at_first_try = 0;
  int refused_first = 0;
  int refused_for_good = 0;
  int booked = 0;           // told to wait
  int booked_unserved = 0;  // of these, not served
  int held_too_long = 0;    // decided after the deadline
  double worst_window = 0;
};

double OfferedAt(const QuotaLoad& load, Duration at) {
  return at >= kCrestBegin && at < kCrestEnd ? load.offered : std::min(load.offered, kCalm);
}

QuotaLoad LoadOf(int entries, QuotaLoad::Fault fault = QuotaLoad::Fault::kNone) {
  QuotaLoad load;
  load.entries = entries;
  load.rate = load.burst = kLimit;
  load.offered = kCrest;
  load.fault = fault;
  // Within the crest: the load starts 5 s after the entries.
  load.fault_at = std::chrono::seconds(5) + kCrestBegin + std::chrono::seconds(3);
  load.fault_duration = std::chrono::seconds(4);
  return load;
}

// Callers that return once after a refusal.
class Callers {
 public:
  Callers(const QuotaLoad& load, double leaving)
      : load_(load), simulation_(load), policy_(simulation_), leaving_(leaving) {}

  Outcomes Run() {
    start_ = simulation_.now() + std::chrono::seconds(5);
    simulation_.RunUntil(start_);
    if (load_.fault == QuotaLoad::Fault::kAllRestarted) RestartRepeatedly();
    Arrive();
    simulation_.RunUntil(start_ + kSpan + kDeadline);
    outcomes_.worst_window = WorstWindow(load_, admitted_);
    return outcomes_;
  }

 private:
  void RestartRepeatedly() {
    for (Duration at{0}; at < load_.fault_duration; at += std::chrono::seconds(1)) {
      simulation_.After(load_.fault_at - std::chrono::seconds(5) + at,
                        [this] { policy_.RestartAll(); });
    }
  }
  void Arrive() {
    const Duration at = simulation_.now() - start_;
    if (at >= kSpan) return;
    Try(simulation_.now(), false);
    std::exponential_distribution<double> gap(OfferedAt(load_, at));
    simulation_.After(Duration(static_cast<Duration::rep>(gap(simulation_.random()) * 1e6)),
                      [this] { Arrive(); });
  }
  void Try(Time since, bool last_try) {
    const int entry = static_cast<int>(simulation_.Draw() * load_.entries);
    if (!simulation_.IsRunning(entry)) return;
    const Duration time_left = since + kDeadline - simulation_.now();
    if (!last_try) ++outcomes_.callers;
    const std::uint64_t ticket =
        policy_.AdmitCaller(entry, {0, time_left, last_try, time_left - kRun},
                            [this, since, last_try](const quota::Decision& decision) {
                              OnDecision(since, last_try, decision);
                            });
    if (last_try && simulation_.Draw() < leaving_) {
      simulation_.After(Duration{500'000}, [this, entry, ticket] { policy_.Leave(entry, ticket); });
    }
  }
  void OnDecision(Time since, bool last_try, const quota::Decision& decision) {
    const Duration time_left = since + kDeadline - simulation_.now();
    if (decision.booked) ++outcomes_.booked;
    if (time_left < Duration{0}) ++outcomes_.held_too_long;
    if (IsOk(decision.result)) {
      admitted_.push_back(simulation_.now());
      if (!last_try) ++outcomes_.at_first_try;
      return;
    }
    if (decision.booked) ++outcomes_.booked_unserved;
    if (last_try) {
      ++outcomes_.refused_for_good;
      return;
    }
    ++outcomes_.refused_first;
    const Duration delay = ErrorOf(decision.result).retry_after.value_or(Duration{0});
    simulation_.After(std::min(delay, time_left / 3), [this, since] { Try(since, true); });
  }

  QuotaLoad load_;
  QuotaSimulation simulation_;
  Credits policy_;
  double leaving_;  // share of the last tries whose caller leaves
  Time start_{};
  std::vector<Time> admitted_;
  Outcomes outcomes_;
};

Outcomes Simulate(const QuotaLoad& load, double leaving = 0) {
  return Callers(load, leaving).Run();
}

// Callers that no order of service could serve: those who wait longer than they may in a queue in
// which no credit is lost.
double FluidRefusals() {
  constexpr double kStep = 0.001;
  const double patience = std::chrono::duration<double>(kDeadline - kRun).count();
  double level = kLimit;
  double queue = 0;
  double refused = 0;
  for (double second = 0; second < kCrestSeconds; second += kStep) {
    level += (kLimit - kCrest) * kStep;
    queue = std::max(-level, 0.0) - refused;
    refused += std::max(queue - patience * kLimit, 0.0);
  }
  return refused;
}

double MostRefusals() {
  constexpr double kStatedRefusals = 500;
  constexpr double kMargin = 1.1;
  return std::max(kStatedRefusals, FluidRefusals() * kMargin);
}

}  // namespace

// Guards against refusing callers twice although credits lie idle before their deadline.
TEST_CASE("callers that a limit refuses for some seconds are served by the credits that follow") {
  for (const int entries : {30, 100, 300}) {
    for (unsigned seed = 1; seed <= 3; ++seed) {
      QuotaLoad load = LoadOf(entries);
      load.seed = seed;
      const Outcomes seen = Simulate(load);
      CAPTURE(entries);
      CAPTURE(seed);
      CHECK(seen.refused_for_good <= MostRefusals());
      CHECK(seen.booked > 0);
      CHECK(seen.booked_unserved * 100 < seen.booked);
      CHECK(seen.held_too_long == 0);
      CHECK(seen.worst_window <= 1);
    }
  }
}

// Guards against credits that stay booked for callers who are gone.
TEST_CASE("credits of callers who leave while they wait go to the others") {
  for (const int entries : {30, 300}) {
    const Outcomes seen = Simulate(LoadOf(entries), 0.3);
    CHECK(seen.refused_for_good <= MostRefusals());
    CHECK(seen.booked_unserved * 100 < seen.booked);
  }
}

// Guards against bookings that are spent at two owners.
TEST_CASE("a limit holds with bookings while its owner is killed, stopped, cut off or changes") {
  using Fault = QuotaLoad::Fault;
  for (const Fault fault : {Fault::kOwnerKilled, Fault::kOwnerStopped, Fault::kOwnerCut,
                            Fault::kSomeCut, Fault::kAllRestarted}) {
    for (const int entries : {30, 100, 300}) {
      for (unsigned seed = 1; seed <= 3; ++seed) {
        QuotaLoad load = LoadOf(entries, fault);
        load.seed = seed;
        const Outcomes seen = Simulate(load);
        CAPTURE(static_cast<int>(fault));
        CAPTURE(entries);
        CAPTURE(seed);
        CHECK(seen.worst_window <= 1);
      }
    }
  }
}

// Guards against new owners that start almost empty.
TEST_CASE("a team far below its limit is served after all entries were restarted") {
  for (const double rate : {4.0, 10.0, 40.0, 279.0}) {
    int callers = 0;
    int refused = 0;
    for (unsigned seed = 1; seed <= 10; ++seed) {
      QuotaLoad load = LoadOf(30, QuotaLoad::Fault::kAllRestarted);
      load.rate = load.burst = rate;
      load.offered = rate / 2;
      load.fault_duration = std::chrono::seconds(1);
      load.seed = seed;
      const Outcomes seen = Simulate(load);
      callers += seen.callers;
      refused += seen.refused_for_good;
      CHECK(seen.worst_window <= 1);
    }
    CAPTURE(rate);
    CHECK(refused * 1'000 <= callers);
  }
}
// Guards against credits that overflow a small bucket before the callers they are booked for ask.
TEST_CASE("callers who are told to wait are served whatever the burst of their team") {
  for (const double rate : {10.0, 279.0}) {
    for (const double burst : {2.0, 3.0, 10.0, 30.0}) {
      QuotaLoad load = LoadOf(30);
      load.rate = rate;
      load.burst = burst;
      load.offered = 2 * rate;
      const Outcomes seen = Simulate(load);
      CAPTURE(rate);
      CAPTURE(burst);
      CHECK(seen.booked > 0);
      CHECK(seen.booked_unserved * 100 < seen.booked);
      CHECK(seen.worst_window <= 1);
    }
  }
}
