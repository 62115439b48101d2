// Compares ways to route online requests over the same arrivals: first-token
// time, token gap, and how much of the prompts' shared starts the engines had
// cached. Pure: the stand-in engine's model, simulated time, a seeded random
// source. Prints one line a way and load, then the cost of a refusal.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "figmill/online.h"
#include "standin/engine_model.h"

namespace figmill {
namespace {

using standin::EngineModel;

constexpr int kEngines = 16;
constexpr std::uint32_t kPrefixTokens = 512;
constexpr std::uint32_t kOwnTokens = 64;
constexpr std::uint32_t kBlockTokens = 16;
constexpr double kAnswerTokens = 64;  // mean, geometric
constexpr int kPrefixes = 400;        // together about three times one engine's memory
constexpr Duration kWarmUp{15'000'000};
constexpr Duration kRun{75'000'000};
const ServiceName kService{"note-llm"};

enum class Way { kRoundRobin, kLeastInFlight, kTwoChoices, kAffinity, kPlainHash };
struct Named {
  Way way;
  const char* name;
};
constexpr Named kWays[] = {{Way::kRoundRobin, "round robin"},
                           {Way::kLeastInFlight, "least in flight"},
                           {Way::kTwoChoices, "two choices"},
                           {Way::kPlainHash, "prefix hash alone"},
                           {Way::kAffinity, "prefix, bounded"}};

struct Request {
  Time at;
  int entry = 0;
  int prefix = 0;
  std::uint64_t tokens = 1;
};

std::vector<Request> Arrivals(double rate, int entries) {
  std::mt19937_64 random(7);
  std::exponential_distribution<double> gap(rate);
  std::geometric_distribution<std::uint64_t> tokens(1 / kAnswerTokens);
  std::vector<double> weights;
  weights.reserve(kPrefixes);
  for (int i = 0; i < kPrefixes; ++i) weights.push_back(1 / std::pow(i + 1, 0.8));
  std::discrete_distribution<int> prefix(weights.begin(), weights.end());
  std::vector<Request> arrivals;
  Time at{};
  while (true) {
    at += Duration(static_cast<std::int64_t>(gap(random) * 1e6));
    if (at - Time{} > kRun) return arrivals;
    arrivals.push_back({at, static_cast<int>(random() % static_cast<std::uint64_t>(entries)),
                        prefix(random), 1 + tokens(random)});
  }
}

standin::TokenizedPrompt Prompt(int prefix, std::uint64_t run) {
  standin::TokenizedPrompt prompt{kPrefixTokens + kOwnTokens, {}};
  for (std::uint32_t i = 0; i < prompt.tokens / kBlockTokens; ++i) {
    const bool shared = i < kPrefixTokens / kBlockTokens;
    const std::string key = shared ? "p" + std::to_string(prefix) : "r" + std::to_string(run);
    prompt.blocks.push_back(RendezvousWeight(key, std::to_string(i)));
  }
  return prompt;
}

RoutingSnapshot Fleet() {
  RoutingSnapshot snapshot;
  for (int i = 0; i < kEngines; ++i) {
    Member member;
    member.node = {std::to_string(i)};
    member.role = Role::kAgent;
    member.serves = {kService};
    snapshot.members.push_back(member);
  }
  return snapshot;
}

double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

class Simulation {
 public:
  Simulation(Way way, int entries)
      : way_(way), random_(3), next_(static_cast<std::size_t>(entries)) {
    const RoutingSnapshot fleet = Fleet();
    for (int i = 0; i < entries; ++i) {
      routers_.push_back(std::make_unique<Router>(NodeId{"e" + std::to_string(i)}, DataCentre{},
                                                  [this] { return random_(); }));
      routers_.back()->Update(fleet, Time{});
      in_flight_.emplace_back(kEngines, 0);
    }
    for (int i = 0; i < kEngines; ++i) engines_.emplace_back(standin::EngineCosts{});
  }
  // One engine whose steps take longer, as by a fault of its host.
  void SlowDown(Duration extra) { engines_[0].set_extra_step_time(extra); }

  void Run(const std::vector<Request>& arrivals) {
    for (const Request& request : arrivals) {
      AdvanceTo(request.at);
      Arrive(request);
    }
  }

  void Print(const char* name, double load) {
    std::printf("%-18s %4.0f%% %9.0f %9.0f %9.1f %8.1f%% %7d\n", name, load * 100,
                Quantile(first_token_, 0.5), Quantile(first_token_, 0.99), Quantile(gap_, 0.95),
                100 * cached_ / std::max(1.0, shared_), refused_);
  }

 private:
  struct Open {
    Request request;
    int engine = 0;
    Time last;
  };

  void AdvanceTo(Time now) {
    while (true) {
      int first = -1;
      for (int i = 0; i < kEngines; ++i) {
        const auto end = engines_[static_cast<std::size_t>(i)].next_step_end();
        if (!end || *end > now) continue;
        if (first < 0 || *end < *engines_[static_cast<std::size_t>(first)].next_step_end())
          first = i;
      }
      if (first < 0) return;
      EngineModel& engine = engines_[static_cast<std::size_t>(first)];
      const Time at = *engine.next_step_end();
      for (const standin::TokenEvent& event : engine.Advance(at)) OnToken(event, at);
    }
  }

