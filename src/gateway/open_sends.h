#pragma once

// Tracks the open sends of this entry by the incarnation of the backend server that they went to.
// No I/O: the caller passes the time in.

#include <cstdint>
#include <functional>
#include <map>

#include "figmill/fleet.h"
#include "gateway/fleet_view.h"

namespace figmill {

// Ends sends to an incarnation that has ended. A host that lost power doesn't reset its
// connections: without this, its streams and items would hang until an inactivity timeout, and
// requests that are not idempotent until their deadlines.
class OpenSends {
 public:
  // A send that received bytes within this time may run on the new incarnation: it was sent after
  // the restart, but before this entry knew of it. Ending it at once would fail a request that is
  // not idempotent without need. Backend servers emit an event every 10 to 40 ms, so the last bytes
  // of an ended incarnation are soon older than this.
  static constexpr Duration kRecentActivity{100'000};

  using Id = std::uint64_t;
  using OnLost = std::function<void()>;

  [[nodiscard]] Id Add(const BackendAddress& backend, Time now, OnLost on_lost);
  // The send received bytes.
  void RecordActivity(Id send_id, Time now);
  void Remove(Id send_id);

  struct Ended {
    int lost = 0;
    int in_doubt = 0;  // may run on either incarnation; call again after kRecentActivity
  };
  // Removes the sends whose incarnation has ended according to the list, and calls their `on_lost`.
  Ended EndOutdated(const BackendList& listed, Time now);

 private:
  struct Send {
    BackendId backend;
    BackendIncarnation incarnation;
    Time heard_at{};
    // When a later incarnation was first seen in the list; Time{} if it was not.
    Time restart_listed_at{};
    OnLost on_lost;
  };
  enum class State : std::uint8_t { kOpen, kInDoubt, kLost };
  static State UpdateState(Send& send, const BackendInfo& listed, Time now);

  std::map<Id, Send> sends_;
  Id last_id_ = 0;
};

}  // namespace figmill
