#include "figmill/quarantine.h"

#include <doctest/doctest.h>

#include <array>

using namespace figmill;               // NOLINT(google-build-using-namespace): tests read better
using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace): as above

namespace {

const Fingerprint kRequest{"0123456789abcdef0123456789abcdef"};
const Fingerprint kOther{"fedcba9876543210fedcba9876543210"};

constexpr Duration kLongJob = 10h;

Time At(Duration since_start) {
  return Time{} + 1h + since_start;
}

Crash CrashOf(const Fingerprint& request, int backend) {
  return {request, {{"i-" + std::to_string(backend)}, {7}}};
}

// An entry, and the crashes of backend servers that it sees.
class Entry {
 public:
  explicit Entry(std::string name = "a") : quarantine(NodeId{std::move(name)}) {}

  // A run of the request that started at `started_at` ends with a crash of its backend server.
  CrashReport AddCrash(int backend, Duration started_at, Duration ended_at,
                       const Fingerprint& request = kRequest) {
    const Crash crash = CrashOf(request, backend);
    CrashReport report{crash, quarantine.NextChainLength(crash, At(started_at))};
    quarantine.Add(report, At(ended_at));
    return report;
  }
  // Adds `count` crashes in sequence, the first at `from`.
  void AddCrashChain(int count, Duration from) {
    for (int i = 0; i < count; ++i) AddCrash(++backends_, from + i * 1s, from + i * 1s + 100ms);
  }
  [[nodiscard]] bool MayRun(Duration at) const { return !TimeLeft(At(at)); }
  [[nodiscard]] std::optional<Duration> TimeLeft(Time at,
                                                 const Fingerprint& request = kRequest) const {
    const auto hold = quarantine.HoldOf(std::vector{request}, at);
    return hold ? std::optional(hold->left) : std::nullopt;
  }
  // Whether the request may run as a batch item that is given up at `expires`.
  [[nodiscard]] bool MayRunItem(Duration at, Duration expires = kLongJob) const {
    return !quarantine.HoldOfItem(std::vector{kRequest}, At(expires), At(at));
  }

  Quarantine quarantine;

 private:
  int backends_ = 100;
};

TableRow ErrorInfoOf(std::string key, std::string value) {
  return {{"crash_reports", "", std::move(key)}, std::move(value), 1};
}

}  // namespace

TEST_CASE("attempts of one request have one fingerprint, and other requests have others") {
  const std::vector<Header> headers{{"Host", "farm.example"}, {"Request-Id", "a1"}};
  const std::vector<Header> again{
      {"host", "farm.example"}, {"Request-Id", "a2"}, {"Deadline-Ms", "9"}};
  const Fingerprint first = FingerprintOf("POST", "/notes/1?x=1", headers, "rye", {});
  CHECK(first.value.size() == 32);
  CHECK(FingerprintOf("POST", "/notes/1?x=1", again, "rye", {}) == first);

  const std::vector<Header> others_host{{"Host", "shore.example"}};
  const std::vector<Header> others_key{{"Host", "farm.example"}, {"Authorization", "Bearer k"}};
  CHECK(FingerprintOf("PUT", "/notes/1?x=1", headers, "rye", {}) != first);
  CHECK(FingerprintOf("POST", "/notes/1?x=2", headers, "rye", {}) != first);
  CHECK(FingerprintOf("POST", "/notes/1?x=1", others_host, "rye", {}) != first);
  // The team identifies whose request it is; the key must not be written to the store.
  CHECK(FingerprintOf("POST", "/notes/1?x=1", headers, "rye", TeamId{"shore"}) != first);
  CHECK(FingerprintOf("POST", "/notes/1?x=1", others_key, "rye", {}) == first);
  CHECK(FingerprintOf("POST", "/notes/1?x=1", headers, "oats", {}) != first);
}

// Guards against a request that crashes one backend server after the other.
TEST_CASE("a request is quarantined after a second crash that followed the first") {
  Entry entry;
  entry.AddCrash(1, 0s, 100ms);
  CHECK(entry.MayRun(200ms));
  entry.AddCrash(2, 200ms, 300ms);
  CHECK_FALSE(entry.MayRun(400ms));
  CHECK_FALSE(entry.TimeLeft(At(400ms), kOther));
  CHECK(entry.quarantine.culprits().size() == 1);
}

// Guards against blaming a frequent request for the loss of a rack.
TEST_CASE("backend servers that crash at the same time form no chain") {
  Entry entry;
  for (int backend = 0; backend < 8; ++backend) entry.AddCrash(backend, 0s, 100ms);
  CHECK(entry.MayRun(200ms));
  CHECK(entry.quarantine.culprits().empty());
}

