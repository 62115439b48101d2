#pragma once

// A shared table service whose rows lie in parts of tables, with transactions
// over several rows and a feed of changes, and a mirror that keeps a copy of one
// table in memory. No I/O.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill {

// Rows of one part can be written in one transaction, in any tables.
struct TableKey {
  std::string table;
  std::string part;  // may be empty
  std::string key;
  auto operator<=>(const TableKey&) const = default;
};

struct TableRow {
  TableKey at;
  std::string value;
  RowVersion version = 0;
  bool deleted = false;  // only in a feed
};

struct TableCondition {
  TableKey at;
  RowVersion version = 0;  // 0: the row doesn't exist
};

struct TablePut {
  TableKey at;
  std::string value;
};

// All conditions hold and all of it takes effect, or nothing does.
struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TablePut> puts;
  std::vector<TableKey> removes;
};

// Time of the store's own steady clock, which all processes read alike.
using StoreTime = Duration;

// `version` is that of all the rows that were written; `now`, here and below, is when
// the answer was made, if it says so.
struct TableCommitted {
  RowVersion version = 0;
  std::optional<StoreTime> now;
};
struct TableRejected {
  std::vector<TableRow> current;  // the rows of the conditions, as they are
  std::optional<StoreTime> now;
};
// NotWritten and FateUnknown as for TableStore.
using TableOutcome = std::variant<TableCommitted, TableRejected, NotWritten, FateUnknown>;

struct TableRange {
  std::string table;
  std::string part;
  std::string from;  // the first key; empty: from the start
  std::string to;    // the first key that is left out; empty: to the end
  std::uint32_t limit = 500;
};

// Rows as they were at one moment.
struct TablePage {
  std::vector<TableRow> rows;  // in key order
  bool truncated = false;      // more follow the last one
  RowVersion version = 0;      // the newest in the whole store at that moment
  std::optional<StoreTime> now;
};

// What changed after a version, in order.
struct TableChanges {
  std::vector<TableRow> rows;
  RowVersion version = 0;  // go on from here
  std::optional<StoreTime> now;
};
// The store no longer knows what changed since then: list the table again.
struct HistoryLost {};
using FeedOutcome = std::variant<TableChanges, HistoryLost, Error>;

class SharedTables {
 public:
  virtual ~SharedTables() = default;
  virtual void Commit(TableTransaction transaction, std::function<void(TableOutcome)> done) = 0;
  // Errors: kStoreUnavailable.
  virtual void Read(TableRange range, std::function<void(Result<TablePage>)> done) = 0;
  // The parts of a table that come after `after`, in order. Errors: kStoreUnavailable.
  virtual void ListParts(std::string table, std::string after,
                         std::function<void(Result<std::vector<std::string>>)> done) = 0;
  // Answers as soon as there is a change, or with none after `wait`.
  virtual void Follow(std::string table, RowVersion after, Duration wait,
                      std::function<void(FeedOutcome)> done) = 0;
};

// --- Mirror ----------------------------------------------------------------------

// Keeps a copy of one table, whose parts are known, by listing each part once and
// following the table's changes. It never takes a row back to an older version, whoever
// says so: a store that has just lost its history may answer reads from before it.
//
// Parts are known one by one. A store may fail to read a single part for seconds; a
// process that waited for it knew no job for 7 s, and sound jobs of which it was next in
// line stood still for 5 s. So changes are followed as soon as one part is listed, and a
// part that can't be read is asked for in turn with them.
namespace mirror {

struct ListPart {
  std::string part;
  std::string from;  // the rest of a page that was cut
};
struct FollowFrom {
  RowVersion version = 0;
};
struct WaitFor {
  Duration delay{0};
};
using Action = std::variant<ListPart, FollowFrom, WaitFor>;

}  // namespace mirror

class TableMirror {
 public:
  // After a failed call, before the next. A store that is down is asked ten times
  // a second in total by ten entries; it costs a call and finds its return in time.
  static constexpr Duration kRetryPause{250'000};
  // Removed rows whose versions are remembered; beyond them the oldest go. A row
  // comes late by seconds, in which far fewer are removed.
  static constexpr std::size_t kMaxRemoved = 4096;

  // What a change did: the row now has this value, or is gone.
  struct Change {
    TableKey at;
    const TableRow* row = nullptr;  // null: removed
    bool by_listing = false;        // found by comparing with a new list
  };
  using OnChange = std::function<void(const Change&)>;

  TableMirror(std::string table, std::vector<std::string> parts, OnChange on_change);

  // What to ask of the store next.
  [[nodiscard]] mirror::Action Next() const;
  // The answers. `part` is the one that was asked for.
  void Listed(const std::string& part, const Result<TablePage>& page);
  void Followed(const FeedOutcome& outcome);
  // The pause that Next asked for is over.
  void Waited();
  // A row that this process wrote, or heard of from another.
  void Learn(const TableRow& row);

  [[nodiscard]] bool complete() const { return complete_; }  // was listed whole once
  // Some part is listed, so that changes are asked for.
  [[nodiscard]] bool following() const { return following_; }
  [[nodiscard]] RowVersion version() const { return version_; }
  [[nodiscard]] const std::map<TableKey, TableRow>& rows() const { return rows_; }
  [[nodiscard]] const TableRow* Find(const TableKey& at) const;

 private:
  void StartListing();
  void StartPart();
  void FinishPart();
  void PartFailed();
  void Apply(const TableRow& row, bool by_listing);
  void Remove(const TableKey& at, RowVersion version, bool by_listing);

  std::string table_;
  std::vector<std::string> parts_;
  OnChange on_change_;
  std::map<TableKey, TableRow> rows_;
  std::map<TableKey, RowVersion> removed_;  // versions at which rows went
  std::multimap<RowVersion, TableKey> removed_order_;
  RowVersion version_ = 0;
  bool complete_ = false;
  bool following_ = false;
  bool pausing_ = false;
  std::deque<std::string> unlisted_;  // parts, the next to be asked for first
  std::size_t failed_in_a_row_ = 0;   // of them
  bool lists_next_ = true;            // rather than follow
  // Of the part that is being listed: the rows seen, where it stands, and the oldest
  // page's version.
  std::string from_;
  std::map<TableKey, TableRow> seen_;
  std::optional<RowVersion> oldest_page_;
};

}  // namespace figmill
