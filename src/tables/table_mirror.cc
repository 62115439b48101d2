#include <algorithm>
#include <cassert>
#include <utility>

#include "figmill/tables.h"

namespace figmill {

TableMirror::TableMirror(std::string table, std::vector<std::string> parts, OnChange on_change)
    : table_(std::move(table)), parts_(std::move(parts)), on_change_(std::move(on_change)) {
  assert(!parts_.empty());
  StartListing();
}

mirror::Action TableMirror::Next() const {
  if (in_retry_delay_) return mirror::WaitFor{kRetryPause};
  const bool lists = !unlisted_.empty() && (prefers_listing_ || !following_);
  if (lists) return mirror::ListPart{unlisted_.front(), next_key_};
  return mirror::FollowFrom{version_};
}

void TableMirror::StartListing() {
  unlisted_.assign(parts_.begin(), parts_.end());
  consecutive_failures_ = 0;
  following_ = false;
  prefers_listing_ = true;
  ResetPartListing();
}

void TableMirror::ResetPartListing() {
  next_key_.clear();
  listed_rows_.clear();
  oldest_page_version_.reset();
}

void TableMirror::OnListed(const std::string& part, const Result<TablePage>& answer) {
  if (unlisted_.empty() || part != unlisted_.front()) return;
  if (!IsOk(answer)) return OnPartFailed();
  const TablePage& page = ValueOf(answer);
  // The page is older than what is already known: applying it would restore removed rows. List
  // the part again until the store has caught up.
  if (page.version < version_) return OnPartFailed();
  oldest_page_version_ = std::min(oldest_page_version_.value_or(page.version), page.version);
  for (const TableRow& row : page.rows) listed_rows_[row.at] = row;
  if (page.truncated && !page.rows.empty()) {
    // The smallest key that is greater than the last one.
    next_key_ = page.rows.back().at.key + '\0';
    return;
  }
  OnPartListed();
}

// Changes made between the pages are delivered again by the feed, which continues from the oldest
// page of the part that was listed first.
void TableMirror::OnPartListed() {
  const RowVersion from = *oldest_page_version_;
  std::vector<TableKey> missing_rows;
  for (const auto& [at, row] : rows_) {
    // A row that was written after the listing can't be in it, so it isn't missing.
    const bool missing = at.part == unlisted_.front() && !listed_rows_.contains(at);
    if (missing && row.version <= from) missing_rows.push_back(at);
  }
  for (const TableKey& at : missing_rows) Remove(at, from, /*by_listing=*/true);
  for (const auto& [at, row] : listed_rows_) Apply(row, /*by_listing=*/true);
  if (!std::exchange(following_, true)) version_ = std::max(version_, from);
  // Rows that were removed before the part was listed for the first time are unknown.
  if (!complete_) changes_known_from_ = std::max(changes_known_from_, from);
  unlisted_.pop_front();
  consecutive_failures_ = 0;
  complete_ |= unlisted_.empty();
  ResetPartListing();
}

// Lists the other parts first. After all of them have failed, follows changes once, or waits if
// no part has been listed yet.
void TableMirror::OnPartFailed() {
  std::rotate(unlisted_.begin(), unlisted_.begin() + 1, unlisted_.end());
  ResetPartListing();
  if (++consecutive_failures_ < unlisted_.size()) return;
  consecutive_failures_ = 0;
  prefers_listing_ = false;
  in_retry_delay_ = !following_;
}

void TableMirror::OnFollowed(const FeedOutcome& outcome) {
  if (!following_) return;
  prefers_listing_ = true;
  std::visit(Overloaded{
                 [this](const TableChanges& changes) {
                   for (const TableRow& row : changes.rows) {
                     if (row.deleted) {
                       Remove(row.at, row.version, /*by_listing=*/false);
                     } else {
                       Apply(row, /*by_listing=*/false);
                     }
                   }
                   version_ = std::max(version_, changes.version);
                 },
                 [this](const HistoryLost&) { StartListing(); },
                 [this](const Error&) { in_retry_delay_ = true; },
             },
             outcome);
}

void TableMirror::OnDelayElapsed() {
  in_retry_delay_ = false;
}

void TableMirror::MergeRow(const TableRow& row) {
  if (row.deleted) {
    Remove(row.at, row.version, /*by_listing=*/false);
  } else {
    Apply(row, /*by_listing=*/false);
  }
}

const TableRow* TableMirror::Find(const TableKey& at) const {
  const auto found = rows_.find(at);
  return found == rows_.end() ? nullptr : &found->second;
}

void TableMirror::Apply(const TableRow& row, bool by_listing) {
  const auto removed = removed_.find(row.at);
  if (removed != removed_.end()) {
    if (row.version <= removed->second) return;
    removed_.erase(removed);
  }
  TableRow& stored = rows_[row.at];
  if (stored.version >= row.version) return;
  stored = row;
  on_change_({row.at, &stored, by_listing});
}

void TableMirror::Remove(const TableKey& at, RowVersion version, bool by_listing) {
  const auto found = rows_.find(at);
  if (found != rows_.end() && found->second.version > version) return;
  RememberRemoval(at, version);
  if (found == rows_.end()) return;
  rows_.erase(found);
  on_change_({at, nullptr, by_listing});
}

// Removals of rows that were never seen here are remembered as well: a process that asks for the
// changes may have seen the row.
void TableMirror::RememberRemoval(const TableKey& at, RowVersion version) {
  RowVersion& remembered = removed_[at];
  if (remembered >= version) return;
  remembered = version;
  removed_order_.emplace(version, at);
  if (removed_order_.size() <= kMaxRemoved) return;
  const auto oldest = removed_order_.begin();
  changes_known_from_ = std::max(changes_known_from_, oldest->first);
  const auto found = removed_.find(oldest->second);
  if (found != removed_.end() && found->second == oldest->first) removed_.erase(found);
  removed_order_.erase(oldest);
}

std::optional<TableChanges> TableMirror::ChangesSince(RowVersion after) const {
  if (!complete_ || !unlisted_.empty() || after < changes_known_from_) return std::nullopt;
  TableChanges changes;
  changes.version = version_;
  for (const auto& [at, row] : rows_) {
    if (row.version > after) changes.rows.push_back(row);
  }
  for (auto at = removed_order_.upper_bound(after); at != removed_order_.end(); ++at) {
    const auto removed = removed_.find(at->second);
    const bool current = removed != removed_.end() && removed->second == at->first;
    if (current) changes.rows.push_back({at->second, "", at->first, /*deleted=*/true});
  }
  std::sort(changes.rows.begin(), changes.rows.end(),
            [](const TableRow& a, const TableRow& b) { return a.version < b.version; });
  return changes;
}

}  // namespace figmill
