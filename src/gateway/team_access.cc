#include "gateway/team_access.h"

#include <algorithm>
#include <utility>

#include "gateway/log_text.h"

namespace figmill {
namespace {

constexpr Duration kWatchEntries{100'000};

std::string OwnerKey(const TeamId& team) {
  return "quota/" + team.value;
}

}  // namespace

TeamAccess::TeamAccess(Loop& loop, PeerTable& peers, PeerLink& link, Metrics& metrics,
                       const TeamSettings& settings)
    : loop_(loop),
      peers_(peers),
      link_(link),
      metrics_(metrics),
      lease_(settings.lease()),
      client_(settings.quota),
      owner_(Now()),
      watched_at_(Now()) {
  watch_timer_ = loop_.Every(kWatchEntries, [this] { WatchEntries(); });
}

void TeamAccess::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  routes_ = std::move(routes);
}

void TeamAccess::Confirm(Duration asked_at) {
  const bool held = ready();
  lease_.Confirm(asked_at);
  if (!held && ready()) {
    Log(LogLevel::kInfo, "keys_confirmed",
        {{"age_ms", Milliseconds(Loop::SinceBoot() - asked_at)}});
  }
}

bool TeamAccess::ready() const {
  const bool needs_keys = routes_ && routes_->teams() != nullptr;
  return !needs_keys || lease_.Holds(Loop::SinceBoot());
}

std::optional<Duration> TeamAccess::age() const {
  return lease_.Age(Loop::SinceBoot());
}

void TeamAccess::Count(std::string_view outcome) {
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
  const Team* team = IsOk(key) ? teams->HolderOf(std::get<std::string_view>(key)) : nullptr;
  const bool open = route != nullptr && route->open;
  if (open && team == nullptr) return std::optional<TeamId>{};
  // An old configuration may lack the key, or still have one that was taken away.
  if (!ready()) {
    Count("keys_unconfirmed");
    return Error{ErrorKind::kStoreUnavailable, "the teams' keys were not confirmed for too long",
                 Ran::kNo, kUnconfirmedPause};
  }
  if (!IsOk(key)) {
    Count("no_key");
    return ErrorOf(key);
  }
  if (team == nullptr) {
    Count("unknown_key");
    return Error{ErrorKind::kUnauthorized, "no team holds this key", Ran::kNo};
  }
  return std::optional<TeamId>{team->name};
}

const Team* TeamAccess::TeamOf(const TeamId& team) const {
  const TeamDirectory* teams = routes_ ? routes_->teams() : nullptr;
  return teams == nullptr ? nullptr : teams->Find(team);
}

// --- Quotas at an entry -----------------------------------------------------------------

void TeamAccess::Admit(const TeamId& name, Duration time_left,
                       std::function<void(const Result<quota::Admitted>&)> done) {
  const Team* team = TeamOf(name);
  if (team == nullptr || !team->limited()) return done(quota::Admitted{Now()});
  const Owner& owner = OwnerOf(name);
  const std::uint64_t ticket = ++tickets_;
  const quota::Verdict verdict =
      client_.Admit(*team, {entries_, owner.free}, {ticket, time_left}, Now());
  std::visit(Overloaded{
                 [&](const quota::Admitted& admitted) {
                   Count("admitted");
                   done(admitted);
                 },
                 [&](const quota::Waits&) { waiting_.emplace(ticket, std::move(done)); },
                 [&](const Error& error) {
                   Count(ErrorInfoOf(error.kind).name);
                   done(error);
                 },
             },
             verdict);
  Flush();
}

void TeamAccess::GiveBack(const TeamId& team, const quota::Admitted& admitted) {
  client_.GiveBack(team, admitted.charged_at, Now());
}

void TeamAccess::OnGrant(const QuotaGrant& grant) {
  client_.OnGrant(grant, Now());
  Flush();
}

// A grant of this entry's own, or a decision, may make the client ask again.
void TeamAccess::Flush() {
  if (std::exchange(flushing_, true)) return;
  for (bool more = true; more;) {
    const std::vector<QuotaAsk> asks = client_.TakeAsks();
    for (const QuotaAsk& ask : asks) Ask(ask);
    std::vector<quota::Decision> decisions = client_.TakeDecisions();
    for (const quota::Decision& decision : decisions) {
      auto waiting = waiting_.extract(decision.ticket);
      if (waiting.empty()) continue;
      Count(IsOk(decision.verdict) ? "admitted" : ErrorInfoOf(ErrorOf(decision.verdict).kind).name);
      waiting.mapped()(decision.verdict);
    }
    more = !asks.empty() || !decisions.empty();
  }
  flushing_ = false;
  ArmTimer();
}

void TeamAccess::Ask(const QuotaAsk& ask) {
  const Owner& owner = OwnerOf(ask.team);
  if (!owner.peer) return;
  if (owner.peer->node == peers_.self().node) return client_.OnGrant(GrantOf(ask), Now());
  link_.SendQuota(*owner.peer, ask);
}

void TeamAccess::ArmTimer() {
  if (!client_.waits() || std::exchange(timer_armed_, true)) return;
  timer_ = loop_.After(QuotaClient::kAskAgain / 2, [this] {
    timer_armed_ = false;
    client_.OnTime(Now());
    Flush();
  });
}

// --- Quotas at their owner --------------------------------------------------------------

void TeamAccess::OnAsk(const Peer& from, const QuotaAsk& ask) {
  link_.SendQuota(from, GrantOf(ask));
}

QuotaGrant TeamAccess::GrantOf(const QuotaAsk& ask) {
  QuotaGrant grant{ask.number, ask.team, false, 0, Duration{0}, Duration{0}};
  // Before anything is kept for its name: anybody may send to the port of the peers.
  const Team* team = TeamOf(ask.team);
  if (team == nullptr || !team->limited()) return grant;
  const std::optional<Peer>& owner = OwnerOf(ask.team).peer;
  const bool owned = owner && owner->node == peers_.self().node && MayOwn();
  if (owned) grant = owner_.Grant(ask, *team, Now());
  return grant;
}

bool TeamAccess::MayOwn() {
  const std::optional<Duration> age = lease_.Age(Loop::SinceBoot());
  return (age && *age < kOwnerConfirm) || peers_.HearsMost(Loop::Now());
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
  return {ranked.front(), self != ranked.end() && rank < client_.bounds().FreeEntries()};
}

void TeamAccess::WatchEntries() {
  const Time last_watched = std::exchange(watched_at_, Now());
  if (watched_at_ - last_watched > kStoodStill || !MayOwn()) owner_.Restart(Now());
  CountEntries();
  const Time now = Loop::Now();
  const std::uint64_t generation = peers_.Generation(now);
  if (generation == peers_generation_) return;
  peers_generation_ = generation;
  for (auto& [team, owner] : owners_) {
    const std::optional<Peer> before = std::exchange(owner, FindOwner(team)).peer;
    const bool same = before && owner.peer && before->node == owner.peer->node &&
                      before->incarnation == owner.peer->incarnation;
    if (!same) client_.OnOwnerChanged(team);
  }
  owner_.OnEntriesChanged(
      [this](const TeamId& team) {
        const std::optional<Peer>& owner = OwnerOf(team).peer;
        return owner && owner->node == peers_.self().node;
      },
      Now());
}

void TeamAccess::CountEntries() {
  const std::size_t live = peers_.Live(Loop::Now()).size();
  if (live < entries_ && Now() - most_entries_at_ < kEntriesRemembered) return;
  entries_ = live;
  most_entries_at_ = Now();
}

}  // namespace figmill
