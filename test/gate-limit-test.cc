#include <doctest/doctest.h>

#include <map>
#include <utility>

#include "test/gate-fixture.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using test::SchedulerFixture;

namespace {

// Of the answers, so that the streams end one by one.
constexpr std::uint64_t kLeastTokens = 30;
constexpr std::uint64_t kSpreadOfTokens = 21;

struct Outcomes {
  int answered = 0;
  int refused = 0;
};

// Callers that send their next request when one ends, and 100 ms after a refusal, to an engine
// whose gap between tokens is `single` for one stream, and `per_stream` more for each further.
class ClosedLoop {
 public:
  ClosedLoop(int callers, Duration single, Duration per_stream)
      : callers_(callers), single_(single), per_stream_(per_stream) {}

  void SetGap(Duration single) { single_ = single; }
  void SetCallers(int callers) { callers_ = callers; }
  // Makes the next step longer.
  void Stall(Duration time) { stall_ = time; }
  Outcomes Run(Duration time) {
    outcomes_ = {};
    for (const Time end = fixture_.now + time; fixture_.now < end;) {
      for (int caller = 0; caller < callers_; ++caller) SendIfDue(caller);
      const auto more = static_cast<int>(tokens_.empty() ? 0 : tokens_.size() - 1);
      fixture_.AdvanceTime(single_ + more * per_stream_ + std::exchange(stall_, Duration(0)));
      TakeStep();
    }
    return outcomes_;
  }
  [[nodiscard]] SchedulerStats counts() const { return fixture_.scheduler.counts(); }

 private:
  void SendIfDue(int caller) {
    const auto due = due_.find(caller);
    if (due != due_.end() && fixture_.now < due->second) return;
    if (open_.contains(caller)) return;
    const RequestId request{std::to_string(caller) + "-" + std::to_string(++sent_)};
    open_[caller] = request;
    Take(fixture_.Arrive(fixture_.Online(request.value)));
  }
  // One step of the engine: a token of each stream, then the ends.
  void TakeStep() {
    const std::map<RequestId, std::uint64_t> running = tokens_;
    for (const auto& [request, left] : running) Take(fixture_.Step(StreamTokens{request, 1}));
    for (const auto& [request, left] : running) {
      if (--tokens_.at(request) > 0) continue;
      tokens_.erase(request);
      ++outcomes_.answered;
      std::erase_if(open_, [&id = request](const auto& each) { return each.second == id; });
      Take(fixture_.Step(StreamFinished{request}));
    }
  }
  void Take(const std::vector<SchedulerAction>& actions) {
    for (const SchedulerAction& action : actions) {
      if (const auto* start = std::get_if<StartStream>(&action)) {
        tokens_[start->request] = kLeastTokens + ++started_ % kSpreadOfTokens;
      }
      const auto* failed = std::get_if<FailRequest>(&action);
      if (failed == nullptr) continue;
      ++outcomes_.refused;
      for (const auto& [caller, request] : open_) {
        if (request == failed->request)
          due_[caller] = fixture_.now + std::chrono::milliseconds(100);
      }
      std::erase_if(open_, [&](const auto& each) { return each.second == failed->request; });
    }
  }

  SchedulerFixture fixture_;
  int callers_;
  Duration single_, per_stream_;
  Duration stall_{0};
  int sent_ = 0;
  std::uint64_t started_ = 0;
  Outcomes outcomes_;
  std::map<int, RequestId> open_;              // by caller
  std::map<int, Time> due_;                    // of each caller's next request, after a refusal
  std::map<RequestId, std::uint64_t> tokens_;  // left of each running stream
};

}  // namespace

TEST_CASE("an engine slower than the target serves its callers side by side") {
  // Guards against an engine that answers one caller and refuses all others, since one stream
  // alone misses the target of the token gap.
  ClosedLoop loop(8, Duration(80'000), Duration(500));
  loop.Run(std::chrono::seconds(20));
  const Outcomes outcomes = loop.Run(std::chrono::seconds(60));
  CHECK(outcomes.refused == 0);
  CHECK(outcomes.answered > 8 * 60 / 4);  // an answer takes 3.4 s
}

TEST_CASE("an engine that is slow for some seconds refuses nobody, then or afterwards") {
  ClosedLoop loop(8, Duration(20'000), Duration(500));
  loop.Run(std::chrono::seconds(20));
  loop.SetGap(Duration(90'000));
  CHECK(loop.Run(std::chrono::seconds(10)).refused == 0);
  loop.SetGap(Duration(20'000));
  CHECK(loop.Run(std::chrono::seconds(10)).refused == 0);
}

TEST_CASE("one stall of an engine refuses nobody after it") {
  // Guards against a limit that falls to a few streams, for as long as it takes to outweigh one
  // long gap: most when many streams have just come to an engine that had few.
  for (const int delay_ms : {50, 100, 200, 400, 800}) {
    for (const int stall_ms : {300, 600, 1000, 2000}) {
      CAPTURE(delay_ms);
      CAPTURE(stall_ms);
      ClosedLoop loop(2, Duration(20'000), Duration(350));
      loop.Run(std::chrono::seconds(4));
      loop.SetCallers(8);
      loop.Run(std::chrono::milliseconds(delay_ms));
      loop.Stall(std::chrono::milliseconds(stall_ms));
      CHECK(loop.Run(std::chrono::seconds(5)).refused == 0);
    }
  }
}

TEST_CASE("an engine that only many streams slow down keeps to the target") {
  ClosedLoop loop(60, Duration(20'000), Duration(2'000));
  loop.Run(std::chrono::seconds(60));
  const SchedulerStats counts = loop.counts();
  CHECK(counts.online_limit >= 18);
  CHECK(counts.online_limit <= 22);  // (61 - 20) / 2 streams
}
