#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "figmill/relay.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{1'000'000}};

BackendAddress Backend(const std::string& id, const std::string& version = {}) {
  return {BackendId{id}, Address{"10.0.0.1", 80}, {}, SoftwareVersion{version}};
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
  explicit Sent(RelayPlan plan) : Sent(RelayStateMachine(std::move(plan)), relay::Start{}) {}
  // `event` makes it look for a backend server.
  Sent(RelayStateMachine started, const relay::Event& event) : run(std::move(started)) {
    (void)run.Step(kStart, event);
    actions = run.Step(kStart, relay::BackendChosen{Backend("a")});
  }
  std::vector<relay::Action>& Step(const relay::Event& event, Time now = kStart) {
    actions = run.Step(now, event);
    return actions;
  }
  RelayStateMachine run;
  std::vector<relay::Action> actions;
};

RelayPlan Plan() {
  RelayPlan plan;
  plan.request = RequestId{"r"};
  plan.deadline = kStart + Duration{5'000'000};
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

TEST_CASE("a complete answer is forwarded unchanged") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "ab"});
  sent.Step(relay::Bytes{1, "c"});
  sent.Step(relay::End{1});
  const auto* answer = Last<relay::ForwardAnswer>(sent.actions);
  REQUIRE(answer != nullptr);
  CHECK(answer->body == "abc");
  CHECK(answer->head.HeaderOr("Stamp") == "s");
  CHECK(sent.run.finished());
}

// Guards against a second run of a request that is not idempotent: it is sent, its connection
// is lost, and it is sent to another backend server. After a send, only the answer "not run"
// proves that it did not run.
TEST_CASE("a request that is not idempotent is not resent after its connection is lost") {
  Sent sent(Plan());
  sent.Step(relay::SendFailed{1, true, "reset"});
  const auto* refusal = Last<relay::SendError>(sent.actions);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->error.ran == Ran::kUnknown);
  CHECK(ErrorInfoOf(refusal->error.kind).http_status == 502);
}

TEST_CASE("a request that was not run, or not sent, goes to another backend server") {
  SUBCASE("the backend server answers that it did not run it") {
    Sent sent(Plan());
    sent.Step(relay::Head{1, Answer(503), /*not_run=*/true});
    REQUIRE(Last<relay::ChooseBackend>(sent.actions) != nullptr);
    CHECK(Last<relay::ChooseBackend>(sent.actions)->tried.front().value == "a");
  }
  SUBCASE("no connection was established") {
    Sent sent(Plan());
    sent.Step(relay::SendFailed{1, false, "refused"});
    CHECK(Last<relay::ChooseBackend>(sent.actions) != nullptr);
    CHECK(sent.run.backends_used() == 0);
  }
}

