#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "figmill/tables.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

TableRow RowAt(const std::string& key, const std::string& value, RowVersion version) {
  return {{"t", "", key}, value, version, false};
}
TableRow GoneAt(const std::string& key, RowVersion version) {
  return {{"t", "", key}, "", version, true};
}
Result<TablePage> Page(std::vector<TableRow> rows, RowVersion version, bool truncated = false) {
  return TablePage{std::move(rows), truncated, version};
}

struct Fixture {
  std::vector<std::string> seen;  // "key=value", or "key gone"
  TableMirror mirror{
      "t", {""}, [this](const TableMirror::Change& change) {
        seen.push_back(change.at.key + (change.row == nullptr ? " gone" : "=" + change.row->value));
      }};
  std::string ValueOfKey(const std::string& key) {
    const TableRow* row = mirror.Find({"t", "", key});
    return row == nullptr ? "none" : row->value;
  }
};

}  // namespace

TEST_CASE("a mirror lists its table and then follows it") {
  Fixture f;
  REQUIRE(std::holds_alternative<mirror::ListPart>(f.mirror.Next()));
  f.mirror.Listed("", Page({RowAt("a", "1", 4)}, 10));
  CHECK(f.mirror.complete());
  const mirror::Action next = f.mirror.Next();
  REQUIRE(std::holds_alternative<mirror::FollowFrom>(next));
  CHECK(std::get<mirror::FollowFrom>(next).version == 10);
  f.mirror.Followed(TableChanges{{RowAt("b", "2", 11), GoneAt("a", 12)}, 12});
  CHECK(f.seen == std::vector<std::string>{"a=1", "b=2", "a gone"});
}

TEST_CASE("a page that was cut goes on behind its last key") {
  Fixture f;
  f.mirror.Listed("", Page({RowAt("a", "1", 4)}, 10, /*truncated=*/true));
  const mirror::Action next = f.mirror.Next();
  REQUIRE(std::holds_alternative<mirror::ListPart>(next));
  CHECK(std::get<mirror::ListPart>(next).from == std::string("a\0", 2));
}

// Symptom: a configuration that was replaced comes back in force.
// Sequence: the feed has told of version 12; the history is lost; the new list is
// read from a copy of the store that is still at version 8. Cause: a store that has
// just lost its history may answer reads from before it.
TEST_CASE("a list that is older than what is known is asked for again") {
  Fixture f;
  f.mirror.Listed("", Page({RowAt("a", "old", 4)}, 8));
  f.mirror.Followed(TableChanges{{RowAt("a", "new", 12)}, 12});
  f.mirror.Followed(HistoryLost{});
  f.mirror.Listed("", Page({RowAt("a", "old", 4)}, 8));
  CHECK(f.ValueOfKey("a") == "new");
  CHECK(std::holds_alternative<mirror::WaitFor>(f.mirror.Next()));
  f.mirror.Waited();
  CHECK(std::holds_alternative<mirror::ListPart>(f.mirror.Next()));
}

// Symptom: a backend server that left while the history was lost gets requests on.
// Sequence: its row goes in the gap; the new list does not have it.
TEST_CASE("rows that went while the history was lost are gone after the new list") {
  Fixture f;
  f.mirror.Listed("", Page({RowAt("a", "1", 4), RowAt("b", "1", 5)}, 10));
  f.mirror.Followed(HistoryLost{});
  f.mirror.Listed("", Page({RowAt("b", "1", 5)}, 20));
  CHECK(f.ValueOfKey("a") == "none");
  CHECK(f.seen.back() == "a gone");
}

TEST_CASE("a row never goes back to an older version, and never comes back from one") {
  Fixture f;
  f.mirror.Listed("", Page({RowAt("a", "5", 5)}, 10));
  f.mirror.Learn(RowAt("a", "7", 17));
  f.mirror.Followed(TableChanges{{RowAt("a", "6", 16)}, 16});
  CHECK(f.ValueOfKey("a") == "7");
  f.mirror.Learn(GoneAt("a", 18));
  f.mirror.Learn(RowAt("a", "7", 17));
  CHECK(f.ValueOfKey("a") == "none");
}

