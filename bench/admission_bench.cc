// Compares rules that size the concurrency of online work by the token gap
// measured, at a step to 3 and to 10 times an engine's capacity. Pure: a model
// of an engine (step = a + b * running + c * prompt tokens), simulated time, a
// seeded random source. Prints one line a rule and load.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "bench/admission_rules.h"
#include "gate/online_queue.h"
#include "gate/service_time_estimate.h"

namespace figmill::bench {
namespace {

using detail::PredictedWait;
using detail::ServiceTimeEstimate;

// --- The engine --------------------------------------------------------------------

struct EngineCosts {
  double base_us = 12'000;
  double stream_us = 700;
  double prompt_us = 20;  // a token
  int max_running = 128;
};

constexpr Duration kTargetFirst{840'000};
constexpr Duration kDeadline{20'000'000};
constexpr int kMeanAnswer = 100;  // tokens, geometric
constexpr int kMeanPrompt = 300;

struct Request {
  Time arrived;
  int prompt = 0;
  int answer = 0;
  Time started, last;
  Duration first{};
  int tokens = 0;
};

// --- One run -------------------------------------------------------------------------

struct Phases {
  double before = 0.8, step = 3, after = 0.8;  // of capacity
  double slowness = 1;                         // of the engine during the step
};
constexpr double kBeforeS = 20, kStepS = 40, kAfterS = 20;

struct Figures {
  double in_deadline = 0;  // whole answers in time per second, during the step
  double in_target = 0;    // of those, with the first token in target
  double settle_s = 0;     // until the mean gap stays within the target
  double needless = 0;     // share refused while the load was under capacity
  double first_p95_s = 0, gap_p95_ms = 0;
};

class Run {
 public:
  Run(Rule rule, Phases phases, double capacity, unsigned seed)
      : rule_(std::move(rule)), phases_(phases), capacity_(capacity), random_(seed) {}

  Figures Go() {
    next_arrival_ = Time(Duration(1));
    const Time end = At(kBeforeS + kStepS + kAfterS);
    while (now_ < end) Step();
    return Sum();
  }

 private:
  static Time At(double seconds) {
    return Time(Duration(static_cast<std::int64_t>(seconds * 1e6)));
  }
  [[nodiscard]] bool InStep(Time t) const { return t >= At(kBeforeS) && t < At(kBeforeS + kStepS); }
  [[nodiscard]] double Rate(Time t) const {
    if (t < At(kBeforeS)) return phases_.before * capacity_;
    return (InStep(t) ? phases_.step : phases_.after) * capacity_;
  }
  [[nodiscard]] int limit() const {
    return static_cast<int>(
        std::visit([](const auto& rule) { return std::min(rule.limit(), 1e6); }, rule_));
  }
  [[nodiscard]] int admitted() const {
    return static_cast<int>(running_.size() + entering_.size());
  }

  void Step() {
    if (entering_.empty() && running_.empty()) now_ = std::max(now_, next_arrival_);
    Arrivals();
    double prompts = 0;
    while (!entering_.empty() && static_cast<int>(running_.size()) < costs_.max_running) {
      prompts += entering_.front().prompt;
      running_.push_back(entering_.front());
      entering_.pop_front();
    }
    const double us = costs_.base_us + costs_.stream_us * static_cast<double>(running_.size()) +
                      costs_.prompt_us * prompts;
    now_ += Duration(static_cast<std::int64_t>(InStep(now_) ? us * phases_.slowness : us));
    Tokens(prompts == 0);
    CloseWindow();
    Arrivals();
  }

  void Arrivals() {
    while (next_arrival_ <= now_) {
      Arrive(next_arrival_);
      std::exponential_distribution<double> gap(Rate(next_arrival_));
      next_arrival_ += Duration(std::max<std::int64_t>(1, std::llround(gap(random_) * 1e6)));
    }
  }
  void Arrive(Time at) {
    std::geometric_distribution<int> answer(1.0 / kMeanAnswer);
    std::geometric_distribution<int> prompt(1.0 / kMeanPrompt);
    const Request request{at, 1 + prompt(random_), 1 + answer(random_), {}, {}, {}, 0};
    ++arrived_[PhaseOf(at)];
    if (queue_.empty() && admitted() < limit()) return Start(request);
    const Duration wait =
        PredictedWait(static_cast<int>(queue_.size()) + std::max(0, admitted() - limit()), limit(),
                      estimate_.whole());
    if (wait > kTargetFirst / 2 || wait + estimate_.whole() > kDeadline) {
      ++refused_[PhaseOf(at)];
      return;
    }
    queue_.push_back(request);
  }
  void Start(Request request) {
    request.started = now_;
    entering_.push_back(request);
  }
  int PhaseOf(Time t) const { return t < At(kBeforeS) ? 0 : InStep(t) ? 1 : 2; }

  void Tokens(bool clean) {
    const int running = static_cast<int>(running_.size());
    for (Request& request : running_) {
      ++request.tokens;
      if (request.tokens == 1) {
        request.first = now_ - request.arrived;
        if (InStep(now_)) firsts_.push_back(static_cast<double>(request.first.count()));
      } else {
        Gap(now_ - request.last, running, clean);
      }
      request.last = now_;
    }
    std::erase_if(running_, [&](const Request& request) {
      if (request.tokens < request.answer) return false;
      End(request);
      return true;
    });
    while (!queue_.empty() && admitted() < limit()) {
      const Request request = queue_.front();
      queue_.pop_front();
      if (now_ + estimate_.whole() <= request.arrived + kDeadline) {
        Start(request);
      } else {
        ++refused_[PhaseOf(request.arrived)];
      }
    }
  }
  void Gap(Duration gap, int running, bool clean) {
    const auto us = static_cast<double>(gap.count());
    if (InStep(now_)) gaps_.push_back(us);
    gap_sum_ += us;
    window_gaps_.push_back(us);
    running_sum_ += running;
    ++samples_;
    if (auto* fitted = std::get_if<FittedLine>(&rule_); fitted != nullptr && clean) {
      fitted->model.Add(running, gap);
    }
    if (auto* library = std::get_if<Library>(&rule_)) library->rule.AddGap(gap, running);
  }
  void End(const Request& request) {
    estimate_.AddEnded(now_ - request.started, static_cast<std::uint64_t>(request.tokens), 0);
    if (!InStep(now_)) return;
    if (now_ > request.arrived + kDeadline) return;
    ++in_deadline_;
    if (request.first <= kTargetFirst) ++in_target_;
  }

  void CloseWindow() {
    constexpr Duration kWindow{500'000};
    if (now_ < window_start_ + kWindow) return;
    window_start_ = now_;
    if (samples_ == 0) return;
    const Window window{P95(window_gaps_), running_sum_ / samples_,
                        !queue_.empty() || admitted() >= limit() * 9 / 10};
    if (InStep(now_) && gap_sum_ / samples_ > static_cast<double>(kTargetGap.count())) {
      unsettled_ = now_;
    }
    std::visit([&](auto& rule) { rule.On(window); }, rule_);
    gap_sum_ = running_sum_ = 0;
    window_gaps_.clear();
    samples_ = 0;
  }

  Figures Sum() {
    Figures figures;
    figures.in_deadline = in_deadline_ / kStepS;
    figures.in_target = in_target_ / kStepS;
    figures.settle_s =
        std::max(0.0, std::chrono::duration<double>(unsettled_ - At(kBeforeS)).count());
    // What is refused in the first seconds after the step is the step's queue.
    figures.needless =
        static_cast<double>(refused_[0] + refused_[2]) / std::max(1, arrived_[0] + arrived_[2]);
    figures.first_p95_s = P95(firsts_) / 1e6;
    figures.gap_p95_ms = P95(gaps_) / 1e3;
    return figures;
  }
  static double P95(std::vector<double>& values) {
    if (values.empty()) return 0;
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
    std::nth_element(values.begin(), place, values.end());
    return *place;
  }

  Rule rule_;
  Phases phases_;
  double capacity_;
  std::mt19937 random_;
  EngineCosts costs_;
  ServiceTimeEstimate estimate_;
  Time now_{}, next_arrival_{}, window_start_{}, unsettled_{};
  std::deque<Request> queue_, entering_;
  std::vector<Request> running_;
  std::vector<double> firsts_, gaps_, window_gaps_;
  double gap_sum_ = 0, running_sum_ = 0;
  int samples_ = 0, in_deadline_ = 0, in_target_ = 0;
  int arrived_[3] = {}, refused_[3] = {};
};

// The best that any fixed limit does when work never runs out, all in target.
double Capacity(double slowness) {
  double best = 0;
  for (int limit = 4; limit <= 120; limit += 2) {
    const Figures figures = Run(FixedLimit{double(limit)}, {30, 30, 30, slowness}, 1, 1).Go();
    best = std::max(best, figures.in_deadline * (figures.gap_p95_ms <= 61 ? 1 : 0));
  }
  return best;
}

struct Load {
  const char* name;
  double of_capacity;
  double slowness = 1;
};

void Print(const char* name, const Rule& rule, const Load& load, double capacity) {
  const double reached = load.slowness == 1 ? capacity : Capacity(load.slowness);
  Figures mean;
  constexpr int kSeeds = 5;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Figures one = Run(rule, {0.8, load.of_capacity, 0.8, load.slowness}, capacity, seed).Go();
    mean.in_deadline += one.in_deadline / kSeeds;
    mean.in_target += one.in_target / kSeeds;
    mean.settle_s = std::max(mean.settle_s, one.settle_s);
    mean.needless += one.needless / kSeeds;
    mean.first_p95_s += one.first_p95_s / kSeeds;
    mean.gap_p95_ms += one.gap_p95_ms / kSeeds;
  }
  std::printf("| %-22s | %-10s | %5.2f | %5.2f | %5.1f | %5.3f | %5.2f | %6.1f |\n", name,
              load.name, mean.in_deadline / reached, mean.in_target / reached, mean.settle_s,
              mean.needless, mean.first_p95_s, mean.gap_p95_ms);
}

int Main() {
  const double capacity = Capacity(1);
  std::printf("capacity %.2f requests/s\n", capacity);
  std::printf(
      "| rule | load | in deadline | in target | settle s | needless | first p95 s | gap p95 ms "
      "|\n");
  const std::vector<std::pair<const char*, Rule>> rules = {{"none", NoLimit{}},
                                                           {"Eq. 1", EquationOne{}},
                                                           {"AIMD", Aimd{}},
                                                           {"gradient (long/short)", Gradient{}},
                                                           {"gradient (target)", TargetGradient{}},
                                                           {"fitted line", FittedLine{}},

                                                           {"line + spread (kept)", Library{}}};
  for (const Load& load : {Load{"3x", 3}, Load{"10x", 10}, Load{"slow, 2x", 2, 2}}) {
    for (const auto& [name, rule] : rules) Print(name, rule, load, capacity);
  }
  return 0;
}

}  // namespace
}  // namespace figmill::bench

int main() {
  return figmill::bench::Main();
}
