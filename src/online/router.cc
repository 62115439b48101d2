#include <algorithm>
#include <cmath>
#include <utility>

#include "figmill/online.h"

namespace figmill {
namespace {

std::string_view RegionOf(const DataCentre& data_centre) {
  const std::string_view name = data_centre.value;
  const std::size_t slash = name.find('/');
  return slash == std::string_view::npos ? std::string_view{} : name.substr(0, slash);
}

double DistanceCostRequests(const DataCentre& from, const DataCentre& to) {
  if (from == to) return 0;
  return RegionOf(from) == RegionOf(to) ? Router::kDataCentreCostRequests
                                        : Router::kRegionCostRequests;
}

bool IsDrained(const Config* config, const NodeId& node) {
  if (config == nullptr) return false;
  const auto found = config->backends.find(node);
  return found != config->backends.end() && found->second.drained;
}

// The services that the agent reports; if it reports none, those of the configuration.
std::span<const ServiceName> ServicesOf(const Config* config, const Member& member) {
  if (!member.serves.empty() || config == nullptr) return member.serves;
  const auto found = config->backends.find(member.node);
  if (found == config->backends.end()) return {};
  return found->second.serves;
}

struct Ranked {
  NodeId node;
  bool local = false;
  std::uint64_t weight = 0;
};

// The agents with the highest weights, with some slots reserved for other data centres.
std::vector<NodeId> Subset(std::vector<Ranked> ranked) {
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.local != b.local ? a.local : a.weight > b.weight;
  });
  const auto first_far =
      std::find_if(ranked.begin(), ranked.end(), [](const Ranked& agent) { return !agent.local; });
  const auto local = static_cast<std::size_t>(first_far - ranked.begin());
  const std::size_t far = ranked.size() - local;
  const std::size_t take_far =
      std::min(far, Router::kSubsetSize - std::min(local, Router::kLocalSubsetSize));
  const std::size_t take_local = std::min(local, Router::kSubsetSize - take_far);
  std::vector<NodeId> subset;
  subset.reserve(take_local + take_far);
  for (std::size_t i = 0; i < take_local; ++i) subset.push_back(std::move(ranked[i].node));
  for (std::size_t i = 0; i < take_far; ++i) subset.push_back(std::move(ranked[local + i].node));
  return subset;
}

// Sorts in an order that is the same at every entry, so that all entries fill the same agents
// first.
void SortByCommonOrder(const ServiceName& service, std::vector<NodeId>& nodes) {
  std::sort(nodes.begin(), nodes.end(), [&](const NodeId& a, const NodeId& b) {
    return RendezvousWeight(service.value, a.value) > RendezvousWeight(service.value, b.value);
  });
}

bool IsModel(const Config* config, const ServiceName& service) {
  if (config == nullptr) return false;
  const auto found = config->services.find(service);
  return found != config->services.end() && found->second.kind == ServiceKind::kModel;
}

}  // namespace

Router::Router(NodeId self, DataCentre here, RandomBits random)
    : self_(std::move(self)), here_(std::move(here)), random_(std::move(random)) {}