// Guards against a request that a leaving entry refuses as "not run" though it was sent, and
// against one that waits there for nothing.
TEST_CASE("a request is refused while it waits to be sent, and not afterwards") {
  const relay::Refuse refuse{{ErrorKind::kLeaving, "leaving", Ran::kNo, Duration{50'000}}};
  RelayStateMachine waiting(Plan());
  (void)waiting.Step(kStart, relay::Start{});
  const std::vector<relay::Action> actions = waiting.Step(kStart, refuse);
  REQUIRE(Last<relay::SendError>(actions) != nullptr);
  CHECK(Last<relay::SendError>(actions)->error.ran == Ran::kNo);
  CHECK(waiting.finished());
  Sent sent(IdempotentPlan());
  CHECK(sent.Step(refuse).empty());
  sent.Step(relay::SendFailed{1, true, "reset"});
  CHECK(sent.Step(refuse).empty());
  CHECK_FALSE(sent.run.finished());
  Sent rejected(Plan());
  rejected.Step(relay::Head{1, Answer(503), /*not_run=*/true});
  rejected.Step(refuse);
  REQUIRE(Last<relay::SendError>(rejected.actions) != nullptr);
  CHECK(Last<relay::SendError>(rejected.actions)->error.ran == Ran::kNo);
}

// Guards against an entry whose memory fills with bytes that are no event stream.
TEST_CASE("a stream whose event doesn't end is broken off and resumed elsewhere") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: a\n\n"});
  const std::string noise(OrderedEventSplitter::kMaxEventBytes / 2, 'z');
  CHECK(sent.Step(relay::Bytes{1, noise}).empty());
  CHECK(sent.Step(relay::Bytes{1, noise}).empty());
  sent.Step(relay::Bytes{1, "z"});
  REQUIRE(Last<relay::ChooseBackend>(sent.actions) != nullptr);
  sent.Step(relay::BackendChosen{Backend("b")});
  CHECK(Last<relay::Send>(sent.actions)->after_event == "1");
  sent.Step(relay::Head{2, Answer(200)});
  sent.Step(relay::Bytes{2, "id: 2\ndata: b\n\n"});
  CHECK(Last<relay::ForwardBytes>(sent.actions)->bytes == "id: 2\ndata: b\n\n");
}

// Guards against a stream that is waited for until its deadline while bytes that are no events
// come.
TEST_CASE("bytes that complete no event count as silence") {
  RelayPlan plan = ResumablePlan();
  plan.next_byte_timeout = Duration{1'000'000};
  Sent sent(plan);
  sent.Step(relay::Head{1, Answer(200)});
  for (int i = 1; i <= 9; ++i) sent.Step(relay::Bytes{1, "z"}, kStart + i * Duration{100'000});
  sent.Step(relay::TimerFired{}, kStart + Duration{1'000'000});
  CHECK(Last<relay::ChooseBackend>(sent.actions) != nullptr);
}

// The same for bytes that are no event as they have no data: line feeds and comments.
TEST_CASE("bytes without data count as silence, and are left beyond the length of an event") {
  for (const std::string& filler : {std::string("\n"), std::string(":\n\n")}) {
    CAPTURE(filler);
    RelayPlan plan = ResumablePlan();
    plan.next_byte_timeout = Duration{1'000'000};
    Sent silent(plan);
    silent.Step(relay::Head{1, Answer(200)});
    for (int i = 1; i <= 9; ++i) {
      silent.Step(relay::Bytes{1, filler + filler}, kStart + i * Duration{100'000});
    }
    silent.Step(relay::TimerFired{}, kStart + Duration{1'000'000});
    CHECK(Last<relay::ChooseBackend>(silent.actions) != nullptr);
    Sent endless(ResumablePlan());
    endless.Step(relay::Head{1, Answer(200)});
    std::string read;
    while (read.size() <= OrderedEventSplitter::kMaxEventBytes) read += filler;
    endless.Step(relay::Bytes{1, read});
    CHECK(Last<relay::ChooseBackend>(endless.actions) != nullptr);
  }
}

TEST_CASE("the end of an event is found wherever its bytes are divided") {
  const std::string events = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
  for (std::size_t at = 0; at <= events.size(); ++at) {
    OrderedEventSplitter splitter;
    const std::string first = splitter.Feed(events.substr(0, at));
    CHECK(first + splitter.Feed(events.substr(at)) == events);
    CHECK(splitter.count() == 2);
  }
}

TEST_CASE("the error says \"not run\" only when no send can have run") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::SendFailed{1, true, "reset"});
  REQUIRE(Last<relay::ChooseBackend>(sent.actions) != nullptr);
  sent.Step(relay::NoBackend{{ErrorKind::kOverloaded, "full", Ran::kNo}});
  const auto* refusal = Last<relay::SendError>(sent.actions);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->error.ran != Ran::kNo);
  CHECK_FALSE(ErrorInfoOf(refusal->error.kind).retry_may_help);
}

TEST_CASE("an idempotent request runs on no more backend servers than its route allows") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::SendFailed{1, true, "reset"});
  sent.Step(relay::BackendChosen{Backend("b")});
  sent.Step(relay::SendFailed{2, true, "reset"});
  CHECK(Last<relay::SendError>(sent.actions) != nullptr);
}

// Guards against a caller that gets another caller's answer: the answer to an earlier request
// on a reused connection arrives first. The connection alone doesn't identify the request of an
// answer.
TEST_CASE("an answer to another request is not forwarded") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::Head{1, Answer(200), false, AnswerIdMatch::kOther});
  CHECK(Last<relay::ForwardHead>(sent.actions) == nullptr);
  CHECK(Last<relay::ChooseBackend>(sent.actions) != nullptr);
}

