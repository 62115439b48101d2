#pragma once

// Follows the configuration and the list of backend servers on the control thread, and publishes
// snapshots of them.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "figmill/gateway.h"
#include "gateway/fleet_view.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"
#include "gateway/version_recorder.h"

namespace figmill {

class FleetWatcher {
 public:
  // Changes within this time are published together, because at the start of a fleet each backend
  // server writes its own row.
  static constexpr Duration kPublishDelay{20'000};

  // Minimum interval between calls for changes of backend servers, which all register at once when
  // a fleet starts. Short compared with the time in which a leaving one gets no new work.
  static constexpr Duration kMinBackendsInterval{50'000};

  // Polls of the store within the time in which a key must be revoked, so that one or two lost
  // answers don't make the configuration too old.
  static constexpr int kPollsPerRevocationPeriod = 5;

  // Called on the thread of `loop`.
  struct Hooks {
    std::function<void(std::shared_ptr<const FleetView>)> publish;  // receives each new snapshot
    // The configuration published last was in force at `asked_at`, when the store was asked
    // (Loop::SinceBoot).
    std::function<void(Duration asked_at)> confirmed;
  };
  // Where each table is followed; may be the same.
  struct Tables {
    SharedTables& config;
    SharedTables& backends;  // and the version history
    std::string members;     // name of the table in which entries register
  };
  // `revoke_within`: see TeamSettings::key_lease.
  FleetWatcher(Loop& loop, Tables tables, const PlatformAdapter& adapter, Metrics& metrics,
               std::optional<Duration> revoke_within, Hooks hooks);

  // `on_started`: see VersionRecorder::Start.
  void Start(std::function<void()> on_started = [] {});

 private:
  void OnConfig(const TableMirror::Change& change);
  void OnBackend(const TableMirror::Change& change);
  void OnUnreadableBackend(const BackendId& id, RowVersion version, const Error& error);
  void SchedulePublish();
  void Publish();
  void OnVersions();
  // Confirms the configuration if it is published. Before that, traffic still uses an older one.
  void Confirm();

  Loop& loop_;
  const PlatformAdapter& adapter_;
  Hooks hooks_;
  RefusedRows refused_configs_;
  RefusedRows refused_backends_;
  FleetView view_;
  BackendList listed_;
  bool changed_ = false;
  bool publish_scheduled_ = false;
  std::uint64_t key_lookup_secret_;  // for look-ups of teams by key; see TeamDirectory
  std::optional<Duration> last_confirmed_at_;
  TableFollower config_;
  TableFollower backends_;
  VersionRecorder versions_;
};

}  // namespace figmill