void Router::Update(const RoutingSnapshot& snapshot, Time now) {
  config_ = snapshot.config;
  const Config* config = config_.get();
  std::unordered_map<NodeId, Agent> before = std::exchange(agents_, {});
  std::unordered_map<ServiceName, std::vector<Ranked>> alive;
  std::unordered_map<ServiceName, std::vector<Ranked>> suspect;
  for (const Member& member : snapshot.members) {
    if (member.role != Role::kAgent || member.leaving || member.liveness == Liveness::kDead ||
        IsDrained(config, member.node)) {
      continue;
    }
    const auto known = before.find(member.node);
    Agent agent;
    if (known != before.end()) agent = std::move(known->second);
    const bool is_new = known == before.end() || agent.endpoint.incarnation != member.incarnation;
    if (is_new) agent = Agent{};
    // A new agent has cold caches and may have to load weights. When this entry starts, it has
    // no information about any agent and treats all of them as warm.
    if (is_new && updated_once_) agent.slow_start_began_at = now;
    agent.endpoint = NodeEndpoint{member.node, member.http, member.incarnation};
    agent.distance_cost_requests = DistanceCostRequests(here_, member.data_centre);
    agent.suspect = member.liveness == Liveness::kSuspect;
    const Ranked ranked{member.node, member.data_centre == here_,
                        RendezvousWeight(self_.value, member.node.value)};
    for (const ServiceName& service : ServicesOf(config, member)) {
      (agent.suspect ? suspect : alive)[service].push_back(ranked);
    }
    agents_.insert_or_assign(member.node, std::move(agent));
  }
  subsets_.clear();
  for (auto& [service, ranked] : alive) subsets_[service] = Subset(std::move(ranked));
  // A suspect agent has most likely failed, but is used when there is no other.
  for (auto& [service, ranked] : suspect) {
    if (!subsets_.contains(service)) subsets_[service] = Subset(std::move(ranked));
  }
  for (auto& [service, subset] : subsets_) SortByCommonOrder(service, subset);
  updated_once_ = true;
}

// Weight of the agent's last load report by its age; 0 without a report.
double Router::ReportWeight(const Agent& agent, Time now) {
  if (!agent.reported_at) return 0;
  const double age = static_cast<double>((now - *agent.reported_at).count());
  return std::max(0.0, 1 - age / static_cast<double>(kReportLifetime.count()));
}

// Estimate of other entries' requests at an agent without a recent report: the weighted mean of
// the agents with reports. If such an agent were assumed to be idle, a slow agent would attract
// the load of every entry.
double Router::MeanOthersRunning(std::span<const Candidate> candidates, Time now) {
  double sum = 0;
  double weights = 0;
  for (const Candidate& candidate : candidates) {
    const double weight = ReportWeight(*candidate.agent, now);
    sum += weight * candidate.agent->others_running;
    weights += weight;
  }
  return weights > 0 ? sum / weights : 0;
}

double Router::Cost(const Agent& agent, double tokens, double mean_others_running, Time now) const {
  const double weight = ReportWeight(agent, now);
  const double others = weight * agent.others_running + (1 - weight) * mean_others_running;
  return (agent.own_tokens + others * mean_tokens_ + tokens) / SlowStartShare(agent, now);
}

// Fraction of a warm agent's load that the agent may take during its slow start.
double Router::SlowStartShare(const Agent& agent, Time now) {
  if (!agent.slow_start_began_at || now >= *agent.slow_start_began_at + kSlowStart) return 1;
  constexpr double kMinShare = 0.1;
  const Duration since = now - *agent.slow_start_began_at;
  return std::max(kMinShare,
                  static_cast<double>(since.count()) / static_cast<double>(kSlowStart.count()));
}

// Collects the candidates that were not tried, without ejected and busy ones. At most half are
// excluded as ejected, those whose ejection ends last: when most of them fail, the cause is
// probably elsewhere, and the remaining agents must not take all the load.
void Router::CollectCandidates(const RouteQuery& query, Time now, std::vector<Candidate>& out) {
  out.clear();
  const auto subset = subsets_.find(query.service);
  if (subset == subsets_.end()) return;
  for (const NodeId& node : subset->second) {
    if (std::find(query.tried.begin(), query.tried.end(), node) != query.tried.end()) continue;
    const auto agent = agents_.find(node);
    if (agent != agents_.end()) out.push_back({&agent->second, 0, out.size()});
  }
  const auto ejected = std::partition(out.begin(), out.end(), [&](const Candidate& candidate) {
    return candidate.agent->ejected_until <= now;
  });
  std::sort(ejected, out.end(), [](const Candidate& a, const Candidate& b) {
    return a.agent->ejected_until < b.agent->ejected_until;
  });
  const auto fit = static_cast<std::size_t>(ejected - out.begin());
  out.resize(std::max(fit, (out.size() + 1) / 2));
  const auto busy = std::partition(out.begin(), out.end(), [&](const Candidate& candidate) {
    return candidate.agent->busy_until <= now;
  });
  if (busy != out.begin()) out.erase(busy, out.end());
  ConsolidateOnlineStreams(query.service, now, out);
  const double mean_others_running = MeanOthersRunning(out, now);
  for (Candidate& candidate : out) {
    candidate.cost = Cost(*candidate.agent, query.tokens, mean_others_running, now);
  }
}

