#include <algorithm>
#include <utility>

#include "control/log_rows.h"
#include "figmill/control.h"

namespace figmill {
namespace {

constexpr std::size_t kMaxQueued = 64;
constexpr std::uint32_t kRowsPerScan = 256;
// Attempts before an append fails with kConflict.
constexpr int kMaxAttempts = 32;

Error StoreError(std::string why) {
  return Error{ErrorKind::kStoreUnavailable, std::move(why), Ran::kNo};
}

std::string DescribeWinner(const LogRecord& record) {
  return "'" + Describe(record.entry) + "' by " + record.author + " won at sequence " +
         std::to_string(record.sequence);
}

// Describes the newest of the records, if there is one.
std::string DescribeNewestWinner(const std::optional<std::vector<LogRecord>>& concurrent) {
  return concurrent && !concurrent->empty() ? DescribeWinner(concurrent->back())
                                            : std::string("another entry won");
}

}  // namespace

LogWriter::LogWriter(LogReader& reader, RandomBits random)
    : reader_(reader), random_(std::move(random)) {}

std::vector<LogAction> LogWriter::Append(std::uint64_t append, ControlEntry entry,
                                         std::string author, std::optional<Sequence> if_version,
                                         std::optional<Sequence> built_on) {
  if (queue_.size() >= kMaxQueued) {
    return {AnswerAppend{append, Error{ErrorKind::kOverloaded,
                                       "too many orders are queued on this node", Ran::kNo}}};
  }
  queue_.push_back({append, std::move(entry), std::move(author), if_version, built_on});
  if (queue_.size() > 1) return {};
  return StartNext();
}

bool LogWriter::CancelQueued(std::uint64_t append) {
  const auto waiting = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const Pending& each) { return each.append == append; });
  if (waiting == queue_.end() || waiting == queue_.begin()) return false;
  queue_.erase(waiting);
  return true;
}

std::vector<LogAction> LogWriter::StartNext() {
  base_sequence_.reset();
  attempts_ = 0;
  return CatchUp();
}

// Scans from the head row on, including it: its version is a condition of the commit.
std::vector<LogAction> LogWriter::CatchUp() {
  state_ = State::kCatchingUp;
  head_version_.reset();
  may_be_committed_ = false;
  scanned_from_ = reader_.head();
  const std::string after = scanned_from_ <= 1 ? std::string{} : LogKey(scanned_from_ - 1);
  return {ScanRows{RowRange{std::string(detail::kLogPrefix), after, kRowsPerScan}}};
}

std::vector<LogAction> LogWriter::On(LogEvent event) {
  return std::visit(Overloaded{[&](RowsScanned& e) { return OnRows(std::move(e.rows)); },
                               [&](CommitEnded& e) { return OnCommit(std::move(e.outcome)); },
                               [&](RowWasRead& e) { return OnReadBack(std::move(e.row)); },
                               [](auto&) { return std::vector<LogAction>{}; }},
                    event);
}

std::vector<LogAction> LogWriter::Tick() {
  if (state_ != State::kReadBackPending) return {};
  state_ = State::kReadingBack;
  return {ReadRow{LogKey(record_.sequence)}};
}

std::vector<LogAction> LogWriter::OnRows(Result<std::vector<Row>> rows) {
  if (!IsOk(rows)) return Finish(StoreError(ErrorOf(rows).detail));
  std::vector<LogRecord> records;
  for (const Row& row : ValueOf(rows)) {
    Result<LogRecord> record = ParseLogRecord(row.value);
    if (!IsOk(record)) return Finish(Error{ErrorKind::kInternal, row.key + " can't be read"});
    records.push_back(std::move(ValueOf(record)));
  }
  const bool continues = scanned_from_ == 0
                             ? records.empty() || records.front().sequence == 1
                             : !records.empty() && records.front().sequence == scanned_from_;
  if (!continues) {
    return Finish(Error{ErrorKind::kStaleOrders,
                        "this node is behind the compacted part of the log and is catching up",
                        Ran::kNo});
  }
  std::vector<LogAction> actions;
  if (reader_.Advance(records)) actions.emplace_back(PublishState{});
  const bool at_head = reader_.head() == (records.empty() ? 0 : records.back().sequence);
  const bool more = records.size() == kRowsPerScan || !at_head;
  if (at_head && !records.empty()) head_version_ = ValueOf(rows).back().version;
  for (LogAction& action : more ? CatchUp() : Validate()) actions.push_back(std::move(action));
  return actions;
}

