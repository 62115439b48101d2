#pragma once

// Policies that divide a team's quota among entries.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "figmill/online.h"
#include "figmill/quota.h"
#include "test/quota-sim.h"

namespace figmill::sim {

using Decided = std::function<void(bool admitted)>;

// Each entry gets an equal share.
class EqualShares {
 public:
  explicit EqualShares(QuotaWorld& world)
      : world_(world), buckets_(static_cast<std::size_t>(world.entries())) {
    const double part = 1.0 / world.entries();
    for (TokenBucket& bucket : buckets_) {
      bucket.SetRate(world.load().rate * part, std::max(1.0, world.load().burst * part),
                     world.now());
    }
  }
  void Admit(int entry, const Decided& decided) {
    TokenBucket& bucket = buckets_[static_cast<std::size_t>(entry)];
    const bool admitted = bucket.Level(world_.now()) >= 1;
    if (admitted) bucket.Take(1);
    decided(admitted);
  }
  void RestartAll() { *this = EqualShares(world_); }
  EqualShares& operator=(EqualShares&& other) noexcept {
    buckets_ = std::move(other.buckets_);
    return *this;
  }

 private:
  QuotaWorld& world_;
  std::vector<TokenBucket> buckets_;
};

// The owner divides the limit in proportion to the demand that the entries report.
class DemandShares {
 public:
  explicit DemandShares(QuotaWorld& world) : world_(world) {
    auto config = std::make_shared<Config>();
    config->limits[world.team().name] = {world.team().name, world.load().rate, 0,
                                         world.load().burst / world.load().rate};
    snapshot_.config = config;
    for (int i = 0; i < world.entries(); ++i) {
      Member member;
      member.node = world.node(i);
      snapshot_.members.push_back(member);
    }
    RestartAll();
    for (int i = 0; i < world.entries(); ++i) {
      world_.After(TeamLimits::kReportPeriod * i / world.entries(), [this, i] {
        world_.Every(TeamLimits::kReportPeriod, [this, i] { Report(i); });
      });
    }
  }
  void Admit(int entry, const Decided& decided) {
    decided(
        IsOk(limits_[static_cast<std::size_t>(entry)].Admit(world_.team().name, 1, world_.now())));
  }
  void RestartAll() {
    limits_.clear();
    homes_.clear();
    for (int i = 0; i < world_.entries(); ++i) {
      limits_.emplace_back(world_.node(i));
      limits_.back().Update(snapshot_, world_.now());
    }
  }

 private:
  void Report(int entry) {
    if (!world_.Runs(entry)) return;
    for (const ShareRequest& ask :
         limits_[static_cast<std::size_t>(entry)].TakeDueReports(world_.now())) {
      const int home = world_.OwnerSeenBy(entry);
      world_.Send(entry, home, [this, entry, home, report = ask.report] {
        const TeamRates share =
            homes_[home].Allocate(world_.node(entry), report,
                                  snapshot_.config->limits.at(world_.team().name), world_.now());
        world_.Send(home, entry, [this, entry, share] {
          limits_[static_cast<std::size_t>(entry)].ApplyShare(world_.team().name, share,
                                                              world_.now());
        });
      });
    }
  }

  QuotaWorld& world_;
  Snapshot snapshot_;
  std::deque<TeamLimits> limits_;
  std::map<int, TeamShareAllocator> homes_;
};

// The owner grants credits that expire after a short time.
class Credits {
 public:
  explicit Credits(QuotaWorld& world) : world_(world) {
    RestartAll();
    world_.Every(QuotaClient::kAskAgain / 2, [this] {
      for (int i = 0; i < world_.entries(); ++i) {
        if (!world_.Runs(i)) continue;
        WatchOwner(i);
        const Time before = std::exchange(At(i).watched_at, world_.now());
        const bool stood_still = world_.now() - before > std::chrono::seconds(1);
        if (stood_still || !world_.MayOwn(i)) At(i).owner.Restart(world_.now());
        At(i).client.OnTime(world_.now());
        Flush(i);
      }
    });
  }
  void Admit(int entry, const Decided& decided) {
    Entry& at = At(entry);
    const std::uint64_t ticket = ++tickets_;
    const bool free = world_.Rank(entry) < static_cast<int>(QuotaBounds{}.FreeEntries());
    const quota::Verdict verdict =
        at.client.Admit(world_.team(), {static_cast<std::size_t>(world_.entries()), free},
                        {ticket, Duration{5'000'000}}, world_.now());
    if (std::holds_alternative<quota::Waits>(verdict)) {
      at.waiting.emplace(ticket, decided);
    } else {
      decided(std::holds_alternative<quota::Admitted>(verdict));
    }
    Flush(entry);
  }
  void RestartAll() {
    entries_.clear();
    for (int i = 0; i < world_.entries(); ++i) {
      entries_.push_back(std::make_unique<Entry>(Entry{QuotaClient(QuotaBounds{}),
                                                       QuotaOwner(world_.now()),
                                                       world_.OwnerSeenBy(i),
                                                       world_.now(),
                                                       {}}));
    }
  }

 private:
  struct Entry {
    QuotaClient client;
    QuotaOwner owner;
    int owner_seen = -1;
    Time watched_at{};
    std::map<std::uint64_t, Decided> waiting;
  };
  Entry& At(int entry) { return *entries_[static_cast<std::size_t>(entry)]; }
  void WatchOwner(int entry) {
    const int now = world_.OwnerSeenBy(entry);
    if (std::exchange(At(entry).owner_seen, now) == now) return;
    At(entry).client.OnOwnerChanged(world_.team().name);
    At(entry).owner.OnEntriesChanged([&](const TeamId&) { return now == entry; }, world_.now());
  }
  [[nodiscard]] QuotaGrant Grant(int owner, const QuotaAsk& ask) {
    const bool owned = At(owner).owner_seen == owner && world_.MayOwn(owner);
    if (!owned) return {ask.number, ask.team, false, 0, Duration{0}, Duration{0}};
    return At(owner).owner.Grant(ask, world_.team(), world_.now());
  }
  void Flush(int entry) {
    Entry& at = At(entry);
    for (const QuotaAsk& ask : at.client.TakeAsks()) {
      const int owner = at.owner_seen;
      if (owner == entry) {
        at.client.OnGrant(Grant(entry, ask), world_.now());
        continue;
      }
      world_.Send(entry, owner, [this, entry, owner, ask] {
        world_.Send(owner, entry, [this, entry, grant = Grant(owner, ask)] {
          At(entry).client.OnGrant(grant, world_.now());
          Flush(entry);
        });
      });
    }
    for (const quota::Decision& decision : at.client.TakeDecisions()) {
      auto waiting = at.waiting.extract(decision.ticket);
      if (!waiting.empty()) waiting.mapped()(IsOk(decision.verdict));
    }
  }

  QuotaWorld& world_;
  std::uint64_t tickets_ = 0;
  std::vector<std::unique_ptr<Entry>> entries_;
};

}  // namespace figmill::sim
