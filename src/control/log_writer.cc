#include <algorithm>
#include <utility>

#include "control/log_rows.h"
#include "figmill/control.h"

namespace figmill {
namespace {

constexpr std::size_t kMaxWaiting = 64;
constexpr std::uint32_t kRowsPerScan = 256;
// Lost races before an operator is told to come back.
constexpr int kMaxAttempts = 32;

Error StoreError(std::string why) {
  return Error{ErrorKind::kStoreUnavailable, std::move(why), Ran::kNo};
}

std::string Winner(const LogRecord& record) {
  return "'" + Describe(record.entry) + "' by " + record.author + " won at sequence " +
         std::to_string(record.sequence);
}

// The newest of the records, or empty text.
std::string WinnerOf(const std::optional<std::vector<LogRecord>>& raced) {
  return raced && !raced->empty() ? Winner(raced->back()) : std::string("another entry won");
}

}  // namespace

LogWriter::LogWriter(LogReader& reader, RandomBits random)
    : reader_(reader), random_(std::move(random)) {}

std::vector<LogAction> LogWriter::Append(std::uint64_t append, ControlEntry entry,
                                         std::string author, std::optional<Sequence> if_version,
                                         std::optional<Sequence> built_on) {
  if (queue_.size() >= kMaxWaiting) {
    return {AnswerAppend{
        append, Error{ErrorKind::kOverloaded, "too many orders are waiting here", Ran::kNo}}};
  }
  queue_.push_back({append, std::move(entry), std::move(author), if_version, built_on});
  if (queue_.size() > 1) return {};
  return Begin();
}

bool LogWriter::Withdraw(std::uint64_t append) {
  const auto waiting = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const Pending& each) { return each.append == append; });
  if (waiting == queue_.end() || waiting == queue_.begin()) return false;
  queue_.erase(waiting);
  return true;
}

std::vector<LogAction> LogWriter::Begin() {
  base_.reset();
  attempts_ = 0;
  return CatchUp();
}

// Reads the head row itself too: its version is a condition of the commit.
std::vector<LogAction> LogWriter::CatchUp() {
  state_ = State::kCatchingUp;
  head_version_.reset();
  may_have_landed_ = false;
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
  if (state_ != State::kUnknown) return {};
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
                        "this node has fallen behind the log's compaction and is catching up",
                        Ran::kNo});
  }
  std::vector<LogAction> actions;
  if (reader_.Offer(records)) actions.emplace_back(PublishFold{});
  const bool at_head = reader_.head() == (records.empty() ? 0 : records.back().sequence);
  const bool more = records.size() == kRowsPerScan || !at_head;
  if (at_head && !records.empty()) head_version_ = ValueOf(rows).back().version;
  for (LogAction& action : more ? CatchUp() : Validate()) actions.push_back(std::move(action));
  return actions;
}

std::vector<LogAction> LogWriter::Validate() {
  const Pending& pending = queue_.front();
  const Fold& fold = *reader_.fold();
  if (pending.if_version && *pending.if_version != fold.sequence) {
    return Finish(Error{ErrorKind::kStaleVersion,
                        "the configuration is at " + std::to_string(fold.sequence) + ", not " +
                            std::to_string(*pending.if_version) + ": '" + fold.change + "' by " +
                            fold.author + " came last",
                        Ran::kNo});
  }
  if (!base_) base_ = std::min(fold.sequence, pending.built_on.value_or(fold.sequence));
  const auto raced = reader_.EntriesAfter(*base_, SIZE_MAX);
  if (!raced) {
    return Finish(Error{ErrorKind::kConflict, "too many other orders won meanwhile", Ran::kNo});
  }
  for (const LogRecord& record : *raced) {
    if (Clash(record.entry, pending.entry)) {
      return Finish(Error{ErrorKind::kConflict, Winner(record), Ran::kNo});
    }
  }
  const Result<Ok> valid = Check(fold, pending.entry);
  if (IsOk(valid)) return Commit();
  if (raced->empty()) return Finish(ErrorOf(valid));
  return Finish(
      Error{ErrorKind::kConflict, WinnerOf(raced) + "; now " + ErrorOf(valid).detail, Ran::kNo});
}

std::vector<LogAction> LogWriter::Commit() {
  if (!may_have_landed_) {
    record_ = LogRecord{reader_.head() + 1, GenerateToken(random_), queue_.front().author,
                        queue_.front().entry};
    commit_head_ = reader_.head() == 0 ? RowCondition{std::string(detail::kSnapshotKey), 0}
                                       : RowCondition{LogKey(reader_.head()), *head_version_};
  }
  state_ = State::kCommitting;
  const std::string key = LogKey(record_.sequence);
  return {CommitRows{
      Transaction{{commit_head_, RowCondition{key, 0}}, {PutRow{key, ToJson(record_)}}}}};
}

std::vector<LogAction> LogWriter::OnCommit(TransactionOutcome outcome) {
  return std::visit(Overloaded{[&](const Committed&) { return Won(); },
                               [&](const Rejected& rejected) { return OnRejected(rejected); },
                               [&](const NotWritten& refused) {
                                 // This try wrote nothing, but an earlier one may have.
                                 if (!may_have_landed_) return Finish(StoreError(refused.why));
                                 state_ = State::kUnknown;
                                 return std::vector<LogAction>{};
                               },
                               [&](const FateUnknown&) {
                                 may_have_landed_ = true;
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
  // Our row is absent, so the head row is what failed: compaction has passed.
  // If an earlier try may have landed, nothing can tell any more.
  if (may_have_landed_) {
    return Finish(Error{ErrorKind::kOutcomeUnknown,
                        "the log was compacted before the order's fate could be read",
                        Ran::kUnknown});
  }
  return Lost();
}

// An absent row may still appear, if the lost write is under way. Committing the
// same record again settles it: the row is created once, by whichever try lands.
std::vector<LogAction> LogWriter::OnReadBack(Result<std::optional<Row>> row) {
  if (!IsOk(row)) {
    state_ = State::kUnknown;
    return {};
  }
  if (!ValueOf(row)) return Commit();
  const Result<LogRecord> record = ParseLogRecord(ValueOf(row)->value);
  if (IsOk(record) && ValueOf(record).token == record_.token) return Won();
  return Lost();
}

std::vector<LogAction> LogWriter::Lost() {
  if (++attempts_ < kMaxAttempts) return CatchUp();
  return Finish(Error{ErrorKind::kConflict, "other orders won every time; try again", Ran::kNo});
}

std::vector<LogAction> LogWriter::Won() {
  std::vector<LogAction> actions;
  if (reader_.Offer(std::span(&record_, 1))) actions.emplace_back(PublishFold{});
  for (LogAction& action : Finish(record_.sequence)) actions.push_back(std::move(action));
  return actions;
}

std::vector<LogAction> LogWriter::Finish(Result<Sequence> outcome) {
  std::vector<LogAction> actions = {AnswerAppend{queue_.front().append, std::move(outcome)}};
  queue_.pop_front();
  state_ = State::kIdle;
  may_have_landed_ = false;
  if (queue_.empty()) return actions;
  for (LogAction& action : Begin()) actions.push_back(std::move(action));
  return actions;
}

}  // namespace figmill
