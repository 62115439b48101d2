// Online requests take precedence over batch items.

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "gate-fixture.h"

using namespace figmill;        // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::test;  // NOLINT(google-build-using-namespace)

// An online caller must not wait for batch: batch fills an idle engine, then an online
// request arrives. The engine has no priorities, so only stopping batch frees a slot.
TEST_CASE("batch is stopped in the step in which online arrives, least work first") {
  SchedulerFixture fixture;
  fixture.StartBatchStreams(8);
  REQUIRE(fixture.scheduler.counts().batch_running == 8);
  for (int i = 0; i < 8; ++i) {
    fixture.Step(StreamTokens{RequestId{"batch-" + std::to_string(i)}, i == 3 ? 1U : 50U});
  }
  fixture.Arrive(fixture.Online("note"));
  CHECK(fixture.LastActions<StartStream>().size() == 1);
  const auto stops = fixture.LastActions<StopStream>();
  REQUIRE(stops.size() >= 1);
  CHECK(stops[0].request.value == "batch-3");
  CHECK(fixture.scheduler.counts().batch_running <= fixture.scheduler.counts().batch_limit);
  CHECK(fixture.scheduler.counts().batch_paused == static_cast<int>(stops.size()));
  CHECK(std::holds_alternative<StopStream>(fixture.last_actions[0]));  // slots are freed first
}

// A resumed batch item must not end without an answer: it is stopped for online and
// resumed when online has ended, and only then does the engine carry out the stop.
// Two commands about one stream would be in flight at once.
TEST_CASE("a stopped stream is resumed at its offset once the stop is confirmed") {
  SchedulerFixture fixture;
  fixture.StartBatchStreams(8);
  fixture.Step(StreamTokens{RequestId{"batch-0"}, 7});
  fixture.Arrive(fixture.Online("note"));
  const auto stops = fixture.LastActions<StopStream>();
  fixture.Step(StreamFinished{RequestId{"note"}});
  CHECK(fixture.LastActions<ResumeStream>().empty());
  std::set<std::string> resumed;
  for (const StopStream& stop : stops) {
    fixture.Step(StreamStopped{stop.request});
    for (const ResumeStream& resume : fixture.LastActions<ResumeStream>()) {
      resumed.insert(resume.request.value);
      CHECK(resume.from == (resume.request.value == "batch-0" ? 8 : 1));
      fixture.AdvanceTime(Duration(20'000));
      fixture.Step(StreamTokens{resume.request});
    }
  }
  CHECK(resumed.size() == stops.size());
}

TEST_CASE("a stream that the engine no longer holds is rerun if it is repeatable") {
  SchedulerFixture fixture;
  fixture.StartBatchStreams(8);
  fixture.Arrive(fixture.Online("note"));
  const StopStream stop = fixture.LastActions<StopStream>().at(0);
  fixture.Step(StreamFinished{RequestId{"note"}});
  fixture.Step(StreamStopped{stop.request});
  REQUIRE(fixture.LastActions<ResumeStream>().size() == 1);
  fixture.Step(StreamFailed{stop.request, Error{ErrorKind::kNotFound, "no stream"}});
  REQUIRE(fixture.LastActions<StartStream>().size() == 1);
  CHECK(fixture.LastActions<StartStream>()[0].rerun);
}

TEST_CASE("non-repeatable batch items are never stopped and hold few slots") {
  SchedulerFixture fixture;
  for (int i = 0; i < 8; ++i) {
    Dispatch dispatch = fixture.Batch("once-" + std::to_string(i));
    dispatch.repeatable = false;
    fixture.Arrive(dispatch);
    for (const StartStream& start : fixture.LastActions<StartStream>())
      fixture.Step(StreamTokens{start.request});
  }
  const int running = fixture.scheduler.counts().batch_running;
  CHECK(running == 2);
  fixture.Arrive(fixture.Online("note"));
  CHECK(fixture.LastActions<StopStream>().empty());
  CHECK(fixture.LastActions<StartStream>().size() == 1);
}

// The online p95 token gap must not grow with a small batch load: while online runs,
// each prefill of a batch prompt lengthens a step. Batch starts must be spaced out.
TEST_CASE("while online runs batch prompts are prefilled one at a time and far apart") {
  SchedulerConfig config;
  config.max_batch_slowdown = 10;  // the limit allows many
  SchedulerFixture fixture(config);
  fixture.Arrive(fixture.Online("note"));
  fixture.Step(StreamTokens{RequestId{"note"}});
  int starts = 0;
  for (int i = 0; i < 20; ++i) {
    fixture.Arrive(fixture.Batch("batch-" + std::to_string(i)));
    for (const StartStream& start : fixture.LastActions<StartStream>()) {
      ++starts;
      fixture.Step(StreamTokens{start.request});
    }
    fixture.AdvanceTime(Duration(10'000));
  }
  CHECK(starts == 1);
}

TEST_CASE("online requests that can't be answered in time are refused at once, with a retry time") {
  SchedulerConfig config;
  config.max_running = 2;
  SchedulerFixture fixture(config);
  int refused = 0;
  for (int i = 0; i < 50; ++i) {
    fixture.Arrive(fixture.Online("note-" + std::to_string(i)));
    for (const FailRequest& failed : fixture.LastActions<FailRequest>()) {
      ++refused;
      CHECK(failed.error.kind == ErrorKind::kOverloaded);
      CHECK(failed.error.ran == Ran::kNo);
      CHECK(failed.error.retry_after >= Duration(1'000'000));
    }
  }
  CHECK(refused > 40);
  CHECK(fixture.scheduler.counts().online_running == 2);
}

// An idle engine must not failed nearly all online requests: the engine's report falls
// between an arrival and the next step, so it shows two streams running and one
// waiting, which would be taken for an engine with two slots.
TEST_CASE("the engine's own queue sets the limit only when it lasts") {
  SchedulerFixture fixture;
  fixture.StartBatchStreams(8);
  fixture.Arrive(fixture.Batch("newcomer"));
  const int before = fixture.scheduler.counts().batch_limit;
  fixture.Step(LoadReported{{8, 1, 0.1}});
  CHECK(fixture.scheduler.counts().batch_limit == before);
  fixture.AdvanceTime(Duration(300'000));
  fixture.Step(LoadReported{{8, 1, 0.1}});
  CHECK(fixture.scheduler.counts().batch_limit == 8);
  CHECK(fixture.scheduler.counts().online_limit == 8);
}
