#include "gateway/fleet_view.h"

namespace figmill {
namespace {

// Those of `some` that `others` don't have at the same address.
void AddMissing(const std::map<BackendId, BackendInfo>& some,
                const std::map<BackendId, BackendInfo>& others, std::vector<Address>& addresses) {
  for (const auto& [id, info] : some) {
    const auto found = others.find(id);
    if (found == others.end() || found->second.address != info.address) {
      addresses.push_back(info.address);
    }
  }
}

}  // namespace

std::vector<Address> ChangedAddresses(const std::map<BackendId, BackendInfo>& before,
                                      const std::map<BackendId, BackendInfo>& now) {
  std::vector<Address> addresses;
  AddMissing(before, now, addresses);
  AddMissing(now, before, addresses);
  return addresses;
}

}  // namespace figmill
