#include <doctest/doctest.h>

#include <array>
#include <vector>

#include "figmill/quarantine.h"

using namespace figmill;               // NOLINT(google-build-using-namespace): tests read better
using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace): as above

namespace {

const ServiceName kService{"note-llm"};
const ServiceName kOtherService{"report-llm"};
using Request = std::vector<Fingerprint>;

Time At(Duration since_start) {
  return Time{} + 1h + since_start;
}

Fingerprint Part(std::string_view id) {
  return PartFingerprintsOf(std::string(id) + ":1,ff:1", kService).front();
}

const Fingerprint kSystem = Part("5c1e07a2");
const Fingerprint kBad = Part("bad0001");
const Fingerprint kOtherBad = Part("bad0002");
const Fingerprint kBeside = Part("91bd3f06");

// A request of which there is no second one.
Request RequestWith(Request parts) {
  static int count = 0;
  const std::string body = std::to_string(++count);
  parts.insert(parts.begin(), FingerprintOf("POST", "/notes/1", {}, body, {}));
  return parts;
}

// The entries of a fleet, which all see the same reports.
class Fleet {
 public:
  // A backend server crashes at `at` with these runs, all of which started at `started_at`.
  void Crash(Duration started_at, Duration at, const std::vector<Request>& lost,
             bool online = false) {
    const BackendProcess process{{"i-" + std::to_string(++backends_)}, {7}};
    std::vector<CrashReport> reports;
    for (const Request& request : lost) {
      for (const Fingerprint& suspect : request) {
        if (quarantine.IsCleared(suspect, At(at))) continue;
        const figmill::Crash crash{suspect, process};
        reports.push_back({crash, quarantine.NextChainLength(crash, At(started_at)), online});
      }
    }
    for (const CrashReport& report : reports) quarantine.Add(report, At(at));
  }
  void Complete(Duration at, const Request& request) {
    (void)quarantine.RecordSound(request, At(at));
  }
  [[nodiscard]] bool MayRun(Duration at, const Request& request) const {
    return !quarantine.HoldOf(request, At(at));
  }
  // Whether the request may run as a batch item that is given up at `expires`.
  [[nodiscard]] bool MayRunItem(Duration at, const Request& request, Duration expires) const {
    return !quarantine.HoldOfItem(request, At(expires), At(at));
  }
  void Start(Duration at, const Request& request) { quarantine.RecordStart(request, At(at)); }

  Quarantine quarantine{NodeId{"a"}};

 private:
  int backends_ = 0;
};

}  // namespace

TEST_CASE("the last part of a prompt and entries that can't be read are left out") {
  using Ids = std::vector<std::string_view>;
  CHECK(SharedPartsOf("5c1e07a2:800,91bd3f06:410, e4402b7d:250") == Ids{"5c1e07a2", "91bd3f06"});
  CHECK(SharedPartsOf("5c1e07a2:800,5c1e07a2:800,ff:1") == Ids{"5c1e07a2"});
  CHECK(SharedPartsOf("5c1e07a2:800").empty());
  CHECK(SharedPartsOf("").empty());
  CHECK(SharedPartsOf(",,").empty());
  CHECK(SharedPartsOf("rye field:1,:2," + std::string(65, '0') + ":1,ff:1").empty());
  std::string many;
  for (int i = 0; i < 100; ++i) many += std::to_string(i) + ":1,";
  CHECK(SharedPartsOf(many).size() == kMaxPartsOfPrompt);
}

TEST_CASE("a part has one fingerprint for a service, which names it") {
  CHECK(Part("5c1e07a2") == PartFingerprintsOf("01:7,5c1e07a2:9,ff:1", kService).back());
  CHECK(Part("5c1e07a2") != PartFingerprintsOf("5c1e07a2:1,ff:1", kOtherService).front());
  CHECK(kSystem.value.find("5c1e07a2") != std::string::npos);
  CHECK(IsPart(kSystem));
  CHECK(IsFingerprint(kSystem.value));
  CHECK_FALSE(IsPart(FingerprintOf("POST", "/", {}, "x", {})));
  for (const std::string_view text : {"part-", "part-5c", "part-5c-", "part-xy-0123456789abcdef",
                                      "part-5c-0123456789abcdeX", "part--0123456789abcdef"}) {
    CAPTURE(text);
    CHECK_FALSE(IsFingerprint(text));
  }
}

TEST_CASE("a part's report is decoded from its row as it was encoded") {
  const CrashReport report{{kBad, {{"i-3"}, {7}}}, 2, true};
  const Result<CrashReport> read = ParseCrashRow({{"crash_reports", "", CrashRowKey(report.crash)},
                                                  CrashRowValue(report, NodeId{"a"}, "a1"),
                                                  1});
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read).crash == report.crash);
  CHECK(ValueOf(read).online);
}

