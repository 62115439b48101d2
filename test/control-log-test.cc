#include <doctest/doctest.h>

#include <deque>
#include <memory>

#include "figmill/control.h"
#include "test/control-fakes.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using fake::Fault;
using fake::Store;

namespace {

// The log state machines of one node on a store. Step carries out one queued request.
struct Node {
  explicit Node(Store& its_store, std::uint64_t seed = 1)
      : store(its_store),
        writer(reader, fake::Random(seed)),
        compactor(reader, fake::Random(~seed)) {}

  template <typename Machine>
  void Do(Machine& machine, std::vector<LogAction> actions) {
    for (LogAction& action : actions) {
      std::visit(Overloaded{[&](PublishState&) { published.push_back(reader.head()); },
                            [&](LogUnreadable& unreadable) { FAIL(unreadable.why); },
                            [&](DeleteObject& e) { store.objects.erase(e.key); },
                            [&](AnswerAppend& e) {
                              answers[e.append] = e.outcome;
                              if (IsOk(e.outcome)) Do(compactor, compactor.CompactIfDue());
                            },
                            [&](auto& call) {
                              requests.push_back([this, &machine, call] {
                                Do(machine, machine.On(Answer(call)));
                              });
                            }},
                 action);
    }
  }
  LogEvent Answer(const ScanRows& e) { return RowsScanned{store.Scan(e.range)}; }
  LogEvent Answer(const ReadRow& e) { return RowWasRead{store.Read(e.key)}; }
  LogEvent Answer(const CommitRows& e) { return CommitEnded{store.Commit(e.transaction)}; }
  LogEvent Answer(const PutObject& e) {
    store.objects[e.key] = e.bytes;
    return ObjectWasPut{Ok{}};
  }
  LogEvent Answer(const GetObject& e) { return ObjectWasRead{store.objects.at(e.key)}; }
  LogEvent Answer(const FetchEntries& e) {
    if (peer == nullptr) return EntriesFetched{Error{ErrorKind::kBackendFailed, "gone"}};
    auto entries = peer->reader.EntriesAfter(e.after, 2000);
    if (!entries) return EntriesFetched{Error{ErrorKind::kNotFound, "too far back"}};
    return EntriesFetched{*entries};
  }
  LogEvent Answer(const FetchState&) {
    return StateFetched{ParseControlState(ToJson(*peer->reader.state()))};
  }

  // Carries out the oldest request; false if there is none.
  bool Step() {
    if (requests.empty()) return false;
    const auto call = std::move(requests.front());
    requests.pop_front();
    call();
    return true;
  }
  void RunAll() {
    while (Step()) {
    }
  }
  std::uint64_t Append(ControlEntry entry, std::string author = "ana",
                       std::optional<Sequence> if_version = {},
                       std::optional<Sequence> built_on = {}) {
    Do(writer, writer.Append(++last, std::move(entry), std::move(author), if_version, built_on));
    return last;
  }
  Result<Sequence> AppendNow(ControlEntry entry, std::string author = "ana",
                             std::optional<Sequence> if_version = {}) {
    const std::uint64_t id = Append(std::move(entry), std::move(author), if_version);
    RunAll();
    return answers.at(id);
  }
  void Poll() {
    Do(reader, reader.Poll());
    RunAll();
  }

  Store& store;
  Node* peer = nullptr;
  LogReader reader;
  LogWriter writer;
  LogCompactor compactor;
  std::deque<std::function<void()>> requests;
  std::map<std::uint64_t, Result<Sequence>> answers;
  std::vector<Sequence> published;
  std::uint64_t last = 0;
};

PutService Service(std::string name, Duration deadline = Duration(60'000'000)) {
  ServiceConfig service;
  service.name = {std::move(name)};
  service.default_deadline = deadline;
  return {service};
}

ErrorKind KindOf(const Result<Sequence>& result) {
  REQUIRE_FALSE(IsOk(result));
  return ErrorOf(result).kind;
}

}  // namespace

