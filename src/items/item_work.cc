#include <algorithm>
#include <utility>

#include "figmill/items.h"

namespace figmill {

std::vector<JobItemRef> ItemsToStop(std::vector<RunningItem> running, int excess) {
  std::sort(running.begin(), running.end(),
            [](const RunningItem& a, const RunningItem& b) { return a.due > b.due; });
  std::vector<JobItemRef> stop;
  for (const RunningItem& each : running) {
    if (static_cast<int>(stop.size()) >= excess) break;
    stop.push_back(each.key);
  }
  return stop;
}

void ItemWork::Restore(const JobItemRef& key, const ledger::ProgressPiece& piece) {
  progress_[key].text.Restore(piece);
}

void ItemWork::Wait(const JobItemRef& key, StoreTime due, Time not_before) {
  const ItemProgress& progress = progress_[key];
  const bool has_run = progress.text.events() > 0;
  backlog_.Add({key.job, key.item, due, WorkLeft(progress), not_before, has_run});
}

std::optional<ItemBacklog::Entry> ItemWork::Next(
    const BacklogTime& now, const std::function<bool(const JobItemRef&)>& fits) {
  std::optional<ItemBacklog::Entry> entry =
      backlog_.Take(now, [&fits](const ItemBacklog::Entry& each) {
        return fits({each.job, each.item});
      });
  if (!entry) return std::nullopt;
  ItemProgress& progress = progress_[{entry->job, entry->item}];
  if (++progress.runs == 1) progress.first_run_at = now.here;
  return entry;
}

void ItemWork::Whole(const JobItemRef& key, Duration length) {
  const ItemProgress& progress = progress_[key];
  // The length of the last of several runs says little of a whole one.
  if (progress.runs != 1) return;
  usual_run_ = std::chrono::duration_cast<Duration>(usual_run_ * (1 - kNewest) + length * kNewest);
  const auto events = static_cast<double>(progress.text.events());
  usual_events_ = usual_events_ == 0 ? events : usual_events_ * (1 - kNewest) + events * kNewest;
}

ItemProgress ItemWork::Remove(const JobItemRef& key) {
  backlog_.RemoveItem(key.job, key.item);
  ItemProgress progress = std::move(progress_[key]);
  progress_.erase(key);
  return progress;
}

void ItemWork::RemoveJob(const JobId& job) {
  backlog_.RemoveJob(job);
  std::erase_if(progress_, [&job](const auto& each) { return each.first.job == job; });
}

std::set<JobId> ItemWork::Jobs() const {
  std::set<JobId> jobs;
  for (const auto& [key, progress] : progress_) jobs.insert(key.job);
  return jobs;
}

std::vector<ledger::ProgressPiece> ItemWork::TakePieces(const JobId& job) {
  std::vector<ledger::ProgressPiece> pieces;
  for (auto at = progress_.lower_bound({job, 0}); at != progress_.end() && at->first.job == job;
       ++at) {
    if (auto piece = at->second.text.TakePiece(at->first.item)) pieces.push_back(*std::move(piece));
  }
  return pieces;
}

Duration ItemWork::WorkLeft(const ItemProgress& progress) const {
  if (usual_events_ <= 0) return usual_run_;
  const double done = static_cast<double>(progress.text.events()) / usual_events_;
  // An item may turn out longer than usual: some work is always left.
  const double left = std::clamp(1.0 - done, 0.05, 1.0);
  return Duration(static_cast<Duration::rep>(static_cast<double>(usual_run_.count()) * left));
}

}  // namespace figmill
