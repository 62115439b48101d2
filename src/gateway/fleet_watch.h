#pragma once

// Follows the configuration and the list of backend servers on the control
// thread, and tells what changed.

#include <functional>
#include <memory>

#include "figmill/gateway.h"
#include "gateway/fleet_view.h"
#include "gateway/table_follower.h"

namespace figmill {

class FleetWatch {
 public:
  // `publish` is called on `loop` with each new view.
  FleetWatch(Loop& loop, SharedTables& tables, const PlatformAdapter& adapter,
             std::function<void(std::shared_ptr<const FleetView>)> publish);

  void Start();

 private:
  void OnConfig(const TableMirror::Change& change);
  void OnBackend(const TableMirror::Change& change);
  void Publish();

  const PlatformAdapter& adapter_;
  std::function<void(std::shared_ptr<const FleetView>)> publish_;
  FleetView view_;
  bool changed_ = false;
  TableFollower config_;
  TableFollower backends_;
};

}  // namespace figmill