// Guards against blaming what was sent to a backend server that had crashed, before the list of
// backend servers showed it.
TEST_CASE("a run that started after its backend server had crashed follows no other crash") {
  Entry entry;
  SUBCASE("of the same backend server") {
    for (int run = 0; run < 4; ++run) entry.AddCrash(1, run * 1s, run * 1s + 100ms);
  }
  SUBCASE("of one that crashed at the same time") {
    entry.AddCrash(1, 0s, 100ms);
    entry.AddCrash(2, 0s, 110ms, kOther);
    for (int run = 1; run < 4; ++run) {
      entry.AddCrash(1, run * 1s, run * 1s + 100ms);
      entry.AddCrash(2, run * 1s, run * 1s + 100ms);
    }
  }
  CHECK(entry.MayRun(4s));
  CHECK(entry.quarantine.culprits().empty());
  entry.AddCrash(3, 4s, 4100ms);
  CHECK_FALSE(entry.MayRun(4200ms));
}

TEST_CASE("a backend server whose reports were withdrawn is not taken for crashed") {
  Entry entry;
  entry.AddCrash(1, 0s, 100ms, kOther);
  entry.AddCrash(2, 0s, 100ms);
  CHECK(entry.quarantine.RecordSound(std::vector{kOther}, At(200ms)).size() == 1);
  entry.AddCrash(1, 300ms, 400ms);
  CHECK_FALSE(entry.MayRun(500ms));
}

// Guards against entries that each lose backend servers of their own to the same request.
TEST_CASE("a crash that another entry reports counts from the time at which its report arrives") {
  Entry first("a"), second("b");
  const CrashReport report = first.AddCrash(1, 0s, 100ms);
  second.quarantine.Add(report, At(130ms));
  SUBCASE("a run that started before does not follow it") {
    second.AddCrash(2, 120ms, 200ms);
    CHECK(second.MayRun(300ms));
  }
  SUBCASE("a run that started later does") {
    const CrashReport next = second.AddCrash(2, 150ms, 250ms);
    CHECK_FALSE(second.MayRun(300ms));
    first.quarantine.Add(next, At(280ms));
    CHECK_FALSE(first.MayRun(300ms));
  }
}

TEST_CASE("a duplicate report does not restart the quarantine") {
  Entry entry;
  entry.AddCrash(1, 0s, 100ms);
  const CrashReport last = entry.AddCrash(2, 200ms, 300ms);
  const auto left = entry.TimeLeft(At(40s));
  entry.quarantine.Add(last, At(30s));
  CHECK(entry.TimeLeft(At(40s)) == left);
}

// Guards against refusing requests for ever because they ran beside the cause.
TEST_CASE("a request that is completed is not the cause") {
  Entry entry;
  entry.AddCrash(1, 0s, 100ms);
  entry.AddCrash(2, 200ms, 300ms);
  CHECK(entry.quarantine.RecordSound(std::vector{kRequest}, At(350ms)).size() == 2);
  CHECK(entry.MayRun(400ms));
  CHECK(entry.quarantine.reports() == 0);
  CHECK(entry.quarantine.culprits().empty());
  CHECK(entry.quarantine.RecordSound(std::vector{kRequest}, At(350ms)).empty());
}

TEST_CASE("removed reports no longer count") {
  Entry entry;
  entry.AddCrash(1, 0s, 100ms);
  entry.AddCrash(2, 200ms, 300ms);
  entry.quarantine.Remove(CrashOf(kRequest, 2));
  CHECK(entry.MayRun(400ms));
  entry.quarantine.Remove(CrashOf(kRequest, 2));
  CHECK(entry.quarantine.reports() == 1);
}

TEST_CASE("probes come after a period that doubles, one at a time, and stop after some crashes") {
  Entry entry;
  entry.AddCrashChain(2, 0s);
  Duration last = 1100ms;
  for (int chain = 2; chain < CrashReport::kMaxChain; ++chain) {
    const Duration period = Quarantine::kOnline.initial_period * (1 << (chain - 2));
    CHECK_FALSE(entry.MayRun(last + period - 1s));
    const Duration probe = last + 2 * period;
    CHECK(entry.MayRun(probe));
    entry.quarantine.RecordStart(std::vector{kRequest}, At(probe));
    CHECK_FALSE(entry.MayRun(probe + 50ms));
    last = probe + 100ms;
    entry.AddCrash(chain, probe, last);
  }
  CHECK_FALSE(entry.MayRun(last + 1000h));
}