// Reduces the local candidates to the fewest that hold the service's online streams within
// their online marks, in the order that all entries share. If the streams were spread over all
// engines, nearly every engine would have a few, and hardly any would be free for batch, since
// batch work beside online streams may increase the token gap only by a small fraction. When
// the local agents are full, all candidates stay. Services without a model run no batch work
// and stay spread.
void Router::ConsolidateOnlineStreams(const ServiceName& service, Time now,
                                      std::vector<Candidate>& out) const {
  if (!IsModel(config_.get(), service)) return;
  const auto far = std::partition(out.begin(), out.end(), [](const Candidate& candidate) {
    return candidate.agent->distance_cost_requests == 0;
  });
  std::sort(out.begin(), far,
            [](const Candidate& a, const Candidate& b) { return a.common_order < b.common_order; });
  double running = 1;
  for (auto candidate = out.begin(); candidate != far; ++candidate) {
    const Agent& agent = *candidate->agent;
    // An agent outside this set gets no requests from any entry, so that the weight of its last
    // report correctly decays to 0.
    running += agent.own_running + ReportWeight(agent, now) * agent.others_running;
  }
  double capacity = 0;
  auto end = out.begin();
  for (; end != far && capacity < running; ++end) {
    capacity += end->agent->online_mark * SlowStartShare(*end->agent, now);
  }
  if (capacity >= running) out.erase(end, out.end());
}

// The prefix's owner, or the next agent by rendezvous hash whose load is not far above the
// mean. Null when there is none.
const Router::Candidate* Router::PrefixOwner(const RouteQuery& query,
                                             std::span<const Candidate> candidates) const {
  double total = 0;
  double own_total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.cost - query.tokens;
    own_total += candidate.agent->own_tokens;
  }
  const double n = static_cast<double>(candidates.size());
  const double slack = kPrefixOwnerSlackRequests * mean_tokens_;
  const double bound = std::max(kBoundedLoad * total / n, slack) + query.tokens;
  // A growing number of this entry's own open requests is the first sign of a slow agent, whose
  // load reports arrive late: the entries together must not overload it.
  const double own_bound = kBoundedLoad * own_total / n + kEntrySlackRequests * mean_tokens_;
  const Candidate* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const Candidate& candidate : candidates) {
    // A cache hit in another region doesn't outweigh the network latency.
    const bool near = candidate.agent->distance_cost_requests <= kDataCentreCostRequests;
    const bool over = candidate.cost > bound || candidate.agent->own_tokens > own_bound;
    if (!near || over) continue;
    const std::uint64_t weight =
        RendezvousWeight(query.prefix, candidate.agent->endpoint.node.value);
    if (best != nullptr && weight <= best_weight) continue;
    best = &candidate;
    best_weight = weight;
  }
  return best;
}

// Power of two choices: one random local candidate, if there is any, and one random candidate
// of all; the one with the lower cost including the distance wins.
const Router::Candidate& Router::PowerOfTwoChoices(std::span<const Candidate> candidates) {
  std::size_t near_count = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.agent->distance_cost_requests == 0) ++near_count;
  }
  const auto random_index = [&](std::size_t n) { return static_cast<std::size_t>(random_() % n); };
  std::size_t first = random_index(candidates.size());
  if (near_count > 0) {
    std::size_t skip = random_index(near_count);
    for (first = 0; candidates[first].agent->distance_cost_requests != 0 || skip-- > 0;) ++first;
  }
  if (candidates.size() == 1) return candidates[0];
  std::size_t second = random_index(candidates.size() - 1);
  if (second >= first) ++second;
  const auto price = [&](const Candidate& candidate) {
    return candidate.cost + candidate.agent->distance_cost_requests * mean_tokens_;
  };
  return price(candidates[second]) < price(candidates[first]) ? candidates[second]
                                                              : candidates[first];
}

