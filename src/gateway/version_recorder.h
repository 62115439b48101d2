#pragma once

// Writes a row of the version history before a backend server of the version is used, and keeps
// the rows up to date.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "figmill/runtime.h"
#include "figmill/version_history.h"
#include "gateway/fleet_view.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"

namespace figmill {

class VersionRecorder {
 public:
  // All entries see a new version at the same time. Each waits for a random part of this before it
  // writes the row, unless another one has written it by then.
  static constexpr Duration kWriteSpread{200'000};
  // Delay before a failed write is repeated.
  static constexpr Duration kRetryDelay{500'000};
  // Minimum interval between calls for changes.
  static constexpr Duration kMinFeedInterval{20'000};
  static constexpr Duration kUpkeepPeriod = std::chrono::seconds(60);

  // `members`: the table in which entries of all releases register. `on_change`: versions have been
  // recorded, or the history has been read.
  VersionRecorder(Loop& loop, SharedTables& tables, std::string members, Metrics& metrics,
                  RandomBits random, std::function<void()> on_change);

  // `on_started` is called once the history tells since when it is complete. This entry may
  // register then: an entry that is registered before makes the history begin with this release.
  void Start(std::function<void()> on_started);
  // The backend servers whose versions are recorded; the others' are being recorded. A backend
  // server that was returned before is returned again. While the store refuses to record them,
  // versions of services that have no other ready backend server are used all the same.
  [[nodiscard]] BackendList Admit(const BackendList& listed);
  // Services of which backend servers are listed whose versions are not recorded.
  [[nodiscard]] std::set<ServiceName> incomplete() const;
  [[nodiscard]] bool loaded() const { return follower_.mirror().complete(); }
  // Whether the store answers.
  [[nodiscard]] bool connected() const { return follower_.connected(); }
  [[nodiscard]] std::shared_ptr<const VersionHistory> history() const { return history_; }

 private:
  void OnRow(const TableMirror::Change& change);
  void OnResponse();
  void BeginHistory();
  void WriteStart(StoreTime since);
  void Use(const OutputSource& source);
  void TrackUnlisted(const std::set<OutputSource>& listed);
  void ScheduleWrite();
  void WriteUnrecorded();
  void Write(const OutputSource& source);
  void Upkeep();
  void ApplyUpkeep(const TablePage& page);
  [[nodiscard]] std::set<OutputSource> Unlisted(Time now) const;
  [[nodiscard]] Duration RandomDelay(Duration most);

  Loop& loop_;
  SharedTables& tables_;
  std::string members_;
  RandomBits random_;
  std::function<void()> on_change_;
  std::function<void()> on_started_;
  RefusedRows refused_rows_;
  std::shared_ptr<const VersionHistory> history_ = std::make_shared<VersionHistory>();
  bool changed_ = false;
  bool was_connected_ = false;
  bool beginning_ = false;
  std::set<OutputSource> admitted_;
  std::set<OutputSource> unrecorded_;  // listed, without a row that says that they serve
  bool write_scheduled_ = false;
  bool write_failed_ = false;
  // Since when a version whose row says that it serves is not listed here.
  std::map<OutputSource, Time> unlisted_since_;
  Timer upkeep_timer_;
  TableFollower follower_;
};

}  // namespace figmill
