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
