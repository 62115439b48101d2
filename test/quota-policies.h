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

using AdmitCallback = std::function<void(bool admitted)>;

// Each entry gets an equal share.
class EqualShares {
 public:
  explicit EqualShares(QuotaSimulation& simulation)
      : simulation_(simulation), buckets_(static_cast<std::size_t>(simulation.entries())) {
    const double part = 1.0 / simulation.entries();
    for (TokenBucket& bucket : buckets_) {
      bucket.SetRate(simulation.load().rate * part, std::max(1.0, simulation.load().burst * part),
                     simulation.now());
    }
  }
  void Admit(int entry, const AdmitCallback& decided) {
    TokenBucket& bucket = buckets_[static_cast<std::size_t>(entry)];
    const bool admitted = bucket.Level(simulation_.now()) >= 1;
    if (admitted) bucket.Take(1);
    decided(admitted);
  }
  void RestartAll() { *this = EqualShares(simulation_); }
  EqualShares& operator=(EqualShares&& other) noexcept {
    buckets_ = std::move(other.buckets_);
    return *this;
  }

 private:
  QuotaSimulation& simulation_;
  std::vector<TokenBucket> buckets_;
};

// The owner divides the limit in proportion to the demand that the entries report.
class DemandShares {
 public:
  explicit DemandShares(QuotaSimulation& simulation) : simulation_(simulation) {
    auto config = std::make_shared<Config>();
    config->limits[simulation.team().name] = {simulation.team().name, simulation.load().rate, 0,
                                              simulation.load().burst / simulation.load().rate};
    snapshot_.config = config;
    for (int i = 0; i < simulation.entries(); ++i) {
      Member member;
      member.node = simulation.node(i);
      snapshot_.members.push_back(member);
    }
    RestartAll();
    for (int i = 0; i < simulation.entries(); ++i) {
      simulation_.After(TeamLimits::kReportPeriod * i / simulation.entries(), [this, i] {
        simulation_.Every(TeamLimits::kReportPeriod, [this, i] { Report(i); });
      });
    }
  }
  void Admit(int entry, const AdmitCallback& decided) {
    decided(IsOk(limits_[static_cast<std::size_t>(entry)].Admit(simulation_.team().name, 1,
                                                                simulation_.now())));
  }
  void RestartAll() {
    limits_.clear();
    owners_.clear();
    for (int i = 0; i < simulation_.entries(); ++i) {
      limits_.emplace_back(simulation_.node(i));
      limits_.back().Update(snapshot_, simulation_.now());
    }
  }

 private:
  void Report(int entry) {
    if (!simulation_.IsRunning(entry)) return;
    for (const ShareRequest& request :
         limits_[static_cast<std::size_t>(entry)].TakeDueReports(simulation_.now())) {
      const int owner = simulation_.OwnerSeenBy(entry);
      simulation_.Send(entry, owner, [this, entry, owner, report = request.report] {
        const TeamRates share = owners_[owner].Allocate(
            simulation_.node(entry), report, snapshot_.config->limits.at(simulation_.team().name),
            simulation_.now());
        simulation_.Send(owner, entry, [this, entry, share] {
          limits_[static_cast<std::size_t>(entry)].ApplyShare(simulation_.team().name, share,
                                                              simulation_.now());
        });
      });
    }
  }

  QuotaSimulation& simulation_;
  RoutingSnapshot snapshot_;
  std::deque<TeamLimits> limits_;
  std::map<int, TeamShareAllocator> owners_;
};

