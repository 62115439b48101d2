#pragma once

// What traffic needs to know of the configuration and the backend servers: an
// immutable view that the control thread publishes.

#include <map>
#include <memory>

#include "figmill/fleet.h"
#include "figmill/routes.h"
#include "figmill/tables.h"

namespace figmill {

struct FleetView {
  std::shared_ptr<const RouteTable> routes;  // null: no configuration is known yet
  std::map<BackendId, BackendInfo> backends;
  RowVersion backends_version = 0;  // of the list
};

}  // namespace figmill
