#pragma once

// How many requests a second a team may make, over all entries together. Each team's quota has an
// owner among the entries, which all entries find by the same hash. It keeps the team's token
// bucket and grants credits out of it; an entry charges one credit a request, and asks for more
// when it has none. No I/O and no clock: the caller passes the time in.
//
// Time here must also run while the host is suspended: an entry that wakes up must not spend
// credits that were granted before.

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
struct QuotaAsk {
  std::uint64_t number = 0;  // rises with each ask of this process
  TeamId team;
  std::uint32_t wanted = 0;    // credits
  std::uint32_t returned = 0;  // of earlier ones, not spent and not valid any more
  bool operator==(const QuotaAsk&) const = default;
};

struct QuotaGrant {
  std::uint64_t number = 0;  // of the ask
  TeamId team;
  bool owned = false;  // by the sender; else it says nothing of the quota
  std::uint32_t credits = 0;
  Duration next_after{0};  // if fewer than wanted: until the next one
  Duration every{0};       // and one more each
  bool operator==(const QuotaGrant&) const = default;
};

// --- Limits ------------------------------------------------------------------------

// What is allowed in any window of time: (rate * window + burst) * (1 + excess) + slack.
struct QuotaBounds {
  Duration window{5'000'000};
  double excess = 0.1;
  std::uint32_t slack = 20;

  // Credits are valid for so long after they were asked for. A window may hold what was granted
  // within this time before it as well, which takes half of the excess.
  [[nodiscard]] Duration CreditLife() const;
  // Entries that may admit a request of a team on their own when its owner is silent.
  [[nodiscard]] std::size_t FreeEntries() const { return slack / 2; }
};

// A bucket whose level rises by a rate up to its capacity.
class CreditBucket {
 public:
  CreditBucket(double level, Time now) : level_(level), at_(now) {}
  void Refill(double per_second, double capacity, Time now);
  // As many whole credits as there are, `most` at the most.
  [[nodiscard]] std::uint32_t Take(std::uint32_t most);
  void Return(std::uint32_t credits) { level_ += credits; }
  // Until there is a whole credit.
  [[nodiscard]] Duration UntilNext(double per_second) const;

 private:
  double level_;
  Time at_;
};

// --- Owner -------------------------------------------------------------------------

class QuotaOwner {
 public:
  // Of a team whose quota this process has just begun to own: the owner before may have granted
  // the whole burst. Unit: credits.
  static constexpr double kFirstLevel = 2;
  static constexpr std::size_t kMaxTeams = 8192;

  explicit QuotaOwner(Time started_at) : changed_at_(started_at) {}

  // This process may not have been the owner of what it took for its own: it stood still, or was
  // cut off. Another one may have granted the same meanwhile.
  void Restart(Time now);
  // Who is there has changed: the quotas that this process doesn't own any more are forgotten.
  void OnEntriesChanged(const std::function<bool(const TeamId&)>& owns, Time now);
  [[nodiscard]] QuotaGrant Grant(const QuotaAsk& ask, const Team& team, Time now);
  [[nodiscard]] std::size_t tracked() const { return buckets_.size(); }

 private:
  Time changed_at_;  // since then this process may have owned a team that is not tracked
  std::map<TeamId, CreditBucket> buckets_;
};

// --- Entry -------------------------------------------------------------------------

namespace quota {

struct Admitted {
  Time charged_at{};
};
// An answer follows from OnGrant or OnTime.
struct Waits {};
using Verdict = std::variant<Admitted, Waits, Error>;

// What became of a request that waited. The error is kTeamLimit, or kNoBackend when neither the
// owner nor this entry's own share can say; nothing has run either way.
struct Decision {
  std::uint64_t ticket = 0;
  Result<Admitted> verdict;
};

}  // namespace quota

