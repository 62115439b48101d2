#pragma once

// How fast an engine is: its time per event, learned from the runs on it. The length of a run says
// less, because answers differ in length. No I/O: the caller passes the time in.

#include <cstdint>
#include <deque>
#include <optional>
#include <span>

#include "figmill/base.h"

namespace figmill {

// Events of runs, and the time that passed between them.
struct EventTiming {
  std::uint64_t events = 0;
  Duration time{0};

  EventTiming& operator+=(const EventTiming& other) {
    events += other.events;
    time += other.time;
    return *this;
  }
  bool operator==(const EventTiming&) const = default;
};
// What was added to the totals of one sender since `before`; nothing if the sender has started
// anew.
[[nodiscard]] EventTiming AddedSince(const EventTiming& before, const EventTiming& total);

// Times the events of one run. The time before its first event isn't counted: the run may have
// waited for a slot, and its text was read.
class RunTimer {
 public:
  RunTimer() = default;
  // `events`: delivered by earlier runs of the same request.
  explicit RunTimer(std::uint64_t events) : events_(events) {}

  // `events`: delivered by now, by this run and the earlier ones. Returns what was added since the
  // last call.
  [[nodiscard]] EventTiming Update(std::uint64_t events, Time now);

 private:
  std::uint64_t events_ = 0;
  std::optional<Time> last_event_at_;
};

// The time per event of one incarnation of an engine.
class EngineSpeed {
 public:
  // Runs are summed up over spans of at least this length and this many events.
  static constexpr Duration kSpan{200'000};
  static constexpr std::uint64_t kEventsPerSpan = 16;
  // An engine that turns slow is known once all but one of the last spans were slow, after a
  // second. A pause of 600 ms falls into four of them at most, and changes nothing.
  static constexpr std::size_t kSpans = 6;
  static constexpr std::size_t kSlowSpansIgnored = kSpans - 2;
  // Fewer spans tell nothing.
  static constexpr std::size_t kMinSpans = 4;
  // An engine that ran nothing for so long counts as unknown, and is tried like any other.
  static constexpr Duration kMaxAge{10'000'000};

  void Record(const EventTiming& timing, Time now);
  // nullopt: unknown.
  [[nodiscard]] std::optional<Duration> TimePerEvent(Time now) const;

 private:
  EventTiming span_;
  Time span_since_{};
  Time last_span_at_{};
  std::deque<Duration> spans_;  // time per event, oldest first
};

// --- Comparison ---------------------------------------------------------------------

// Engines of one service count as different from this ratio of their times per event on: a caller
// waits half as long again for a whole answer, more than answers differ in length by chance.
inline constexpr double kSpeedClassRatio = 1.5;

// Class of an engine, by the fastest engine of its service: 0 is like the fastest, and each further
// class is slower by kSpeedClassRatio.
class SpeedClass {
 public:
  // An engine changes its class when it is beyond the limit by this share.
  static constexpr double kHysteresis = 0.05;
  static constexpr int kSlowest = 6;

  // Returns whether the class has changed.
  bool Update(Duration time_per_event, Duration fastest);
  [[nodiscard]] int value() const { return value_; }

 private:
  int value_ = 0;
};

// Whether engines with these times per event, one for each known engine, count as different.
[[nodiscard]] bool SpeedsDiffer(std::span<const Duration> times_per_event);

// The time per event as one byte, in steps of a fifteenth; 0: unknown.
inline constexpr int kMaxSpeedCode = 127;
[[nodiscard]] int EncodeTimePerEvent(std::optional<Duration> time_per_event);
[[nodiscard]] std::optional<Duration> DecodeTimePerEvent(int code);

}  // namespace figmill
