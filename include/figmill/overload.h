#pragma once

// Overload control for online requests while all slots are taken: whether a queued request will be
// served in time, and when a refused caller should retry.
//
// Overload comes in load peaks or after backend servers were lost: for some seconds online requests
// arrive faster than slots become free, then far more slowly. Callers retry once or twice. If they
// were told to retry as soon as a slot may become free, all callers refused during a peak would
// retry within the same peak and be refused again, while slots stay free after it.
//
// The length of overloads is learned from the refusals. While it is unknown, callers are given the
// longest delay that they accept. No I/O: the caller passes the time in.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/base.h"

namespace figmill {

// --- Runs in progress ----------------------------------------------------------------

// Number of runs expected to end within a time span.
struct ExpectedCompletions {
  double mean = 0;
  double variance = 0;
};

// Start times of the runs that hold slots. Reports only carry the number of runs, so the oldest
// runs are assumed to end first.
class RunStartTimes {
 public:
  // Spread of run times, as the scale of a logistic distribution relative to the mean: a standard
  // deviation of 0.27. Run times of online streams vary by about a quarter.
  static constexpr double kSpread = 0.15;

  // Sets the number of runs that hold slots now.
  void SetCount(std::size_t count, Time now);
  [[nodiscard]] ExpectedCompletions CompletionsWithin(Duration span, Duration run_time,
                                                      Time now) const;

 private:
  std::deque<Time> starts_;  // oldest first
};

// Arrival rate of requests over about the last second.
class ArrivalRate {
 public:
  // Requests are counted over this span before the rate is updated.
  static constexpr Duration kSpan{200'000};
  // Weight of the newest span: the start of a load peak shows within two spans.
  static constexpr double kNewestWeight = 0.4;

  void Count(int requests, Time now);
  [[nodiscard]] double PerSecond() const { return per_second_; }

 private:
  double per_second_ = 0;
  int count_ = 0;
  Time since_{};
};

// The highest value over about the last kSpan, up to twice as long.
class RecentPeak {
 public:
  static constexpr Duration kSpan{10'000'000};

  void Record(double value, Time now);
  [[nodiscard]] double value() const { return std::max(present_, last_); }

 private:
  double present_ = 0;
  double last_ = 0;
  Time since_{};
};

// Times between two load peaks: how long the present one is likely to last.
class LoadLulls {
 public:
  // A lull lasts while the load is below this share of its recent peak.
  static constexpr double kShareOfPeak = 0.5;
  // Number of durations kept; older ones say little about the current load.
  static constexpr std::size_t kMaxDurations = 8;

  void Record(double load, Time now);
  // Until the load rises; 0 while it is high, nullopt if no lull has lasted as long before.
  [[nodiscard]] std::optional<Duration> ExpectedRemaining(Time now) const;

