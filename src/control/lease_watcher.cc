#include <utility>

#include "control/lease_row.h"
#include "figmill/control.h"

namespace figmill {

LeaseWatcher::LeaseWatcher(LeaseSettings settings, RandomBits random)
    : settings_(std::move(settings)), random_(std::move(random)) {}

std::vector<LeaseAction> LeaseWatcher::Tick(Time /*now*/) {
  if (busy_) return {};
  busy_ = true;
  return {ReadRow{detail::LeaseKey(settings_.name)}};
}

std::vector<LeaseAction> LeaseWatcher::On(Time now, LeaseEvent event) {
  busy_ = false;
  return std::visit(Overloaded{[&](const RowWasRead& e) { return OnRow(now, e.row); },
                               [&](const CommitEnded& e) { return OnOutcome(now, e.outcome); }},
                    event);
}

std::vector<LeaseAction> LeaseWatcher::OnRow(Time now, const Result<std::optional<Row>>& read) {
  // A read that failed proves nothing, and the time already watched still
  // counts: a take-over requires the row as it was seen at the start.
  if (!IsOk(read)) return {};
  const std::optional<Row>& row = ValueOf(read);
  if (!Note(now, row)) return {};
  if (tried_at_ && seen_ && seen_->token == tried_.token) return Taken(version_);
  const bool free = !seen_ || seen_->holder.empty();
  const bool lapsed = unchanged_since_ && now - *unchanged_since_ >= settings_.term;
  if (!free && !lapsed) return {};
  return TakeOver(now);
}

// False if the row can't be read: taking it over would start the epoch anew.
bool LeaseWatcher::Note(Time now, const std::optional<Row>& row) {
  const RowVersion version = row ? row->version : 0;
  if (unchanged_since_ && version == version_) return !row || seen_;
  version_ = version;
  unchanged_since_ = now;
  seen_ = detail::LeaseOf(row);
  return !row || seen_;
}

std::vector<LeaseAction> LeaseWatcher::TakeOver(Time now) {
  const Epoch epoch = (seen_ ? seen_->epoch : 0) + 1;
  // A try whose answer was lost goes out again as it was: whichever lands, the
  // token and the earlier time of sending hold for both.
  const bool again = tried_at_ && tried_.epoch == epoch && tried_version_ == version_;
  if (!again) {
    tried_ = LeaseRow{GenerateToken(random_), settings_.holder, settings_.incarnation, epoch, 0};
    tried_version_ = version_;
    tried_at_ = now;
  }
  busy_ = true;
  return {detail::LeaseWrite(settings_.name, version_, tried_)};
}

std::vector<LeaseAction> LeaseWatcher::OnOutcome(Time now, const TransactionOutcome& outcome) {
  return std::visit(Overloaded{[&](const Committed& committed) {
                                 if (committed.rows.empty()) return Tick(now);
                                 return Taken(committed.rows.front().version);
                               },
                               [&](const Rejected&) { return Tick(now); },
                               [&](const NotWritten&) { return std::vector<LeaseAction>{}; },
                               [&](const FateUnknown&) { return Tick(now); }},
                    outcome);
}

std::vector<LeaseAction> LeaseWatcher::Taken(RowVersion version) {
  busy_ = true;  // this watcher is done; the holder takes its place
  return {LeaseTaken{LeaseGrant{tried_.epoch, version, tried_.renewals, *tried_at_}}};
}

}  // namespace figmill