Result<NodeEndpoint> Router::Choose(const RouteQuery& query, Time now) {
  CollectCandidates(query, now, candidates_);
  if (candidates_.empty()) {
    return Error{ErrorKind::kNoBackend,
                 "no backend server of service '" + query.service.value + "' is available"};
  }
  if (!query.prefix.empty()) {
    const Candidate* owner = PrefixOwner(query, candidates_);
    if (owner != nullptr) return owner->agent->endpoint;
  }
  return PowerOfTwoChoices(candidates_).agent->endpoint;
}

std::optional<NodeEndpoint> Router::Find(const NodeId& node) const {
  const auto found = agents_.find(node);
  if (found == agents_.end()) return std::nullopt;
  return found->second.endpoint;
}

void Router::RecordDispatch(const NodeId& node, double tokens) {
  constexpr double kWeight = 0.01;
  mean_tokens_ += kWeight * (tokens - mean_tokens_);
  const auto found = agents_.find(node);
  if (found == agents_.end()) return;
  found->second.own_tokens += tokens;
  ++found->second.own_running;
}

void Router::RecordLoad(const NodeId& node, const AgentLoad& load, Time now) {
  const auto found = agents_.find(node);
  if (found == agents_.end()) return;
  Agent& agent = found->second;
  agent.others_running =
      std::max(0.0, static_cast<double>(load.online_running) - agent.own_running);
  agent.online_mark = load.online_mark;
  agent.reported_at = now;
}

void Router::RecordAttemptEnd(const NodeId& node, double tokens, AttemptEnd end,
                              const std::optional<Error>& error, Time now) {
  const auto found = agents_.find(node);
  if (found == agents_.end()) return;
  Agent& agent = found->second;
  // The counts of a restarted agent started again from 0: attempts that end late must not make
  // them negative.
  agent.own_tokens = std::max(0.0, agent.own_tokens - tokens);
  if (agent.own_running > 0) --agent.own_running;
  switch (end) {
    case AttemptEnd::kAnswered:
      agent.failures = 0;
      agent.ejections = 0;
      break;
    case AttemptEnd::kRefused: {
      constexpr Duration kMinBusy{100'000};
      constexpr Duration kMaxBusy{1'000'000};
      // Other refusals concern the request, not the agent.
      const bool about_agent =
          error && (error->kind == ErrorKind::kOverloaded || error->kind == ErrorKind::kLeaving ||
                    error->kind == ErrorKind::kStaleOrders);
      if (!about_agent) break;
      const Duration busy = error->retry_after.value_or(kMinBusy);
      agent.busy_until = now + std::clamp(busy, kMinBusy, kMaxBusy);
      break;
    }
    case AttemptEnd::kFailed:
      RecordFailure(agent, now);
      break;
    case AttemptEnd::kAbandoned:
      break;
  }
}

void Router::RecordFailure(Agent& agent, Time now) {
  if (++agent.failures < kFailuresToEject || agent.ejected_until > now) return;
  constexpr int kMaxDoublings = 4;
  const Duration length = kFirstEjection * (1 << std::min(agent.ejections, kMaxDoublings));
  agent.ejected_until = now + std::min(length, kMaxEjection);
  // After the ejection the agent goes through a slow start, and a single further failure,
  // instead of three, ejects it again.
  agent.slow_start_began_at = agent.ejected_until;
  agent.failures = kFailuresToEject - 1;
  ++agent.ejections;
}

std::size_t Router::candidates(const ServiceName& service) const {
  const auto found = subsets_.find(service);
  return found == subsets_.end() ? 0 : found->second.size();
}

std::size_t Router::ejected(Time now) const {
  return static_cast<std::size_t>(
      std::count_if(agents_.begin(), agents_.end(),
                    [now](const auto& entry) { return entry.second.ejected_until > now; }));
}

}  // namespace figmill
