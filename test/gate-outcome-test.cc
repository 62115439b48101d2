// The outcomes that the scheduler reports of requests stay true.

#include <doctest/doctest.h>

#include "gate-fixture.h"

using namespace figmill;        // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::test;  // NOLINT(google-build-using-namespace)

namespace {

Dispatch NonRepeatable(Dispatch dispatch) {
  dispatch.repeatable = false;
  dispatch.item.value = "key";
  return dispatch;
}

}  // namespace

// A hazard flag must not be sent twice: the dispatch to this agent is delayed in the
// network; the entry revokes it, gets "never started" and sends it elsewhere; then
// the dispatch arrives here. Without a record of the revoke it would run.
TEST_CASE("a revoked request that arrives later never starts") {
  SchedulerFixture fixture;
  const Dispatch late = NonRepeatable(fixture.Online("r"));
  fixture.Step(Revoke{late.request, 1, late.stamp});
  CHECK(ValueOf(fixture.LastCommandState()) == RequestState::kNeverStarted);
  fixture.AdvanceTime(std::chrono::seconds(20));
  fixture.Arrive(late);
  CHECK(fixture.LastActions<StartStream>().empty());
  REQUIRE(fixture.LastActions<FailRequest>().size() == 1);
  CHECK(fixture.LastActions<FailRequest>()[0].error.ran == Ran::kNo);
}

// As above, but the copy arrives minutes later, after the tombstone was evicted.
// Tombstones are bounded in number and age, so the dispatch must be refused by its
// age alone.
TEST_CASE("a dispatch older than the table's records is refused with an unknown outcome") {
  SchedulerConfig config;
  SUBCASE("by age") {}
  SUBCASE("by number") {
    config.max_records = 4;
  }
  SchedulerFixture fixture(config);
  const Dispatch late = NonRepeatable(fixture.Online("r"));
  fixture.Step(Revoke{late.request, 1, late.stamp});
  for (int i = 0; i < 5; ++i) {
    fixture.AdvanceTime(std::chrono::seconds(30));
    fixture.Step(Revoke{RequestId{"other-" + std::to_string(i)}, 1, fixture.now});
  }
  fixture.Step(Tick{});
  fixture.Arrive(late);
  CHECK(fixture.LastActions<StartStream>().empty());
  REQUIRE(fixture.LastActions<FailRequest>().size() == 1);
  CHECK(fixture.LastActions<FailRequest>()[0].error.kind == ErrorKind::kStaleOrders);
  CHECK(fixture.LastActions<FailRequest>()[0].error.ran == Ran::kUnknown);
  fixture.Step(Revoke{late.request, 1, late.stamp});
  CHECK_FALSE(IsOk(fixture.LastCommandState()));
  fixture.Arrive(NonRepeatable(fixture.Online("fresh")));
  CHECK(fixture.LastActions<StartStream>().size() == 1);
}

TEST_CASE("a non-repeatable request of unknown age is refused as not run") {
  SchedulerFixture fixture;
  Dispatch dispatch = NonRepeatable(fixture.Online("r"));
  dispatch.stamp.reset();
  fixture.Arrive(dispatch);
  REQUIRE(fixture.LastActions<FailRequest>().size() == 1);
  CHECK(fixture.LastActions<FailRequest>()[0].error.ran == Ran::kNo);
}

// A retry after "not run" and a late copy of the refused dispatch must not both run:
// the request is refused for overload and sent elsewhere, and the network delivers
// the first dispatch again when a slot is free. Without a record of the refusal the
// copy would run.
TEST_CASE("a refused request stays refused") {
  SchedulerFixture fixture;
  fixture.Step(LeavingChanged{true});
  fixture.Arrive(fixture.Online("r"));
  CHECK(fixture.LastActions<FailRequest>().at(0).error.kind == ErrorKind::kLeaving);
  fixture.Step(LeavingChanged{false});
  fixture.Arrive(fixture.Online("r"));
  CHECK(fixture.LastActions<StartStream>().empty());
  CHECK(fixture.LastActions<FailRequest>().at(0).error.ran == Ran::kNo);
}

