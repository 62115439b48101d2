#pragma once

// Follows the configuration and the list of backend servers on the control
// thread, and tells what changed.

#include <functional>
#include <memory>

#include "figmill/gateway.h"
#include "gateway/fleet_view.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"

namespace figmill {

class FleetWatch {
 public:
  // Changes within this time are published together: at the start of a fleet each
  // backend server writes its own row.
  static constexpr Duration kPublishPause{20'000};

  // `publish` is called on `loop` with each new view.
  FleetWatch(Loop& loop, SharedTables& tables, const PlatformAdapter& adapter, Metrics& metrics,
             std::function<void(std::shared_ptr<const FleetView>)> publish);

  void Start();

 private:
  void OnConfig(const TableMirror::Change& change);
  void OnBackend(const TableMirror::Change& change);
  void OnUnreadableBackend(const BackendId& id, RowVersion version, const Error& error);
  void SchedulePublish();
  void Publish();

  Loop& loop_;
  const PlatformAdapter& adapter_;
  std::function<void(std::shared_ptr<const FleetView>)> publish_;
  RefusedRows refused_configs_;
  RefusedRows refused_backends_;
  FleetView view_;
  bool changed_ = false;
  bool publish_scheduled_ = false;
  TableFollower config_;
  TableFollower backends_;
};

}  // namespace figmill
