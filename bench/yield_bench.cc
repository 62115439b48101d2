// What batch costs online and what online costs batch, over several engines
// with a gate each, in simulated time: how much batch may run beside online,
// and whether online is spread over all engines or packed onto few. Prints one
// line a policy; ratios are against online alone under the same routing.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "figmill/gate.h"
#include "standin/engine_model.h"

namespace figmill::bench {
namespace {

using standin::EngineCosts;
using standin::EngineModel;
using standin::RunId;
using standin::RunSpec;

constexpr int kPromptTokens = 60;
constexpr int kOnlineAnswer = 40;
constexpr int kBatchAnswer = 80;
constexpr Duration kHop{300};            // agent to engine
constexpr Duration kReportLag{200'000};  // of the engine's own load
constexpr Duration kSpell{2'000'000};
constexpr Duration kWarmUp{5'000'000};
constexpr Duration kMeasured{40'000'000};

// What happens when, in order.
class Agenda {
 public:
  void At(Time when, std::function<void()> act) { acts_.emplace(when, std::move(act)); }
  void RunUntil(Time end) {
    while (!acts_.empty() && acts_.begin()->first < end) {
      auto next = acts_.extract(acts_.begin());
      now = next.key();
      next.mapped()();
    }
  }
  Time now{};

 private:
  std::multimap<Time, std::function<void()>> acts_;
};

struct Figures {
  std::vector<double> first_ms, gap_ms;
  double online_tokens = 0, batch_tokens = 0;
  int refused = 0;
  std::uint64_t stops = 0;
};

// One engine with its gate, and batch that never runs out.
class Server {
 public:
  Server(Agenda& agenda, const SchedulerConfig& config, bool batch, Figures& figures)
      : agenda_(agenda), gate_(config), batch_(batch), figures_(figures) {
    Tick();
  }

  // False when it was refused.
  bool Online(const std::string& id) {
    Dispatch dispatch = DispatchOf(id, WorkClass::kOnline, kOnlineAnswer);
    arrived_[id] = agenda_.now;
    refused_ = false;
    Do(DispatchArrived{++arrivals_, std::move(dispatch)});
    if (refused_) arrived_.erase(id);
    return !refused_;
  }
  [[nodiscard]] int online() const {
    const SchedulerStats counts = gate_.counts();
    return counts.online_running + counts.online_queued;
  }
  [[nodiscard]] std::uint64_t stops() const { return gate_.counts().batch_stops; }

 private:
  struct Stream {
    WorkClass work = WorkClass::kOnline;
    std::uint64_t tokens = 0;
    RunId run = 0;
    Time last{};
  };

  static Dispatch DispatchOf(const std::string& id, WorkClass work, std::uint32_t tokens) {
    Dispatch dispatch;
    dispatch.request.value = id;
    dispatch.incarnation = 1;
    dispatch.work_class = work;
    dispatch.max_tokens = tokens;
    dispatch.prompt_tokens = kPromptTokens;
    if (work == WorkClass::kBatch) dispatch.time_left = std::chrono::hours(1);
    return dispatch;
  }
  [[nodiscard]] bool Measured() const { return agenda_.now >= Time(kWarmUp); }

  void Do(const SchedulerEvent& event) {
    for (const SchedulerAction& action : gate_.Step(agenda_.now, event)) {
      std::visit([this](const auto& each) { Carry(each); }, action);
    }
  }
  void Carry(const StartStream& start) { Submit(start.request, 0); }
  // From its exported KV cache: the prompt isn't read again.
  void Carry(const ResumeStream& resume) { Submit(resume.request, resume.from); }
  void Carry(const StopStream& cancel) {
    agenda_.At(agenda_.now + 2 * kHop, [this, request = cancel.request] {
      const auto found = streams_.find(request);
      if (found != streams_.end()) {
        model_.Cancel(found->second.run);
        requests_.erase(found->second.run);
        streams_.erase(found);
      }
      Do(StreamStopped{request});
    });
  }
  void Carry(const FailRequest&) { refused_ = true; }
  void Carry(const CompleteRequest&) {}
  void Carry(const DetachSender&) {}
  void Carry(const CommandReply&) {}

  void Submit(const RequestId& request, std::uint64_t from) {
    agenda_.At(agenda_.now + kHop, [this, request, from] {
      const bool online = arrived_.contains(request.value);
      RunSpec spec;
      spec.run = ++last_run_;
      spec.prompt.tokens = kPromptTokens;
      spec.max_tokens = online ? kOnlineAnswer : kBatchAnswer;
      spec.generated = from;
      spec.prefilled = from > 0;
      streams_[request] = Stream{online ? WorkClass::kOnline : WorkClass::kBatch, from, last_run_};
      requests_[last_run_] = request;
      (void)model_.Submit(agenda_.now, std::move(spec));
      ScheduleStep();
    });
  }
  void ScheduleStep() {
    const auto end = model_.next_step_end();
    if (!end || end == scheduled_) return;
    scheduled_ = end;
    agenda_.At(*end, [this, at = *end] {
      if (scheduled_ != at) return;
      scheduled_.reset();
      for (const standin::TokenEvent& event : model_.Advance(agenda_.now)) OnToken(event);
      ScheduleStep();
    });
  }
  void OnToken(const standin::TokenEvent& event) {
    const auto found = requests_.find(event.run);
    if (found == requests_.end()) return;
    const RequestId request = found->second;
    Stream& stream = streams_.at(request);
    Note(request, stream);
    Do(StreamTokens{request, 1});
    if (!event.last) return;
    requests_.erase(event.run);
    streams_.erase(request);
    arrived_.erase(request.value);
    Do(StreamFinished{request});
    Feed();
  }
  void Note(const RequestId& request, Stream& stream) {
    ++stream.tokens;
    const Time before = std::exchange(stream.last, agenda_.now);
    if (!Measured()) return;
    const auto ms = [](Duration time) { return static_cast<double>(time.count()) / 1e3; };
    if (stream.work == WorkClass::kBatch) {
      ++figures_.batch_tokens;
      return;
    }
    ++figures_.online_tokens;
    if (stream.tokens == 1) {
      figures_.first_ms.push_back(ms(agenda_.now - arrived_.at(request.value)));
    } else {
      figures_.gap_ms.push_back(ms(agenda_.now - before));
    }
  }
  void Feed() {
    while (batch_ && gate_.counts().room > 0) {
      Do(DispatchArrived{++arrivals_, DispatchOf("b" + std::to_string(++items_), WorkClass::kBatch,
                                                 kBatchAnswer)});
    }
  }
  void Tick() {
    Do(figmill::Tick{});
    Feed();
    if (++ticks_ % 4 == 0) {
      Do(LoadReported{report_});
      report_ = model_.load();
    }
    agenda_.At(agenda_.now + kReportLag / 4, [this] { Tick(); });
  }

  Agenda& agenda_;
  EngineModel model_{EngineCosts{}};
  BackendScheduler gate_;
  bool batch_;
  Figures& figures_;
  std::unordered_map<RequestId, Stream> streams_;
  std::unordered_map<RunId, RequestId> requests_;
  std::unordered_map<std::string, Time> arrived_;
  std::optional<Time> scheduled_;
  EngineLoad report_;
  RunId last_run_ = 0;
  ArrivalId arrivals_ = 0;
  int items_ = 0;
  int ticks_ = 0;
  bool refused_ = false;
};

// --- Policies ------------------------------------------------------------------------

struct Policy {
  const char* name;
  double harm;  // SchedulerConfig::max_batch_slowdown
  int packed;   // online streams on one engine before the next is used; 0: spread evenly
};

struct Load {
  const char* name;
  int engines;
  double online_share;  // of the engines' bound, in online tokens
  double burst = 1;     // factor for two seconds out of four
  int idle_s = 0;       // online stays away for so long after each two seconds
};

class Run {
 public:
  Run(const Policy& policy, const Load& load, bool batch) : policy_(policy), load_(load) {
    SchedulerConfig config;
    config.max_batch_slowdown = policy.harm;
    for (int i = 0; i < load.engines; ++i) {
      servers_.push_back(std::make_unique<Server>(agenda_, config, batch, figures_));
    }
  }
  Figures Go(double rate) {
    rate_ = rate;
    Next();
    agenda_.RunUntil(Time(kWarmUp + kMeasured));
    for (const auto& server : servers_) figures_.stops += server->stops();
    return std::move(figures_);
  }

 private:
  void Next() {
    const bool high = (agenda_.now.time_since_epoch() / kSpell) % 2 == 1;
    std::exponential_distribution<double> gap(rate_ * (high ? load_.burst : 1));
    agenda_.At(agenda_.now + Duration(1 + static_cast<std::int64_t>(gap(random_) * 1e6)), [this] {
      const Duration period = kSpell + std::chrono::seconds(load_.idle_s);
      if (agenda_.now.time_since_epoch() % period < kSpell) Send();
      Next();
    });
  }
  void Send() {
    const std::string id = "o" + std::to_string(++sent_);
    std::vector<Server*> order;
    for (const auto& server : servers_) order.push_back(server.get());
    std::stable_sort(order.begin(), order.end(),
                     [this](const Server* x, const Server* y) { return Rank(*x) < Rank(*y); });
    constexpr int kTries = 3;
    for (int i = 0; i < kTries && i < static_cast<int>(order.size()); ++i) {
      if (order[static_cast<std::size_t>(i)]->Online(id)) return;
    }
    ++figures_.refused;
  }
  // Packed: engines under the mark are alike, so the first of them is taken.
  [[nodiscard]] int Rank(const Server& server) const {
    return policy_.packed == 0 ? server.online()
                               : std::max(0, server.online() - policy_.packed + 1);
  }

  Policy policy_;
  Load load_;
  Agenda agenda_;
  Figures figures_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::mt19937_64 random_{7};
  double rate_ = 0;
  int sent_ = 0;
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const auto place =
      values.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

void Print(const Policy& policy, const Load& load) {
  const EngineCosts costs;
  const double bound =
      load.engines * standin::TokensPerSecondBound(costs, kPromptTokens, kBatchAnswer);
  const double rate = bound * load.online_share / kOnlineAnswer;
  const Figures alone = Run(policy, load, false).Go(rate);
  const Figures both = Run(policy, load, true).Go(rate);
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  const double left = bound - both.online_tokens / seconds;
  std::printf("| %-10s | %-20s | %6.1f | %6.1f | %5.3f | %5.3f | %5.3f | %5d | %7.1f |\n",
              load.name, policy.name, Quantile(alone.first_ms, 0.99), Quantile(alone.gap_ms, 0.95),
              Quantile(both.first_ms, 0.99) / Quantile(alone.first_ms, 0.99),
              Quantile(both.gap_ms, 0.95) / Quantile(alone.gap_ms, 0.95),
              both.batch_tokens / seconds / left, both.refused,
              static_cast<double>(both.stops) / seconds);
  std::fflush(stdout);
}

int Main() {
  std::printf(
      "| load | policy | first p99 ms alone | gap p95 ms alone | first ratio | gap ratio "
      "| batch share | refused | stops/s |\n");
  const std::vector<Policy> policies = {
      {"no limit, spread", 1e9, 0},   {"strict pause, spread", 0, 0},
      {"4%, spread", 0.04, 0},        {"4%, packed to 16", 0.04, 16},
      {"4%, packed to 24", 0.04, 24}, {"4%, packed to 32", 0.04, 32},
      {"4%, packed to 40", 0.04, 40}};
  for (const Load& load : {Load{"18 at 30%", 18, 0.3}, Load{"9 at 30%", 9, 0.3},
                           Load{"18 at 10%", 18, 0.1}, Load{"18, bursts", 18, 0.15, 3}}) {
    for (const Policy& policy : policies) Print(policy, load);
  }
  // One engine that online fills or leaves alone: how fast idle room is used.
  for (const Load& load : {Load{"idle 1 s", 1, 0.8, 1, 1}, Load{"idle 2 s", 1, 0.8, 1, 2},
                           Load{"idle 5 s", 1, 0.8, 1, 5}}) {
    Print({"4%", 0.04, 0}, load);
  }
  return 0;
}

}  // namespace
}  // namespace figmill::bench

int main() {
  return figmill::bench::Main();
}