TEST_CASE("a second arrival of an id gets the request's state and starts nothing") {
  SchedulerFixture fixture;
  fixture.Arrive(fixture.Online("r"));
  CHECK(fixture.LastActions<StartStream>().size() == 1);
  fixture.Arrive(fixture.Online("r"));
  CHECK(fixture.last_actions.size() == 1);
  CHECK(fixture.LastActions<FailRequest>().at(0).arrival == 2);
  CHECK(fixture.LastActions<FailRequest>().at(0).error.ran == Ran::kYes);
  fixture.Step(Revoke{RequestId{"r"}, 1, fixture.now});
  CHECK(ValueOf(fixture.LastCommandState()) == RequestState::kRunning);
  fixture.Step(StreamFinished{RequestId{"r"}});
  CHECK(fixture.LastActions<CompleteRequest>().at(0).arrival == 1);
  fixture.Arrive(fixture.Online("r"));
  CHECK(fixture.LastActions<FailRequest>().at(0).error.ran == Ran::kYes);
  fixture.Step(Revoke{RequestId{"r"}, 1, fixture.now});
  CHECK(ValueOf(fixture.LastCommandState()) == RequestState::kFinished);
}

// A request sent to an agent before its restart must not run after it, as its sender
// was told that the agent is gone: the agent dies after the dispatch, its successor
// opens the same port, and a proxy delivers the dispatch. The successor can't know
// what its predecessor ran.
TEST_CASE("a dispatch or revoke for another incarnation is refused") {
  SchedulerConfig config;
  config.incarnation = 7;
  SchedulerFixture fixture(config);
  Dispatch dispatch = fixture.Online("r");
  dispatch.incarnation = 6;
  fixture.Arrive(dispatch);
  CHECK(fixture.LastActions<FailRequest>().at(0).error.kind == ErrorKind::kStaleOrders);
  CHECK(fixture.LastActions<FailRequest>().at(0).error.ran == Ran::kNo);
  fixture.Step(Revoke{RequestId{"r"}, 6, fixture.now});
  CHECK_FALSE(IsOk(fixture.LastCommandState()));
}

TEST_CASE("a request to an unreachable backend server is reported as not run") {
  SchedulerFixture fixture;
  fixture.Arrive(fixture.Online("r"));
  fixture.Step(StreamFailed{RequestId{"r"}, Error{ErrorKind::kBackendFailed, "refused", Ran::kNo}});
  CHECK(fixture.LastActions<FailRequest>().at(0).error.ran == Ran::kNo);
  fixture.Step(Revoke{RequestId{"r"}, 1, fixture.now});
  CHECK(ValueOf(fixture.LastCommandState()) == RequestState::kNeverStarted);
}

// An invoice must not be sent twice: the stream of a call that must not be repeated
// breaks off, and the restarted engine no longer holds it. Running it again would be
// a second run, so its outcome is unknown.
TEST_CASE("a lost stream of a non-repeatable request ends as outcome unknown") {
  SchedulerFixture fixture;
  fixture.Arrive(NonRepeatable(fixture.Online("r")));
  fixture.Step(StreamTokens{RequestId{"r"}, 5});
  fixture.Step(StreamFailed{RequestId{"r"}, Error{ErrorKind::kBrokenAnswer, "eof", Ran::kUnknown}});
  REQUIRE(fixture.LastActions<ResumeStream>().size() == 1);
  CHECK(fixture.LastActions<ResumeStream>()[0].from == 5);
  fixture.Step(StreamFailed{RequestId{"r"}, Error{ErrorKind::kNotFound, "no stream"}});
  CHECK(fixture.LastActions<StartStream>().empty());
  CHECK(fixture.LastActions<FailRequest>().at(0).error.kind == ErrorKind::kOutcomeUnknown);
  CHECK(fixture.LastActions<FailRequest>().at(0).error.ran == Ran::kUnknown);
}

// An item must neither run twice nor be abandoned although the engine has the answer:
// the job's owner dies after the dispatch, its successor finds the stored intent and
// dispatches the same id with the offset that it holds. Only the backend server knows
// the state, so it is asked and nothing is started.
TEST_CASE("a successor reattaches to a stream by its request id") {
  SchedulerFixture fixture;
  Dispatch dispatch = fixture.Batch("r");
  dispatch.repeatable = false;
  fixture.Arrive(dispatch);
  fixture.Step(SenderDisconnected{1});
  CHECK(fixture.last_actions.empty());
  fixture.AdvanceTime(std::chrono::seconds(60));
  fixture.Step(Tick{});
  CHECK(fixture.LastActions<StopStream>().empty());
  dispatch.resume_from = 0;
  dispatch.epoch = 2;
  SUBCASE("while it runs") {}
  SUBCASE("after its end") {
    fixture.Step(StreamFinished{dispatch.request});
  }
  fixture.Arrive(dispatch);
  REQUIRE(fixture.LastActions<ResumeStream>().size() == 1);
  CHECK(fixture.LastActions<ResumeStream>()[0].reattached_arrival == 2);
  fixture.Step(StreamFinished{dispatch.request});
  CHECK(fixture.LastActions<CompleteRequest>().at(0).arrival == 2);
  CHECK(fixture.scheduler.counts().batch_running == 0);
}

