#pragma once

// What online callers are told while all places are taken: whether one that waits will be served
// in time, and when one that is refused should come back.
//
// The load that this answers comes in waves, or after a loss of backend servers: for some seconds
// online requests come faster than places fall free, then far more slowly. Callers come back once
// or twice. Told to come back as soon as a place may fall free, all that are refused in a wave come
// back into the same wave and are refused again, while the places of the valley after it stay free.
//
// Nothing here knows how waves look: lengths are learned from the refusals themselves, and while
// they are unknown callers are sent as far away as they will go. No I/O: the caller passes the
// time in.

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figmill/base.h"

namespace figmill {

// --- Runs under way ------------------------------------------------------------------

// How many of some runs will have ended after a while.
struct ExpectedCompletions {
  double mean = 0;
  double variance = 0;
};

// When the runs that hold places began. Reports give numbers only: of those that ended, the ones
// that began first are taken to have ended.
class RunStartTimes {
 public:
  // Spread of a run's length, as the scale of a logistic distribution, in its usual length: a
  // standard deviation of 0.27. Online streams differ in length by about a quarter.
  static constexpr double kSpread = 0.15;

  // So many hold places now.
  void SetCount(std::size_t count, Time now);
  [[nodiscard]] ExpectedCompletions CompletionsWithin(Duration span, Duration run_time,
                                                      Time now) const;

 private:
  std::deque<Time> starts_;  // oldest first
};

// How fast requests come, over the last second or so.
class ArrivalRate {
 public:
  // Requests are counted over this span before the rate is taken.
  static constexpr Duration kSpan{200'000};
  // Weight of the newest span: a wave is told within two of them.
  static constexpr double kNewestWeight = 0.4;

  void Count(int requests, Time now);
  [[nodiscard]] double PerSecond() const { return per_second_; }

 private:
  double per_second_ = 0;
  int count_ = 0;
  Time since_{};
};

// --- Waiting ---------------------------------------------------------------------------

// Whether a request that is queued now will be served in time. A request that waits in vain is
// told after its goal instead of within ms, and its caller has lost that time.
class QueueAdmission {
 public:
  // Share of the queued requests that may wait in vain. One in a hundred costs less than the
  // places that a stricter queue leaves empty for a moment.
  static constexpr double kTargetMissRatio = 0.01;
  // How much one that waited in vain raises the margin. Unit: standard deviations.
  static constexpr double kStep = 0.25;
  // Margins outside of these follow from chance alone. Unit: standard deviations.
  static constexpr double kMinMargin = 0;
  static constexpr double kMaxMargin = 3;

  // `before`: requests that will be served before it.
  [[nodiscard]] bool Admits(std::size_t ahead, const ExpectedCompletions& completions) const;
  // What became of one that was queued.
  void OnServed();
  void OnExpired();
  [[nodiscard]] double margin() const { return margin_; }

 private:
  double margin_ = 1;
};

// --- Coming back -------------------------------------------------------------------------

// How long overloads last.
class OverloadTracker {
 public:
  // Without a refusal for so long it is over. Refusals at a peak follow each other within some
  // ms, and two waves are seconds apart.
  static constexpr Duration kQuietPeriod{400'000};
  // Lengths that are remembered; an older one says little of the load now.
  static constexpr std::size_t kMaxDurations = 8;

  void OnRefused(Time now);
  // How much longer the present overload will last, from the earlier ones that lasted longer
  // than it has already; nothing while there was none of those.
  [[nodiscard]] std::optional<Duration> ExpectedRemaining(Time now) const;
  // When the present one, or the last one, began.
  [[nodiscard]] Time start() const { return start_; }

 private:
  Time start_{};
  Time last_refusal_{};
  std::deque<Duration> durations_;
};

// Gives each refused caller a time to come back, so that no more come at one moment than places
// fall free then.
class RetryScheduler {
 public:
  // A caller comes back after a third of the time that it has left at the latest (the users'
  // protocol), whatever it is told; the rest is for the way back.
  static constexpr double kMaxDelayShare = 0.3;
  // Of the places that fall free, one in so many is for callers that come back: the others are for
  // those that come for the first time meanwhile.
  static constexpr int kSlotsPerRetry = 2;

  struct RefusedRequest {
    Duration time_left{0};      // until its caller gives up
    Duration expected_wait{0};  // until there would be a place if nobody else came
    Duration slot_interval{0};  // a place falls free once in this time
  };
  [[nodiscard]] Duration ScheduleRetry(const RefusedRequest& refused, Time now);
  [[nodiscard]] const OverloadTracker& tracker() const { return tracker_; }

 private:
  OverloadTracker tracker_;
  Time next_retry_{};  // the first moment that is not given to somebody yet
};

// Whether a caller on its last try may wait beyond its goal. It is served when those that can be
// in time leave a place, which is after the overload. One that waits until its caller leaves has
// had a worse answer than a refusal at once.
class LastTryAdmission {
 public:
  struct Attempt {
    Duration time_left{0};      // until its caller gives up
    Duration expected_wait{0};  // until there would be a place if nobody else came
    Duration run{0};            // what it takes once it is served
  };
  [[nodiscard]] bool Admits(const Attempt& attempt, const OverloadTracker& tracker, Time now);
  // What became of one that waited beyond its goal.
  void OnServed() { ++served_; }
  void OnExpired() { ++expired_; }

 private:
  void Reset(Time overload_start) { *this = {}, overload_start_ = overload_start; }

  // In the present overload: when its length is not known, those that have waited tell.
  Time overload_start_{};
  int served_ = 0;
  int expired_ = 0;
};

// --- Second tries -----------------------------------------------------------------------------

// Tells a caller's second try from a first one: it has less time left than the callers of its
// route begin with, which is learned from those that come. A second try is the last one for most
// callers, so that it rather waits than be refused again.
class RetryDetector {
 public:
  // A first try's time left differs by less than this from the longest one seen.
  static constexpr Duration kSlack{20'000};
  // What callers begin with may change with a configuration: the longest time of the present and
  // the last span counts.
  static constexpr Duration kSpan{10'000'000};

  // Counts a try, and tells whether it is a second one.
  [[nodiscard]] bool IsRetry(const std::string& route, Duration time_left, Time now);

 private:
  struct MaxTimeLeft {
    Duration present{0};
    Duration last{0};
    Time since{};
  };
  std::map<std::string, MaxTimeLeft> max_time_left_;
};

}  // namespace figmill