TEST_CASE("a failed call is followed by a pause, and what is known stays") {
  Fixture f;
  f.mirror.Listed("", Page({RowAt("a", "1", 4)}, 10));
  f.mirror.Followed(Error{ErrorKind::kStoreUnavailable, "down"});
  CHECK(std::holds_alternative<mirror::WaitFor>(f.mirror.Next()));
  f.mirror.Waited();
  CHECK(std::holds_alternative<mirror::FollowFrom>(f.mirror.Next()));
  CHECK(f.ValueOfKey("a") == "1");
}

namespace {

// Answers what the mirror asks for, as a store that can't read some of its parts.
void Answer(TableMirror& mirror, const std::string& unread, const std::vector<TableRow>& rows,
            RowVersion version) {
  const auto read = [&](const std::string& part) -> Result<TablePage> {
    if (part == unread) return Error{ErrorKind::kStoreUnavailable, "reset"};
    TablePage page{{}, false, version};
    for (const TableRow& row : rows) {
      if (row.at.part == part && row.version <= version) page.rows.push_back(row);
    }
    return page;
  };
  const auto told = [&](RowVersion after) {
    TableChanges changes{{}, version};
    for (const TableRow& row : rows) {
      if (row.version > after && row.version <= version) changes.rows.push_back(row);
    }
    return changes;
  };
  std::visit(Overloaded{
                 [&](const mirror::ListPart& list) { mirror.Listed(list.part, read(list.part)); },
                 [&](const mirror::FollowFrom& from) { mirror.Followed(told(from.version)); },
                 [&](const mirror::WaitFor& /*wait*/) { mirror.Waited(); },
             },
             mirror.Next());
}

// Far more than a table of two parts takes.
constexpr int kManyCalls = 50;

TableRow JobRow(const std::string& part, const std::string& key, RowVersion version) {
  return {{"t", part, key}, "v" + std::to_string(version), version, false};
}

}  // namespace

// Symptom: a process that has just started knows no job for ten seconds. A job in a sound
// part stands still for 5.4 s, since the process that is next in line for it is such a one.
// Sequence: the store answers no read of part a (each connection is reset, then 503) and
// all of part b; the process starts.
// Cause: parts are listed one after another, and the first one is asked for until it answers.
TEST_CASE("a part that can't be read keeps no other part from being known") {
  TableMirror mirror("t", {"a", "b"}, [](const TableMirror::Change&) {});
  const std::vector<TableRow> rows{JobRow("b", "job", 5), JobRow("b", "later", 12)};
  for (int i = 0; i < kManyCalls; ++i) Answer(mirror, "a", rows, 10);
  CHECK(mirror.Find({"t", "b", "job"}) != nullptr);
  CHECK_FALSE(mirror.complete());
  // What changes meanwhile is told too.
  for (int i = 0; i < kManyCalls; ++i) Answer(mirror, "a", rows, 12);
  CHECK(mirror.Find({"t", "b", "later"}) != nullptr);
}

// Symptom: a process hears of no change to any job any more.
// Sequence: it follows the table; the store discards its history while it can't read part a.
// Cause: the new list waits for part a, and nothing is followed until it is whole.
TEST_CASE("a part that can't be read stops no changes of others when the history is lost") {
  TableMirror mirror("t", {"a", "b"}, [](const TableMirror::Change&) {});
  const std::vector<TableRow> rows{JobRow("a", "old", 4), JobRow("b", "job", 5),
                                   JobRow("b", "later", 12)};
  for (int i = 0; i < kManyCalls; ++i) Answer(mirror, "none", rows, 10);
  REQUIRE(mirror.complete());
  mirror.Followed(HistoryLost{});
  for (int i = 0; i < kManyCalls; ++i) Answer(mirror, "a", rows, 12);
  CHECK(mirror.Find({"t", "b", "later"}) != nullptr);
  // What can't be read is not taken for gone.
  CHECK(mirror.Find({"t", "a", "old"}) != nullptr);
}