// An invoice must not be sent twice by the call that asks for its outcome: the call to
// a plain service ends after its sender died, and the successor that reattaches would
// cause a second call. Only model engines keep streams that can be resumed.
TEST_CASE("reattaching to a request never calls a plain service") {
  SchedulerConfig config;
  config.token_streams = false;
  SchedulerFixture fixture(config);
  Dispatch dispatch = NonRepeatable(fixture.Online("r"));
  fixture.Arrive(dispatch);
  fixture.Step(SenderDisconnected{1});
  dispatch.resume_from = 0;
  fixture.Arrive(dispatch);
  CHECK(fixture.last_actions.empty());  // it still runs and will answer the second arrival
  fixture.Step(StreamFinished{dispatch.request});
  CHECK(fixture.LastActions<CompleteRequest>().at(0).arrival == 2);
  fixture.Arrive(dispatch);
  CHECK(fixture.LastActions<FailRequest>().at(0).error.kind == ErrorKind::kNotFound);
  CHECK(fixture.LastActions<FailRequest>().at(0).error.ran == Ran::kYes);
  dispatch.request.value = "never seen here";
  fixture.Arrive(dispatch);
  CHECK(fixture.LastActions<FailRequest>().at(0).error.ran == Ran::kUnknown);
  CHECK(fixture.LastActions<ResumeStream>().empty());
}

TEST_CASE("a disconnected sender's online request is stopped, unless it has a key") {
  SchedulerFixture fixture;
  fixture.Arrive(fixture.Online("plain"));
  fixture.Step(SenderDisconnected{1});
  CHECK(fixture.LastActions<StopStream>().at(0).request.value == "plain");
  Dispatch keyed = fixture.Online("keyed");
  keyed.item.value = "key";
  fixture.Arrive(keyed);
  fixture.Step(SenderDisconnected{2});
  CHECK(fixture.last_actions.empty());
  fixture.AdvanceTime(std::chrono::seconds(11));
  fixture.Step(Tick{});
  CHECK(fixture.LastActions<StopStream>().at(0).request.value == "keyed");
}

// The items of a former owner must not use capacity of its successor's: the owner is
// paused past its lease and a new one takes over under a higher epoch. The queued
// items would outlive the lease under which they were sent.
TEST_CASE("queued batch items are dropped when their owner is superseded or lost") {
  SchedulerFixture fixture;
  for (int i = 0; i < 3; ++i) fixture.Arrive(fixture.Batch("old-" + std::to_string(i)));
  REQUIRE(fixture.scheduler.counts().batch_queued == 2);
  SUBCASE("superseded") {
    fixture.Step(Supersede{JobId{"job"}, 2});
    REQUIRE(fixture.LastActions<FailRequest>().size() == 3);
    CHECK(fixture.LastActions<FailRequest>()[0].error.kind == ErrorKind::kFenced);
    CHECK(fixture.LastActions<FailRequest>()[0].error.ran == Ran::kYes);  // old-0 was running
    CHECK(fixture.LastActions<FailRequest>()[2].error.ran == Ran::kNo);
    fixture.Arrive(fixture.Batch("late", 1));
    CHECK(fixture.LastActions<FailRequest>().at(0).error.kind == ErrorKind::kFenced);
  }
  SUBCASE("lost") {
    fixture.Step(OwnerLost{NodeId{"entry-2"}});
    CHECK(fixture.last_actions.empty());
    fixture.Step(OwnerLost{NodeId{"entry-1"}});
    CHECK(fixture.LastActions<FailRequest>().size() == 2);
    CHECK(fixture.LastActions<DetachSender>().size() == 1);  // old-0 continues for a time
    fixture.AdvanceTime(std::chrono::seconds(11));
    fixture.Step(Tick{});
    CHECK(fixture.LastActions<StopStream>().size() == 1);
  }
}

TEST_CASE("a leaving scheduler refuses new requests and lets running streams end") {
  SchedulerFixture fixture;
  fixture.Arrive(fixture.Online("running"));
  fixture.Arrive(fixture.Batch("batch-running"));
  fixture.Arrive(fixture.Batch("waiting"));
  fixture.Step(LeavingChanged{true});
  REQUIRE(fixture.LastActions<FailRequest>().size() >= 1);
  CHECK(fixture.LastActions<FailRequest>().back().request.value == "waiting");
  CHECK(fixture.LastActions<FailRequest>().back().error.ran == Ran::kNo);
  CHECK(fixture.scheduler.counts().room == 0);
  fixture.Step(StreamFinished{RequestId{"running"}});
  CHECK(fixture.LastActions<CompleteRequest>().size() == 1);
}
