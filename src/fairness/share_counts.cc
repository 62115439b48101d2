// Counts by team, for operators.

#include <algorithm>
#include <tuple>
#include <utility>

#include "figmill/fairness.h"

namespace figmill {
namespace {

// Stands for all teams beyond ShareCounts::kMaxTeams.
constexpr const char* kOtherTeams = "(others)";
constexpr const char* kNoTeam = "(none)";

auto OrderOf(const ShareCounts::Counts& counts) {
  return std::tuple(counts.displaced + counts.refused, counts.waiting, counts.served);
}

std::string ToString(const TeamId& team, const ShareCounts::Counts& counts) {
  return (team.empty() ? kNoTeam : team.value) + " " + std::to_string(counts.served) + "/" +
         std::to_string(counts.refused) + "/" + std::to_string(counts.displaced) + "/" +
         std::to_string(counts.waiting);
}

}  // namespace

ShareCounts::Counts& ShareCounts::CountsOf(const TeamId& team) {
  const bool named = teams_.size() < kMaxTeams || teams_.contains(team);
  return teams_[named ? team : TeamId{kOtherTeams}];
}

void ShareCounts::Count(const TeamId& team, Event event) {
  Counts& counts = CountsOf(team);
  switch (event) {
    case Event::kServed:
      ++counts.served;
      return;
    case Event::kRefused:
      ++counts.refused;
      ++total_.refused;
      return;
    case Event::kDisplaced:
      ++counts.displaced;
      ++total_.displaced;
      return;
  }
}

void ShareCounts::CountWaiting(const TeamId& team) {
  ++CountsOf(team).waiting;
}

std::string ShareCounts::Summary() const {
  std::vector<std::pair<TeamId, Counts>> teams(teams_.begin(), teams_.end());
  const auto named = std::min(teams.size(), kMaxNamed);
  std::partial_sort(teams.begin(), teams.begin() + static_cast<std::ptrdiff_t>(named), teams.end(),
                    [](const auto& a, const auto& b) {
                      if (OrderOf(a.second) != OrderOf(b.second))
                        return OrderOf(a.second) > OrderOf(b.second);
                      return a.first < b.first;
                    });
  std::string text;
  for (std::size_t i = 0; i < named; ++i) {
    if (i > 0) text += ", ";
    text += ToString(teams[i].first, teams[i].second);
  }
  return text;
}

}  // namespace figmill
