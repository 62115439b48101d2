// The keeper's view of sick backend servers. Each entry of a large fleet sends too little
// to one of them to tell; together they see all of its work.

#include <algorithm>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// Ends of one report that are counted one by one; more say no more.
constexpr std::uint64_t kMaxCounted = 20;

}  // namespace

void SlotAllocator::RecordOutcomes(OwnedBackend& owned, EntryShare& share,
                                   const PlaceReport::Line& line, Time now) {
  // An entry that is new here has counted for longer than this keeper keeps.
  const bool known = share.answers + share.faults > 0;
  const std::uint64_t answers = line.answers - std::min(line.answers, share.answers);
  const std::uint64_t faults = line.faults - std::min(line.faults, share.faults);
  share.answers = line.answers;
  share.faults = line.faults;
  if (!known && answers + faults > kMaxCounted) return;
  for (std::uint64_t i = 0; i < std::min(answers, kMaxCounted); ++i) {
    owned.outlier_detector.Record(/*fault=*/false, now);
  }
  for (std::uint64_t i = 0; i < std::min(faults, kMaxCounted); ++i) {
    owned.outlier_detector.Record(/*fault=*/true, now);
  }
}

// Never half of a service's backend servers or more: those that are left could not
// carry the load, and a part of the work done is better than all of it refused.
void SlotAllocator::UpdateEjections(Time now) {
  std::map<ServiceName, int> total;
  std::map<ServiceName, int> unhealthy;
  for (const auto& [id, owned] : backends_) {
    ++total[owned.info.service];
    if (owned.outlier_detector.IsEjected(now)) ++unhealthy[owned.info.service];
  }
  for (auto& [id, owned] : backends_) {
    const ServiceName& service = owned.info.service;
    const bool ejected =
        owned.outlier_detector.IsEjected(now) && 2 * unhealthy[service] < total[service];
    if (ejected == owned.ejected) continue;
    owned.ejected = ejected;
    ejections_.push_back({id, service, ejected, unhealthy[service], total[service]});
    MarkOthersChanged(owned, NodeId{});
    DivideBatchSlots(owned, now);
  }
}

}  // namespace figmill
