#pragma once

// Keeps a TableMirror up to date over the table service.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figmill/runtime.h"
#include "figmill/tables.h"

namespace figmill {

class TableFollower {
 public:
  // How long the service holds a call for changes. Short against the time in which
  // a change must be in force, so that a connection which went silent costs no more
  // than this; it costs each process a call every two seconds.
  static constexpr Duration kWait{2'000'000};
  // The same for some time after a call failed: while a store goes silent and
  // returns, each call that was out meanwhile has to run into its time-out before
  // the next one can hear what has changed.
  static constexpr Duration kTroubledWait{300'000};
  static constexpr Duration kTroubled{10'000'000};

  // `on_change` as for TableMirror; `settled` after each answer, when what the
  // mirror holds may have changed.
  TableFollower(Loop& loop, SharedTables& tables, std::string table, std::vector<std::string> parts,
                TableMirror::OnChange on_change, std::function<void()> settled);
  ~TableFollower();

  void Start() { Step(); }
  // Changes that come within this time are asked for together. 0: at once.
  void SetPace(Duration pace) { pace_ = pace; }
  // Instead of kWait, for a table of which it must be known how old the copy is.
  void SetWait(Duration wait) { wait_ = wait; }
  // For a table of one part: when the last question was sent, by Loop::SinceBoot, whose answer
  // shows that the copy is whole as of that moment.
  [[nodiscard]] std::optional<Duration> confirmed_at() const { return confirmed_at_; }
  [[nodiscard]] const TableMirror& mirror() const { return mirror_; }
  void Learn(const TableRow& row) { mirror_.MergeRow(row); }
  // Whether the last call was answered.
  [[nodiscard]] bool connected() const { return connected_.value_or(false); }

 private:
  void Step();
  void List(const mirror::ListPart& list);
  void Follow(const mirror::FollowFrom& from);
  void OnListed(const mirror::ListPart& list, const Result<TablePage>& page, Duration asked_at);
  void OnFollowed(const FeedOutcome& outcome, Duration asked_at);
  // Says once when a part can't be read, and when it can again.
  void SetPartRead(const std::string& part, bool read, const std::string& why);
  // Says when the store is lost and when it is back.
  void SetConnected(bool connected, const std::string& why);
  void GoOn();

  Loop& loop_;
  SharedTables& tables_;
  std::string table_;
  TableMirror mirror_;
  std::function<void()> settled_;
  Duration pace_{0};
  Duration wait_ = kWait;
  std::optional<Duration> confirmed_at_;
  std::optional<bool> connected_;  // nothing before the first answer
  Time troubled_until_{};
  std::set<std::string> unread_parts_;
  Timer pause_;
  std::shared_ptr<TableFollower*> self_;  // null once this is gone
};

}  // namespace figmill
