#include <algorithm>
#include <utility>

#include "control/json.h"
#include "control/log_rows.h"
#include "figmill/control.h"

namespace figmill {
namespace {

// Limits of the recent records that a node keeps to serve them to peers.
constexpr std::size_t kWindowEntries = 512;
constexpr std::size_t kWindowBytes = 4U << 20;
constexpr std::uint32_t kRowsPerScan = 256;

Result<std::vector<LogRecord>> ParseRows(std::span<const Row> rows) {
  std::vector<LogRecord> records;
  for (const Row& row : rows) {
    Result<LogRecord> record = ParseLogRecord(row.value);
    if (!IsOk(record)) return Error{ErrorOf(record).kind, row.key + ": " + ErrorOf(record).detail};
    if (LogKey(ValueOf(record).sequence) != row.key) {
      return Error{ErrorKind::kInternal, row.key + " contains the entry of another row"};
    }
    records.push_back(std::move(ValueOf(record)));
  }
  return records;
}

}  // namespace

LogReader::LogReader() : state_(std::make_shared<const ControlState>()) {}

std::vector<LogAction> LogReader::Poll() {
  if (reading_store_) return {};
  return Scan();
}

std::vector<LogAction> LogReader::Scan() {
  reading_store_ = true;
  const std::string after = head() == 0 ? std::string{} : LogKey(head());
  return {ScanRows{RowRange{std::string(detail::kLogPrefix), after, kRowsPerScan}}};
}

std::vector<LogAction> LogReader::OnPeerAhead(const NodeId& peer, Sequence sequence) {
  peer_head_ = std::max(peer_head_, sequence);
  if (sequence <= head() || fetching_from_) return {};
  fetching_from_ = peer;
  return {FetchEntries{peer, head()}};
}

std::vector<LogAction> LogReader::On(LogEvent event) {
  return std::visit(
      Overloaded{[&](RowsScanned& e) { return OnRows(std::move(e.rows)); },
                 [&](RowWasRead& e) { return OnSnapshotRow(std::move(e.row)); },
                 [&](ObjectWasRead& e) { return OnSnapshotObject(std::move(e.bytes)); },
                 [&](EntriesFetched& e) { return OnEntries(std::move(e.records)); },
                 [&](StateFetched& e) { return OnPeerState(std::move(e.state)); },
                 [](auto&) { return std::vector<LogAction>{}; }},
      event);
}

std::vector<LogAction> LogReader::OnRows(Result<std::vector<Row>> rows) {
  reading_store_ = false;
  if (!IsOk(rows)) return {};
  if (ValueOf(rows).empty()) {
    caught_up_ = true;
    return {};
  }
  const Result<std::vector<LogRecord>> records = ParseRows(ValueOf(rows));
  if (!IsOk(records)) return {LogUnreadable{head() + 1, ErrorOf(records).detail}};
  const std::vector<LogRecord>& found = ValueOf(records);
  if (found.front().sequence > head() + 1) {
    // The rows in between were deleted by compaction: a snapshot covers them.
    reading_store_ = true;
    return {ReadRow{std::string(detail::kSnapshotKey)}};
  }
  std::vector<LogAction> actions;
  const bool whole = found.size() < kRowsPerScan &&
                     found.back().sequence - found.front().sequence == found.size() - 1;
  caught_up_ = caught_up_ || whole;
  if (Advance(found)) actions.emplace_back(PublishState{});
  if (found.size() == kRowsPerScan) {
    for (LogAction& action : Scan()) actions.push_back(std::move(action));
  }
  return actions;
}

std::vector<LogAction> LogReader::OnSnapshotRow(Result<std::optional<Row>> row) {
  reading_store_ = false;
  if (!IsOk(row) || !ValueOf(row)) return {};
  const Result<detail::SnapshotRow> snapshot = detail::ParseSnapshotRow(ValueOf(row)->value);
  if (!IsOk(snapshot)) return {LogUnreadable{head() + 1, ErrorOf(snapshot).detail}};
  if (ValueOf(snapshot).sequence <= head()) return {};
  reading_store_ = true;
  return {GetObject{detail::SnapshotObjectKey(ValueOf(snapshot).sequence)}};
}

std::vector<LogAction> LogReader::OnSnapshotObject(Result<std::string> bytes) {
  reading_store_ = false;
  if (!IsOk(bytes)) return {};  // the next Poll retries
  Result<ControlState> state = ParseControlState(ValueOf(bytes));
  if (!IsOk(state)) return {LogUnreadable{head() + 1, ErrorOf(state).detail}};
  std::vector<LogAction> actions;
  if (Advance(std::move(ValueOf(state)))) actions.emplace_back(PublishState{});
  for (LogAction& action : Scan()) actions.push_back(std::move(action));
  return actions;
}

std::vector<LogAction> LogReader::OnEntries(Result<std::vector<LogRecord>> records) {
  if (!IsOk(records)) {
    if (ErrorOf(records).kind == ErrorKind::kNotFound && fetching_from_) {
      return {FetchState{*fetching_from_}};
    }
    fetching_from_.reset();
    peer_head_ = head();  // the next gossip message with a higher sequence retries
    return {};
  }
  std::vector<LogAction> actions;
  const bool advanced = Advance(ValueOf(records));
  caught_up_ = caught_up_ || (advanced && head() >= peer_head_);
  if (advanced) actions.emplace_back(PublishState{});
  if (!advanced) peer_head_ = head();
  for (LogAction& action : ContinueFetch()) actions.push_back(std::move(action));
  return actions;
}

std::vector<LogAction> LogReader::OnPeerState(Result<ControlState> state) {
  std::vector<LogAction> actions;
  const bool advanced = IsOk(state) && Advance(std::move(ValueOf(state)));
  caught_up_ = caught_up_ || (advanced && head() >= peer_head_);
  if (advanced) actions.emplace_back(PublishState{});
  if (!advanced) peer_head_ = head();
  for (LogAction& action : ContinueFetch()) actions.push_back(std::move(action));
  return actions;
}

// Continues with the same peer if a higher sequence than the head was reported.
std::vector<LogAction> LogReader::ContinueFetch() {
  const std::optional<NodeId> peer = std::exchange(fetching_from_, std::nullopt);
  if (!peer || peer_head_ <= head()) return {};
  fetching_from_ = peer;
  return {FetchEntries{*peer, head()}};
}

bool LogReader::Advance(std::span<const LogRecord> records) {
  std::shared_ptr<ControlState> next;
  for (const LogRecord& record : records) {
    const Sequence head = next ? next->sequence : state_->sequence;
    if (record.sequence <= head) continue;
    if (record.sequence != head + 1) break;
    if (!next) next = std::make_shared<ControlState>(*state_);
    Apply(*next, record);
    AddToWindow(record);
  }
  if (!next) return false;
  state_ = std::move(next);
  return true;
}

bool LogReader::Advance(ControlState state) {
  if (state.sequence <= head()) return false;
  window_.clear();  // it would no longer be contiguous with the head
  window_bytes_ = 0;
  state_ = std::make_shared<const ControlState>(std::move(state));
  return true;
}

void LogReader::AddToWindow(const LogRecord& record) {
  const std::size_t bytes = ToJson(record).size();
  window_.push_back({record, bytes});
  window_bytes_ += bytes;
  while (window_.size() > kWindowEntries || window_bytes_ > kWindowBytes) {
    window_bytes_ -= window_.front().bytes;
    window_.pop_front();
  }
}

std::optional<std::vector<LogRecord>> LogReader::EntriesAfter(Sequence after,
                                                              std::size_t max_bytes) const {
  std::vector<LogRecord> records;
  if (after >= head()) return records;
  if (window_.empty() || window_.front().record.sequence > after + 1) return std::nullopt;
  std::size_t bytes = 0;
  const std::size_t skip = after + 1 - window_.front().record.sequence;
  for (auto entry = window_.begin() + static_cast<std::ptrdiff_t>(skip); entry != window_.end();
       ++entry) {
    bytes += entry->bytes;
    if (!records.empty() && bytes > max_bytes) break;
    records.push_back(entry->record);
  }
  return records;
}

}  // namespace figmill
