// Which backend server an online request gets a slot on.

#include <algorithm>
#include <tuple>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {
namespace {

bool Contains(const std::vector<BackendId>& ids, const BackendId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

bool SlotAllocator::IsEligible(const BackendId& id, const OwnedBackend& owned,
                               const SlotRequest& request) {
  if (owned.info.service != request.service || Contains(request.tried, id)) return false;
  if (request.version && owned.info.version != *request.version) return false;
  return !owned.ejected && !owned.info.frozen;
}

// Prefers an unused slot, on the backend server with most of them. If all are in use, preempts
// batch on the backend server with the fewest online requests. A preempted run must read its prompt
// and its text again when it resumes, which slows down all that run there.
// Where speeds differ, both go to the fastest engines first: a run holds its slot there for the
// shortest time, and items on the others aren't preempted.
bool SlotAllocator::TryAssignSlot(const NodeId& from, const SlotRequest& request, Time now) {
  std::map<BackendId, OwnedBackend>::iterator best = backends_.end();
  std::tuple<bool, int, int, int> best_rank;
  for (auto at = backends_.begin(); at != backends_.end(); ++at) {
    const OwnedBackend& owned = at->second;
    if (!IsEligible(at->first, owned, request)) continue;
    const int without_online = owned.info.slots - OnlineOf(owned);
    if (without_online <= 0) continue;
    const int unused = std::max(0, without_online - BatchOf(owned));
    const std::tuple rank{unused > 0, -owned.speed_class.value(), unused, without_online};
    if (best != backends_.end() && rank <= best_rank) continue;
    best = at;
    best_rank = rank;
  }
  if (best == backends_.end()) return false;
  best->second.reserved.push_back({from, request.number, now + kReservationTtl});
  best->second.run_starts.SetCount(static_cast<std::size_t>(OnlineOf(best->second)), now);
  MarkOthersChanged(best->second, from);
  DivideBatchSlots(best->second, now);
  Answer(from, {request.number, SlotResponse::Kind::kAssigned, best->first, Duration{0}});
  return true;
}

bool SlotAllocator::HasFreeSlot() const {
  return std::any_of(backends_.begin(), backends_.end(), [](const auto& each) {
    const OwnedBackend& owned = each.second;
    return !owned.ejected && !owned.info.frozen && owned.info.slots > OnlineOf(owned);
  });
}

void SlotAllocator::ExpireReservations(Time now) {
  for (auto& [id, owned] : backends_) {
    const auto lost =
        std::erase_if(owned.reserved, [now](const Reservation& each) { return now >= each.until; });
    if (lost > 0) DivideBatchSlots(owned, now);
  }
}

}  // namespace figmill
