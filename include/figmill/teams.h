#pragma once

// Teams: which of them holds the key of a request, and for how long a process may go by the keys
// that it knows. No I/O and no clock: the caller passes the time in.

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
  std::vector<std::string> keys;   // any of them stands for the team
  std::optional<int> rank;         // goes before the rank of a route; 0 goes first
  double requests_per_second = 0;  // over all entries together; 0: no limit
  double burst = 0;                // requests beyond the rate

  [[nodiscard]] bool limited() const { return requests_per_second > 0; }
};

// Errors: kBadRequest, naming the first team that is wrong. Never quotes a key.
[[nodiscard]] Result<Ok> Validate(std::span<const Team> teams);

// The header that carries a caller's key.
inline constexpr std::string_view kKeyHeader = "Authorization";

// The key in a request's one `Authorization: Bearer KEY`, whose scheme may have any case (RFC
// 6750). Errors: kUnauthorized when there is none, more than one, or one of another form.
[[nodiscard]] Result<std::string_view> ParseBearer(std::span<const Header> headers);

// Finds teams by key. Immutable, shared between threads.
class TeamDirectory {
 public:
  // `secret` differs from process to process, so that nobody can tell from the time of a look-up
  // which keys share a bucket.
  TeamDirectory(std::vector<Team> teams, std::uint64_t secret);
  TeamDirectory(const TeamDirectory&) = delete;
  TeamDirectory& operator=(const TeamDirectory&) = delete;

  // Nobody holds it: nullptr. A key is compared whole, whatever its first difference.
  [[nodiscard]] const Team* HolderOf(std::string_view key) const;
  [[nodiscard]] const Team* Find(const TeamId& name) const;
  [[nodiscard]] std::span<const Team> teams() const { return teams_; }

 private:
  struct Holder {
    std::string_view key;
    const Team* team = nullptr;
  };
  [[nodiscard]] std::uint64_t DigestOf(std::string_view key) const;

  std::vector<Team> teams_;
  std::uint64_t secret_;
  std::unordered_multimap<std::uint64_t, Holder> by_digest_;
  std::unordered_map<TeamId, const Team*> by_name_;
};

// How long this process may let keys in by the configuration that it has. A key that was taken
// away may work for a while after that was accepted, and no longer, also at a process that can't
// reach the store. An answer of the store confirms the configuration as of the moment at which the
// question was sent; the time counts from there, by a clock that also runs while the host is
// suspended. Clocks of different hosts are never compared.
class KeyLease {
 public:
  using HostTime = Duration;
  // One part in so many of the allowed time is kept free: the store may be deaf to changes for a
  // moment.
  static constexpr int kMarginParts = 5;

  // `revoke_within`: from the acknowledgement of a configuration until none of the keys that it
  // takes away works any more; nothing: no bound.
  explicit KeyLease(std::optional<Duration> revoke_within) : revoke_within_(revoke_within) {}

  // What is known of the configuration held when the store was asked.
  void Confirm(HostTime asked_at);
  [[nodiscard]] bool Holds(HostTime now) const;
  // Since the last confirmation; nothing before the first.
  [[nodiscard]] std::optional<Duration> Age(HostTime now) const;

 private:
  std::optional<Duration> revoke_within_;
  std::optional<HostTime> asked_at_;
};

}  // namespace figmill
