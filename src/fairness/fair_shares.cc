// Tags of teams, and the order of waiting requests that follows from them.

#include <algorithm>

#include "figmill/fairness.h"

namespace figmill {

// The weight falls from 1 towards 1/2: (1 + 1 / (1 + rank)) / 2. The cost is its inverse.
VirtualTime CostOfRank(int rank) {
  const auto steps = static_cast<VirtualTime>(std::max(0, rank));
  return 2 * kUnitCost * (steps + 1) / (steps + 2);
}

VirtualTime FairShares::NextStart(const TeamId& team) const {
  const auto found = finish_tags_.find(team);
  const VirtualTime earliest = virtual_time_ - kCredit;
  return found == finish_tags_.end() ? earliest : std::max(earliest, found->second);
}

bool FairShares::IsBelowShare(const TeamId& team) const {
  const bool is_alone = finish_tags_.size() - finish_tags_.count(team) == 0;
  return !is_alone && NextStart(team) < virtual_time_;
}

void FairShares::OnServed(const TeamId& team, int rank) {
  const VirtualTime start = NextStart(team);
  virtual_time_ = std::max(virtual_time_, start);
  finish_tags_[team] = start + CostOfRank(rank);
  if (finish_tags_.size() >= forget_at_) ForgetOldTags();
}

void FairShares::ForgetOldTags() {
  const auto forget = [this] {
    std::erase_if(finish_tags_,
                  [this](const auto& each) { return each.second <= virtual_time_ - kCredit; });
  };
  forget();
  if (finish_tags_.size() >= kMaxTeams) {
    std::vector<VirtualTime> tags;
    tags.reserve(finish_tags_.size());
    for (const auto& [team, tag] : finish_tags_) tags.push_back(tag);
    const auto middle = tags.begin() + static_cast<std::ptrdiff_t>(tags.size() / 2);
    std::nth_element(tags.begin(), middle, tags.end());
    virtual_time_ = *middle + kCredit;
    forget();
  }
  forget_at_ = std::clamp<std::size_t>(2 * finish_tags_.size(), 64, kMaxTeams);
}

void FairOrder::Add(const TeamId& team, int rank) {
  const auto [at, added] = index_.try_emplace(team, teams_.size());
  if (added) teams_.push_back({shares_.NextStart(team), {}});
  teams_[at->second].requests.push_back({added_++, CostOfRank(rank)});
}

std::pair<VirtualTime, std::size_t> FairOrder::KeyOf(const WaitingTeam& team) {
  return {team.start, team.requests.front().position};
}

std::optional<std::size_t> FairOrder::FirstTeam() const {
  std::optional<std::size_t> first;
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    const WaitingTeam& team = teams_[i];
    if (team.requests.empty()) continue;
    if (!first || KeyOf(team) < KeyOf(teams_[*first])) first = i;
  }
  return first;
}

std::optional<std::size_t> FairOrder::First() const {
  const std::optional<std::size_t> team = FirstTeam();
  if (!team) return std::nullopt;
  return teams_[*team].requests.front().position;
}

void FairOrder::PopServed() {
  WaitingTeam& team = teams_[FirstTeam().value()];
  team.start += team.requests.front().cost;
  team.requests.pop_front();
}

void FairOrder::PopSkipped() {
  teams_[FirstTeam().value()].requests.pop_front();
}

}  // namespace figmill
