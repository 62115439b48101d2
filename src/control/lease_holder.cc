#include <algorithm>
#include <utility>

#include "control/lease_row.h"
#include "figmill/control.h"

namespace figmill {
namespace {

constexpr std::size_t kMaxAttempts = 8;
constexpr int kRenewalsPerTerm = 4;

}  // namespace

LeaseHolder::LeaseHolder(LeaseSettings settings, const LeaseGrant& grant, RandomBits random)
    : settings_(std::move(settings)),
      random_(std::move(random)),
      epoch_(grant.epoch),
      version_(grant.version),
      renewals_(grant.renewals),
      renewal_sent_(grant.sent),
      last_attempt_(grant.sent) {}

bool LeaseHolder::IsValid(Time now) const {
  return !lost_ && !released_ && now - renewal_sent_ < settings_.term * 2 / 3;
}

std::vector<LeaseAction> LeaseHolder::Tick(Time now) {
  if (lost_ || released_ || busy_) return {};
  if (outcome_unknown_) return ReadBack();
  if (now - last_attempt_ < settings_.term / kRenewalsPerTerm) return {};
  return Write(now, false);
}

std::vector<LeaseAction> LeaseHolder::Release(Time now) {
  if (lost_ || released_) return {};
  released_ = true;
  if (busy_) return {};  // On() releases after the renewal, which changes the row version
  return Write(now, true);
}

std::vector<LeaseAction> LeaseHolder::Write(Time now, bool release) {
  const Token token = GenerateToken(random_);
  busy_ = true;
  release_sent_ = release;
  last_attempt_ = now;
  if (!release) attempts_.push_back({token, now});
  if (attempts_.size() > kMaxAttempts) attempts_.pop_front();
  const LeaseRow row{token, release ? NodeId{} : settings_.holder, settings_.incarnation, epoch_,
                     renewals_ + 1};
  return {detail::ConditionalLeaseWrite(settings_.name, version_, row)};
}

std::vector<LeaseAction> LeaseHolder::ReadBack() {
  busy_ = true;
  return {ReadRow{detail::LeaseKey(settings_.name)}};
}

std::vector<LeaseAction> LeaseHolder::On(Time now, LeaseEvent event) {
  busy_ = false;
  if (lost_ || release_sent_) return {};
  std::vector<LeaseAction> actions = std::visit(
      Overloaded{[&](const RowWasRead& e) {
                   return IsOk(e.row) ? OnLeaseRow(ValueOf(e.row)) : std::vector<LeaseAction>{};
                 },
                 [&](const CommitEnded& e) { return OnOutcome(e.outcome); }},
      event);
  if (released_ && !lost_ && !busy_) return Write(now, true);
  return actions;
}

std::vector<LeaseAction> LeaseHolder::OnOutcome(const TransactionOutcome& outcome) {
  return std::visit(Overloaded{[&](const Committed& committed) -> std::vector<LeaseAction> {
                                 if (committed.rows.empty()) return ReadBack();
                                 version_ = committed.rows.front().version;
                                 ++renewals_;
                                 renewal_sent_ = attempts_.back().sent;
                                 attempts_.clear();  // earlier ones required an older version
                                 outcome_unknown_ = false;
                                 return {};
                               },
                               // Either another holder took over, or an earlier renewal took
                               // effect after its answer was lost; the row shows which.
                               [&](const Rejected&) { return ReadBack(); },
                               [&](const NotWritten&) -> std::vector<LeaseAction> {
                                 attempts_.pop_back();
                                 return {};
                               },
                               [&](const FateUnknown&) {
                                 outcome_unknown_ = true;
                                 return ReadBack();
                               }},
                    outcome);
}

std::vector<LeaseAction> LeaseHolder::OnLeaseRow(const std::optional<Row>& row) {
  const std::optional<LeaseRow> lease = detail::LeaseFromRow(row);
  const bool still_held = lease && lease->holder == settings_.holder &&
                          lease->incarnation == settings_.incarnation && lease->epoch == epoch_;
  if (!still_held) return OnLost(lease);
  outcome_unknown_ = false;
  if (row->version == version_) return {};  // no attempt has taken effect so far
  version_ = row->version;
  renewals_ = lease->renewals;
  const auto applied = std::find_if(attempts_.begin(), attempts_.end(), [&](const Attempt& each) {
    return each.token == lease->token;
  });
  if (applied != attempts_.end()) renewal_sent_ = std::max(renewal_sent_, applied->sent);
  attempts_.clear();
  return {};
}

std::vector<LeaseAction> LeaseHolder::OnLost(std::optional<LeaseRow> row) {
  lost_ = true;
  return {LeaseLost{std::move(row)}};
}

}  // namespace figmill
