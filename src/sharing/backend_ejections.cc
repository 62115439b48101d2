// Ejection of failing backend servers by the allocator. In a large fleet each entry sends too few
// requests to one server to detect a fault rate; the allocator sees the outcomes of all entries.

#include <algorithm>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// Outcomes counted per report; more of them add no information.
constexpr std::uint64_t kMaxCounted = 20;

}  // namespace

void SlotAllocator::RecordOutcomes(OwnedBackend& owned, EntryShare& share,
                                   const SlotReport::Line& line, Time now) {
  // The totals of an entry that is new here include outcomes from before this allocator took over.
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

// Never ejects half of a service's backend servers or more: the remaining ones could not carry the
// load, and serving some of the requests is better than refusing all.
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
