#pragma once

// Simulation of entries that share the quota of one team, over datagrams with latency and loss. The
// policies that divide the quota are in quota-policies.h.

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "figmill/online.h"
#include "figmill/quota.h"

namespace figmill::sim {

struct QuotaLoad {
  int entries = 30;
  double rate = 40;  // the team's limit, in requests a second
  double burst = 40;
  double offered = 32;          // requests a second
  std::vector<double> weights;  // share of the requests for each entry; empty: evenly
  Duration span{30'000'000};
  double loss = 0.01;  // probability, for each datagram
  Duration latency{1'000};
  // Fault that starts at `fault_at` and lasts for `fault_duration`.
  enum class Fault { kNone, kOwnerKilled, kOwnerStopped, kOwnerCut, kSomeCut, kAllRestarted };
  Fault fault = Fault::kNone;
  Duration fault_at{10'000'000};
  Duration fault_duration{5'000'000};
  unsigned seed = 1;
};

// Weights of 1 : 1/2 : 1/3 ...
inline std::vector<double> Skewed(int entries) {
  std::vector<double> weights(static_cast<std::size_t>(entries));
  for (std::size_t i = 0; i < weights.size(); ++i) weights[i] = 1.0 / static_cast<double>(i + 1);
  return weights;
}

inline std::vector<double> AllAtOne(int entries) {
  std::vector<double> weights(static_cast<std::size_t>(entries), 0.0);
  weights.back() = 1;
  return weights;
}

struct QuotaResult {
  double worst_window = 0;  // most requests in any window, divided by those allowed in one
  // admitted requests, divided by those that a single bucket would have admitted
  double admitted = 0;
  double median_ms = 0;  // wait of a request for the decision
  double p99_ms = 0;
  double messages = 0;  // datagrams for each request
};

// Time until the others detect that an entry has failed.
constexpr Duration kFailureDetectionTime = std::chrono::milliseconds(2500);
// Time until the others know that it is back: one that was stopped announces itself at once, and
// one that was cut off is probed by the others.
constexpr Duration kRejoinAfterCut = std::chrono::milliseconds(1000);
constexpr Duration kRejoinAfterStop = std::chrono::milliseconds(100);

class QuotaSimulation {
 public:
  explicit QuotaSimulation(const QuotaLoad& load) : load_(load), random_(load.seed) {
    team_.name.value = "harbour";
    team_.requests_per_second = load.rate;
    team_.burst = load.burst;
    for (int i = 0; i < load.entries; ++i) {
      nodes_.push_back({"entry" + std::to_string(i)});
      weights_.push_back(RendezvousWeight("quota/" + team_.name.value, nodes_.back().value));
    }
    first_owner_ = OwnerAmong([](int) { return true; });
    fallback_owner_ = OwnerAmong([this](int entry) {
      const bool cut_off = load_.fault == QuotaLoad::Fault::kSomeCut && entry % 6 == 0;
      return entry != first_owner_ && !cut_off;
    });
    for (int i = 0; i < load.entries; ++i) {
      ranks_.push_back(static_cast<int>(std::count_if(
          weights_.begin(), weights_.end(),
          [&](std::uint64_t other) { return other > weights_[static_cast<std::size_t>(i)]; })));
    }
  }

  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] const QuotaLoad& load() const { return load_; }
  [[nodiscard]] const Team& team() const { return team_; }
  [[nodiscard]] const NodeId& node(int entry) const {
    return nodes_[static_cast<std::size_t>(entry)];
  }
  [[nodiscard]] int entries() const { return load_.entries; }

  void After(Duration delay, std::function<void()> task) {
    tasks_.push({now_ + delay, ++last_order_, std::move(task)});
  }
  void Every(Duration period, const std::function<void()>& task) {
    After(period, [this, period, task] {
      task();
      Every(period, task);
    });
  }
  void Send(int from, int to, std::function<void()> arrived) {
    ++messages_;
    if (Draw() < load_.loss || IsCutOff(from) != IsCutOff(to) || (IsCutOff(from) && from != to))
      return;
    After(load_.latency, [this, to, arrived = std::move(arrived)] {
      if (IsRunning(to)) arrived();
    });
  }
  void RunUntil(Time end) {
    while (!tasks_.empty() && tasks_.top().at <= end) {
      const Task task = tasks_.top();
      tasks_.pop();
      now_ = task.at;
      task.run();
    }
    now_ = end;
  }

