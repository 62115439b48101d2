#include <algorithm>

#include "figmill/online.h"

namespace figmill {
namespace {

// The part of `limit` that may be divided while `excess` is recovered.
double LimitDuringRecovery(double limit, double excess) {
  const double part = 1 - excess / (limit * TeamShareAllocator::kRecoverySeconds);
  return limit * std::clamp(part, TeamShareAllocator::kMinShare, 1.0);
}

// Divides the limit in proportion to demand when the demand exceeds it. Otherwise each entry
// may use all of the unused rest: an entry gets only a few requests per second, and a share
// without headroom would refuse normal fluctuations. When several entries use the rest at once,
// the excess is recovered.
double ShareByDemand(double limit, double excess, double wanted, double all_wanted) {
  if (limit <= 0) return 0;
  const double effective = LimitDuringRecovery(limit, excess);
  if (all_wanted <= effective) return wanted + effective - all_wanted;
  return effective * wanted / all_wanted;
}

}  // namespace

TeamRates TeamShareAllocator::Allocate(const NodeId& entry, const DemandReport& report,
                                       const TeamLimit& limit, Time now) {
  Team& team = teams_[report.team];
  const double seconds = team.at == Time{} ? 0 : static_cast<double>((now - team.at).count()) / 1e6;
  team.at = now;
  // An unused burst is kept as credit; otherwise normal fluctuations would count as excess.
  const auto updated_excess = [&](double excess, double admitted, double rate) {
    return std::max(-rate * limit.burst_seconds, excess + admitted - rate * seconds);
  };
  team.excess.requests =
      updated_excess(team.excess.requests, report.admitted.requests, limit.requests_per_second);
  team.excess.tokens =
      updated_excess(team.excess.tokens, report.admitted.tokens, limit.tokens_per_second);

  team.reporters[entry] = {report.wanted, now};
  std::erase_if(team.reporters,
                [now](const auto& reporter) { return now > reporter.second.at + kReportLifetime; });
  TeamRates all;
  for (const auto& [node, reporter] : team.reporters) {
    all.requests += reporter.wanted.requests;
    all.tokens += reporter.wanted.tokens;
  }
  return {
      ShareByDemand(limit.requests_per_second, team.excess.requests, report.wanted.requests,
                    all.requests),
      ShareByDemand(limit.tokens_per_second, team.excess.tokens, report.wanted.tokens, all.tokens)};
}

void TeamShareAllocator::EvictIdle(Time now) {
  std::erase_if(teams_, [now](const auto& entry) {
    return now > entry.second.at + TeamLimits::kIdleTimeout;
  });
}

}  // namespace figmill
