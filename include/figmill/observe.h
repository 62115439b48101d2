#pragma once

// What a process says of itself: structured log lines and metrics. Neither ever
// waits for whoever reads them.

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figmill/base.h"

namespace figmill {

// --- Metrics -------------------------------------------------------------------------

class Counter {
 public:
  void Add(std::uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  [[nodiscard]] std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  [[nodiscard]] double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0};
};

// Quantiles of a stream in constant memory (Boost.Accumulators, P-square).
class Distribution {
 public:
  Distribution();
  ~Distribution();
  void Add(double value);
  struct Summary {
    std::uint64_t count = 0;
    double sum = 0, p50 = 0, p95 = 0, p99 = 0;
  };
  [[nodiscard]] Summary summary() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

// All metrics of a process. A name is Prometheus style with its unit, such as
// figmill_online_first_token_seconds; labels are part of the identity. The
// references stay valid as long as the registry.
// How often a value fell into each of some ranges.
class Histogram {
 public:
  // `bounds`: upper ends of the ranges, rising; the last range has none.
  explicit Histogram(std::span<const double> bounds);
  ~Histogram();
  void Add(double value);
  struct Bucket {
    double up_to = 0;
    std::uint64_t count = 0;  // of all values up to here
  };
  struct Counts {
    std::vector<Bucket> buckets;
    std::uint64_t count = 0;
    double sum = 0;
  };
  [[nodiscard]] Counts counts() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

// Seconds, from a call within a data centre to a caller's whole patience.
inline constexpr std::array<double, 12> kLatencyBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                          0.3,   0.5,  1,     2.5,  5,   15};

class Metrics {
 public:
  Counter& counter(std::string_view name, std::string_view help, std::string_view labels = {});
  Gauge& gauge(std::string_view name, std::string_view help, std::string_view labels = {});
  Distribution& distribution(std::string_view name, std::string_view help,
                             std::string_view labels = {});
  // Of latencies in seconds.
  Histogram& histogram(std::string_view name, std::string_view help, std::string_view labels = {});
  [[nodiscard]] std::string PrometheusText() const;

 private:
  template <typename M>
  struct Family {
    std::string help;
    std::map<std::string, std::unique_ptr<M>, std::less<>> by_labels;
  };
  mutable std::mutex mutex_;
  std::map<std::string, Family<Counter>, std::less<>> counters_;
  std::map<std::string, Family<Gauge>, std::less<>> gauges_;
  std::map<std::string, Family<Distribution>, std::less<>> distributions_;
  std::map<std::string, Family<Histogram>, std::less<>> histograms_;
};

// --- Logs ----------------------------------------------------------------------------

struct LogField {
  std::string_view key;
  std::string value;
};
enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

// One line an event: TIME LEVEL event=NAME key=value ..., values quoted where needed.
// Of one event at most kLogLinesPerSecond are written in the long run; the next
// line of it that is written says how many were left out.
inline constexpr int kLogLinesPerSecond = 200;
inline constexpr int kLogBurst = 1'000;
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

// A line as Log wrote it, perhaps behind a name that a collector put before it.
struct LoggedLine {
  std::string source;  // the word before the time; empty: none
  std::chrono::sys_time<std::chrono::microseconds> at;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;

  // Empty when the line has no such field.
  [[nodiscard]] std::string_view Field(std::string_view key) const;
};
// Nothing for a line that is none of ours.
[[nodiscard]] std::optional<LoggedLine> ParseLogLine(std::string_view line);

// Lines go to standard output, as hosts have no disks and whoever starts us keeps
// them; those under `least` are left out. A reader that falls behind loses lines,
// which are counted, and never holds the process up.
void StartLogging(const char* program, LogLevel least = LogLevel::kInfo);
// Lines that were left out or lost so far.
[[nodiscard]] std::uint64_t LogLinesDropped();

}  // namespace figmill
