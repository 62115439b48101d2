#include <algorithm>
#include <memory>

#include "figmilld/batch/store_scan.h"
#include "figmilld/traffic/work_tables.h"

namespace figmill {
namespace {

constexpr std::string_view kLogPrefix = "log/";

// Replays the log up to one sequence with a reader of its own.
class Replay : public std::enable_shared_from_this<Replay> {
 public:
  using Done = std::function<void(Result<std::shared_ptr<const ControlState>>)>;
  Replay(TableStore& table, ObjectStore& objects, Sequence at, Done done)
      : table_(table), objects_(objects), at_(at), done_(std::move(done)) {}

  void Start() { Carry(reader_.Poll()); }

 private:
  // The reader has at most one call under way, and none once it is at the head.
  void Carry(const std::vector<LogAction>& actions) {
    bool called = false;
    for (const LogAction& action : actions) called = Call(action) || called;
    if (!called) Finish();
  }

  bool Call(const LogAction& action) {
    const auto self = shared_from_this();
    return std::visit(Overloaded{
                          [&](const ScanRows& scan) {
                            table_.Scan(scan.range, [self](Result<std::vector<Row>> rows) {
                              self->On(RowsScanned{self->UpToTarget(std::move(rows))});
                            });
                            return true;
                          },
                          [&](const ReadRow& read) {
                            table_.Read(read.key, [self](Result<std::optional<Row>> row) {
                              if (!IsOk(row)) self->failure_ = ErrorOf(row);
                              self->On(RowWasRead{std::move(row)});
                            });
                            return true;
                          },
                          [&](const GetObject& get) {
                            objects_.Get(get.key, [self](Result<std::string> bytes) {
                              if (!IsOk(bytes)) self->failure_ = ErrorOf(bytes);
                              self->On(ObjectWasRead{std::move(bytes)});
                            });
                            return true;
                          },
                          [](const auto&) { return false; },
                      },
                      action);
  }

  Result<std::vector<Row>> UpToTarget(Result<std::vector<Row>> rows) {
    if (!IsOk(rows)) {
      failure_ = ErrorOf(rows);
      return rows;
    }
    const std::string last = LogKey(at_);
    std::erase_if(ValueOf(rows), [&](const Row& row) { return row.key > last; });
    return rows;
  }

  void On(LogEvent event) {
    const std::vector<LogAction> actions = reader_.On(std::move(event));
    if (reader_.head() >= at_) return Finish();
    Carry(actions);
  }

  void Finish() {
    if (reader_.head() == at_) return done_(reader_.state());
    if (failure_) return done_(*failure_);
    done_(Error{ErrorKind::kNotFound,
                "the log no longer reaches back to version " + std::to_string(at_)});
  }

  TableStore& table_;
  ObjectStore& objects_;
  Sequence at_;
  Done done_;
  LogReader reader_;
  std::optional<Error> failure_;
};

}  // namespace

void ReadLog(TableStore& table, Sequence since, TableDone done) {
  auto records = std::make_shared<std::vector<LogRecord>>();
  ScanAll(
      table, std::string(kLogPrefix), since == 0 ? std::string() : LogKey(since),
      [records](std::span<const Row> rows) {
        for (const Row& row : rows) {
          Result<LogRecord> record = ParseLogRecord(row.value);
          if (IsOk(record)) records->push_back(std::move(ValueOf(record)));
        }
        return true;
      },
      [records, done = std::move(done)](const Result<Ok>& scanned) {
        if (!IsOk(scanned)) return done(ErrorOf(scanned));
        done(query::LogTable(*records));
      });
}

void ReadFoldAt(TableStore& table, ObjectStore& objects, Sequence at,
                std::function<void(Result<std::shared_ptr<const ControlState>>)> done) {
  std::make_shared<Replay>(table, objects, at, std::move(done))->Start();
}

}  // namespace figmill
