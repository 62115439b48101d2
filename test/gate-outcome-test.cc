// What the gate says about requests, and that it stays true.

#include <doctest/doctest.h>

#include "gate-fixture.h"

using namespace figmill;        // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::test;  // NOLINT(google-build-using-namespace)

namespace {

Dispatch Once(Dispatch dispatch) {
  dispatch.repeatable = false;
  dispatch.item.value = "key";
  return dispatch;
}

}  // namespace

// Symptom: a hazard flag goes out twice.
// Sequence: the dispatch to this agent hangs in the network; the entry revokes,
// hears "never started", sends it elsewhere; then the dispatch arrives here.
// Cause: nothing remembered the revoke.
TEST_CASE("a revoked request that arrives later never starts") {
  GateFixture f;
  const Dispatch late = Once(f.Online("r"));
  f.Step(Revoke{late.request, 1, late.stamp});
  CHECK(ValueOf(f.Answer()) == RequestState::kNeverStarted);
  f.Pass(std::chrono::seconds(20));
  f.Arrive(late);
  CHECK(f.Last<StartBackend>().empty());
  REQUIRE(f.Last<Refuse>().size() == 1);
  CHECK(f.Last<Refuse>()[0].error.ran == Ran::kNo);
}

// Symptom: as above, minutes later.
// Sequence: as above, but the copy arrives after the tombstone was dropped.
// Cause: tombstones are bounded, so age alone must stop what they no longer do.
TEST_CASE("a dispatch older than the table remembers is refused without a promise") {
  GateConfig config;
  SUBCASE("by age") {}
  SUBCASE("by number") {
    config.max_records = 4;
  }
  GateFixture f(config);
  const Dispatch late = Once(f.Online("r"));
  f.Step(Revoke{late.request, 1, late.stamp});
  for (int i = 0; i < 5; ++i) {
    f.Pass(std::chrono::seconds(30));
    f.Step(Revoke{RequestId{"other-" + std::to_string(i)}, 1, f.now});
  }
  f.Step(Tick{});
  f.Arrive(late);
  CHECK(f.Last<StartBackend>().empty());
  REQUIRE(f.Last<Refuse>().size() == 1);
  CHECK(f.Last<Refuse>()[0].error.kind == ErrorKind::kStaleOrders);
  CHECK(f.Last<Refuse>()[0].error.ran == Ran::kUnknown);
  f.Step(Revoke{late.request, 1, late.stamp});
  CHECK_FALSE(IsOk(f.Answer()));
  f.Arrive(Once(f.Online("fresh")));
  CHECK(f.Last<StartBackend>().size() == 1);
}

TEST_CASE("a request of unknown age that may not be repeated is refused as not run") {
  GateFixture f;
  Dispatch dispatch = Once(f.Online("r"));
  dispatch.stamp.reset();
  f.Arrive(dispatch);
  REQUIRE(f.Last<Refuse>().size() == 1);
  CHECK(f.Last<Refuse>()[0].error.ran == Ran::kNo);
}

// Symptom: a retry after "not run" and a late copy of the refused dispatch both run.
// Sequence: refused for overload, sent elsewhere, and the network delivers the
// first dispatch once more when there is room.
// Cause: a refusal was forgotten as soon as it was said.
TEST_CASE("a refused request stays refused") {
  GateFixture f;
  f.Step(LeavingChanged{true});
  f.Arrive(f.Online("r"));
  CHECK(f.Last<Refuse>().at(0).error.kind == ErrorKind::kLeaving);
  f.Step(LeavingChanged{false});
  f.Arrive(f.Online("r"));
  CHECK(f.Last<StartBackend>().empty());
  CHECK(f.Last<Refuse>().at(0).error.ran == Ran::kNo);
}

