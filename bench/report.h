#pragma once

// What a run found: the phases, and the two ratios that users watch.

#include <string>

#include "bench/phases.h"

namespace figmill::bench {

struct PhaseFigures {
  std::string phase;
  double first_token_p50_ms = 0;
  double first_token_p99_ms = 0;
  double gap_p95_ms = 0;
  double online_tokens_per_s = 0;
  double batch_tokens_per_s = 0;
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  std::uint64_t refused = 0;
  std::uint64_t broken = 0;
};

struct Summary {
  std::vector<PhaseFigures> phases;
  double engine_bound_tokens_per_s = 0;  // all engines, full of batch
  double first_token_p99_ratio = 0;      // both / online only
  double gap_p95_ratio = 0;              // both / online only
  double batch_share_of_rest = 0;        // batch / (bound - online), in "both"
  double batch_alone_share = 0;          // batch / bound, in "batch only"
};

[[nodiscard]] Summary Summarise(PhaseRunner& runner, double engine_bound_tokens_per_s);
[[nodiscard]] std::string ToText(const Summary& summary);
[[nodiscard]] std::string ToJson(const Summary& summary);
// Bars of online tail latency and batch throughput by phase.
[[nodiscard]] std::string ToSvg(const Summary& summary);

}  // namespace figmill::bench
