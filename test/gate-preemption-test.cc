// Online before batch.

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "gate-fixture.h"

using namespace figmill;        // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::test;  // NOLINT(google-build-using-namespace)

// Symptom: an agronomist waits while a seasonal report is written.
// Sequence: batch fills the engine in an idle moment; a visit note arrives.
// Cause: the engine knows no priorities, so only stopping batch makes room.
TEST_CASE("batch is stopped in the step in which online arrives, least work first") {
  GateFixture f;
  f.RunBatch(8);
  REQUIRE(f.gate.counts().batch_running == 8);
  for (int i = 0; i < 8; ++i) {
    f.Step(BackendTokens{RequestId{"batch-" + std::to_string(i)}, i == 3 ? 1U : 50U});
  }
  f.Arrive(f.Online("note"));
  CHECK(f.Last<StartBackend>().size() == 1);
  const auto stops = f.Last<CancelBackend>();
  REQUIRE(stops.size() >= 1);
  CHECK(stops[0].request.value == "batch-3");
  CHECK(f.gate.counts().batch_running <= f.gate.counts().batch_limit);
  CHECK(f.gate.counts().batch_paused == static_cast<int>(stops.size()));
  CHECK(std::holds_alternative<CancelBackend>(f.last[0]));  // room first
}

// Symptom: a resumed batch item ends without an answer.
// Sequence: stopped for online, resumed when online ended, and only then does
// the engine carry out the stop.
// Cause: two orders about one stream in flight at once.
TEST_CASE("a stopped stream goes on at its offset once the stop is confirmed") {
  GateFixture f;
  f.RunBatch(8);
  f.Step(BackendTokens{RequestId{"batch-0"}, 7});
  f.Arrive(f.Online("note"));
  const auto stops = f.Last<CancelBackend>();
  f.Step(BackendEnded{RequestId{"note"}});
  CHECK(f.Last<ResumeBackend>().empty());
  std::set<std::string> resumed;
  for (const CancelBackend& stop : stops) {
    f.Step(BackendStopped{stop.request});
    for (const ResumeBackend& resume : f.Last<ResumeBackend>()) {
      resumed.insert(resume.request.value);
      CHECK(resume.from == (resume.request.value == "batch-0" ? 8 : 1));
      f.Pass(Duration(20'000));
      f.Step(BackendTokens{resume.request});
    }
  }
  CHECK(resumed.size() == stops.size());
}

TEST_CASE("a stream that the engine no longer holds is run again if it may be") {
  GateFixture f;
  f.RunBatch(8);
  f.Arrive(f.Online("note"));
  const CancelBackend stop = f.Last<CancelBackend>().at(0);
  f.Step(BackendEnded{RequestId{"note"}});
  f.Step(BackendStopped{stop.request});
  REQUIRE(f.Last<ResumeBackend>().size() == 1);
  f.Step(BackendFailed{stop.request, Error{ErrorKind::kNotFound, "no stream"}});
  REQUIRE(f.Last<StartBackend>().size() == 1);
  CHECK(f.Last<StartBackend>()[0].rerun);
}

TEST_CASE("batch that may not be repeated is never stopped and holds few places") {
  GateFixture f;
  for (int i = 0; i < 8; ++i) {
    Dispatch dispatch = f.Batch("once-" + std::to_string(i));
    dispatch.repeatable = false;
    f.Arrive(dispatch);
    for (const StartBackend& start : f.Last<StartBackend>()) f.Step(BackendTokens{start.request});
  }
  const int running = f.gate.counts().batch_running;
  CHECK(running == 2);
  f.Arrive(f.Online("note"));
  CHECK(f.Last<CancelBackend>().empty());
  CHECK(f.Last<StartBackend>().size() == 1);
}

// Symptom: online's p95 token gap grows with batch, although batch is small.
// Sequence: online runs, and each batch prompt that is read stretches a step.
// Cause: batch starts weren't paced while online ran.
TEST_CASE("beside online batch prompts are read one at a time and far apart") {
  GateConfig config;
  config.batch_harm = 10;  // room for many
  GateFixture f(config);
  f.Arrive(f.Online("note"));
  f.Step(BackendTokens{RequestId{"note"}});
  int starts = 0;
  for (int i = 0; i < 20; ++i) {
    f.Arrive(f.Batch("batch-" + std::to_string(i)));
    for (const StartBackend& start : f.Last<StartBackend>()) {
      ++starts;
      f.Step(BackendTokens{start.request});
    }
    f.Pass(Duration(10'000));
  }
  CHECK(starts == 1);
}

TEST_CASE("online that can't be answered in time is refused at once, with when to come back") {
  GateConfig config;
  config.max_running = 2;
  GateFixture f(config);
  int refused = 0;
  for (int i = 0; i < 50; ++i) {
    f.Arrive(f.Online("note-" + std::to_string(i)));
    for (const Refuse& refuse : f.Last<Refuse>()) {
      ++refused;
      CHECK(refuse.error.kind == ErrorKind::kOverloaded);
      CHECK(refuse.error.ran == Ran::kNo);
      CHECK(refuse.error.retry_after >= Duration(1'000'000));
    }
  }
  CHECK(refused > 40);
  CHECK(f.gate.counts().online_running == 2);
}

// Symptom: an idle engine refuses nearly all online work.
// Sequence: the engine's report falls between an arrival and the next step, so
// it shows two streams running and one waiting.
// Cause: that was taken for an engine with two places.
TEST_CASE("the engine's own queue sets the limit only when it lasts") {
  GateFixture f;
  f.RunBatch(8);
  f.Arrive(f.Batch("newcomer"));
  const int before = f.gate.counts().batch_limit;
  f.Step(LoadReported{{8, 1, 0.1}});
  CHECK(f.gate.counts().batch_limit == before);
  f.Pass(Duration(300'000));
  f.Step(LoadReported{{8, 1, 0.1}});
  CHECK(f.gate.counts().batch_limit == 8);
  CHECK(f.gate.counts().online_limit == 8);
}