TEST_CASE("unknown fields are rejected by name, and an invalid configuration as a whole") {
  const auto detail = [](std::string_view json) {
    const Result<Config> config = ParseConfig(json);
    return IsOk(config) ? std::string() : ErrorOf(config).detail;
  };
  CHECK(detail(R"({"services":[{"name":"a","repeatabel":false}]})").find("'repeatabel'") !=
        std::string::npos);
  CHECK(detail(R"({"backends":[{"agent":"n1","serves":["a"]}]})").find("'a'") != std::string::npos);
  CHECK(detail(R"({"limits":[{"team":"t","requests_per_second":-1}]})").find("team t") !=
        std::string::npos);
  CHECK(detail(R"({"services":[{"name":"a"},{"name":"a"}]})").find("repeats 'a'") !=
        std::string::npos);
  CHECK(detail(R"({"backends":[{"agent":"n1","serves":[],"drained":true}]})").find("'drained'") !=
        std::string::npos);
  CHECK(detail("{").find("not JSON") != std::string::npos);
  CHECK(detail(R"({"services":[{"name":"a"}],"backends":[{"agent":"n1","serves":["a"]}]})") == "");
  const auto order = ParseControlEntry(R"({"order":"drain","node":"n1","now":true})");
  REQUIRE_FALSE(IsOk(order));
  CHECK(ErrorOf(order).detail.find("'now'") != std::string::npos);
}

TEST_CASE("orders round-trip through JSON, and the resulting states are equal byte for byte") {
  Config config;
  config.services[{"s"}] = Service("s").service;
  config.services[{"s"}].routes = {{"/hazards", false}};
  config.limits[{"t"}] = TeamLimit{{"t"}, 2.5, 1000, 3};
  config.backends[{"n1"}] = BackendConfig{{"n1"}, {{"s"}}, false};
  const std::vector<ControlEntry> entries = {
      Service("a"),
      PutLimit{{{"t"}, 1}},
      RemoveService{{"a"}},
      ReplaceConfig{config},
      PutBackend{{{"n2"}, {{"s"}}}},
      Drain{{"n1"}},
      Drain{{"n2"}},
      Undrain{{"n2"}},
      CancelJob{{"j"}},
      SetPlacement{{"n1"}, {{{"m", "3"}}, {{"x", "1"}}, {{"m", "2"}}, {}, "decode"}},
      RemoveBackend{{"n2"}}};
  ControlState direct;
  ControlState through_json;
  for (const ControlEntry& entry : entries) {
    const LogRecord record{direct.sequence + 1, {"t"}, "ana", entry};
    REQUIRE(IsOk(CheckEntry(direct, entry)));
    Apply(direct, record);
    const Result<LogRecord> parsed = ParseLogRecord(ToJson(record));
    REQUIRE(IsOk(parsed));
    Apply(through_json, ValueOf(parsed));
  }
  CHECK(ToJson(direct) == ToJson(through_json));
  const Result<ControlState> state = ParseControlState(ToJson(direct));
  REQUIRE(IsOk(state));
  CHECK(ToJson(ValueOf(state)) == ToJson(direct));
  CHECK(ValueOf(state).config.backends.at({"n1"}).drained);
  CHECK(ValueOf(state).placements.at({"n1"}).sequence == 10);
}

TEST_CASE("replacing the configuration keeps drains, and the list of cancellations is bounded") {
  ControlState state;
  const auto apply = [&](ControlEntry entry) {
    Apply(state, LogRecord{state.sequence + 1, {"t"}, "ana", std::move(entry)});
  };
  apply(Drain{{"n1"}});
  Config config;
  config.backends[{"n1"}] = BackendConfig{{"n1"}, {}};
  apply(ReplaceConfig{config});
  CHECK(state.config.backends.at({"n1"}).drained);
  for (std::size_t i = 0; i < kMaxCancelledJobs + 10; ++i) {
    apply(CancelJob{{"job-" + std::to_string(i)}});
  }
  CHECK(state.cancelled_jobs.size() == kMaxCancelledJobs);
  CHECK_FALSE(state.cancelled_jobs.contains({"job-9"}));
  CHECK(state.cancelled_jobs.contains({"job-10"}));
}

