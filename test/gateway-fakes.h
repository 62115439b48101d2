#pragma once

// An in-memory table service that can drop or reject calls and stall its feeds, and helpers that
// run a loop for a time or until a condition is met.

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "figmill/runtime.h"
#include "figmill/tables.h"

namespace figmill::fake {

// Runs the loop until `done` returns true; fails the test after `timeout`.
inline void RunUntil(Loop& loop, const std::function<bool()>& done,
                     Duration timeout = Duration{5'000'000}) {
  const Time end = Loop::Now() + timeout;
  const Timer check = loop.Every(Duration{1'000}, [&] {
    if (done() || Loop::Now() >= end) loop.Stop();
  });
  loop.Run();
  loop.Restart();
  REQUIRE(done());
}

// Runs the loop for `time`, for tests that check that something doesn't happen.
inline void RunFor(Loop& loop, Duration time) {
  const Timer end = loop.After(time, [&loop] { loop.Stop(); });
  loop.Run();
  loop.Restart();
}

// The contents of one store, which several clients may share.
struct TableData {
  std::map<TableKey, TableRow> rows;
  std::vector<TableRow> history;
  RowVersion version = 0;
};

class Tables final : public SharedTables {
 public:
  Tables(Loop& loop, TableData& data) : loop_(loop), data_(data) {}

  // Faults to inject into the calls that follow.
  int lose_answers = 0;       // so many commits take effect, but their answers are lost
  bool refuse = false;        // commits report that nothing was written, and reads fail
  bool unresponsive = false;  // commits have no effect and get no answer; reads fail
  bool feed_stalled = false;  // feeds report no changes
  bool history_lost = false;  // the next feed that ends reports that, once
  Duration lateness{0};       // of the answers to commits and reads; feeds are on time
  // Wait times that Follow was called with, newest last.
  std::vector<Duration> feed_waits;
  int reads = 0;
  int commits = 0;

  void Commit(TableTransaction transaction, std::function<void(TableOutcome)> done) override {
    ++commits;
    if (refuse) return Later([done] { done(NotWritten{"refused"}); });
    if (unresponsive) return Later([done] { done(FateUnknown{"no answer"}); }, kLostAnswerDelay);
    TableOutcome outcome = Apply(transaction);
    if (lose_answers > 0) {
      --lose_answers;
      return Later([done] { done(FateUnknown{"no answer"}); }, kLostAnswerDelay);
    }
    Later([done, outcome] { done(outcome); }, kAnswerDelay + lateness);
  }

  void Read(TableRange range, std::function<void(Result<TablePage>)> done) override {
    ++reads;
    if (refuse || unresponsive) return Later([done] { done(Unavailable()); });
    TablePage page;
    for (const auto& [at, row] : data_.rows) {
      if (at.table != range.table || at.part != range.part || at.key < range.from) continue;
      if (!range.to.empty() && at.key >= range.to) continue;
      page.truncated = page.rows.size() >= range.limit;
      if (page.truncated) break;
      page.rows.push_back(row);
    }
    page.version = data_.version;
    page.now = Clock();
    Later([done, page] { done(page); }, kAnswerDelay + lateness);
  }

  void ListParts(std::string /*table*/, std::string /*after*/,
                 std::function<void(Result<std::vector<std::string>>)> done) override {
    Later([done] { done(std::vector<std::string>{}); });
  }

  void Follow(std::string table, RowVersion after, Duration wait,
              std::function<void(FeedOutcome)> done) override {
    feed_waits.push_back(wait);
    PollFeed(std::move(table), after, Loop::Now() + wait, std::move(done));
  }

 private:
  static constexpr Duration kAnswerDelay{500};
  static constexpr Duration kLostAnswerDelay{300'000};

  // A clock with its own epoch, as a store on another host has.
  static StoreTime Clock() {
    static const Time kStart = Loop::Now();
    return Loop::Now() - kStart + std::chrono::seconds(1);
  }
  static Error Unavailable() { return {ErrorKind::kStoreUnavailable, "down"}; }

  void Later(std::function<void()> task, Duration delay = kAnswerDelay) {
    loop_.Later(delay, std::move(task));
  }

  void PollFeed(std::string table, RowVersion after, Time end,
                std::function<void(FeedOutcome)> done) {
    if (refuse || unresponsive) return Later([done] { done(Unavailable()); });
    TableChanges changes;
    if (!feed_stalled) {
      for (const TableRow& row : data_.history) {
        if (row.at.table == table && row.version > after) changes.rows.push_back(row);
      }
    }
    if (!changes.rows.empty() && std::exchange(history_lost, false)) {
      return Later([done] { done(HistoryLost{}); });
    }
    if (changes.rows.empty() && Loop::Now() < end) {
      return Later([this, table, after, end, done] { PollFeed(table, after, end, done); },
                   Duration{2'000});
    }
    changes.version = feed_stalled ? after : data_.version;
    changes.now = Clock();
    Later([done, changes] { done(changes); });
  }

  TableOutcome Apply(const TableTransaction& transaction) {
    TableRejected rejected;
    bool conditions_met = true;
    for (const TableCondition& condition : transaction.conditions) {
      const auto found = data_.rows.find(condition.at);
      const RowVersion version = found == data_.rows.end() ? 0 : found->second.version;
      conditions_met &= version == condition.version;
      if (found != data_.rows.end()) rejected.current.push_back(found->second);
    }
    if (!conditions_met) return rejected;
    ++data_.version;
    for (const TablePut& put : transaction.puts) {
      data_.rows[put.at] = {put.at, put.value, data_.version, false};
      data_.history.push_back(data_.rows[put.at]);
    }
    for (const TableKey& at : transaction.removes) {
      data_.rows.erase(at);
      data_.history.push_back({at, "", data_.version, true});
    }
    return TableCommitted{data_.version, Clock()};
  }

  Loop& loop_;
  TableData& data_;
};

}  // namespace figmill::fake
