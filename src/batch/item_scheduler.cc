#include <algorithm>
#include <limits>
#include <tuple>

#include "figmill/batch.h"

namespace figmill {
namespace {

// Tokens added to a team's deficit at its turn; enough for a few ordinary items.
constexpr std::uint64_t kQuantum = 2048;
// Items sent to an agent before it has reported its free slots.
constexpr std::uint32_t kInitialWindow = 4;
constexpr std::uint32_t kMaxWindow = 256;
constexpr Duration kInitialBackoff{250'000};
constexpr Duration kMaxBackoff{4'000'000};

// Heap order: earliest due time on top, then lowest job id and index.
bool IsDueLater(const ReadyItem& a, const ReadyItem& b) {
  return std::tie(a.due, a.job, a.index) > std::tie(b.due, b.job, b.index);
}

bool Serves(const BatchAgent& agent, const ServiceName& service) {
  return std::find(agent.serves.begin(), agent.serves.end(), service) != agent.serves.end();
}

}  // namespace

void ItemScheduler::SetAgents(std::span<const BatchAgent> agents) {
  for (Agent& known : agents_) known.present = false;
  for (const BatchAgent& seen : agents) {
    Agent* known = Find(seen.node);
    if (known == nullptr) known = &agents_.emplace_back();
    // A new incarnation starts with an empty queue and without the old backoff.
    if (known->info.incarnation != seen.incarnation || known->window == 0) {
      const std::uint32_t in_flight = known->in_flight;
      *known = Agent{};
      known->window = kInitialWindow;
      known->in_flight = in_flight;
    }
    known->info = seen;
    known->present = true;
  }
  std::erase_if(agents_, [](const Agent& a) { return !a.present && a.in_flight == 0; });
}

void ItemScheduler::Add(ReadyItem item) {
  auto service = std::find_if(services_.begin(), services_.end(),
                              [&](const Service& s) { return s.name == item.service; });
  if (service == services_.end()) {
    service = services_.insert(services_.end(), Service{item.service, {}, 0});
  }
  auto queue = std::find_if(service->queues.begin(), service->queues.end(),
                            [&](const Queue& q) { return q.team == item.team; });
  if (queue == service->queues.end()) {
    queue = service->queues.insert(service->queues.end(), Queue{item.team, {}, 0});
  }
  queue->items.push_back(std::move(item));
  std::push_heap(queue->items.begin(), queue->items.end(), IsDueLater);
}

void ItemScheduler::RemoveJob(const JobId& job) {
  RemoveItems(job, 0, std::numeric_limits<std::uint32_t>::max());
}

void ItemScheduler::RemoveItems(const JobId& job, std::uint32_t first, std::uint32_t count) {
  const auto removed = [&](const ReadyItem& item) {
    return item.job == job && item.index >= first && item.index - first < count;
  };
  for (Service& service : services_) {
    for (Queue& queue : service.queues) {
      std::erase_if(queue.items, removed);
      std::make_heap(queue.items.begin(), queue.items.end(), IsDueLater);
    }
  }
}

std::size_t ItemScheduler::ReadyOf(const TeamId& team) const {
  std::size_t ready = 0;
  for (const Service& service : services_) {
    for (const Queue& queue : service.queues) {
      if (queue.team == team && !queue.items.empty() && IsServed(service.name)) {
        ready += queue.items.size();
      }
    }
  }
  return ready;
}

std::size_t ItemScheduler::UnservedOf(const JobId& job) const {
  std::size_t unserved = 0;
  for (const Service& service : services_) {
    if (IsServed(service.name)) continue;
    for (const Queue& queue : service.queues) {
      unserved += static_cast<std::size_t>(std::count_if(
          queue.items.begin(), queue.items.end(), [&](const auto& i) { return i.job == job; }));
    }
  }
  return unserved;
}

std::optional<Assignment> ItemScheduler::Next(Time now) {
  for (std::size_t tried = 0; tried < services_.size(); ++tried) {
    next_service_ = (next_service_ + 1) % services_.size();
    if (auto assignment = NextForService(services_[next_service_], now)) return assignment;
  }
  return std::nullopt;
}

std::optional<Assignment> ItemScheduler::NextForService(Service& service, Time now) {
  Queue* queue = NextQueue(service);
  if (queue == nullptr) return std::nullopt;
  Agent* agent = BestAgent(service.name, queue->items.front().avoid, now);
  if (agent == nullptr) return std::nullopt;
  std::pop_heap(queue->items.begin(), queue->items.end(), IsDueLater);
  Assignment assignment{std::move(queue->items.back()), agent->info.node, agent->info.incarnation};
  queue->items.pop_back();
  queue->deficit -= std::min<std::uint64_t>(queue->deficit, assignment.item.cost);
  ++agent->in_flight;
  return assignment;
}

// The next queue in round-robin order whose deficit covers its first item.
ItemScheduler::Queue* ItemScheduler::NextQueue(Service& service) {
  std::erase_if(service.queues, [](const Queue& queue) { return queue.items.empty(); });
  if (service.queues.empty()) return nullptr;
  while (true) {
    service.next_queue %= service.queues.size();
    Queue& queue = service.queues[service.next_queue];
    if (queue.items.front().cost <= queue.deficit) return &queue;
    ++service.next_queue;
    Queue& next = service.queues[service.next_queue % service.queues.size()];
    next.deficit += kQuantum;
  }
}

// The available agent with the most free slots. The agent `avoid` is used only when
// there is no other.
ItemScheduler::Agent* ItemScheduler::BestAgent(const ServiceName& service, const NodeId& avoid,
                                               Time now) {
  Agent* best = nullptr;
  const auto rank = [&](const Agent& agent) {
    return std::pair(agent.info.node != avoid, agent.window - agent.in_flight);
  };
  for (Agent& agent : agents_) {
    const bool available = agent.present && !agent.info.leaving && agent.in_flight < agent.window &&
                           agent.blocked_until <= now && Serves(agent.info, service);
    if (available && (best == nullptr || rank(agent) > rank(*best))) best = &agent;
  }
  return best;
}

ItemScheduler::Agent* ItemScheduler::Find(const NodeId& agent) {
  const auto found = std::find_if(agents_.begin(), agents_.end(),
                                  [&](const Agent& a) { return a.info.node == agent; });
  return found == agents_.end() ? nullptr : &*found;
}

bool ItemScheduler::IsServed(const ServiceName& service) const {
  return std::any_of(agents_.begin(), agents_.end(), [&](const Agent& agent) {
    return agent.present && !agent.info.leaving && Serves(agent.info, service);
  });
}

// Other owners see the same number of free slots, so each uses half of it: if each
// used all of it, the agent would refuse items, which shows as `overloaded` refusals.
void ItemScheduler::OnFreeSlots(const NodeId& agent, std::uint32_t free_slots) {
  if (Agent* known = Find(agent)) {
    known->window = std::clamp(known->in_flight + (free_slots + 1) / 2, 1U, kMaxWindow);
  }
}

void ItemScheduler::OnEnded(const NodeId& agent) {
  Agent* known = Find(agent);
  if (known == nullptr || known->in_flight == 0) return;
  --known->in_flight;
  known->backoff = Duration{0};
}

void ItemScheduler::OnRefused(const NodeId& agent, Duration retry_after, Time now) {
  Agent* known = Find(agent);
  if (known == nullptr || known->in_flight == 0) return;
  --known->in_flight;
  known->window = std::clamp(known->in_flight, 1U, kMaxWindow);
  known->blocked_until = std::max(known->blocked_until, now + retry_after);
}

// An agent that fails items immediately would otherwise always have free slots and
// attract every item. Exponential backoff leaves the items to other agents.
void ItemScheduler::OnFailed(const NodeId& agent, Time now) {
  Agent* known = Find(agent);
  if (known == nullptr || known->in_flight == 0) return;
  --known->in_flight;
  known->window = std::max(1U, known->window / 2);
  if (known->blocked_until > now) return;
  known->backoff = std::clamp(known->backoff * 2, kInitialBackoff, kMaxBackoff);
  known->blocked_until = now + known->backoff;
}

}  // namespace figmill