// Guards against rows that are refused, or change their meaning, while a release replaces another.
TEST_CASE("a row that doesn't say whether its request was online is that of an item") {
  const Crash crash{kBad, {{"i-3"}, {7}}};
  const Result<CrashReport> read =
      ParseCrashRow({{"crash_reports", "", CrashRowKey(crash)}, R"({"chain": 2})", 1});
  REQUIRE(IsOk(read));
  CHECK_FALSE(ValueOf(read).online);
  CHECK_FALSE(IsOk(ParseCrashRow(
      {{"crash_reports", "", CrashRowKey(crash)}, R"({"chain": 2, "online": 1})", 1})));
}

// Guards against a part that crashes one backend server after the other, in requests of which no
// two are alike.
TEST_CASE("a part is blamed after a second crash that followed the first") {
  Fleet fleet;
  fleet.Crash(0s, 100ms, {RequestWith({kSystem, kBad})});
  CHECK(fleet.MayRun(150ms, RequestWith({kSystem, kBad})));
  fleet.Complete(200ms, RequestWith({kSystem}));
  fleet.Crash(300ms, 400ms, {RequestWith({kSystem, kBad})});
  CHECK_FALSE(fleet.MayRun(500ms, RequestWith({kSystem, kBad})));
  CHECK_FALSE(fleet.MayRun(500ms, RequestWith({kBad, kBeside})));
  CHECK_FALSE(fleet.MayRunItem(500ms, RequestWith({kBad}), 60s));
  CHECK(fleet.MayRun(500ms, RequestWith({kSystem, kBeside})));
}

// Guards against blaming what is asked for often when a rack ends.
TEST_CASE("parts lost with backend servers that crash at the same time are not blamed") {
  Fleet fleet;
  for (int backend = 0; backend < 8; ++backend) {
    fleet.Crash(0s, 100ms, {RequestWith({kSystem, kBeside})});
  }
  CHECK(fleet.MayRun(200ms, RequestWith({kSystem, kBeside})));
}

// Guards against blaming a frequent part for crashes between which it is completed.
TEST_CASE("a completed part takes no reports for a while") {
  Fleet fleet;
  fleet.Complete(0s, RequestWith({kSystem}));
  for (int i = 1; i < 8; ++i) fleet.Crash(i * 1s, i * 1s + 100ms, {RequestWith({kSystem})});
  CHECK(fleet.MayRun(8s, RequestWith({kSystem})));
  const Duration later = Quarantine::kClearedFor;
  fleet.Crash(later + 1s, later + 1100ms, {RequestWith({kSystem})});
  fleet.Crash(later + 2s, later + 2100ms, {RequestWith({kSystem})});
  CHECK_FALSE(fleet.MayRun(later + 3s, RequestWith({kSystem})));
}

// Guards against blaming a part that was lost beside the cause and elsewhere.
TEST_CASE("crashes that another part explains don't count") {
  Fleet fleet;
  for (int i = 0; i < 3; ++i) {
    std::vector<Request> lost{RequestWith({kBad})};
    if (i == 1) lost.push_back(RequestWith({kBeside}));
    fleet.Crash(i * 1s, i * 1s + 100ms, lost);
  }
  SUBCASE("one of its crashes had another reason") {
    fleet.Crash(3s, 3100ms, {RequestWith({kBeside})});
    CHECK(fleet.MayRun(4s, RequestWith({kBeside})));
  }
  SUBCASE("several crashed together for another reason") {
    for (int i = 0; i < 4; ++i) fleet.Crash(3s, 3100ms, {RequestWith({kBeside})});
    CHECK(fleet.MayRun(4s, RequestWith({kBeside})));
  }
  SUBCASE("but it crashes others as well") {
    fleet.Crash(3s, 3100ms, {RequestWith({kBeside})});
    fleet.Crash(4s, 4100ms, {RequestWith({kBeside})});
    CHECK_FALSE(fleet.MayRun(5s, RequestWith({kBeside})));
  }
  CHECK_FALSE(fleet.MayRun(5s, RequestWith({kBad})));
}

// Guards against two causes of which one hides the other, and against batch items that ride along.
TEST_CASE("two parts that crash backend servers by turns are both blamed") {
  Fleet fleet;
  const Request item = RequestWith({});
  for (int i = 0; i < 4; ++i) {
    fleet.Crash(i * 1s, i * 1s + 100ms, {RequestWith({i % 2 == 0 ? kBad : kOtherBad}), item});
  }
  CHECK_FALSE(fleet.MayRun(4s, RequestWith({kBad})));
  CHECK_FALSE(fleet.MayRun(4s, RequestWith({kOtherBad})));
  CHECK(fleet.MayRun(4s, RequestWith({kSystem})));
}

