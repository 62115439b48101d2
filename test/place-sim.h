#pragma once

// Entries, keepers and engines in simulated time, with datagrams that take a while,
// to replay the load that placing has to answer.

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

struct Load {
  int entries = 36;
  int engines = 50;
  int places = 7;
  int data_centres = 5;
  double online_per_s = 258;  // in the mean
  double low = 0.39;          // of the mean, between two waves
  double high = 1.91;         // in a wave
  Duration low_for{3'600'000};
  Duration high_for{2'400'000};
  Duration online_run{550'000};
  double online_spread = 0;  // standard deviation of an online run's length, of its mean
  // A refused caller comes back once, when it is told to, but within a third of its time left.
  bool returns = false;
  // The engines of one data centre are gone from this moment on: connections to them are refused,
  // and they stay listed.
  Duration lost_at = Duration::max();
  bool says_not_there = true;  // entries tell keepers which engines they have found dead
  Duration batch_run{3'600'000};
  double batch_per_s = 26;  // items
  int job_items = 10;       // that come at once, at one entry
  Duration job_due{18'000'000};
  bool tells_due = true;  // entries tell keepers when what waits is due
  Duration datagram{1'500'000 / 1000};
  Duration length{30'000'000};
};

struct Outcome {
  int online = 0;
  int late = 0;       // waited for a place for over 200 ms
  int refused = 0;    // first tries alone
  int told_late = 0;  // tries that were refused after a quarter of the goal or more
  int returned = 0;
  int returned_late = 0;  // of those: placed after the goal of their second try
  int unserved = 0;       // refused, and either not back or refused again
  int in_vain = 0;        // places given at engines that the entry knew to be dead
  int items = 0;          // batch items that were finished
  int items_in_time = 0;
  int items_due = 0;  // due before the end
  int stops = 0;      // runs of batch items stopped for online
  int overfull = 0;   // times that batch made online wait
};

class Simulation {
 public:
  // `asks`: entries ask keepers; otherwise they choose by what they were told.
  Simulation(const Load& load, bool asks, unsigned seed)
      : load_(load), asks_(asks), arrivals_(seed + 1), jobs_(seed + 2), random_(seed) {
    for (int i = 0; i < load.engines; ++i) {
      Engine& engine = engines_.emplace_back();
      engine.info.id = BackendId{"engine-" + std::to_string(i)};
      engine.info.service = ServiceName{"llm"};
      engine.info.data_centre = CentreOf(i);
      engine.info.places = load.places;
      index_[engine.info.id] = i;
    }
    for (int i = 0; i < load.entries; ++i) {
      Peer peer{NodeId{"entry-" + std::to_string(i)}, 1, {}, CentreOf(i), 1, false};
      entries_.push_back(std::make_unique<Entry>(peer, [this] { return random_(); }));
      node_[peer.node] = i;
    }
    ChooseKeepers();
  }