 private:
  RecentPeak peak_;
  std::optional<Time> since_;  // empty: the load is high
  std::deque<Duration> durations_;
};

// --- Connections -----------------------------------------------------------------------

// Tells whether this process keeps up with its callers. The load balancer may hand most of the new
// connections of a data centre to one entry. What it can't read in time would be answered late or
// never, while a caller whose connection is closed unread goes to another entry at once.
class LagMonitor {
 public:
  // How often the process should come round to measure itself.
  static constexpr Duration kInterval{25'000};
  // Callers expect their first byte within 100 ms or more. A wait of a quarter of that before a
  // request is read can still be made up.
  static constexpr Duration kMaxLag{25'000};
  // How long it must go on coming round late. One stall is over when it shows, however long it was:
  // a host that was suspended can serve its callers as soon as it runs again.
  static constexpr Duration kMinLateTime{100'000};
  // A single round counts for no more than this, or one that was a little late just before a stall
  // would make the stall look like standing lag.
  static constexpr Duration kMaxRoundTime = kMinLateTime / 2;

  // `lag`: how much later than kInterval after the last measurement this one was made.
  void Measure(Duration lag);
  [[nodiscard]] bool keeps_up() const { return late_for_ < kMinLateTime; }

 private:
  bool late_ = false;     // at the last measurement
  Duration late_for_{0};  // since the first of those that were late in succession
};

// --- Queue admission -------------------------------------------------------------------

// Decides whether a request that is queued now will be served in time. A request that expires in
// the queue is refused only after its goal instead of within milliseconds, which costs its caller
// that time.
class QueueAdmission {
 public:
  // Share of queued requests that may expire. One in a hundred costs less than the slots that a
  // stricter queue leaves empty for a moment.
  static constexpr double kTargetMissRatio = 0.01;
  // Increase of the margin for each expired request. Unit: standard deviations.
  static constexpr double kStep = 0.25;
  // Margins outside of this range result from chance alone. Unit: standard deviations.
  static constexpr double kMinMargin = 0;
  static constexpr double kMaxMargin = 3;

  // `ahead`: requests that will be served before it.
  [[nodiscard]] bool Admits(std::size_t ahead, const ExpectedCompletions& completions) const;
  // Outcome of a queued request.
  void OnServed();
  void OnExpired();
  [[nodiscard]] double margin() const { return margin_; }

 private:
  double margin_ = 1;
};

// --- Retries -----------------------------------------------------------------------------

// Measures how long overloads last.
class OverloadTracker {
 public:
  // An overload is over after this long without a refusal. Refusals in a peak follow each other
  // within a few ms, and two peaks are seconds apart.
  static constexpr Duration kQuietPeriod{400'000};
  // Number of durations kept; older ones say little about the current load.
  static constexpr std::size_t kMaxDurations = 8;

  void OnRefused(Time now);
  // Expected remaining time of the current overload, from the earlier ones that lasted longer than
  // it has so far; nullopt if there were none.
  [[nodiscard]] std::optional<Duration> ExpectedRemaining(Time now) const;
  // Start of the current or the last overload.
  [[nodiscard]] Time start() const { return start_; }

 private:
  Time start_{};
  Time last_refusal_{};
  std::deque<Duration> durations_;
};

// Gives each refused caller a delay before its retry and spreads the retries, so that no more
// callers return at a time than slots become free.
class RetryScheduler {
 public:
  // A caller retries after at most a third of its remaining time (the users' protocol), whatever
  // delay it is given; the rest allows for the network round trip.
  static constexpr double kMaxDelayShare = 0.3;
  // One in this many slots that become free is meant for retries; the others are for the first
  // tries that arrive meanwhile.
  static constexpr int kSlotsPerRetry = 2;

  struct RefusedRequest {
    Duration time_left{0};      // until the caller gives up
    Duration expected_wait{0};  // until a slot would be free without further arrivals
    Duration slot_interval{0};  // mean time between two slots becoming free
  };
  [[nodiscard]] Duration ScheduleRetry(const RefusedRequest& refused, Time now);
  [[nodiscard]] const OverloadTracker& tracker() const { return tracker_; }

 private:
  OverloadTracker tracker_;
  Time next_retry_{};  // earliest time not yet assigned to a retry
};

// Decides whether a caller on its last try may wait beyond its goal. Such requests are served when
// those that can still meet their goal leave a slot, which is after the overload. Waiting until the
// caller gives up is worse than an immediate refusal.
class LastTryAdmission {
 public:
  struct Attempt {
    Duration time_left{0};      // until the caller gives up
    Duration expected_wait{0};  // until a slot would be free without further arrivals
    Duration run{0};            // expected run time once it is served
  };
  [[nodiscard]] bool Admits(const Attempt& attempt, const OverloadTracker& tracker, Time now);
  // Outcome of a request that waited beyond its goal.
  void OnServed() { ++served_; }
  void OnExpired() { ++expired_; }

 private:
  void Reset(Time overload_start) { *this = {}, overload_start_ = overload_start; }

  // Counts of the current overload: while its duration is unknown, the outcomes so far decide.
  Time overload_start_{};
  int served_ = 0;
  int expired_ = 0;
};

// --- Small services ----------------------------------------------------------------------

// Admission to the queue of a service with few slots. The queue is ordered by the latest time at
// which each request can start. A request is admitted only if it, and all that are served after it,
// can still start in time by the expected completions. A refused first try is told when to return,
// and room is kept for it as a last try. A last try is admitted if it can start in time itself.
class DeadlineLine {
 public:
  // A service with at most this many slots on all of its ready backend servers is small. With more,
  // the completions of the next seconds vary too little to be worth a forecast for each request.
  static constexpr int kMaxSlots = 12;
  // A refused caller that is this late is assumed not to return.
  static constexpr Duration kReturnGrace{200'000};
  // Returns expected at a time; more than a small service completes in a caller's time.
  static constexpr std::size_t kMaxReturns = 1'000;
  // A last try is to start this many runs before its caller gives up: a run may be long.
  static constexpr int kLastTryRuns = 2;
  // Resolution of the delays given to refused callers.
  static constexpr Duration kDelayStep{25'000};
  // Weight of the moving average of the interval between two starts: the newest 256 starts make up
  // most of it.
  static constexpr int kIntervalSamples = 256;
  // With fewer the interval is not known well enough.
  static constexpr int kMinIntervals = 32;

  struct Request {
    Time goal_start{};      // latest start that meets the goal
    Time last_start{};      // latest start that ends before the caller gives up
    Duration time_left{0};  // until the caller gives up
    bool last_try = false;
  };
  struct Admitted {
    Time start_by{};
  };
  struct Refused {
    Duration retry_after{0};
  };
  using Decision = std::variant<Admitted, Refused>;
  // Completions expected within a span that starts now; it may be longer than a run.
  using Forecast = std::function<ExpectedCompletions(Duration)>;
  // Requests counted since the last TakeCounts.
  struct Counts {
    int admitted = 0;
    int refused = 0;
    int missed = 0;  // admitted, but not started in time
    bool operator==(const Counts&) const = default;
  };

  [[nodiscard]] static bool IsSmall(int slots) { return slots > 0 && slots <= kMaxSlots; }

  // `waiting`: latest start times of the requests in the queue, in ascending order.
  [[nodiscard]] Decision Decide(const Request& request, std::span<const Time> waiting,
                                const Forecast& forecast, Time now);
  // Outcome of an admitted request. `others_wait`: there are more in the queue.
  // `slots`: of the backend servers that could serve it.
  void OnServed(bool others_wait, int slots, Time now);
  // Returns the delay before the caller should retry.
  [[nodiscard]] Duration OnExpired(const Request& request, std::size_t waiting,
                                   const Forecast& forecast, Time now);
  // Mean time that a request holds a slot while others wait; nullopt until it is known.
  [[nodiscard]] std::optional<Duration> slot_time() const;
  [[nodiscard]] Counts TakeCounts() { return std::exchange(counts_, {}); }

 private:
  // A refused caller that was told to return.
  struct Return {
    Time due{};
    Time last_start{};
  };
  void ForgetMissingReturns(Time now);
  void OnReturn();
  [[nodiscard]] Decision Admit(Time start_by);
  [[nodiscard]] static bool CanStartBy(Time start_by, std::span<const Time> waiting,
                                       const Forecast& forecast, Time now);
  // Whether a request that starts by `start_by`, and all that are served after it, start in time.
  [[nodiscard]] bool Fits(Time start_by, std::span<const Time> waiting, const Forecast& forecast,
                          Time now) const;
  [[nodiscard]] Duration Refuse(const Request& request, std::size_t waiting,
                                const Forecast& forecast, Time now);

  QueueAdmission admission_;
  std::vector<Return> returns_;  // by due time
  int intervals_ = 0;
  Duration mean_slot_time_{0};
  std::optional<Time> last_start_;  // if requests have waited since then
  Counts counts_;
};

// --- Retry detection --------------------------------------------------------------------------

// Tells a retry from a first try by its remaining time, which is less than the callers of its route
// start with; that maximum is learned per route. For most callers the retry is the last try, which
// should rather wait than be refused again.
class RetryDetector {
 public:
  // The remaining time of a first try is within this of the maximum seen.
  static constexpr Duration kSlack{20'000};
  // A configuration change may change the initial time, so the maximum is taken over the current
  // and the previous window of this length.
  static constexpr Duration kSpan{10'000'000};

  // Records a try and returns whether it is a retry.
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
