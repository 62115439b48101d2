#pragma once

// Finds slots for online requests: locally if a backend server is lightly loaded, else by asking
// the allocators.

#include <functional>
#include <map>
#include <memory>

#include "figmill/fleet.h"
#include "figmill/runtime.h"
#include "figmill/sharing.h"
#include "gateway/peer_messenger.h"

namespace figmill {

class SlotFinder {
 public:
  // A backend server of this data centre is used without asking its allocator if less than this
  // share of its slots is known to be in use.
  static constexpr double kLightLoadShare = 0.5;

  // Limit on the backend servers that a slot request excludes. At this number their names fill a
  // third of a datagram.
  static constexpr std::size_t kMaxExcludedBackends = 24;

  // A search in progress. It doesn't call back after it is destroyed.
  class Search;
  using Done = std::function<void(Result<BackendAddress>)>;
  struct Request {
    BackendQuery query;
    Duration goal_left{0};
    Duration time_left{0};  // until the caller's deadline
    bool last_try = false;
    TeamId team;   // empty if callers need no keys
    int rank = 0;  // 0 is the highest priority
  };

  SlotFinder(Loop& loop, BackendPool& backend_pool, PeerMessenger& messenger);

  // Calls `done` once, perhaps from within this call, but not after the returned search was
  // destroyed. Returns null if `done` was already called. Errors: kNoBackend, kOverloaded (with the
  // wait as retry_after); ran no.
  [[nodiscard]] std::shared_ptr<Search> Find(const Request& request, Done done);
  void OnAnswer(const SlotResponse& answer);

 private:
  // Backend servers that the request may not use: those that it was sent to before, and those that
  // fail or don't respond to this entry. Their allocators may learn of the failure much later, and
  // dead backend servers look free: with a third of them lost at a load peak, 434 of 1,980 assigned
  // slots were on dead ones.
  [[nodiscard]] std::vector<BackendId> BackendsToExclude(const BackendQuery& query, Time now) const;

  Loop& loop_;
  BackendPool& backend_pool_;
  PeerMessenger& messenger_;
  std::uint64_t last_request_number_ = 0;
  std::map<std::uint64_t, std::weak_ptr<Search>> searches_;
};

}  // namespace figmill
