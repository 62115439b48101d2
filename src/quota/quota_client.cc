#include <algorithm>
#include <cmath>
#include <utility>

#include "figmill/quota.h"

namespace figmill {
namespace {

// Time constant of the arrival rate: arrivals are weighted with exp(-age / kArrivalSeconds).
constexpr double kArrivalSeconds = 1.0;
constexpr double kMicrosPerSecond = 1e6;

double SecondsBetween(Time a, Time b) {
  return static_cast<double>((b - a).count()) / kMicrosPerSecond;
}

}  // namespace

QuotaClient::TeamState* QuotaClient::Track(const Team& team, const Entries& entries, Time now) {
  auto found = teams_.find(team.name);
  if (found == teams_.end()) {
    if (teams_.size() >= kMaxTeams) Forget(now);
    if (teams_.size() >= kMaxTeams) return nullptr;
    found = teams_.emplace(team.name, TeamState{}).first;
    found->second.name = team.name;
    found->second.own_share = CreditBucket(entries.free ? 1 : 0, now);
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
  const double fade = std::exp(-SecondsBetween(team.arrivals_at, now) / kArrivalSeconds);
  team.arrivals = team.arrivals * fade + 1 / kArrivalSeconds;
  team.arrivals_at = now;
}

quota::Verdict QuotaClient::Admit(const Team& limits, const Entries& entries,
                                  const Request& request, Time now) {
  if (!limits.limited()) return quota::Admitted{now};
  TeamState* team = Track(limits, entries, now);
  if (team == nullptr) {
    return Error{ErrorKind::kNoBackend, "too many teams at once", Ran::kNo, kSilentPause};
  }
  CountArrival(*team, now);
  DropExpired(*team, now);
  if (team->credits > 0) {
    --team->credits;
    return quota::Admitted{now};
  }
  if (now < team->refused_until) return Refused(*team, request.time_left, now);
  if (team->silent_since) {
    if (now - team->asked_at >= kSilentPause) SendAsk(*team, now);
    Result<quota::Admitted> verdict = Silent(*team, now);
    if (IsOk(verdict)) return ValueOf(verdict);
    return ErrorOf(verdict);
  }
  if (team->waiting.size() >= kMaxWaiting) return Refused(*team, request.time_left, now);
  team->waiting.push_back({request, now});
  ++waiting_;
  if (!IsAsking(*team, now)) SendAsk(*team, now);
  return quota::Waits{};
}

void QuotaClient::SendAsk(TeamState& team, Time now) {
  DropExpired(team, now);
  // Whole credits for the requests that are expected while the credits are valid.
  const double life = static_cast<double>(bounds_.CreditLife().count()) / kMicrosPerSecond;
  const auto ahead = static_cast<std::uint32_t>(team.arrivals * life);
  const auto wanted = static_cast<std::uint32_t>(team.waiting.size()) + ahead;
  const std::uint64_t number = ++numbers_;
  asks_.push_back({number, team.name, std::max(1U, wanted), std::exchange(team.returned, 0)});
  team.open.push_back({number, now});
  team.asked_at = now;
}

bool QuotaClient::IsAsking(TeamState& team, Time now) {
  std::erase_if(team.open, [now](const Ask& ask) { return now - ask.at >= kOwnerPatience; });
  return std::any_of(team.open.begin(), team.open.end(),
                     [now](const Ask& ask) { return now - ask.at < kAskAgain; });
}

void QuotaClient::GiveBack(const TeamId& name, Time charged_at, Time now) {
  const auto found = teams_.find(name);
  if (found == teams_.end()) return;
  // A request that waited longer is not refunded: so many may have waited that the next window
  // would contain them in addition to all requests that are allowed in it.
  if (now >= charged_at + bounds_.CreditLife()) return;
  ++found->second.returned;
}

void QuotaClient::OnGrant(const QuotaGrant& grant, Time now) {
  const auto found = teams_.find(grant.team);
  if (found == teams_.end()) return;
  TeamState& team = found->second;
  const auto ask = std::find_if(team.open.begin(), team.open.end(),
                                [&grant](const Ask& each) { return each.number == grant.number; });
  if (ask == team.open.end()) return;
  const Time asked_at = ask->at;
  team.open.erase(ask);
  if (!grant.owned) {
    if (!team.silent_since) team.silent_since = now;
    while (!team.waiting.empty()) Decide(team, Silent(team, now));
    return;
  }
  team.silent_since.reset();
  DropExpired(team, now);
  const Time until = asked_at + bounds_.CreditLife();
  if (now < until) {
    team.credits_until = team.credits > 0 ? std::min(team.credits_until, until) : until;
    team.credits += grant.credits;
  } else {
    team.returned += grant.credits;
  }
  while (team.credits > 0 && !team.waiting.empty()) {
    --team.credits;
    Decide(team, quota::Admitted{now});
  }
  if (grant.next_after.count() > 0) {
    team.every = grant.every;
    team.next_credit = now + grant.next_after;
    team.refused_until = now + std::min(kRefusalLife, grant.next_after);
    while (!team.waiting.empty()) {
      Decide(team, Refused(team, team.waiting.front().request.time_left, now));
    }
  }
  if (!team.waiting.empty() && !IsAsking(team, now)) SendAsk(team, now);
}

void QuotaClient::OnOwnerChanged(const TeamId& name) {
  const auto found = teams_.find(name);
  if (found == teams_.end()) return;
  found->second.silent_since.reset();
  found->second.open.clear();
  found->second.asked_at = {};
}

void QuotaClient::OnTime(Time now) {
  for (auto& [name, team] : teams_) {
    if (team.waiting.empty()) continue;
    if (now - team.waiting.front().since >= kOwnerPatience) {
      if (!team.silent_since) team.silent_since = now;
      team.open.clear();
      while (!team.waiting.empty()) Decide(team, Silent(team, now));
      continue;
    }
    if (!IsAsking(team, now)) SendAsk(team, now);
  }
}

// Charges this entry's share of the limit, which is divided evenly over all entries.
Result<quota::Admitted> QuotaClient::Silent(TeamState& team, Time now) const {
  const auto entries = static_cast<double>(std::max<std::size_t>(1, team.entries.count));
  const double part = kSilentShare / entries;
  const double least = team.entries.free ? 1 : 0;
  team.own_share.Refill(team.per_second * part,
                        std::max(least, (team.per_second + team.burst) * part), now);
  if (team.own_share.Take(1) == 1) return quota::Admitted{now};
  return Error{ErrorKind::kNoBackend,
               "the quota of team '" + team.name.value + "' is unknown: its owner is unavailable",
               Ran::kNo, kSilentPause};
}

// A credit that becomes available goes to any of the entries; this one gets one in as many as there
// are entries.
Error QuotaClient::Refused(TeamState& team, Duration time_left, Time now) {
  const auto entries = static_cast<Duration::rep>(std::max<std::size_t>(1, team.entries.count));
  const RetryScheduler::RefusedRequest refused{
      time_left, std::max(team.next_credit - now, Duration{0}), team.every * entries};
  return Error{ErrorKind::kTeamLimit, "team '" + team.name.value + "' has used up its rate",
               Ran::kNo, team.returns.ScheduleRetry(refused, now)};
}

void QuotaClient::Decide(TeamState& team, Result<quota::Admitted> verdict) {
  decisions_.push_back({team.waiting.front().request.ticket, std::move(verdict)});
  team.waiting.pop_front();
  --waiting_;
}

void QuotaClient::Forget(Time now) {
  std::erase_if(teams_, [now](const auto& entry) {
    return entry.second.waiting.empty() && now > entry.second.used_at + kForgetAfter;
  });
}

}  // namespace figmill