// Guards against a request that fails although its backend server is sound: the service has no
// other one, and the answer to an earlier request arrived first.
TEST_CASE(
    "after an answer to another request the same backend server is used if no other is left") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::Head{1, Answer(200), false, AnswerIdMatch::kOther});
  REQUIRE(Last<relay::ChooseBackend>(sent.actions) != nullptr);
  CHECK(Last<relay::ChooseBackend>(sent.actions)->tried == std::vector{BackendId{"a"}});
  const relay::NoBackend none{{ErrorKind::kOverloaded, "no backend server is known"}};
  sent.Step(none);
  REQUIRE(Last<relay::ChooseBackend>(sent.actions) != nullptr);
  CHECK(Last<relay::ChooseBackend>(sent.actions)->tried.empty());
  sent.Step(relay::BackendChosen{Backend("a")});
  // Once only, and within what the route allows.
  sent.Step(relay::Head{2, Answer(200), false, AnswerIdMatch::kOther});
  CHECK(Last<relay::ChooseBackend>(sent.actions) == nullptr);
  CHECK(Last<relay::SendError>(sent.actions) != nullptr);
}

TEST_CASE("without a backend server for the second choice the request fails") {
  Sent sent(IdempotentPlan());
  sent.Step(relay::Head{1, Answer(200), false, AnswerIdMatch::kOther});
  const relay::NoBackend none{{ErrorKind::kOverloaded, "no backend server is known"}};
  sent.Step(none);
  sent.Step(none);
  CHECK(Last<relay::SendError>(sent.actions) != nullptr);
}

// Guards against a request that is not idempotent and runs at two backend servers: a late
// duplicate answer to an earlier request on a reused connection says "not run" and is accepted
// although it names the earlier request.
TEST_CASE("\"not run\" in an answer to another request is not applied to this one") {
  Sent sent(Plan());
  sent.Step(relay::Head{1, Answer(503), /*not_run=*/true, MatchAnswerId("earlier", "r")});
  CHECK(Last<relay::ChooseBackend>(sent.actions) == nullptr);
  REQUIRE(Last<relay::SendError>(sent.actions) != nullptr);
  CHECK(Last<relay::SendError>(sent.actions)->error.ran == Ran::kUnknown);
}

TEST_CASE("a rejection without a request id is accepted, any other answer without one is not") {
  Sent refused(Plan());
  refused.Step(relay::Head{1, Answer(503), /*not_run=*/true, MatchAnswerId("", "r")});
  CHECK(Last<relay::ChooseBackend>(refused.actions) != nullptr);
  Sent answered(Plan());
  answered.Step(relay::Head{1, Answer(200), /*not_run=*/false, MatchAnswerId("", "r")});
  CHECK(Last<relay::SendError>(answered.actions) != nullptr);
  CHECK(MatchAnswerId("r", "r") == AnswerIdMatch::kSame);
}

// Guards against a duplicate or incomplete event in a stream: the first backend server's
// connection is lost inside an event, and the second one resumes after the last complete event.
TEST_CASE("an interrupted stream is resumed after its last complete event, in one answer") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\nid: 2\nda"});
  CHECK(Last<relay::ForwardBytes>(sent.actions)->bytes == "id: 1\ndata: x\n\n");
  sent.Step(relay::SendFailed{1, true, "reset"});
  REQUIRE(Last<relay::ChooseBackend>(sent.actions) != nullptr);
  sent.Step(relay::BackendChosen{Backend("b")});
  CHECK(Last<relay::Send>(sent.actions)->after_event == "1");
  sent.Step(relay::Head{2, Answer(200)});
  CHECK(Last<relay::ForwardHead>(sent.actions) == nullptr);
  sent.Step(relay::Bytes{2, "id: 2\ndata: y\n\n"});
  CHECK(Last<relay::ForwardBytes>(sent.actions)->bytes == "id: 2\ndata: y\n\n");
  sent.Step(relay::End{2});
  CHECK(Last<relay::Finish>(sent.actions) != nullptr);
}