TEST_CASE("an append whose commit answer was lost reports the actual outcome") {
  // Guards against answering "store unavailable, not run" for a change that is in force: the commit
  // takes effect, its answer is lost, and the store stays down for a while. This happens if a lost
  // answer is treated as a failed write.
  Store store;
  Node node(store);
  for (const Fault fault : {Fault::kAnswerLost, Fault::kRequestLost, Fault::kRequestLate}) {
    CAPTURE(static_cast<int>(fault));
    const Sequence before = node.reader.head();
    const std::uint64_t id = node.Append(Service("s" + std::to_string(before)));
    REQUIRE(node.Step());  // catches up
    store.next = fault;
    REQUIRE(node.Step());  // commits
    store.down = true;
    node.RunAll();
    node.Do(node.writer, node.writer.Tick());
    node.RunAll();
    CHECK_FALSE(node.answers.contains(id));  // outcome unknown: no answer yet
    store.down = false;
    node.Do(node.writer, node.writer.Tick());
    node.RunAll();
    store.DeliverLate();
    REQUIRE(node.answers.contains(id));
    REQUIRE(IsOk(node.answers.at(id)));
    CHECK(ValueOf(node.answers.at(id)) == before + 1);
    CHECK(store.rows.size() == before + 1);  // once
  }
}

TEST_CASE("a refused second commit attempt doesn't decide the outcome of the first") {
  // Guards against answering "not run" shortly before the change takes effect: the first commit is
  // delayed in the network; its row is read as absent; the second commit of the same record is
  // refused; then the first one arrives. A refusal only applies to its own attempt.
  Store store;
  Node node(store);
  const std::uint64_t id = node.Append(Service("s"));
  REQUIRE(node.Step());  // catches up
  store.next = Fault::kRequestLate;
  REQUIRE(node.Step());  // commits
  REQUIRE(node.Step());  // reads the row: absent
  store.next = Fault::kRefused;
  REQUIRE(node.Step());  // commits again
  node.RunAll();
  CHECK_FALSE(node.answers.contains(id));
  store.DeliverLate();
  node.Do(node.writer, node.writer.Tick());
  node.RunAll();
  REQUIRE(node.answers.contains(id));
  REQUIRE(IsOk(node.answers.at(id)));
  CHECK(ValueOf(node.answers.at(id)) == 1);
}

TEST_CASE("a delayed commit whose sequence was taken by another operator is a conflict") {
  // Ana's commit is delayed in the network, Ben's gets the same sequence, then Ana's arrives. Only
  // the token of the row shows which of the two commits created it.
  Store store;
  Node ana(store, 1);
  Node ben(store, 2);
  const std::uint64_t id = ana.Append(Service("s", Duration(1'000'000)), "ana");
  ana.Step();
  store.next = Fault::kRequestLate;
  ana.Step();
  CHECK(IsOk(ben.AppendNow(Service("s", Duration(2'000'000)), "ben")));
  store.DeliverLate();
  ana.RunAll();
  REQUIRE(KindOf(ana.answers.at(id)) == ErrorKind::kConflict);
  CHECK(ErrorOf(ana.answers.at(id)).detail == "'put service s' by ben won at sequence 1");
  CHECK(store.rows.size() == 1);
}

