#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "figmill/tables.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

TableRow RowAt(const std::string& key, const std::string& value, RowVersion version) {
  return {{"t", "", key}, value, version, false};
}
TableRow RemovedAt(const std::string& key, RowVersion version) {
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
  f.mirror.OnListed("", Page({RowAt("a", "1", 4)}, 10));
  CHECK(f.mirror.complete());
  const mirror::Action next = f.mirror.Next();
  REQUIRE(std::holds_alternative<mirror::FollowFrom>(next));
  CHECK(std::get<mirror::FollowFrom>(next).version == 10);
  f.mirror.OnFollowed(TableChanges{{RowAt("b", "2", 11), RemovedAt("a", 12)}, 12});
  CHECK(f.seen == std::vector<std::string>{"a=1", "b=2", "a gone"});
}

TEST_CASE("after a truncated page the listing continues behind its last key") {
  Fixture f;
  f.mirror.OnListed("", Page({RowAt("a", "1", 4)}, 10, /*truncated=*/true));
  const mirror::Action next = f.mirror.Next();
  REQUIRE(std::holds_alternative<mirror::ListPart>(next));
  CHECK(std::get<mirror::ListPart>(next).from == std::string("a\0", 2));
}

// Guards against a replaced configuration coming back into force: the feed has delivered version
// 12, the history is lost, and the new listing comes from a replica that is still at version 8. A
// store that has just lost its history may answer reads from before the loss.
TEST_CASE("a listing older than what is known is repeated") {
  Fixture f;
  f.mirror.OnListed("", Page({RowAt("a", "old", 4)}, 8));
  f.mirror.OnFollowed(TableChanges{{RowAt("a", "new", 12)}, 12});
  f.mirror.OnFollowed(HistoryLost{});
  f.mirror.OnListed("", Page({RowAt("a", "old", 4)}, 8));
  CHECK(f.ValueOfKey("a") == "new");
  CHECK(std::holds_alternative<mirror::WaitFor>(f.mirror.Next()));
  f.mirror.OnDelayElapsed();
  CHECK(std::holds_alternative<mirror::ListPart>(f.mirror.Next()));
}

// Guards against requests to a backend server that has left: its row was removed while the history
// was lost, so no feed reports the removal and the new listing doesn't contain the row.
TEST_CASE("rows removed while the history was lost are removed by the new listing") {
  Fixture f;
  f.mirror.OnListed("", Page({RowAt("a", "1", 4), RowAt("b", "1", 5)}, 10));
  f.mirror.OnFollowed(HistoryLost{});
  f.mirror.OnListed("", Page({RowAt("b", "1", 5)}, 20));
  CHECK(f.ValueOfKey("a") == "none");
  CHECK(f.seen.back() == "a gone");
}

TEST_CASE("a row is never replaced by an older version or restored from one") {
  Fixture f;
  f.mirror.OnListed("", Page({RowAt("a", "5", 5)}, 10));
  f.mirror.MergeRow(RowAt("a", "7", 17));
  f.mirror.OnFollowed(TableChanges{{RowAt("a", "6", 16)}, 16});
  CHECK(f.ValueOfKey("a") == "7");
  f.mirror.MergeRow(RemovedAt("a", 18));
  f.mirror.MergeRow(RowAt("a", "7", 17));
  CHECK(f.ValueOfKey("a") == "none");
}

TEST_CASE("a failed call is followed by a delay, and known rows are kept") {
  Fixture f;
  f.mirror.OnListed("", Page({RowAt("a", "1", 4)}, 10));
  f.mirror.OnFollowed(Error{ErrorKind::kStoreUnavailable, "down"});
  CHECK(std::holds_alternative<mirror::WaitFor>(f.mirror.Next()));
  f.mirror.OnDelayElapsed();
  CHECK(std::holds_alternative<mirror::FollowFrom>(f.mirror.Next()));
  CHECK(f.ValueOfKey("a") == "1");
}

namespace {

// Answers the mirror's calls like a store that can't read some of its parts.
void Answer(TableMirror& mirror, const std::string& unreadable_part,
            const std::vector<TableRow>& rows, RowVersion version) {
  const auto read = [&](const std::string& part) -> Result<TablePage> {
    if (part == unreadable_part) return Error{ErrorKind::kStoreUnavailable, "reset"};
    TablePage page{{}, false, version};
    for (const TableRow& row : rows) {
      if (row.at.part == part && row.version <= version) page.rows.push_back(row);
    }
    return page;
  };
  const auto changes_after = [&](RowVersion after) {
    TableChanges changes{{}, version};
    for (const TableRow& row : rows) {
      if (row.version > after && row.version <= version) changes.rows.push_back(row);
    }
    return changes;
  };
  std::visit(
      Overloaded{
          [&](const mirror::ListPart& list) { mirror.OnListed(list.part, read(list.part)); },
          [&](const mirror::FollowFrom& from) { mirror.OnFollowed(changes_after(from.version)); },
          [&](const mirror::WaitFor& /*wait*/) { mirror.OnDelayElapsed(); },
      },
      mirror.Next());
}

// Far more calls than it takes to list and follow a table of two parts.
constexpr int kManyCalls = 50;

TableRow JobRow(const std::string& part, const std::string& key, RowVersion version) {
  return {{"t", part, key}, "v" + std::to_string(version), version, false};
}

}  // namespace

