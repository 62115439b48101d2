#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "figmill/relay.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{1'000'000}};

BackendAddress Backend(const std::string& id) {
  return {BackendId{id}, Address{"10.0.0.1", 80}};
}

HttpHead Answer(int status) {
  return {status, {{"Stamp", "s"}}};
}

template <typename T>
const T* Last(const std::vector<relay::Action>& actions) {
  const T* last = nullptr;
  for (const relay::Action& action : actions) {
    if (const T* found = std::get_if<T>(&action)) last = found;
  }
  return last;
}

// A request that was sent to backend server "a".
struct Sent {
  explicit Sent(RelayPlan plan) : run(std::move(plan)) {
    (void)run.Step(kStart, relay::Start{});
    actions = run.Step(kStart, relay::Placed{Backend("a")});
  }
  std::vector<relay::Action>& Step(const relay::Event& event, Time now = kStart) {
    actions = run.Step(now, event);
    return actions;
  }
  RelayRun run;
  std::vector<relay::Action> actions;
};

RelayPlan Plan() {
  RelayPlan plan;
  plan.request = RequestId{"r"};
  plan.limit = kStart + Duration{5'000'000};
  plan.max_backends = 2;
  return plan;
}

RelayPlan IdempotentPlan() {
  RelayPlan plan = Plan();
  plan.idempotent = true;
  return plan;
}

RelayPlan ResumablePlan() {
  RelayPlan plan = IdempotentPlan();
  plan.stream = true;
  plan.resumable = true;
  return plan;
}

}  // namespace

TEST_CASE("a whole answer is passed on unchanged") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "ab"});
  sent.Step(relay::Bytes{1, "c"});
  sent.Step(relay::End{1});
  const auto* answer = Last<relay::PassAnswer>(sent.actions);
  REQUIRE(answer != nullptr);
  CHECK(answer->body == "abc");
  CHECK(answer->head.HeaderOr("Stamp") == "s");
  CHECK(sent.run.finished());
}

// Symptom: a request that may not be repeated runs twice.
// Sequence: it is sent, its connection breaks, it is sent to another backend server.
// Cause: after a send nothing but "not run" proves that it did not run.
TEST_CASE("a request that may not be repeated is not sent again after its connection broke") {
  Sent sent(Plan());
  sent.Step(relay::Broke{1, true, "reset"});
  const auto* refusal = Last<relay::Refuse>(sent.actions);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->error.ran == Ran::kUnknown);
  CHECK(ErrorInfoOf(refusal->error.kind).http_status == 502);
}

TEST_CASE("a request that was not run, or not sent, goes to another backend server") {
  SUBCASE("says the backend server") {
    Sent sent(Plan());
    sent.Step(relay::Head{1, Answer(503), /*not_run=*/true});
    REQUIRE(Last<relay::AskPlace>(sent.actions) != nullptr);
    CHECK(Last<relay::AskPlace>(sent.actions)->tried.front().value == "a");
  }
  SUBCASE("as no connection was made") {
    Sent sent(Plan());
    sent.Step(relay::Broke{1, false, "refused"});
    CHECK(Last<relay::AskPlace>(sent.actions) != nullptr);
    CHECK(sent.run.backends_used() == 0);
  }
}

TEST_CASE("it is told that it has not run only when no send can have run") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::Broke{1, true, "reset"});
  REQUIRE(Last<relay::AskPlace>(sent.actions) != nullptr);
  sent.Step(relay::NoPlace{{ErrorKind::kOverloaded, "full", Ran::kNo}});
  const auto* refusal = Last<relay::Refuse>(sent.actions);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->error.ran != Ran::kNo);
  CHECK_FALSE(ErrorInfoOf(refusal->error.kind).retry_may_help);
}

TEST_CASE("an idempotent request runs on no more backend servers than its route allows") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::Broke{1, true, "reset"});
  sent.Step(relay::Placed{Backend("b")});
  sent.Step(relay::Broke{2, true, "reset"});
  CHECK(Last<relay::Refuse>(sent.actions) != nullptr);
}

// Symptom: a caller gets another caller's answer.
// Sequence: an answer that belongs to an earlier request on a kept connection comes
// first. Cause: the connection alone doesn't say whose answer it is.
TEST_CASE("an answer to another request is not passed on") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::Head{1, Answer(200), false, AnsweredId::kAnothers});
  CHECK(Last<relay::PassHead>(sent.actions) == nullptr);
  CHECK(Last<relay::AskPlace>(sent.actions) != nullptr);
}

// Symptom: a request that may not be repeated runs at two backend servers.
// Sequence: a late second answer to an earlier request on a kept connection says "not run".
// Cause: it was believed whatever request it named.
TEST_CASE("that another request was not run says nothing of this one") {
  Sent sent(Plan());
  sent.Step(relay::Head{1, Answer(503), /*not_run=*/true, AnsweredIdOf("earlier", "r")});
  CHECK(Last<relay::AskPlace>(sent.actions) == nullptr);
  REQUIRE(Last<relay::Refuse>(sent.actions) != nullptr);
  CHECK(Last<relay::Refuse>(sent.actions)->error.ran == Ran::kUnknown);
}