class QuotaClient {
 public:
  // An owner answers within some ms, on a busy host within some tens. Asks may be lost: it is
  // asked again once before it counts as silent.
  static constexpr Duration kAskAgain{40'000};
  static constexpr Duration kOwnerPatience{100'000};
  // A silent owner is asked this often whether it is back.
  static constexpr Duration kSilentPause{250'000};
  // What the entries admit together while the owner is silent. It may still serve others, so that
  // their part comes on top of the whole quota. Unit: share of the limit.
  static constexpr double kSilentShare = 0.4;
  // Refused requests are answered from the last grant for so long, or until its next credit.
  static constexpr Duration kRefusalLife{50'000};
  static constexpr std::size_t kMaxTeams = 8192;
  // Requests of one team that wait for an answer at a time; no more come within the patience.
  static constexpr std::size_t kMaxWaiting = 4096;
  static constexpr Duration kForgetAfter{60'000'000};

  struct Entries {
    std::size_t count = 1;  // that were there lately, with this one
    // Whether this one is among those that may admit a request on their own.
    bool free = true;
  };

  explicit QuotaClient(QuotaBounds bounds) : bounds_(bounds) {}

  struct Request {
    std::uint64_t ticket = 0;  // names it in a later decision
    Duration time_left{0};     // until its caller gives up
  };
  // Charges a request.
  [[nodiscard]] quota::Verdict Admit(const Team& team, const Entries& entries,
                                     const Request& request, Time now);
  // The request was refused and has not run.
  void GiveBack(const TeamId& team, Time charged_at, Time now);
  void OnGrant(const QuotaGrant& grant, Time now);
  // The owner of the team's quota is another one now, which hasn't been silent yet.
  void OnOwnerChanged(const TeamId& team);
  // What time alone changes; call it every kAskAgain / 2 while `waits`.
  void OnTime(Time now);

  // Asks to be sent now, each to its team's owner; call both after each of the above.
  [[nodiscard]] std::vector<QuotaAsk> TakeAsks() { return std::exchange(asks_, {}); }
  [[nodiscard]] std::vector<quota::Decision> TakeDecisions() {
    return std::exchange(decisions_, {});
  }
  [[nodiscard]] bool waits() const { return waiting_ > 0; }
  [[nodiscard]] const QuotaBounds& bounds() const { return bounds_; }
  [[nodiscard]] std::size_t tracked() const { return teams_.size(); }

 private:
  struct Waiting {
    Request request;
    Time since{};
  };
  struct Ask {
    std::uint64_t number = 0;
    Time at{};
  };
  struct TeamState {
    TeamId name;
    double per_second = 0;
    double burst = 0;
    Entries entries;
    std::uint32_t credits = 0;
    Time credits_until{};
    std::uint32_t returned = 0;  // not told to the owner yet
    std::deque<Waiting> waiting;
    std::vector<Ask> open;  // asks that are not answered
    std::optional<Time> silent_since;
    Time asked_at{};  // last
    // Set by a grant of fewer credits than were wanted.
    Time refused_until{};
    Time next_credit{};
    Duration every{0};
    RetryScheduler returns;
    // What comes here, for credits ahead of need.
    double arrivals = 0;
    Time arrivals_at{};
    CreditBucket own_share{0, Time{}};  // while the owner is silent
    Time used_at{};
  };

  [[nodiscard]] TeamState* Track(const Team& team, const Entries& entries, Time now);
  void DropExpired(TeamState& team, Time now) const;
  void CountArrival(TeamState& team, Time now) const;
  void SendAsk(TeamState& team, Time now);
  // Whether an answer may still be on its way; asks that were lost don't count.
  [[nodiscard]] static bool IsAsking(TeamState& team, Time now);
  [[nodiscard]] Result<quota::Admitted> Silent(TeamState& team, Time now) const;
  [[nodiscard]] static Error Refused(TeamState& team, Duration time_left, Time now);
  void Decide(TeamState& team, Result<quota::Admitted> verdict);
  void Forget(Time now);

  QuotaBounds bounds_;
  std::map<TeamId, TeamState> teams_;
  std::uint64_t numbers_ = 0;
  std::size_t waiting_ = 0;
  std::vector<QuotaAsk> asks_;
  std::vector<quota::Decision> decisions_;
};

}  // namespace figmill
