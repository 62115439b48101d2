#include <algorithm>
#include <tuple>

#include "figmill/items.h"

namespace figmill {

ItemRank ItemBacklog::RankOf(const Entry& entry, std::optional<StoreTime> now) {
  const bool in_time = !now || *now + entry.time_to_finish <= entry.due;
  if (!in_time) return ItemRank::kLate;
  return entry.started ? ItemRank::kStarted : ItemRank::kNotStarted;
}

void ItemBacklog::RemoveJob(const JobId& job) {
  std::erase_if(entries_, [&job](const Entry& entry) { return entry.job == job; });
}

void ItemBacklog::RemoveItem(const JobId& job, std::size_t item) {
  std::erase_if(entries_,
                [&](const Entry& entry) { return entry.job == job && entry.item == item; });
}

std::optional<ItemBacklog::Entry> ItemBacklog::Take(const BacklogTime& now,
                                                    const std::function<bool(const Entry&)>& fits) {
  const auto order = [&now](const Entry& entry) {
    return std::tuple(RankOf(entry, now.store), entry.due, std::string_view(entry.job.value),
                      entry.item);
  };
  auto best = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (it->not_before > now.local || !fits(*it)) continue;
    if (best == entries_.end() || order(*it) < order(*best)) best = it;
  }
  if (best == entries_.end()) return std::nullopt;
  Entry taken = std::move(*best);
  *best = std::move(entries_.back());
  entries_.pop_back();
  return taken;
}

std::map<ItemBacklog::Group, int> ItemBacklog::Startable(const BacklogTime& now) const {
  std::map<Group, int> startable;
  for (const Entry& entry : entries_) {
    if (entry.not_before > now.local) continue;
    const ItemRank rank = RankOf(entry, now.store);
    ++startable[{rank, rank == ItemRank::kLate ? kLate : entry.due}];
  }
  return startable;
}

}  // namespace figmill
