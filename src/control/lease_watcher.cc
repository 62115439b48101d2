#include <utility>

#include "control/lease_row.h"
#include "figmill/control.h"

namespace figmill {
namespace {

constexpr int kReadsPerTerm = 4;

}  // namespace

LeaseWatcher::LeaseWatcher(LeaseSettings settings, RandomBits random)
    : settings_(std::move(settings)), random_(std::move(random)) {}

bool LeaseWatcher::IsReadDue(Time now) const {
  if (!last_read_ || now - *last_read_ >= settings_.term / kReadsPerTerm) return true;
  if (!unchanged_since_) return false;
  const Time expires = *unchanged_since_ + settings_.term;
  return *last_read_ < expires && now >= expires;
}

std::vector<LeaseAction> LeaseWatcher::Tick(Time now) {
  if (busy_) return {};
  busy_ = true;
  last_read_ = now;
  return {ReadRow{detail::LeaseKey(settings_.name)}};
}

std::vector<LeaseAction> LeaseWatcher::On(Time now, LeaseEvent event) {
  busy_ = false;
  return std::visit(Overloaded{[&](const RowWasRead& e) { return OnRow(now, e.row); },
                               [&](const CommitEnded& e) { return OnOutcome(now, e.outcome); }},
                    event);
}

std::vector<LeaseAction> LeaseWatcher::OnRow(Time now, const Result<std::optional<Row>>& read) {
  // A failed read doesn't restart the waiting time: a takeover requires the row version
  // that was read at its start, so an unseen renewal makes it fail.
  if (!IsOk(read)) return {};
  const std::optional<Row>& row = ValueOf(read);
  if (!Observe(now, row)) return {};
  if (attempt_sent_ && seen_ && seen_->token == attempt_.token) return Acquired(version_);
  const bool free = !seen_ || seen_->holder.empty();
  const bool lapsed = unchanged_since_ && now - *unchanged_since_ >= settings_.term;
  if (!free && !lapsed) return {};
  return TakeOver(now);
}

// False if the row is malformed: taking it over would restart the epoch.
bool LeaseWatcher::Observe(Time now, const std::optional<Row>& row) {
  const RowVersion version = row ? row->version : 0;
  if (unchanged_since_ && version == version_) return !row || seen_;
  version_ = version;
  unchanged_since_ = now;
  seen_ = detail::LeaseFromRow(row);
  return !row || seen_;
}

std::vector<LeaseAction> LeaseWatcher::TakeOver(Time now) {
  const Epoch epoch = (seen_ ? seen_->epoch : 0) + 1;
  // An attempt with an unknown outcome is sent again unchanged: whichever copy takes
  // effect, the token and the earlier sending time are valid for both.
  const bool is_retry = attempt_sent_ && attempt_.epoch == epoch && attempt_version_ == version_;
  if (!is_retry) {
    attempt_ = LeaseRow{GenerateToken(random_), settings_.holder, settings_.incarnation, epoch, 0};
    attempt_version_ = version_;
    attempt_sent_ = now;
  }
  busy_ = true;
  return {detail::ConditionalLeaseWrite(settings_.name, version_, attempt_)};
}

std::vector<LeaseAction> LeaseWatcher::OnOutcome(Time now, const TransactionOutcome& outcome) {
  return std::visit(Overloaded{[&](const Committed& committed) {
                                 if (committed.rows.empty()) return Tick(now);
                                 return Acquired(committed.rows.front().version);
                               },
                               [&](const Rejected&) { return Tick(now); },
                               [&](const NotWritten&) { return std::vector<LeaseAction>{}; },
                               [&](const FateUnknown&) { return Tick(now); }},
                    outcome);
}

std::vector<LeaseAction> LeaseWatcher::Acquired(RowVersion version) {
  busy_ = true;  // stops this watcher; a LeaseHolder replaces it
  return {LeaseAcquired{LeaseGrant{attempt_.epoch, version, attempt_.renewals, *attempt_sent_}}};
}

}  // namespace figmill
