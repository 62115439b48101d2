#include <algorithm>
#include <cassert>
#include <utility>

#include "figmill/ledger.h"

namespace figmill {

OwnedJob::OwnedJob(JobRecord record, RowVersion version, std::vector<JobItem> items)
    : record_(std::move(record)), version_(version), items_(std::move(items)) {
  assert(record_.done.size() == items_.size());
  finished_.resize(items_.size(), false);
}

bool OwnedJob::IsOpen(std::size_t item) const {
  return !HasStoredResult(item) && !finished_[item];
}

void OwnedJob::Finish(std::size_t item, ItemResult result) {
  if (!IsOpen(item)) return;
  finished_[item] = true;
  unwritten_results_.emplace_back(item, std::move(result));
}

void OwnedJob::AddProgress(ledger::ProgressPiece piece) {
  unwritten_progress_.push_back(std::move(piece));
}

std::optional<TableTransaction> OwnedJob::NextWrite(const RandomBits& random) {
  if (in_flight_) return std::nullopt;
  if (!write_) {
    if (unwritten_results_.empty() && unwritten_progress_.empty() && !end_requested_)
      return std::nullopt;
    write_ = Write{record_, {}, {}, version_, true};
    write_->record.token = GenerateToken(random);
    write_->record.ended = record_.ended || end_requested_;
    const std::size_t bytes = TakeResults(*write_);
    TakeProgress(*write_, bytes);
    write_->changes_row = !write_->results.empty() || write_->record.ended != record_.ended;
  }
  in_flight_ = true;
  return TransactionFor(*write_);
}

std::size_t OwnedJob::TakeResults(Write& write) {
  std::size_t bytes = 0;
  while (!unwritten_results_.empty() && write.results.size() < kMaxResultsPerWrite) {
    const std::size_t next = unwritten_results_.front().second.output.size();
    if (!write.results.empty() && bytes + next > kMaxBytesPerWrite) break;
    bytes += next;
    write.record.done[unwritten_results_.front().first] = 'x';
    ++write.record.stored_results;
    write.results.push_back(std::move(unwritten_results_.front()));
    unwritten_results_.erase(unwritten_results_.begin());
  }
  return bytes;
}

// Drops the progress of finished items, from which no owner will resume, and that of outputs that
// have started over: its rows have the same keys as those of the later output.
void OwnedJob::TakeProgress(Write& write, std::size_t bytes) {
  std::map<std::size_t, std::uint32_t> last_start;
  for (const ledger::ProgressPiece& piece : unwritten_progress_) {
    std::uint32_t& last = last_start[piece.item];
    last = std::max(last, piece.start);
  }
  std::vector<ledger::ProgressPiece> left;
  for (ledger::ProgressPiece& piece : std::exchange(unwritten_progress_, {})) {
    if (!IsOpen(piece.item) || piece.start < last_start[piece.item]) continue;
    // Once one is left, those after it are left too: an item's pieces are written in order.
    const bool fits = left.empty() && write.progress.size() < kMaxPiecesPerWrite &&
                      write.results.size() < 4 && bytes + piece.text.size() <= kMaxBytesPerWrite;
    if (fits) bytes += piece.text.size();
    (fits ? write.progress : left).push_back(std::move(piece));
  }
  unwritten_progress_ = std::move(left);
}

// A retried write must be identical: an earlier copy whose response was lost may still be
// applied, and this one then finds the row with its own token.
TableTransaction OwnedJob::TransactionFor(const Write& write) const {
  TableTransaction transaction;
  transaction.conditions.push_back({ledger::JobRecordKey(record_.id), write.condition});
  if (write.changes_row) {
    transaction.puts.push_back(
        {ledger::JobRecordKey(record_.id), ledger::EncodeJobRecord(write.record)});
  }
  std::uint32_t position =
      write.record.stored_results - static_cast<std::uint32_t>(write.results.size());
  for (const auto& [item, result] : write.results) {
    for (TablePut& put : ledger::ResultRows(record_.id, position, result)) {
      transaction.puts.push_back(std::move(put));
    }
    ++position;
  }
  for (const ledger::ProgressPiece& piece : write.progress) {
    transaction.puts.push_back(ledger::ProgressRow(record_.id, piece));
  }
  return transaction;
}

void OwnedJob::OnFailed() {
  in_flight_ = false;
  ++consecutive_failures_;
}

void OwnedJob::OnCommitted(RowVersion version) {
  in_flight_ = false;
  consecutive_failures_ = 0;
  if (!write_) return;
  if (!write_->changes_row) return write_.reset();
  const JobRecord written = write_->record;  // a copy, since ApplyRecord resets the write
  ApplyRecord(written, version);
}

bool OwnedJob::OnJobRecord(const JobRecord& record, RowVersion version) {
  if (version <= version_) return true;
  if (record.owner != record_.owner || record.owner_incarnation != record_.owner_incarnation)
    return false;
  ApplyRecord(record, version);
  return true;
}

// Takes over a newer row. If its token is that of the write in flight, the write was applied;
// otherwise another write came first, and the results wait for the next write.
void OwnedJob::ApplyRecord(const JobRecord& record, RowVersion version) {
  if (write_) {
    const bool applied = record.token == write_->record.token;
    if (!applied) {
      unwritten_results_.insert(unwritten_results_.begin(),
                                std::make_move_iterator(write_->results.begin()),
                                std::make_move_iterator(write_->results.end()));
      unwritten_progress_.insert(unwritten_progress_.begin(),
                                 std::make_move_iterator(write_->progress.begin()),
                                 std::make_move_iterator(write_->progress.end()));
    }
    write_.reset();
  }
  record_ = record;
  version_ = version;
  if (record_.ended) end_requested_ = false;
  std::erase_if(unwritten_results_,
                [this](const auto& each) { return HasStoredResult(each.first); });
}

}  // namespace figmill
