#pragma once

// The sends of this entry that are open, by the incarnation of the backend server that they
// went to. No I/O: the caller passes the time in.

#include <cstdint>
#include <functional>
#include <map>

#include "figmill/fleet.h"
#include "gateway/fleet_view.h"

namespace figmill {

// Ends what was sent to an incarnation that has ended. A host that lost its power resets no
// connection: without this its streams and items stand still until their silence is noticed,
// and requests that may not be repeated until their deadlines.
class OpenSends {
 public:
  // A send that was heard within this time may be at the new incarnation: it was sent after the
  // start, and before this entry had heard of it. Ended at once, a request that may not be
  // repeated would fail for nothing. Backend servers give an event each 10 to 40 ms, so that
  // the bytes of an ended one are older than this soon.
  static constexpr Duration kRecentActivity{100'000};

  using Id = std::uint64_t;
  using OnLost = std::function<void()>;

  [[nodiscard]] Id Add(const BackendAddress& backend, Time now, OnLost on_lost);
  void RecordActivity(Id id, Time now);
  void Remove(Id id);

  struct Ended {
    int lost = 0;
    int in_doubt = 0;  // call again after kRecentActivity
  };
  // Calls `on_lost` of those whose incarnation has ended, by the list.
  Ended EndOutdated(const BackendList& listed, Time now);

 private:
  struct Send {
    BackendId backend;
    BackendIncarnation incarnation;
    Time heard_at{};
    Time
        restart_listed_at{};  // when a later incarnation was first listed; the start of time: never
    OnLost on_lost;
  };
  enum class State : std::uint8_t { kOpen, kInDoubt, kLost };
  static State UpdateState(Send& send, const BackendInfo& listed, Time now);

  std::map<Id, Send> sends_;
  Id last_id_ = 0;
};

}  // namespace figmill
