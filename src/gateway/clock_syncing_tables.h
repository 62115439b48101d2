#pragma once

// Wraps SharedTables and sets a StoreClock from the store's time in each response.

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/runtime.h"
#include "figmill/store_clock.h"
#include "figmill/tables.h"
#include "gateway/log_text.h"

namespace figmill {

// Done here and not by the users of the tables: a process that takes a job over by a call of
// which nobody reads the time would run the job without knowing when it expires.
class ClockSyncingTables final : public SharedTables {
 public:
  ClockSyncingTables(SharedTables& tables, StoreClock& clock) : tables_(tables), clock_(clock) {}

  void Commit(TableTransaction transaction, std::function<void(TableOutcome)> done) override {
    tables_.Commit(std::move(transaction), [this, called_at = Loop::SinceBoot(),
                                            done = std::move(done)](TableOutcome outcome) {
      const auto* committed = std::get_if<TableCommitted>(&outcome);
      const auto* rejected = std::get_if<TableRejected>(&outcome);
      if (committed != nullptr) SyncClock(called_at, committed->now);
      if (rejected != nullptr) SyncClock(called_at, rejected->now);
      done(std::move(outcome));
    });
  }
  void Read(TableRange range, std::function<void(Result<TablePage>)> done) override {
    tables_.Read(std::move(range), [this, called_at = Loop::SinceBoot(),
                                    done = std::move(done)](Result<TablePage> page) {
      if (IsOk(page)) SyncClock(called_at, ValueOf(page).now);
      done(std::move(page));
    });
  }
  void ListParts(std::string table, std::string after,
                 std::function<void(Result<std::vector<std::string>>)> done) override {
    tables_.ListParts(std::move(table), std::move(after), std::move(done));
  }
  void Follow(std::string table, RowVersion after, Duration wait,
              std::function<void(FeedOutcome)> done) override {
    tables_.Follow(
        std::move(table), after, wait,
        [this, called_at = Loop::SinceBoot(), done = std::move(done)](FeedOutcome outcome) {
          const auto* changes = std::get_if<TableChanges>(&outcome);
          if (changes != nullptr) SyncClock(called_at, changes->now);
          done(std::move(outcome));
        });
  }

 private:
  void SyncClock(StoreClock::HostTime called_at, std::optional<StoreTime> made_at) {
    if (!made_at) return;
    const StoreClock::HostTime now = Loop::SinceBoot();
    const std::optional<StoreTime> before = clock_.Earliest(now);
    if (clock_.AddSample({*made_at, called_at, now})) return;
    Log(LogLevel::kWarning, "store_clock_set",
        {{"told_ms", Milliseconds(*made_at)}, {"before_ms", Milliseconds(*before)}});
  }

  SharedTables& tables_;
  StoreClock& clock_;
};

}  // namespace figmill
