#pragma once

// Which way a call to the table service takes: directly, or by way of another entry
// that reaches it. A store may turn single hosts away, and a host may be cut off
// from it, while all others are served; what those hosts then believe of the
// configuration and the backend servers grows old, and jobs that they own stand
// still. No I/O: the caller passes the time in.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "figmill/base.h"

namespace figmill {

class StorePaths {
 public:
  // After a direct call failed, others go by way of peers for so long; then one
  // tries directly again.
  static constexpr Duration kAvoidDirect{1'000'000};
  // A peer whose call failed is left out for so long.
  static constexpr Duration kAvoidPeer{2'000'000};
  // The store answers in some 10 ms. When a call has been out for this long and
  // none has been answered since, it looks silent.
  static constexpr Duration kLooksSilent{150'000};

  enum class Outcome : std::uint8_t {
    kAnswered,  // by the store, whatever it said
    kRefused,   // turned away or not reached: nothing was done
    kLost,      // no answer
  };

  // A call under way; 0 is none.
  using CallId = std::uint64_t;
  struct Path {
    CallId call = 0;
    std::optional<Address> peer;  // by way of it; else directly
    Time begun_at{};
  };

  // `waits`: the store holds the call until something changes.
  [[nodiscard]] Path Begin(bool waits, Time now);
  // Another way for a call that was refused, if there is one that may serve.
  [[nodiscard]] std::optional<Path> BeginOther(const Path& refused, Time now);
  void End(const Path& path, Outcome outcome, Time now);

  // Entries that are there now, without this one.
  void SetPeers(std::vector<Address> peers) { peers_ = std::move(peers); }
  // Whether direct calls are avoided at present.
  [[nodiscard]] bool avoids_direct(Time now) const { return now < avoid_direct_until_; }

 private:
  struct Open {
    Time since{};
    bool waits = false;
  };
  [[nodiscard]] bool LooksSilent(Time now) const;
  [[nodiscard]] std::optional<Address> GoodPeer(Time now);
  [[nodiscard]] Path Direct(bool waits, Time now);
  // The path has answered a call since this one began, so that what failed is not the
  // path: a store may fail in single parts of its tables. Without this, each failure there
  // sent all calls another way, and some of them got no answer in time (4 of 262).
  [[nodiscard]] bool HasServedSince(const Path& path) const;

  std::vector<Address> peers_;
  std::map<Address, Time> avoid_peer_until_;
  std::map<Address, Time> peer_answered_at_;
  std::map<CallId, Open> open_direct_;
  Time avoid_direct_until_{};
  Time direct_answered_at_{};
  CallId next_call_ = 0;
  std::size_t next_peer_ = 0;
};

}  // namespace figmill