// Guards against one unreadable part hiding the others: the store answers no read of part a (each
// connection is reset, then 503) and all reads of part b. When parts were listed strictly one
// after another, a process that had just started knew no job for ten seconds, and a job in a
// readable part made no progress for 5.4 s because that process was next in line to take it over.
TEST_CASE("a part that can't be read does not keep other parts from being listed") {
  TableMirror mirror("t", {"a", "b"}, [](const TableMirror::Change&) {});
  const std::vector<TableRow> rows{JobRow("b", "job", 5), JobRow("b", "later", 12)};
  for (int i = 0; i < kManyCalls; ++i) Answer(mirror, "a", rows, 10);
  CHECK(mirror.Find({"t", "b", "job"}) != nullptr);
  CHECK_FALSE(mirror.complete());
  // Later changes are delivered too.
  for (int i = 0; i < kManyCalls; ++i) Answer(mirror, "a", rows, 12);
  CHECK(mirror.Find({"t", "b", "later"}) != nullptr);
}

// Guards against missing all changes to any job: while the mirror follows the table, the store
// discards its history and can't read part a. The new listing must not have to be complete before
// changes are followed.
TEST_CASE("a part that can't be read does not stop changes of others when the history is lost") {
  TableMirror mirror("t", {"a", "b"}, [](const TableMirror::Change&) {});
  const std::vector<TableRow> rows{JobRow("a", "old", 4), JobRow("b", "job", 5),
                                   JobRow("b", "later", 12)};
  for (int i = 0; i < kManyCalls; ++i) Answer(mirror, "none", rows, 10);
  REQUIRE(mirror.complete());
  mirror.OnFollowed(HistoryLost{});
  for (int i = 0; i < kManyCalls; ++i) Answer(mirror, "a", rows, 12);
  CHECK(mirror.Find({"t", "b", "later"}) != nullptr);
  // Rows of a part that can't be read are not treated as removed.
  CHECK(mirror.Find({"t", "a", "old"}) != nullptr);
}

TEST_CASE("a mirror gives the changes since a version, removals included") {
  Fixture f;
  CHECK_FALSE(f.mirror.ChangesSince(0));  // nothing is listed yet
  f.mirror.OnListed("", Page({RowAt("a", "1", 4), RowAt("b", "1", 5)}, 10));
  f.mirror.OnFollowed(TableChanges{{RowAt("a", "2", 11), RemovedAt("b", 12)}, 14});
  const auto changes = f.mirror.ChangesSince(10);
  REQUIRE(changes);
  CHECK(changes->version == 14);
  REQUIRE(changes->rows.size() == 2);
  CHECK(changes->rows[0].value == "2");
  CHECK(changes->rows[1].at.key == "b");
  CHECK(changes->rows[1].deleted);
  CHECK(f.mirror.ChangesSince(11)->rows.size() == 1);
  CHECK(f.mirror.ChangesSince(14)->rows.empty());
}

// Guards against a row that a follower keeps for ever: it was removed before this copy was made,
// so that this copy never saw it.
TEST_CASE("a mirror gives no changes from before its first listing") {
  Fixture f;
  f.mirror.OnListed("", Page({RowAt("a", "1", 4)}, 10));
  CHECK_FALSE(f.mirror.ChangesSince(9));
  CHECK(f.mirror.ChangesSince(10));
}

// Guards against a row that a follower keeps for ever: it was written and removed between two
// polls of this copy, while the follower saw it being written.
TEST_CASE("a mirror tells of the removal of a row that it never saw") {
  Fixture f;
  f.mirror.OnListed("", Page({}, 10));
  f.mirror.OnFollowed(TableChanges{{RemovedAt("a", 12)}, 12});
  const auto changes = f.mirror.ChangesSince(11);
  REQUIRE(changes);
  REQUIRE(changes->rows.size() == 1);
  CHECK(changes->rows[0].deleted);
  CHECK(f.seen.empty());
}

// Guards against a follower that misses changes while the sender lists the table anew.
TEST_CASE("a mirror that lost the history gives no changes until all parts are listed again") {
  Fixture f;
  f.mirror.OnListed("", Page({RowAt("a", "1", 4)}, 10));
  f.mirror.OnFollowed(HistoryLost{});
  CHECK_FALSE(f.mirror.ChangesSince(10));
  f.mirror.OnListed("", Page({RowAt("b", "1", 15)}, 20));
  const auto changes = f.mirror.ChangesSince(10);
  REQUIRE(changes);
  REQUIRE(changes->rows.size() == 2);
  CHECK(changes->rows[0].at.key == "b");
  CHECK(changes->rows[1].at.key == "a");  // its removal was found by the listing
  CHECK(changes->rows[1].deleted);
}

TEST_CASE("a mirror that has evicted removals gives no changes from before them") {
  Fixture f;
  f.mirror.OnListed("", Page({}, 10));
  for (std::size_t i = 0; i <= TableMirror::kMaxRemoved; ++i) {
    const RowVersion version = 11 + i;
    f.mirror.OnFollowed(TableChanges{{RemovedAt("k" + std::to_string(i), version)}, version});
  }
  CHECK_FALSE(f.mirror.ChangesSince(10));
  CHECK(f.mirror.ChangesSince(11));
}