// The owner grants credits that expire after a short time.
class Credits {
 public:
  explicit Credits(QuotaSimulation& simulation) : simulation_(simulation) {
    RestartAll();
    simulation_.Every(QuotaClient::kRetryInterval / 2, [this] {
      for (int i = 0; i < simulation_.entries(); ++i) {
        if (!simulation_.IsRunning(i)) continue;
        CheckOwner(i);
        const Time before = std::exchange(At(i).checked_at, simulation_.now());
        const bool was_stopped = simulation_.now() - before > std::chrono::seconds(1);
        if (was_stopped || !simulation_.MayOwn(i)) At(i).owner.Reset(simulation_.now());
        At(i).client.ApplyTimeouts(simulation_.now());
        Flush(i);
      }
    });
  }
  void Admit(int entry, const AdmitCallback& decided) {
    AdmitCaller(entry, {0, Duration{5'000'000}},
                [decided](const quota::Decision& decision) { decided(IsOk(decision.result)); });
  }
  using DecisionCallback = std::function<void(const quota::Decision&)>;
  // Returns a ticket, by which the caller can leave while it waits.
  std::uint64_t AdmitCaller(int entry, QuotaClient::Request request,
                            const DecisionCallback& decided) {
    Entry& state = At(entry);
    request.ticket = ++tickets_;
    const bool may_admit_alone =
        simulation_.Rank(entry) < static_cast<int>(QuotaBounds{}.FallbackEntries());
    const quota::AdmitResult result = state.client.Admit(
        simulation_.team(), {static_cast<std::size_t>(simulation_.entries()), may_admit_alone},
        request, simulation_.now());
    if (const auto* admitted = std::get_if<quota::Admitted>(&result)) {
      decided({request.ticket, *admitted});
    } else if (const auto* error = std::get_if<Error>(&result)) {
      decided({request.ticket, *error});
    } else {
      state.waiting.emplace(request.ticket, decided);
    }
    Flush(entry);
    return request.ticket;
  }
  void Leave(int entry, std::uint64_t ticket) {
    At(entry).client.Cancel(simulation_.team().name, ticket);
    At(entry).waiting.erase(ticket);
  }
  void RestartAll() {
    entries_.clear();
    for (int i = 0; i < simulation_.entries(); ++i) {
      entries_.push_back(std::make_unique<Entry>(Entry{QuotaClient(QuotaBounds{}),
                                                       QuotaOwner(simulation_.now()),
                                                       simulation_.OwnerSeenBy(i),
                                                       simulation_.now(),
                                                       {}}));
    }
  }

 private:
  struct Entry {
    QuotaClient client;
    QuotaOwner owner;
    int owner_seen = -1;
    Time checked_at{};
    std::map<std::uint64_t, DecisionCallback> waiting;
  };
  Entry& At(int entry) { return *entries_[static_cast<std::size_t>(entry)]; }
  void CheckOwner(int entry) {
    const int current = simulation_.OwnerSeenBy(entry);
    if (std::exchange(At(entry).owner_seen, current) == current) return;
    At(entry).client.OnOwnerChanged(simulation_.team().name);
    At(entry).owner.OnEntriesChanged([&](const TeamId&) { return current == entry; },
                                     simulation_.now());
  }
  [[nodiscard]] QuotaGrant Grant(int owner, const QuotaRequest& request) {
    const bool owned = At(owner).owner_seen == owner && simulation_.MayOwn(owner);
    if (!owned) return {request.number, request.team, false, 0, Duration{0}, Duration{0}};
    return At(owner).owner.Grant(request, simulation_.team(), simulation_.now());
  }
  void Flush(int entry) {
    Entry& state = At(entry);
    for (const QuotaRequest& request : state.client.TakeRequests()) {
      const int owner = state.owner_seen;
      if (owner == entry) {
        state.client.OnGrant(Grant(entry, request), simulation_.now());
        continue;
      }
      simulation_.Send(entry, owner, [this, entry, owner, request] {
        simulation_.Send(owner, entry, [this, entry, grant = Grant(owner, request)] {
          At(entry).client.OnGrant(grant, simulation_.now());
          Flush(entry);
        });
      });
    }
    for (const quota::Decision& decision : state.client.TakeDecisions()) {
      auto waiting = state.waiting.extract(decision.ticket);
      if (!waiting.empty()) waiting.mapped()(decision);
    }
  }

  QuotaSimulation& simulation_;
  std::uint64_t tickets_ = 0;
  std::vector<std::unique_ptr<Entry>> entries_;
};

}  // namespace figmill::sim
