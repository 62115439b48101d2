#pragma once

// Follows the configuration and the list of backend servers on the control
// thread, and tells what changed.

#include <functional>
#include <memory>
#include <optional>

#include "figmill/gateway.h"
#include "gateway/fleet_view.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"

namespace figmill {

class FleetWatcher {
 public:
  // Changes within this time are published together: at the start of a fleet each
  // backend server writes its own row.
  static constexpr Duration kPublishDelay{20'000};

  // The store is asked so often within the time in which a key must be taken away, so that a lost
  // answer or two don't make the configuration too old.
  static constexpr int kPollsPerRevocationPeriod = 5;

  // Called on `loop`.
  struct Hooks {
    std::function<void(std::shared_ptr<const FleetView>)> publish;  // each new view
    // The configuration published last was in force when the store was asked, by
    // Loop::SinceBoot.
    std::function<void(Duration asked_at)> confirmed;
  };
  // `revoke_within`: see TeamSettings::key_lease.
  FleetWatcher(Loop& loop, SharedTables& tables, const PlatformAdapter& adapter, Metrics& metrics,
               std::optional<Duration> revoke_within, Hooks hooks);

  void Start();

 private:
  void OnConfig(const TableMirror::Change& change);
  void OnBackend(const TableMirror::Change& change);
  void OnUnreadableBackend(const BackendId& id, RowVersion version, const Error& error);
  void SchedulePublish();
  void Publish();
  // Only what has been published may be confirmed: traffic goes by an older one until then.
  void Confirm();

  Loop& loop_;
  const PlatformAdapter& adapter_;
  Hooks hooks_;
  RefusedRows refused_configs_;
  RefusedRows refused_backends_;
  FleetView view_;
  bool changed_ = false;
  bool publish_scheduled_ = false;
  std::uint64_t key_lookup_secret_;  // of the look-up by key
  std::optional<Duration> last_confirmed_at_;
  TableFollower config_;
  TableFollower backends_;
};

}  // namespace figmill
