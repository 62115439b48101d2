#include "figmill/items.h"

namespace figmill {

bool MayRunAgain(const FailedRuns& failed) {
  return !failed.allowed || failed.counted < *failed.allowed;
}

const Route* ItemRoute(const RouteTable& routes, const JobRecord& head, const JobItem& item) {
  const Route* of_job = routes.FindByName(head.route);
  if (of_job != nullptr && of_job->kind == RouteKind::kBatch) return of_job;
  const Route* of_path = routes.Find(head.host, item.target);
  return of_path != nullptr && of_path->kind == RouteKind::kBatch ? of_path : nullptr;
}

std::optional<std::string_view> GiveUpReason(const JobRecord& head, bool has_route,
                                             std::uint64_t config_version,
                                             std::optional<StoreTime> now) {
  const bool has_life = head.expires > head.submitted;
  if (has_life && now && *now >= head.expires) return "its time is over";
  if (!has_route && config_version > head.config_version) return "its route was removed";
  return std::nullopt;
}

}  // namespace figmill
