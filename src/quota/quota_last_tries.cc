// Last tries that wait at an entry for a credit.

#include <algorithm>
#include <utility>

#include "figmill/quota.h"

namespace figmill {

void QuotaClient::AskForLastTries(TeamState& team, QuotaRequest& request, SentRequest& sent,
                                  Time now) {
  for (LastTry& last_try : team.last_tries) {
    if (request.last_tries.size() >= kMaxQuotaLastTries) return;
    if (!last_try.IsDue(now)) continue;
    if (last_try.asked_since == Time{}) last_try.asked_since = now;
    last_try.last_asked_at = now;
    request.last_tries.push_back(
        {last_try.booking, std::max(last_try.give_up_at - now, Duration{0})});
    sent.last_tries.push_back({last_try.request.ticket, last_try.booking});
  }
}

void QuotaClient::ApplyBookings(TeamState& team, std::span<const AskedLastTry> asked,
                                const QuotaGrant& grant, Time now) {
  for (std::size_t i = 0; i < asked.size(); ++i) {
    if (i < grant.bookings.size()) {
      ApplyBooking(team, asked[i], grant.bookings[i], now);
      continue;
    }
    // An owner of an earlier version makes no bookings: the credits go to the callers in order.
    const Duration wait =
        team.credits > 0 ? Duration{0} : std::max(grant.time_to_next, Duration{1});
    ApplyBooking(team, asked[i], {0, wait}, now);
  }
}

void QuotaClient::ApplyBooking(TeamState& team, const AskedLastTry& asked,
                               const QuotaBooking& answer, Time now) {
  const auto found =
      std::find_if(team.last_tries.begin(), team.last_tries.end(),
                   [&asked](const LastTry& each) { return each.request.ticket == asked.ticket; });
  if (found == team.last_tries.end()) {
    // The caller is gone. The owner answers a repeated claim with the same credit again, so a
    // credit that was claimed is for this caller alone; another one is for others.
    const bool claimed = asked.booking != 0 && answer.wait <= Duration{0};
    if (claimed && team.credits > 0) --team.credits;
    return;
  }
  const auto index = static_cast<std::size_t>(found - team.last_tries.begin());
  if (answer.wait <= Duration{0} && team.credits > 0) {
    --team.credits;
    return DecideLastTry(team, index, quota::Admitted{now});
  }
  // A late answer to a request that was sent again: the later answer counts.
  if (found->booking != asked.booking) return;
  if (answer.wait > Duration{0} && answer.booking == 0) {
    return DecideLastTry(team, index, LastTryError(team, *found, answer.wait));
  }
  if (answer.booking != 0) found->booking = answer.booking;
  found->ask_at = now + answer.wait;
  found->asked_since = {};
}

void QuotaClient::OnOwnerSilent(TeamState& team, Time now) {
  if (!team.unresponsive_since) team.unresponsive_since = now;
  while (!team.waiting.empty()) DecideFirst(team, ChargeFallbackShare(team, now));
  ServeFromFallbackShare(team, now);
}

void QuotaClient::ServeFromFallbackShare(TeamState& team, Time now) {
  for (std::size_t i = 0; i < team.last_tries.size();) {
    LastTry& last_try = team.last_tries[i];
    if (!last_try.IsDue(now)) {
      ++i;
      continue;
    }
    Result<quota::Admitted> result = ChargeFallbackShare(team, now);
    if (IsOk(result)) {
      DecideLastTry(team, i, std::move(result));
      continue;
    }
    if (now - team.last_sent_at >= kOwnerProbeInterval) SendRequest(team, now);
    last_try.ask_at = now + kOwnerProbeInterval;
    last_try.asked_since = {};
    ++i;
  }
}

void QuotaClient::GiveUpLastTries(TeamState& team, Time now) {
  for (std::size_t i = 0; i < team.last_tries.size();) {
    const LastTry& last_try = team.last_tries[i];
    if (now < last_try.give_up_at) {
      ++i;
      continue;
    }
    Result<quota::Admitted> result = LastTryError(team, last_try, kOwnerProbeInterval);
    if (team.unresponsive_since) result = ChargeFallbackShare(team, now);
    DecideLastTry(team, i, std::move(result));
  }
}

Error QuotaClient::LastTryError(const TeamState& team, const LastTry& last_try, Duration wait) {
  const auto max_delay =
      std::chrono::duration_cast<Duration>(last_try.request.time_left * kMaxRetryShare);
  return Error{ErrorKind::kTeamLimit,
               "team '" + team.name.value +
                   "' has used up its rate, and no credit is due before the caller's deadline",
               Ran::kNo, std::min(wait, max_delay)};
}

void QuotaClient::DecideLastTry(TeamState& team, std::size_t index,
                                Result<quota::Admitted> result) {
  const auto at = team.last_tries.begin() + static_cast<std::ptrdiff_t>(index);
  decisions_.push_back({at->request.ticket, std::move(result), at->booking != 0});
  team.last_tries.erase(at);
  --waiting_;
}

void QuotaClient::Cancel(const TeamId& name, std::uint64_t ticket) {
  const auto found = teams_.find(name);
  if (found == teams_.end()) return;
  TeamState& team = found->second;
  waiting_ -= std::erase_if(
      team.waiting, [ticket](const Waiting& each) { return each.request.ticket == ticket; });
  waiting_ -= std::erase_if(
      team.last_tries, [ticket](const LastTry& each) { return each.request.ticket == ticket; });
}

}  // namespace figmill