  Outcome Run() {
    if (load_.lost_at < load_.length) At(load_.lost_at, [this] { LoseDataCentre(); });
    At(Duration{0}, [this] { Arrive(); });
    At(Duration{0}, [this] { ArriveJob(); });
    for (std::size_t i = 0; i < entries_.size(); ++i) Tick(static_cast<int>(i));
    for (const auto& [id, keeper] : keeper_of_) {
      if (ticked_.insert({keeper, keeper}).second) KeeperTick(keeper);
    }
    ticked_.clear();
    while (!events_.empty() && events_.top().at < Time{load_.length}) {
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
  // A caller's patience with one request, over all its tries.
  static constexpr Duration kPatience{5'000'000};
  // One try of an online request.
  struct Try {
    Time at{};
    Duration time_left{0};
    bool second = false;
  };
  struct Pending {
    int keeper = 0;  // that was asked last
    Try attempt;
    std::vector<BackendId> tried;
  };
  struct OnlineRun {
    int entry = 0;
    Try attempt;
    TakenPlace place;
  };
  struct Item {
    Duration left{0};  // work
    Time due{};
  };
  struct BatchRun {
    int entry = 0;
    std::uint64_t number = 0;
    Item item;
    Time since{};
    TakenPlace place;
  };
  struct Engine {
    BackendInfo info;
    bool gone = false;
    int online = 0;
    std::deque<OnlineRun> waiting;
    std::vector<BatchRun> batch;
  };
  struct Entry {
    Entry(const Peer& self, RandomBits bits)
        : peer(self), book(self.data_centre, std::move(bits)) {}
    Peer peer;
    PlaceBook book;
    PlaceKeeper keeper{0};
    std::vector<Item> items;  // waiting
    std::map<int, std::uint64_t> acted;
    std::map<int, std::vector<PlaceGrant::ServiceUse>> told;  // by keepers elsewhere
    std::map<int, std::vector<std::uint64_t>> asked;
    std::uint64_t reports = 0;
    std::map<std::uint64_t, std::shared_ptr<PlaceSearch>> searches;
    std::map<std::uint64_t, Pending> pending;  // by ask
  };

  DataCentre CentreOf(int i) const {
    return DataCentre{"dc-" + std::to_string(i % load_.data_centres)};
  }

  void At(Duration after, std::function<void()> task) {
    events_.push({now_ + after, ++order_, std::move(task)});
  }

  void ChooseKeepers() {
    PeerTable table(entries_.front()->peer);
    for (const auto& entry : entries_) table.Heard(entry->peer, now_);
    std::map<int, std::map<BackendId, KeptBackend>> kept;
    for (const Engine& engine : engines_) {
      const auto keepers =
          table.KeepersOf(engine.info.data_centre, engines_.size() / load_.data_centres, now_);
      const int keeper = node_.at(KeeperAmong(keepers, engine.info.id)->node);
      keeper_of_[engine.info.id] = keeper;
      kept[keeper][engine.info.id] = {engine.info.service, engine.info.places};
      for (const auto& entry : entries_) entry->book.Learn(engine.info);
    }
    for (const auto& [keeper, backends] : kept) entries_[keeper]->keeper.Keep(backends, now_);
  }

  static double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

  double Rate() const {
    const double phase =
        std::fmod(Seconds(now_.time_since_epoch()), Seconds(load_.low_for + load_.high_for));
    return load_.online_per_s * (phase < Seconds(load_.low_for) ? load_.low : load_.high);
  }

  void Arrive() {
    const int entry = static_cast<int>(arrivals_() % entries_.size());
    ++outcome_.online;
    Place(entry, {now_, kPatience, /*second=*/false});
    const double gap = std::exponential_distribution<double>(Rate())(arrivals_);
    At(Duration(static_cast<Duration::rep>(gap * 1e6)), [this] { Arrive(); });
  }

  void ArriveJob() {
    Entry& entry = *entries_[jobs_() % entries_.size()];
    const Item item{load_.batch_run, now_ + load_.job_due};
    entry.items.insert(entry.items.end(), load_.job_items, item);
    if (item.due < Time{load_.length}) outcome_.items_due += load_.job_items;
    const double per_s = load_.batch_per_s / load_.job_items;
    const double gap = std::exponential_distribution<double>(per_s)(jobs_);
    At(Duration(static_cast<Duration::rep>(gap * 1e6)), [this] { ArriveJob(); });
  }

  // As an owner would queue it. Online takes an item's place as often as ItemPace expects it to.
  ItemBacklog::Entry AsQueued(const Item& item) const {
    const double left =
        static_cast<double>(item.left.count()) / static_cast<double>(load_.batch_run.count());
    const double stretch = 1 + (ItemPace::kUsualStretch - 1) * left;
    const Duration needed(
        static_cast<Duration::rep>(static_cast<double>(item.left.count()) * stretch));
    return {{}, 0, item.due.time_since_epoch(), needed, {}, item.left < load_.batch_run};
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
      ++groups[load_.tells_due ? std::pair(rank, due) : std::pair(ItemRank::kFresh, StoreTime{0})];
    }
    std::vector<WaitingItems> waiting;
    waiting.reserve(groups.size());
    for (const auto& [group, items] : groups) {
      waiting.push_back({group.second, items, group.first == ItemRank::kBegun});
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

  // What runs at engines that are gone is lost: online fails, items wait again.
  void LoseDataCentre() {
    for (Engine& engine : engines_) {
      if (engine.info.data_centre != CentreOf(0)) continue;
      engine.gone = true;
      for (const BatchRun& run : engine.batch) {
        entries_[run.entry]->items.push_back(run.item);
        entries_[run.entry]->book.Ended(run.place, relay::SendEnd::kBroken, {}, now_);
      }
      engine.batch.clear();
    }
  }

  void Place(int e, const Try& attempt, std::vector<BackendId> tried = {}) {
    Entry& entry = *entries_[e];
    PlaceQuery query;
    query.service = ServiceName{"llm"};
    query.tried = tried;
    if (const auto roomy = asks_ ? entry.book.ChooseRoomy(query, 0.5, now_) : std::nullopt) {
      return SendOnline(e, roomy->id, attempt, tried);
    }
    if (!asks_) {
      const Result<BackendAddress> chosen = entry.book.Choose(query, now_);
      if (!IsOk(chosen)) return OnRefused(e, attempt, Duration{0});
      return SendOnline(e, ValueOf(chosen).id, attempt, tried);
    }
    PlaceAsk ask;
    ask.number = ++asks_made_;
    ask.service = query.service;
    ask.goal_left = Duration{300'000};
    ask.time_left = attempt.time_left;
    ask.last_chance = tries_.IsSecond("", attempt.time_left, now_);
    ask.tried = tried;
    if (load_.says_not_there) {
      for (BackendId& id : entry.book.LeftOut(query, now_)) ask.tried.push_back(id);
    }
    auto search = std::make_shared<PlaceSearch>(ask, Order(e, ask.tried), now_);
    entry.searches[ask.number] = search;
    entry.pending[ask.number] = {0, attempt, std::move(tried)};
    Do(e, ask.number, search->Start(now_));
  }

  void OnRefused(int e, const Try& attempt, Duration come_back) {
    if (now_ - attempt.at > Duration{75'000}) ++outcome_.told_late;
    if (!attempt.second) ++outcome_.refused;
    if (attempt.second || !load_.returns) return void(++outcome_.unserved);
    const Duration left = attempt.time_left - (now_ - attempt.at);
    const Duration after = std::min(come_back, left / 3);
    const int other = static_cast<int>((e + 1) % entries_.size());
    At(after, [this, other, time_left = left - after] {
      ++outcome_.returned;
      Place(other, {now_, time_left, /*second=*/true});
    });
  }

  // Keepers by the share that is known to be free.
  std::vector<NodeId> Order(int e, const std::vector<BackendId>& tried) {
    std::map<int, std::pair<int, int>> shares;
    entries_[e]->book.ForEach([&](const BackendInfo& info, const PlaceUse& use) {
      if (std::find(tried.begin(), tried.end(), info.id) != tried.end()) return;
      auto& [free, places] = shares[keeper_of_.at(info.id)];
      free += std::max(0, info.places - use.online - use.online_other);
      places += info.places;
    });
    std::vector<std::pair<double, int>> order;
    order.reserve(shares.size());
    for (auto& [keeper, share] : shares) {
      for (const PlaceGrant::ServiceUse& use : entries_[e]->told[keeper]) {
        share = {use.places - use.online, use.places};
      }
      order.emplace_back(-static_cast<double>(share.first) / share.second, keeper);
    }
    std::sort(order.begin(), order.end());
    std::vector<NodeId> nodes;
    nodes.reserve(order.size());
    for (const auto& [free, keeper] : order) nodes.push_back(entries_[keeper]->peer.node);
    return nodes;
  }

  void Do(int e, std::uint64_t number, const search::Action& action) {
    Entry& entry = *entries_[e];
    if (const auto* ask = std::get_if<search::AskKeeper>(&action)) {
      const int keeper = node_.at(ask->keeper);
      entry.pending[number].keeper = keeper;
      At(load_.datagram, [this, e, keeper, each = ask->ask] {
        entries_[keeper]->keeper.OnAsk(entries_[e]->peer.node, each, now_);
        SendDue(keeper);
      });
    } else if (const auto* take = std::get_if<search::Take>(&action)) {
      const Pending pending = entry.pending[number];
      entry.asked[pending.keeper].push_back(number);
      entry.searches.erase(number);
      if (entry.book.IsUsable(take->backend, now_)) {
        return SendOnline(e, take->backend, pending.attempt, pending.tried);
      }
      ++outcome_.in_vain;
      const Result<BackendAddress> chosen =
          entry.book.Choose({ServiceName{"llm"}, pending.tried}, now_);
      if (!IsOk(chosen)) return OnRefused(e, pending.attempt, Duration{0});
      SendOnline(e, ValueOf(chosen).id, pending.attempt, pending.tried);
    } else if (const auto* give_up = std::get_if<search::GiveUp>(&action)) {
      entry.searches.erase(number);
      OnRefused(e, entry.pending[number].attempt, give_up->wait);
    }
  }

  void SendOnline(int e, const BackendId& id, const Try& attempt, std::vector<BackendId> tried) {
    const TakenPlace place = entries_[e]->book.Began(id, WorkClass::kOnline, now_);
    Report(e, keeper_of_.at(id));
    tried.push_back(id);
    At(load_.datagram / 2, [this, e, id, attempt, place, tried] {
      Engine& engine = engines_[index_.at(id)];
      if (engine.gone) {
        entries_[e]->book.Ended(place, relay::SendEnd::kUnreachable, {}, now_);
        Report(e, keeper_of_.at(id));
        if (tried.size() >= RelayStateMachine::kMaxRejections)
          return OnRefused(e, attempt, Duration{0});
        return Place(e, attempt, tried);
      }
      engine.waiting.push_back({e, attempt, place});
      if (engine.online + static_cast<int>(engine.batch.size()) >= load_.places &&
          engine.online < load_.places) {
        ++outcome_.overfull;
      }
      Admit(index_.at(id));
    });
  }

  Duration OnlineRunLength() {
    if (load_.online_spread == 0) return load_.online_run;
    const auto mean = static_cast<double>(load_.online_run.count());
    std::normal_distribution<double> length(mean, mean * load_.online_spread);
    return Duration(static_cast<Duration::rep>(std::max(mean / 4, length(arrivals_))));
  }

  void Admit(int i) {
    Engine& engine = engines_[i];
    while (!engine.waiting.empty() &&
           engine.online + static_cast<int>(engine.batch.size()) < load_.places) {
      const OnlineRun run = engine.waiting.front();
      engine.waiting.pop_front();
      if (now_ - run.attempt.at > Duration{200'000}) {
        ++(run.attempt.second ? outcome_.returned_late : outcome_.late);
      }
      ++engine.online;
      At(OnlineRunLength(), [this, i, e = run.entry, place = run.place] {
        --engines_[i].online;
        entries_[e]->book.Ended(place, relay::SendEnd::kAnswered, load_.online_run, now_);
        Report(e, keeper_of_.at(engines_[i].info.id));
        Admit(i);
      });
    }
  }

  // --- Messages ---

  void Report(int e, int keeper) {
    Entry& entry = *entries_[e];
    PlaceReport report;
    report.number = ++entry.reports;
    report.grant = entry.acted[keeper];
    report.asked = std::exchange(entry.asked[keeper], {});
    report.waiting = Waiting(entry);
    entry.book.ForEach([&](const BackendInfo& info, const PlaceUse& use) {
      if (keeper_of_.at(info.id) == keeper) {
        report.lines.push_back(
            {info.id, use.online, use.batch, use.usual_run, use.answers, use.faults});
      }
    });
    At(load_.datagram, [this, e, keeper, report] {
      const bool near = entries_[e]->peer.data_centre == entries_[keeper]->peer.data_centre;
      entries_[keeper]->keeper.OnReport(entries_[e]->peer, near, report, now_);
      SendDue(keeper);
    });
  }

  void SendDue(int keeper) {
    for (const PlaceKeeper::Outgoing& out : entries_[keeper]->keeper.Due(now_)) {
      const int e = node_.at(out.to);
      At(load_.datagram, [this, e, keeper, out] {
        if (out.grant) OnGrant(e, keeper, *out.grant);
        if (out.answer) OnAnswer(e, *out.answer);
      });
    }
  }

  void OnAnswer(int e, const PlaceAnswer& answer) {
    const auto found = entries_[e]->searches.find(answer.number);
    if (found == entries_[e]->searches.end()) return;
    const auto search = found->second;
    Do(e, answer.number, search->On(search::Answered{answer}, now_));
  }

  void OnGrant(int e, int keeper, const PlaceGrant& grant) {
    Entry& entry = *entries_[e];
    if (grant.number <= entry.acted[keeper]) return;
    entry.acted[keeper] = grant.number;
    entry.told[keeper] = grant.services;
    for (const PlaceGrant::Line& line : grant.lines) {
      entry.book.SetGrant(line.backend,
                          {line.online_other, line.batch_other, line.allowed, line.ejected}, now_);
      const PlaceUse use = entry.book.Use(line.backend);
      for (int i = use.batch; i > line.allowed; --i) StopBatch(e, line.backend);
      StartAllowed(e, line.backend);
    }
    Report(e, keeper);
  }

  void Tick(int e) {
    for (const auto& [id, keeper] : keeper_of_) {
      if (ticked_.insert({e, keeper}).second) Report(e, keeper);
    }
    ticked_.clear();
    At(PlaceKeeper::kHeartbeat, [this, e] { Tick(e); });
  }

  void KeeperTick(int e) {
    entries_[e]->keeper.Tick(now_);
    SendDue(e);
    At(PlaceKeeper::kCoalesce, [this, e] { KeeperTick(e); });
  }

  // --- Batch ---

  void StartAllowed(int e, const BackendId& id) {
    Entry& entry = *entries_[e];
    const PlaceUse use = entry.book.Use(id);
    for (int i = use.batch; i < use.batch_allowed && !entry.items.empty(); ++i) StartBatch(e, id);
  }

  void StartBatch(int e, const BackendId& id) {
    Entry& entry = *entries_[e];
    const std::uint64_t number = ++batch_runs_;
    const Item item = TakeItem(entry);
    const TakenPlace place = entry.book.Began(id, WorkClass::kBatch, now_);
    const int i = index_.at(id);
    engines_[i].batch.push_back({e, number, item, now_, place});
    At(item.left, [this, i, number] { EndBatch(i, number); });
  }

  void EndBatch(int i, std::uint64_t number) {
    Engine& engine = engines_[i];
    for (auto at = engine.batch.begin(); at != engine.batch.end(); ++at) {
      if (at->number != number) continue;
      const int e = at->entry;
      if (now_ <= at->item.due) ++outcome_.items_in_time;
      const TakenPlace place = at->place;
      engine.batch.erase(at);
      ++outcome_.items;
      entries_[e]->book.Ended(place, relay::SendEnd::kAnswered, {}, now_);
      Report(e, keeper_of_.at(engine.info.id));
      return Admit(i);
    }
  }

  void StopBatch(int e, const BackendId& id) {
    Engine& engine = engines_[index_.at(id)];
    std::vector<RunningItem> running;
    for (std::size_t i = 0; i < engine.batch.size(); ++i) {
      const BatchRun& run = engine.batch[i];
      if (run.entry != e) continue;
      const Item item{run.item.left - (now_ - run.since), run.item.due};
      running.push_back({{{}, i}, item.due.time_since_epoch(), AsQueued(item).needed});
    }
    const auto stop = ItemsToStop(std::move(running), 1, now_.time_since_epoch());
    if (stop.empty()) return;
    const auto at = engine.batch.begin() + static_cast<std::ptrdiff_t>(stop.front().item);
    ++outcome_.stops;
    Item item = at->item;
    item.left -= now_ - at->since;
    entries_[e]->items.push_back(item);
    const TakenPlace place = at->place;
    engine.batch.erase(at);
    entries_[e]->book.Ended(place, relay::SendEnd::kAbandoned, {}, now_);
    Admit(index_.at(id));
  }

  Load load_;
  bool asks_;
  // Each kind of arrival by itself, so that two runs have the same.
  std::mt19937_64 arrivals_, jobs_;
  std::mt19937_64 random_;
  Time now_{};
  std::uint64_t order_ = 0;
  std::uint64_t asks_made_ = 0;
  std::uint64_t batch_runs_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<BackendId, int> index_;
  std::map<NodeId, int> node_;
  std::map<BackendId, int> keeper_of_;
  std::set<std::pair<int, int>> ticked_;
  FirstTries tries_;
  Outcome outcome_;
};

}  // namespace figmill::sim