TEST_CASE("the second arrival of an id learns the truth and starts nothing") {
  GateFixture f;
  f.Arrive(f.Online("r"));
  CHECK(f.Last<StartBackend>().size() == 1);
  f.Arrive(f.Online("r"));
  CHECK(f.last.size() == 1);
  CHECK(f.Last<Refuse>().at(0).arrival == 2);
  CHECK(f.Last<Refuse>().at(0).error.ran == Ran::kYes);
  f.Step(Revoke{RequestId{"r"}, 1, f.now});
  CHECK(ValueOf(f.Answer()) == RequestState::kRunning);
  f.Step(BackendEnded{RequestId{"r"}});
  CHECK(f.Last<Finish>().at(0).arrival == 1);
  f.Arrive(f.Online("r"));
  CHECK(f.Last<Refuse>().at(0).error.ran == Ran::kYes);
  f.Step(Revoke{RequestId{"r"}, 1, f.now});
  CHECK(ValueOf(f.Answer()) == RequestState::kFinished);
}

// Symptom: work sent to an agent before its restart runs after it, unknown to
// the sender, who was told that the agent is gone.
// Sequence: dispatch, agent dies, its successor opens the same port, a proxy
// delivers the dispatch.
// Cause: the successor can't know what its predecessor ran.
TEST_CASE("a dispatch or revoke for another incarnation is refused") {
  GateConfig config;
  config.incarnation = 7;
  GateFixture f(config);
  Dispatch dispatch = f.Online("r");
  dispatch.incarnation = 6;
  f.Arrive(dispatch);
  CHECK(f.Last<Refuse>().at(0).error.kind == ErrorKind::kStaleOrders);
  CHECK(f.Last<Refuse>().at(0).error.ran == Ran::kNo);
  f.Step(Revoke{RequestId{"r"}, 6, f.now});
  CHECK_FALSE(IsOk(f.Answer()));
}

TEST_CASE("a backend server that can't be reached leaves the request not run") {
  GateFixture f;
  f.Arrive(f.Online("r"));
  f.Step(BackendFailed{RequestId{"r"}, Error{ErrorKind::kBackendFailed, "refused", Ran::kNo}});
  CHECK(f.Last<Refuse>().at(0).error.ran == Ran::kNo);
  f.Step(Revoke{RequestId{"r"}, 1, f.now});
  CHECK(ValueOf(f.Answer()) == RequestState::kNeverStarted);
}

// Symptom: an invoice is sent twice.
// Sequence: the stream of a call that may not be repeated breaks off, and the
// engine, restarted, holds it no more.
// Cause: running it again would be the second run; its outcome is unknown.
TEST_CASE("a lost stream of a not repeatable request ends as outcome unknown") {
  GateFixture f;
  f.Arrive(Once(f.Online("r")));
  f.Step(BackendTokens{RequestId{"r"}, 5});
  f.Step(BackendFailed{RequestId{"r"}, Error{ErrorKind::kBrokenAnswer, "eof", Ran::kUnknown}});
  REQUIRE(f.Last<ResumeBackend>().size() == 1);
  CHECK(f.Last<ResumeBackend>()[0].from == 5);
  f.Step(BackendFailed{RequestId{"r"}, Error{ErrorKind::kNotFound, "no stream"}});
  CHECK(f.Last<StartBackend>().empty());
  CHECK(f.Last<Refuse>().at(0).error.kind == ErrorKind::kOutcomeUnknown);
  CHECK(f.Last<Refuse>().at(0).error.ran == Ran::kUnknown);
}

// Symptom: the owner of a job died, its successor finds an intent, and the item
// runs twice or is given up although the engine has the answer.
// Sequence: dispatch, owner lost, successor dispatches the same id with the
// offset it holds.
// Cause: only the backend server knows; it is asked, and nothing is started.
TEST_CASE("a successor takes a stream up by its request id") {
  GateFixture f;
  Dispatch dispatch = f.Batch("r");
  dispatch.repeatable = false;
  f.Arrive(dispatch);
  f.Step(PeerGone{1});
  CHECK(f.last.empty());
  f.Pass(std::chrono::seconds(60));
  f.Step(Tick{});
  CHECK(f.Last<CancelBackend>().empty());
  dispatch.resume_from = 0;
  dispatch.epoch = 2;
  SUBCASE("while it runs") {}
  SUBCASE("after its end") {
    f.Step(BackendEnded{dispatch.request});
  }
  f.Arrive(dispatch);
  REQUIRE(f.Last<ResumeBackend>().size() == 1);
  CHECK(f.Last<ResumeBackend>()[0].adopted == 2);
  f.Step(BackendEnded{dispatch.request});
  CHECK(f.Last<Finish>().at(0).arrival == 2);
  CHECK(f.gate.counts().batch_running == 0);
}

