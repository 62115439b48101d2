// Retention: the hour counter in the store, and the deletion of rows by it.

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

// An accepted item that has yet to run is never deleted. Any other claim without an outcome
// is: its sender ended long ago, and no later request asked for its outcome.
bool MayBeDeleted(const OnceRow& row) {
  return row.phase != OncePhase::kQueued &&
         (row.phase != OncePhase::kClaimed || row.request_object.empty());
}

}  // namespace

std::vector<RetentionSweep::Action> RetentionSweep::OnClock(const std::optional<Row>& row,
                                                            Time now) {
  const RowVersion version = row ? row->version : 0;
  if (!clock_unchanged_since_ || version != clock_version_) {
    clock_version_ = version;
    clock_unchanged_since_ = now;
    tick_ = TickOf(row);
    return {};
  }
  if (now - *clock_unchanged_since_ < limits_.tick_length) return {};
  clock_unchanged_since_ =
      now;  // no second increment until the next read shows whether this one succeeded
  Transaction transaction;
  transaction.conditions.push_back(RowCondition{std::string(kRetentionClockKey), version});
  transaction.writes.emplace_back(
      PutRow{std::string(kRetentionClockKey), std::to_string(tick_ + 1)});
  return {Commit{std::move(transaction)}, ReadClock{}};
}

std::vector<RetentionSweep::Action> RetentionSweep::NextPage() {
  return {Scan{RowRange{std::string(kOncePrefix), scan_after_, limits_.page_rows}}};
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
    if (!MayBeDeleted(once) || once.retention_tick + limits_.keep_ticks >= tick_) continue;
    // Objects first: an object whose row was deleted would never be found again.
    for (const std::string& object : {once.outcome.object, once.request_object}) {
      if (!object.empty()) actions.emplace_back(DeleteObject{object});
    }
    transaction.conditions.push_back(RowCondition{row.key, row.version});
    transaction.writes.emplace_back(DeleteRow{row.key});
    if (transaction.writes.size() >= limits_.delete_rows) flush();
  }
  flush();
  scan_after_ = rows.size() < limits_.page_rows ? std::string() : rows.back().key;
  return actions;
}

}  // namespace figmill
