#pragma once

// Finds places for online requests: at once where there is plenty, by asking the
// keepers otherwise.

#include <functional>
#include <map>
#include <memory>

#include "figmill/fleet.h"
#include "figmill/runtime.h"
#include "figmill/sharing.h"
#include "gateway/peer_link.h"

namespace figmill {

class PlaceFinder {
 public:
  // A backend server of this data centre that is known to use less than this share
  // of its places is taken without asking.
  static constexpr double kRoomy = 0.5;

  // Backend servers that an ask may rule out. Unit: backend servers; their names are a third of a
  // datagram then.
  static constexpr std::size_t kMostNotThere = 24;

  // A search under way. Calls nothing back once it is destroyed.
  class Search;
  using Done = std::function<void(Result<BackendAddress>)>;
  struct Need {
    BackendQuery query;
    Duration goal_left{0};
    Duration time_left{0};  // until its caller gives up
    bool last_chance = false;
  };

  PlaceFinder(Loop& loop, BackendPool& places, PeerLink& link);

  // `done` is called once, perhaps within this call; never after the result was
  // destroyed. It is null when `done` was called already. Errors: kNoBackend,
  // kOverloaded (with the wait as retry_after); ran no.
  [[nodiscard]] std::shared_ptr<Search> Find(const Need& need, Done done);
  void OnAnswer(const SlotResponse& answer);

 private:
  // Where the request may not go: where it was, and what fails or is silent to this entry. Its
  // keeper may hear of that much later, and dead backend servers look free: with a third of them
  // lost at a wave's peak, 434 of 1,980 places that keepers gave were at dead ones.
  [[nodiscard]] std::vector<BackendId> NotThere(const BackendQuery& query, Time now) const;

  Loop& loop_;
  BackendPool& places_;
  PeerLink& link_;
  std::uint64_t next_ask_ = 0;
  std::map<std::uint64_t, std::weak_ptr<Search>> searches_;
};

}  // namespace figmill
