#pragma once

// What a process that was told to stop may still begin, so that its end cuts no request. No I/O;
// time is passed in.

#include "figmill/base.h"

namespace figmill {

class ShutdownPlan {
 public:
  // Reserved at the end of the grace period for sending the last bytes.
  static constexpr Duration kGraceMargin{700'000};
  // The load balancer probes readiness once a second and removes a process after two failed probes.
  // Until then it sends new connections, whose callers can hardly reach another entry.
  static constexpr Duration kBalancerDelay{2'000'000};
  // Requests whose time limit is later than the end are accepted only while this much time is left:
  // most requests need far less than their limit.
  static constexpr Duration kMinTimeLeft{2'300'000};

  // Requests that arrive in the last part of the grace period are refused. The limits of teams are
  // kept less exactly while the entries that own them stop one after the other, the more so the
  // longer each of these goes on to admit requests.
  static constexpr Duration kRefusalTime{3'000'000};

  // `grace`: time from `begun` until the process is killed.
  ShutdownPlan(Time begun, Duration grace);

  // When the process ends, and cuts the requests that are still open.
  [[nodiscard]] Time end() const { return end_; }
  // Until then requests may begin whatever their time limit is.
  [[nodiscard]] Time open_until() const { return open_until_; }
  // Whether a request may be passed on now that gets its final answer by `deadline`, in whatever
  // way. One that may not has to be refused at once, as another entry can serve it.
  [[nodiscard]] bool MayBegin(Time now, Time deadline) const;
  // The same for a request that arrives now.
  [[nodiscard]] bool MayAccept(Time now, Time deadline) const;

 private:
  Time end_;
  Time open_until_;
  Time refuses_from_;
};

}  // namespace figmill