std::vector<LogAction> LogWriter::Validate() {
  const Pending& pending = queue_.front();
  const ControlState& state = *reader_.state();
  if (pending.if_version && *pending.if_version != state.sequence) {
    return Finish(Error{ErrorKind::kStaleVersion,
                        "the configuration is at " + std::to_string(state.sequence) + ", not " +
                            std::to_string(*pending.if_version) + ": '" + state.change + "' by " +
                            state.author + " came last",
                        Ran::kNo});
  }
  if (!base_sequence_)
    base_sequence_ = std::min(state.sequence, pending.built_on.value_or(state.sequence));
  const auto concurrent = reader_.EntriesAfter(*base_sequence_, SIZE_MAX);
  if (!concurrent) {
    return Finish(
        Error{ErrorKind::kConflict, "too many other orders were committed meanwhile", Ran::kNo});
  }
  for (const LogRecord& record : *concurrent) {
    if (Conflicts(record.entry, pending.entry)) {
      return Finish(Error{ErrorKind::kConflict, DescribeWinner(record), Ran::kNo});
    }
  }
  const Result<Ok> valid = CheckEntry(state, pending.entry);
  if (IsOk(valid)) return Commit();
  if (concurrent->empty()) return Finish(ErrorOf(valid));
  return Finish(Error{ErrorKind::kConflict,
                      DescribeNewestWinner(concurrent) + "; now " + ErrorOf(valid).detail,
                      Ran::kNo});
}

std::vector<LogAction> LogWriter::Commit() {
  if (!may_be_committed_) {
    record_ = LogRecord{reader_.head() + 1, GenerateToken(random_), queue_.front().author,
                        queue_.front().entry};
    head_condition_ = reader_.head() == 0 ? RowCondition{std::string(detail::kSnapshotKey), 0}
                                          : RowCondition{LogKey(reader_.head()), *head_version_};
  }
  state_ = State::kCommitting;
  const std::string key = LogKey(record_.sequence);
  return {CommitRows{
      Transaction{{head_condition_, RowCondition{key, 0}}, {PutRow{key, ToJson(record_)}}}}};
}

std::vector<LogAction> LogWriter::OnCommit(TransactionOutcome outcome) {
  return std::visit(Overloaded{[&](const Committed&) { return OnCommitted(); },
                               [&](const Rejected& rejected) { return OnRejected(rejected); },
                               [&](const NotWritten& refused) {
                                 // This attempt wrote nothing, but an earlier one may have.
                                 if (!may_be_committed_) return Finish(StoreError(refused.why));
                                 state_ = State::kReadBackPending;
                                 return std::vector<LogAction>{};
                               },
                               [&](const FateUnknown&) {
                                 may_be_committed_ = true;
                                 state_ = State::kReadingBack;
                                 return std::vector<LogAction>{ReadRow{LogKey(record_.sequence)}};
                               }},
                    outcome);
}

std::vector<LogAction> LogWriter::OnRejected(const Rejected& rejected) {
  const std::string key = LogKey(record_.sequence);
  for (const Row& row : rejected.current) {
    if (row.key == key && row.version != 0) return OnReadBack(std::optional<Row>(row));
  }
  // This append's row is absent, so the condition on the head row failed: the row was
  // compacted. If an earlier attempt may have been committed, its outcome can't be
  // determined any more.
  if (may_be_committed_) {
    return Finish(Error{ErrorKind::kOutcomeUnknown,
                        "the log was compacted before the order's outcome could be read",
                        Ran::kUnknown});
  }
  return OnRaceLost();
}

// An absent row may still appear while the write with the unknown outcome is in flight.
// Committing the same record again resolves this: the row is created exactly once, by
// whichever attempt arrives first.
std::vector<LogAction> LogWriter::OnReadBack(Result<std::optional<Row>> row) {
  if (!IsOk(row)) {
    state_ = State::kReadBackPending;
    return {};
  }
  if (!ValueOf(row)) return Commit();
  const Result<LogRecord> record = ParseLogRecord(ValueOf(row)->value);
  if (IsOk(record) && ValueOf(record).token == record_.token) return OnCommitted();
  return OnRaceLost();
}

std::vector<LogAction> LogWriter::OnRaceLost() {
  if (++attempts_ < kMaxAttempts) return CatchUp();
  return Finish(
      Error{ErrorKind::kConflict, "concurrent orders won every attempt; try again", Ran::kNo});
}

std::vector<LogAction> LogWriter::OnCommitted() {
  std::vector<LogAction> actions;
  if (reader_.Advance(std::span(&record_, 1))) actions.emplace_back(PublishState{});
  for (LogAction& action : Finish(record_.sequence)) actions.push_back(std::move(action));
  return actions;
}

std::vector<LogAction> LogWriter::Finish(Result<Sequence> outcome) {
  std::vector<LogAction> actions = {AnswerAppend{queue_.front().append, std::move(outcome)}};
  queue_.pop_front();
  state_ = State::kIdle;
  may_be_committed_ = false;
  if (queue_.empty()) return actions;
  for (LogAction& action : StartNext()) actions.push_back(std::move(action));
  return actions;
}

}  // namespace figmill
