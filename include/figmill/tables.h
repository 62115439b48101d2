#pragma once

// The interface of a shared table service and an in-memory copy of one of its tables. Tables are
// divided into parts; the service offers transactions over several rows and a feed of changes.
// No I/O.

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

// One transaction can write rows of one part only, in any number of tables.
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
  bool deleted = false;  // set only in a change feed
};

struct TableCondition {
  TableKey at;
  RowVersion version = 0;  // 0: the row must not exist
};

struct TablePut {
  TableKey at;
  std::string value;
};

// Applied as a whole if all conditions hold, else not at all.
struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TablePut> puts;
  std::vector<TableKey> removes;
};

// Time on the store's own steady clock, which is the same for all processes.
using StoreTime = Duration;

// `version` is that of all the rows written. `now`, here and below, is the store's time when it
// made the response, if the response contains it.
struct TableCommitted {
  RowVersion version = 0;
  std::optional<StoreTime> now;
};
struct TableRejected {
  std::vector<TableRow> current;  // the current rows at the keys of the conditions
  std::optional<StoreTime> now;
};
// NotWritten and FateUnknown have the same meaning as for TableStore.
using TableOutcome = std::variant<TableCommitted, TableRejected, NotWritten, FateUnknown>;

struct TableRange {
  std::string table;
  std::string part;
  std::string from;  // first key, inclusive; empty: from the start
  std::string to;    // end key, exclusive; empty: to the end
  std::uint32_t limit = 500;
};

// A consistent snapshot of rows.
struct TablePage {
  std::vector<TableRow> rows;  // in key order
  bool truncated = false;      // more rows follow the last one
  RowVersion version = 0;      // the newest version in the whole store at the snapshot
  std::optional<StoreTime> now;
};

// The changes after a version, in order.
struct TableChanges {
  std::vector<TableRow> rows;
  RowVersion version = 0;  // where to continue from
  std::optional<StoreTime> now;
  // How old the sender's copy was when it made the response; 0 if the store made it.
  Duration age{0};
};
// The store has discarded the changes since that version: the table must be listed again.
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
  // Long poll: responds as soon as there is a change, or with no changes after `wait`.
  virtual void Follow(std::string table, RowVersion after, Duration wait,
                      std::function<void(FeedOutcome)> done) = 0;
};

// --- Mirror ----------------------------------------------------------------------

// Keeps a copy of one table with a known set of parts, by listing each part once and following
// the table's changes. Never replaces a row by an older version, whatever the source: a store
// that has just lost its history may answer reads from before the loss.
//
// Each part is listed independently. A store may fail to read a single part for seconds; a
// process that waited for it knew no jobs for 7 s, and healthy jobs that it was next in line to
// take over made no progress for 5 s. So changes are followed as soon as one part is listed, and
// reads of a part that fails are retried in turn with them.
namespace mirror {

struct ListPart {
  std::string part;
  std::string from;  // first key to read, after a truncated page; empty: from the start
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
  // Delay after a failed call. With ten entries, a store that is down gets ten calls a second in
  // total, which are cheap and detect its recovery in time.
  static constexpr Duration kRetryPause{250'000};
  // Maximum number of removed rows whose versions are remembered; the oldest are evicted. A stale
  // row arrives seconds late, and far fewer rows than this are removed in that time.
  static constexpr std::size_t kMaxRemoved = 4096;

  // The effect of a change: the row's new value, or its removal.
  struct Change {
    TableKey at;
    const TableRow* row = nullptr;  // null: removed
    bool by_listing = false;        // detected by comparison with a new listing
  };
  using OnChange = std::function<void(const Change&)>;

  TableMirror(std::string table, std::vector<std::string> parts, OnChange on_change);

  // The next call to make to the store, or the delay before it.
  [[nodiscard]] mirror::Action Next() const;
  // The results of the calls. `part` is the part that was listed.
  void OnListed(const std::string& part, const Result<TablePage>& page);
  void OnFollowed(const FeedOutcome& outcome);
  // The delay that Next returned has passed.
  void OnDelayElapsed();
  // Takes in a row that this process wrote or received from another process.
  void MergeRow(const TableRow& row);

  [[nodiscard]] bool complete() const { return complete_; }  // all parts have been listed once
  // Whether parts are still to be listed, at the start or after the history was lost.
  [[nodiscard]] bool listing() const { return !unlisted_.empty(); }
  // Whether at least one part is listed, so that changes are followed.
  [[nodiscard]] bool following() const { return following_; }
  [[nodiscard]] RowVersion version() const { return version_; }
  [[nodiscard]] const std::map<TableKey, TableRow>& rows() const { return rows_; }
  [[nodiscard]] const TableRow* Find(const TableKey& at) const;
  // The changes after `after`, for a process that knows the table as of that version. nullopt if
  // this copy may lack some of them: parts are being listed, or removals that long ago are not
  // remembered.
  [[nodiscard]] std::optional<TableChanges> ChangesSince(RowVersion after) const;

 private:
  void StartListing();
  void ResetPartListing();
  void OnPartListed();
  void OnPartFailed();
  void Apply(const TableRow& row, bool by_listing);
  void Remove(const TableKey& at, RowVersion version, bool by_listing);
  void RememberRemoval(const TableKey& at, RowVersion version);

  std::string table_;
  std::vector<std::string> parts_;
  OnChange on_change_;
  std::map<TableKey, TableRow> rows_;
  std::map<TableKey, RowVersion> removed_;  // versions at which rows were removed
  std::multimap<RowVersion, TableKey> removed_order_;
  RowVersion version_ = 0;
  // All changes after this version are known, if all parts are listed.
  RowVersion changes_known_from_ = 0;
  bool complete_ = false;
  bool following_ = false;
  bool in_retry_delay_ = false;
  std::deque<std::string> unlisted_;      // parts that are still to be listed, the next one first
  std::size_t consecutive_failures_ = 0;  // consecutive failed listings of them
  bool prefers_listing_ = true;           // whether Next lists a part rather than follows changes
  // Progress of the listing of the current part: where the next page starts, the rows read so
  // far, and the version of the oldest page.
  std::string next_key_;
  std::map<TableKey, TableRow> listed_rows_;
  std::optional<RowVersion> oldest_page_version_;
};

}  // namespace figmill
