#include <algorithm>

#include "figmill/online.h"

namespace figmill {
namespace {

// What is left of `limit` while `excess` is taken back.
double Effective(double limit, double excess) {
  const double part = 1 - excess / (limit * TeamShares::kPaybackSeconds);
  return limit * std::clamp(part, TeamShares::kLeastShare, 1.0);
}

// By demand, where that passes the limit. Else each may use all the headroom: an
// entry sees a few requests a second, and their noise would be refused. When
// several use it at once, the excess is taken back.
double Split(double limit, double excess, double wanted, double all_wanted) {
  if (limit <= 0) return 0;
  const double effective = Effective(limit, excess);
  if (all_wanted <= effective) return wanted + effective - all_wanted;
  return effective * wanted / all_wanted;
}

}  // namespace

TeamRates TeamShares::Report(const NodeId& entry, const ShareReport& report, const TeamLimit& limit,
                             Time now) {
  Team& team = teams_[report.team];
  const double seconds = team.at == Time{} ? 0 : static_cast<double>((now - team.at).count()) / 1e6;
  team.at = now;
  // The burst that wasn't used is kept as credit, else mere noise would count as
  // excess.
  const auto account = [&](double excess, double admitted, double rate) {
    return std::max(-rate * limit.burst_seconds, excess + admitted - rate * seconds);
  };
  team.excess.requests =
      account(team.excess.requests, report.admitted.requests, limit.requests_per_second);
  team.excess.tokens = account(team.excess.tokens, report.admitted.tokens, limit.tokens_per_second);

  team.reporters[entry] = {report.wanted, now};
  std::erase_if(team.reporters,
                [now](const auto& reporter) { return now > reporter.second.at + kReportLife; });
  TeamRates all;
  for (const auto& [node, reporter] : team.reporters) {
    all.requests += reporter.wanted.requests;
    all.tokens += reporter.wanted.tokens;
  }
  return {
      Split(limit.requests_per_second, team.excess.requests, report.wanted.requests, all.requests),
      Split(limit.tokens_per_second, team.excess.tokens, report.wanted.tokens, all.tokens)};
}

void TeamShares::Forget(Time now) {
  std::erase_if(teams_, [now](const auto& entry) {
    return now > entry.second.at + TeamLimits::kForgetAfter;
  });
}

}  // namespace figmill
