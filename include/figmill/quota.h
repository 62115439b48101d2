#pragma once

// Rate limits of teams over all entries together. Each team's quota has an owner among the entries,
// which all entries find by the same rendezvous hash. The owner keeps the team's token bucket and
// grants credits from it. An entry charges one credit for each request, and requests more credits
// from the owner when it has none. No I/O and no clock: the caller passes the time in.
//
// The time must come from a clock that also runs while the host is suspended: after a resume, an
// entry must not spend credits that were granted before the suspend.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/overload.h"
#include "figmill/teams.h"

namespace figmill {

// --- Messages ----------------------------------------------------------------------

// From an entry to the owner of a team's quota.
struct QuotaRequest {
  std::uint64_t number = 0;  // increases with each request of this process
  TeamId team;
  std::uint32_t wanted = 0;    // credits requested
  std::uint32_t returned = 0;  // unspent credits of earlier grants that have expired
  bool operator==(const QuotaRequest&) const = default;
};

struct QuotaGrant {
  std::uint64_t number = 0;  // of the request that this grant answers
  TeamId team;
  bool owned = false;  // the sender owns the quota; if false, the other fields have no meaning
  std::uint32_t credits = 0;
  Duration time_to_next{0};     // if fewer were granted than requested: time until the next credit
  Duration credit_interval{0};  // interval between the credits after that
  bool operator==(const QuotaGrant&) const = default;
};

// --- Limits ------------------------------------------------------------------------

// The most requests in any time window: (rate * window + burst) * (1 + excess) + slack.
struct QuotaBounds {
  Duration window{5'000'000};
  double excess = 0.1;
  std::uint32_t slack = 20;

  // Credits expire this long after they were requested. A window may contain requests on credits
  // that were granted up to this long before it, which uses up half of `excess`.
  [[nodiscard]] Duration CreditLifetime() const;
  // Number of entries that may admit a team's requests on their own while its owner doesn't
  // respond.
  [[nodiscard]] std::size_t FallbackEntries() const { return slack / 2; }
};

// A token bucket.
class CreditBucket {
 public:
  CreditBucket(double level, Time now) : level_(level), at_(now) {}
  void Refill(double per_second, double capacity, Time now);
  // Removes whole credits, at most `max_credits`, and returns their number.
  [[nodiscard]] std::uint32_t TakeUpTo(std::uint32_t max_credits);
  void Return(std::uint32_t credits) { level_ += credits; }
  // Time until there is a whole credit.
  [[nodiscard]] Duration TimeToNextCredit(double per_second) const;

 private:
  double level_;
  Time at_;
};

// --- Owner -------------------------------------------------------------------------

// Token buckets of the quotas that this process owns.
class QuotaOwner {
 public:
  // Initial credits of a team whose quota this process has just started to own: the previous owner
  // may have granted the whole burst.
  static constexpr double kInitialCredits = 2;
  static constexpr std::size_t kMaxTeams = 8192;

  explicit QuotaOwner(Time started_at) : may_own_since_(started_at) {}

  // Forgets all buckets. Call it when this process may have lost the ownership of quotas without
  // noticing, because it was stopped or cut off: another entry may have granted the same credits
  // meanwhile.
  void Reset(Time now);
  // The set of live entries has changed: forgets the quotas that this process no longer owns.
  void OnEntriesChanged(const std::function<bool(const TeamId&)>& owns, Time now);
  [[nodiscard]] QuotaGrant Grant(const QuotaRequest& request, const Team& team, Time now);
  [[nodiscard]] std::size_t tracked() const { return buckets_.size(); }

