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
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/teams.h"

namespace figmill {

// --- Messages ----------------------------------------------------------------------

// Most last tries in one request for credits, so that it fits into a datagram.
inline constexpr std::size_t kMaxQuotaLastTries = 32;

// A caller on its last try, for whom the owner may book a credit. A booking is a place in the
// owner's line and no credit: the entry requests the credit when the booking is due.
struct QuotaLastTry {
  std::uint64_t booking = 0;  // that the owner made for this caller; 0: none yet
  Duration max_wait{0};
  bool operator==(const QuotaLastTry&) const = default;
};

// The owner's answer for one last try. It is served by one of the grant's credits if `wait` is 0,
// refused if `booking` is 0, and due to ask again after `wait` if it isn't.
struct QuotaBooking {
  std::uint64_t booking = 0;
  Duration wait{0};
  bool operator==(const QuotaBooking&) const = default;
};

// From an entry to the owner of a team's quota.
struct QuotaRequest {
  std::uint64_t number = 0;  // increases with each request of this process
  TeamId team;
  std::uint32_t wanted = 0;    // credits requested, including those for the last tries
  std::uint32_t returned = 0;  // unspent credits of earlier grants that have expired
  std::vector<QuotaLastTry> last_tries = {};  // at most kMaxQuotaLastTries
  bool operator==(const QuotaRequest&) const = default;
};

struct QuotaGrant {
  std::uint64_t number = 0;  // of the request that this grant answers
  TeamId team;
  bool owned = false;  // the sender owns the quota; if false, the other fields have no meaning
  std::uint32_t credits = 0;
  // If first tries got fewer credits than requested: time until the first credit that is free for
  // them, and the interval between the credits after that.
  Duration time_to_next{0};
  Duration credit_interval{0};
  std::vector<QuotaBooking> bookings = {};  // one for each last try of the request, in its order
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
  // The owner keeps the credit of a booking that is due out of its bucket for at most this long.
  // The credits of a grant to a caller with a booking expire earlier by as much.
  [[nodiscard]] Duration ClaimHold() const;
  // Number of entries that may admit a team's requests on their own while its owner doesn't
  // respond.
  [[nodiscard]] std::size_t FallbackEntries() const { return slack / 2; }
  // An owner that is lost is replaced no sooner than this, also if all processes are restarted.
  static constexpr Duration kMinOwnership{1'000'000};
  // When all entries start at once, several may take themselves for the owner for a moment.
  static constexpr double kMaxInitialCredits = 5;
  // What an entry may grant at once when it starts to own the team's quota, although its
  // predecessors may have granted all that their buckets held: what the bound leaves, divided by
  // the number of owners that may start within a window.
  [[nodiscard]] double InitialCredits(const Team& team) const;
};

// A token bucket.
class CreditBucket {
 public:
  CreditBucket(double level, Time now) : level_(level), at_(now) {}
  void Refill(double per_second, double capacity, Time now);
  // Removes whole credits, at most `max_credits`, and returns their number.
  [[nodiscard]] std::uint32_t TakeUpTo(std::uint32_t max_credits);
  void Return(std::uint32_t credits) { level_ += credits; }
  [[nodiscard]] double level() const { return level_; }
  [[nodiscard]] Time at() const { return at_; }  // of the last refill

 private:
  double level_;
  Time at_;
};

// --- Owner -------------------------------------------------------------------------

class OwnedQuota;

// Bookings of last tries since the process started.
struct BookingCounts {
  std::uint64_t made = 0;
  std::uint64_t claimed = 0;
  std::uint64_t expired = 0;  // not claimed in time: the caller or its entry is gone
  std::uint64_t missed = 0;   // claimed, and there was no credit before the caller's deadline
  bool operator==(const BookingCounts&) const = default;
  BookingCounts& operator+=(const BookingCounts& other);
};

// Token buckets and bookings of the quotas that this process owns.
class QuotaOwner {
 public:
  static constexpr std::size_t kMaxTeams = 8192;

  explicit QuotaOwner(Time started_at, QuotaBounds bounds = {});
  ~QuotaOwner();
  QuotaOwner(QuotaOwner&& other) noexcept;
  QuotaOwner& operator=(QuotaOwner&& other) noexcept;

  // Forgets all buckets. Call it when this process may have lost the ownership of quotas without
  // noticing, because it was stopped or cut off: another entry may have granted the same credits
  // meanwhile.
  void Reset(Time now);
  // The set of live entries has changed: forgets the quotas that this process no longer owns.
  void OnEntriesChanged(const std::function<bool(const TeamId&)>& owns, Time now);
  [[nodiscard]] QuotaGrant Grant(const QuotaRequest& request, const Team& team, Time now);
  [[nodiscard]] std::size_t tracked() const { return quotas_.size(); }
  [[nodiscard]] const BookingCounts& counts() const { return counts_; }

