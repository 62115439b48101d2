#include "figmill/sharing.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{10'000'000}};
constexpr Time kSettled = kStart + SlotAllocator::kTakeoverDelay;
constexpr StoreTime kDue{20'000'000};
const ServiceName kLlm{"llm"};
const BackendId kEngine{"engine"};
const BackendId kOther{"other"};
// Runs of this age are likely to end soon.
constexpr Duration kAlmostARun = SlotAllocator::kDefaultRunTime - Duration{50'000};

Peer PeerNamed(const std::string& node, const std::string& centre = "dc", double capacity = 1) {
  return {NodeId{node}, 1, Address{"10.0.0.1", 1}, DataCentre{centre}, capacity, false};
}

PlaceAsk Ask(std::uint64_t number, bool may_queue = false) {
  PlaceAsk ask;
  ask.number = number;
  ask.service = kLlm;
  ask.goal_left = Duration{300'000};
  ask.time_left = Duration{5'000'000};
  ask.may_queue = may_queue;
  return ask;
}

// A keeper of engines with four places each.
struct Fixture {
  explicit Fixture(std::vector<BackendId> engines = {kEngine}) {
    std::map<BackendId, KeptBackend> owned;
    for (const BackendId& engine : engines) owned[engine] = {kLlm, 4};
    allocator.SetBackends(owned, kStart);
  }

  // `waiting`: batch items, all due at kDue.
  void Report(const std::string& node, int online, int batch, int waiting = 0, Time now = kSettled,
              std::vector<std::uint64_t> asked = {}, const BackendId& engine = kEngine) {
    PlaceReport report;
    report.asked = std::move(asked);
    if (waiting > 0) report.waiting = {{kDue, waiting}};
    report.lines = {{engine, online, batch}};
    Report(node, std::move(report), now);
  }
  void Report(const std::string& node, PlaceReport report, Time now) {
    report.number = ++numbers[node];
    report.grant = acked_grant[node];
    allocator.OnReport(PeerNamed(node), true, report, now);
    Collect(now);
  }
  void AskFor(const std::string& node, const PlaceAsk& ask, Time now = kSettled) {
    allocator.OnRequest(NodeId{node}, ask, now);
    Collect(now);
  }
  void Tick(Time now) {
    allocator.Tick(now);
    Collect(now);
  }
  void Collect(Time now) {
    for (SlotAllocator::Outgoing& out : allocator.TakeOutgoing(now)) {
      if (out.answer) answers.push_back(*out.answer);
      if (out.grant) acked_grant[out.to.value] = out.grant->number;
    }
  }
  int Allowed(const std::string& node) { return allocator.AllowedBatch(kEngine, NodeId{node}); }

  SlotAllocator allocator{0};
  std::map<std::string, std::uint64_t> numbers, acked_grant;
  std::vector<PlaceAnswer> answers;
};

}  // namespace

TEST_CASE("batch gets what online leaves, and gives it back when online comes") {
  Fixture f;
  f.Report("a", 1, 0, 5);
  CHECK(f.Allowed("a") == 3);
  f.Report("a", 1, 3, 2);
  f.Report("b", 2, 0);
  CHECK(f.Allowed("a") == 1);
}

TEST_CASE("places are shared by those who want them, the one with fewest first") {
  Fixture f;
  f.Report("a", 0, 0, 9, kStart);
  f.Report("b", 0, 0, 9, kStart);
  f.Tick(kSettled);
  CHECK(f.Allowed("a") == 2);
  CHECK(f.Allowed("b") == 2);
}

// Symptom: after engines are lost, the items of all jobs are late by a little.
// Sequence: each entry owns a job, and free places go to the entry that runs least.
// Cause: all jobs then take as long as the last one; due times were the owner's alone.
TEST_CASE("free places go to the item that is due first, whoever owns it") {
  Fixture f;
  const auto waiting = [](std::vector<WaitingItems> items) {
    return PlaceReport{0, 0, {}, std::move(items), {{kEngine, 0, 0}}};
  };
  f.Report("a", waiting({{kDue + Duration{1}, 9}}), kStart);
  f.Report("b", waiting({{kDue, 3}, {WaitingItems::kLate, 9}}), kStart);
  f.Tick(kSettled);
  CHECK(f.Allowed("b") == 3);
  CHECK(f.Allowed("a") == 1);
}

// Symptom: places stay empty although items wait at other entries.
// Sequence: an entry with one item waiting is granted a place at each engine; it uses one.
// Cause: grants under way for the same item were counted for each engine alone.
TEST_CASE("an entry is granted no more places in all than it has items waiting") {
  Fixture f({kEngine, kOther});
  const std::vector<PlaceReport::Line> both{{kEngine, 0, 0}, {kOther, 0, 0}};
  f.Report("a", {0, 0, {}, {{kDue, 1}}, both}, kStart);
  f.Report("b", {0, 0, {}, {{kDue + Duration{1}, 8}}, both}, kStart);
  f.Tick(kSettled);
  const NodeId a{"a"};
  const NodeId b{"b"};
  CHECK(f.allocator.AllowedBatch(kEngine, a) + f.allocator.AllowedBatch(kOther, a) == 1);
  CHECK(f.allocator.AllowedBatch(kEngine, b) + f.allocator.AllowedBatch(kOther, b) == 7);
}

// Symptom: after a host was suspended for some seconds, no batch runs there for minutes.
// Sequence: its keeper forgets it and begins to number its grants anew.
// Cause: the host's steady clock did not count the pause, so that it kept the number of
// the last grant, and took each new one for an old one.
TEST_CASE("grants to an entry that was forgotten go on from the last one that it saw") {
  Fixture f;
  f.Report("a", 1, 0, 2);
  for (int i = 0; i < 20; ++i) f.Report("a", 1, i % 2, 2);
  const std::uint64_t seen = f.acked_grant["a"];
  REQUIRE(seen > 10);
  f.Tick(kSettled + SlotAllocator::kIdleReportTtl);
  f.Report("a", 1, 0, 2, kSettled + SlotAllocator::kIdleReportTtl);
  CHECK(f.acked_grant["a"] == seen + 1);
}

TEST_CASE("an entry that uses nothing and waits for nothing hears of its keeper seldom") {
  Fixture f;
  f.Report("a", 0, 0, 0, kStart);
  f.Report("b", 1, 0, 0, kStart);
  const std::uint64_t idle = f.acked_grant["a"];
  const std::uint64_t busy = f.acked_grant["b"];
  for (Duration at{0}; at < std::chrono::seconds(1); at += SlotAllocator::kHeartbeat) {
    f.Tick(kStart + at);
  }
  CHECK(f.acked_grant["a"] <= idle + 1);
  CHECK(f.acked_grant["b"] >= busy + 4);
}

// Symptom: an engine runs twice as many batch items as it has places.
// Sequence: its keeper dies, another one takes over and has heard of nobody yet.
// Cause: places were granted before the entries had said what they run.
TEST_CASE("a new keeper grants nothing until all have had time to report") {
  Fixture f;
  f.Report("a", 0, 0, 9, kStart);
  CHECK(f.Allowed("a") == 0);
  f.Report("b", 0, 4, 0, kStart + Duration{100'000});
  f.Tick(kSettled);
  CHECK(f.Allowed("a") == 0);
  CHECK(f.Allowed("b") == 4);
}

// Symptom: two entries run batch in the same place.
// Sequence: a grant is on its way to one of them when the keeper divides again.
// Cause: what was granted and not yet reported was taken for free.
TEST_CASE("a grant that is under way counts as used") {
  Fixture f;
  f.allocator.OnReport(PeerNamed("a"), true, {1, 0, {}, {{kDue, 4}}, {{kEngine, 0, 0}}}, kSettled);
  (void)f.allocator.TakeOutgoing(kSettled);  // the grant leaves; no report of it has come back
  f.allocator.OnReport(PeerNamed("b"), true, {1, 0, {}, {{kDue, 4}}, {{kEngine, 0, 0}}}, kSettled);
  CHECK(f.Allowed("a") == 4);
  CHECK(f.Allowed("b") == 0);
}

TEST_CASE("a report that was overtaken changes nothing") {
  Fixture f;
  f.allocator.OnReport(PeerNamed("a"), true, {2, 0, {}, {}, {{kEngine, 3, 0}}}, kSettled);
  f.allocator.OnReport(PeerNamed("a"), true, {1, 0, {}, {}, {{kEngine, 0, 0}}}, kSettled);
  f.Report("b", 0, 0, 9);
  CHECK(f.Allowed("b") == 1);
}

// Symptom: places of a backend server that has just started count as taken, or as free twice.
// Sequence: entries and their keeper hear of the restart at different moments, and reports of
// the one incarnation reach a keeper that goes by the other.
TEST_CASE("a report of another incarnation of a backend server counts for nothing") {
  constexpr BackendIncarnation kFirst{1'000};
  constexpr BackendIncarnation kSecond{2'000};
  Fixture f;
  f.allocator.SetBackends({{kEngine, {.service = kLlm, .places = 4, .incarnation = kFirst}}},
                          kSettled);
  const auto report = [&f](const std::string& node, int online, int batch, int waiting,
                           BackendIncarnation incarnation) {
    PlaceReport all;
    if (waiting > 0) all.waiting = {{kDue, waiting}};
    all.lines = {{kEngine, online, batch, Duration{0}, 0, 0, TagOf(incarnation)}};
    f.Report(node, std::move(all), kSettled);
  };
  report("a", 3, 1, 0, kFirst);
  f.AskFor("b", Ask(1));
  f.allocator.SetBackends({{kEngine, {.service = kLlm, .places = 4, .incarnation = kSecond}}},
                          kSettled);
  SUBCASE("its places are free at once") {
    report("b", 0, 0, 9, kSecond);
    CHECK(f.Allowed("b") == 4);
  }
  SUBCASE("a late report takes none") {
    report("a", 3, 1, 0, kFirst);
    report("b", 0, 0, 9, kSecond);
    CHECK(f.Allowed("b") == 4);
  }
  SUBCASE("one that doesn't say counts") {
    report("a", 3, 0, 0, {});
    report("b", 0, 0, 9, kSecond);
    CHECK(f.Allowed("b") == 1);
  }
  SUBCASE("grants say which one they are for") {
    f.allocator.OnReport(PeerNamed("c"), true,
                         {1, 0, {}, {}, {{kEngine, 1, 0, Duration{0}, 0, 0, TagOf(kSecond)}}},
                         kSettled);
    f.allocator.Tick(kSettled + SlotAllocator::kHeartbeat);
    std::vector<IncarnationTag> told;
    for (const auto& out : f.allocator.TakeOutgoing(kSettled + SlotAllocator::kHeartbeat)) {
      if (!out.grant) continue;
      for (const auto& line : out.grant->lines) told.push_back(line.incarnation);
    }
    CHECK(told == std::vector<IncarnationTag>{TagOf(kSecond)});
  }
}

TEST_CASE("what a silent entry used is free again, and so is what its earlier process used") {
  Fixture f;
  f.Report("a", 4, 0);
  f.Report("b", 0, 0, 9);
  CHECK(f.Allowed("b") == 0);
  SUBCASE("silent") {
    f.Report("b", 0, 0, 9, kSettled + SlotAllocator::kReportTtl);
    f.Tick(kSettled + SlotAllocator::kReportTtl);
  }
  SUBCASE("started again") {
    Peer restarted = PeerNamed("a");
    restarted.incarnation = 2;
    f.allocator.OnReport(restarted, true, {1, 0, {}, {}, {{kEngine, 0, 0}}}, kSettled);
    f.Report("b", 0, 0, 9);
    f.Tick(kSettled);
  }
  CHECK(f.Allowed("b") == 4);
}

TEST_CASE("an ask gets a place that nobody uses before one that batch uses") {
  Fixture f({kEngine, kOther});
  f.Report("a", 0, 4, 0, kSettled, {}, kEngine);
  f.Report("a", 3, 0, 0, kSettled, {}, kOther);
  f.AskFor("b", Ask(1));
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers[0].kind == PlaceAnswer::Kind::kPlaced);
  CHECK(f.answers[0].backend == kOther);
  // All are used now: batch gives way.
  f.AskFor("b", Ask(2));
  CHECK(f.answers[1].backend == kEngine);
  CHECK(f.Allowed("a") == 3);
}

TEST_CASE("a place that was given is kept until it is reported in use, or lost") {
  Fixture f;
  f.Report("a", 3, 0);
  f.AskFor("b", Ask(1));
  f.AskFor("c", Ask(2));
  REQUIRE(f.answers.size() == 2);
  CHECK(f.answers[1].kind == PlaceAnswer::Kind::kFull);
  SUBCASE("in use") {
    f.Report("b", 1, 0, 0, kSettled, {1});
    f.AskFor("c", Ask(3));
    CHECK(f.answers[2].kind == PlaceAnswer::Kind::kFull);
  }
  SUBCASE("lost") {
    const Time later = kSettled + SlotAllocator::kReservationTtl;
    f.Tick(later);
    f.AskFor("c", Ask(3), later);
    CHECK(f.answers[2].kind == PlaceAnswer::Kind::kPlaced);
  }
}

TEST_CASE("a queued ask is answered when a place falls free, those who can be in time first") {
  Fixture f;
  f.Report("a", 4, 0);
  const Time now = kSettled + kAlmostARun;
  PlaceAsk waited = Ask(1, /*may_queue=*/true);
  waited.last_chance = true;
  waited.goal_left = Duration{0};
  f.AskFor("b", waited, now);
  f.AskFor("b", Ask(2, /*may_queue=*/true), now);
  REQUIRE(f.answers.size() == 2);
  CHECK(f.answers[0].kind == PlaceAnswer::Kind::kQueued);
  CHECK(f.answers[1].kind == PlaceAnswer::Kind::kQueued);
  f.Report("a", 3, 0, 0, now);
  REQUIRE(f.answers.size() == 3);
  CHECK(f.answers[2].number == 2);
  f.Report("b", 1, 0, 0, now, {2});
  f.Report("a", 2, 0, 0, now);
  REQUIRE(f.answers.size() == 4);
  CHECK(f.answers[3].number == 1);
}

// Symptom: a request waits until its caller has given up, though it was clear from
// the start that there would be no place in time.
TEST_CASE("an ask that would wait beyond its goal is told so at once, with the time") {
  Fixture f;
  f.Report("a", 4, 0);
  const Time now = kSettled + kAlmostARun;
  for (std::uint64_t i = 1; i <= 20; ++i) f.AskFor("b", Ask(i, /*may_queue=*/true), now);
  CHECK(f.answers.back().kind == PlaceAnswer::Kind::kFull);
  CHECK(f.answers.back().wait > Duration{100'000});
  const auto queued = std::count_if(f.answers.begin(), f.answers.end(), [](const auto& answer) {
    return answer.kind == PlaceAnswer::Kind::kQueued;
  });
  CHECK(queued > 0);
  CHECK(queued < 5);
}

// Symptom: at the rise of a wave requests wait 0.2 s in the queue and are refused then.
// Sequence: all places are taken within some ms, so that none falls free for most of a run.
// Cause: the wait was reckoned from the number of places, as if runs ended evenly.
TEST_CASE("nobody is queued behind runs that have just begun") {
  Fixture f;
  f.Report("a", 4, 0);
  f.AskFor("b", Ask(1, /*may_queue=*/true));
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers[0].kind == PlaceAnswer::Kind::kFull);
}

// Symptom: callers that are refused in a wave come back into it, all at the same time.
// Cause: each was told the wait behind those that were queued then.
TEST_CASE("an ask that is refused is told to come back after the overload, behind the last one") {
  Fixture f;
  std::uint64_t number = 0;
  const auto refuse = [&](Time now) {
    f.Report("a", 0, 0, 0, now);
    f.Report("a", 4, 0, 0, now);
    f.AskFor("b", Ask(++number, /*may_queue=*/true), now);
    return f.answers.back().come_back;
  };
  for (int i = 0; i <= 16; ++i) {
    CHECK(refuse(kSettled + i * Duration{50'000}) == Duration{1'500'000});
  }
  const Time next = kSettled + Duration{3'000'000};
  CHECK(refuse(next) == Duration{800'000});
  CHECK(refuse(next) > Duration{800'000});
}

TEST_CASE("a search asks keepers in turn, then waits where the wait is shortest") {
  SlotSearch search(Ask(7), {NodeId{"a"}, NodeId{"b"}}, kStart);
  const auto asked = [](const search::Action& action) {
    const auto* ask = std::get_if<search::AskAllocator>(&action);
    return ask == nullptr ? std::string()
                          : ask->allocator.value + (ask->request.may_queue ? "+" : "");
  };
  const auto full = [](Duration wait, Duration come_back = {}) {
    return search::Answered{{7, PlaceAnswer::Kind::kFull, {}, wait, come_back}};
  };
  CHECK(asked(search.Start(kStart)) == "a");
  CHECK(asked(search.OnEvent(full(Duration{50'000}), kStart)) == "b");
  CHECK(asked(search.OnEvent(full(Duration{90'000}), kStart)) == "a+");
  SUBCASE("queued, then placed") {
    CHECK(std::holds_alternative<search::Wait>(
        search.OnEvent(search::Answered{{7, PlaceAnswer::Kind::kQueued, {}, {}}}, kStart)));
    const auto taken =
        search.OnEvent(search::Answered{{7, PlaceAnswer::Kind::kPlaced, kEngine, {}}}, kStart);
    REQUIRE(std::holds_alternative<search::UseSlot>(taken));
    CHECK(std::get<search::UseSlot>(taken).backend == kEngine);
  }
  SUBCASE("full there too") {
    const auto given_up = search.OnEvent(full(Duration{50'000}, Duration{700'000}), kStart);
    REQUIRE(std::holds_alternative<search::Refuse>(given_up));
    CHECK(std::get<search::Refuse>(given_up).wait == Duration{700'000});
  }
}

// Symptom: requests are refused as if all places were taken, though engines stand idle.
// Sequence: an entry starts; the others take it for a keeper as soon as it is listed; it can't
// read the list of backend servers yet.
// Cause: it answers that there is no place where it knows of no backend server; who asks takes
// that for a full service.
TEST_CASE("a keeper that knows no backend server of a service does not call it full") {
  Fixture f(std::vector<BackendId>{});
  f.AskFor("a", Ask(1));
  f.AskFor("a", Ask(2, /*may_queue=*/true));
  for (const PlaceAnswer& answer : f.answers) {
    CHECK(answer.kind != PlaceAnswer::Kind::kFull);
    CHECK(answer.kind != PlaceAnswer::Kind::kQueued);
  }
}

TEST_CASE("a keeper whose backend servers all leave has no queue for their service") {
  Fixture f(std::vector<BackendId>{});
  f.allocator.SetBackends({{kEngine, {kLlm, 0}}}, kStart);
  f.AskFor("a", Ask(1, /*may_queue=*/true));
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers[0].kind == PlaceAnswer::Kind::kNotKept);
}

// Symptom: a request is refused by one keeper that knows of no place.
// Sequence: two keepers are asked; one has not read the list of backend servers yet.
// Cause: its answer was taken for one about places that are all taken.
TEST_CASE("a keeper that knows of no place is passed over, and alone it decides nothing") {
  const PlaceAnswer not_kept{7, PlaceAnswer::Kind::kNotKept, {}, {}};
  PeerMessage message;
  message.answer = not_kept;
  message.from = PeerNamed("a");
  const Result<PeerMessage> back = DecodePeerMessage(Encode(message));
  REQUIRE(IsOk(back));
  CHECK(ValueOf(back).answer->kind == PlaceAnswer::Kind::kNotKept);

  SlotSearch search(Ask(7), {NodeId{"a"}, NodeId{"b"}}, kStart);
  (void)search.Start(kStart);
  const search::Action second = search.OnEvent(search::Answered{not_kept}, kStart);
  REQUIRE(std::holds_alternative<search::AskAllocator>(second));
  CHECK(std::get<search::AskAllocator>(second).allocator == NodeId{"b"});
  SUBCASE("the other one is full") {
    const PlaceAnswer full{7, PlaceAnswer::Kind::kFull, {}, Duration{50'000}};
    const search::Action third = search.OnEvent(search::Answered{full}, kStart);
    REQUIRE(std::holds_alternative<search::AskAllocator>(third));
    CHECK(std::get<search::AskAllocator>(third).allocator == NodeId{"b"});
  }
  SUBCASE("the other one knows of none either") {
    const search::Action third = search.OnEvent(search::Answered{not_kept}, kStart);
    CHECK(std::holds_alternative<search::ChooseLocally>(third));
  }
}

TEST_CASE("a search whose keepers are silent goes on without them") {
  SlotSearch search(Ask(7), {NodeId{"a"}}, kStart);
  (void)search.Start(kStart);
  CHECK(std::holds_alternative<search::ChooseLocally>(search.OnEvent(search::TimedOut{}, kStart)));
}

TEST_CASE("a message comes back as it was, and a long one loses lines, not its sender") {
  PeerMessage message;
  message.from = PeerNamed("a");
  message.report = PlaceReport{3, 2, {5, 6}, {{kDue, 7, true}}, {{kEngine, 1, 2}}};
  message.report->lines[0].incarnation = {0xFFFF};
  message.grant = PlaceGrant{4, {{kEngine, 1, 2, 3, false, {0xFFFF}}}};
  message.ask = Ask(9, true);
  message.answer = PlaceAnswer{9, PlaceAnswer::Kind::kQueued, kEngine, Duration{5}, Duration{6}};
  auto back = DecodePeerMessage(Encode(message));
  REQUIRE(IsOk(back));
  CHECK(ValueOf(back).from == message.from);
  CHECK(ValueOf(back).report->asked == std::vector<std::uint64_t>{5, 6});
  CHECK(ValueOf(back).report->waiting == message.report->waiting);
  CHECK(ValueOf(back).report->lines[0].batch == 2);
  CHECK(ValueOf(back).report->lines[0].incarnation == IncarnationTag{0xFFFF});
  CHECK(ValueOf(back).grant->lines[0].incarnation == IncarnationTag{0xFFFF});
  CHECK(ValueOf(back).ask->may_queue);
  CHECK(ValueOf(back).answer->wait == Duration{5});
  CHECK(ValueOf(back).answer->come_back == Duration{6});
  for (int i = 0; i < 400; ++i) message.known.push_back(PeerNamed("p" + std::to_string(i)));
  const std::string text = Encode(message);
  CHECK(text.size() <= kMaxPeerMessageBytes);
  back = DecodePeerMessage(text);
  REQUIRE(IsOk(back));
  CHECK(ValueOf(back).from == message.from);
}

// Symptom: during a release each half of the entries takes the other half for gone.
// Sequence: entries of the version before send lines without an incarnation.
TEST_CASE("a line without an incarnation is read, and says nothing of it") {
  // As packed by the version before: a grant with one line of five elements.
  const std::string line =
      "\x95\xa6"
      "engine\x01\x02\x03\xc2";
  const std::string peer = std::string(
                               "\x96\xa1"
                               "a\x01\xaa"
                               "10.0.0.1:1\xa2"
                               "dc\xcb\x3f\xf0") +
                           std::string(6, '\0') + "\xc2";
  const auto back = DecodePeerMessage("\x97" + peer + "\xc0\x92\x04\x91" + line + "\xc0\xc0\x90" +
                                      std::string(1, '\0'));
  REQUIRE(IsOk(back));
  REQUIRE(ValueOf(back).grant->lines.size() == 1);
  CHECK(ValueOf(back).grant->lines[0].allowed == 3);
  CHECK(ValueOf(back).grant->lines[0].incarnation == IncarnationTag{});
}

TEST_CASE("incarnations are told apart by their tags") {
  CHECK(TagOf({}) == IncarnationTag{});
  for (std::uint64_t number = 1'700'000'000'000; number < 1'700'000'070'000; ++number) {
    REQUIRE_FALSE(TagOf({number}) == IncarnationTag{});
    REQUIRE_FALSE(MayBeSame(TagOf({number}), TagOf({number + 1'000})));
  }
}

namespace {

// What a keeper of several engines says to an entry of another data centre, as the entry hears it.
struct FarEntry {
  FarEntry() {
    std::map<BackendId, KeptBackend> owned;
    for (int i = 0; i < 8; ++i) owned[Engine(i)] = {kLlm, 4};
    allocator.SetBackends(owned, kStart);
  }
  static BackendId Engine(int i) { return BackendId{"engine" + std::to_string(i)}; }

  // Lines of engines that have no use are left out; unless `all`.
  // `batch`: items that it runs, by engine.
  void Report(const std::string& node, bool near, std::map<int, int> batch, int waiting, Time now,
              bool all = false, int online = 0) {
    PlaceReport report;
    report.number = ++number;
    report.grant = node == "far" ? acked_grant : 1'000'000;
    if (waiting > 0) report.waiting = {{kDue, waiting}};
    for (int i = 0; i < 8; ++i) {
      if (all || batch[i] > 0) report.lines.push_back({Engine(i), online, batch[i]});
    }
    report.rest_unused = true;
    allocator.OnReport(PeerNamed(node, near ? "dc" : "elsewhere"), near, report, now);
  }
  // The grant to the far entry, if there is one now.
  std::optional<PlaceGrant> Due(Time now) {
    allocator.Tick(now);
    for (SlotAllocator::Outgoing& out : allocator.TakeOutgoing(now)) {
      if (out.to == NodeId{"far"} && out.grant) return std::move(out.grant);
    }
    return std::nullopt;
  }

  SlotAllocator allocator{0};
  std::uint64_t number = 0;
  std::uint64_t acked_grant = 0;
};

}  // namespace

// Symptom: keepers' grants are a third of all bytes between data centres.
// Sequence: each use of a backend server is told to all entries, ten times a second.
TEST_CASE("an entry of another data centre is told what is free, and lines of what it may use") {
  FarEntry f;
  f.Report("far", false, {}, 0, kSettled, /*all=*/true);
  CHECK(f.Due(kSettled)->lines.size() == 8);
  f.acked_grant = 1;
  const Time later = kSettled + SlotAllocator::kRemoteCoalesce;
  f.Report("near", true, {{0, 3}, {1, 2}}, 0, later, /*all=*/true, /*online=*/1);
  const auto grant = f.Due(later);
  REQUIRE(grant);
  CHECK(grant->lines.empty());
  CHECK(grant->services == std::vector<PlaceGrant::ServiceUse>{{kLlm, 32, 8}});
  f.acked_grant = grant->number;
  // Each line comes again once in a while.
  const auto all = f.Due(later + SlotAllocator::kIdleHeartbeat);
  REQUIRE(all);
  REQUIRE(all->lines.size() == 8);
  CHECK(all->lines[0].batch_other == 3);
}

// Symptom: an entry goes on with batch items that it may not have there any more, and online waits
// behind them.
// Sequence: the grant that takes its places away is lost; the next one has no line for them.
TEST_CASE("what an entry of another data centre may not have any more is said until it is heard") {
  FarEntry f;
  const Time start = kSettled - SlotAllocator::kRemoteCoalesce;
  f.Report("far", false, {{7, 1}}, 0, start, /*all=*/true);
  (void)f.Due(start);
  f.acked_grant = 1;
  f.Report("far", false, {{7, 1}}, 3, kSettled, /*all=*/true);
  const auto given = f.Due(kSettled);
  REQUIRE(given);
  f.acked_grant = given->number;
  const auto allowed = [](const PlaceGrant& grant) {
    int sum = 0;
    for (const PlaceGrant::Line& line : grant.lines) sum += line.allowed;
    return sum;
  };
  REQUIRE(allowed(*given) == 4);
  // It has nothing more to run.
  Time now = kSettled + SlotAllocator::kRemoteCoalesce;
  f.Report("far", false, {{7, 1}}, 0, now);
  const auto taken = f.Due(now);
  REQUIRE(taken);
  CHECK(allowed(*taken) == 1);
  CHECK(taken->lines.size() == given->lines.size());
  // That one was lost.
  now += SlotAllocator::kHeartbeat;
  f.Report("far", false, {{7, 1}}, 0, now);
  const auto again = f.Due(now);
  REQUIRE(again);
  CHECK(again->lines.size() == given->lines.size());
  f.acked_grant = again->number;
  now += SlotAllocator::kRemoteCoalesce;
  f.Report("far", false, {{7, 1}}, 0, now);
  f.Report("near", true, {}, 0, now, /*all=*/true, /*online=*/1);
  const auto heard = f.Due(now);
  REQUIRE(heard);
  CHECK(heard->lines.size() == 1);
}

// Symptom: places stay taken at a keeper though nothing runs there.
// Sequence: the report that tells of an end is lost; the next ones have lines of what is used.
TEST_CASE("what a report leaves out as unused is free, even if the word of its end was lost") {
  FarEntry f;
  f.Report("near", true, {{0, 4}, {1, 2}}, 0, kSettled, /*all=*/true);
  f.Report("far", false, {}, 0, kSettled, /*all=*/true);
  CHECK(f.Due(kSettled)->lines[0].batch_other == 4);
  const Time later = kSettled + SlotAllocator::kIdleHeartbeat;
  f.Report("near", true, {{1, 2}}, 0, later);
  const auto grant = f.Due(later);
  REQUIRE(grant);
  CHECK(grant->lines[0].batch_other == 0);
  CHECK(grant->lines[1].batch_other == 2);
}

// Symptom: places in use count as free after a fleet of few entries has grown large.
// Sequence: a report doesn't fit its datagram, and loses lines; it says that the rest is unused.
TEST_CASE("a report that was cut does not say that the rest is unused") {
  PeerMessage message;
  message.from = PeerNamed("a");
  message.report = PlaceReport{3, 2, {}, {}, {}, /*rest_unused=*/true};
  Result<PeerMessage> back = DecodePeerMessage(Encode(message));
  REQUIRE(IsOk(back));
  CHECK(ValueOf(back).report->rest_unused);
  for (int i = 0; i < 200; ++i) {
    message.report->lines.push_back({BackendId{"engine" + std::to_string(i)}, 1, 1});
  }
  back = DecodePeerMessage(Encode(message));
  REQUIRE(IsOk(back));
  CHECK(ValueOf(back).report->lines.size() < 200);
  CHECK_FALSE(ValueOf(back).report->rest_unused);
}

TEST_CASE("a grant's services come back as they were, and are none in one of an earlier version") {
  PeerMessage message;
  message.from = PeerNamed("a");
  message.grant = PlaceGrant{4, {}, {{kLlm, 32, 7}}};
  const Result<PeerMessage> back = DecodePeerMessage(Encode(message));
  REQUIRE(IsOk(back));
  CHECK(ValueOf(back).grant->services == message.grant->services);
}

TEST_CASE("an entry that has joined sends no byte more for it") {
  PeerMessage message;
  message.from = PeerNamed("a");
  const std::size_t joined = Encode(message).size();
  message.from.joining = true;
  const Result<PeerMessage> back = DecodePeerMessage(Encode(message));
  REQUIRE(IsOk(back));
  CHECK(ValueOf(back).from.joining);
  CHECK(Encode(message).size() == joined + 1);
}

TEST_CASE("what is no message is refused") {
  CHECK_FALSE(IsOk(DecodePeerMessage("")));
  CHECK_FALSE(IsOk(DecodePeerMessage("hello")));
  CHECK_FALSE(IsOk(DecodePeerMessage(std::string(200, '\xff'))));
}
