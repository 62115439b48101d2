#include <algorithm>

#include "figmill/items.h"

namespace figmill {
namespace {

bool GoesBefore(const ItemBacklog::Entry& a, const ItemBacklog::Entry& b,
                std::optional<StoreTime> now) {
  const bool a_in_time = ItemBacklog::CanBeInTime(a, now);
  const bool b_in_time = ItemBacklog::CanBeInTime(b, now);
  if (a_in_time != b_in_time) return a_in_time;
  if (a.due != b.due) return a.due < b.due;
  if (a.job != b.job) return a.job < b.job;
  return a.item < b.item;
}

}  // namespace

bool ItemBacklog::CanBeInTime(const Entry& entry, std::optional<StoreTime> now) {
  if (!now) return true;
  const Duration needed = entry.has_run ? entry.work : entry.work * kTimesWork;
  return *now + needed <= entry.due;
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
  auto best = entries_.end();
  for (auto at = entries_.begin(); at != entries_.end(); ++at) {
    if (at->not_before > now.here || !fits(*at)) continue;
    if (best == entries_.end() || GoesBefore(*at, *best, now.store)) best = at;
  }
  if (best == entries_.end()) return std::nullopt;
  Entry taken = std::move(*best);
  *best = std::move(entries_.back());
  entries_.pop_back();
  return taken;
}

std::map<StoreTime, int> ItemBacklog::StartableByDue(const BacklogTime& now) const {
  std::map<StoreTime, int> startable;
  for (const Entry& entry : entries_) {
    if (entry.not_before > now.here) continue;
    ++startable[CanBeInTime(entry, now.store) ? entry.due : kLate];
  }
  return startable;
}

}  // namespace figmill
