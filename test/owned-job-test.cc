#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "figmill/items.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

RandomBits Bits() {
  return [n = std::uint64_t{0}]() mutable { return ++n * 0x9E3779B97F4A7C15U; };
}

// A job of three items that was accepted at version 5.
struct Fixture {
  Fixture()
      : job(Record(), 5,
            {{"i0", "/p", {}, "", 0}, {"i1", "/p", {}, "", 0}, {"i2", "/p", {}, "", 0}}) {}
  static JobRecord Record() {
    JobRecord record;
    record.id = JobId{"job"};
    record.total = 3;
    record.done = "...";
    record.owner = NodeId{"me"};
    record.owner_incarnation = 1;
    record.token = Token{"accepted"};
    return record;
  }
  std::optional<TableTransaction> Next() { return job.NextWrite(random); }
  // The job's row in a write.
  static JobRecord RecordIn(const TableTransaction& write) {
    for (const TablePut& put : write.puts) {
      if (put.at.table == ledger::kJobTable) return ValueOf(ledger::DecodeJobRecord(put.value));
    }
    FAIL("the write has no job row");
    return {};
  }
  RandomBits random = Bits();
  OwnedJob job;
};

ItemResult Done(const std::string& item) {
  return {item, ResultState::kComplete, "text of " + item};
}

}  // namespace

TEST_CASE("results take the next positions, with a condition on the version of the job's row") {
  Fixture f;
  f.job.Finish(2, Done("i2"));
  const auto write = f.Next();
  REQUIRE(write);
  CHECK(write->conditions.front().version == 5);
  CHECK(Fixture::RecordIn(*write).done == "..x");
  CHECK(Fixture::RecordIn(*write).stored_results == 1);
  CHECK_FALSE(f.Next());  // one write in flight at a time
  f.job.OnCommitted(6);
  f.job.Finish(0, Done("i0"));
  const auto second = f.Next();
  REQUIRE(second);
  CHECK(second->conditions.front().version == 6);
  CHECK(second->conditions.front().at == ledger::JobRecordKey(JobId{"job"}));
  CHECK(Fixture::RecordIn(*second).stored_results == 2);
}

TEST_CASE("only the first result of an item counts") {
  Fixture f;
  f.job.Finish(1, Done("i1"));
  f.job.Finish(1, {"i1", ResultState::kDead, ""});
  CHECK(Fixture::RecordIn(*f.Next()).stored_results == 1);
  f.job.OnCommitted(6);
  CHECK_FALSE(f.Next());
}

// Guards against an item with results at two positions: the response to a write is lost, the
// retry contains one more result, and both are applied. The retry must be identical, so that it
// is rejected and finds its own token in the row.
TEST_CASE("a write whose response was lost is retried unchanged and recognized once applied") {
  Fixture f;
  f.job.Finish(0, Done("i0"));
  const auto first = f.Next();
  f.job.OnFailed();
  f.job.Finish(1, Done("i1"));
  const auto again = f.Next();
  REQUIRE(again);
  CHECK(again->puts.size() == first->puts.size());
  CHECK(Fixture::RecordIn(*again).token == Fixture::RecordIn(*first).token);
  // The first copy was applied, so the second one is rejected and returns the row.
  f.job.OnFailed();
  CHECK(f.job.OnJobRecord(Fixture::RecordIn(*first), 6));
  const auto next = f.Next();
  REQUIRE(next);
  CHECK(next->conditions.front().version == 6);
  CHECK(Fixture::RecordIn(*next).stored_results == 2);
}

// Guards against lost results when the submitter ends the job at the same moment.
TEST_CASE("results of a write that lost to another write wait for the next one") {
  Fixture f;
  f.job.Finish(0, Done("i0"));
  (void)f.Next();
  JobRecord ended = Fixture::Record();
  ended.ended = true;
  ended.token = Token{"end"};
  CHECK(f.job.OnJobRecord(ended, 6));
  f.job.OnFailed();
  const auto next = f.Next();
  REQUIRE(next);
  CHECK(next->conditions.front().version == 6);
  CHECK(Fixture::RecordIn(*next).ended);
  CHECK(Fixture::RecordIn(*next).done == "x..");
}

// Guards against two owners that write results of one job: this process is paused, another one
// takes the job over, and this one resumes.
TEST_CASE("a replaced owner learns from the job's row that it lost the job") {
  Fixture f;
  f.job.Finish(0, Done("i0"));
  (void)f.Next();
  JobRecord taken = Fixture::Record();
  taken.owner = NodeId{"other"};
  CHECK_FALSE(f.job.OnJobRecord(taken, 7));
}

TEST_CASE("a row older than the known one has no effect") {
  Fixture f;
  f.job.Finish(0, Done("i0"));
  (void)f.Next();
  f.job.OnCommitted(8);
  CHECK(f.job.OnJobRecord(Fixture::Record(), 7));
  CHECK(f.job.HasStoredResult(0));
}

TEST_CASE("progress is written with the next write, except that of finished items") {
  Fixture f;
  ItemText text;
  text.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  f.job.AddProgress(*text.TakePiece(0));
  CHECK_FALSE(text.TakePiece(0));  // nothing new
  f.job.AddProgress({1, 0, "gone", "1", 1});
  f.job.Finish(1, Done("i1"));
  const auto write = f.Next();
  REQUIRE(write);
  std::vector<TableRow> rows;
  for (const TablePut& put : write->puts) {
    if (put.at.table == ledger::kProgressTable) rows.push_back({put.at, put.value, 1, false});
  }
  const auto pieces = ledger::DecodeProgress(
      JobId{"job"}, rows, [](const TableRow&, std::string_view why) { FAIL(why); });
  REQUIRE(pieces.size() == 1);
  ItemText restored;
  restored.Restore(pieces[0]);
  CHECK(restored.text() == "a\nb");
  CHECK(restored.last_id() == "2");
  CHECK(restored.events() == 2);
}