TEST_CASE("an entry built on an older state doesn't revert entries accepted since") {
  // Guards against losing Ben's change of a service when Ana changes another setting of it: Ben's
  // change is accepted, but Ana's node hasn't received it and builds its entry from the old
  // service. This happens if that entry is appended after Ben's without a conflict check.
  Store store;
  Node ana(store, 1);
  Node ben(store, 2);
  CHECK(IsOk(ana.AppendNow(Service("s", Duration(1'000'000)), "ana")));
  CHECK(IsOk(ben.AppendNow(Service("s", Duration(2'000'000)), "ben")));
  CHECK(IsOk(ben.AppendNow(Service("other"), "ben")));
  const std::uint64_t stale = ana.Append(Service("s", Duration(1'000'000)), "ana", {}, 1);
  ana.RunAll();
  REQUIRE(KindOf(ana.answers.at(stale)) == ErrorKind::kConflict);
  CHECK(ErrorOf(ana.answers.at(stale)).detail == "'put service s' by ben won at sequence 2");
  const std::uint64_t fresh = ana.Append(Service("s", Duration(3'000'000)), "ana", {}, 3);
  ana.RunAll();
  CHECK(IsOk(ana.answers.at(fresh)));
}

TEST_CASE("of concurrent orders on one subject one is accepted; on separate subjects, all are") {
  // Four operators on four nodes run their steps in a random order with a fixed seed.
  Store store;
  std::vector<std::unique_ptr<Node>> nodes;
  for (std::uint64_t i = 0; i < 4; ++i) nodes.push_back(std::make_unique<Node>(store, i + 1));
  RandomBits random = fake::Random(7);
  std::size_t accepted = 0;
  std::size_t refused = 0;
  for (int round = 0; round < 13; ++round) {
    std::vector<std::uint64_t> ids;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const bool shared = round % 2 == 0;  // all on one service, or each on its own
      const std::string name = shared ? "shared" : "own-" + std::to_string(i);
      ids.push_back(nodes[i]->Append(Service(name), "op" + std::to_string(i)));
    }
    for (bool busy = true; busy;) {
      busy = false;
      for (std::size_t k = 0; k < 8; ++k) {
        busy = nodes[random() % nodes.size()]->Step() || busy;
      }
      for (auto& node : nodes) busy = busy || !node->requests.empty();
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const Result<Sequence>& answer = nodes[i]->answers.at(ids[i]);
      if (IsOk(answer)) {
        ++accepted;
        const Result<LogRecord> row = ParseLogRecord(store.rows.at(LogKey(ValueOf(answer))).value);
        CHECK(ValueOf(row).author == "op" + std::to_string(i));
      } else {
        ++refused;
        CHECK(KindOf(answer) == ErrorKind::kConflict);
        CHECK(ErrorOf(answer).detail.find("won at sequence") != std::string::npos);
        CHECK(round % 2 == 0);
      }
    }
  }
  CHECK(accepted + refused == 52);
  CHECK(refused > 0);
  CHECK(store.rows.size() == accepted);
  for (auto& node : nodes) {
    node->Poll();
    CHECK(ToJson(*node->reader.state()) == ToJson(*nodes[0]->reader.state()));
    CHECK(std::is_sorted(node->published.begin(), node->published.end()));
  }
}

TEST_CASE("`if version` rejects an outdated version and names the author of the last change") {
  Store store;
  Node ana(store, 1);
  Node ben(store, 2);
  CHECK(IsOk(ana.AppendNow(Service("a"), "ana", 0)));
  const Result<Sequence> late = ben.AppendNow(Service("b"), "ben", 0);
  CHECK(KindOf(late) == ErrorKind::kStaleVersion);
  CHECK(ErrorOf(late).detail.find("'put service a' by ana") != std::string::npos);
  CHECK(IsOk(ben.AppendNow(Service("b"), "ben", 1)));
}

TEST_CASE("an order that a concurrent entry made invalid is a conflict that names its author") {
  // Ben removes a service while Ana's order for a backend server that serves it is in flight.
  Store store;
  Node ana(store, 1);
  Node ben(store, 2);
  REQUIRE(IsOk(ben.AppendNow(Service("s"), "ben")));
  const std::uint64_t id = ana.Append(PutBackend{{{"n1"}, {{"s"}}}});
  ana.Step();
  REQUIRE(IsOk(ben.AppendNow(RemoveService{{"s"}}, "ben")));
  ana.RunAll();
  CHECK(KindOf(ana.answers.at(id)) == ErrorKind::kConflict);
  CHECK(ErrorOf(ana.answers.at(id)).detail.find("by ben won at sequence 2; now") !=
        std::string::npos);
}

