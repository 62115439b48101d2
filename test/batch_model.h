#pragma once

// A simulation of the environment of batch owners: a store that loses responses,
// agents that run items, and owners that crash, pause and resume. Time is simulated.

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "figmill/batch.h"

namespace batch_model {

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using namespace std::chrono_literals;

class Store {
 public:
  explicit Store(std::mt19937_64& random) : random_(random) {}

  TransactionOutcome Commit(const Transaction& transaction, Time now) {
    if (down) return NotWritten{"down"};
    ++commits;
    if (!Chance(lost_response_rate)) return Apply(transaction);
    switch (random_() % 3) {
      case 0:
        return FateUnknown{"lost before it was applied"};
      case 1:
        Apply(transaction);
        return FateUnknown{"response lost after it was applied"};
      default:
        delayed_.emplace(now + 1ms * (random_() % 3000), transaction);
        return FateUnknown{"delayed in transit"};
    }
  }
  void ApplyDelayed(Time now) {
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
      Apply(delayed_.begin()->second);
      delayed_.erase(delayed_.begin());
    }
  }
  Result<std::optional<Row>> Read(const std::string& key) const {
    if (down) return Down();
    const auto row = rows.find(key);
    return row == rows.end() ? std::optional<Row>() : std::optional<Row>(row->second);
  }
  Result<std::vector<Row>> Scan(const RowRange& range) const {
    if (down) return Down();
    std::vector<Row> found;
    for (auto it = rows.upper_bound(std::max(range.after, range.prefix));
         it != rows.end() && it->first.starts_with(range.prefix) && found.size() < range.limit;
         ++it) {
      found.push_back(it->second);
    }
    return found;
  }
  StoreResult Answer(const StoreCall& call, Time now) {
    return std::visit(Overloaded{
                          [&](const BatchCommit& c) -> StoreResult {
                            return BatchCommitResult{c.op, Commit(c.transaction, now)};
                          },
                          [&](const BatchRead& c) -> StoreResult {
                            return BatchReadResult{c.op, Read(c.key)};
                          },
                          [&](const BatchScan& c) -> StoreResult {
                            return BatchScanResult{c.op, Scan(c.range)};
                          },
                          [&](const BatchPut& c) -> StoreResult {
                            if (down) return BatchPutResult{c.op, Down()};
                            objects[c.key] = c.bytes;
                            return BatchPutResult{c.op, Ok{}};
                          },
                          [&](const BatchGet& c) -> StoreResult {
                            if (down) return BatchGetResult{c.op, Down()};
                            const auto found = objects.find(c.key);
                            if (found == objects.end()) {
                              return BatchGetResult{c.op, Error{ErrorKind::kNotFound, c.key}};
                            }
                            return BatchGetResult{c.op, found->second};
                          },
                      },
                      call);
  }
  JobRow Job(const JobId& job) const { return ValueOf(ParseJobRow(rows.at(JobKey(job)).value)); }
  JobProgress Progress(const JobId& job) const {
    return ProgressOf(ValueOf(Scan(RowRange{ChunkPrefix(job), "", 100'000})));
  }

  bool down = false;
  double lost_response_rate = 0;
  std::uint64_t commits = 0;
  std::map<std::string, Row> rows;
  std::map<std::string, std::string> objects;

 private:
  static Error Down() { return Error{ErrorKind::kStoreUnavailable, "down"}; }
  bool Chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
  TransactionOutcome Apply(const Transaction& transaction) {
    Rejected rejected;
    for (const RowCondition& condition : transaction.conditions) {
      const auto row = rows.find(condition.key);
      const RowVersion version = row == rows.end() ? 0 : row->second.version;
      if (version == condition.version) continue;
      rejected.current.push_back(row == rows.end() ? Row{condition.key, "", 0} : row->second);
    }
    if (!rejected.current.empty()) return rejected;
    Committed committed;
    for (const RowWrite& write : transaction.writes) {
      if (const auto* put = std::get_if<PutRow>(&write)) {
        rows[put->key] = Row{put->key, put->value, ++version_};
        committed.rows.push_back(rows[put->key]);
      } else {
        rows.erase(std::get<DeleteRow>(write).key);
      }
    }
    return committed;
  }

  std::mt19937_64& random_;
  RowVersion version_ = 0;
  std::multimap<Time, Transaction> delayed_;
};

// Items named "poison..." always fail; "cut..." items are truncated on their first run.
inline ItemAnswer RunItem(const std::string& custom_id, int earlier_runs) {
  if (custom_id.starts_with("poison")) return ItemAnswer{500, "poison"};
  const bool truncated = custom_id.starts_with("cut") && earlier_runs == 0;
  return ItemAnswer{200, truncated ? R"({"choices":[{"text":"o","finish_reason":null}]})"
                                   : R"({"choices":[{"text":"ok","finish_reason":"stop"}]})"};
}

inline std::string ItemLine(const std::string& custom_id, bool repeatable = true,
                            const std::string& model = "m") {
  nlohmann::json line = {{"custom_id", custom_id},
                         {"url", "/v1/completions"},
                         {"body", {{"model", model}, {"prompt", "p"}, {"max_tokens", 16}}}};
  if (!repeatable) line["repeatable"] = false;
  return line.dump() + "\n";
}

class Simulation {
 public:
  struct Owner {
    NodeId node;
    std::unique_ptr<BatchOwner> batch;  // null when the process is dead
    Epoch lease = 0;
    Time renewed;
    bool paused = false;
    bool drained = false;
    std::uint64_t generation = 0;
    std::vector<BatchEvent> events;  // accumulates while paused
    std::set<OwnerLease> watched_leases;
    Time died;
  };
  struct Agent {
    NodeId node;
    Incarnation incarnation = 1;
    bool alive = true;
    std::uint32_t accepted = 0;  // queued and running
    std::uint32_t running = 0;
    std::deque<std::pair<RequestId, std::function<void()>>> queue;  // what starts each
    ServiceName serves{"m"};
  };
  struct Dispatched {
    JobId job;
    std::uint32_t index = 0;
    Time at;
  };

  Simulation(std::uint64_t seed, std::size_t owner_count, std::size_t agent_count)
      : random(seed), store(random) {
    for (std::size_t i = 0; i < owner_count; ++i) {
      owners.emplace_back().node.value = "entry-" + std::to_string(i);
      StartOwner(i);
    }
    for (std::size_t i = 0; i < agent_count; ++i) {
      agents.emplace_back().node.value = "agent-" + std::to_string(i);
    }
  }

  RandomBits RandomSource() {
    return [this] { return random(); };
  }
  void StartOwner(std::size_t i) {
    Owner& owner = owners[i];
    owner.batch = std::make_unique<BatchOwner>(owner.node, limits, RandomSource());
    ++owner.lease;
    ++owner.generation;
    owner.renewed = now;
    owner.paused = owner.drained = false;
    owner.events.clear();
    owner.watched_leases.clear();
  }
  void KillOwner(std::size_t i) {
    owners[i].batch.reset();
    owners[i].died = now;
  }
  void KillAgent(std::size_t i) {
    agents[i].alive = false;
    agents[i].accepted = agents[i].running = 0;
    ++agents[i].incarnation;
    // Each finds at its start that the agent is gone.
    for (auto& [request, start] : std::exchange(agents[i].queue, {})) start();
  }

  template <typename Operation>
  auto RunToOutcome(Operation& operation) {
    std::vector<StoreCall> calls = operation.Start(now);
    while (!operation.outcome()) {
      for (const StoreCall& call : std::exchange(calls, {})) {
        const StoreResult answer = store.Answer(call, now);
        for (StoreCall& more : operation.Handle(answer, now)) calls.push_back(std::move(more));
      }
      if (calls.empty() && !operation.outcome()) {
        Step();
        calls = operation.Tick(now);
      }
    }
    return *operation.outcome();
  }

  // Submits this job to the store in its current state and returns the outcome.
  Result<JobAccepted> Put(const JobId& job, const std::string& text, const std::string& team = "t",
                          WallTime due = {}) {
    const SplitPart part = ValueOf(SplitItems(text));
    std::uint32_t first_index = 0;
    chunk_starts_[job].clear();
    for (const ChunkEntry& chunk : part.index.chunks) {
      chunk_starts_[job].push_back(first_index);
      first_index += chunk.items;
    }
    for (std::size_t i = 0; i < part.texts.size(); ++i) {
      store.objects[ItemsObjectKey(job, part.index.chunks[i].digest)] = part.texts[i];
    }
    JobAssembly assembly;
    REQUIRE(IsOk(assembly.Add(part.index)));
    JobAcceptance acceptance({job, TeamId{team}, due}, assembly, now + 10s, RandomSource());
    return RunToOutcome(acceptance);
  }
  Result<JobRow> Cancel(const JobId& job) {
    JobCancellation cancellation(job, now + 10s, RandomSource());
    return RunToOutcome(cancellation);
  }
  void Step() {
    now += 20ms;
    store.ApplyDelayed(now);
    if (now >= next_heartbeat_) Heartbeat();
    while (!queue_.empty() && queue_.begin()->first <= now) {
      auto callback = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      callback();
    }
    for (std::size_t i = 0; i < owners.size(); ++i) {
      if (!owners[i].batch || owners[i].paused) continue;
      for (const BatchEvent& event : std::exchange(owners[i].events, {})) Handle(i, event);
      Handle(i, BatchTick{});
    }
  }
  template <typename Condition>
  bool RunUntil(Condition condition, Duration limit) {
    const Time end = now + limit;
    while (!condition() && now < end) Step();
    return condition();
  }
  bool Done(const JobId& job) const { return store.Job(job).state == JobState::kDone; }

  // Checks that the results contain every item of the job once, in item order.
  void CheckResults(const JobId& job, const std::vector<std::string>& ids) const {
    std::size_t index = 0;
    const JobProgress progress = store.Progress(job);
    for (const std::string& object : progress.objects) {
      std::istringstream lines(store.objects.at(object));
      for (std::string line; std::getline(lines, line); ++index) {
        const auto json = nlohmann::json::parse(line);
        REQUIRE(index < ids.size());
        CHECK(json["index"] == index);
        CHECK(json["custom_id"] == ids[index]);
        const bool poison = ids[index].starts_with("poison");
        CHECK(json.contains("error") == (poison || unknown.contains({job.value, index})));
      }
    }
    CHECK(index == ids.size());
    CHECK(progress.succeeded + progress.failed == ids.size());
  }

  std::mt19937_64 random;
  Store store;
  Time now{Duration{1'000'000}};
  BatchLimits limits;
  std::vector<Owner> owners;
  std::vector<Agent> agents;
  std::map<std::pair<std::string, std::uint32_t>, int> runs;  // runs started on a backend server
  std::set<std::pair<std::string, std::size_t>> unknown;      // items that may end as unknown
  std::vector<Dispatched> dispatched;
  std::vector<JobTransition> transitions;
  Duration item_time{50ms};
  Duration commit_latency{40ms};  // upper bound
  Duration death_detection{0};    // how long dead owners are still listed as entries
  std::uint32_t agent_concurrency = kAgentSlots;  // items beyond it are queued at the agent

 private:
  // Once per second: reports the fleet, renews leases and reports expired ones.
  void Heartbeat() {
    next_heartbeat_ = now + 1s;
    FleetUpdate fleet;
    for (const Owner& owner : owners) {
      const bool alive = owner.batch && !owner.paused && !owner.drained;
      const bool undetected = !owner.batch && now < owner.died + death_detection;
      if (alive || undetected) fleet.entries.push_back(owner.node);
    }
    for (const Agent& agent : agents) {
      if (agent.alive) {
        fleet.agents.push_back(BatchAgent{agent.node, agent.incarnation, {agent.serves}});
      }
    }
    for (std::size_t i = 0; i < owners.size(); ++i) {
      Owner& owner = owners[i];
      if (!owner.batch || owner.paused) continue;
      Handle(i, fleet);
      if (store.down) {
        Handle(i, StoreUnavailable{});
        continue;
      }
      // An owner that did not renew for longer than a term gets a new epoch.
      if (now - owner.renewed > 5s) ++owner.lease;
      owner.renewed = now;
      Handle(i, OwnerLeaseHeld{owner.lease, now + 3s});
      ReportExpiredLeases(i);
    }
    if (store.down) {
      for (Owner& owner : owners) {
        if (owner.batch && !owner.paused) owner.renewed = now;
      }
    }
  }
  void ReportExpiredLeases(std::size_t i) {
    for (const OwnerLease& watch : std::set<OwnerLease>(owners[i].watched_leases)) {
      for (const Owner& other : owners) {
        const bool silent = now - other.renewed > 5s || other.lease > watch.epoch;
        if (other.node == watch.owner && silent) Handle(i, LeaseExpired{watch.owner, watch.epoch});
      }
    }
  }
  void Handle(std::size_t i, const BatchEvent& event) {
    for (BatchAction& action : owners[i].batch->Handle(event, now)) Execute(i, std::move(action));
  }
  void Schedule(Duration delay, std::function<void()> callback) {
    queue_.emplace(now + delay, std::move(callback));
  }
  // Queues the event unless the process was restarted or has died since.
  void Deliver(std::size_t i, std::uint64_t generation, BatchEvent event) {
    Owner& owner = owners[i];
    if (owner.batch && owner.generation == generation) owner.events.push_back(std::move(event));
  }
  void Execute(std::size_t i, BatchAction action) {
    std::visit(Overloaded{
                   [&](WatchLeases& a) {
                     owners[i].watched_leases = {a.leases.begin(), a.leases.end()};
                   },
                   [&](BatchDrained&) { owners[i].drained = true; },
                   [&](JobTransition& a) { transitions.push_back(a); },
                   [&](CancelItem& a) {
                     if (!Unqueue(a.agent, a.request)) cancelled_.insert(a.request);
                   },
                   [&](RevokeItem& a) {
                     const std::uint64_t generation = owners[i].generation;
                     Schedule(1ms * (random() % 100), [this, i, generation, a] {
                       BatchEvent answer = ItemStarted{a.request, 0};
                       if (Unqueue(a.agent, a.request)) {
                         answer = ItemEnded{a.request, Error{ErrorKind::kCancelled, "", Ran::kNo}};
                       }
                       Deliver(i, generation, std::move(answer));
                     });
                   },
                   [&](DispatchItem& a) { StartItem(i, std::move(a)); },
                   [&](auto& call) {
                     const std::uint64_t generation = owners[i].generation;
                     const Duration latency = std::holds_alternative<BatchCommit>(StoreCall(call))
                                                  ? commit_latency
                                                  : 40ms;
                     const auto delay = random() % static_cast<std::uint64_t>(latency / 1ms);
                     Schedule(1ms * delay, [this, i, generation, c = StoreCall(call)] {
                       const StoreResult answer = store.Answer(c, now);
                       std::visit([&](const auto& a) { Deliver(i, generation, a); }, answer);
                     });
                   },
               },
               action);
  }
  void StartItem(std::size_t i, DispatchItem a) {
    dispatched.push_back({a.job, a.index, now});
    if (!a.item.repeatable) CHECK(store.rows.contains(ChunkKey(a.job, ChunkOf(a.job, a.index))));
    const std::uint64_t generation = owners[i].generation;
    auto agent = std::find_if(agents.begin(), agents.end(),
                              [&](const Agent& g) { return g.node == a.agent; });
    const auto end = [this, i, generation, request = a.request](ItemOutcome outcome) {
      Deliver(i, generation, ItemEnded{request, std::move(outcome)});
    };
    if (!agent->alive || agent->incarnation != a.incarnation) {
      return Schedule(5ms, [end] { end(Error{ErrorKind::kStaleOrders, "gone", Ran::kNo}); });
    }
    if (agent->accepted >= kAgentSlots) {
      return Schedule(5ms, [end] { end(Error{ErrorKind::kOverloaded, "full", Ran::kNo}); });
    }
    ++agent->accepted;
    if (agent->running < agent_concurrency) return RunItemAt(i, *agent, std::move(a));
    agent->queue.emplace_back(a.request, [this, i, agent, a] { RunItemAt(i, *agent, a); });
  }
  std::uint32_t ChunkOf(const JobId& job, std::uint32_t index) const {
    const std::vector<std::uint32_t>& starts = chunk_starts_.at(job);
    const auto next = std::upper_bound(starts.begin(), starts.end(), index);
    return static_cast<std::uint32_t>(next - starts.begin()) - 1;
  }
  // Takes a request out of the agent's queue; false if it isn't there, as after its start.
  bool Unqueue(const NodeId& node, const RequestId& request) {
    for (Agent& agent : agents) {
      const auto queued = std::find_if(agent.queue.begin(), agent.queue.end(),
                                       [&](const auto& each) { return each.first == request; });
      if (agent.node != node || queued == agent.queue.end()) continue;
      agent.queue.erase(queued);
      --agent.accepted;
      return true;
    }
    return false;
  }
  void RunItemAt(std::size_t i, Agent& at, DispatchItem a) {
    Agent* agent = &at;
    const std::uint64_t generation = owners[i].generation;
    const auto end = [this, i, generation, request = a.request](ItemOutcome outcome) {
      Deliver(i, generation, ItemEnded{request, std::move(outcome)});
    };
    if (agent->incarnation != a.incarnation) {
      return Schedule(5ms, [end] { end(Error{ErrorKind::kStaleOrders, "gone", Ran::kNo}); });
    }
    ++agent->running;
    const int earlier = runs[{a.job.value, a.index}]++;
    if (!a.item.repeatable) CHECK(earlier == 0);
    Schedule(5ms, [this, i, generation, agent, request = a.request] {
      Deliver(i, generation, ItemStarted{request, kAgentSlots - agent->accepted});
    });
    const Duration run_time = item_time + 1ms * (random() % 50);
    Schedule(run_time, [this, agent, end, earlier, a = std::move(a)] {
      if (!agent->alive || agent->incarnation != a.incarnation) {
        if (!a.item.repeatable) unknown.insert({a.job.value, a.index});
        return end(Error{ErrorKind::kBackendFailed, "connection closed", Ran::kUnknown});
      }
      --agent->accepted;
      --agent->running;
      if (!agent->queue.empty()) {
        const std::function<void()> start = std::move(agent->queue.front().second);
        agent->queue.pop_front();
        start();
      }
      if (!cancelled_.contains(a.request)) end(RunItem(a.item.custom_id, earlier));
    });
  }

  static constexpr std::uint32_t kAgentSlots = 32;
  std::multimap<Time, std::function<void()>> queue_;
  Time next_heartbeat_;
  std::set<RequestId> cancelled_;
  std::map<JobId, std::vector<std::uint32_t>> chunk_starts_;
};

}  // namespace batch_model
