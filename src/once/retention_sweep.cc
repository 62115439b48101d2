// Retention: the store's own count of hours, and the sweep of rows by it.

#include <charconv>

#include "figmill/once.h"

namespace figmill {
namespace {

constexpr std::string_view kOncePrefix = "once/";

std::uint64_t TickOf(const std::optional<Row>& row) {
  std::uint64_t tick = 0;
  if (row) std::from_chars(row->value.data(), row->value.data() + row->value.size(), tick);
  return tick;
}

// An accepted item that is still to run is never swept. A claim without an
// outcome is: its sender is long gone, and nobody asked for its outcome.
bool Sweepable(const OnceRow& row) {
  return row.phase != OncePhase::kQueued &&
         (row.phase != OncePhase::kIntended || row.request_object.empty());
}

}  // namespace

std::vector<RetentionSweep::Action> RetentionSweep::OnClock(const std::optional<Row>& row,
                                                            Time now) {
  const RowVersion version = row ? row->version : 0;
  if (!clock_since_ || version != clock_version_) {
    clock_version_ = version;
    clock_since_ = now;
    tick_ = TickOf(row);
    return {};
  }
  if (now - *clock_since_ < limits_.tick) return {};
  clock_since_ = now;  // not again before the next read shows what became of it
  Transaction transaction;
  transaction.conditions.push_back(RowCondition{std::string(kRetentionClockKey), version});
  transaction.writes.emplace_back(
      PutRow{std::string(kRetentionClockKey), std::to_string(tick_ + 1)});
  return {Commit{std::move(transaction)}, ReadClock{}};
}

std::vector<RetentionSweep::Action> RetentionSweep::NextPage() {
  return {Scan{RowRange{std::string(kOncePrefix), after_, limits_.page_rows}}};
}

std::vector<RetentionSweep::Action> RetentionSweep::OnPage(std::span<const Row> rows) {
  std::vector<Action> actions;
  Transaction transaction;
  const auto flush = [&] {
    if (!transaction.writes.empty()) actions.emplace_back(Commit{std::move(transaction)});
    transaction = {};
  };
  for (const Row& row : rows) {
    const Result<OnceRow> parsed = ParseOnceRow(row.value);
    if (!IsOk(parsed)) continue;
    const OnceRow& once = ValueOf(parsed);
    if (!Sweepable(once) || once.tick + limits_.keep_ticks >= tick_) continue;
    // Objects first: one whose row is gone would never be found again.
    for (const std::string& object : {once.outcome.object, once.request_object}) {
      if (!object.empty()) actions.emplace_back(DeleteObject{object});
    }
    transaction.conditions.push_back(RowCondition{row.key, row.version});
    transaction.writes.emplace_back(DeleteRow{row.key});
    if (transaction.writes.size() >= limits_.delete_rows) flush();
  }
  flush();
  after_ = rows.size() < limits_.page_rows ? std::string() : rows.back().key;
  return actions;
}

}  // namespace figmill
