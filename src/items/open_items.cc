#include <algorithm>
#include <utility>

#include "figmill/items.h"

namespace figmill {

std::vector<JobItemRef> ItemsToStop(std::vector<RunningItem> running, int excess,
                                    std::optional<StoreTime> now) {
  const auto order = [now](const RunningItem& item) {
    const bool in_time = !now || *now + item.time_to_finish <= item.due;
    return std::pair(in_time, item.time_to_finish - item.due);
  };
  std::stable_sort(
      running.begin(), running.end(),
      [&order](const RunningItem& a, const RunningItem& b) { return order(a) < order(b); });
  std::vector<JobItemRef> stop;
  for (const RunningItem& candidate : running) {
    if (static_cast<int>(stop.size()) >= excess) break;
    stop.push_back(candidate.key);
  }
  return stop;
}

void OpenItems::Restore(const JobItemRef& key, const ledger::ProgressPiece& piece) {
  progress_[key].text.Restore(piece);
}

void OpenItems::Enqueue(const JobItemRef& key, StoreTime due, Time not_before) {
  ItemProgress& progress = progress_[key];
  progress.due = due;
  if (progress.ended_at == Time{}) progress.ended_at = not_before;
  const bool started = progress.text.events() > 0;
  backlog_.Add({key.job, key.item, due, TimeToFinish(key), not_before, started});
}

void OpenItems::Postpone(const JobItemRef& key, Time not_before) {
  backlog_.RemoveItem(key.job, key.item);
  Enqueue(key, progress_[key].due, not_before);
}

std::optional<ItemBacklog::Entry> OpenItems::StartNext(
    const BacklogTime& now, const std::function<bool(const JobItemRef&)>& fits) {
  std::optional<ItemBacklog::Entry> entry =
      backlog_.Take(now, [&fits](const ItemBacklog::Entry& each) {
        return fits({each.job, each.item});
      });
  if (!entry) return std::nullopt;
  ItemProgress& progress = progress_[{entry->job, entry->item}];
  if (++progress.runs == 1) progress.first_run_at = now.local;
  progress.run_at = now.local;
  progress.events_before = progress.text.events();
  return entry;
}

std::uint64_t OpenItems::BeginRun(const JobItemRef& key, const OutputSource& source) {
  ItemProgress& progress = progress_[key];
  progress.text.BeginRun(source);
  const std::uint64_t before = std::exchange(progress.events_before, progress.text.events());
  return before - progress.events_before;
}

void OpenItems::OnRunEnded(const JobItemRef& key, Time now) {
  const auto found = progress_.find(key);
  if (found == progress_.end()) return;
  ItemProgress& progress = found->second;
  const Duration length = now - progress.run_at;
  progress.work += length;
  progress.ended_at = now;
  estimator_.OnRunEnded(progress.text.events() - progress.events_before, length);
}

void OpenItems::OnCompleted(const JobItemRef& key, const BacklogTime& now) {
  const ItemProgress& progress = progress_[key];
  // A late item has waited for all others; its time says nothing about items that can be in time.
  const bool in_time = !now.store || *now.store <= progress.due;
  if (!in_time) return;
  estimator_.OnCompleted(progress.text.events(), progress.work, now.local - progress.first_run_at);
}

ItemProgress OpenItems::Remove(const JobItemRef& key) {
  backlog_.RemoveItem(key.job, key.item);
  ItemProgress progress = std::move(progress_[key]);
  progress_.erase(key);
  return progress;
}

void OpenItems::RemoveJob(const JobId& job) {
  backlog_.RemoveJob(job);
  std::erase_if(progress_, [&job](const auto& each) { return each.first.job == job; });
}

std::set<JobId> OpenItems::Jobs() const {
  std::set<JobId> jobs;
  for (const auto& [key, progress] : progress_) jobs.insert(key.job);
  return jobs;
}

std::vector<ledger::ProgressPiece> OpenItems::TakePieces(const JobId& job) {
  std::vector<ledger::ProgressPiece> pieces;
  for (auto it = progress_.lower_bound({job, 0}); it != progress_.end() && it->first.job == job;
       ++it) {
    while (auto piece = it->second.text.TakePiece(it->first.item)) {
      pieces.push_back(*std::move(piece));
    }
  }
  return pieces;
}

Duration OpenItems::WorkDone(const JobItemRef& key) const {
  const auto found = progress_.find(key);
  if (found == progress_.end()) return Duration{0};
  return estimator_.RemainingWork(0) - estimator_.RemainingWork(found->second.text.events());
}

bool ShouldStartOver(const OtherSourceSlot& slot) {
  return !slot.source_is_served || slot.waited >= slot.work;
}

Duration OpenItems::TimeToFinish(const JobItemRef& key) const {
  const auto found = progress_.find(key);
  return estimator_.TimeToFinish(found == progress_.end() ? 0 : found->second.text.events());
}

}  // namespace figmill
