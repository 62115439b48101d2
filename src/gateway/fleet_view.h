#pragma once

// What traffic needs to know of the configuration and the backend servers: an
// immutable view that the control thread publishes.

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "figmill/fleet.h"
#include "figmill/routes.h"
#include "figmill/tables.h"

namespace figmill {

using BackendList = std::map<BackendId, BackendInfo>;

struct FleetView {
  std::shared_ptr<const RouteTable> routes;  // null: no configuration is known yet
  BackendList backends;
  bool backends_loaded = false;     // the list has been read whole at least once
  RowVersion backends_version = 0;  // of the list
};

// What an entry of the list changed.
enum class BackendListChange : std::uint8_t {
  kNone,
  kUpdated,
  kRestarted,  // the entry is of a later incarnation
  kOutdated,   // the entry is of an earlier incarnation, and was not taken
  // The entry is of an earlier incarnation and of another service, and was not taken. An id
  // keeps its service, so that this is no late write of the backend server.
  kServiceMismatch,
};
// Takes an entry into the list. One that doesn't say its incarnation leaves the one that is
// known: nothing in it says that the backend server started again.
[[nodiscard]] BackendListChange UpdateBackendList(BackendList& backends, BackendInfo&& info);

// Addresses at which another backend server listens now, another incarnation, or none.
// Connections kept to them lead to one that is gone: a request on such a connection is reset,
// and may not be sent again if it is not idempotent.
[[nodiscard]] std::vector<Address> ChangedAddresses(const BackendList& before,
                                                    const BackendList& now);

}  // namespace figmill
