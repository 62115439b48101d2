#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "figmill/once.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

const ItemKey kKey{"invoice-7"};
const NodeInstance kAgent{NodeId{"agent"}, 3};
const OnceOutcome kAnswer{200, "text/plain", "digest", "paid", ""};

// A store of one row. A test simulates a lost answer by ignoring what Apply returns.
struct Store {
  std::optional<Row> row;
  RowVersion last = 0;

  OnceWriteResult Apply(const OnceWrite& write) {
    if ((row ? row->version : 0) != write.condition.version) return OnceRejected{row};
    row = Row{write.condition.key, write.value, ++last};
    return OnceCommitted{last};
  }
  [[nodiscard]] OnceRow Now() const { return ValueOf(ParseOnceRow(row->value)); }
};

// A KeyedItem at one process, driven by the test event by event.
struct Process {
  explicit Process(const std::string& node, std::string content = "c", bool repeatable = false)
      : item(once::Spec{kKey, std::move(content), TeamId{"t"}, repeatable,
                        NodeInstance{NodeId{node}, 1}}),
        rng(std::hash<std::string>{}(node)) {}

  template <typename A>
  const A& Expect() {
    for (const once::Action& action : actions) {
      if (const auto* found = std::get_if<A>(&action)) return *found;
    }
    FAIL("the expected action is missing");
    std::abort();
  }
  template <typename A>
  bool Has() {
    for (const once::Action& action : actions) {
      if (std::holds_alternative<A>(action)) return true;
    }
    return false;
  }

  Process& Step(const once::Event& event, Duration later = Duration{1'000}) {
    now += later;
    const RandomBits random = [this] { return rng(); };
    const std::function<bool(const NodeInstance&)> gone = [this](const NodeInstance& instance) {
      return instance.node.value == gone_node;
    };
    actions = item.Handle(event, {now, random, gone});
    return *this;
  }
  // Claims request `id` in `store`, and expects it to be sent.
  void ClaimAndSend(Store& store, const std::string& id) {
    Step(once::Claim{RequestId{id}, kAgent});
    Step(once::WriteDone{store.Apply(Expect<once::WriteRow>().write)});
    CHECK(Expect<once::Send>().request.value == id);
  }
  void Write(Store& store) { Step(once::WriteDone{store.Apply(Expect<once::WriteRow>().write)}); }

  KeyedItem item;
  // One generator per process: with equal tokens a process would take another's write for its own.
  std::mt19937_64 rng;
  std::string gone_node;
  Time now;
  std::vector<once::Action> actions;
};

}  // namespace

