#include "gateway/team_access.h"

#include <algorithm>
#include <utility>

#include "gateway/log_text.h"

namespace figmill {
namespace {

constexpr Duration kEntryCheckInterval{100'000};

std::string OwnerKey(const TeamId& team) {
  return "quota/" + team.value;
}

}  // namespace

TeamAccess::TeamAccess(Loop& loop, PeerTable& peers, PeerMessenger& messenger, Metrics& metrics,
                       const TeamSettings& settings)
    : loop_(loop),
      peers_(peers),
      messenger_(messenger),
      metrics_(metrics),
      key_lease_(settings.key_lease()),
      quota_client_(settings.quota),
      quota_owner_(Now(), settings.quota),
      checked_at_(Now()) {
  entry_check_timer_ = loop_.Every(kEntryCheckInterval, [this] { CheckEntries(); });
}

void TeamAccess::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  routes_ = std::move(routes);
}

void TeamAccess::Confirm(Duration asked_at) {
  const bool were_confirmed = ready();
  key_lease_.Confirm(asked_at);
  if (!were_confirmed && ready()) {
    Log(LogLevel::kInfo, "keys_confirmed",
        {{"age_ms", Milliseconds(Loop::SinceBoot() - asked_at)}});
  }
}

bool TeamAccess::ready() const {
  const bool needs_keys = routes_ && routes_->teams() != nullptr;
  return !needs_keys || key_lease_.IsValid(Loop::SinceBoot());
}

std::optional<Duration> TeamAccess::config_age() const {
  return key_lease_.Age(Loop::SinceBoot());
}

void TeamAccess::CountDecision(std::string_view outcome) {
  metrics_
      .counter("figmill_team_decisions_total", "Requests by what their key or quota allowed",
               "outcome=\"" + std::string(outcome) + "\"")
      .Add();
}

// --- Keys -------------------------------------------------------------------------------

Result<std::optional<TeamId>> TeamAccess::Identify(const HttpRequest& request, const Route* route) {
  const TeamDirectory* teams = routes_ ? routes_->teams() : nullptr;
  if (teams == nullptr) return std::optional<TeamId>{};
  const Result<std::string_view> key = ParseBearer(request.headers);
  const Team* team = IsOk(key) ? teams->FindByKey(std::get<std::string_view>(key)) : nullptr;
  const bool open = route != nullptr && route->open;
  if (open && team == nullptr) return std::optional<TeamId>{};
  // An old configuration may lack a new key, or still contain a revoked one.
  if (!ready()) {
    CountDecision("keys_unconfirmed");
    return Error{ErrorKind::kStoreUnavailable, "the teams' keys were not confirmed for too long",
                 Ran::kNo, kUnconfirmedRetryDelay};
  }
  if (!IsOk(key)) {
    CountDecision("no_key");
    return ErrorOf(key);
  }
  if (team == nullptr) {
    CountDecision("unknown_key");
    return Error{ErrorKind::kUnauthorized, "no team holds this key", Ran::kNo};
  }
  return std::optional<TeamId>{team->name};
}

const Team* TeamAccess::TeamOf(const TeamId& team) const {
  const TeamDirectory* teams = routes_ ? routes_->teams() : nullptr;
  return teams == nullptr ? nullptr : teams->Find(team);
}

// --- Quotas at an entry -----------------------------------------------------------------

std::uint64_t TeamAccess::Admit(const TeamId& name, QuotaClient::Request request,
                                std::function<void(const Result<quota::Admitted>&)> done) {
  request.ticket = ++last_ticket_;
  const std::uint64_t ticket = request.ticket;
  const Team* team = TeamOf(name);
  if (team == nullptr || !team->limited()) {
    done(quota::Admitted{Now()});
    return ticket;
  }
  const Owner& owner = OwnerOf(name);
  const quota::AdmitResult verdict =
      quota_client_.Admit(*team, {entry_count_, owner.may_admit_locally}, request, Now());
  std::visit(
      Overloaded{
          [&](const quota::Admitted& admitted) {
            CountDecision("admitted");
            done(admitted);
          },
          [&](const quota::Pending&) { pending_admissions_.emplace(ticket, std::move(done)); },
          [&](const Error& error) {
            CountDecision(ErrorInfoOf(error.kind).name);
            done(error);
          },
      },
      verdict);
  Flush();
  return ticket;
}

void TeamAccess::Cancel(const TeamId& team, std::uint64_t ticket) {
  if (pending_admissions_.erase(ticket) > 0) quota_client_.Cancel(team, ticket);
}

void TeamAccess::Refund(const TeamId& team, const quota::Admitted& admitted) {
  quota_client_.Refund(team, admitted.charged_at, Now());
}

void TeamAccess::OnQuotaGrant(const QuotaGrant& grant) {
  quota_client_.OnGrant(grant, Now());
  Flush();
}

// Repeats until nothing is left: a grant by this entry itself, or a decision, may cause another
// credit request.
void TeamAccess::Flush() {
  if (std::exchange(flushing_, true)) return;
  for (bool more = true; more;) {
    const std::vector<QuotaRequest> asks = quota_client_.TakeRequests();
    for (const QuotaRequest& ask : asks) RequestCredits(ask);
    std::vector<quota::Decision> decisions = quota_client_.TakeDecisions();
    for (const quota::Decision& decision : decisions) {
      auto waiting = pending_admissions_.extract(decision.ticket);
      if (waiting.empty()) continue;
      const std::string_view admitted = decision.booked ? "waited" : "admitted";
      CountDecision(IsOk(decision.result) ? admitted
                                          : ErrorInfoOf(ErrorOf(decision.result).kind).name);
      waiting.mapped()(decision.result);
    }
    more = !asks.empty() || !decisions.empty();
  }
  flushing_ = false;
  ArmTimer();
}

void TeamAccess::RequestCredits(const QuotaRequest& ask) {
  const Owner& owner = OwnerOf(ask.team);
  if (!owner.peer) return;
  if (owner.peer->node == peers_.self().node) return quota_client_.OnGrant(MakeGrant(ask), Now());
  messenger_.SendQuota(*owner.peer, ask);
}

void TeamAccess::ArmTimer() {
  if (!quota_client_.has_waiting() || std::exchange(timer_armed_, true)) return;
  quota_timer_ = loop_.After(QuotaClient::kRetryInterval / 2, [this] {
    timer_armed_ = false;
    quota_client_.ApplyTimeouts(Now());
    Flush();
  });
}

// --- Quotas at their owner --------------------------------------------------------------

void TeamAccess::OnQuotaRequest(const Peer& from, const QuotaRequest& ask) {
  messenger_.SendQuota(from, MakeGrant(ask));
}

QuotaGrant TeamAccess::MakeGrant(const QuotaRequest& ask) {
  QuotaGrant grant;
  grant.number = ask.number;
  grant.team = ask.team;
  // Checked before any state is stored for the team's name, because any host can send to the peer
  // port.
  const Team* team = TeamOf(ask.team);
  if (team == nullptr || !team->limited()) return grant;
  const std::optional<Peer>& owner = OwnerOf(ask.team).peer;
  const bool owned = owner && owner->node == peers_.self().node && MayOwn();
  if (owned) grant = quota_owner_.Grant(ask, *team, Now());
  return grant;
}

bool TeamAccess::MayOwn() {
  const std::optional<Duration> age = key_lease_.Age(Loop::SinceBoot());
  return (age && *age < kOwnershipConfirmationTtl) || peers_.HearsMajority(Loop::Now());
}

const TeamAccess::Owner& TeamAccess::OwnerOf(const TeamId& team) {
  const auto found = owners_.find(team);
  if (found != owners_.end()) return found->second;
  return owners_.emplace(team, FindOwner(team)).first->second;
}

TeamAccess::Owner TeamAccess::FindOwner(const TeamId& team) const {
  const std::vector<Peer> ranked = peers_.RankedFor(OwnerKey(team), Loop::Now());
  if (ranked.empty()) return {};
  const auto self = std::find_if(ranked.begin(), ranked.end(), [this](const Peer& peer) {
    return peer.node == peers_.self().node;
  });
  const auto rank = static_cast<std::size_t>(self - ranked.begin());
  return {ranked.front(), self != ranked.end() && rank < quota_client_.bounds().FallbackEntries()};
}

void TeamAccess::CountBookings() {
  const BookingCounts before = std::exchange(counted_bookings_, quota_owner_.counts());
  const auto count = [this](std::string_view outcome, std::uint64_t bookings) {
    if (bookings == 0) return;
    metrics_
        .counter("figmill_quota_bookings_total", "Bookings of credits at the owners of quotas",
                 "outcome=\"" + std::string(outcome) + "\"")
        .Add(bookings);
  };
  count("made", counted_bookings_.made - before.made);
  count("claimed", counted_bookings_.claimed - before.claimed);
  count("expired", counted_bookings_.expired - before.expired);
  count("missed", counted_bookings_.missed - before.missed);
}

void TeamAccess::CheckEntries() {
  CountBookings();
  const Time last_checked = std::exchange(checked_at_, Now());
  if (checked_at_ - last_checked > kStallThreshold || !MayOwn()) quota_owner_.Reset(Now());
  UpdateEntryCount();
  const Time now = Loop::Now();
  const std::uint64_t generation = peers_.Generation(now);
  if (generation == peers_generation_) return;
  peers_generation_ = generation;
  for (auto& [team, owner] : owners_) {
    const std::optional<Peer> before = std::exchange(owner, FindOwner(team)).peer;
    const bool same = before && owner.peer && before->node == owner.peer->node &&
                      before->incarnation == owner.peer->incarnation;
    if (!same) quota_client_.OnOwnerChanged(team);
  }
  quota_owner_.OnEntriesChanged(
      [this](const TeamId& team) {
        const std::optional<Peer>& owner = OwnerOf(team).peer;
        return owner && owner->node == peers_.self().node;
      },
      Now());
}

void TeamAccess::UpdateEntryCount() {
  const std::size_t live = peers_.Live(Loop::Now()).size();
  if (live < entry_count_ && Now() - entry_count_at_ < kEntryCountWindow) return;
  entry_count_ = live;
  entry_count_at_ = Now();
}

}  // namespace figmill
