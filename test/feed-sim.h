#pragma once

// Simulates entries that follow tables, in virtual time: a store that answers after its latency and
// loses some calls, relays that are killed, and the time that changes take to reach all entries.
// Tables are represented by their versions only.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "figmill/feeds.h"
#include "gateway/feed_relay.h"
#include "gateway/relayed_tables.h"
#include "gateway/table_follower.h"

namespace figmill::sim {

struct FeedScenario {
  int entries = 420;
  int data_centres = 6;
  bool relays = true;
  // Changes of the table a second; the rows of jobs, members and backend servers grow with the
  // fleet, so callers scale this with `entries`.
  double changes_per_s = 20;
  Duration length{30'000'000};
  Duration min_interval{150'000};
  double lost = 0;           // share of the store's responses that are lost
  bool kill_relays = false;  // kills the first relay of each data centre in the middle
  std::uint64_t seed = 1;
};

struct FeedFigures {
  double calls_per_s = 0;  // at the store, of all entries
  double calls_per_entry_s = 0;
  double relay_polls_per_s = 0;  // at the busiest relay
  Duration change_mean{0};       // time until a change has reached all live entries
  Duration change_worst{0};
};

class FeedSimulation {
 public:
  explicit FeedSimulation(const FeedScenario& scenario)
      : scenario_(scenario), random_(scenario.seed) {}

  FeedFigures Run() {
    for (int i = 0; i < scenario_.entries; ++i) entries_.push_back(MakeEntry(i));
    SetRelays();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      At(Jitter(scenario_.min_interval), [this, i] { Poll(i); });
    }
    ScheduleChange();
    if (scenario_.kill_relays) At(scenario_.length / 2, [this] { KillRelays(); });
    while (!events_.empty() && events_.top().at <= scenario_.length) {
      Event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.task();
    }
    return Figures();
  }

