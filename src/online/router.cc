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

double HopRequests(const DataCentre& from, const DataCentre& to) {
  if (from == to) return 0;
  return RegionOf(from) == RegionOf(to) ? Router::kHopRequests : Router::kRegionHopRequests;
}

bool IsDrained(const Config* config, const NodeId& node) {
  if (config == nullptr) return false;
  const auto found = config->backends.find(node);
  return found != config->backends.end() && found->second.drained;
}

// What the agent says it serves; by the configuration where it says nothing.
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

// The best by weight, with a few places kept for other data centres.
std::vector<NodeId> Subset(std::vector<Ranked> ranked) {
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.local != b.local ? a.local : a.weight > b.weight;
  });
  const auto first_far =
      std::find_if(ranked.begin(), ranked.end(), [](const Ranked& agent) { return !agent.local; });
  const auto local = static_cast<std::size_t>(first_far - ranked.begin());
  const std::size_t far = ranked.size() - local;
  const std::size_t take_far =
      std::min(far, Router::kSubset - std::min(local, Router::kLocalSubset));
  const std::size_t take_local = std::min(local, Router::kSubset - take_far);
  std::vector<NodeId> subset;
  subset.reserve(take_local + take_far);
  for (std::size_t i = 0; i < take_local; ++i) subset.push_back(std::move(ranked[i].node));
  for (std::size_t i = 0; i < take_far; ++i) subset.push_back(std::move(ranked[local + i].node));
  return subset;
}

// The same order at every entry, so that they fill the same agents first.
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
    const bool is_new = known == before.end() || agent.pick.incarnation != member.incarnation;
    if (is_new) agent = Agent{};
    // A new agent has cold caches and may have cold weights. At our own start
    // nothing is known of any, and all are taken for warm.
    if (is_new && started_) agent.ramp_from = now;
    agent.pick = Pick{member.node, member.http, member.incarnation};
    agent.hop_requests = HopRequests(here_, member.data_centre);
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
  // A suspect agent is most likely gone, yet better than nobody.
  for (auto& [service, ranked] : suspect) {
    if (!subsets_.contains(service)) subsets_[service] = Subset(std::move(ranked));
  }
  for (auto& [service, subset] : subsets_) SortByCommonOrder(service, subset);
  started_ = true;
}

// How much of a report still holds; 0 without one.
double Router::ReportWeight(const Agent& agent, Time now) {
  if (!agent.reported_at) return 0;
  const double age = static_cast<double>((now - *agent.reported_at).count());
  return std::max(0.0, 1 - age / static_cast<double>(kReportLife.count()));
}

// Requests of other entries at an agent that said nothing lately: as many as at
// the others. Taken for idle, an agent that is slow to answer would draw the
// load of every entry.
double Router::UsualOthers(std::span<const Candidate> candidates, Time now) {
  double sum = 0;
  double weights = 0;
  for (const Candidate& candidate : candidates) {
    const double weight = ReportWeight(*candidate.agent, now);
    sum += weight * candidate.agent->others_running;
    weights += weight;
  }
  return weights > 0 ? sum / weights : 0;
}

double Router::Cost(const Agent& agent, double tokens, double usual_others, Time now) const {
  const double weight = ReportWeight(agent, now);
  const double others = weight * agent.others_running + (1 - weight) * usual_others;
  return (agent.own_tokens + others * mean_tokens_ + tokens) / SlowStartShare(agent, now);
}

// Of a warm agent's load, what a new one may have.
double Router::SlowStartShare(const Agent& agent, Time now) {
  if (!agent.ramp_from || now >= *agent.ramp_from + kSlowStart) return 1;
  constexpr double kFirstShare = 0.1;
  const Duration since = now - *agent.ramp_from;
  return std::max(kFirstShare,
                  static_cast<double>(since.count()) / static_cast<double>(kSlowStart.count()));
}

// Candidates that weren't tried, with ejected and busy ones left out. At most
// half are left out as ejected, those that come back last: when most of them
// fail, the fault is likely elsewhere, and the rest must not take all the load.
void Router::Choosable(const RouteQuery& query, Time now, std::vector<Candidate>& out) {
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
  KeepTogether(query.service, now, out);
  const double usual_others = UsualOthers(out, now);
  for (Candidate& candidate : out) {
    candidate.cost = Cost(*candidate.agent, query.tokens, usual_others, now);
  }
}