// Guards against a stream that holds events of two software versions.
TEST_CASE("an interrupted stream is continued only by the version that began it") {
  RelayPlan plan = ResumablePlan();
  plan.max_backends = 3;
  RelayStateMachine run(plan);
  CHECK(Last<relay::ChooseBackend>(run.Step(kStart, relay::Start{}))->version == std::nullopt);
  (void)run.Step(kStart, relay::BackendChosen{Backend("a", "v1")});
  // Nothing was delivered yet: any version may run it.
  auto actions = run.Step(kStart, relay::SendFailed{1, true, "reset"});
  CHECK(Last<relay::ChooseBackend>(actions)->version == std::nullopt);
  (void)run.Step(kStart, relay::BackendChosen{Backend("b", "v2")});
  (void)run.Step(kStart, relay::Head{2, Answer(200)});
  (void)run.Step(kStart, relay::Bytes{2, "id: 1\ndata: x\n\n"});
  actions = run.Step(kStart, relay::SendFailed{2, true, "reset"});
  CHECK(Last<relay::ChooseBackend>(actions)->version == SoftwareVersion{"v2"});
  SUBCASE("by another backend server of it") {
    actions = run.Step(kStart, relay::BackendChosen{Backend("c", "v2")});
    CHECK(Last<relay::Send>(actions)->after_event == "1");
  }
  SUBCASE("not by one that changed its version since it was looked for") {
    actions = run.Step(kStart, relay::BackendChosen{Backend("c", "v1")});
    CHECK(Last<relay::Send>(actions) == nullptr);
    CHECK(Last<relay::ChooseBackend>(actions)->tried.back() == BackendId{"c"});
  }
  SUBCASE("by nobody when none is left") {
    actions = run.Step(kStart, relay::NoBackend{{ErrorKind::kNoBackend, "none", Ran::kNo}});
    CHECK(Last<relay::AbortAnswer>(actions) != nullptr);
  }
}

// Guards against a stream that lacks events: a backend server sends ids without data, and the
// stream is resumed after them, by this entry or by its caller.
TEST_CASE("an id without data is no position to resume at, and is not forwarded") {
  for (const std::string& id :
       {std::string("id: 5"), std::string("id"), std::string("event: a\nid: 5")}) {
    CAPTURE(id);
    Sent sent(ResumablePlan());
    sent.Step(relay::Head{1, Answer(200)});
    const std::string event = id + "\n\n";
    std::string read = "id: 1\ndata: x\n\n";
    read.append(event).append(": ping\n\n").append(event);
    sent.Step(relay::Bytes{1, read});
    CHECK(Last<relay::ForwardBytes>(sent.actions)->bytes == "id: 1\ndata: x\n\n: ping\n\n");
    sent.Step(relay::SendFailed{1, true, "reset"});
    sent.Step(relay::BackendChosen{Backend("b")});
    REQUIRE(Last<relay::Send>(sent.actions) != nullptr);
    CHECK(Last<relay::Send>(sent.actions)->after_event == "1");
  }
}

// Guards against events that come twice: the stream is resumed before an event without an id.
TEST_CASE("a stream is not resumed after an event without an id, until one with an id follows") {
  // Ids that can't be sent in a header are none.
  for (const std::string& id : {std::string(), std::string("id: \n"), std::string("id: a\rb\n"),
                                "id: " + std::string(1'000, '7') + "\n"}) {
    CAPTURE(id);
    Sent sent(ResumablePlan());
    sent.Step(relay::Head{1, Answer(200)});
    sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\n" + id + "data: y\n\n"});
    CHECK(sent.run.events_forwarded() == 2);
    Sent later = sent;
    sent.Step(relay::SendFailed{1, true, "reset"});
    CHECK(Last<relay::AbortAnswer>(sent.actions) != nullptr);
    later.Step(relay::Bytes{1, "id: 3\ndata: z\n\n"});
    later.Step(relay::SendFailed{1, true, "reset"});
    later.Step(relay::BackendChosen{Backend("b")});
    REQUIRE(Last<relay::Send>(later.actions) != nullptr);
    CHECK(Last<relay::Send>(later.actions)->after_event == "3");
  }
}

// Guards against a stream that lacks events: those that an id out of order has left out.
TEST_CASE("a stream whose ids went back to one that was left out is not resumed") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\nid: 4\ndata: y\n\nid: 2\ndata: z\n\n"});
  CHECK(Last<relay::ForwardBytes>(sent.actions)->bytes == "id: 1\ndata: x\n\nid: 4\ndata: y\n\n");
  CHECK(Last<relay::AbortAnswer>(sent.actions) != nullptr);
}

// Guards against a stream that starts from its beginning: an id that is no number has hidden the
// numbers before it.
TEST_CASE("a number is compared with the last number, also after other ids") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\nid: b\ndata: y\n\nid: 1\ndata: x\n\n"});
  CHECK(Last<relay::ForwardBytes>(sent.actions)->bytes == "id: 1\ndata: x\n\nid: b\ndata: y\n\n");
  CHECK(Last<relay::CloseSend>(sent.actions)->end == relay::SendEnd::kBroken);
}

