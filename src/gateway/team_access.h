#pragma once

// Authenticates callers by their keys and enforces the request quotas of their teams.

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
#include "gateway/peer_messenger.h"

namespace figmill {

class TeamAccess {
 public:
  // An entry that has had no answer from the store for this long, and doesn't hear most of the
  // other entries, grants no credits: it may be partitioned, and another entry may be the owner.
  static constexpr Duration kOwnershipConfirmationTtl{3'000'000};
  // If the check that is due every kEntryCheckInterval is later than this, the process was stalled.
  static constexpr Duration kStallThreshold{1'000'000};
  // An entry that is partitioned takes the others for dead. Its part of a quota is therefore
  // computed from the largest number of live entries within this time.
  static constexpr Duration kEntryCountWindow{60'000'000};
  // Retry delay for callers while the configuration is older than its limit.
  static constexpr Duration kUnconfirmedRetryDelay{500'000};

  TeamAccess(Loop& loop, PeerTable& peers, PeerMessenger& messenger, Metrics& metrics,
             const TeamSettings& settings);

  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  // The routes were in force at `asked_at`, when the store was asked (Loop::SinceBoot).
  void Confirm(Duration asked_at);
  // Whether keys can be checked now.
  [[nodiscard]] bool ready() const;
  // Time since the configuration was last confirmed; nullopt before the first time.
  [[nodiscard]] std::optional<Duration> config_age() const;

  // The team of a request; nullopt if the request needs no key. `route`: null for calls about
  // accepted jobs. Errors: kUnauthorized; kStoreUnavailable while the keys are not confirmed.
  [[nodiscard]] Result<std::optional<TeamId>> Identify(const HttpRequest& request,
                                                       const Route* route);

  // Charges a request to the quota of the team. `done` may be called from within this call. Errors:
  // kTeamLimit, kNoBackend. Returns the request's ticket; the one that is passed has no meaning.
  std::uint64_t Admit(const TeamId& team, QuotaClient::Request request,
                      std::function<void(const Result<quota::Admitted>&)> done);
  // The caller has disconnected; `done` is not called any more.
  void Cancel(const TeamId& team, std::uint64_t ticket);
  // Refunds a request that was refused and has not run.
  void Refund(const TeamId& team, const quota::Admitted& admitted);

  // Messages from other entries.
  void OnQuotaRequest(const Peer& from, const QuotaRequest& ask);
  void OnQuotaGrant(const QuotaGrant& grant);

 private:
  struct Owner {
    std::optional<Peer> peer;        // nullopt if no entry can be the owner now
    bool may_admit_locally = false;  // this entry may admit a request without asking the owner
  };

  // The clock of quotas and of the age of keys.
  [[nodiscard]] static Time Now() { return Time(Loop::SinceBoot()); }
  [[nodiscard]] const Team* TeamOf(const TeamId& team) const;
  [[nodiscard]] const Owner& OwnerOf(const TeamId& team);
  [[nodiscard]] Owner FindOwner(const TeamId& team) const;
  [[nodiscard]] bool MayOwn();
  [[nodiscard]] QuotaGrant MakeGrant(const QuotaRequest& ask);
  void CheckEntries();
  void UpdateEntryCount();
  // Sends the credit requests of the quota client and delivers its decisions.
  void Flush();
  void RequestCredits(const QuotaRequest& ask);
  void ArmTimer();
  void CountDecision(std::string_view outcome);
  void CountBookings();

  Loop& loop_;
  PeerTable& peers_;
  PeerMessenger& messenger_;
  Metrics& metrics_;
  std::shared_ptr<const RouteTable> routes_;
  KeyLease key_lease_;
  QuotaClient quota_client_;
  QuotaOwner quota_owner_;
  BookingCounts counted_bookings_;
  std::map<TeamId, Owner> owners_;
  std::size_t entry_count_ = 1;  // the most live entries within kEntryCountWindow
  Time entry_count_at_{};
  std::uint64_t peers_generation_ = 0;
  Time checked_at_{};
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, std::function<void(const Result<quota::Admitted>&)>> pending_admissions_;
  bool flushing_ = false;
  bool timer_armed_ = false;
  Timer quota_timer_, entry_check_timer_;
};

}  // namespace figmill