  // --- Liveness ---
  [[nodiscard]] bool IsFaultActive() const {
    const Time begin = Start() + load_.fault_at;
    return now_ >= begin && now_ < begin + load_.fault_duration;
  }
  [[nodiscard]] bool IsFaultDetected() const {
    const Time begin = Start() + load_.fault_at;
    const Duration back = IsOwnerFault() ? kRejoinAfterStop : kRejoinAfterCut;
    return now_ >= begin + kFailureDetectionTime && now_ < begin + load_.fault_duration + back;
  }
  [[nodiscard]] int FirstOwner() const {
    return OwnerAmong([](int) { return true; });
  }
  [[nodiscard]] bool IsOwnerFault() const {
    return load_.fault == QuotaLoad::Fault::kOwnerKilled ||
           load_.fault == QuotaLoad::Fault::kOwnerStopped;
  }
  [[nodiscard]] bool IsRunning(int entry) const {
    return !(IsOwnerFault() && IsFaultActive() && entry == FirstOwner());
  }
  [[nodiscard]] bool IsCutOff(int entry) const {
    if (!IsFaultActive()) return false;
    if (load_.fault == QuotaLoad::Fault::kOwnerCut) return entry == FirstOwner();
    return load_.fault == QuotaLoad::Fault::kSomeCut && entry % 6 == 0;
  }
  // Whether `viewer` believes `entry` to be live; the belief lags behind the fault.
  [[nodiscard]] bool BelievesLive(int viewer, int entry) const {
    if (viewer == entry || !IsFaultDetected()) return true;
    if (IsOwnerFault()) return entry != FirstOwner();
    return !IsCutOff(viewer) && !IsCutOff(entry);
  }
  // The owner as `viewer` sees it. It depends only on the time and on the viewer's side of a
  // partition.
  [[nodiscard]] int OwnerSeenBy(int viewer) const {
    if (!IsFaultDetected() || viewer == first_owner_) return first_owner_;
    if (IsCutOff(viewer)) return viewer;
    return BelievesLive(viewer, first_owner_) ? first_owner_ : fallback_owner_;
  }
  [[nodiscard]] static Time Start() { return Time{Duration{1'000'000'000}}; }
  // An entry that is cut off hears from no other.
  [[nodiscard]] bool MayOwn(int entry) const { return !(IsCutOff(entry) && IsFaultDetected()); }
  [[nodiscard]] int Rank(int entry) const { return ranks_[static_cast<std::size_t>(entry)]; }

  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::mt19937& random() { return random_; }
  [[nodiscard]] int messages() const { return messages_; }

 private:
  struct Task {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Task& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  [[nodiscard]] std::uint64_t Weight(int entry) const {
    return weights_[static_cast<std::size_t>(entry)];
  }
  template <typename Filter>
  [[nodiscard]] int OwnerAmong(Filter is_candidate) const {
    int best = -1;
    for (int entry = 0; entry < load_.entries; ++entry) {
      if (is_candidate(entry) && (best < 0 || Weight(entry) > Weight(best))) best = entry;
    }
    return best;
  }

  QuotaLoad load_;
  std::mt19937 random_;
  Team team_;
  std::vector<NodeId> nodes_;
  std::vector<std::uint64_t> weights_;
  std::vector<int> ranks_;
  int first_owner_ = 0;
  int fallback_owner_ = 0;  // the owner while the first one, or each sixth entry, is not live
  Time now_ = Start();
  std::priority_queue<Task> tasks_;
  std::uint64_t last_order_ = 0;
  int messages_ = 0;
};

// Most requests in any window, divided by those allowed in one.
inline double WorstWindow(const QuotaLoad& load, std::vector<Time> admitted) {
  const QuotaBounds bounds;
  const double window = std::chrono::duration<double>(bounds.window).count();
  const double max_requests =
      (load.rate * window + load.burst) * (1 + bounds.excess) + bounds.slack;
  std::sort(admitted.begin(), admitted.end());
  double worst = 0;
  for (std::size_t from = 0, to = 0; to < admitted.size(); ++to) {
    while (admitted[from] < admitted[to] - bounds.window) ++from;
    worst = std::max(worst, static_cast<double>(to - from + 1) / max_requests);
  }
  return worst;
}

template <typename Policy>
QuotaResult SimulateQuota(const QuotaLoad& load) {
  QuotaSimulation simulation(load);
  Policy policy(simulation);
  // The owner has been live for a while when the first requests arrive.
  const Time first = simulation.now() + std::chrono::seconds(5);
  simulation.RunUntil(first);
  std::vector<double> weights = load.weights;
  if (weights.empty()) weights.assign(static_cast<std::size_t>(load.entries), 1);
  std::discrete_distribution<int> random_entry(weights.begin(), weights.end());
  std::exponential_distribution<double> arrival_gap(load.offered);
  std::vector<Time> admitted;
  std::vector<double> waits_ms;
  TokenBucket reference;
  reference.SetRate(load.rate, load.burst, first);
  double allowed = 0;
  int offered = 0;
  std::function<void()> arrive = [&] {
    if (simulation.now() >= first + load.span) return;
    const int entry = random_entry(simulation.random());
    if (simulation.IsRunning(entry)) {
      ++offered;
      if (reference.Level(simulation.now()) >= 1) {
        reference.Take(1);
        ++allowed;
      }
      policy.Admit(entry, [&, since = simulation.now()](bool is_admitted) {
        waits_ms.push_back(static_cast<double>((simulation.now() - since).count()) / 1e3);
        if (is_admitted) admitted.push_back(simulation.now());
      });
    }
    simulation.After(Duration(static_cast<Duration::rep>(arrival_gap(simulation.random()) * 1e6)),
                     arrive);
  };
  simulation.After(Duration{0}, arrive);
  if (load.fault == QuotaLoad::Fault::kAllRestarted) {
    for (Duration at = load.fault_at; at < load.fault_at + load.fault_duration;
         at += Duration{1'000'000}) {
      simulation.After(at - (first - QuotaSimulation::Start()), [&] { policy.RestartAll(); });
    }
  }
  simulation.RunUntil(first + load.span + std::chrono::seconds(1));

  QuotaResult result;
  result.worst_window = WorstWindow(load, admitted);
  result.admitted = static_cast<double>(admitted.size()) / std::max(allowed, 1.0);
  std::sort(waits_ms.begin(), waits_ms.end());
  if (!waits_ms.empty()) {
    result.median_ms = waits_ms[waits_ms.size() / 2];
    result.p99_ms = waits_ms[waits_ms.size() * 99 / 100];
  }
  result.messages = static_cast<double>(simulation.messages()) / std::max(offered, 1);
  return result;
}

}  // namespace figmill::sim
