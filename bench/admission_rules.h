#pragma once

// The rules that admission_bench compares.

#include <algorithm>
#include <deque>
#include <variant>

#include "figmill/base.h"
#include "gate/admission_limit.h"
#include "gate/token_gap_model.h"

namespace figmill::bench {

using detail::TokenGapModel;

constexpr Duration kTargetGap{61'000};

// What a rule sees every quarter second.
struct Window {
  double gap_us = 0;   // 95th percentile
  double running = 0;  // mean over the window
  bool saturated = false;
};

struct NoLimit {
  [[nodiscard]] static double limit() { return 1e9; }
  void On(const Window&) {}
};
struct FixedLimit {
  double value = 0;
  [[nodiscard]] double limit() const { return value; }
  void On(const Window&) {}
};
// Eq. 1 of Cotroneo, Natella, Rosiello, "NFV-Throttle" (IEEE TNSM 2017), over
// concurrency in place of traffic and the token gap in place of CPU usage:
// MEAN[accepted over N] / (MAX[gap over N] / reference).
struct EquationOne {
  std::deque<Window> windows;
  double value = 32;
  [[nodiscard]] double limit() const { return value; }
  void On(const Window& window) {
    constexpr std::size_t kWindows = 5;
    windows.push_back(window);
    if (windows.size() > kWindows) windows.pop_front();
    double accepted = 0;
    double gap = 1;
    for (const Window& w : windows) {
      accepted += w.running / static_cast<double>(windows.size());
      gap = std::max(gap, w.gap_us);
    }
    const double usage = gap / static_cast<double>(kTargetGap.count());
    // As the paper has it: below the reference everything is let in.
    value = usage <= 1 && !window.saturated ? std::max(value, accepted / usage) : accepted / usage;
    value = std::max(value, 1.0);
  }
};
struct Aimd {
  double value = 32;
  [[nodiscard]] double limit() const { return value; }
  void On(const Window& window) {
    if (window.gap_us > static_cast<double>(kTargetGap.count())) {
      value = std::max(1.0, value * 0.8);
    } else if (window.saturated) {
      value += 1;
    }
  }
};
// Gradient of the gap against its long-term mean, as Netflix's Gradient2.
struct Gradient {
  double value = 32;
  double long_gap = 0;
  [[nodiscard]] double limit() const { return value; }
  void On(const Window& window) {
    long_gap = long_gap == 0 ? window.gap_us : long_gap * 0.99 + window.gap_us * 0.01;
    if (!window.saturated) return;
    const double gradient = std::clamp(1.5 * long_gap / window.gap_us, 0.5, 1.0);
    value = std::max(1.0, value * 0.8 + (value * gradient + 4) * 0.2);
  }
};
// Gradient towards the target: a step by the ratio of target to gap.
struct TargetGradient {
  double value = 32;
  [[nodiscard]] double limit() const { return value; }
  void On(const Window& window) {
    const double ratio = static_cast<double>(kTargetGap.count()) / std::max(window.gap_us, 1.0);
    if (ratio < 1 || window.saturated) value *= std::clamp(ratio, 0.5, 1.25);
    value = std::max(value, 1.0);
  }
};
// The line fitted to gaps without prompts, solved for the target.
struct FittedLine {
  TokenGapModel model;
  double value = 32;
  [[nodiscard]] double limit() const { return value; }
  void On(const Window&) {
    value = std::max(1.0, model.RunningAt(static_cast<double>(kTargetGap.count())));
  }
};
// The library's: the line fitted to all gaps, plus the 95th percentile of what
// lies above it.
struct Library {
  detail::AdmissionLimit rule{kTargetGap, 1 << 20};
  [[nodiscard]] double limit() const { return rule.limit(); }
  void On(const Window&) {}
};
using Rule = std::variant<NoLimit, FixedLimit, EquationOne, Aimd, Gradient, TargetGradient,
                          FittedLine, Library>;

}  // namespace figmill::bench