TEST_CASE("an order is rejected as not run while the store is down, and nothing changes") {
  Store store;
  Node node(store);
  store.down = true;
  const Result<Sequence> refused = node.AppendNow(Service("s"));
  CHECK(KindOf(refused) == ErrorKind::kStoreUnavailable);
  CHECK(ErrorOf(refused).ran == Ran::kNo);
  store.down = false;
  CHECK(store.rows.empty());
  CHECK(IsOk(node.AppendNow(Service("s"))));
}

TEST_CASE("no entry is lost by compaction, and a writer paused during it can't append below it") {
  // Guards against answering "accepted at 3" for a change that never takes effect: a node is paused
  // at sequence 2; others append and compact far beyond it; the node resumes and appends at 3,
  // whose row is absent again. An absent row alone doesn't prove that the sequence is free.
  Store store;
  Node paused(store, 1);
  REQUIRE(IsOk(paused.AppendNow(Service("a"))));
  REQUIRE(IsOk(paused.AppendNow(Service("b"))));
  const std::uint64_t id = paused.Append(Service("c"));
  paused.Step();  // has read the head, about to commit at 3

  Node busy(store, 2);
  const Sequence many = kEntriesPerSnapshot + kEntriesKept + 300;
  for (Sequence i = 3; i <= many; ++i) {
    REQUIRE(IsOk(busy.AppendNow(PutLimit{{{"t"}, static_cast<double>(i)}}, "ben")));
  }
  CHECK_FALSE(store.rows.contains(LogKey(3)));
  CHECK(store.rows.contains(LogKey(many)));
  CHECK(store.rows.size() <= kEntriesPerSnapshot + kEntriesKept + 1);
  CHECK(store.objects.size() <= 2);

  paused.RunAll();
  REQUIRE(KindOf(paused.answers.at(id)) == ErrorKind::kStaleOrders);
  CHECK_FALSE(store.rows.contains(LogKey(3)));
  paused.Poll();
  CHECK(IsOk(paused.AppendNow(Service("c"))));

  // A new node is not caught up until it has read the whole log.
  Node fresh(store, 3);
  fresh.Do(fresh.reader, fresh.reader.Poll());
  while (!fresh.reader.caught_up()) REQUIRE(fresh.Step());
  CHECK(fresh.reader.head() == many + 1);
  busy.Poll();
  CHECK(ToJson(*fresh.reader.state()) == ToJson(*busy.reader.state()));
  CHECK(ToJson(*paused.reader.state()) == ToJson(*busy.reader.state()));
}

TEST_CASE("a node that starts while the store is down gets the state from a peer") {
  Store store;
  Node old(store, 1);
  for (int i = 0; i < 700; ++i) {
    REQUIRE(IsOk(old.AppendNow(PutLimit{{{"t" + std::to_string(i % 5)}, 1.0 + i}})));
  }
  store.down = true;
  Node fresh(store, 2);
  fresh.peer = &old;
  fresh.Poll();
  CHECK(fresh.reader.head() == 0);
  CHECK_FALSE(fresh.reader.caught_up());
  fresh.Do(fresh.reader, fresh.reader.OnPeerAhead({"old"}, old.reader.head()));
  fresh.RunAll();
  CHECK(fresh.reader.caught_up());
  CHECK(ToJson(*fresh.reader.state()) == ToJson(*old.reader.state()));

  // A lagging peer or an older state never moves the head back.
  Node lagging(store, 3);
  fresh.peer = &lagging;
  fresh.Do(fresh.reader, fresh.reader.OnPeerAhead({"lagging"}, old.reader.head() + 5));
  fresh.RunAll();
  CHECK_FALSE(fresh.reader.Advance(*lagging.reader.state()));
  CHECK(fresh.reader.head() == old.reader.head());
}
