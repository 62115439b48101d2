#pragma once

// The configuration and the backend servers, as an immutable snapshot that the control thread
// publishes to the traffic thread.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "figmill/fleet.h"
#include "figmill/routes.h"
#include "figmill/tables.h"
#include "figmill/version_history.h"

namespace figmill {

using BackendList = std::map<BackendId, BackendInfo>;

struct FleetView {
  std::shared_ptr<const RouteTable> routes;  // null until a configuration has been read
  BackendList backends;                      // those whose versions are in the history
  bool backends_loaded = false;  // the list and the history have been read completely once
  std::shared_ptr<const VersionHistory> versions = std::make_shared<VersionHistory>();
  bool history_followed = false;              // the store answers, so that `versions` is up to date
  std::set<ServiceName> incomplete_services;  // see VersionRecorder::incomplete

  // Whether an entry with this view can serve requests and run items.
  [[nodiscard]] bool usable() const { return routes != nullptr && backends_loaded; }
};

// The effect of a row on the list of backend servers.
enum class BackendListChange : std::uint8_t {
  kNone,
  kUpdated,
  kRestarted,  // the row has a later incarnation
  kOutdated,   // the row has an earlier incarnation and was ignored
  // The row has an earlier incarnation and another service, and was ignored. The service of an id
  // never changes, so this isn't a late write by the backend server.
  kServiceMismatch,
};
// Applies a row to the list. A row without an incarnation keeps the known one, since it doesn't
// show that the backend server restarted.
[[nodiscard]] BackendListChange UpdateBackendList(BackendList& backends, BackendInfo&& info);

// Addresses at which another backend server, another incarnation or nothing listens now. Pooled
// connections to them are stale: a request sent on one is reset, and can't be retried if it is not
// idempotent.
[[nodiscard]] std::vector<Address> ChangedAddresses(const BackendList& before,
                                                    const BackendList& now);

}  // namespace figmill
