#pragma once

// Tables whose answers set a StoreClock: whoever has had an answer knows the time.

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/tables.h"
#include "gateway/store_clock.h"

namespace figmill {

// Not left to the callers: a process that takes a job by a call whose answer nobody
// reads the time from would run it without knowing when its life is over.
class ClockedTables final : public SharedTables {
 public:
  ClockedTables(SharedTables& tables, StoreClock& clock) : tables_(tables), clock_(clock) {}

  void Commit(TableTransaction transaction, std::function<void(TableOutcome)> done) override {
    tables_.Commit(std::move(transaction), [this, done = std::move(done)](TableOutcome outcome) {
      if (const auto* committed = std::get_if<TableCommitted>(&outcome)) Heard(committed->now);
      if (const auto* rejected = std::get_if<TableRejected>(&outcome)) Heard(rejected->now);
      done(std::move(outcome));
    });
  }
  void Read(TableRange range, std::function<void(Result<TablePage>)> done) override {
    tables_.Read(std::move(range), [this, done = std::move(done)](Result<TablePage> page) {
      if (IsOk(page)) Heard(ValueOf(page).now);
      done(std::move(page));
    });
  }
  void ListParts(std::string table, std::string after,
                 std::function<void(Result<std::vector<std::string>>)> done) override {
    tables_.ListParts(std::move(table), std::move(after), std::move(done));
  }
  void Follow(std::string table, RowVersion after, Duration wait,
              std::function<void(FeedOutcome)> done) override {
    tables_.Follow(std::move(table), after, wait,
                   [this, done = std::move(done)](FeedOutcome outcome) {
                     const auto* changes = std::get_if<TableChanges>(&outcome);
                     if (changes != nullptr) Heard(changes->now);
                     done(std::move(outcome));
                   });
  }

 private:
  void Heard(std::optional<StoreTime> at) {
    if (at) clock_.Heard(*at);
  }

  SharedTables& tables_;
  StoreClock& clock_;
};

}  // namespace figmill
