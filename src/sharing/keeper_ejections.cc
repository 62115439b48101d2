// The keeper's view of sick backend servers. Each entry of a large fleet sends too little
// to one of them to tell; together they see all of its work.

#include <algorithm>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// Ends of one report that are counted one by one; more say no more.
constexpr std::uint64_t kMostCounted = 20;

}  // namespace

void PlaceKeeper::CountEnds(Kept& kept, Share& share, const PlaceReport::Line& line, Time now) {
  // An entry that is new here has counted for longer than this keeper keeps.
  const bool known = share.answers + share.faults > 0;
  const std::uint64_t answers = line.answers - std::min(line.answers, share.answers);
  const std::uint64_t faults = line.faults - std::min(line.faults, share.faults);
  share.answers = line.answers;
  share.faults = line.faults;
  if (!known && answers + faults > kMostCounted) return;
  for (std::uint64_t i = 0; i < std::min(answers, kMostCounted); ++i) {
    kept.fault_rate.Count(/*fault=*/false, now);
  }
  for (std::uint64_t i = 0; i < std::min(faults, kMostCounted); ++i) {
    kept.fault_rate.Count(/*fault=*/true, now);
  }
}

// Never half of a service's backend servers or more: those that are left could not
// carry the load, and a part of the work done is better than all of it refused.
void PlaceKeeper::UpdateEjections(Time now) {
  std::map<ServiceName, int> all;
  std::map<ServiceName, int> sick;
  for (const auto& [id, kept] : kept_) {
    ++all[kept.backend.service];
    if (kept.fault_rate.IsEjected(now)) ++sick[kept.backend.service];
  }
  for (auto& [id, kept] : kept_) {
    const ServiceName& service = kept.backend.service;
    const bool ejected = kept.fault_rate.IsEjected(now) && 2 * sick[service] < all[service];
    if (ejected == kept.ejected) continue;
    kept.ejected = ejected;
    ejections_.push_back({id, service, ejected, sick[service], all[service]});
    MarkOthersStale(kept, NodeId{});
    Divide(kept, now);
  }
}

}  // namespace figmill
