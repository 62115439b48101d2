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
  // How long the service holds a call for changes. Short compared with the time within
  // which a change must be in force, so that a connection that went silent delays it by
  // no more than this; it costs each process a call every two seconds.
  static constexpr Duration kWait{2'000'000};
  // Used in place of kWait for some time after a failed call: when a store stops
  // responding and recovers, each call that was sent meanwhile has to time out before
  // the next one can receive changes.
  static constexpr Duration kShortWait{300'000};
  static constexpr Duration kShortWaitPeriod{10'000'000};

  // `on_change` as for TableMirror; `settled` is called after each response, when the
  // content of the mirror may have changed.
  TableFollower(Loop& loop, SharedTables& tables, std::string table, std::vector<std::string> parts,
                TableMirror::OnChange on_change, std::function<void()> after_response);
  ~TableFollower();

  void Start() { Step(); }
  // Minimum interval between calls, so that changes within it arrive together. 0: none.
  void SetMinInterval(Duration interval) { min_interval_ = interval; }
  // Replaces kWait, for a table whose copy must have a known age.
  void SetWait(Duration wait) { wait_ = wait; }
  // When the last call was sent, by Loop::SinceBoot, whose response shows that the copy is complete
  // as of that time. Of a table with several parts no list shows that, as the parts are listed one
  // after the other.
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
  // Logs once when a part can't be read any more, and when it can be read again.
  void SetPartReadable(const std::string& part, bool readable, const std::string& why);
  // Logs when the store can't be reached any more, and when it can be again.
  void SetConnected(bool connected, const std::string& why);
  void Continue();

  Loop& loop_;
  SharedTables& tables_;
  std::string table_;
  TableMirror mirror_;
  std::function<void()> after_response_;
  bool single_part_;
  Duration min_interval_{0};
  Duration wait_ = kWait;
  std::optional<Duration> confirmed_at_;
  std::optional<bool> connected_;  // empty before the first response
  Time short_wait_until_{};
  std::set<std::string> unreadable_parts_;
  Timer step_timer_;
  std::shared_ptr<TableFollower*> self_;  // null once this is gone
};

}  // namespace figmill
