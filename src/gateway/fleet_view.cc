#include "gateway/fleet_view.h"

#include <utility>

namespace figmill {
namespace {

// Those of `some` that `others` don't have at the same address in the same incarnation.
void AddMissing(const BackendList& some, const BackendList& others,
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
  BackendInfo& mine = backends[info.id];
  if (!info.incarnation.known()) info.incarnation = mine.incarnation;
  if (IsLater(mine.incarnation, info.incarnation)) {
    return info.service == mine.service ? BackendListChange::kOutdated
                                        : BackendListChange::kServiceMismatch;
  }
  if (mine == info) return BackendListChange::kNone;
  const bool restarted = IsLater(info.incarnation, mine.incarnation);
  mine = std::move(info);
  return restarted ? BackendListChange::kRestarted : BackendListChange::kUpdated;
}

std::vector<Address> ChangedAddresses(const BackendList& before, const BackendList& now) {
  std::vector<Address> addresses;
  AddMissing(before, now, addresses);
  AddMissing(now, before, addresses);
  return addresses;
}

}  // namespace figmill
