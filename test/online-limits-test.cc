#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "figmill/online.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

const Time kStart{Duration{1'000'000}};
const TeamId kTeam{"harbour"};
constexpr Duration kTick{10'000};

RoutingSnapshot Entries(int n, double requests, double tokens) {
  RoutingSnapshot snapshot;
  auto config = std::make_shared<Config>();
  config->limits[kTeam] = {kTeam, requests, tokens, 2};
  snapshot.config = config;
  for (int i = 0; i < n; ++i) {
    Member member;
    member.node = {"e" + std::to_string(i)};
    snapshot.members.push_back(member);
  }
  return snapshot;
}

// Entries that serve one team. Their reports take one tick in each direction, and are lost
// while `owners_up` is false.
class Fleet {
 public:
  Fleet(int n, double requests, double tokens) : snapshot_(Entries(n, requests, tokens)) {
    for (const Member& member : snapshot_.members) {
      limits_.emplace_back(member.node);
      limits_.back().Update(snapshot_, kStart);
    }
  }

  // Returns the admitted requests per second, with arrivals at `rate` distributed by `weights`.
  double Run(double rate, const std::vector<double>& weights, Duration span, double tokens = 1) {
    std::discrete_distribution<std::size_t> entry(weights.begin(), weights.end());
    std::poisson_distribution<int> arrivals(rate * static_cast<double>(kTick.count()) / 1e6);
    int admitted = 0;
    int offered = 0;
    for (const Time end = now_ + span; now_ < end; now_ += kTick) {
      for (int n = arrivals(random_); n > 0; --n, ++offered) {
        if (IsOk(limits_[entry(random_)].Admit(kTeam, tokens, now_))) ++admitted;
      }
      Exchange();
    }
    admitted_share = static_cast<double>(admitted) / offered;
    return admitted / (static_cast<double>(span.count()) / 1e6);
  }
  double admitted_share = 0;  // admitted fraction of the requests in the last run
  bool owners_up = true;
  int reports = 0;

 private:
  void Exchange() {
    for (std::size_t i = 0; i < limits_.size(); ++i) {
      // Entries report at different times.
      const Duration phase = kTick * static_cast<int>(i * 7 % 50);
      if ((now_ - kStart + phase) % TeamLimits::kReportPeriod != Duration{0}) continue;
      for (const ShareRequest& request : limits_[i].TakeDueReports(now_)) {
        ++reports;
        if (!owners_up) continue;
        const TeamRates share = allocators_[request.owner.node].Allocate(
            snapshot_.members[i].node, request.report, snapshot_.config->limits.at(kTeam), now_);
        limits_[i].ApplyShare(kTeam, share, now_ + kTick);
      }
    }
  }

  RoutingSnapshot snapshot_;
  std::deque<TeamLimits> limits_;
  std::map<NodeId, TeamShareAllocator> allocators_;
  std::mt19937 random_{1};
  Time now_ = kStart;
};

std::vector<double> Skewed(int n) {
  std::vector<double> weights(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) weights[static_cast<std::size_t>(i)] = 1.0 / (i + 1);
  return weights;
}

}  // namespace

TEST_CASE("a team's limit holds over 2, 8 and 32 entries, whatever the skew") {
  constexpr double kLimit = 40;
  constexpr Duration kMinute{60'000'000};
  for (const int n : {2, 8, 32}) {
    std::vector<double> one(static_cast<std::size_t>(n), 0.0);
    one[0] = 1;
    const std::vector<double> even(static_cast<std::size_t>(n), 1.0);
    for (const auto& weights : {even, Skewed(n), one}) {
      Fleet fleet(n, kLimit, 0);
      fleet.Run(3 * kLimit, weights, Duration{5'000'000});
      const double over = fleet.Run(3 * kLimit, weights, kMinute);
      Fleet below_limit(n, kLimit, 0);
      below_limit.Run(0.8 * kLimit, weights, Duration{5'000'000});
      below_limit.Run(0.8 * kLimit, weights, kMinute);
      MESSAGE(n << " entries, "
                << std::string(weights == even  ? "even"
                               : weights == one ? "one"
                                                : "1/rank")
                << ": at 3x admitted/limit " << over / kLimit << ", at 0.8x admitted/offered "
                << below_limit.admitted_share << ", reports a second and entry "
                << fleet.reports / 65.0 / n);
      CHECK(over == doctest::Approx(kLimit).epsilon(0.1));
      CHECK(below_limit.admitted_share >= 0.98);
    }
  }
}

TEST_CASE("tokens are limited as well, and an overdraft by a large request is recovered") {
  Fleet fleet(8, 0, 4000);
  fleet.Run(60, Skewed(8), Duration{5'000'000}, 200);
  CHECK(fleet.Run(60, Skewed(8), Duration{60'000'000}, 200) * 200 ==
        doctest::Approx(4000).epsilon(0.1));
}

TEST_CASE("a team keeps an equal share at each entry while its owner doesn't respond") {
  // Guards against a team that is refused at every entry, or unlimited, while the entry that
  // owns it is down: its owner no longer answers reports, and shares depend on the owner alone
  // or never expire.
  Fleet fleet(8, 40, 0);
  const std::vector<double> even(8, 1.0);
  fleet.Run(120, even, Duration{10'000'000});
  fleet.owners_up = false;
  fleet.Run(120, even, Duration{5'000'000});
  CHECK(fleet.Run(120, even, Duration{60'000'000}) == doctest::Approx(40).epsilon(0.1));
}

TEST_CASE("a refusal has a retry delay, and teams without a limit are not tracked") {
  TeamLimits limits({"e0"});
  limits.Update(Entries(1, 1, 0), kStart);
  std::optional<Error> refused;
  for (int i = 0; i < 10 && !refused; ++i) {
    const auto admitted = limits.Admit(kTeam, 1, kStart);
    if (!IsOk(admitted)) refused = ErrorOf(admitted);
  }
  REQUIRE(refused);
  CHECK(refused->kind == ErrorKind::kTeamLimit);
  CHECK(refused->retry_after >= Duration{100'000});
  CHECK(IsOk(limits.Admit({"nobody"}, 1, kStart)));
  CHECK(limits.tracked() == 1);
}
