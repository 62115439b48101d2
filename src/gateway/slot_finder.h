#pragma once

// Finds places for online requests: at once where there is plenty, by asking the
// allocators otherwise.

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
  // A backend server of this data centre that is known to use less than this share
  // of its places is taken without asking.
  static constexpr double kLightLoadShare = 0.5;

  // Backend servers that an ask may rule out. Unit: backend servers; their names are a third of a
  // datagram then.
  static constexpr std::size_t kMaxExcludedBackends = 24;

  // A search under way. Calls nothing back once it is destroyed.
  class Search;
  using Done = std::function<void(Result<BackendAddress>)>;
  struct Request {
    BackendQuery query;
    Duration goal_left{0};
    Duration time_left{0};  // until its caller gives up
    bool last_try = false;
  };

  SlotFinder(Loop& loop, BackendPool& places, PeerMessenger& messenger);

  // `done` is called once, perhaps within this call; never after the result was
  // destroyed. It is null when `done` was called already. Errors: kNoBackend,
  // kOverloaded (with the wait as retry_after); ran no.
  [[nodiscard]] std::shared_ptr<Search> Find(const Request& request, Done done);
  void OnAnswer(const PlaceAnswer& answer);

 private:
  // Where the request may not go: where it was, and what fails or is silent to this entry. Its
  // keeper may hear of that much later, and dead backend servers look free: with a third of them
  // lost at a wave's peak, 434 of 1,980 places that allocators gave were at dead ones.
  [[nodiscard]] std::vector<BackendId> BackendsToExclude(const BackendQuery& query, Time now) const;

  Loop& loop_;
  BackendPool& places_;
  PeerMessenger& messenger_;
  std::uint64_t last_request_number_ = 0;
  std::map<std::uint64_t, std::weak_ptr<Search>> searches_;
};

}  // namespace figmill
