#include <algorithm>
#include <cmath>
#include <utility>

#include "figmill/quota.h"

namespace figmill {
namespace {

// Time constant of the arrival rate: arrivals are weighted with exp(-age / kArrivalTimeConstant).
constexpr double kArrivalTimeConstant = 1.0;
constexpr double kMicrosPerSecond = 1e6;

double SecondsBetween(Time a, Time b) {
  return static_cast<double>((b - a).count()) / kMicrosPerSecond;
}

}  // namespace

QuotaClient::TeamState* QuotaClient::Track(const Team& team, const Entries& entries, Time now) {
  auto found = teams_.find(team.name);
  if (found == teams_.end()) {
    if (teams_.size() >= kMaxTeams) EvictIdle(now);
    if (teams_.size() >= kMaxTeams) return nullptr;
    found = teams_.emplace(team.name, TeamState{}).first;
    found->second.name = team.name;
    found->second.fallback_share = CreditBucket(entries.may_admit_alone ? 1 : 0, now);
  }
  TeamState& state = found->second;
  state.per_second = team.requests_per_second;
  state.burst = team.burst;
  state.entries = entries;
  state.used_at = now;
  return &state;
}

void QuotaClient::DropExpired(TeamState& team, Time now) const {
  if (now < team.credits_until) return;
  team.returned += std::exchange(team.credits, 0);
}

void QuotaClient::CountArrival(TeamState& team, Time now) const {
  const double decay = std::exp(-SecondsBetween(team.last_arrival_at, now) / kArrivalTimeConstant);
  team.arrival_rate = team.arrival_rate * decay + 1 / kArrivalTimeConstant;
  team.last_arrival_at = now;
}

quota::AdmitResult QuotaClient::Admit(const Team& limits, const Entries& entries,
                                      const Request& request, Time now) {
  if (!limits.limited()) return quota::Admitted{now};
  TeamState* team = Track(limits, entries, now);
  if (team == nullptr) {
    return Error{ErrorKind::kNoBackend, "too many teams at once", Ran::kNo, kOwnerProbeInterval};
  }
  CountArrival(*team, now);
  DropExpired(*team, now);
  if (team->credits > 0) {
    --team->credits;
    return quota::Admitted{now};
  }
  if (now < team->refused_until) return RateLimitError(*team, request.time_left, now);
  if (team->unresponsive_since) {
    if (now - team->last_sent_at >= kOwnerProbeInterval) SendRequest(*team, now);
    Result<quota::Admitted> result = ChargeFallbackShare(*team, now);
    if (IsOk(result)) return ValueOf(result);
    return ErrorOf(result);
  }
  if (team->waiting.size() >= kMaxWaiting) return RateLimitError(*team, request.time_left, now);
  team->waiting.push_back({request, now});
  ++waiting_;
  if (!HasPendingRequest(*team, now)) SendRequest(*team, now);
  return quota::Pending{};
}

void QuotaClient::SendRequest(TeamState& team, Time now) {
  DropExpired(team, now);
  // Whole credits for the requests that are expected while the credits are valid.
  const double lifetime = static_cast<double>(bounds_.CreditLifetime().count()) / kMicrosPerSecond;
  const auto ahead = static_cast<std::uint32_t>(team.arrival_rate * lifetime);
  const auto wanted = static_cast<std::uint32_t>(team.waiting.size()) + ahead;
  const std::uint64_t number = ++last_number_;
  requests_.push_back({number, team.name, std::max(1U, wanted), std::exchange(team.returned, 0)});
  team.in_flight.push_back({number, now});
  team.last_sent_at = now;
}

bool QuotaClient::HasPendingRequest(TeamState& team, Time now) {
  std::erase_if(team.in_flight, [now](const SentRequest& request) {
    return now - request.sent_at >= kOwnerTimeout;
  });
  return std::any_of(
      team.in_flight.begin(), team.in_flight.end(),
      [now](const SentRequest& request) { return now - request.sent_at < kRetryInterval; });
}

void QuotaClient::Refund(const TeamId& name, Time charged_at, Time now) {
  const auto found = teams_.find(name);
  if (found == teams_.end()) return;
  // A request that waited longer is not refunded: so many may have waited that the next window
  // would contain them in addition to all requests that are allowed in it.
  if (now >= charged_at + bounds_.CreditLifetime()) return;
  ++found->second.returned;
}

void QuotaClient::OnGrant(const QuotaGrant& grant, Time now) {
  const auto found = teams_.find(grant.team);
  if (found == teams_.end()) return;
  TeamState& team = found->second;
  const auto request =
      std::find_if(team.in_flight.begin(), team.in_flight.end(),
                   [&grant](const SentRequest& each) { return each.number == grant.number; });
  if (request == team.in_flight.end()) return;
  const Time sent_at = request->sent_at;
  team.in_flight.erase(request);
  if (!grant.owned) {
    if (!team.unresponsive_since) team.unresponsive_since = now;
    while (!team.waiting.empty()) DecideFirst(team, ChargeFallbackShare(team, now));
    return;
  }
  team.unresponsive_since.reset();
  DropExpired(team, now);
  const Time until = sent_at + bounds_.CreditLifetime();
  if (now < until) {
    team.credits_until = team.credits > 0 ? std::min(team.credits_until, until) : until;
    team.credits += grant.credits;
  } else {
    team.returned += grant.credits;
  }
  while (team.credits > 0 && !team.waiting.empty()) {
    --team.credits;
    DecideFirst(team, quota::Admitted{now});
  }
  if (grant.time_to_next.count() > 0) {
    team.credit_interval = grant.credit_interval;
    team.next_credit = now + grant.time_to_next;
    team.refused_until = now + std::min(kRefusalLifetime, grant.time_to_next);
    while (!team.waiting.empty()) {
      DecideFirst(team, RateLimitError(team, team.waiting.front().request.time_left, now));
    }
  }
  if (!team.waiting.empty() && !HasPendingRequest(team, now)) SendRequest(team, now);
}

void QuotaClient::OnOwnerChanged(const TeamId& name) {
  const auto found = teams_.find(name);
  if (found == teams_.end()) return;
  found->second.unresponsive_since.reset();
  found->second.in_flight.clear();
  found->second.last_sent_at = {};
}

void QuotaClient::ApplyTimeouts(Time now) {
  for (auto& [name, team] : teams_) {
    if (team.waiting.empty()) continue;
    if (now - team.waiting.front().since >= kOwnerTimeout) {
      if (!team.unresponsive_since) team.unresponsive_since = now;
      team.in_flight.clear();
      while (!team.waiting.empty()) DecideFirst(team, ChargeFallbackShare(team, now));
      continue;
    }
    if (!HasPendingRequest(team, now)) SendRequest(team, now);
  }
}

// Charges this entry's share of the limit, which is divided evenly over all entries.
Result<quota::Admitted> QuotaClient::ChargeFallbackShare(TeamState& team, Time now) const {
  const auto entries = static_cast<double>(std::max<std::size_t>(1, team.entries.count));
  const double part = kFallbackShare / entries;
  const double least = team.entries.may_admit_alone ? 1 : 0;
  team.fallback_share.Refill(team.per_second * part,
                             std::max(least, (team.per_second + team.burst) * part), now);
  if (team.fallback_share.TakeUpTo(1) == 1) return quota::Admitted{now};
  return Error{ErrorKind::kNoBackend,
               "the quota of team '" + team.name.value + "' is not known now", Ran::kNo,
               kOwnerProbeInterval};
}

// A credit that becomes available goes to any of the entries; this one gets one in as many as there
// are entries.
Error QuotaClient::RateLimitError(TeamState& team, Duration time_left, Time now) {
  const auto entries = static_cast<Duration::rep>(std::max<std::size_t>(1, team.entries.count));
  const RetryScheduler::RefusedRequest refused{
      time_left, std::max(team.next_credit - now, Duration{0}), team.credit_interval * entries};
  return Error{ErrorKind::kTeamLimit, "team '" + team.name.value + "' has used up its rate",
               Ran::kNo, team.retries.ScheduleRetry(refused, now)};
}

void QuotaClient::DecideFirst(TeamState& team, Result<quota::Admitted> result) {
  decisions_.push_back({team.waiting.front().request.ticket, std::move(result)});
  team.waiting.pop_front();
  --waiting_;
}

void QuotaClient::EvictIdle(Time now) {
  std::erase_if(teams_, [now](const auto& entry) {
    return entry.second.waiting.empty() && now > entry.second.used_at + kEvictAfter;
  });
}

}  // namespace figmill