// Symptom: an invoice is sent twice by the very call that asks what became of it.
// Sequence: a plain service's call ends; its sender died; the successor takes the
// request up, and the service is called again.
// Cause: only model engines keep streams that can be asked for.
TEST_CASE("a plain service is never called to take a request up") {
  GateConfig config;
  config.token_streams = false;
  GateFixture f(config);
  Dispatch dispatch = Once(f.Online("r"));
  f.Arrive(dispatch);
  f.Step(PeerGone{1});
  dispatch.resume_from = 0;
  f.Arrive(dispatch);
  CHECK(f.last.empty());  // it runs, and now answers the second arrival
  f.Step(BackendEnded{dispatch.request});
  CHECK(f.Last<Finish>().at(0).arrival == 2);
  f.Arrive(dispatch);
  CHECK(f.Last<Refuse>().at(0).error.kind == ErrorKind::kNotFound);
  CHECK(f.Last<Refuse>().at(0).error.ran == Ran::kYes);
  dispatch.request.value = "never seen here";
  f.Arrive(dispatch);
  CHECK(f.Last<Refuse>().at(0).error.ran == Ran::kUnknown);
  CHECK(f.Last<ResumeBackend>().empty());
}

TEST_CASE("a sender that went away stops its online request, unless the request has a key") {
  GateFixture f;
  f.Arrive(f.Online("plain"));
  f.Step(PeerGone{1});
  CHECK(f.Last<CancelBackend>().at(0).request.value == "plain");
  Dispatch keyed = f.Online("keyed");
  keyed.item.value = "key";
  f.Arrive(keyed);
  f.Step(PeerGone{2});
  CHECK(f.last.empty());
  f.Pass(std::chrono::seconds(11));
  f.Step(Tick{});
  CHECK(f.Last<CancelBackend>().at(0).request.value == "keyed");
}

// Symptom: a paused owner wakes, and its items take room from its successor's.
// Sequence: the owner pauses past its lease, a new one takes over under a higher epoch.
// Cause: queued work outlived the lease under which it was sent.
TEST_CASE("queued batch dies with its owner's epoch, or with its owner's silence") {
  GateFixture f;
  for (int i = 0; i < 3; ++i) f.Arrive(f.Batch("old-" + std::to_string(i)));
  REQUIRE(f.gate.counts().batch_queued == 2);
  SUBCASE("superseded") {
    f.Step(Supersede{JobId{"job"}, 2});
    REQUIRE(f.Last<Refuse>().size() == 3);
    CHECK(f.Last<Refuse>()[0].error.kind == ErrorKind::kFenced);
    CHECK(f.Last<Refuse>()[0].error.ran == Ran::kYes);  // old-0 was running
    CHECK(f.Last<Refuse>()[2].error.ran == Ran::kNo);
    f.Arrive(f.Batch("late", 1));
    CHECK(f.Last<Refuse>().at(0).error.kind == ErrorKind::kFenced);
  }
  SUBCASE("silent") {
    f.Step(OwnerSilent{NodeId{"entry-2"}});
    CHECK(f.last.empty());
    f.Step(OwnerSilent{NodeId{"entry-1"}});
    CHECK(f.Last<Refuse>().size() == 2);
    CHECK(f.Last<Detach>().size() == 1);  // old-0 runs on for a while
    f.Pass(std::chrono::seconds(11));
    f.Step(Tick{});
    CHECK(f.Last<CancelBackend>().size() == 1);
  }
}

TEST_CASE("a leaving gate takes nothing new and lets running streams end") {
  GateFixture f;
  f.Arrive(f.Online("running"));
  f.Arrive(f.Batch("batch-running"));
  f.Arrive(f.Batch("waiting"));
  f.Step(LeavingChanged{true});
  REQUIRE(f.Last<Refuse>().size() >= 1);
  CHECK(f.Last<Refuse>().back().request.value == "waiting");
  CHECK(f.Last<Refuse>().back().error.ran == Ran::kNo);
  CHECK(f.gate.counts().room == 0);
  f.Step(BackendEnded{RequestId{"running"}});
  CHECK(f.Last<Finish>().size() == 1);
}
