// Ways to divide a team's quota among entries, on the same loads and seeds, in simulated time.

#include <fmt/format.h>

#include <string>

#include "test/quota-policies.h"
#include "test/quota-sim.h"

namespace figmill::sim {
namespace {

struct Row {
  std::string name;
  QuotaLoad load;
};

std::vector<Row> RowsFor(int entries, double rate) {
  QuotaLoad calm;
  calm.entries = entries;
  calm.rate = calm.burst = rate;
  calm.offered = 0.6 * rate;
  QuotaLoad skewed = calm;
  skewed.weights = Skewed(entries);
  QuotaLoad one = calm;
  one.weights = AllAtOne(entries);
  QuotaLoad over = calm;
  over.offered = 10 * rate;
  std::vector<Row> rows{
      {"even", calm}, {"skewed", skewed}, {"all at one", one}, {"ten times", over}};
  const std::pair<const char*, QuotaLoad::Fault> faults[] = {
      {"owner killed", QuotaLoad::Fault::kOwnerKilled},
      {"owner frozen", QuotaLoad::Fault::kOwnerStopped},
      {"owner cut off", QuotaLoad::Fault::kOwnerCut},
      {"one in six cut off", QuotaLoad::Fault::kSomeCut},
      {"all restarted", QuotaLoad::Fault::kAllRestarted}};
  for (const auto& [name, fault] : faults) {
    QuotaLoad load = over;
    load.fault = fault;
    rows.push_back({name, load});
  }
  return rows;
}

template <typename Policy>
void Print(const char* policy, const Row& row) {
  constexpr unsigned kSeeds = 3;
  QuotaResult worst;
  double admitted = 0;
  double messages = 0;
  double median = 0;
  double p99 = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    QuotaLoad load = row.load;
    load.seed = seed;
    const QuotaResult result = SimulateQuota<Policy>(load);
    worst.worst_window = std::max(worst.worst_window, result.worst_window);
    admitted += result.admitted / kSeeds;
    messages += result.messages / kSeeds;
    median += result.median_ms / kSeeds;
    p99 += result.p99_ms / kSeeds;
  }
  fmt::print("{:>7} {:>5} {:<19} {:<8} {:>6.2f} {:>8.2f} {:>8.2f} {:>7.1f} {:>8.2f}\n",
             row.load.entries, row.load.rate, row.name, policy, worst.worst_window, admitted,
             median, p99, messages);
}

void Run() {
  fmt::print("{:>7} {:>5} {:<19} {:<8} {:>6} {:>8} {:>8} {:>7} {:>8}\n", "entries", "rate", "load",
             "way", "window", "admitted", "p50 ms", "p99 ms", "messages");
  for (const int entries : {30, 100, 300}) {
    for (const double rate : {2.0, 40.0, 400.0}) {
      for (const Row& row : RowsFor(entries, rate)) {
        Print<EqualShares>("equal", row);
        Print<DemandShares>("demand", row);
        Print<Credits>("credits", row);
      }
    }
  }
}

}  // namespace
}  // namespace figmill::sim

int main() {
  figmill::sim::Run();
  return 0;
}
