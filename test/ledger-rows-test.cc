#include <doctest/doctest.h>

#include <random>

#include "figmill/encoding.h"
#include "figmill/ledger.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

std::string RandomBytes(std::size_t size) {
  std::mt19937 random(static_cast<unsigned>(size) + 1);
  std::string bytes(size, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random());
  return bytes;
}

std::vector<TableRow> RowsOf(const std::vector<TablePut>& puts) {
  std::vector<TableRow> rows;
  rows.reserve(puts.size());
  for (const TablePut& put : puts) rows.push_back({put.at, put.value, 1, false});
  return rows;
}

}  // namespace

TEST_CASE("base64 round-trips any bytes and refuses invalid text") {
  for (const std::size_t size : {0, 1, 2, 3, 4, 100, 45'000}) {
    const std::string bytes = RandomBytes(size);
    const std::string text = Base64Encoded(bytes);
    CHECK(text.find_first_not_of(
              "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/=") ==
          std::string::npos);
    CHECK(Base64Decoded(text) == bytes);
  }
  CHECK(Base64Decoded("abc") == std::nullopt);
  CHECK(Base64Decoded("ab!=") == std::nullopt);
}

TEST_CASE("results of any size are decoded from their rows, and a truncated one is left out") {
  const JobId job{"job-1"};
  std::vector<TablePut> puts;
  const std::vector<ItemResult> results = {{"a", ResultState::kComplete, RandomBytes(100)},
                                           {"b", ResultState::kComplete, RandomBytes(120'000)},
                                           {"c", ResultState::kDead, ""}};
  for (std::uint32_t i = 0; i < results.size(); ++i) {
    for (TablePut& put : ledger::ResultRows(job, i, results[i])) puts.push_back(std::move(put));
  }
  std::vector<TableRow> rows = RowsOf(puts);
  auto decoded = ledger::DecodeResults(job, 0, rows);
  REQUIRE(IsOk(decoded));
  REQUIRE(ValueOf(decoded).size() == 3);
  CHECK(ValueOf(decoded)[1].output == results[1].output);
  CHECK(ValueOf(decoded)[2].state == ResultState::kDead);
  rows.resize(2);  // the page ends within the second result
  decoded = ledger::DecodeResults(job, 0, rows);
  REQUIRE(IsOk(decoded));
  CHECK(ValueOf(decoded).size() == 1);
}

TEST_CASE("the items of a job are decoded from their rows, and only the last write creates it") {
  JobRecord record;
  record.id = JobId{"job-1"};
  std::vector<JobItem> items;
  items.reserve(40);
  for (int i = 0; i < 40; ++i) {
    items.push_back({"i" + std::to_string(i), "/p/", {{"Model", "m"}}, RandomBytes(30'000), 7});
  }
  record.total = 40;
  record.done = std::string(40, '.');
  const std::vector<TableTransaction> writes = ledger::AcceptTransactions(record, items);
  CHECK(writes.size() > 1);
  std::vector<TableRow> rows;
  for (const TableTransaction& write : writes) {
    const bool last = &write == &writes.back();
    CHECK(write.conditions.size() == (last ? 1 : 0));
    for (const TablePut& put : write.puts) {
      CHECK(put.value.size() <= ledger::kPieceBytes);
      if (put.at.table == ledger::kItemTable) rows.push_back({put.at, put.value, 1, false});
    }
  }
  const auto decoded = ledger::DecodeItems(record.id, rows);
  REQUIRE(IsOk(decoded));
  REQUIRE(ValueOf(decoded).size() == 40);
  CHECK(ValueOf(decoded)[39].body == items[39].body);
  CHECK(ValueOf(decoded)[39].headers == items[39].headers);
  const auto decoded_record = ledger::DecodeJobRecord(writes.back().puts.back().value);
  REQUIRE(IsOk(decoded_record));
  CHECK(ValueOf(decoded_record).total == 40);
}

// Guards against a crash of each process that takes over the job: another writer leaves rows
// among a job's item rows in which every byte begins a list, and a recursive parser exhausts the
// stack.
TEST_CASE("rows with excessive nesting are refused") {
  const JobId job{"job"};
  std::vector<TableRow> rows;
  for (int i = 0; i < 40; ++i) {
    const std::string key = "job/00" + std::string(i < 10 ? "0" : "") + std::to_string(i);
    rows.push_back(
        {{std::string(ledger::kItemTable), "j0", key}, std::string(60'000, '\x81'), 1, false});
  }
  CHECK_FALSE(IsOk(ledger::DecodeItems(job, rows)));
  CHECK_FALSE(IsOk(ledger::DecodeJobRecord(std::string(60'000, '\xa1'))));
}

// Guards against jobs that are accepted but never owned: the store's clock may count from 1970,
// so that all times of a job are some 56 years, and a limit of ten years on times refused the
// job's row as another writer's mistake.
TEST_CASE("a job's times may come from a clock with an early epoch") {
  JobRecord record;
  record.id.value = "j";
  record.total = 1;
  record.done = ".";
  record.submitted = std::chrono::hours(24) * 365 * 56;
  record.due = record.submitted + std::chrono::seconds(18);
  record.expires = record.submitted + std::chrono::seconds(60);
  const auto decoded = ledger::DecodeJobRecord(ledger::EncodeJobRecord(record));
  REQUIRE(IsOk(decoded));
  CHECK(ValueOf(decoded).expires == record.expires);
}