TEST_CASE(
    "nothing is sent before the claim is confirmed, and a write whose answer is lost is resolved") {
  // Guards against an item that runs without a record of it: the claim takes effect,
  // its answer is lost, and the write of unknown result is treated as committed, or as
  // never made.
  Store store;
  Process entry("e1");
  entry.Step(once::Claim{RequestId{"r1"}, kAgent});
  (void)store.Apply(entry.Expect<once::WriteRow>().write);
  entry.Step(once::WriteDone{FateUnknown{"lost"}});
  CHECK_FALSE(entry.Has<once::Send>());
  entry.Step(once::Tick{}, Duration{200'000});
  entry.Write(store);
  CHECK(entry.Has<once::Send>());
}

TEST_CASE(
    "an item whose claim can't be confirmed is not sent, and a later request recovers the key") {
  // Guards against a key that is blocked forever after an outage: the claim takes
  // effect but its answer is lost, and the sender refuses the request as not run; the
  // caller retries at another entry, and finds the claim row of a sender that gave up.
  Store store;
  Process first("e1");
  first.Step(once::Claim{RequestId{"r1"}, kAgent});
  (void)store.Apply(first.Expect<once::WriteRow>().write);
  first.Step(once::WriteDone{FateUnknown{"lost"}}, Duration{3'000'000});
  CHECK(first.Expect<once::ReplyError>().error.kind == ErrorKind::kStoreUnavailable);
  CHECK(first.Expect<once::ReplyError>().error.ran == Ran::kNo);
  CHECK(first.item.finished());

  Process second("e2");
  second.Step(once::Claim{RequestId{"r2"}, kAgent});
  second.Write(store);
  CHECK(second.Has<once::WakeAt>());  // the sender may still send
  second.Step(once::Tick{}, Duration{2'500'000}).Step(once::ReadDone{store.row});
  CHECK(second.Expect<once::Revoke>().request.value == "r1");
  second.Step(once::RevokeDone{RevokeState::kNeverStarted});
  second.Write(store);
  CHECK(second.Expect<once::Send>().request.value == "r2");
  CHECK(store.Now().epoch == 2);
}

TEST_CASE("while the store is down a request is refused immediately as not run") {
  Process entry("e1");
  entry.Step(once::Claim{RequestId{"r1"}, kAgent});
  entry.Step(once::WriteDone{NotWritten{"down"}});
  CHECK(entry.Expect<once::ReplyError>().error.ran == Ran::kNo);
  CHECK(entry.Expect<once::ReplyError>().error.retry_after);
  CHECK(entry.item.finished());
}

TEST_CASE("two entries race the same key: one sends, both reply with its outcome") {
  // Guards against an item that runs twice: a caller sends the same request to two
  // entries at once, and the claim is not conditional.
  Store store;
  Process first("e1");
  Process second("e2");
  second.Step(once::Claim{RequestId{"r2"}, kAgent});
  first.ClaimAndSend(store, "r1");
  second.Write(store);
  CHECK_FALSE(second.Has<once::Send>());
  first.Step(once::Answered{kAnswer});
  CHECK_FALSE(first.Has<once::ReplyOutcome>());  // not before it is committed
  first.Write(store);
  CHECK(first.Expect<once::ReplyOutcome>().outcome == kAnswer);
  second.Step(once::Tick{}, Duration{250'000}).Step(once::ReadDone{store.row});
  CHECK(second.Expect<once::ReplyOutcome>().outcome == kAnswer);
  CHECK(second.Expect<once::ReplyOutcome>().replayed);
}

TEST_CASE("other content under the same key is refused") {
  Store store;
  Process first("e1");
  first.ClaimAndSend(store, "r1");
  Process second("e2", "other");
  second.Step(once::Claim{RequestId{"r2"}, kAgent});
  second.Write(store);
  CHECK(second.Expect<once::ReplyError>().error.kind == ErrorKind::kConflict);
  CHECK(second.Expect<once::ReplyError>().error.ran == Ran::kNo);
}

TEST_CASE("a sender killed after its send: the successor takes the stream from the engine") {
  // Guards against a second run, and against losing a response that the engine still
  // has: the sender dies between send and outcome, the caller retries, and a gone_node
  // sender's item is taken for one that did not run.
  Store store;
  Process first("e1");
  first.ClaimAndSend(store, "r1");
  Process second("e2");
  second.gone_node = "e1";
  second.Step(once::Claim{RequestId{"r2"}, kAgent});
  second.Write(store);
  second.Step(once::RevokeDone{RevokeState::kFinished});
  CHECK(second.Expect<once::Resume>().request.value == "r1");

  SUBCASE("the engine has it") {
    second.Step(once::Answered{kAnswer});
    second.Write(store);
    CHECK(second.Expect<once::ReplyOutcome>().outcome == kAnswer);
    CHECK(store.Now().phase == OncePhase::kDone);
  }
  SUBCASE("the engine lost it: unknown, recorded, and never run again") {
    second.Step(once::StreamNotFound{});
    second.Write(store);
    CHECK(second.Expect<once::ReplyError>().error.kind == ErrorKind::kOutcomeUnknown);
    Process third("e3");
    third.Step(once::Claim{RequestId{"r3"}, kAgent});
    third.Write(store);
    CHECK(third.Expect<once::ReplyError>().error.ran == Ran::kUnknown);
    // The sender was paused, not gone_node, and resumes with the response of that run.
    first.Step(once::Answered{kAnswer});
    first.Write(store);
    first.Write(store);
    CHECK(store.Now().phase == OncePhase::kDone);
    CHECK(first.Expect<once::ReplyOutcome>().outcome == kAnswer);
  }
}

TEST_CASE("a sender paused before its send is stopped and replies with the other run's outcome") {
  // Guards against "not run" for an item that ran: the sender is paused between claim
  // and send; a successor revokes, claims and runs; the sender resumes, its dispatch is
  // refused, and it reports the refusal of its own dispatch as the result for the key.
  Store store;
  Process first("e1");
  first.ClaimAndSend(store, "r1");
  Process second("e2");
  second.gone_node = "e1";
  second.Step(once::Claim{RequestId{"r2"}, kAgent});
  second.Write(store);
  second.Step(once::RevokeDone{RevokeState::kNeverStarted});
  second.Write(store);
  CHECK(second.Expect<once::Send>().request.value == "r2");

  first.Step(once::DidNotRun{Error{ErrorKind::kStaleOrders, "revoked", Ran::kNo}});
  first.Write(store);
  CHECK_FALSE(first.Has<once::ReplyError>());
  second.Step(once::Answered{kAnswer});
  second.Write(store);
  first.Step(once::Tick{}, Duration{250'000}).Step(once::ReadDone{store.row});
  CHECK(first.Expect<once::ReplyOutcome>().outcome == kAnswer);
}

TEST_CASE(
    "a response is sent to the caller while the store is down, and committed when it is back") {
  // Guards against a caller that gets "unknown" although its entry has the response: the
  // store goes down between claim and outcome, and the reply waits for the commit
  // without a limit.
  Store store;
  Process entry("e1");
  entry.ClaimAndSend(store, "r1");
  entry.Step(once::Answered{kAnswer});
  entry.Step(once::WriteDone{NotWritten{"down"}});
  entry.Step(once::Tick{}, Duration{1'500'000});
  CHECK(entry.Expect<once::ReplyOutcome>().outcome == kAnswer);
  CHECK(entry.item.committing());
  entry.Write(store);
  CHECK(entry.item.finished());
  CHECK(store.Now().outcome == kAnswer);
}

TEST_CASE("a large answer is stored as an object before the row names it") {
  Store store;
  Process entry("e1");
  entry.ClaimAndSend(store, "r1");
  const OnceOutcome large{200, "text/plain", "digest", std::string(kInlineOutcomeBytes + 1, 'x'),
                          ""};
  entry.Step(once::Answered{large});
  CHECK_FALSE(entry.Has<once::WriteRow>());
  const std::string object = entry.Expect<once::PutObject>().key;
  entry.Step(once::ObjectStored{true});
  entry.Write(store);
  CHECK(entry.Expect<once::ReplyOutcome>().outcome == large);
  CHECK(store.Now().outcome.object == object);
  CHECK(store.Now().outcome.body.empty());
}
