#include <algorithm>
#include <utility>

#include "control/log_rows.h"
#include "figmill/control.h"

namespace figmill {
namespace {

constexpr Sequence kDeletesPerTransaction = 64;

}  // namespace

LogCompactor::LogCompactor(const LogReader& reader, RandomBits random)
    : reader_(reader), random_(std::move(random)) {}

std::vector<LogAction> LogCompactor::CompactIfDue() {
  if (state_ != State::kIdle || reader_.head() < known_snapshot_ + kEntriesPerSnapshot) return {};
  state_ = State::kReading;
  return {ReadRow{std::string(detail::kSnapshotKey)}};
}

std::vector<LogAction> LogCompactor::On(LogEvent event) {
  return std::visit(Overloaded{[&](RowWasRead& e) { return OnSnapshotRow(std::move(e.row)); },
                               [&](ObjectWasPut& e) { return OnStatePut(e.outcome); },
                               [&](CommitEnded& e) { return OnCommit(e.outcome); },
                               [](auto&) { return std::vector<LogAction>{}; }},
                    event);
}

std::vector<LogAction> LogCompactor::OnSnapshotRow(Result<std::optional<Row>> row) {
  state_ = State::kIdle;
  if (!IsOk(row)) return {};
  detail::SnapshotRow old;
  row_version_ = 0;
  if (ValueOf(row)) {
    const Result<detail::SnapshotRow> parsed = detail::ParseSnapshotRow(ValueOf(row)->value);
    if (!IsOk(parsed)) return {};
    old = ValueOf(parsed);
    row_version_ = ValueOf(row)->version;
  }
  known_snapshot_ = old.sequence;
  if (reader_.head() < known_snapshot_ + kEntriesPerSnapshot) return {};
  compacted_state_ = reader_.state();
  stale_snapshot_ = old.previous;
  next_delete_ = old.deleted + 1;
  state_ = State::kWritingObject;
  return {
      PutObject{detail::SnapshotObjectKey(compacted_state_->sequence), ToJson(*compacted_state_)}};
}

std::vector<LogAction> LogCompactor::OnStatePut(const Result<Ok>& outcome) {
  state_ = State::kIdle;
  if (!IsOk(outcome)) return {};
  // `deleted` is the last row that the previous compaction had to delete, so that the
  // next compaction deletes this one's rows again, in case this one is interrupted.
  const Sequence before = known_snapshot_ > kEntriesKept ? known_snapshot_ - kEntriesKept : 0;
  const detail::SnapshotRow row{GenerateToken(random_), compacted_state_->sequence, known_snapshot_,
                                before};
  state_ = State::kWritingRow;
  const std::string key(detail::kSnapshotKey);
  return {CommitRows{
      Transaction{{RowCondition{key, row_version_}}, {PutRow{key, detail::ToJson(row)}}}}};
}

// Rows are deleted only after the store has confirmed the commit of the snapshot row.
// If the answer was lost, the next compaction reads the row to learn the outcome.
std::vector<LogAction> LogCompactor::OnCommit(const TransactionOutcome& outcome) {
  const State was = std::exchange(state_, State::kIdle);
  const auto* committed = std::get_if<Committed>(&outcome);
  if (committed == nullptr) return {};
  if (was == State::kDeleting) return DeleteBatch();
  if (committed->rows.size() != 1) return {};
  row_version_ = committed->rows.front().version;
  known_snapshot_ = compacted_state_->sequence;
  std::vector<LogAction> actions = DeleteBatch();
  if (stale_snapshot_ != 0)
    actions.emplace_back(DeleteObject{detail::SnapshotObjectKey(stale_snapshot_)});
  return actions;
}

std::vector<LogAction> LogCompactor::DeleteBatch() {
  const Sequence last = known_snapshot_ > kEntriesKept ? known_snapshot_ - kEntriesKept : 0;
  if (next_delete_ > last) return {};
  Transaction transaction;
  transaction.conditions.push_back({std::string(detail::kSnapshotKey), row_version_});
  const Sequence end = std::min(last, next_delete_ + kDeletesPerTransaction - 1);
  for (; next_delete_ <= end; ++next_delete_) {
    transaction.writes.emplace_back(DeleteRow{LogKey(next_delete_)});
  }
  state_ = State::kDeleting;
  return {CommitRows{std::move(transaction)}};
}

}  // namespace figmill