// Guards against a caller that gets the events of a stream twice: a stream is interrupted and
// resumed, and the backend server starts it from the beginning, or a late duplicate answer with
// the same request id arrives in place of the resumed one. The event ids after the head must be
// checked.
TEST_CASE("duplicate events are not forwarded") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 9\ndata: x\n\nid: 10\ndata: y\n\nid: 11\nda"});
  sent.Step(relay::SendFailed{1, true, "reset"});
  sent.Step(relay::BackendChosen{Backend("b")});
  sent.Step(relay::Head{2, Answer(200)});
  std::string passed;
  SUBCASE("from the first event on") {
    sent.Step(relay::Bytes{2, "id: 9\ndata: x\n\nid: 10\ndata: y\n\n"});
  }
  SUBCASE("after new events") {
    sent.Step(relay::Bytes{2, "id: 11\ndata: z\n\nid: 2\ndata: x\n\nid: 12\ndata: y\n\n"});
    passed = "id: 11\ndata: z\n\n";
  }
  const auto* bytes = Last<relay::ForwardBytes>(sent.actions);
  CHECK((bytes == nullptr ? "" : bytes->bytes) == passed);
  REQUIRE(Last<relay::CloseSend>(sent.actions) != nullptr);
  CHECK(Last<relay::CloseSend>(sent.actions)->end == relay::SendEnd::kBroken);
  // It has run at two backend servers, which is the maximum.
  CHECK(Last<relay::AbortAnswer>(sent.actions) != nullptr);
}

TEST_CASE("a caller that resumes a stream gets no event again") {
  RelayPlan plan = ResumablePlan();
  plan.after_event = "3";
  RelayStateMachine run(plan);
  REQUIRE(Last<relay::FindSource>(run.Step(kStart, relay::Start{})) != nullptr);
  Sent sent(std::move(run), relay::SourceFound{});
  CHECK(Last<relay::Send>(sent.actions)->after_event == "3");
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 3\ndata: x\n\n"});
  CHECK(Last<relay::ForwardBytes>(sent.actions) == nullptr);
  CHECK(Last<relay::ChooseBackend>(sent.actions) != nullptr);
}

// Guards against a stream of another version after its route stopped being resumable.
TEST_CASE("the source of a stream is looked up also where its route is not resumable") {
  RelayPlan plan = ResumablePlan();
  plan.resumable = false;
  plan.after_event = "3";
  RelayStateMachine run(plan);
  CHECK(Last<relay::FindSource>(run.Step(kStart, relay::Start{})) != nullptr);
}

// Guards against a caller that resumes a stream at another entry and gets events of another
// version.
TEST_CASE("a stream that a caller resumes is continued by the version that began it, or refused") {
  RelayPlan plan = ResumablePlan();
  plan.after_event = "3";
  RelayStateMachine run(plan);
  REQUIRE(Last<relay::FindSource>(run.Step(kStart, relay::Start{})) != nullptr);
  SUBCASE("known") {
    auto actions = run.Step(kStart, relay::SourceFound{SoftwareVersion{"v2"}});
    REQUIRE(Last<relay::ChooseBackend>(actions) != nullptr);
    CHECK(Last<relay::ChooseBackend>(actions)->version == SoftwareVersion{"v2"});
    CHECK(Last<relay::ChooseBackend>(actions)->resumes);
    (void)run.Step(kStart, relay::BackendChosen{Backend("a", "v2")});
    actions = run.Step(kStart, relay::Head{1, Answer(200)});
    CHECK(Last<relay::RecordSource>(actions)->version == SoftwareVersion{"v2"});
  }
  SUBCASE("known, and none of it is left") {
    (void)run.Step(kStart, relay::SourceFound{SoftwareVersion{"v2"}});
    const auto actions =
        run.Step(kStart, relay::NoBackend{{ErrorKind::kNoBackend, "none", Ran::kNo}});
    CHECK(Last<relay::SendError>(actions)->error.ran == Ran::kNo);
  }
  SUBCASE("not known") {
    const auto actions =
        run.Step(kStart, relay::SourceUnknown{{ErrorKind::kNoBackend, "unknown", Ran::kNo}});
    CHECK(Last<relay::SendError>(actions)->error.ran == Ran::kNo);
    CHECK(run.finished());
  }
}

