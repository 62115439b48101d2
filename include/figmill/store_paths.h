#pragma once

// Chooses the path of a call to the table service: direct, or relayed by another entry
// that can reach it. A store may refuse single hosts, and a host may be partitioned
// from it, while all others are served; without a relay the configuration and the
// backend states known to such a host become outdated, and the jobs that it owns make
// no progress. No I/O: the calling code passes the time in.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "figmill/base.h"

namespace figmill {

class StorePaths {
 public:
  // After a direct call failed, calls are relayed by peers for this long; then direct
  // calls are tried again.
  static constexpr Duration kDirectBackoff{1'000'000};
  // A peer whose call failed is not used for this long.
  static constexpr Duration kPeerBackoff{2'000'000};
  // The store answers in about 10 ms. When a direct call has been open for this long and
  // no direct call was answered since its start, the store is considered unresponsive.
  static constexpr Duration kUnresponsiveAfter{150'000};

  enum class Outcome : std::uint8_t {
    kAnswered,  // the store answered, with success or an error
    kRefused,   // refused or unreachable: nothing was executed
    kLost,      // no answer; it may have been executed
  };

  // Identifies an open call; 0: none.
  using CallId = std::uint64_t;
  struct Path {
    CallId call = 0;
    std::optional<Address> peer;  // the relaying entry; empty: direct
    Time begun_at{};
  };

  // `long_poll`: the store holds the call open until something changes.
  [[nodiscard]] Path Begin(bool long_poll, Time now);
  // An alternative path for a call that failed, if there is one; call it after End. Paths that
  // failed a moment ago are not tried again.
  [[nodiscard]] std::optional<Path> BeginAlternative(const Path& refused, Time now);
  void End(const Path& path, Outcome outcome, Time now);

  // The entries that are currently live, without this one.
  void SetPeers(std::vector<Address> peers) { peers_ = std::move(peers); }
  // Whether direct calls are avoided at `now`.
  [[nodiscard]] bool avoids_direct(Time now) const { return now < avoid_direct_until_; }

 private:
  struct OpenCall {
    Time opened_at{};
    bool long_poll = false;
  };
  [[nodiscard]] bool LooksUnresponsive(Time now) const;
  [[nodiscard]] std::optional<Address> NextUsablePeer(Time now);
  [[nodiscard]] Path BeginDirect(bool long_poll, Time now);
  // Whether the path has answered another call since this one began. If so, the path
  // itself works: a store may fail in single parts of its tables. Without this check each
  // such failure moved all calls to another path, and some got no answer in time (4 of 262).
  [[nodiscard]] bool HasAnsweredSince(const Path& path) const;

  std::vector<Address> peers_;
  std::map<Address, Time> avoid_peer_until_;
  std::map<Address, Time> peer_answered_at_;
  std::map<CallId, OpenCall> open_direct_;
  Time avoid_direct_until_{};
  Time direct_answered_at_{};
  CallId next_call_ = 0;
  std::size_t next_peer_ = 0;
};

}  // namespace figmill