// Leaves the fewest near agents that hold the service's online streams within
// their marks, in the order that all entries share. Spread over all engines, a
// little online everywhere would leave hardly any engine free for batch, as beside
// online batch may stretch the token gap by a small share only. When the near
// agents are full, all stay in. Plain services run no batch and stay spread.
void Router::KeepTogether(const ServiceName& service, Time now, std::vector<Candidate>& out) const {
  if (!IsModel(config_.get(), service)) return;
  const auto far = std::partition(out.begin(), out.end(), [](const Candidate& candidate) {
    return candidate.agent->hop_requests == 0;
  });
  std::sort(out.begin(), far,
            [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
  double running = 1;
  for (auto candidate = out.begin(); candidate != far; ++candidate) {
    const Agent& agent = *candidate->agent;
    // An agent outside the fewest gets nothing from any entry, so that an old
    // report of it rightly fades to none.
    running += agent.own_running + ReportWeight(agent, now) * agent.others_running;
  }
  double room = 0;
  auto end = out.begin();
  for (; end != far && room < running; ++end) {
    room += end->agent->online_mark * SlowStartShare(*end->agent, now);
  }
  if (room >= running) out.erase(end, out.end());
}

// The prefix's owner, or the next by rendezvous hash that isn't loaded far over
// the mean. Null when all are.
const Router::Candidate* Router::Owner(const RouteQuery& query,
                                       std::span<const Candidate> candidates) const {
  double total = 0;
  double own_total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.cost - query.tokens;
    own_total += candidate.agent->own_tokens;
  }
  const double n = static_cast<double>(candidates.size());
  const double slack = kSlackRequests * mean_tokens_;
  const double bound = std::max(kBoundedLoad * total / n, slack) + query.tokens;
  // Own requests that stay out are the first sign of a slow agent, whose reports
  // come late: all entries together must not pile up there.
  const double own_bound = kBoundedLoad * own_total / n + kOwnSlackRequests * mean_tokens_;
  const Candidate* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const Candidate& candidate : candidates) {
    // Another region's cache isn't worth the way there.
    const bool near = candidate.agent->hop_requests <= kHopRequests;
    const bool over = candidate.cost > bound || candidate.agent->own_tokens > own_bound;
    if (!near || over) continue;
    const std::uint64_t weight = RendezvousWeight(query.prefix, candidate.agent->pick.node.value);
    if (best != nullptr && weight <= best_weight) continue;
    best = &candidate;
    best_weight = weight;
  }
  return best;
}

// Two choices: one near, if there is any, and one out of all; the cheaper wins,
// with the hop priced in.
const Router::Candidate& Router::BetterOfTwo(std::span<const Candidate> candidates) {
  std::size_t near_count = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.agent->hop_requests == 0) ++near_count;
  }
  const auto random_index = [&](std::size_t n) { return static_cast<std::size_t>(random_() % n); };
  std::size_t first = random_index(candidates.size());
  if (near_count > 0) {
    std::size_t skip = random_index(near_count);
    for (first = 0; candidates[first].agent->hop_requests != 0 || skip-- > 0;) ++first;
  }
  if (candidates.size() == 1) return candidates[0];
  std::size_t second = random_index(candidates.size() - 1);
  if (second >= first) ++second;
  const auto price = [&](const Candidate& candidate) {
    return candidate.cost + candidate.agent->hop_requests * mean_tokens_;
  };
  return price(candidates[second]) < price(candidates[first]) ? candidates[second]
                                                              : candidates[first];
}

Result<Pick> Router::Choose(const RouteQuery& query, Time now) {
  Choosable(query, now, scratch_);
  if (scratch_.empty()) {
    return Error{ErrorKind::kNoBackend,
                 "no backend server serves '" + query.service.value + "' now"};
  }
  if (!query.prefix.empty()) {
    const Candidate* owner = Owner(query, scratch_);
    if (owner != nullptr) return owner->agent->pick;
  }
  return BetterOfTwo(scratch_).agent->pick;
}

std::optional<Pick> Router::Find(const NodeId& node) const {
  const auto found = agents_.find(node);
  if (found == agents_.end()) return std::nullopt;
  return found->second.pick;
}

void Router::Dispatched(const NodeId& node, double tokens) {
  constexpr double kWeight = 0.01;
  mean_tokens_ += kWeight * (tokens - mean_tokens_);
  const auto found = agents_.find(node);
  if (found == agents_.end()) return;
  found->second.own_tokens += tokens;
  ++found->second.own_running;
}

void Router::HeadSeen(const NodeId& node, const AgentLoad& load, Time now) {
  const auto found = agents_.find(node);
  if (found == agents_.end()) return;
  Agent& agent = found->second;
  agent.others_running =
      std::max(0.0, static_cast<double>(load.online_running) - agent.own_running);
  agent.online_mark = load.online_mark;
  agent.reported_at = now;
}

void Router::Ended(const NodeId& node, double tokens, AttemptEnd end,
                   const std::optional<Error>& error, Time now) {
  const auto found = agents_.find(node);
  if (found == agents_.end()) return;
  Agent& agent = found->second;
  // A restarted agent's counts began anew: what ends late must not undercut them.
  agent.own_tokens = std::max(0.0, agent.own_tokens - tokens);
  if (agent.own_running > 0) --agent.own_running;
  switch (end) {
    case AttemptEnd::kAnswered:
      agent.failures = 0;
      agent.ejections = 0;
      break;
    case AttemptEnd::kRefused: {
      constexpr Duration kShortest{100'000};
      constexpr Duration kLongest{1'000'000};
      // Other refusals are about the request.
      const bool about_agent =
          error && (error->kind == ErrorKind::kOverloaded || error->kind == ErrorKind::kLeaving ||
                    error->kind == ErrorKind::kStaleOrders);
      if (!about_agent) break;
      const Duration busy = error->retry_after.value_or(kShortest);
      agent.busy_until = now + std::clamp(busy, kShortest, kLongest);
      break;
    }
    case AttemptEnd::kFailed:
      Fail(agent, now);
      break;
    case AttemptEnd::kAbandoned:
      break;
  }
}

void Router::Fail(Agent& agent, Time now) {
  if (++agent.failures < kFailuresToEject || agent.ejected_until > now) return;
  constexpr int kMostDoublings = 4;
  const Duration length = kFirstEjection * (1 << std::min(agent.ejections, kMostDoublings));
  agent.ejected_until = now + std::min(length, kLongestEjection);
  // It comes back slowly; its next failure, not its third, ejects it again.
  agent.ramp_from = agent.ejected_until;
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
