#include <algorithm>
#include <tuple>

#include "figmill/batch.h"

namespace figmill {
namespace {

// Tokens a team may spend at its turn; a few ordinary items.
constexpr std::uint64_t kQuantum = 2048;
// Items sent to an agent that hasn't said yet how much room it has.
constexpr std::uint32_t kFirstWindow = 4;
constexpr std::uint32_t kMaxWindow = 256;
constexpr Duration kFirstBackoff{250'000};
constexpr Duration kMaxBackoff{4'000'000};

// Heap order: the earliest due, then the lowest job and index, on top.
bool Later(const ReadyItem& a, const ReadyItem& b) {
  return std::tie(a.due, a.job, a.index) > std::tie(b.due, b.job, b.index);
}

bool Serves(const BatchAgent& agent, const ServiceName& service) {
  return std::find(agent.serves.begin(), agent.serves.end(), service) != agent.serves.end();
}

}  // namespace

void FillScheduler::SetAgents(std::span<const BatchAgent> agents) {
  for (Agent& known : agents_) known.present = false;
  for (const BatchAgent& seen : agents) {
    Agent* known = Find(seen.node);
    if (known == nullptr) known = &agents_.emplace_back();
    // A new incarnation has an empty queue and none of the old one's faults.
    if (known->about.incarnation != seen.incarnation || known->window == 0) {
      const std::uint32_t in_flight = known->in_flight;
      *known = Agent{};
      known->window = kFirstWindow;
      known->in_flight = in_flight;
    }
    known->about = seen;
    known->present = true;
  }
  std::erase_if(agents_, [](const Agent& a) { return !a.present && a.in_flight == 0; });
}

void FillScheduler::Add(ReadyItem item) {
  auto service = std::find_if(services_.begin(), services_.end(),
                              [&](const Service& s) { return s.name == item.service; });
  if (service == services_.end()) {
    service = services_.insert(services_.end(), Service{item.service, {}, 0});
  }
  auto queue = std::find_if(service->ring.begin(), service->ring.end(),
                            [&](const Queue& q) { return q.team == item.team; });
  if (queue == service->ring.end()) {
    queue = service->ring.insert(service->ring.end(), Queue{item.team, {}, 0});
  }
  queue->items.push_back(std::move(item));
  std::push_heap(queue->items.begin(), queue->items.end(), Later);
}

void FillScheduler::RemoveJob(const JobId& job) {
  for (Service& service : services_) {
    for (Queue& queue : service.ring) {
      std::erase_if(queue.items, [&](const ReadyItem& item) { return item.job == job; });
      std::make_heap(queue.items.begin(), queue.items.end(), Later);
    }
  }
}

std::size_t FillScheduler::ReadyOf(const TeamId& team) const {
  std::size_t ready = 0;
  for (const Service& service : services_) {
    for (const Queue& queue : service.ring) {
      if (queue.team == team && !queue.items.empty() && Served(service.name)) {
        ready += queue.items.size();
      }
    }
  }
  return ready;
}

std::size_t FillScheduler::StuckOf(const JobId& job) const {
  std::size_t stuck = 0;
  for (const Service& service : services_) {
    if (Served(service.name)) continue;
    for (const Queue& queue : service.ring) {
      stuck += static_cast<std::size_t>(std::count_if(queue.items.begin(), queue.items.end(),
                                                      [&](const auto& i) { return i.job == job; }));
    }
  }
  return stuck;
}

std::optional<Assignment> FillScheduler::Next(Time now) {
  for (std::size_t tried = 0; tried < services_.size(); ++tried) {
    next_service_ = (next_service_ + 1) % services_.size();
    if (auto assignment = NextOf(services_[next_service_], now)) return assignment;
  }
  return std::nullopt;
}

std::optional<Assignment> FillScheduler::NextOf(Service& service, Time now) {
  Queue* queue = NextQueue(service);
  if (queue == nullptr) return std::nullopt;
  Agent* agent = BestAgent(service.name, queue->items.front().avoid, now);
  if (agent == nullptr) return std::nullopt;
  std::pop_heap(queue->items.begin(), queue->items.end(), Later);
  Assignment assignment{std::move(queue->items.back()), agent->about.node,
                        agent->about.incarnation};
  queue->items.pop_back();
  queue->deficit -= std::min<std::uint64_t>(queue->deficit, assignment.item.cost);
  ++agent->in_flight;
  return assignment;
}

// The queue whose turn it is and whose first item its deficit covers.
FillScheduler::Queue* FillScheduler::NextQueue(Service& service) {
  std::erase_if(service.ring, [](const Queue& queue) { return queue.items.empty(); });
  if (service.ring.empty()) return nullptr;
  while (true) {
    service.turn %= service.ring.size();
    Queue& queue = service.ring[service.turn];
    if (queue.items.front().cost <= queue.deficit) return &queue;
    ++service.turn;
    Queue& next = service.ring[service.turn % service.ring.size()];
    next.deficit += kQuantum;
  }
}

// The agent with the most room left; one that failed the item last only when
// there is no other.
FillScheduler::Agent* FillScheduler::BestAgent(const ServiceName& service, const NodeId& avoid,
                                               Time now) {
  Agent* best = nullptr;
  const auto rank = [&](const Agent& agent) {
    return std::pair(agent.about.node != avoid, agent.window - agent.in_flight);
  };
  for (Agent& agent : agents_) {
    const bool open = agent.present && !agent.about.leaving && agent.in_flight < agent.window &&
                      agent.blocked_until <= now && Serves(agent.about, service);
    if (open && (best == nullptr || rank(agent) > rank(*best))) best = &agent;
  }
  return best;
}

FillScheduler::Agent* FillScheduler::Find(const NodeId& agent) {
  const auto found = std::find_if(agents_.begin(), agents_.end(),
                                  [&](const Agent& a) { return a.about.node == agent; });
  return found == agents_.end() ? nullptr : &*found;
}

bool FillScheduler::Served(const ServiceName& service) const {
  return std::any_of(agents_.begin(), agents_.end(), [&](const Agent& agent) {
    return agent.present && !agent.about.leaving && Serves(agent.about, service);
  });
}

// Other owners read the same figure, so each takes half of it: taking all of it
// makes the agent refuse, which shows as a count of `overloaded`.
void FillScheduler::OnRoom(const NodeId& agent, std::uint32_t room) {
  if (Agent* known = Find(agent)) {
    known->window = std::clamp(known->in_flight + (room + 1) / 2, 1U, kMaxWindow);
  }
}

void FillScheduler::OnEnded(const NodeId& agent) {
  Agent* known = Find(agent);
  if (known == nullptr || known->in_flight == 0) return;
  --known->in_flight;
  known->backoff = Duration{0};
}

void FillScheduler::OnRefused(const NodeId& agent, Duration retry_after, Time now) {
  Agent* known = Find(agent);
  if (known == nullptr || known->in_flight == 0) return;
  --known->in_flight;
  known->window = std::clamp(known->in_flight, 1U, kMaxWindow);
  known->blocked_until = std::max(known->blocked_until, now + retry_after);
}

// An agent that fails at once would otherwise always have room and draw every
// item to it; a rising pause leaves the items to the others.
void FillScheduler::OnFailed(const NodeId& agent, Time now) {
  Agent* known = Find(agent);
  if (known == nullptr || known->in_flight == 0) return;
  --known->in_flight;
  known->window = std::max(1U, known->window / 2);
  if (known->blocked_until > now) return;
  known->backoff = std::clamp(known->backoff * 2, kFirstBackoff, kMaxBackoff);
  known->blocked_until = now + known->backoff;
}

}  // namespace figmill