 private:
  Time may_own_since_;  // start of the earliest possible ownership of a team that is not tracked
  std::map<TeamId, CreditBucket> buckets_;
};

// --- Entry -------------------------------------------------------------------------

namespace quota {

struct Admitted {
  Time charged_at{};
};
// The decision follows from OnGrant or ApplyTimeouts.
struct Pending {};
using AdmitResult = std::variant<Admitted, Pending, Error>;

// Decision on a request that had to wait. The error is kTeamLimit, or kNoBackend if the owner
// doesn't respond and this entry's fallback share is used up; the request has not run in either
// case.
struct Decision {
  std::uint64_t ticket = 0;
  Result<Admitted> result;
};

}  // namespace quota

// Admits requests at an entry with credits from the owners of the quotas.
class QuotaClient {
 public:
  // An owner responds within a few ms, or some tens of ms on a busy host. Requests to it may be
  // lost, so one is sent again before the owner counts as unresponsive.
  static constexpr Duration kRetryInterval{40'000};
  static constexpr Duration kOwnerTimeout{100'000};
  // Interval at which an unresponsive owner is probed.
  static constexpr Duration kOwnerProbeInterval{250'000};
  // Rate that all entries together admit while the owner doesn't respond. The owner may still serve
  // other entries, so this comes on top of the whole quota. Unit: share of the limit.
  static constexpr double kFallbackShare = 0.4;
  // After a refusal, further requests are refused from the last grant for this long, or until its
  // next credit if that is sooner.
  static constexpr Duration kRefusalLifetime{50'000};
  static constexpr std::size_t kMaxTeams = 8192;
  // Most requests of one team that wait for a grant at a time; no more arrive within
  // kOwnerTimeout.
  static constexpr std::size_t kMaxWaiting = 4096;
  static constexpr Duration kEvictAfter{60'000'000};

  struct Entries {
    std::size_t count = 1;  // live lately, including this one
    // Whether this entry may admit requests on its own while the owner doesn't respond.
    bool may_admit_alone = true;
  };

  explicit QuotaClient(QuotaBounds bounds) : bounds_(bounds) {}

  struct Request {
    std::uint64_t ticket = 0;  // identifies the request in a later decision
    Duration time_left{0};     // until the caller's deadline
  };
  // Charges a request to the team's quota.
  [[nodiscard]] quota::AdmitResult Admit(const Team& team, const Entries& entries,
                                         const Request& request, Time now);
  // Refunds a request that was refused after it was charged, and has not run.
  void Refund(const TeamId& team, Time charged_at, Time now);
  void OnGrant(const QuotaGrant& grant, Time now);
  // The team's quota has a new owner, which has not missed a deadline yet.
  void OnOwnerChanged(const TeamId& team);
  // Applies timeouts; call it every kRetryInterval / 2 while `has_waiting`.
  void ApplyTimeouts(Time now);

  // Requests to send now, each to its team's owner; call both functions after each of the above.
  [[nodiscard]] std::vector<QuotaRequest> TakeRequests() { return std::exchange(requests_, {}); }
  [[nodiscard]] std::vector<quota::Decision> TakeDecisions() {
    return std::exchange(decisions_, {});
  }
  [[nodiscard]] bool has_waiting() const { return waiting_ > 0; }
  [[nodiscard]] const QuotaBounds& bounds() const { return bounds_; }
  [[nodiscard]] std::size_t tracked() const { return teams_.size(); }

 private:
  struct Waiting {
    Request request;
    Time since{};
  };
  struct SentRequest {
    std::uint64_t number = 0;
    Time sent_at{};
  };
  struct TeamState {
    TeamId name;
    double per_second = 0;
    double burst = 0;
    Entries entries;
    std::uint32_t credits = 0;
    Time credits_until{};
    std::uint32_t returned = 0;  // not reported to the owner yet
    std::deque<Waiting> waiting;
    std::vector<SentRequest> in_flight;  // sent and not answered yet
    std::optional<Time> unresponsive_since;
    Time last_sent_at{};  // time of the last request to the owner
    // Set by a grant of fewer credits than requested.
    Time refused_until{};
    Time next_credit{};
    Duration credit_interval{0};
    RetryScheduler retries;
    // Arrival rate, to request credits ahead of need.
    double arrival_rate = 0;
    Time last_arrival_at{};
    CreditBucket fallback_share{0, Time{}};  // used while the owner doesn't respond
    Time used_at{};
  };

  [[nodiscard]] TeamState* Track(const Team& team, const Entries& entries, Time now);
  void DropExpired(TeamState& team, Time now) const;
  void CountArrival(TeamState& team, Time now) const;
  void SendRequest(TeamState& team, Time now);
  // Whether a request to the owner may still be answered; those that are older than kRetryInterval
  // don't count.
  [[nodiscard]] static bool HasPendingRequest(TeamState& team, Time now);
  [[nodiscard]] Result<quota::Admitted> ChargeFallbackShare(TeamState& team, Time now) const;
  [[nodiscard]] static Error RateLimitError(TeamState& team, Duration time_left, Time now);
  void DecideFirst(TeamState& team, Result<quota::Admitted> result);
  void EvictIdle(Time now);

  QuotaBounds bounds_;
  std::map<TeamId, TeamState> teams_;
  std::uint64_t last_number_ = 0;
  std::size_t waiting_ = 0;
  std::vector<QuotaRequest> requests_;
  std::vector<quota::Decision> decisions_;
};

}  // namespace figmill
