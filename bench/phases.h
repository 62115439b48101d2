#pragma once

// The phases of one run. They alternate, so that whatever else the machine does
// falls on all of them alike.

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "bench/batch_load.h"
#include "bench/engine_tally.h"
#include "bench/online_load.h"

namespace figmill::bench {

enum class Phase : std::uint8_t { kOnline, kBatch, kBoth, kBurst };
inline constexpr std::array<Phase, 4> kPhases = {Phase::kOnline, Phase::kBatch, Phase::kBoth,
                                                 Phase::kBurst};
[[nodiscard]] std::string_view NameOf(Phase phase);

struct PhasePlan {
  Duration warm_up{3'000'000};  // not measured
  Duration measured{12'000'000};
  int rounds = 3;
  double burst_factor = 3;
  Duration burst_period{4'000'000};  // a burst for half of it, calm for the rest
};

// All rounds of one phase together.
struct PhaseReport {
  OnlineReport online;
  Tally tokens;
  double seconds = 0;
};

class PhaseRunner {
 public:
  PhaseRunner(Loop& loop, HttpClient& client, PhasePlan plan, std::vector<Address> engines,
              OnlineLoad& online, BatchLoad& batch);
  // Errors: those of TakeTally.
  void Run(std::function<void(Result<Ok>)> done);
  [[nodiscard]] PhaseReport& report(Phase phase) {
    return reports_[static_cast<std::size_t>(phase)];
  }

 private:
  void Begin();
  void Measure();
  void Finish();
  void Settle();
  void Next();
  void Burst(bool high);
  [[nodiscard]] Phase phase() const { return kPhases[step_ % kPhases.size()]; }

  Loop& loop_;
  HttpClient& client_;
  PhasePlan plan_;
  std::vector<Address> engines_;
  OnlineLoad& online_;
  BatchLoad& batch_;
  std::array<PhaseReport, kPhases.size()> reports_;
  std::function<void(Result<Ok>)> done_;
  std::size_t step_ = 0;
  Tally before_;
  Time measured_from_{};
  Timer timer_;
  Timer burst_timer_;
};

}  // namespace figmill::bench
