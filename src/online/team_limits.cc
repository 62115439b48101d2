#include <algorithm>
#include <utility>

#include "figmill/online.h"

namespace figmill {
namespace {

// Rate and capacity of a bucket for a fraction of a limit. A limit of 0 means unlimited and is
// never applied to a bucket.
struct BucketRate {
  double rate = 0;
  double capacity = 0;
};

constexpr double kMinTokens = 1e-3;

BucketRate BucketRateOf(double limit, double burst_seconds, double granted, double base_share,
                        double min_capacity) {
  const double rate = std::max(granted, base_share * limit);
  return {rate, std::max(min_capacity, rate * burst_seconds)};
}

}  // namespace

void TeamLimits::Update(const RoutingSnapshot& snapshot, Time now) {
  config_ = snapshot.config;
  entries_.clear();
  for (const Member& member : snapshot.members) {
    if (member.role != Role::kEntry || member.leaving || member.liveness != Liveness::kAlive) {
      continue;
    }
    entries_.push_back({member.node, member.http, member.incarnation});
  }
  std::erase_if(teams_, [this](const auto& entry) { return LimitOf(entry.first) == nullptr; });
  for (auto& [id, team] : teams_) SetRates(team, *LimitOf(id), now);
}

const TeamLimit* TeamLimits::LimitOf(const TeamId& team) const {
  if (!config_) return nullptr;
  const auto found = config_->limits.find(team);
  if (found == config_->limits.end()) return nullptr;
  const TeamLimit& limit = found->second;
  const bool limited = limit.requests_per_second > 0 || limit.tokens_per_second > 0;
  return limited ? &limit : nullptr;
}

void TeamLimits::SetRates(Team& team, const TeamLimit& limit, Time now) const {
  const double entries = static_cast<double>(std::max<std::size_t>(1, entries_.size()));
  if (team.share && now > *team.owner_asked_at + kShareLifetime) team.share.reset();
  // An equal share while an owner that was asked does not respond.
  const bool owner_silent = !team.share && team.owner_asked_at;
  const double base_share = (owner_silent ? 1.0 : kFreeShare) / entries;
  const TeamRates granted = team.share.value_or(TeamRates{});
  const BucketRate requests = BucketRateOf(limit.requests_per_second, limit.burst_seconds,
                                           granted.requests, base_share, kMinBurst);
  team.requests.SetRate(requests.rate, requests.capacity, now);
  const BucketRate tokens =
      BucketRateOf(limit.tokens_per_second, limit.burst_seconds, granted.tokens, base_share, 1);
  team.tokens.SetRate(tokens.rate, tokens.capacity, now);
}

TeamLimits::Team* TeamLimits::FindOrAdd(const TeamId& team, const TeamLimit& limit, Time now) {
  const auto found = teams_.find(team);
  if (found != teams_.end()) return &found->second;
  if (teams_.size() >= kMaxTeams) EvictIdle(now);
  if (teams_.size() >= kMaxTeams) return nullptr;
  Team& added = teams_[team];
  added.reported_at = now;
  SetRates(added, limit, now);
  return &added;
}

Result<Ok> TeamLimits::Admit(const TeamId& id, double tokens, Time now) {
  const TeamLimit* limit = LimitOf(id);
  if (limit == nullptr) return Ok{};
  Team* team = FindOrAdd(id, *limit, now);
  if (team == nullptr) {
    return Error{ErrorKind::kTeamLimit, "too many active teams at this entry", Ran::kNo,
                 kReportPeriod};
  }
  team->used_at = now;
  team->demand.requests += 1;
  team->demand.tokens += tokens;
  // A request may overdraw the token bucket: one larger than the burst is admitted too, and the
  // following ones wait.
  Duration wait{0};
  const bool by_requests = limit->requests_per_second > 0;
  const bool by_tokens = limit->tokens_per_second > 0;
  if (by_requests) wait = team->requests.Until(1, now);
  if (by_tokens) wait = std::max(wait, team->tokens.Until(kMinTokens, now));
  if (wait > Duration{0}) {
    team->needs_larger_share = true;
    // A larger share may be granted with the next report.
    const Duration min_wait = team->share ? Duration{100'000} : kReportPeriod;
    return Error{ErrorKind::kTeamLimit, "team '" + id.value + "' has exceeded its rate limit",
                 Ran::kNo, std::max(wait, min_wait)};
  }
  if (by_requests) team->requests.Take(1);
  if (by_tokens) team->tokens.Take(tokens);
  team->admitted.requests += 1;
  team->admitted.tokens += tokens;
  const auto low = [now](TokenBucket& bucket) { return bucket.Level(now) < bucket.capacity() / 2; };
  if ((by_requests && low(team->requests)) || (by_tokens && low(team->tokens))) {
    team->needs_larger_share = true;
  }
  return Ok{};
}

void TeamLimits::Settle(const TeamId& id, double charged, double used) {
  const auto found = teams_.find(id);
  if (found == teams_.end()) return;
  const TeamLimit* limit = LimitOf(id);
  if (limit != nullptr && limit->tokens_per_second > 0) found->second.tokens.Take(used - charged);
  found->second.admitted.tokens += used - charged;
  found->second.demand.tokens += used - charged;
}

std::vector<ShareRequest> TeamLimits::TakeDueReports(Time now) {
  constexpr double kSmoothing = 0.25;
  constexpr double kNegligible = 0.05;  // requests per second
  EvictIdle(now);
  std::vector<ShareRequest> requests_due;
  for (auto& [id, team] : teams_) {
    const double seconds = static_cast<double>((now - team.reported_at).count()) / 1e6;
    if (seconds <= 0) continue;
    const TeamRates rate{team.demand.requests / seconds, team.demand.tokens / seconds};
    team.wanted.requests += kSmoothing * (rate.requests - team.wanted.requests);
    team.wanted.tokens += kSmoothing * (rate.tokens - team.wanted.tokens);
    team.demand = {};
    team.reported_at = now;
    SetRates(team, *LimitOf(id), now);
    const bool keeps_share = team.share && team.wanted.requests > kNegligible;
    if (!team.needs_larger_share && !keeps_share) {
      team.share.reset();
      team.owner_asked_at.reset();
      continue;
    }
    team.needs_larger_share = false;
    const auto owner = std::max_element(entries_.begin(), entries_.end(),
                                        [&id = id](const NodeEndpoint& a, const NodeEndpoint& b) {
                                          return RendezvousWeight(id.value, a.node.value) <
                                                 RendezvousWeight(id.value, b.node.value);
                                        });
    if (owner == entries_.end()) continue;
    if (!team.owner_asked_at) team.owner_asked_at = now;
    requests_due.push_back({*owner, {id, team.wanted, std::exchange(team.admitted, {})}});
  }
  return requests_due;
}

void TeamLimits::ApplyShare(const TeamId& id, const TeamRates& share, Time now) {
  const auto found = teams_.find(id);
  const TeamLimit* limit = LimitOf(id);
  if (found == teams_.end() || limit == nullptr) return;
  found->second.share = share;
  found->second.owner_asked_at = now;
  SetRates(found->second, *limit, now);
}

void TeamLimits::EvictIdle(Time now) {
  std::erase_if(teams_,
                [now](const auto& entry) { return now > entry.second.used_at + kIdleTimeout; });
}

}  // namespace figmill