 private:
  static constexpr Duration kStoreLatency{5'000};
  static constexpr Duration kLocalLatency{400};
  static constexpr Duration kStoreTimeout{400'000};  // beyond the wait of the call

  struct Event {
    Duration at{0};
    std::uint64_t number = 0;
    std::function<void()> task;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  // A copy of the table: an entry's own, or the one that it relays.
  struct Copy {
    std::uint64_t version = 0;
    Duration confirmed_at{0};
  };
  struct Entry {
    Peer peer;
    bool live = true;
    Copy copy;
    FeedSourceSelector selector;
    // As a relay.
    bool relaying = false;
    Copy relayed;
    std::uint64_t polls_served = 0;
    std::vector<std::function<void()>> waiting;
  };
  struct Change {
    Duration at{0};
    std::size_t reached = 0;
    std::optional<Duration> everywhere_at;
  };

  std::unique_ptr<Entry> MakeEntry(int number) const {
    auto entry = std::make_unique<Entry>();
    const std::string node = "node-" + std::to_string(number);
    entry->peer = {NodeId{node},
                   1,
                   {node, 80},
                   DataCentre{"dc-" + std::to_string(number % scenario_.data_centres)}};
    return entry;
  }

  void SetRelays() {
    by_address_.clear();
    for (std::size_t i = 0; i < entries_.size(); ++i) by_address_[entries_[i]->peer.address] = i;
    if (!scenario_.relays) return;
    for (const auto& entry : entries_) {
      PeerTable peers(entry->peer);
      for (const auto& other : entries_) {
        if (other->live) peers.AddListed(other->peer);
      }
      entry->selector.SetRelays(FeedSourceSelector::RelaysFor(peers, Time{now_}));
    }
  }

  void KillRelays() {
    std::vector<std::string> killed;
    for (const auto& entry : entries_) {
      const std::string& data_centre = entry->peer.data_centre.value;
      const bool done = std::find(killed.begin(), killed.end(), data_centre) != killed.end();
      if (!entry->relaying || done) continue;
      killed.push_back(data_centre);
      entry->live = false;
    }
    // The store no longer lists them once their silence is noticed.
    At(now_ + PeerTable::kFailureTimeout, [this] { SetRelays(); });
  }

  void At(Duration at, std::function<void()> task) {
    events_.push({at, ++event_count_, std::move(task)});
  }
  Duration Jitter(Duration most) {
    return Duration(std::uniform_int_distribution<std::int64_t>(0, most.count())(random_));
  }
  bool Loses() { return std::bernoulli_distribution(scenario_.lost)(random_); }

  void ScheduleChange() {
    const double wait = std::exponential_distribution<double>(scenario_.changes_per_s)(random_);
    At(now_ + Duration(static_cast<std::int64_t>(wait * 1e6)), [this] {
      changes_.push_back({now_});
      const auto waiting = std::move(store_waiting_);
      store_waiting_.clear();
      for (const auto& wake : waiting) wake();
      ScheduleChange();
    });
  }

  // One held call to the store; `done` gets the version, or nothing when it was lost.
  void CallStore(std::uint64_t after, Duration wait,
                 std::function<void(std::optional<std::uint64_t>)> done) {
    ++store_calls_;
    if (Loses()) {
      return At(now_ + wait + kStoreTimeout, [done = std::move(done)] { done(std::nullopt); });
    }
    At(now_ + kStoreLatency, [this, after, wait, done = std::move(done)] {
      const auto answered = std::make_shared<bool>(false);
      const auto answer = [this, answered, done] {
        if (std::exchange(*answered, true)) return;
        At(now_ + kStoreLatency, [done, version = changes_.size()] { done(version); });
      };
      if (changes_.size() > after) return answer();
      store_waiting_.emplace_back(answer);
      At(now_ + wait, answer);
    });
  }

  void Poll(std::size_t i) {
    Entry& entry = *entries_[i];
    if (!entry.live) return;
    const std::optional<Address> relay = entry.selector.Choose(Time{now_});
    if (!relay) return PollStore(i);
    At(now_ + kLocalLatency, [this, i, relay = *relay] { ReachRelay(i, relay); });
  }

  void PollStore(std::size_t i) {
    CallStore(entries_[i]->copy.version, TableFollower::kWait,
              [this, i](std::optional<std::uint64_t> version) {
                if (version) Take(*entries_[i], *version);
                At(now_ + scenario_.min_interval, [this, i] { Poll(i); });
              });
  }

  void ReachRelay(std::size_t i, const Address& address) {
    Entry& relay = *entries_[by_address_.at(address)];
    const Duration asked_at = now_;
    const auto fail = [this, i, address] {
      entries_[i]->selector.RecordFailure(address, Time{now_});
      PollStore(i);
    };
    // A killed process refuses connections at once.
    if (!relay.live) return At(now_ + kLocalLatency, fail);
    ++relay.polls_served;
    if (!std::exchange(relay.relaying, true)) FollowAsRelay(relay);
    const auto answered = std::make_shared<bool>(false);
    const auto try_answer = [this, i, &relay, answered, asked_at, fail] {
      const bool expired = now_ >= asked_at + RelayedTables::kRelayWait;
      const bool changed = relay.relayed.version > entries_[i]->copy.version;
      if (*answered || (!expired && !changed)) return;
      *answered = true;
      const bool old = now_ - relay.relayed.confirmed_at > FeedRelay::kMaxAge;
      if (!relay.live || old) return At(now_ + kLocalLatency, fail);
      At(now_ + kLocalLatency, [this, i, version = relay.relayed.version] {
        Take(*entries_[i], version);
        At(now_ + scenario_.min_interval, [this, i] { Poll(i); });
      });
    };
    try_answer();
    if (*answered) return;
    relay.waiting.emplace_back(try_answer);
    At(now_ + RelayedTables::kRelayWait, try_answer);
  }

  void FollowAsRelay(Entry& relay) {
    if (!relay.live) {
      for (const auto& wake : std::exchange(relay.waiting, {})) wake();
      return;
    }
    const Duration asked_at = now_;
    CallStore(relay.relayed.version, FeedRelay::kStoreWait,
              [this, &relay, asked_at](std::optional<std::uint64_t> version) {
                if (version) {
                  relay.relayed.version = std::max(relay.relayed.version, *version);
                  relay.relayed.confirmed_at = asked_at;
                }
                for (const auto& wake : std::vector(relay.waiting)) wake();
                relay.waiting.clear();
                At(now_ + scenario_.min_interval, [this, &relay] { FollowAsRelay(relay); });
              });
  }

  void Take(Entry& entry, std::uint64_t version) {
    for (; entry.copy.version < version; ++entry.copy.version) {
      Change& change = changes_[entry.copy.version];
      ++change.reached;
      const auto live = static_cast<std::size_t>(
          std::count_if(entries_.begin(), entries_.end(), [](const auto& e) { return e->live; }));
      if (change.reached >= live && !change.everywhere_at) change.everywhere_at = now_;
    }
  }

  [[nodiscard]] FeedFigures Figures() const {
    FeedFigures figures;
    const double seconds = std::chrono::duration<double>(scenario_.length).count();
    figures.calls_per_s = static_cast<double>(store_calls_) / seconds;
    figures.calls_per_entry_s = figures.calls_per_s / scenario_.entries;
    for (const auto& entry : entries_) {
      figures.relay_polls_per_s =
          std::max(figures.relay_polls_per_s, static_cast<double>(entry->polls_served) / seconds);
    }
    // The last changes have had no time to reach all.
    constexpr Duration kSettle{4'000'000};
    Duration sum{0};
    std::int64_t count = 0;
    for (const Change& change : changes_) {
      if (change.at > scenario_.length - kSettle) continue;
      const Duration took = change.everywhere_at.value_or(scenario_.length) - change.at;
      figures.change_worst = std::max(figures.change_worst, took);
      sum += took;
      ++count;
    }
    if (count > 0) figures.change_mean = sum / count;
    return figures;
  }

  FeedScenario scenario_;
  std::mt19937_64 random_;
  Duration now_{0};
  std::uint64_t event_count_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<Address, std::size_t> by_address_;
  std::vector<Change> changes_;
  std::vector<std::function<void()>> store_waiting_;
  std::uint64_t store_calls_ = 0;
};

}  // namespace figmill::sim