 private:
  QuotaBounds bounds_;
  Time may_own_since_;  // start of the earliest possible ownership of a team that is not tracked
  std::map<TeamId, std::unique_ptr<OwnedQuota>> quotas_;
  // Starts at a different number in each process: an entry may claim a booking of the one before.
  std::uint64_t last_booking_;
  BookingCounts counts_;
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
  bool booked = false;  // it waited for a booking
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
  // After a refusal, further first tries are refused from the last grant for this long, or until
  // its next credit if that is sooner.
  static constexpr Duration kRefusalLifetime{50'000};
  // After a refusal, credits are only requested for callers that are expected within
  // kRefusalLifetime: the others would keep credits from callers that wait.
  static constexpr Duration kContentionTime{1'000'000};
  // A refused caller retries after at most a third of its remaining time, whatever delay it is
  // given; the rest allows for the network round trip.
  static constexpr double kMaxRetryShare = 0.3;
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
    bool last_try = false;     // the caller doesn't return after a refusal
    Duration max_wait{0};      // for a credit, if it is a last try
  };
  // Charges a request to the team's quota.
  [[nodiscard]] quota::AdmitResult Admit(const Team& team, const Entries& entries,
                                         const Request& request, Time now);
  // Refunds a request that was refused after it was charged, and has not run.
  void Refund(const TeamId& team, Time charged_at, Time now);
  // The caller of a request that waits has disconnected. A booking of it expires at the owner, and
  // a credit that is on its way is used for others or returned.
  void Cancel(const TeamId& team, std::uint64_t ticket);
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
  struct LastTry {
    Request request;
    Time give_up_at{};
    std::uint64_t booking = 0;
    Time ask_at{};         // when to ask the owner next
    Time asked_since{};    // first request to the owner that is not answered yet; 0: none
    Time last_asked_at{};  // last such request
    [[nodiscard]] bool IsDue(Time now) const;
  };
  struct AskedLastTry {
    std::uint64_t ticket = 0;
    std::uint64_t booking = 0;
  };
  struct SentRequest {
    std::uint64_t number = 0;
    Time sent_at{};
    std::vector<AskedLastTry> last_tries = {};
  };
  struct TeamState {
    TeamId name;
    double per_second = 0;
    double burst = 0;
    Entries entries;
    std::uint32_t credits = 0;
    Time credits_until{};
    std::uint32_t returned = 0;          // not reported to the owner yet
    std::deque<Waiting> waiting;         // first tries
    std::vector<LastTry> last_tries;     // that wait
    std::vector<SentRequest> in_flight;  // sent and not answered yet
    std::optional<Time> unresponsive_since;
    Time last_sent_at{};  // time of the last request to the owner
    // Set by a grant of fewer credits than requested.
    Time refused_until{};
    Time contended_until{};
    Time next_credit{};  // for the next caller that is refused
    Duration credit_interval{0};
    // Arrival rate, to request credits ahead of need.
    double arrival_rate = 0;
    Time last_arrival_at{};
    CreditBucket fallback_share{0, Time{}};  // used while the owner doesn't respond
    Time used_at{};

    [[nodiscard]] bool HasCallers() const { return !waiting.empty() || !last_tries.empty(); }
    [[nodiscard]] bool HasDueCallers(Time now) const;
  };

  [[nodiscard]] TeamState* Track(const Team& team, const Entries& entries, Time now);
  void DropExpired(TeamState& team, Time now) const;
  void CountArrival(TeamState& team, Time now) const;
  void SendRequest(TeamState& team, Time now);
  void SendRequestIfDue(TeamState& team, Time now);
  // Whether a request to the owner may still be answered; those that are older than kRetryInterval
  // don't count.
  [[nodiscard]] static bool HasPendingRequest(TeamState& team, Time now);
  [[nodiscard]] Result<quota::Admitted> ChargeFallbackShare(TeamState& team, Time now) const;
  [[nodiscard]] static Error RateLimitError(TeamState& team, Duration time_left, Time now);
  [[nodiscard]] static Error LastTryError(const TeamState& team, const LastTry& last_try,
                                          Duration wait);
  void Wait(TeamState& team, const Request& request, Time ask_at, Time now);
  void AddCredits(TeamState& team, const QuotaGrant& grant, const SentRequest& request,
                  Time now) const;
  // Adds the last tries that are due to a request to the owner.
  static void AskForLastTries(TeamState& team, QuotaRequest& request, SentRequest& sent, Time now);
  // Decides the last tries of a request that the owner has answered.
  void ApplyBookings(TeamState& team, std::span<const AskedLastTry> asked, const QuotaGrant& grant,
                     Time now);
  void ApplyBooking(TeamState& team, const AskedLastTry& asked, const QuotaBooking& answer,
                    Time now);
  // Serves the callers from this entry's own share. Last tries that get nothing go on waiting.
  void OnOwnerSilent(TeamState& team, Time now);
  void ServeFromFallbackShare(TeamState& team, Time now);
  void GiveUpLastTries(TeamState& team, Time now);
  void DecideFirst(TeamState& team, Result<quota::Admitted> result);
  void DecideLastTry(TeamState& team, std::size_t index, Result<quota::Admitted> result);
  void EvictIdle(Time now);

  QuotaBounds bounds_;
  std::map<TeamId, TeamState> teams_;
  std::uint64_t last_number_ = 0;
  std::size_t waiting_ = 0;
  std::vector<QuotaRequest> requests_;
  std::vector<quota::Decision> decisions_;
};

}  // namespace figmill
