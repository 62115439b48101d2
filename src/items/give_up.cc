#include "figmill/items.h"

namespace figmill {

bool MayRunAgain(const FailedRuns& failed) {
  return !failed.allowed || failed.counted < *failed.allowed;
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
