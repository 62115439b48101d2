#include <algorithm>
#include <cmath>

#include "figmill/quota.h"

namespace figmill {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// A team with a limit may make at least one request.
constexpr double kMinCapacity = 1;

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

void CreditBucket::Refill(double per_second, double capacity, Time now) {
  const double seconds = static_cast<double>((now - at_).count()) / kMicrosPerSecond;
  level_ = std::min(level_ + per_second * std::max(seconds, 0.0), capacity);
  at_ = std::max(at_, now);
}

std::uint32_t CreditBucket::TakeUpTo(std::uint32_t max_credits) {
  const auto whole = static_cast<std::uint32_t>(std::max(0.0, std::floor(level_)));
  const std::uint32_t taken = std::min(whole, max_credits);
  level_ -= taken;
  return taken;
}

Duration CreditBucket::TimeToNextCredit(double per_second) const {
  return SecondsOf((1 - level_) / per_second);
}

void QuotaOwner::Reset(Time now) {
  buckets_.clear();
  may_own_since_ = now;
}

void QuotaOwner::OnEntriesChanged(const std::function<bool(const TeamId&)>& owns, Time now) {
  std::erase_if(buckets_, [&owns](const auto& entry) { return !owns(entry.first); });
  may_own_since_ = now;
}

QuotaGrant QuotaOwner::Grant(const QuotaRequest& request, const Team& team, Time now) {
  QuotaGrant grant;
  grant.number = request.number;
  grant.team = request.team;
  auto found = buckets_.find(request.team);
  if (found == buckets_.end()) {
    if (buckets_.size() >= kMaxTeams) return grant;
    found = buckets_.emplace(request.team, CreditBucket(kInitialCredits, may_own_since_)).first;
  }
  grant.owned = true;
  CreditBucket& bucket = found->second;
  bucket.Return(request.returned);
  bucket.Refill(team.requests_per_second, std::max(team.burst, kMinCapacity), now);
  grant.credits = bucket.TakeUpTo(request.wanted);
  if (grant.credits < request.wanted) {
    grant.time_to_next = bucket.TimeToNextCredit(team.requests_per_second);
    grant.credit_interval = SecondsOf(1 / team.requests_per_second);
  }
  return grant;
}

}  // namespace figmill