// Guards against a next owner that joins the pieces of two outputs of an item.
TEST_CASE("after an item has started over only the pieces of its later output count") {
  const JobId id{"job"};
  const OutputSource old{ServiceName{"llm"}, SoftwareVersion{"v1"}};
  const OutputSource next{ServiceName{"llm"}, SoftwareVersion{"v2"}};
  const auto refuse = [](const TableRow&, std::string_view why) {
    CHECK(why == "it is left of an earlier output of the item");
  };
  std::vector<TableRow> rows;
  const auto store = [&](const ledger::ProgressPiece& piece) {
    const TablePut put = ledger::ProgressRow(id, piece);
    std::erase_if(rows, [&](const TableRow& row) { return row.at == put.at; });
    rows.push_back({put.at, put.value, 1, false});
    std::sort(rows.begin(), rows.end(),
              [](const TableRow& a, const TableRow& b) { return a.at < b.at; });
  };
  store({0, 0, "a", "1", 1, old, 0});
  store({0, 1, "b", "2", 2, old, 0});
  store({0, 0, "c", "1", 1, next, 1});
  const auto pieces = ledger::DecodeProgress(id, rows, refuse);
  REQUIRE(pieces.size() == 1);
  CHECK(pieces[0].text == "c");
  CHECK(pieces[0].source == next);
}

// Guards against a write that holds two values for one row.
TEST_CASE("pieces of an output that has started over are dropped before they are written") {
  Fixture f;
  f.job.AddProgress({0, 0, "old", "1", 1, {}, 0});
  f.job.AddProgress({0, 0, "new", "1", 1, {}, 1});
  const auto write = f.job.NextWrite(f.random);
  REQUIRE(write);
  REQUIRE(write->puts.size() == 1);
  CHECK(write->puts[0].value ==
        ledger::ProgressRow(f.job.record().id, {0, 0, "new", "1", 1, {}, 1}).value);
}

// Guards against all entries of a large fleet being busy reading job rows: progress is written
// every second, and it must not change the job's row each time.
TEST_CASE("progress is written without changing the job's row") {
  Fixture f;
  f.job.AddProgress({0, 0, "begun", "1", 1});
  const auto write = f.Next();
  REQUIRE(write);
  CHECK(write->conditions.front().version == 5);
  REQUIRE(write->puts.size() == 1);
  CHECK(write->puts[0].at.table == ledger::kProgressTable);
  f.job.OnCommitted(9);  // the version of the progress row, not of the job's row
  CHECK(f.job.version() == 5);
  CHECK(f.job.all_written());
  f.job.Finish(0, Done("i0"));
  CHECK(f.Next()->conditions.front().version == 5);
}

TEST_CASE("progress whose write failed because the row had changed is in the next write") {
  Fixture f;
  f.job.AddProgress({0, 0, "begun", "1", 1});
  (void)f.Next();
  f.job.OnFailed();
  JobRecord changed = Fixture::Record();
  changed.token = Token{"other"};
  CHECK(f.job.OnJobRecord(changed, 8));
  const auto again = f.Next();
  REQUIRE(again);
  CHECK(again->conditions.front().version == 8);
  CHECK(again->puts.size() == 1);
}

// Guards against jobs whose results are never listed: what had gathered while the store was away
// was one write, larger than the store takes, and was repeated before all others.
TEST_CASE("what has gathered is written in parts that the store takes") {
  constexpr std::size_t kMaxRowBytes = 48'000;           // base64 makes 64 KB of it
  constexpr std::size_t kMaxTransactionBytes = 740'000;  // and 1 MB of this
  constexpr std::size_t kMaxRows = 100;
  Fixture f;
  std::vector<ItemText> texts(3);
  for (int id = 1; id <= 450; ++id) {
    for (ItemText& text : texts) {
      text.Feed("id: " + std::to_string(id) + "\ndata: " + std::string(1'000, 'z') + "\n\n");
    }
  }
  for (std::size_t item = 0; item < texts.size(); ++item) {
    while (auto piece = texts[item].TakePiece(item)) f.job.AddProgress(*std::move(piece));
  }
  f.job.Finish(1, {"i1", ResultState::kComplete, texts[1].text()});
  f.job.Finish(2, {"i2", ResultState::kComplete, texts[2].text()});
  RowVersion version = 5;
  std::vector<TableRow> progress;
  while (const auto write = f.Next()) {
    std::size_t bytes = 0;
    CHECK(write->puts.size() + write->conditions.size() <= kMaxRows);
    for (const TablePut& put : write->puts) {
      CHECK(put.value.size() <= kMaxRowBytes);
      bytes += put.value.size();
      if (put.at.table == ledger::kProgressTable) progress.push_back({put.at, put.value, 1, false});
    }
    CHECK(bytes <= kMaxTransactionBytes);
    f.job.OnCommitted(++version);
  }
  CHECK(f.job.all_written());
  CHECK(f.job.record().stored_results == 2);
  ItemText restored;
  for (const ledger::ProgressPiece& piece :
       ledger::DecodeProgress(JobId{"job"}, progress, [](const TableRow&, std::string_view) {})) {
    CHECK(piece.item == 0);
    restored.Restore(piece);
  }
  CHECK(restored.text() == texts[0].text());
  CHECK(restored.last_id() == "450");
}
