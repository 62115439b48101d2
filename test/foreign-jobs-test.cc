// Job rows that another writer wrote or changed: they cause no valid job to be lost or
// overwritten.

#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "gateway/job_store.h"
#include "test/foreign-entries.h"
#include "test/gateway-fakes.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using foreign::GoodHead;
using foreign::Json;

namespace {

constexpr unsigned kSeeds = 3'000;
const JobId kJob{"job"};

// An entry named "a" over a table service in memory.
struct Entry {
  Entry() { store.Start(); }
  // Writes a row as another writer, and waits until the store has responded.
  void Put(const TableKey& at, const std::string& value) {
    bool done = false;
    other_writer.Commit({{}, {{at, value}}, {}}, [&done](const TableOutcome&) { done = true; });
    fake::RunUntil(loop, [&done] { return done; });
  }
  void PutHead(const std::string& value) { Put(ledger::JobRecordKey(kJob), value); }
  void Accept() {
    JobSubmission submission{kJob, {{"i0", "/p/0", {}, "", 0}, {"i1", "/p/1", {}, "", 0}}};
    JobRecord head = GoodHead();
    head.stored_results = 0;
    head.done = "..";
    bool done = false;
    store.Accept(head, submission, [&done](const Result<Ok>& got) { done = IsOk(got); });
    fake::RunUntil(loop, [&done] { return done; });
    REQUIRE(store.FindOwned(kJob) != nullptr);
  }
  // Waits until the entry has received all changes.
  void Settle() { fake::RunFor(loop, 2 * JobStore::kMinFeedInterval + Duration{100'000}); }
  [[nodiscard]] std::string Stored() { return data.rows[ledger::JobRecordKey(kJob)].value; }
  ErrorKind KindOf(const std::function<void(std::function<void(Error)>)>& call) {
    std::optional<ErrorKind> kind;
    call([&kind](const Error& error) { kind = error.kind; });
    fake::RunUntil(loop, [&kind] { return kind.has_value(); });
    return *kind;
  }

  Loop loop;
  fake::TableData data;
  fake::Tables tables{loop, data};
  fake::Tables other_writer{loop, data};
  PeerTable peers{{NodeId{"a"}, 1, Address{"10.0.0.1", 1}, DataCentre{"dc"}, 1, false}};
  Metrics metrics;
  std::set<std::string> dropped;
  JobStore store{loop,
                 tables,
                 metrics,
                 peers,
                 SystemRandom(),
                 {[](OwnedJob&, const std::vector<ledger::ProgressPiece>&) {},
                  [this](const JobId& job) { dropped.insert(job.value); }, [](OwnedJob&) {},
                  [](const JobRecord&) {}}};
};

struct BadHead {
  std::string name;
  std::string value;
};

std::vector<BadHead> BadHeads() {
  const std::string good = ledger::EncodeJobRecord(GoodHead());
  std::vector<BadHead> bad = {{"nothing", ""},
                              {"no CBOR", "hello"},
                              {"cut off", good.substr(0, good.size() - 3)},
                              {"bytes after its end", good + good},
                              {"a list", foreign::ToCbor(Json::array({1, 2}))},
                              {"nested deep", std::string(60'000, '\x81')}};
  const auto with = [&bad, &good](const std::string& field, const Json& value) {
    Json json = foreign::FromCbor(good);
    json[field] = value;
    bad.push_back({field + " as " + value.dump().substr(0, 40), foreign::ToCbor(json)});
  };
  const Json head = foreign::FromCbor(good);
  for (const auto& [field, value] : head.items()) {
    with(field, Json::array());
    with(field, Json::object());
    if (field != "config") with(field, nullptr);
    if (value.is_number()) with(field, -1);
    if (value.is_number()) with(field, 0.5);
    if (value.is_number()) with(field, "1");
    if (!value.is_number()) with(field, 7);
    if (field == "config") continue;
    Json json = foreign::FromCbor(good);
    json.erase(field);
    bad.push_back({"no " + field, foreign::ToCbor(json)});
  }
  with("listed", 2);  // `done` lists one item
  with("listed", 0);
  with("total", 3);
  with("total", 1'000'000'000);
  with("done", "x");
  with("done", "xy");
  with("done", "X.");
  with("due", std::numeric_limits<std::int64_t>::max());
  with("submitted", -5'000'000);
  with("id", "");
  for (const Json& team : {Json(nullptr), Json(""), Json(7), Json::array(), Json::object()}) {
    with("team", team);
  }
  with("id", std::string(60'000, 'z'));
  return bad;
}

std::string Changed(const std::function<void(JobRecord&)>& change) {
  JobRecord head = GoodHead();
  change(head);
  return ledger::EncodeJobRecord(head);
}

}  // namespace

TEST_CASE("a job row that contradicts itself or isn't valid is refused") {
  REQUIRE(IsOk(ledger::DecodeJobRecord(ledger::EncodeJobRecord(GoodHead()))));
  for (const BadHead& bad : BadHeads()) {
    CAPTURE(bad.name);
    const auto head = ledger::DecodeJobRecord(bad.value);
    CHECK_FALSE(IsOk(head));
    if (!IsOk(head)) CHECK(ErrorOf(head).detail.size() < 400);
  }
}

TEST_CASE("a corrupted job row is refused, or doesn't contradict itself") {
  const std::string good = ledger::EncodeJobRecord(GoodHead());
  int read = 0;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    foreign::Corrupter corrupt(seed);
    const std::string value = seed % 2 == 0
                                  ? corrupt.Bytes(good)
                                  : foreign::ToCbor(corrupt.Fields(foreign::FromCbor(good)));
    const auto head = ledger::DecodeJobRecord(value);
    if (!IsOk(head)) continue;
    ++read;
    CHECK(ValueOf(head).done.size() == ValueOf(head).total);
    CHECK(ValueOf(head).stored_results <= ValueOf(head).total);
    CHECK(ValueOf(head).due.count() >= 0);
    CHECK_FALSE(ValueOf(head).id.empty());
  }
  CHECK(read > 0);
}

// Guards against a running job that is dropped, or a crash of the process that runs it: another
// writer replaces the job's row by one that can be read but belongs to another job or withdraws
// listed results, and any later version that can be read is applied.
TEST_CASE("a row that contradicts the known state of its job is not applied") {
  const std::vector<std::string> rows = {
      "spoilt",
      Changed([](JobRecord& head) { head.id = JobId{"other"}; }),
      Changed([](JobRecord& head) { head.digest = 1; }),
      Changed([](JobRecord& head) { head.total = 1, head.done = "x"; }),
      Changed([](JobRecord& head) { head.due = std::chrono::hours(9); }),
      Changed([](JobRecord& head) { head.expires = StoreTime{0}; }),
  };
  for (const std::string& row : rows) {
    Entry f;
    f.Accept();
    const JobRecord before = *f.store.KnownHead(kJob);
    f.PutHead(row);
    f.Settle();
    REQUIRE(f.store.FindOwned(kJob) != nullptr);
    CHECK(f.dropped.empty());
    CHECK(f.store.KnownHead(kJob)->token == before.token);
    CHECK(f.store.KnownHead(JobId{"other"}) == nullptr);
    // Its results are held until the row can be read again.
    OwnedJob* job = f.store.FindOwned(kJob);
    job->Finish(0, {"i0", ResultState::kComplete, "text"});
    f.store.Write(*job);
    f.Settle();
    CHECK(f.Stored() == row);
    f.PutHead(ledger::EncodeJobRecord(before));
    fake::RunUntil(f.loop, [&f] { return f.store.KnownHead(kJob)->stored_results == 1; });
  }
}

TEST_CASE("listed results and the end of a job are final, whatever a later row says") {
  const JobRecord known = GoodHead();
  const auto contradicts = [&known](const std::function<void(JobRecord&)>& change) {
    JobRecord later = known;
    change(later);
    return ledger::InvalidUpdateReason(known, later).has_value();
  };
  CHECK_FALSE(contradicts([](JobRecord&) {}));
  CHECK_FALSE(contradicts([](JobRecord& head) { head.owner = NodeId{"b"}; }));
  CHECK_FALSE(contradicts([](JobRecord& head) { head.done = "xx", head.stored_results = 2; }));
  CHECK_FALSE(contradicts([](JobRecord& head) { head.ended = true; }));
  CHECK(contradicts([](JobRecord& head) { head.done = "..", head.stored_results = 0; }));
  CHECK(contradicts([](JobRecord& head) { head.done = ".x"; }));
  JobRecord ended = known;
  ended.ended = true;
  CHECK(ledger::InvalidUpdateReason(ended, known).has_value());
}

// Guards against a job's sender that is told that the job doesn't exist, or never reads a result:
// the row of the job can't be read at an entry that did not know the job before, and a refused row
// is handled like a missing one.
TEST_CASE("a job whose row can't be read is reported neither as absent nor as without results") {
  Entry f;
  f.PutHead("spoilt");
  f.Settle();
  CHECK(f.KindOf([&f](auto done) {
    f.store.Find(kJob, [done](const Result<JobRecord>& head) { done(ErrorOf(head)); });
  }) == ErrorKind::kStoreUnavailable);
  CHECK(f.KindOf([&f](auto done) {
    f.store.End(kJob, [done](const Result<Ok>& ended) { done(ErrorOf(ended)); });
  }) == ErrorKind::kStoreUnavailable);
  CHECK(f.Stored() == "spoilt");
}

// Guards against the end of a job that deletes its results: its row is corrupted after this entry
// last received it, its sender ends it, and the retry of that write is conditional on the version
// of the row that can't be read.
TEST_CASE("the end of a job never overwrites a row that can't be read") {
  Entry f;
  f.Accept();
  f.Settle();
  f.tables.feed_stalled = true;  // this entry receives no changes
  f.PutHead("spoilt");
  CHECK(f.KindOf([&f](auto done) {
    f.store.End(kJob, [done](const Result<Ok>& ended) {
      done(IsOk(ended) ? Error{ErrorKind::kInternal, "ended"} : ErrorOf(ended));
    });
  }) == ErrorKind::kStoreUnavailable);
  CHECK(f.Stored() == "spoilt");
}

// Guards against a store that is overloaded by retries: the row of a job is corrupted while its
// owner has results to write, and each rejected write is retried as soon as the response comes.
TEST_CASE("a write that a corrupted row rejects is not retried before the row can be read") {
  Entry f;
  f.Accept();
  f.Settle();
  f.tables.feed_stalled = true;
  f.PutHead("spoilt");
  OwnedJob* job = f.store.FindOwned(kJob);
  job->Finish(0, {"i0", ResultState::kComplete, "text"});
  f.store.Write(*job);
  f.Settle();
  const int commits = f.tables.commits;
  fake::RunFor(f.loop, Duration{300'000});
  CHECK(f.tables.commits - commits <= 1);
}
