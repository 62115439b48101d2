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

std::vector<LogAction> LogCompactor::Consider() {
  if (state_ != State::kIdle || reader_.head() < known_ + kEntriesPerSnapshot) return {};
  state_ = State::kReading;
  return {ReadRow{std::string(detail::kSnapshotKey)}};
}

std::vector<LogAction> LogCompactor::On(LogEvent event) {
  return std::visit(Overloaded{[&](RowWasRead& e) { return OnSnapshotRow(std::move(e.row)); },
                               [&](ObjectWasPut& e) { return OnFoldPut(e.outcome); },
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
  known_ = old.sequence;
  if (reader_.head() < known_ + kEntriesPerSnapshot) return {};
  folded_ = reader_.fold();
  stale_object_ = old.previous;
  next_delete_ = old.deleted + 1;
  state_ = State::kWritingFold;
  return {PutObject{detail::FoldKey(folded_->sequence), ToJson(*folded_)}};
}

std::vector<LogAction> LogCompactor::OnFoldPut(const Result<Ok>& outcome) {
  state_ = State::kIdle;
  if (!IsOk(outcome)) return {};
  // `deleted` names what the round before this one should have deleted, so the
  // next round goes over this one's rows again, in case it is cut short.
  const Sequence before = known_ > kEntriesKept ? known_ - kEntriesKept : 0;
  const detail::SnapshotRow row{GenerateToken(random_), folded_->sequence, known_, before};
  state_ = State::kWritingRow;
  const std::string key(detail::kSnapshotKey);
  return {CommitRows{
      Transaction{{RowCondition{key, row_version_}}, {PutRow{key, detail::ToJson(row)}}}}};
}

// Nothing is deleted unless the store said plainly that the snapshot's row is
// written: after a lost answer the next round reads the row and knows.
std::vector<LogAction> LogCompactor::OnCommit(const TransactionOutcome& outcome) {
  const State was = std::exchange(state_, State::kIdle);
  const auto* committed = std::get_if<Committed>(&outcome);
  if (committed == nullptr) return {};
  if (was == State::kDeleting) return DeleteSome();
  if (committed->rows.size() != 1) return {};
  row_version_ = committed->rows.front().version;
  known_ = folded_->sequence;
  std::vector<LogAction> actions = DeleteSome();
  if (stale_object_ != 0) actions.emplace_back(DeleteObject{detail::FoldKey(stale_object_)});
  return actions;
}

std::vector<LogAction> LogCompactor::DeleteSome() {
  const Sequence last = known_ > kEntriesKept ? known_ - kEntriesKept : 0;
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