// Guards against streams that are lost with the last engine of their version, which soon starts
// again.
TEST_CASE(
    "a stream waits for a lost backend server of its version, but not for one that has gone") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\n"});
  sent.Step(relay::SendFailed{1, true, "reset"});
  const Error lost{ErrorKind::kOverloaded, "no other one is there", Ran::kNo};
  SUBCASE("lost") {
    sent.Step(relay::NoBackend{lost});
    CHECK(Last<relay::AbortAnswer>(sent.actions) == nullptr);
    const Time next = kStart + RelayStateMachine::kVersionRetryInterval;
    CHECK(Last<relay::SetTimer>(sent.actions)->at == next);
    sent.Step(relay::TimerFired{}, next);
    REQUIRE(Last<relay::ChooseBackend>(sent.actions) != nullptr);
    CHECK(Last<relay::ChooseBackend>(sent.actions)->tried.empty());
    SUBCASE("and back") {
      sent.Step(relay::BackendChosen{Backend("a")}, next);
      CHECK(Last<relay::Send>(sent.actions)->after_event == "1");
    }
    SUBCASE("for too long") {
      sent.Step(relay::NoBackend{lost}, kStart + RelayStateMachine::kVersionWait);
      CHECK(Last<relay::AbortAnswer>(sent.actions) != nullptr);
    }
  }
  SUBCASE("gone") {
    sent.Step(relay::NoBackend{{ErrorKind::kNoBackend, "none is left", Ran::kNo}});
    CHECK(Last<relay::AbortAnswer>(sent.actions) != nullptr);
  }
  SUBCASE("no slot in time") {
    sent.Step(relay::NoBackend{{ErrorKind::kOverloaded, "full", Ran::kNo, Duration{1'000}}});
    CHECK(Last<relay::AbortAnswer>(sent.actions) != nullptr);
  }
}

TEST_CASE("only a stream that may be resumed is recorded, before its head is forwarded") {
  Sent resumable(ResumablePlan());
  const auto& actions = resumable.Step(relay::Head{1, Answer(200)});
  REQUIRE(actions.size() >= 2);
  CHECK(std::holds_alternative<relay::RecordSource>(actions[0]));
  CHECK(std::holds_alternative<relay::ForwardHead>(actions[1]));
  RelayPlan plan = Plan();
  plan.stream = true;
  Sent once(plan);
  CHECK(Last<relay::RecordSource>(once.Step(relay::Head{1, Answer(200)})) == nullptr);
}

TEST_CASE(
    "event ids that are not numbers are compared for equality, and events without an id are "
    "accepted") {
  OrderedEventSplitter splitter;
  const std::string fresh = "id: b\ndata: x\n\ndata: y\n\nid: a\ndata: z\n\n";
  CHECK(splitter.Feed(fresh) == fresh);
  CHECK(splitter.Feed("id: a\ndata: z\n\n").empty());
  CHECK(splitter.has_duplicate());
  splitter.DropIncomplete();
  CHECK_FALSE(splitter.has_duplicate());
  CHECK(splitter.last_id() == "a");
}

TEST_CASE("a stream that can't be resumed is aborted, not ended normally") {
  RelayPlan plan = Plan();
  plan.stream = true;
  Sent sent(plan);
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\n"});
  sent.Step(relay::SendFailed{1, true, "reset"});
  CHECK(Last<relay::AbortAnswer>(sent.actions) != nullptr);
  CHECK(Last<relay::Finish>(sent.actions) == nullptr);
}

TEST_CASE("a stream that ends inside an event is incomplete") {
  RelayPlan plan = Plan();
  plan.stream = true;
  Sent sent(plan);
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\nda"});
  sent.Step(relay::End{1});
  CHECK(Last<relay::AbortAnswer>(sent.actions) != nullptr);
}

TEST_CASE("the final answer comes at the deadline with the known run state") {
  SUBCASE("never sent") {
    RelayStateMachine run(Plan());
    (void)run.Step(kStart, relay::Start{});
    const auto actions = run.Step(Plan().deadline, relay::TimerFired{});
    REQUIRE(Last<relay::SendError>(actions) != nullptr);
    CHECK(Last<relay::SendError>(actions)->error.ran == Ran::kNo);
  }
  SUBCASE("sent") {
    Sent sent(Plan());
    sent.Step(relay::TimerFired{}, Plan().deadline);
    REQUIRE(Last<relay::SendError>(sent.actions) != nullptr);
    CHECK(Last<relay::SendError>(sent.actions)->error.ran == Ran::kUnknown);
    CHECK(Last<relay::CloseSend>(sent.actions) != nullptr);
  }
}

TEST_CASE("a caller that disconnects ends the send at once") {
  Sent sent(Plan());
  sent.Step(relay::CallerDisconnected{});
  CHECK(Last<relay::CloseSend>(sent.actions)->end == relay::SendEnd::kAbandoned);
  CHECK(sent.run.finished());
  CHECK(sent.Step(relay::Head{1, Answer(200)}).empty());
}

TEST_CASE("a silent backend server is replaced only for idempotent requests") {
  RelayPlan plan = ResumablePlan();
  plan.first_byte_timeout = Duration{200'000};
  Sent sent(plan);
  sent.Step(relay::TimerFired{}, kStart + Duration{200'000});
  CHECK(Last<relay::CloseSend>(sent.actions)->end == relay::SendEnd::kSilent);
  CHECK(Last<relay::ChooseBackend>(sent.actions) != nullptr);
  plan.idempotent = false;
  Sent once(plan);
  once.Step(relay::TimerFired{}, kStart + Duration{200'000});
  CHECK(Last<relay::CloseSend>(once.actions) == nullptr);
}

TEST_CASE("an error answer of the last backend server is forwarded unchanged") {
  Sent sent(Plan());
  sent.Step(relay::Head{1, Answer(500)});
  sent.Step(relay::Bytes{1, "no"});
  sent.Step(relay::End{1});
  REQUIRE(Last<relay::ForwardAnswer>(sent.actions) != nullptr);
  CHECK(Last<relay::ForwardAnswer>(sent.actions)->head.status == 500);
}

// Guards against resending all streams that a host relays after the host was paused: it is
// suspended for a second, and when it continues, its timers fire before it has read what the
// backend servers sent meanwhile.
TEST_CASE("a suspended host does not treat its backend servers as silent") {
  RelayPlan plan = IdempotentPlan();
  plan.first_byte_timeout = Duration{300'000};
  Sent sent(plan);
  sent.Step(relay::TimerFired{}, kStart + Duration{1'300'000});
  CHECK(Last<relay::CloseSend>(sent.actions) == nullptr);
  // From then on the silence timeout applies again.
  sent.Step(relay::TimerFired{}, kStart + Duration{1'600'000});
  REQUIRE(Last<relay::CloseSend>(sent.actions) != nullptr);
  CHECK(Last<relay::CloseSend>(sent.actions)->end == relay::SendEnd::kSilent);
  CHECK(Last<relay::ChooseBackend>(sent.actions) != nullptr);
}

TEST_CASE("a silence timeout does not resend a request that is not idempotent") {
  RelayPlan plan = Plan();
  plan.first_byte_timeout = Duration{300'000};
  Sent sent(plan);
  sent.Step(relay::TimerFired{}, kStart + Duration{300'000});
  CHECK(Last<relay::CloseSend>(sent.actions) == nullptr);
  CHECK(Last<relay::ChooseBackend>(sent.actions) == nullptr);
}

// Guards against a second run of a request that is not idempotent: it is in transit while its
// backend server restarts, and runs at the new incarnation, which has the same id; the notice
// of the restart arrives at the entry after that.
TEST_CASE("a request that is not idempotent is not resent when its backend server restarted") {
  Sent sent(Plan());
  sent.Step(relay::BackendRestarted{1});
  const auto* refusal = Last<relay::SendError>(sent.actions);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->error.ran == Ran::kUnknown);
  CHECK(Last<relay::ChooseBackend>(sent.actions) == nullptr);
}

TEST_CASE("a stream is resumed when its backend server restarted, also at that server") {
  Sent sent(ResumablePlan());
  sent.Step(relay::Head{1, Answer(200)});
  sent.Step(relay::Bytes{1, "id: 1\ndata: x\n\nid: 2\nda"});
  sent.Step(relay::BackendRestarted{2});
  CHECK(sent.actions.empty());  // the event names a send that is not open
  sent.Step(relay::BackendRestarted{1});
  const auto* ask = Last<relay::ChooseBackend>(sent.actions);
  REQUIRE(ask != nullptr);
  CHECK(ask->tried.empty());
  sent.Step(relay::BackendChosen{Backend("a")});
  CHECK(Last<relay::Send>(sent.actions)->after_event == "1");
}
