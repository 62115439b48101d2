#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

#include "figmill/teams.h"

namespace figmill {
namespace {

Error TeamError(const Team& team, std::string_view why) {
  return Error{ErrorKind::kBadRequest, "team '" + team.name.value + "': " + std::string(why)};
}

bool IsValidLimit(double limit) {
  return std::isfinite(limit) && limit >= 0;
}

// The name is sent as the value of a header.
bool IsPrintable(std::string_view name) {
  return std::none_of(name.begin(), name.end(),
                      [](char c) { return std::iscntrl(static_cast<unsigned char>(c)) != 0; });
}

// Compares in constant time, so that the time doesn't show where two keys differ first.
bool KeysEqual(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace

Result<Ok> Validate(std::span<const Team> teams) {
  std::set<TeamId> names;
  std::set<std::string_view> keys;
  for (const Team& team : teams) {
    if (team.name.empty()) return TeamError(team, "has no name");
    if (!IsPrintable(team.name.value)) return TeamError(team, "has a name with control characters");
    if (!names.insert(team.name).second) return TeamError(team, "is listed twice");
    if (!IsValidLimit(team.requests_per_second) || !IsValidLimit(team.burst)) {
      return TeamError(team, "has a limit that is negative or not finite");
    }
    for (const std::string& key : team.keys) {
      if (key.empty()) return TeamError(team, "has an empty key");
      if (!keys.insert(key).second) return TeamError(team, "has a key that is listed twice");
    }
  }
  return Ok{};
}

TeamDirectory::TeamDirectory(std::vector<Team> teams, std::uint64_t secret)
    : teams_(std::move(teams)), secret_(secret) {
  for (const Team& team : teams_) {
    by_name_.emplace(team.name, &team);
    for (const std::string& key : team.keys) by_hash_.emplace(HashOf(key), KeyOwner{key, &team});
  }
}

std::uint64_t TeamDirectory::HashOf(std::string_view key) const {
  return XXH3_64bits_withSeed(key.data(), key.size(), secret_);
}

const Team* TeamDirectory::FindByKey(std::string_view key) const {
  const auto [first, last] = by_hash_.equal_range(HashOf(key));
  for (auto at = first; at != last; ++at) {
    if (KeysEqual(at->second.key, key)) return at->second.team;
  }
  return nullptr;
}

const Team* TeamDirectory::Find(const TeamId& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

}  // namespace figmill