// Guards against refusing a sound part because it came together with the cause.
TEST_CASE("of parts that always came together one is blamed as soon as they come alone") {
  Fleet fleet;
  for (int i = 0; i < 2; ++i) {
    fleet.Crash(i * 1s, i * 1s + 100ms, {RequestWith({kBad, kBeside})});
  }
  CHECK_FALSE(fleet.MayRun(3s, RequestWith({kBad, kBeside})));
  const Request alone = RequestWith({kBeside});
  REQUIRE(fleet.MayRun(3s, alone));
  fleet.Start(3s, alone);
  CHECK_FALSE(fleet.MayRun(3100ms, RequestWith({kBeside})));
  SUBCASE("the sound one is completed") {
    fleet.Complete(3500ms, alone);
    CHECK(fleet.MayRun(3600ms, RequestWith({kBeside})));
    CHECK_FALSE(fleet.MayRun(3600ms, RequestWith({kBad})));
  }
  SUBCASE("the cause crashes a further one") {
    fleet.Crash(3s, 3500ms, {RequestWith({kBad})});
    CHECK_FALSE(fleet.MayRun(3600ms, RequestWith({kBad})));
    CHECK(fleet.MayRun(3600ms + Quarantine::kDecidingProbeInterval, RequestWith({kBeside})));
  }
  SUBCASE("its first run does not end in time") {
    CHECK(fleet.MayRun(3s + Quarantine::kDecidingProbeInterval, RequestWith({kBeside})));
  }
}

// Guards against refusing all requests because two causes both came with the first part of theirs.
TEST_CASE("a part that all lost requests have is not blamed while others may be the cause") {
  Fleet fleet;
  for (int i = 0; i < 4; ++i) {
    const Fingerprint& cause = i % 2 == 0 ? kBad : kOtherBad;
    fleet.Crash(i * 1s, i * 1s + 100ms, {RequestWith({kSystem, cause})});
  }
  CHECK_FALSE(fleet.MayRun(5s, RequestWith({kSystem, kBad})));
  CHECK_FALSE(fleet.MayRun(5s, RequestWith({kSystem, kOtherBad})));
  const Request without = RequestWith({kSystem, kBeside});
  REQUIRE(fleet.MayRun(5s, without));
  fleet.Start(5s, without);
  SUBCASE("it is completed without them") {
    fleet.Complete(5500ms, without);
    CHECK(fleet.MayRun(5600ms, RequestWith({kSystem})));
    CHECK_FALSE(fleet.MayRun(5600ms, RequestWith({kBad})));
    CHECK_FALSE(fleet.MayRun(5600ms, RequestWith({kOtherBad})));
  }
  SUBCASE("it crashes backend servers without them") {
    fleet.Crash(5s, 5100ms, {without});
    CHECK_FALSE(fleet.MayRun(8s, RequestWith({kSystem})));
    CHECK(fleet.MayRun(8s, RequestWith({kBad})));
  }
}

// Guards against refusing what all requests share because an online request was sent again that
// crashes backend servers, and against serving that one in its place.
TEST_CASE("parts are not blamed while an online request that was sent again may be the cause") {
  Fleet fleet;
  Request repeated = RequestWith({});
  SUBCASE("it has none of the parts") {}
  SUBCASE("it has the same parts") {
    repeated = RequestWith({kSystem, kBeside});
  }
  for (int i = 0; i < 2; ++i) {
    fleet.Crash(i * 1s, i * 1s + 100ms, {repeated, RequestWith({kSystem, kBeside})}, true);
  }
  CHECK_FALSE(fleet.MayRun(3s, repeated));
  const Request without = RequestWith({kSystem, kBeside});
  REQUIRE(fleet.MayRun(3s, without));
  fleet.Start(3s, without);
  CHECK_FALSE(fleet.MayRun(3100ms, RequestWith({kSystem})));
  SUBCASE("requests with the parts are completed without it") {
    fleet.Complete(3500ms, without);
    CHECK(fleet.MayRun(3600ms, RequestWith({kSystem, kBeside})));
    CHECK_FALSE(fleet.MayRun(3600ms, repeated));
  }
  SUBCASE("they crash backend servers without it") {
    fleet.Crash(3s, 3100ms, {without}, true);
    CHECK_FALSE(fleet.MayRun(5s, RequestWith({kSystem, kBeside})));
  }
}

