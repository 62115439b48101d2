#pragma once

// Order among teams that wait for the same slots: start-time fair queueing. Each team has a finish
// tag in virtual time, which advances with each of its requests that is served; the request with
// the earliest start tag is served next. A team that asks for less than its share is served at
// once, and a team that is alone gets everything. No I/O and no clock: virtual time only advances
// when requests are served.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "figmill/base.h"

namespace figmill {

// Unit: kUnitCost is one request of the highest priority.
using VirtualTime = std::int64_t;
inline constexpr VirtualTime kUnitCost = 1'000'000;

// Rank 0 is the highest priority. The cost rises with the rank to at most twice kUnitCost, so that
// of two teams that wait all the time the one with the lower priority gets a third or more of the
// slots.
[[nodiscard]] VirtualTime CostOfRank(int rank);

// The tags of one service. A new object treats all teams alike.
class FairShares {
 public:
  // Teams that are remembered. Beyond that those that were served least are forgotten, which treats
  // them as new.
  static constexpr std::size_t kMaxTeams = 4096;
  // How far a team's start tag may lie behind the virtual time. Requests of a team below its share
  // come at random: without this credit the second of two that come close together would wait like
  // one of the team that asks for most.
  static constexpr VirtualTime kCredit = 8 * kUnitCost;

  // Start tag of the team's next request.
  [[nodiscard]] VirtualTime NextStart(const TeamId& team) const;
  void OnServed(const TeamId& team, int rank);
  // Whether another team was served more, relative to their weights.
  [[nodiscard]] bool IsBelowShare(const TeamId& team) const;
  [[nodiscard]] std::size_t size() const { return finish_tags_.size(); }

 private:
  void ForgetOldTags();

  VirtualTime virtual_time_ = 0;
  std::unordered_map<TeamId, VirtualTime> finish_tags_;
  // Number of teams at which the tags that lie behind the credit are dropped.
  std::size_t forget_at_ = 64;
};

// Merges requests that wait into the order in which they are served. The start tag of a team's
// second waiting request is the finish tag of its first one.
class FairOrder {
 public:
  explicit FairOrder(const FairShares& shares) : shares_(shares) {}
  // Requests are added in the order that holds within a team and between equal tags.
  void Add(const TeamId& team, int rank);
  // The request that is served next, as its position in the order of Add; nullopt after the last.
  [[nodiscard]] std::optional<std::size_t> First() const;
  // Removes the first request.
  void PopServed();
  // The same if it can't use the slot: the next request of its team takes its turn.
  void PopSkipped();
  [[nodiscard]] std::size_t team_count() const { return teams_.size(); }

 private:
  struct Waiting {
    std::size_t position = 0;
    VirtualTime cost = 0;
  };
  struct WaitingTeam {
    VirtualTime start = 0;  // start tag of its first request
    std::deque<Waiting> requests;
  };
  [[nodiscard]] std::optional<std::size_t> FirstTeam() const;
  [[nodiscard]] static std::pair<VirtualTime, std::size_t> KeyOf(const WaitingTeam& team);

  const FairShares& shares_;
  std::vector<WaitingTeam> teams_;
  std::unordered_map<TeamId, std::size_t> index_;  // in teams_
  std::size_t added_ = 0;
};

// What happened to the requests of each team over a span of time, for operators.
class ShareCounts {
 public:
  // Teams that are counted by name; the others are counted together.
  static constexpr std::size_t kMaxTeams = 256;
  // Teams that are named in one summary.
  static constexpr std::size_t kMaxNamed = 5;

  enum class Event : std::uint8_t {
    kServed,
    kRefused,    // on arrival, because it could not be served in time
    kDisplaced,  // after it was queued, because requests of other teams go first
  };
  struct Counts {
    int served = 0;
    int refused = 0;
    int displaced = 0;
    int waiting = 0;
  };

  void Count(const TeamId& team, Event event);
  void CountWaiting(const TeamId& team);
  // Refused and displaced requests of all teams.
  [[nodiscard]] const Counts& total() const { return total_; }
  [[nodiscard]] std::size_t team_count() const { return teams_.size(); }
  // "TEAM served/refused/displaced/waiting" of the teams that were refused most, separated by
  // commas.
  [[nodiscard]] std::string Summary() const;

 private:
  [[nodiscard]] Counts& CountsOf(const TeamId& team);

  std::unordered_map<TeamId, Counts> teams_;
  Counts total_;
};

}  // namespace figmill