TEST_CASE("a refusal that names no request is this one's, any other answer is not") {
  Sent refused(Plan());
  refused.Step(relay::Head{1, Answer(503), /*not_run=*/true, AnsweredIdOf("", "r")});
  CHECK(Last<relay::AskPlace>(refused.actions) != nullptr);
  Sent answered(Plan());
  answered.Step(relay::Head{1, Answer(200), /*not_run=*/false, AnsweredIdOf("", "r")});
  CHECK(Last<relay::Refuse>(answered.actions) != nullptr);
  CHECK(AnsweredIdOf("r", "r") == AnsweredId::kOurs);
}

// Symptom: an event of a stream comes twice, or a half one.
// Sequence: the first backend server breaks off in the middle of an event; the
// second one goes on after the last whole event.
TEST_CASE("a stream that breaks off is resumed after its last whole event, in one answer") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\nid: 2\nda"});
  CHECK(Last<relay::PassBytes>(sent.actions)->bytes == "id: 1\ndata: x\n\n");
  sent.Step(relay::Broke{1, true, "reset"});
  REQUIRE(Last<relay::AskPlace>(sent.actions) != nullptr);
  sent.Step(relay::Placed{Backend("b")});
  CHECK(Last<relay::Send>(sent.actions)->after_event == "1");
  sent.Step(relay::Head{2, Answer(200)});
  CHECK(Last<relay::PassHead>(sent.actions) == nullptr);
  sent.Step(relay::Bytes{2, "id: 2\ndata: y\n\n"});
  CHECK(Last<relay::PassBytes>(sent.actions)->bytes == "id: 2\ndata: y\n\n");
  sent.Step(relay::End{2});
  CHECK(Last<relay::Finish>(sent.actions) != nullptr);
}

// Symptom: a caller gets the events of a stream twice.
// Sequence: a stream breaks off and is resumed; the backend server starts it anew, or a late
// second answer with the same request id comes in place of the resumed one.
// Cause: what followed the head was passed on whatever ids its events had.
TEST_CASE("events that have been had already are not passed on") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 9\ndata: x\n\nid: 10\ndata: y\n\nid: 11\nda"});
  sent.Step(relay::Broke{1, true, "reset"});
  sent.Step(relay::Placed{Backend("b")});
  sent.Step(relay::Head{2, Answer(200)});
  std::string passed;
  SUBCASE("from the first event on") {
    sent.Step(relay::Bytes{2, "id: 9\ndata: x\n\nid: 10\ndata: y\n\n"});
  }
  SUBCASE("after new ones") {
    sent.Step(relay::Bytes{2, "id: 11\ndata: z\n\nid: 2\ndata: x\n\nid: 12\ndata: y\n\n"});
    passed = "id: 11\ndata: z\n\n";
  }
  const auto* bytes = Last<relay::PassBytes>(sent.actions);
  CHECK((bytes == nullptr ? "" : bytes->bytes) == passed);
  REQUIRE(Last<relay::SendOver>(sent.actions) != nullptr);
  CHECK(Last<relay::SendOver>(sent.actions)->end == relay::SendEnd::kBroken);
  // It has run at two backend servers: there is no third one.
  CHECK(Last<relay::BreakOff>(sent.actions) != nullptr);
}

TEST_CASE("a caller that resumes gets no event that it has") {
  RelayPlan plan = ResumablePlan();
  plan.after_event = "3";
  Sent sent(plan);
  CHECK(Last<relay::Send>(sent.actions)->after_event == "3");
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 3\ndata: x\n\n"});
  CHECK(Last<relay::PassBytes>(sent.actions) == nullptr);
  CHECK(Last<relay::AskPlace>(sent.actions) != nullptr);
}

TEST_CASE("event ids that are no numbers differ, and an event without one is taken") {
  EventPieces pieces;
  const std::string fresh = "id: b\ndata: x\n\ndata: y\n\nid: a\ndata: z\n\n";
  CHECK(pieces.Feed(fresh) == fresh);
  CHECK(pieces.Feed("id: a\ndata: z\n\n").empty());
  CHECK(pieces.repeats());
  pieces.DropTail();
  CHECK_FALSE(pieces.repeats());
  CHECK(pieces.last_id() == "a");
}

TEST_CASE("a stream that can't be resumed is broken off, not ended") {
  RelayPlan plan = Plan();
  plan.stream = true;
  Sent sent(plan);
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\n"});
  sent.Step(relay::Broke{1, true, "reset"});
  CHECK(Last<relay::BreakOff>(sent.actions) != nullptr);
  CHECK(Last<relay::Finish>(sent.actions) == nullptr);
}

