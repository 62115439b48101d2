#include "gateway/fleet_view.h"

#include <utility>

namespace figmill {
namespace {

// Adds the addresses of the backend servers in `some` that `others` doesn't have at the same
// address and in the same incarnation.
void AddChanged(const BackendList& some, const BackendList& others,
                std::vector<Address>& addresses) {
  for (const auto& [id, info] : some) {
    const auto found = others.find(id);
    const bool same = found != others.end() && found->second.address == info.address &&
                      found->second.incarnation == info.incarnation;
    if (!same) addresses.push_back(info.address);
  }
}

}  // namespace

BackendListChange UpdateBackendList(BackendList& backends, BackendInfo&& info) {
  BackendInfo& current = backends[info.id];
  if (!info.incarnation.known()) info.incarnation = current.incarnation;
  if (IsLater(current.incarnation, info.incarnation)) {
    return info.service == current.service ? BackendListChange::kOutdated
                                           : BackendListChange::kServiceMismatch;
  }
  if (current == info) return BackendListChange::kNone;
  const bool restarted = IsLater(info.incarnation, current.incarnation);
  current = std::move(info);
  return restarted ? BackendListChange::kRestarted : BackendListChange::kUpdated;
}

std::vector<Address> ChangedAddresses(const BackendList& before, const BackendList& now) {
  std::vector<Address> addresses;
  AddChanged(before, now, addresses);
  AddChanged(now, before, addresses);
  return addresses;
}

}  // namespace figmill