// Guards against a part that hides behind a batch item, which is in crashes by chance.
TEST_CASE("parts are blamed although a batch item was in the same crashes") {
  Fleet fleet;
  const Request item = RequestWith({});
  for (int i = 0; i < 2; ++i) {
    fleet.Crash(i * 1s, i * 1s + 100ms, {RequestWith({kBad}), item});
  }
  CHECK_FALSE(fleet.MayRun(3s, RequestWith({kBad})));
}

// Guards against a first part that crashes backend servers with any other part.
TEST_CASE("a part that was lost without the others is blamed alone") {
  Fleet fleet;
  for (int i = 0; i < 3; ++i) {
    fleet.Crash(i * 1s, i * 1s + 100ms,
                {i == 1 ? RequestWith({kSystem}) : RequestWith({kSystem, kBeside})});
  }
  CHECK_FALSE(fleet.MayRun(5s, RequestWith({kSystem})));
  CHECK(fleet.MayRun(5s, RequestWith({kBeside})));
}

// Guards against answers to callers that tell a long time while reports are still arriving.
TEST_CASE("callers of a part that was blamed just now are told to come back soon") {
  Fleet fleet;
  for (int i = 0; i < 3; ++i) fleet.Crash(i * 1s, i * 1s + 100ms, {RequestWith({kBad})});
  const auto hold = fleet.quarantine.HoldOf(RequestWith({kBad}), At(2200ms));
  REQUIRE(hold);
  CHECK(hold->left <= Quarantine::kSettlingTime);
  CHECK(fleet.quarantine.HoldOf(RequestWith({kBad}), At(4s))->left > 10s);
}

// Guards against probes that cost a backend server each, again and again.
TEST_CASE("a part that goes on crashing backend servers is probed less and less often") {
  Fleet fleet;
  for (int i = 0; i < 2; ++i) fleet.Crash(i * 1s, i * 1s + 100ms, {RequestWith({kBad})});
  Duration last = 1100ms;
  for (int chain = 2; chain <= CrashReport::kMaxChain; ++chain) {
    const Duration period = Quarantine::kPart.initial_period * (1 << (chain - 2));
    CHECK_FALSE(fleet.MayRun(last + period, RequestWith({kBad})));
    const Request probe = RequestWith({kBad});
    const Duration at = last + 2 * period;
    REQUIRE(fleet.MayRun(at, probe));
    fleet.Start(at, probe);
    CHECK_FALSE(fleet.MayRun(at + 1s, RequestWith({kBad})));
    last = at + 100ms;
    fleet.Crash(at, last, {probe});
  }
  const Request probe = RequestWith({kBad});
  fleet.Start(last + 1h, probe);
  fleet.Complete(last + 1h + 1s, probe);
  CHECK(fleet.MayRun(last + 1h + 2s, RequestWith({kBad})));
}

// Guards against items that are given up for crashes around them: a part that all items of a job
// share was blamed for these, and held for minutes.
TEST_CASE("an item with a part that was blamed is run again in time") {
  Fleet fleet;
  for (int i = 0; i < 6; ++i) fleet.Crash(i * 1s, i * 1s + 100ms, {RequestWith({kBad})});
  CHECK_FALSE(fleet.MayRunItem(10s, RequestWith({kBad}), 65s));
  CHECK_FALSE(fleet.MayRun(60s, RequestWith({kBad})));
  CHECK(fleet.MayRunItem(20'100ms, RequestWith({kBad}), 65s));
}

// Guards against a sound item that waits for a probe which is over: its run was stopped for online
// requests.
TEST_CASE("an item whose probe was stopped may be probed again") {
  Fleet fleet;
  for (int i = 0; i < 2; ++i) fleet.Crash(i * 1s, i * 1s + 100ms, {RequestWith({kBad})});
  const Request item = RequestWith({kBad});
  REQUIRE(fleet.MayRunItem(6s, item, 65s));
  fleet.Start(6s, item);
  CHECK_FALSE(fleet.MayRunItem(6100ms, item, 65s));
  fleet.quarantine.RecordItemEnd(item, At(6200ms));
  CHECK(fleet.MayRunItem(6300ms, item, 65s));
}

TEST_CASE("the number of completed parts that are remembered is limited") {
  Fleet fleet;
  for (std::size_t i = 0; i <= Quarantine::kMaxClearedParts; ++i) {
    fleet.Complete(0s, {Part(std::to_string(i))});
  }
  CHECK(fleet.quarantine.IsCleared(Part("0"), At(0s)));
  CHECK_FALSE(
      fleet.quarantine.IsCleared(Part(std::to_string(Quarantine::kMaxClearedParts)), At(0s)));
  fleet.Complete(2 * Quarantine::kClearedFor, {kSystem});
  CHECK(fleet.quarantine.IsCleared(kSystem, At(2 * Quarantine::kClearedFor)));
}