TEST_CASE("a stream that ends within an event is not whole") {
  RelayPlan plan = Plan();
  plan.stream = true;
  Sent sent(plan);
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\nda"});
  sent.Step(relay::End{1});
  CHECK(Last<relay::BreakOff>(sent.actions) != nullptr);
}

TEST_CASE("the final answer comes at the limit, and says what is known") {
  SUBCASE("never sent") {
    RelayRun run(Plan());
    (void)run.Step(kStart, relay::Start{});
    const auto actions = run.Step(Plan().limit, relay::TimerFired{});
    REQUIRE(Last<relay::Refuse>(actions) != nullptr);
    CHECK(Last<relay::Refuse>(actions)->error.ran == Ran::kNo);
  }
  SUBCASE("sent") {
    Sent sent(Plan());
    sent.Step(relay::TimerFired{}, Plan().limit);
    REQUIRE(Last<relay::Refuse>(sent.actions) != nullptr);
    CHECK(Last<relay::Refuse>(sent.actions)->error.ran == Ran::kUnknown);
    CHECK(Last<relay::SendOver>(sent.actions) != nullptr);
  }
}

TEST_CASE("a caller that leaves ends the send at once") {
  Sent sent(Plan());
  sent.Step(relay::CallerGone{});
  CHECK(Last<relay::SendOver>(sent.actions)->end == relay::SendEnd::kAbandoned);
  CHECK(sent.run.finished());
  CHECK(sent.Step(relay::Head{1, Answer(200)}).empty());
}

TEST_CASE("a silent backend server is left for another one only where that may run twice") {
  RelayPlan plan = ResumablePlan();
  plan.first_byte_patience = Duration{200'000};
  Sent sent(plan);
  sent.Step(relay::TimerFired{}, kStart + Duration{200'000});
  CHECK(Last<relay::SendOver>(sent.actions)->end == relay::SendEnd::kSilent);
  CHECK(Last<relay::AskPlace>(sent.actions) != nullptr);
  plan.idempotent = false;
  Sent once(plan);
  once.Step(relay::TimerFired{}, kStart + Duration{200'000});
  CHECK(Last<relay::SendOver>(once.actions) == nullptr);
}

TEST_CASE("a failed answer of the last backend server is passed on as it is") {
  Sent sent(Plan());
  sent.Step(relay::Head{1, Answer(500)});
  sent.Step(relay::Bytes{1, "no"});
  sent.Step(relay::End{1});
  REQUIRE(Last<relay::PassAnswer>(sent.actions) != nullptr);
  CHECK(Last<relay::PassAnswer>(sent.actions)->head.status == 500);
}

// Symptom: after a host was paused, all the streams that it relayed are sent again.
// Sequence: the host stands still for a second; when it wakes, its timers fire before it
// has read what the backend servers sent meanwhile.
TEST_CASE("a host that stood still does not take its backend servers for silent") {
  RelayPlan plan = IdempotentPlan();
  plan.first_byte_patience = Duration{300'000};
  Sent sent(plan);
  sent.Step(relay::TimerFired{}, kStart + Duration{1'300'000});
  CHECK(Last<relay::SendOver>(sent.actions) == nullptr);
  // From then on silence counts again.
  sent.Step(relay::TimerFired{}, kStart + Duration{1'600'000});
  REQUIRE(Last<relay::SendOver>(sent.actions) != nullptr);
  CHECK(Last<relay::SendOver>(sent.actions)->end == relay::SendEnd::kSilent);
  CHECK(Last<relay::AskPlace>(sent.actions) != nullptr);
}

TEST_CASE("silence is no reason to send again what may not be repeated") {
  RelayPlan plan = Plan();
  plan.first_byte_patience = Duration{300'000};
  Sent sent(plan);
  sent.Step(relay::TimerFired{}, kStart + Duration{300'000});
  CHECK(Last<relay::SendOver>(sent.actions) == nullptr);
  CHECK(Last<relay::AskPlace>(sent.actions) == nullptr);
}

// Symptom: a request that may not be repeated runs twice.
// Sequence: it crosses the restart of its backend server and runs at the new incarnation, which
// goes by the same id; the entry that tells of the restart comes after it.
TEST_CASE("what may not be repeated is not sent again when its backend server started again") {
  Sent sent(Plan());
  sent.Step(relay::BackendRestarted{1});
  const auto* refusal = Last<relay::Refuse>(sent.actions);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->error.ran == Ran::kUnknown);
  CHECK(Last<relay::AskPlace>(sent.actions) == nullptr);
}

TEST_CASE("a stream goes on when its backend server started again, there too") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\nid: 2\nda"});
  sent.Step(relay::BackendRestarted{2});
  CHECK(sent.actions.empty());  // of no send that is open
  sent.Step(relay::BackendRestarted{1});
  const auto* ask = Last<relay::AskPlace>(sent.actions);
  REQUIRE(ask != nullptr);
  CHECK(ask->tried.empty());
  sent.Step(relay::Placed{Backend("a")});
  CHECK(Last<relay::Send>(sent.actions)->after_event == "1");
}