  int Choose(const Request& request, Time now) {
    const auto entry = static_cast<std::size_t>(request.entry);
    const std::string prefix = "p" + std::to_string(request.prefix);
    switch (way_) {
      case Way::kRoundRobin:
        return static_cast<int>(next_[entry]++ % kEngines);
      case Way::kLeastInFlight: {
        const auto& counts = in_flight_[entry];
        const int least = *std::min_element(counts.begin(), counts.end());
        auto i = static_cast<std::size_t>(random_() % kEngines);
        while (counts[i] != least) i = (i + 1) % kEngines;
        return static_cast<int>(i);
      }
      case Way::kPlainHash: {
        int best = 0;
        for (int i = 1; i < kEngines; ++i) {
          const bool higher = RendezvousWeight(prefix, std::to_string(i)) >
                              RendezvousWeight(prefix, std::to_string(best));
          if (higher) best = i;
        }
        return best;
      }
      case Way::kTwoChoices:
      case Way::kAffinity: {
        const std::string_view key = way_ == Way::kAffinity ? prefix : std::string_view{};
        const auto pick = routers_[entry]->Choose({kService, key, kAnswerTokens, {}}, now);
        return std::stoi(ValueOf(pick).node.value);
      }
    }
    return 0;
  }

  void Arrive(const Request& request) {
    const int engine = Choose(request, request.at);
    const std::uint64_t run = ++runs_;
    const auto entry = static_cast<std::size_t>(request.entry);
    const auto submitted = engines_[static_cast<std::size_t>(engine)].Submit(
        request.at, {run, Prompt(request.prefix, run), request.tokens, 0, false});
    if (!IsOk(submitted)) {
      ++refused_;
      return;
    }
    routers_[entry]->RecordDispatch({std::to_string(engine)}, kAnswerTokens);
    ++in_flight_[entry][static_cast<std::size_t>(engine)];
    open_[run] = {request, engine, request.at};
  }

  void OnToken(const standin::TokenEvent& event, Time at) {
    Open& open = open_.at(event.run);
    const auto entry = static_cast<std::size_t>(open.request.entry);
    const NodeId node{std::to_string(open.engine)};
    const bool counts = open.request.at - Time{} > kWarmUp;
    const double ms = std::chrono::duration<double, std::milli>(at - open.last).count();
    if (event.index == 0) {
      const EngineLoad load = engines_[static_cast<std::size_t>(open.engine)].load();
      routers_[entry]->RecordLoad(node, {load.running + load.waiting, 0, 0}, at);
    }
    if (counts && event.index == 0) {
      first_token_.push_back(ms);
      shared_ += kPrefixTokens;
      cached_ += event.cached_tokens;
    } else if (counts) {
      gap_.push_back(ms);
    }
    open.last = at;
    if (!event.last) return;
    routers_[entry]->RecordAttemptEnd(node, kAnswerTokens, AttemptEnd::kAnswered, std::nullopt, at);
    --in_flight_[entry][static_cast<std::size_t>(open.engine)];
    open_.erase(event.run);
  }

  Way way_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<std::vector<int>> in_flight_;  // by entry and engine
  std::vector<std::uint64_t> next_;
  std::vector<EngineModel> engines_;
  std::unordered_map<std::uint64_t, Open> open_;
  std::uint64_t runs_ = 0;
  std::vector<double> first_token_, gap_;
  double cached_ = 0, shared_ = 0;
  int refused_ = 0;
};

// Processor time of a refusal by a team's limit.
void PrintRefusals() {
  RoutingSnapshot snapshot;
  auto config = std::make_shared<Config>();
  for (int i = 0; i < 2700; ++i) {
    const TeamId team{"team-" + std::to_string(i)};
    config->limits[team] = {team, 0.001, 0, 2};
  }
  snapshot.config = config;
  Member self;
  self.node = {"e0"};
  snapshot.members = {self};
  TeamLimits limits({"e0"});
  limits.Update(snapshot, Time{});
  std::vector<TeamId> teams;
  for (const auto& [team, limit] : config->limits) teams.push_back(team);
  constexpr int kCalls = 2'000'000;
  int refused = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i) {
    const TeamId& team = teams[static_cast<std::size_t>(i) * 7919 % teams.size()];
    if (!IsOk(limits.Admit(team, 100, Time(Duration(i))))) ++refused;
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  std::printf("team limit alone: %.2f M decisions per core-second, %.1f%% refused\n",
              kCalls / seconds / 1e6, 100.0 * refused / kCalls);
}

void Compare(int entries, double load, const std::vector<Request>& arrivals, Duration slow) {
  for (const Named& named : kWays) {
    Simulation simulation(named.way, entries);
    simulation.SlowDown(slow);
    simulation.Run(arrivals);
    simulation.Print(named.name, load);
  }
}

void Main() {
  const double capacity =
      kEngines * standin::TokensPerSecondBound({}, kPrefixTokens + kOwnTokens, kAnswerTokens) /
      kAnswerTokens;
  std::printf("%d engines, capacity without any cache %.0f requests/s\n", kEngines, capacity);
  for (const int entries : {4, 64}) {
    std::printf("\n%d entries\n%-18s %5s %9s %9s %9s %9s %7s\n", entries, "way", "load",
                "first p50", "first p99", "gap p95", "cached", "refused");
    for (const double load : {0.5, 0.8, 0.95}) {
      Compare(entries, load, Arrivals(load * capacity, entries), Duration{0});
    }
    std::printf("one engine's steps 40 ms longer\n");
    Compare(entries, 0.8, Arrivals(0.8 * capacity, entries), Duration{40'000});
  }
  PrintRefusals();
}

}  // namespace
}  // namespace figmill

int main() {
  figmill::Main();
}
