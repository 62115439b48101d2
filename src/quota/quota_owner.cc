#include <algorithm>
#include <cmath>

#include "figmill/quota.h"
#include "quota/owned_quota.h"

namespace figmill {
namespace {

constexpr double kMicrosPerSecond = 1e6;

Duration SecondsOf(double seconds) {
  constexpr double kMaxSeconds = 60;
  return Duration(
      static_cast<Duration::rep>(std::clamp(seconds, 0.0, kMaxSeconds) * kMicrosPerSecond));
}

}  // namespace

Duration QuotaBounds::CreditLifetime() const {
  constexpr double kShare = 0.5;
  return std::chrono::duration_cast<Duration>(window * excess * kShare);
}

double QuotaBounds::InitialCredits(const Team& team) const {
  const double lifetime = std::chrono::duration<double>(CreditLifetime()).count();
  const double span = std::chrono::duration<double>(window).count();
  const double allowed =
      (team.requests_per_second * span + team.burst) * (1 + excess) + static_cast<double>(slack);
  // One bucket without a change of its owner, on credits that were granted before the window.
  const double granted = team.requests_per_second * (span + lifetime) + team.burst;
  const auto owners = 1 + (window + CreditLifetime()) / kMinOwnership;
  return std::clamp((allowed - granted) / static_cast<double>(owners), 0.0, kMaxInitialCredits);
}

Duration QuotaBounds::ClaimHold() const {
  // A period of the entry's timer, a round trip, and once more what is lost.
  constexpr Duration kMaxHold{80'000};
  return std::min(kMaxHold, CreditLifetime() / 2);
}

void CreditBucket::Refill(double per_second, double capacity, Time now) {
  const double seconds = static_cast<double>((now - at_).count()) / kMicrosPerSecond;
  level_ = std::min(level_ + per_second * std::max(seconds, 0.0), capacity);
  at_ = std::max(at_, now);
}

std::uint32_t CreditBucket::TakeUpTo(std::uint32_t max_credits) {
  constexpr double kRounding = 1e-6;
  const auto whole = static_cast<std::uint32_t>(std::max(0.0, std::floor(level_ + kRounding)));
  const std::uint32_t taken = std::min(whole, max_credits);
  level_ -= taken;
  return taken;
}

BookingCounts& BookingCounts::operator+=(const BookingCounts& other) {
  made += other.made;
  claimed += other.claimed;
  expired += other.expired;
  missed += other.missed;
  return *this;
}

QuotaOwner::QuotaOwner(Time started_at, QuotaBounds bounds)
    : bounds_(bounds),
      may_own_since_(started_at),
      last_booking_(static_cast<std::uint64_t>(started_at.time_since_epoch().count()) << 16U) {}
QuotaOwner::~QuotaOwner() = default;
QuotaOwner::QuotaOwner(QuotaOwner&& other) noexcept = default;
QuotaOwner& QuotaOwner::operator=(QuotaOwner&& other) noexcept = default;

void QuotaOwner::Reset(Time now) {
  quotas_.clear();
  may_own_since_ = now;
}

void QuotaOwner::OnEntriesChanged(const std::function<bool(const TeamId&)>& owns, Time now) {
  std::erase_if(quotas_, [&owns](const auto& entry) { return !owns(entry.first); });
  may_own_since_ = now;
}

QuotaGrant QuotaOwner::Grant(const QuotaRequest& request, const Team& team, Time now) {
  QuotaGrant grant;
  grant.number = request.number;
  grant.team = request.team;
  auto found = quotas_.find(request.team);
  if (found == quotas_.end()) {
    if (quotas_.size() >= kMaxTeams) return grant;
    found = quotas_
                .emplace(request.team, std::make_unique<OwnedQuota>(
                                           bounds_, bounds_.InitialCredits(team), may_own_since_))
                .first;
  }
  grant.owned = true;
  OwnedQuota& quota = *found->second;
  quota.Update(team, request.returned, now);
  for (const QuotaLastTry& last_try : request.last_tries) {
    const QuotaBooking& booking =
        grant.bookings.emplace_back(quota.Serve(last_try, ++last_booking_, now));
    if (booking.wait == Duration{0}) ++grant.credits;
  }
  const auto last_tries = static_cast<std::uint32_t>(request.last_tries.size());
  const std::uint32_t first_tries = request.wanted - std::min(request.wanted, last_tries);
  const std::uint32_t served = quota.TakeFree(first_tries, now);
  grant.credits += served;
  if (served < first_tries) {
    grant.time_to_next = quota.BookReturns(first_tries - served, now);
    grant.credit_interval = SecondsOf(1 / team.requests_per_second);
  }
  counts_ += quota.TakeCounts();
  return grant;
}

}  // namespace figmill
