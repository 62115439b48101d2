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
  if (!request.last_try && now < team->refused_until) {
    return RateLimitError(*team, request.time_left, now);
  }
  if (team->unresponsive_since) {
    if (now - team->last_sent_at >= kOwnerProbeInterval) SendRequest(*team, now);
    Result<quota::Admitted> result = ChargeFallbackShare(*team, now);
    if (IsOk(result)) return ValueOf(result);
    if (!request.last_try || request.max_wait < kOwnerProbeInterval) return ErrorOf(result);
  }
  if (team->waiting.size() + team->last_tries.size() >= kMaxWaiting) {
    return RateLimitError(*team, request.time_left, now);
  }
  Wait(*team, request, team->unresponsive_since ? now + kOwnerProbeInterval : now, now);
  SendRequestIfDue(*team, now);
  return quota::Pending{};
}

void QuotaClient::Wait(TeamState& team, const Request& request, Time ask_at, Time now) {
  ++waiting_;
  if (!request.last_try) return team.waiting.push_back({request, now});
  LastTry last_try;
  last_try.request = request;
  last_try.give_up_at =
      now + std::max(request.max_wait, std::min(kOwnerTimeout, request.time_left));
  last_try.ask_at = ask_at;
  team.last_tries.push_back(last_try);
}

bool QuotaClient::LastTry::IsDue(Time now) const {
  return ask_at <= now && (asked_since == Time{} || now - last_asked_at >= kRetryInterval);
}

bool QuotaClient::TeamState::HasDueCallers(Time now) const {
  return !waiting.empty() ||
         std::any_of(last_tries.begin(), last_tries.end(),
                     [now](const LastTry& last_try) { return last_try.IsDue(now); });
}

void QuotaClient::SendRequestIfDue(TeamState& team, Time now) {
  if (team.HasDueCallers(now) && !HasPendingRequest(team, now)) SendRequest(team, now);
}

void QuotaClient::SendRequest(TeamState& team, Time now) {
  DropExpired(team, now);
  // Whole credits for the requests that are expected while the credits are valid.
  const Duration span = now < team.contended_until ? kRefusalLifetime : bounds_.CreditLifetime();
  const double seconds = static_cast<double>(span.count()) / kMicrosPerSecond;
  const auto ahead = static_cast<std::uint32_t>(team.arrival_rate * seconds);
  QuotaRequest request{++last_number_, team.name, 0, std::exchange(team.returned, 0)};
  SentRequest sent{request.number, now};
  AskForLastTries(team, request, sent, now);
  const auto wanted =
      static_cast<std::uint32_t>(team.waiting.size() + request.last_tries.size()) + ahead;
  request.wanted = std::max(1U, wanted);
  requests_.push_back(std::move(request));
  team.in_flight.push_back(std::move(sent));
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
  const SentRequest sent = std::move(*request);
  team.in_flight.erase(request);
  if (!grant.owned) return OnOwnerSilent(team, now);
  team.unresponsive_since.reset();
  AddCredits(team, grant, sent, now);
  ApplyBookings(team, sent.last_tries, grant, now);
  while (team.credits > 0 && !team.waiting.empty()) {
    --team.credits;
    DecideFirst(team, quota::Admitted{now});
  }
  if (grant.time_to_next.count() > 0) {
    team.credit_interval = grant.credit_interval;
    team.next_credit = now + grant.time_to_next;
    team.refused_until = now + std::min(kRefusalLifetime, grant.time_to_next);
    team.contended_until = now + kContentionTime;
    while (!team.waiting.empty()) {
      DecideFirst(team, RateLimitError(team, team.waiting.front().request.time_left, now));
    }
  }
  SendRequestIfDue(team, now);
}

void QuotaClient::AddCredits(TeamState& team, const QuotaGrant& grant, const SentRequest& request,
                             Time now) const {
  DropExpired(team, now);
  const bool claims =
      std::any_of(request.last_tries.begin(), request.last_tries.end(),
                  [](const AskedLastTry& last_try) { return last_try.booking != 0; });
  const Duration held = claims ? bounds_.ClaimHold() : Duration{0};
  const Time until = request.sent_at + bounds_.CreditLifetime() - held;
  if (now < until) {
    team.credits_until = team.credits > 0 ? std::min(team.credits_until, until) : until;
    team.credits += grant.credits;
  } else {
    // A repeated claim is answered twice with one credit, so such credits are never returned.
    std::uint32_t claimed = 0;
    for (std::size_t i = 0; i < std::min(request.last_tries.size(), grant.bookings.size()); ++i) {
      const bool served = grant.bookings[i].wait <= Duration{0};
      if (request.last_tries[i].booking != 0 && served) ++claimed;
    }
    team.returned += grant.credits - std::min(grant.credits, claimed);
  }
}

void QuotaClient::OnOwnerChanged(const TeamId& name) {
  const auto found = teams_.find(name);
  if (found == teams_.end()) return;
  TeamState& team = found->second;
  team.unresponsive_since.reset();
  team.in_flight.clear();
  team.last_sent_at = {};
  // The new owner knows no bookings.
  for (LastTry& last_try : team.last_tries) {
    last_try.booking = 0;
    last_try.ask_at = last_try.asked_since = {};
  }
}

void QuotaClient::ApplyTimeouts(Time now) {
  for (auto& [name, team] : teams_) {
    if (!team.HasCallers()) continue;
    GiveUpLastTries(team, now);
    const bool first_try_timed_out =
        !team.waiting.empty() && now - team.waiting.front().since >= kOwnerTimeout;
    const bool last_try_timed_out =
        std::any_of(team.last_tries.begin(), team.last_tries.end(), [now](const LastTry& last_try) {
          return last_try.asked_since != Time{} && now - last_try.asked_since >= kOwnerTimeout;
        });
    if (first_try_timed_out || last_try_timed_out) {
      team.in_flight.clear();
      OnOwnerSilent(team, now);
      continue;
    }
    if (team.unresponsive_since) ServeFromFallbackShare(team, now);
    SendRequestIfDue(team, now);
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

Error QuotaClient::RateLimitError(TeamState& team, Duration time_left, Time now) {
  const auto max_delay = std::chrono::duration_cast<Duration>(time_left * kMaxRetryShare);
  const Time at = std::max(team.next_credit, now);
  team.next_credit = at + team.credit_interval;
  return Error{ErrorKind::kTeamLimit, "team '" + team.name.value + "' has used up its rate",
               Ran::kNo, std::min(at - now, max_delay)};
}

void QuotaClient::DecideFirst(TeamState& team, Result<quota::Admitted> result) {
  decisions_.push_back({team.waiting.front().request.ticket, std::move(result)});
  team.waiting.pop_front();
  --waiting_;
}

void QuotaClient::EvictIdle(Time now) {
  std::erase_if(teams_, [now](const auto& entry) {
    return !entry.second.HasCallers() && now > entry.second.used_at + kEvictAfter;
  });
}

}  // namespace figmill
