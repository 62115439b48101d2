#pragma once

// Whether a caller may make its request: whose key it carries, and whether its team has a request
// left.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "figmill/gateway.h"
#include "figmill/quota.h"
#include "figmill/routes.h"
#include "figmill/teams.h"
#include "gateway/peer_link.h"

namespace figmill {

class TeamAccess {
 public:
  // Without a word of the store for so long, and with most of the other entries silent, an entry
  // grants no credits: it may be cut off, and another one be the owner.
  static constexpr Duration kOwnerConfirm{3'000'000};
  // Later than this, a check that is due each kWatchEntries shows that the process stood still.
  static constexpr Duration kStoodStill{1'000'000};
  // An entry that is cut off believes the others to be gone. Its part of a quota is reckoned by all
  // that were there within this time.
  static constexpr Duration kEntriesRemembered{60'000'000};
  // After a configuration whose age is over its bound, callers come back this soon.
  static constexpr Duration kUnconfirmedPause{500'000};

  TeamAccess(Loop& loop, PeerTable& peers, PeerLink& link, Metrics& metrics,
             const TeamSettings& settings);

  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  // The routes were in force when the store was asked, by Loop::SinceBoot.
  void Confirm(Duration asked_at);
  // Whether keys can be told at all now.
  [[nodiscard]] bool ready() const;
  [[nodiscard]] std::optional<Duration> age() const;

  // The team of a request; nothing when callers need no keys. `route`: null for calls about
  // accepted jobs. Errors: kUnauthorized; kStoreUnavailable while the keys are not known.
  [[nodiscard]] Result<std::optional<TeamId>> Identify(const HttpRequest& request,
                                                       const Route* route);

  // Charges a request of the team. `done` may be called at once. Errors: kTeamLimit, kNoBackend.
  void Admit(const TeamId& team, Duration time_left,
             std::function<void(const Result<quota::Admitted>&)> done);
  // It was refused and has not run.
  void GiveBack(const TeamId& team, const quota::Admitted& admitted);

  // From other entries.
  void OnAsk(const Peer& from, const QuotaRequest& ask);
  void OnGrant(const QuotaGrant& grant);

 private:
  struct Owner {
    std::optional<Peer> peer;  // nothing: no entry can be one now
    bool free = false;         // this entry may admit a request on its own
  };

  // By the clock that quotas and the age of keys go by.
  [[nodiscard]] static Time Now() { return Time(Loop::SinceBoot()); }
  [[nodiscard]] const Team* TeamOf(const TeamId& team) const;
  [[nodiscard]] const Owner& OwnerOf(const TeamId& team);
  [[nodiscard]] Owner FindOwner(const TeamId& team) const;
  [[nodiscard]] bool MayOwn();
  [[nodiscard]] QuotaGrant GrantOf(const QuotaRequest& ask);
  void WatchEntries();
  void CountEntries();
  // Sends what the client wants to ask, and tells what it has decided.
  void Flush();
  void Ask(const QuotaRequest& ask);
  void ArmTimer();
  void Count(std::string_view outcome);

  Loop& loop_;
  PeerTable& peers_;
  PeerLink& link_;
  Metrics& metrics_;
  std::shared_ptr<const RouteTable> routes_;
  KeyLease lease_;
  QuotaClient client_;
  QuotaOwner owner_;
  std::map<TeamId, Owner> owners_;
  std::size_t entries_ = 1;  // the most that were there lately
  Time most_entries_at_{};
  std::uint64_t peers_generation_ = 0;
  Time watched_at_{};
  std::uint64_t tickets_ = 0;
  std::map<std::uint64_t, std::function<void(const Result<quota::Admitted>&)>> waiting_;
  bool flushing_ = false;
  bool timer_armed_ = false;
  Timer timer_, watch_timer_;
};

}  // namespace figmill
