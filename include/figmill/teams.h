#pragma once

// Teams: looks up the team that a request's key belongs to, and limits how long a process may
// accept keys from the configuration that it has. No I/O and no clock: the caller passes the time
// in.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figmill/base.h"

namespace figmill {

struct Team {
  TeamId name;
  std::vector<std::string> keys;   // each of them authenticates the team
  std::optional<int> rank;         // overrides the rank of a route; 0 is the highest priority
  double requests_per_second = 0;  // over all entries together; 0: no limit
  double burst = 0;                // requests beyond the rate

  [[nodiscard]] bool limited() const { return requests_per_second > 0; }
};

// Errors: kBadRequest, naming the first invalid team. Never quotes a key.
[[nodiscard]] Result<Ok> Validate(std::span<const Team> teams);

// The header that carries a caller's key.
inline constexpr std::string_view kKeyHeader = "Authorization";

// Returns the key of a request's only `Authorization: Bearer KEY` header; the scheme is not case
// sensitive (RFC 6750). Errors: kUnauthorized if the header is missing, duplicate or malformed.
[[nodiscard]] Result<std::string_view> ParseBearer(std::span<const Header> headers);

// Finds teams by key. Immutable, shared between threads.
class TeamDirectory {
 public:
  // `secret`: seed of the key hash. It differs from process to process, so that the time of a
  // look-up doesn't show which keys share a hash bucket.
  TeamDirectory(std::vector<Team> teams, std::uint64_t secret);
  TeamDirectory(const TeamDirectory&) = delete;
  TeamDirectory& operator=(const TeamDirectory&) = delete;

  // Returns null if no team has the key. The time of the comparison doesn't depend on the position
  // of the first difference.
  [[nodiscard]] const Team* FindByKey(std::string_view key) const;
  [[nodiscard]] const Team* Find(const TeamId& name) const;
  [[nodiscard]] std::span<const Team> teams() const { return teams_; }

 private:
  struct KeyOwner {
    std::string_view key;
    const Team* team = nullptr;
  };
  [[nodiscard]] std::uint64_t HashOf(std::string_view key) const;

  std::vector<Team> teams_;
  std::uint64_t secret_;
  std::unordered_multimap<std::uint64_t, KeyOwner> by_hash_;
  std::unordered_map<TeamId, const Team*> by_name_;
};

// Limits how long this process may accept keys from the configuration that it has. A key may be
// accepted for a bounded time after its removal was acknowledged, also by a process that can't
// reach the store. A response of the store confirms the configuration as of the moment at which the
// request was sent. The lease starts at that moment, by a clock that also runs while the host is
// suspended. Clocks of different hosts are never compared.
class KeyLease {
 public:
  using HostTime = Duration;
  // The lease ends early by this part of the allowed time (1/5), because the store may be late to
  // report changes.
  static constexpr int kMarginDivisor = 5;

  // `revoke_within`: longest time from the acknowledgement of a configuration until none of the
  // keys that it removes is accepted any more; nullopt: no bound.
  explicit KeyLease(std::optional<Duration> revoke_within) : revoke_within_(revoke_within) {}

  // The store has confirmed the configuration as of `requested_at`.
  void Confirm(HostTime requested_at);
  [[nodiscard]] bool IsValid(HostTime now) const;
  // Time since the last confirmation; nullopt before the first.
  [[nodiscard]] std::optional<Duration> Age(HostTime now) const;

 private:
  std::optional<Duration> revoke_within_;
  std::optional<HostTime> confirmed_at_;
};

}  // namespace figmill
