// Rows of jobs that another writer made or changed: a sound job is neither lost nor
// overwritten for them.

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
  // Returns what the store says of it.
  void Put(const TableKey& at, const std::string& value) {
    bool done = false;
    others.Commit({{}, {{at, value}}, {}}, [&done](const TableOutcome&) { done = true; });
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
    REQUIRE(store.Owned(kJob) != nullptr);
  }
  // Until the feed has told of all that was written.
  void Settle() { fake::RunFor(loop, 2 * JobStore::kFeedPace + Duration{100'000}); }
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
  fake::Tables others{loop, data};
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
                              {"a list", foreign::Packed(Json::array({1, 2}))},
                              {"nested deep", std::string(60'000, '\x81')}};
  const auto with = [&bad, &good](const std::string& field, const Json& value) {
    Json json = foreign::Unpacked(good);
    json[field] = value;
    bad.push_back({field + " as " + value.dump().substr(0, 40), foreign::Packed(json)});
  };
  const Json head = foreign::Unpacked(good);
  for (const auto& [field, value] : head.items()) {
    with(field, Json::array());
    with(field, Json::object());
    if (field != "config") with(field, nullptr);
    if (value.is_number()) with(field, -1);
    if (value.is_number()) with(field, 0.5);
    if (value.is_number()) with(field, "1");
    if (!value.is_number()) with(field, 7);
    if (field == "config") continue;
    Json json = foreign::Unpacked(good);
    json.erase(field);
    bad.push_back({"no " + field, foreign::Packed(json)});
  }
  with("listed", 2);  // `done` names one
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

TEST_CASE("a job's row that contradicts itself, or is none, is refused") {
  REQUIRE(IsOk(ledger::DecodeJobRecord(ledger::EncodeJobRecord(GoodHead()))));
  for (const BadHead& bad : BadHeads()) {
    CAPTURE(bad.name);
    const auto head = ledger::DecodeJobRecord(bad.value);
    CHECK_FALSE(IsOk(head));
    if (!IsOk(head)) CHECK(ErrorOf(head).detail.size() < 400);
  }
}

TEST_CASE("a spoilt row of a job is refused, or doesn't contradict itself") {
  const std::string good = ledger::EncodeJobRecord(GoodHead());
  int read = 0;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    foreign::Spoiler spoil(seed);
    const std::string value =
        seed % 2 == 0 ? spoil.Bytes(good) : foreign::Packed(spoil.Fields(foreign::Unpacked(good)));
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

// Symptom: a job that runs is dropped, or the process that runs it ends.
// Sequence: another writer puts a row in the place of the job's own, which can be read, but
// is of another job, or takes back what was listed.
// Cause: any later version of the row that could be read took the place of what was known.
TEST_CASE("a row that contradicts what is known of its job changes nothing of it") {
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
    const JobRecord before = *f.store.Known(kJob);
    f.PutHead(row);
    f.Settle();
    REQUIRE(f.store.Owned(kJob) != nullptr);
    CHECK(f.dropped.empty());
    CHECK(f.store.Known(kJob)->token == before.token);
    CHECK(f.store.Known(JobId{"other"}) == nullptr);
    // What it finishes is kept until the row can be read again.
    OwnedJob* job = f.store.Owned(kJob);
    job->Finish(0, {"i0", ResultState::kComplete, "text"});
    f.store.Write(*job);
    f.Settle();
    CHECK(f.Stored() == row);
    f.PutHead(ledger::EncodeJobRecord(before));
    fake::RunUntil(f.loop, [&f] { return f.store.Known(kJob)->stored_results == 1; });
  }
}

TEST_CASE("what is listed or ended stays so, whatever a later row says") {
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

// Symptom: a job's sender hears that there is no such job, or reads no result for ever.
// Sequence: the row of a job can't be read at an entry that did not know the job before.
// Cause: a row that was refused counted as none.
TEST_CASE("a job whose row can't be read is neither absent nor without results") {
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

// Symptom: the end of a job takes its results away.
// Sequence: its row is spoilt after this entry last heard of it; its sender ends it.
// Cause: the end was written again with the version of the row that could not be read.
TEST_CASE("the end of a job never overwrites a row that nobody could read") {
  Entry f;
  f.Accept();
  f.Settle();
  f.tables.deaf = true;  // this entry doesn't hear of it
  f.PutHead("spoilt");
  CHECK(f.KindOf([&f](auto done) {
    f.store.End(kJob, [done](const Result<Ok>& ended) {
      done(IsOk(ended) ? Error{ErrorKind::kInternal, "ended"} : ErrorOf(ended));
    });
  }) == ErrorKind::kStoreUnavailable);
  CHECK(f.Stored() == "spoilt");
}

// Symptom: the store has no time for other calls.
// Sequence: the row of a job is spoilt while its owner has results to write.
// Cause: a write that was rejected went out again as soon as the answer came.
TEST_CASE("a write that a spoilt row rejects is not repeated before the row can be read") {
  Entry f;
  f.Accept();
  f.Settle();
  f.tables.deaf = true;
  f.PutHead("spoilt");
  OwnedJob* job = f.store.Owned(kJob);
  job->Finish(0, {"i0", ResultState::kComplete, "text"});
  f.store.Write(*job);
  f.Settle();
  const int commits = f.tables.commits;
  fake::RunFor(f.loop, Duration{300'000});
  CHECK(f.tables.commits - commits <= 1);
}