TEST_CASE("entries end a quarantine at different times") {
  Entry first("a"), second("b");
  for (Entry* entry : {&first, &second}) entry->AddCrashChain(2, 0s);
  CHECK(first.TimeLeft(At(2s)) != second.TimeLeft(At(2s)));
}

// Guards against items that miss their due time because they met failing backend servers.
TEST_CASE("a batch item is quarantined after a longer chain, and for a shorter time") {
  Entry entry;
  entry.AddCrashChain(3, 0s);
  CHECK(entry.MayRunItem(4s));
  entry.AddCrashChain(1, 4s);
  CHECK_FALSE(entry.MayRunItem(5s));
  CHECK(entry.MayRunItem(4s + 100ms + 2 * Quarantine::kBatch.initial_period));
}

// Guards against items that are given up for crashes around them: after six crashes in a row an
// item was never run again.
TEST_CASE("a batch item is run again in time, however many crashes it has seen") {
  constexpr Duration kTimeLeft = 60s;
  for (int crashes = Quarantine::kBatch.min_chain; crashes <= 20; ++crashes) {
    CAPTURE(crashes);
    Entry entry;
    entry.AddCrashChain(crashes, 0s);
    const Duration last = (crashes - 1) * 1s + 100ms;
    CHECK_FALSE(entry.MayRunItem(last + 1s, last + kTimeLeft));
    CHECK(entry.MayRunItem(last + kTimeLeft / 4, last + kTimeLeft));
    CHECK(entry.MayRunItem(last + kLongJob / 4, last + kLongJob));
  }
}

// Guards against items that crash backend servers all night.
TEST_CASE("a batch item that goes on crashing backend servers is probed less and less often") {
  constexpr Duration kHour = 1h;
  Entry entry;
  std::vector<int> crashes_by_hour(kLongJob / kHour, 0);
  for (Duration now{0}; now < kLongJob; now += 1s) {
    if (!entry.MayRunItem(now)) continue;
    ++crashes_by_hour[static_cast<std::size_t>(now / kHour)];
    entry.AddCrashChain(1, now);
  }
  int crashes = 0;
  for (const int each : crashes_by_hour) crashes += each;
  CHECK(crashes_by_hour[0] <= 16);
  for (std::size_t hour = 1; hour + 1 < crashes_by_hour.size(); ++hour) {
    CHECK(crashes_by_hour[hour] <= 4);
  }
  CHECK(crashes <= 60);
}

TEST_CASE("the number of reports is limited: the shortest chains are removed, the oldest first") {
  Entry entry;
  entry.AddCrashChain(2, 0s);
  for (int i = 0; i < static_cast<int>(Quarantine::kMaxReports); ++i) {
    const Fingerprint request{std::to_string(i)};
    entry.AddCrash(1, 0s, 10s + i * 1ms, request);
  }
  const std::vector<Crash> surplus = entry.quarantine.ExcessReports();
  REQUIRE(surplus.size() == 2);
  CHECK(surplus[0].suspect == kRequest);  // the first of the chain
  CHECK(surplus[1].suspect.value == "0");
  for (const Crash& crash : surplus) entry.quarantine.Remove(crash);
  CHECK(entry.quarantine.ExcessReports().empty());
  CHECK_FALSE(entry.MayRun(20s));
}

TEST_CASE("a report is decoded from its row as it was encoded") {
  const CrashReport report{CrashOf(kRequest, 3), 4};
  const TableRow row =
      ErrorInfoOf(CrashRowKey(report.crash), CrashRowValue(report, NodeId{"a"}, "id-\xff"));
  const Result<CrashReport> read = ParseCrashRow(row);
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read).crash == report.crash);
  CHECK(ValueOf(read).chain == 4);
}

TEST_CASE("invalid rows are refused, and quarantine no request") {
  const std::string key = CrashRowKey(CrashOf(kRequest, 3));
  const std::array<std::pair<std::string, std::string>, 10> rows{{
      {key, ""},
      {key, "\xff\xfe"},
      {key, "[]"},
      {key, "{}"},
      {key, R"({"chain": "2"})"},
      {key, R"({"chain": 0})"},
      {key, R"({"chain": 7})"},
      {"", R"({"chain": 2})"},
      {"0123/7/i-1", R"({"chain": 2})"},
      {kRequest.value + "/x/i-1", R"({"chain": 2})"},
  }};
  for (const auto& row : rows) {
    CAPTURE(row.first);
    CAPTURE(row.second);
    CHECK_FALSE(IsOk(ParseCrashRow(ErrorInfoOf(row.first, row.second))));
  }
}
