#include <algorithm>

#include "figmill/ledger.h"

namespace figmill {
namespace {

bool CanBeInTime(const ItemBacklog::Entry& entry, StoreTime now) {
  return now + entry.work <= entry.due;
}

bool GoesBefore(const ItemBacklog::Entry& a, const ItemBacklog::Entry& b, StoreTime now) {
  const bool a_in_time = CanBeInTime(a, now);
  const bool b_in_time = CanBeInTime(b, now);
  if (a_in_time != b_in_time) return a_in_time;
  if (a.due != b.due) return a.due < b.due;
  if (a.job != b.job) return a.job < b.job;
  return a.item < b.item;
}

}  // namespace

void ItemBacklog::RemoveJob(const JobId& job) {
  std::erase_if(entries_, [&job](const Entry& entry) { return entry.job == job; });
}

void ItemBacklog::RemoveItem(const JobId& job, std::size_t item) {
  std::erase_if(entries_,
                [&](const Entry& entry) { return entry.job == job && entry.item == item; });
}

std::optional<ItemBacklog::Entry> ItemBacklog::Take(StoreTime now,
                                                    const std::function<bool(const Entry&)>& fits) {
  auto best = entries_.end();
  for (auto at = entries_.begin(); at != entries_.end(); ++at) {
    if (at->not_before > now || !fits(*at)) continue;
    if (best == entries_.end() || GoesBefore(*at, *best, now)) best = at;
  }
  if (best == entries_.end()) return std::nullopt;
  Entry taken = std::move(*best);
  *best = std::move(entries_.back());
  entries_.pop_back();
  return taken;
}

std::size_t ItemBacklog::Startable(StoreTime now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [now](const Entry& entry) { return entry.not_before <= now; }));
}

}  // namespace figmill
