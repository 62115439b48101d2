#pragma once

// What traffic needs to know of the configuration and the backend servers: an
// immutable view that the control thread publishes.

#include <map>
#include <memory>
#include <vector>

#include "figmill/fleet.h"
#include "figmill/routes.h"
#include "figmill/tables.h"

namespace figmill {

struct FleetView {
  std::shared_ptr<const RouteTable> routes;  // null: no configuration is known yet
  std::map<BackendId, BackendInfo> backends;
  bool backends_listed = false;     // the list has been read whole at least once
  RowVersion backends_version = 0;  // of the list
};

// Addresses at which another backend server listens now, or none. Connections kept to
// them lead to one that is gone: a request on such a connection is reset, and may not be
// sent again if it is not idempotent.
[[nodiscard]] std::vector<Address> ChangedAddresses(const std::map<BackendId, BackendInfo>& before,
                                                    const std::map<BackendId, BackendInfo>& now);

}  // namespace figmill
