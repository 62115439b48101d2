#pragma once

// Simulation of entries, allocators and engines in virtual time, with delayed datagrams, to replay
// load patterns against the slot allocation.

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "figmill/items.h"
#include "figmill/overload.h"
#include "figmill/sharing.h"

namespace figmill::sim {

// Teams with the same usual rate. One of them, kHeavyTeam, sends `factor` times as much between
// `from` and `until`, and the last `low` ones have a lower priority.
struct Teams {
  static constexpr int kHeavyTeam = 0;
  static constexpr int kLowRank = 3;
  int count = 1;
  bool named = false;  // requests name their team
  double factor = 1;
  Duration from{0};
  Duration until = Duration::max();
  int low = 0;
};

struct Load {
  Teams teams;
  int entries = 36;
  int engines = 50;
  int slots = 7;
  int data_centres = 5;
  double online_per_s = 258;  // mean
  double low = 0.39;          // factor of the mean between two load peaks
  double high = 1.91;         // factor of the mean during a load peak
  Duration low_duration{3'600'000};
  Duration high_duration{2'400'000};
  Duration online_run{550'000};
  double online_spread = 0;  // standard deviation of an online run time, relative to its mean
  // Run times are drawn apart from arrivals, so that two simulations get the same arrivals although
  // their requests run in another order.
  bool same_arrivals = false;
  // A refused caller retries once, after the given delay but at most a third of its remaining time.
  bool retries = false;
  Duration goal{300'000};              // for the first event
  Duration late_after{200'000};        // wait for a slot
  Duration caller_timeout{5'000'000};  // over all tries of one request
  double long_runs = 0;                // share of the runs that take kLongRun times as long
  bool reports_service_slots = true;   // allocators know the slots of the service
  // From this time on the engines of one data centre are gone but still listed: connections to them
  // are refused.
  Duration lost_at = Duration::max();
  bool reports_dead_engines = true;  // requests exclude engines found dead
  Duration batch_run{3'600'000};
  double batch_per_s = 26;  // items
  int job_items = 10;       // submitted together at one entry
  Duration job_due{18'000'000};
  bool reports_due_times = true;  // reports carry the due times of waiting items
  // Run time on each engine relative to the mean, repeated; empty: all engines are alike.
  std::vector<double> run_time_factors;
  bool reports_timing = true;  // reports carry the times between events
  int online_events = 22;
  int batch_events = 153;
  // The first engine's further factor within a time span.
  double slow_factor = 1;
  Duration count_from{0};  // online requests of each engine are counted from then on
  Duration slow_from{0};
  Duration slow_until{0};
  Duration datagram_delay{1'500'000 / 1000};
  Duration simulated_time{30'000'000};
};

struct TeamOutcome {
  int online = 0;
  int refused = 0;   // first tries
  int unserved = 0;  // refused, and either not retried or refused again
};

struct Outcome {
  std::vector<TeamOutcome> teams;
  int started = 0;           // runs of online requests
  int queued = 0;            // tries that an allocator queued
  int queued_in_vain = 0;    // of these: refused afterwards
  Duration time_in_vain{0};  // from the start of these tries to their refusal
  int online = 0;
  int late = 0;          // waited over 200 ms for a slot
  int refused = 0;       // first tries only
  int refused_late = 0;  // tries refused after a quarter of the goal or more
  int retried = 0;
  int retried_late = 0;      // retries that got a slot after the goal
  int unserved = 0;          // refused, and either not retried or refused again; or ended too late
  int told_to_wait = 0;      // tries
  int waited_in_vain = 0;    // of these: those that were unserved
  double worth = 0;          // to callers: 1 for each request that was served in time
  int assigned_to_dead = 0;  // slots assigned on engines that the entry knew to be dead
  int items = 0;             // finished batch items
  int items_in_time = 0;
  int items_due = 0;         // due before the end of the simulation
  int preemptions = 0;       // runs of batch items stopped for online requests
  int blocked_by_batch = 0;  // online requests that had to wait for batch items
  int batch_runs = 0;
  std::vector<Duration> waits;        // of online requests, from the try to the slot
  std::vector<int> online_of_engine;  // online requests that ran there
  std::vector<int> batch_of_engine, stopped_of_engine;
  int known_slow = 0;  // online requests sent to the slowed engine 1.5 s after it slowed or later
};

class Simulation {
 public:
  // `ask_allocators`: entries ask allocators; otherwise they choose by their local state.
  Simulation(const Load& load, bool ask_allocators, unsigned seed)
      : load_(load),
        ask_allocators_(ask_allocators),
        arrivals_(seed + 1),
        lengths_(seed + 4),
        jobs_(seed + 2),
        teams_(seed + 3),
        random_(seed) {
    outcome_.teams.resize(load.teams.count);
    for (int i = 0; i < load.engines; ++i) {
      Engine& engine = engines_.emplace_back();
      engine.info.id = BackendId{"engine-" + std::to_string(i)};
      engine.info.service = ServiceName{"llm"};
      engine.info.data_centre = CentreOf(i);
      engine.info.slots = load.slots;
      index_[engine.info.id] = i;
    }
    outcome_.online_of_engine.resize(static_cast<std::size_t>(load.engines));
    outcome_.batch_of_engine.resize(static_cast<std::size_t>(load.engines));
    outcome_.stopped_of_engine.resize(static_cast<std::size_t>(load.engines));
    for (int i = 0; i < load.entries; ++i) {
      Peer peer{NodeId{"entry-" + std::to_string(i)}, 1, {}, CentreOf(i), 1, false};
      entries_.push_back(std::make_unique<Entry>(peer, [this] { return random_(); }));
      node_[peer.node] = i;
    }
    ChooseAllocators();
  }

  Outcome Run() {
    if (load_.lost_at < load_.simulated_time) At(load_.lost_at, [this] { LoseDataCentre(); });
    At(Duration{0}, [this] { Arrive(); });
    if (load_.batch_per_s > 0) At(Duration{0}, [this] { ArriveJob(); });
    for (std::size_t i = 0; i < entries_.size(); ++i) Tick(static_cast<int>(i));
    for (const auto& [id, allocator] : allocator_of_) {
      if (ticked_.insert({allocator, allocator}).second) AllocatorTick(allocator);
    }
    ticked_.clear();
    while (!events_.empty() && events_.top().at < Time{load_.simulated_time}) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.task();
    }
    return outcome_;
  }

 private:
  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> task;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  static constexpr double kLongRun = 5;
  static constexpr double kWorthAtRetry = 0.65;
  static constexpr double kWorthLate = 0.3;
  // One try of an online request.
  struct Try {
    Time at{};
    Duration time_left{0};
    bool is_retry = false;
    int team = 0;
    bool was_refused_late = false;  // the first try
    bool told_to_wait = false;
  };
  struct Pending {
    int allocator = 0;  // asked last
    Try attempt;
    std::vector<BackendId> tried;
    bool queued = false;
  };
  struct OnlineRun {
    int entry = 0;
    Try attempt;
    AcquiredSlot slot;
  };
  struct Item {
    Duration remaining{0};  // remaining run time
    Time due{};
  };
  struct BatchRun {
    int entry = 0;
    std::uint64_t number = 0;
    Item item;
    Time since{};
    AcquiredSlot slot;
    double factor = 1;  // its run time relative to the mean
    Time timed_at{};
  };
  struct Engine {
    BackendInfo info;
    bool lost = false;
    int online = 0;
    std::deque<OnlineRun> waiting;
    std::vector<BatchRun> batch;
  };
  struct Entry {
    Entry(const Peer& self, RandomBits bits)
        : peer(self), pool(self.data_centre, std::move(bits)) {}
    Peer peer;
    BackendPool pool;
    SlotAllocator allocator{0};
    std::vector<Item> items;  // waiting
    std::map<int, std::uint64_t> acked_grants;
    std::map<int, std::vector<SlotGrant::ServiceUsage>>
        service_uses;  // from allocators of other data centres
    std::map<int, std::vector<std::uint64_t>> answered;
    std::uint64_t reports = 0;
    std::map<std::uint64_t, std::shared_ptr<SlotSearch>> searches;
    std::map<std::uint64_t, Pending> pending;  // by request number
  };

  DataCentre CentreOf(int i) const {
    return DataCentre{"dc-" + std::to_string(i % load_.data_centres)};
  }

  void At(Duration after, std::function<void()> task) {
    events_.push({now_ + after, ++next_event_, std::move(task)});
  }

  void ChooseAllocators() {
    PeerTable table(entries_.front()->peer);
    for (const auto& entry : entries_) table.RecordMessage(entry->peer, now_);
    std::map<int, std::map<BackendId, ManagedBackend>> owned;
    for (const Engine& engine : engines_) {
      const auto allocators =
          table.AllocatorsOf(engine.info.data_centre, engines_.size() / load_.data_centres, now_);
      const int allocator = node_.at(AllocatorFor(allocators, engine.info.id)->node);
      allocator_of_[engine.info.id] = allocator;
      owned[allocator][engine.info.id] = {engine.info.service, engine.info.slots};
      if (load_.reports_service_slots) {
        owned[allocator][engine.info.id].service_slots = load_.engines * load_.slots;
      }
      for (const auto& entry : entries_) entry->pool.AddOrUpdate(engine.info);
    }
    for (const auto& [allocator, backends] : owned)
      entries_[allocator]->allocator.SetOwnedBackends(backends, now_);
  }

  static double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

  bool IsHeavyTime() const {
    const Duration at = now_.time_since_epoch();
    return at >= load_.teams.from && at < load_.teams.until;
  }
  // Rate of the heavy team relative to its usual one.
  double HeavyFactor() const { return IsHeavyTime() ? load_.teams.factor : 1; }

  int ChooseTeam() {
    const double heavy = HeavyFactor();
    const double at =
        std::uniform_real_distribution<double>(0, heavy + load_.teams.count - 1)(teams_);
    return at < heavy ? Teams::kHeavyTeam : 1 + static_cast<int>(at - heavy);
  }

  double Rate() const {
    const double phase = std::fmod(Seconds(now_.time_since_epoch()),
                                   Seconds(load_.low_duration + load_.high_duration));
    const double usual =
        load_.online_per_s * (phase < Seconds(load_.low_duration) ? load_.low : load_.high);
    return usual * (HeavyFactor() + load_.teams.count - 1) / load_.teams.count;
  }

  void Arrive() {
    const int entry = static_cast<int>(arrivals_() % entries_.size());
    const int team = ChooseTeam();
    ++outcome_.online;
    ++outcome_.teams[team].online;
    FindSlot(entry, {now_, load_.caller_timeout, /*is_retry=*/false, team});
    const double gap = std::exponential_distribution<double>(Rate())(arrivals_);
    At(Duration(static_cast<Duration::rep>(gap * 1e6)), [this] { Arrive(); });
  }

  void ArriveJob() {
    Entry& entry = *entries_[jobs_() % entries_.size()];
    const Item item{load_.batch_run, now_ + load_.job_due};
    entry.items.insert(entry.items.end(), load_.job_items, item);
    if (item.due < Time{load_.simulated_time}) outcome_.items_due += load_.job_items;
    const double per_s = load_.batch_per_s / load_.job_items;
    const double gap = std::exponential_distribution<double>(per_s)(jobs_);
    At(Duration(static_cast<Duration::rep>(gap * 1e6)), [this] { ArriveJob(); });
  }

  // The queue entry that the item's owner would create, with the share of preemptions by online
  // requests that ItemDurationEstimator assumes.
  ItemBacklog::Entry AsQueued(const Item& item) const {
    const double remaining =
        static_cast<double>(item.remaining.count()) / static_cast<double>(load_.batch_run.count());
    const double stretch = 1 + (ItemDurationEstimator::kDefaultSlowdown - 1) * remaining;
    const Duration time_to_finish(
        static_cast<Duration::rep>(static_cast<double>(item.remaining.count()) * stretch));
    return {
        {}, 0, item.due.time_since_epoch(), time_to_finish, {}, item.remaining < load_.batch_run};
  }
  ItemRank RankOf(const Item& item) const {
    return ItemBacklog::RankOf(AsQueued(item), now_.time_since_epoch());
  }

  std::vector<WaitingItems> Waiting(const Entry& entry) const {
    std::map<ItemBacklog::Group, int> groups;
    for (const Item& item : entry.items) {
      const ItemRank rank = RankOf(item);
      const StoreTime due =
          rank == ItemRank::kLate ? WaitingItems::kLate : item.due.time_since_epoch();
      ++groups[load_.reports_due_times ? std::pair(rank, due)
                                       : std::pair(ItemRank::kNotStarted, StoreTime{0})];
    }
    std::vector<WaitingItems> waiting;
    waiting.reserve(groups.size());
    for (const auto& [group, items] : groups) {
      waiting.push_back({group.second, items, group.first == ItemRank::kStarted});
    }
    return waiting;
  }

  Item TakeItem(Entry& entry) const {
    const auto first = std::min_element(
        entry.items.begin(), entry.items.end(), [this](const Item& a, const Item& b) {
          return std::pair(RankOf(a), a.due) < std::pair(RankOf(b), b.due);
        });
    const Item item = *first;
    entry.items.erase(first);
    return item;
  }

  // --- Online ---

  // Runs on lost engines fail: online requests fail, and batch items are queued again.
  void LoseDataCentre() {
    for (Engine& engine : engines_) {
      if (engine.info.data_centre != CentreOf(0)) continue;
      engine.lost = true;
      for (const BatchRun& run : engine.batch) {
        entries_[run.entry]->items.push_back(run.item);
        entries_[run.entry]->pool.ReleaseSlot(run.slot, relay::SendEnd::kBroken, {}, now_);
      }
      engine.batch.clear();
    }
  }

  void FindSlot(int e, const Try& attempt, std::vector<BackendId> tried = {}) {
    Entry& entry = *entries_[e];
    BackendQuery query;
    query.service = ServiceName{"llm"};
    query.tried = tried;
    if (const auto lightly_loaded =
            ask_allocators_ ? entry.pool.ChooseLightlyLoaded(query, 0.5, now_) : std::nullopt) {
      return SendOnline(e, lightly_loaded->id, attempt, tried);
    }
    if (!ask_allocators_) {
      const Result<BackendAddress> chosen = entry.pool.Choose(query, now_);
      if (!IsOk(chosen)) return OnRefused(e, attempt, Duration{0});
      return SendOnline(e, ValueOf(chosen).id, attempt, tried);
    }
    SlotRequest ask;
    ask.number = ++requests_made_;
    ask.service = query.service;
    ask.goal_left = load_.goal;
    ask.time_left = attempt.time_left;
    ask.last_try = retry_detector_.IsRetry("", attempt.time_left, now_);
    ask.tried = tried;
    if (load_.teams.named) {
      ask.team = TeamId{"team-" + std::to_string(attempt.team)};
      ask.rank = attempt.team >= load_.teams.count - load_.teams.low ? Teams::kLowRank : 0;
    }
    if (load_.reports_dead_engines) {
      for (BackendId& id : entry.pool.ExcludedBackends(query, now_)) ask.tried.push_back(id);
    }
    auto search = std::make_shared<SlotSearch>(ask, AllocatorOrder(e, ask.tried), now_);
    entry.searches[ask.number] = search;
    entry.pending[ask.number] = {0, attempt, std::move(tried)};
    Perform(e, ask.number, search->Start(now_));
  }

  void OnRefused(int e, const Try& attempt, Duration come_back) {
    const bool refused_late = now_ - attempt.at > load_.goal / 4;
    if (refused_late) ++outcome_.refused_late;
    TeamOutcome& team = outcome_.teams[attempt.team];
    if (!attempt.is_retry) ++outcome_.refused, ++team.refused;
    if (attempt.is_retry || !load_.retries) return CountUnserved(attempt);
    const Duration remaining = attempt.time_left - (now_ - attempt.at);
    const Duration after = std::min(come_back, remaining / 3);
    const int other = static_cast<int>((e + 1) % entries_.size());
    At(after, [this, other, refused_late, time_left = remaining - after, team = attempt.team] {
      ++outcome_.retried;
      FindSlot(other, {now_, time_left, /*is_retry=*/true, team, refused_late});
    });
  }

  void CountUnserved(const Try& attempt) {
    ++outcome_.unserved;
    ++outcome_.teams[attempt.team].unserved;
    if (attempt.told_to_wait) ++outcome_.waited_in_vain;
  }

  void CountServed(const Try& attempt, Duration run) {
    const Duration waited = now_ - attempt.at;
    const bool is_late = waited > load_.late_after;
    if (is_late) ++(attempt.is_retry ? outcome_.retried_late : outcome_.late);
    if (waited + run > attempt.time_left) return CountUnserved(attempt);
    if (is_late || attempt.was_refused_late) {
      outcome_.worth += kWorthLate;
    } else {
      outcome_.worth += attempt.is_retry ? kWorthAtRetry : 1;
    }
  }

  // Allocators ordered by their known share of free slots.
  std::vector<NodeId> AllocatorOrder(int e, const std::vector<BackendId>& tried) {
    std::map<int, FreeSlots> shares;
    const auto fastest = entries_[e]->pool.FastestOf(ServiceName{"llm"});
    entries_[e]->pool.ForEach([&](const BackendInfo& info, const SlotUsage& use) {
      if (std::find(tried.begin(), tried.end(), info.id) != tried.end()) return;
      shares[allocator_of_.at(info.id)].Add(
          entries_[e]->pool.SpeedClassOf(info.id, fastest), info.slots,
          std::max(0, info.slots - use.online - use.online_other));
    });
    std::vector<std::pair<double, int>> order;
    order.reserve(shares.size());
    for (auto& [allocator, share] : shares) {
      for (const SlotGrant::ServiceUsage& use : entries_[e]->service_uses[allocator]) {
        share.SetTotals(use.slots, use.online);
      }
      order.emplace_back(-share.Score(), allocator);
    }
    std::sort(order.begin(), order.end());
    std::vector<NodeId> nodes;
    nodes.reserve(order.size());
    for (const auto& [free, allocator] : order) nodes.push_back(entries_[allocator]->peer.node);
    return nodes;
  }

  void Perform(int e, std::uint64_t number, const search::Action& action) {
    Entry& entry = *entries_[e];
    if (const auto* ask = std::get_if<search::AskAllocator>(&action)) {
      const int allocator = node_.at(ask->allocator);
      entry.pending[number].allocator = allocator;
      At(load_.datagram_delay, [this, e, allocator, each = ask->request] {
        entries_[allocator]->allocator.OnRequest(entries_[e]->peer.node, each, now_);
        SendDue(allocator);
      });
    } else if (const auto* take = std::get_if<search::UseSlot>(&action)) {
      const Pending pending = entry.pending[number];
      entry.answered[pending.allocator].push_back(number);
      entry.searches.erase(number);
      if (entry.pool.IsUsable(take->backend, now_)) {
        return SendOnline(e, take->backend, pending.attempt, pending.tried);
      }
      ++outcome_.assigned_to_dead;
      const Result<BackendAddress> chosen =
          entry.pool.Choose({ServiceName{"llm"}, pending.tried}, now_);
      if (!IsOk(chosen)) return OnRefused(e, pending.attempt, Duration{0});
      SendOnline(e, ValueOf(chosen).id, pending.attempt, pending.tried);
    } else if (const auto* give_up = std::get_if<search::RefuseRequest>(&action)) {
      entry.searches.erase(number);
      const Pending& pending = entry.pending[number];
      if (pending.queued) {
        ++outcome_.queued_in_vain;
        outcome_.time_in_vain += now_ - pending.attempt.at;
      }
      OnRefused(e, pending.attempt, give_up->wait);
    } else if (std::holds_alternative<search::Wait>(action)) {
      ++outcome_.queued;
      entry.pending[number].queued = true;
    }
  }

  void SendOnline(int e, const BackendId& id, const Try& attempt, std::vector<BackendId> tried) {
    const AcquiredSlot slot = entries_[e]->pool.AcquireSlot(id, WorkClass::kOnline, now_);
    Report(e, allocator_of_.at(id));
    tried.push_back(id);
    At(load_.datagram_delay / 2, [this, e, id, attempt, slot, tried] {
      Engine& engine = engines_[index_.at(id)];
      if (engine.lost) {
        entries_[e]->pool.ReleaseSlot(slot, relay::SendEnd::kUnreachable, {}, now_);
        Report(e, allocator_of_.at(id));
        if (tried.size() >= RelayStateMachine::kMaxRejections)
          return OnRefused(e, attempt, Duration{0});
        return FindSlot(e, attempt, tried);
      }
      engine.waiting.push_back({e, attempt, slot});
      if (engine.online + static_cast<int>(engine.batch.size()) >= load_.slots &&
          engine.online < load_.slots) {
        ++outcome_.blocked_by_batch;
      }
      Admit(index_.at(id));
    });
  }

  // Run time on the engine relative to the mean.
  double FactorOf(int i) const {
    const auto& factors = load_.run_time_factors;
    const Duration since_start = now_.time_since_epoch();
    const bool slow = i == 0 && since_start >= load_.slow_from && since_start < load_.slow_until;
    return (factors.empty() ? 1 : factors[i % factors.size()]) * (slow ? load_.slow_factor : 1);
  }

  static Duration Scaled(Duration time, double factor) {
    if (factor == 1) return time;
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
  }

  void RecordTiming(const AcquiredSlot& slot, int e, double events, Duration time) {
    if (!load_.reports_timing) return;
    entries_[e]->pool.RecordEvents(slot, {static_cast<std::uint64_t>(events), time});
  }

  Duration OnlineRunLength() {
    if (load_.online_spread == 0) return load_.online_run;
    const auto mean = static_cast<double>(load_.online_run.count());
    std::normal_distribution<double> length(mean, mean * load_.online_spread);
    const double run = std::max(mean / 4, length(load_.same_arrivals ? lengths_ : arrivals_));
    const bool is_long =
        load_.long_runs > 0 && std::bernoulli_distribution(load_.long_runs)(arrivals_);
    return Duration(static_cast<Duration::rep>(is_long ? run * kLongRun : run));
  }

  void Admit(int i) {
    Engine& engine = engines_[i];
    while (!engine.waiting.empty() &&
           engine.online + static_cast<int>(engine.batch.size()) < load_.slots) {
      const OnlineRun run = engine.waiting.front();
      engine.waiting.pop_front();
      ++engine.online;
      const Duration since_start = now_.time_since_epoch();
      if (since_start >= load_.count_from) ++outcome_.online_of_engine[i];
      if (i == 0 && since_start >= load_.slow_from + Duration{1'500'000} &&
          since_start < load_.slow_until) {
        ++outcome_.known_slow;
      }
      outcome_.waits.push_back(now_ - run.attempt.at);
      ++outcome_.started;
      const Duration length = Scaled(OnlineRunLength(), FactorOf(i));
      CountServed(run.attempt, length);
      const Duration half = length / 2;
      At(half, [this, e = run.entry, slot = run.slot, half] {
        RecordTiming(slot, e, load_.online_events / 2.0, half);
      });
      At(length, [this, i, e = run.entry, slot = run.slot, length, half] {
        --engines_[i].online;
        RecordTiming(slot, e, load_.online_events / 2.0, length - half);
        entries_[e]->pool.ReleaseSlot(slot, relay::SendEnd::kAnswered, length, now_);
        Report(e, allocator_of_.at(engines_[i].info.id));
        Admit(i);
      });
    }
  }

  // --- Messages ---

  void Report(int e, int allocator) {
    Entry& entry = *entries_[e];
    SlotReport report;
    report.number = ++entry.reports;
    report.acked_grant = entry.acked_grants[allocator];
    report.acked_requests = std::exchange(entry.answered[allocator], {});
    report.waiting = Waiting(entry);
    entry.pool.ForEach([&](const BackendInfo& info, const SlotUsage& use) {
      if (allocator_of_.at(info.id) == allocator) {
        report.lines.push_back({info.id,
                                use.online,
                                use.batch,
                                use.usual_run,
                                use.answers,
                                use.faults,
                                {},
                                use.timing});
      }
    });
    At(load_.datagram_delay, [this, e, allocator, report] {
      const bool local = entries_[e]->peer.data_centre == entries_[allocator]->peer.data_centre;
      entries_[allocator]->allocator.OnReport(entries_[e]->peer, local, report, now_);
      SendDue(allocator);
    });
  }

  void SendDue(int allocator) {
    for (const SlotAllocator::Outgoing& out : entries_[allocator]->allocator.TakeOutgoing(now_)) {
      const int e = node_.at(out.to);
      At(load_.datagram_delay, [this, e, allocator, out] {
        if (out.grant) OnGrant(e, allocator, *out.grant);
        if (out.answer) OnAnswer(e, *out.answer);
      });
    }
  }

  void OnAnswer(int e, const SlotResponse& answer) {
    const auto found = entries_[e]->searches.find(answer.number);
    if (found == entries_[e]->searches.end()) return;
    const auto search = found->second;
    if (answer.kind == SlotResponse::Kind::kQueued) {
      entries_[e]->pending[answer.number].attempt.told_to_wait = true;
      ++outcome_.told_to_wait;
    }
    Perform(e, answer.number, search->OnEvent(search::Answered{answer}, now_));
  }

  void OnGrant(int e, int allocator, const SlotGrant& grant) {
    Entry& entry = *entries_[e];
    if (grant.number <= entry.acked_grants[allocator]) return;
    entry.acked_grants[allocator] = grant.number;
    entry.service_uses[allocator] = grant.services;
    for (const SlotGrant::Line& line : grant.lines) {
      entry.pool.ApplyGrant(line.backend,
                            {line.online_other, line.batch_other, line.allowed, line.ejected,
                             DecodeTimePerEvent(line.speed_code)},
                            now_);
      const SlotUsage use = entry.pool.UsageOf(line.backend);
      for (int i = use.batch; i > line.allowed; --i) StopBatch(e, line.backend);
      StartAllowed(e, line.backend);
    }
    Report(e, allocator);
  }

  void Tick(int e) {
    for (Engine& engine : engines_) {
      for (BatchRun& run : engine.batch) {
        if (run.entry == e) TimeBatch(run);
      }
    }
    for (const auto& [id, allocator] : allocator_of_) {
      if (ticked_.insert({e, allocator}).second) Report(e, allocator);
    }
    ticked_.clear();
    At(SlotAllocator::kHeartbeat, [this, e] { Tick(e); });
  }

  void AllocatorTick(int e) {
    const ServiceName service{"llm"};
    entries_[e]->allocator.SetFastest(service, entries_[e]->pool.FastestOf(service));
    entries_[e]->allocator.Tick(now_);
    SendDue(e);
    At(SlotAllocator::kCoalesce, [this, e] { AllocatorTick(e); });
  }

  // --- Batch ---

  void StartAllowed(int e, const BackendId& id) {
    Entry& entry = *entries_[e];
    const SlotUsage use = entry.pool.UsageOf(id);
    for (int i = use.batch; i < use.batch_allowed && !entry.items.empty(); ++i) StartBatch(e, id);
  }

  void StartBatch(int e, const BackendId& id) {
    Entry& entry = *entries_[e];
    const std::uint64_t number = ++batch_runs_;
    const Item item = TakeItem(entry);
    const AcquiredSlot slot = entry.pool.AcquireSlot(id, WorkClass::kBatch, now_);
    const int i = index_.at(id);
    const double factor = FactorOf(i);
    ++outcome_.batch_runs;
    ++outcome_.batch_of_engine[i];
    engines_[i].batch.push_back({e, number, item, now_, slot, factor, now_});
    At(Scaled(item.remaining, factor), [this, i, number] { EndBatch(i, number); });
  }

  void TimeBatch(BatchRun& run) {
    const double per_event =
        static_cast<double>(load_.batch_run.count()) * run.factor / load_.batch_events;
    const double events =
        std::floor(static_cast<double>((now_ - run.timed_at).count()) / per_event);
    const Duration time(static_cast<Duration::rep>(events * per_event));
    run.timed_at += time;
    RecordTiming(run.slot, run.entry, events, time);
  }

  void EndBatch(int i, std::uint64_t number) {
    Engine& engine = engines_[i];
    for (auto at = engine.batch.begin(); at != engine.batch.end(); ++at) {
      if (at->number != number) continue;
      const int e = at->entry;
      if (now_ <= at->item.due) ++outcome_.items_in_time;
      const AcquiredSlot slot = at->slot;
      engine.batch.erase(at);
      ++outcome_.items;
      entries_[e]->pool.ReleaseSlot(slot, relay::SendEnd::kAnswered, {}, now_);
      Report(e, allocator_of_.at(engine.info.id));
      return Admit(i);
    }
  }

  void StopBatch(int e, const BackendId& id) {
    Engine& engine = engines_[index_.at(id)];
    std::vector<RunningItem> running;
    for (std::size_t i = 0; i < engine.batch.size(); ++i) {
      const BatchRun& run = engine.batch[i];
      if (run.entry != e) continue;
      const Item item{run.item.remaining - Scaled(now_ - run.since, 1 / run.factor), run.item.due};
      running.push_back({{{}, i}, item.due.time_since_epoch(), AsQueued(item).time_to_finish});
    }
    const auto stop = ItemsToStop(std::move(running), 1, now_.time_since_epoch());
    if (stop.empty()) return;
    const auto at = engine.batch.begin() + static_cast<std::ptrdiff_t>(stop.front().item);
    ++outcome_.preemptions;
    ++outcome_.stopped_of_engine[index_.at(id)];
    Item item = at->item;
    item.remaining -= Scaled(now_ - at->since, 1 / at->factor);
    entries_[e]->items.push_back(item);
    const AcquiredSlot slot = at->slot;
    engine.batch.erase(at);
    entries_[e]->pool.ReleaseSlot(slot, relay::SendEnd::kAbandoned, {}, now_);
    Admit(index_.at(id));
  }

  Load load_;
  bool ask_allocators_;
  // Separate generators for each kind of arrival, so that two simulations get the same arrivals.
  std::mt19937_64 arrivals_, lengths_, jobs_, teams_;
  std::mt19937_64 random_;
  Time now_{};
  std::uint64_t next_event_ = 0;
  std::uint64_t requests_made_ = 0;
  std::uint64_t batch_runs_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<BackendId, int> index_;
  std::map<NodeId, int> node_;
  std::map<BackendId, int> allocator_of_;
  std::set<std::pair<int, int>> ticked_;
  RetryDetector retry_detector_;
  Outcome outcome_;
};

}  // namespace figmill::sim
