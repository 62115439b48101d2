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

  // A search under way. Calls nothing back once it is destroyed.
  class Search;
  using Done = std::function<void(Result<BackendAddress>)>;
  struct Need {
    PlaceQuery query;
    Duration goal_left{0};
    Duration time_left{0};  // until its caller gives up
    bool last_chance = false;
  };

  PlaceFinder(Loop& loop, PlaceBook& places, PeerLink& link);

  // `done` is called once, perhaps within this call; never after the result was
  // destroyed. It is null when `done` was called already. Errors: kNoBackend,
  // kOverloaded (with the wait as retry_after); ran no.
  [[nodiscard]] std::shared_ptr<Search> Find(const Need& need, Done done);
  void OnAnswer(const PlaceAnswer& answer);

 private:
  Loop& loop_;
  PlaceBook& places_;
  PeerLink& link_;
  std::uint64_t next_ask_ = 0;
  std::map<std::uint64_t, std::weak_ptr<Search>> searches_;
};

}  // namespace figmill
