// Order of the online requests that wait for a slot.

#include <algorithm>
#include <span>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {
namespace {

bool IsServedBefore(const SlotRequestQueue::Entry& a, const SlotRequestQueue::Entry& b, Time now) {
  if (a.serve_by || b.serve_by)
    return a.serve_by.value_or(Time::max()) < b.serve_by.value_or(Time::max());
  const bool a_in_time = now < a.goal_deadline;
  const bool b_in_time = now < b.goal_deadline;
  if (a_in_time != b_in_time) return a_in_time;
  return a_in_time ? a.goal_deadline < b.goal_deadline : a.caller_deadline < b.caller_deadline;
}

bool IsSame(const SlotRequestQueue::Entry& a, const SlotRequestQueue::Entry& b) {
  return a.from == b.from && a.request.number == b.request.number;
}

// Indices of the entries that wait for the service, in the order that holds within a team.
std::vector<std::size_t> WaitingFor(const ServiceName& service,
                                    std::span<const SlotRequestQueue::Entry> entries, Time now) {
  std::vector<std::size_t> waiting;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (entries[i].request.service == service) waiting.push_back(i);
  }
  std::stable_sort(waiting.begin(), waiting.end(), [entries, now](std::size_t a, std::size_t b) {
    return IsServedBefore(entries[a], entries[b], now);
  });
  return waiting;
}

// Requests for a small service have times by which they start, which no team may change.
void AddTo(FairOrder& order, const SlotRequestQueue::Entry& entry) {
  if (entry.serve_by) return order.Add(TeamId{}, 0);
  order.Add(entry.request.team, entry.request.rank);
}

// The waiting requests of one service.
struct ServiceOrder {
  FairOrder order;
  std::vector<std::size_t> waiting;  // indices, in the order of Add
};

}  // namespace

void SlotRequestQueue::RemoveFrom(const NodeId& from) {
  std::erase_if(entries_, [&from](const Entry& entry) { return entry.from == from; });
}

void SlotRequestQueue::Remove(const NodeId& from, std::span<const std::uint64_t> numbers) {
  std::erase_if(entries_, [&](const Entry& entry) {
    return entry.from == from &&
           std::find(numbers.begin(), numbers.end(), entry.request.number) != numbers.end();
  });
}

bool SlotRequestQueue::Contains(const NodeId& from, std::uint64_t number) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.from == from && entry.request.number == number;
  });
}

std::vector<Time> SlotRequestQueue::ServeTimes(const ServiceName& service) const {
  std::vector<Time> times;
  for (const Entry& entry : entries_) {
    if (entry.request.service == service && entry.serve_by) times.push_back(*entry.serve_by);
  }
  std::sort(times.begin(), times.end());
  return times;
}

std::vector<SlotRequestQueue::Entry> SlotRequestQueue::TakeExpired(Time now) {
  std::vector<Entry> expired;
  std::erase_if(entries_, [&](const Entry& entry) {
    const bool is_expired =
        now >= entry.caller_deadline || (now >= entry.goal_deadline && !entry.request.last_try);
    if (is_expired) expired.push_back(entry);
    return is_expired;
  });
  return expired;
}

std::optional<SlotRequestQueue::Entry> SlotRequestQueue::PopFirst(
    Time now, const std::function<bool(const Entry&)>& serve) {
  std::sort(entries_.begin(), entries_.end(),
            [now](const Entry& a, const Entry& b) { return IsServedBefore(a, b, now); });
  std::map<ServiceName, ServiceOrder> orders;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const SlotRequest& request = entries_[i].request;
    ServiceOrder& service =
        orders.try_emplace(request.service, ServiceOrder{FairOrder(SharesOf(request.service)), {}})
            .first->second;
    AddTo(service.order, entries_[i]);
    service.waiting.push_back(i);
  }
  // Services take turns by the deadlines of their requests, as if all were of one team.
  for (const Entry& turn : entries_) {
    ServiceOrder& service = orders.at(turn.request.service);
    const std::size_t first = service.waiting[service.order.First().value()];
    if (serve(entries_[first])) {
      Entry popped = std::move(entries_[first]);
      entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(first));
      return popped;
    }
    service.order.PopSkipped();
  }
  return std::nullopt;
}

std::vector<SlotRequestQueue::Entry> SlotRequestQueue::TakeDisplaced(const Entry& added, Time now,
                                                                     const CanWait& can_wait) {
  const ServiceName& service = added.request.service;
  const std::vector<std::size_t> waiting = WaitingFor(service, entries_, now);
  FairOrder order(SharesOf(service));
  for (const std::size_t i : waiting) AddTo(order, entries_[i]);
  std::vector<Entry> displaced;
  if (order.team_count() < 2) return displaced;
  bool is_behind = false;
  std::size_t ahead = 0;
  while (const auto first = order.First()) {
    Entry& entry = entries_[waiting[*first]];
    if (is_behind) {
      entry.is_behind = true;
      if (!can_wait(entry, ahead)) {
        displaced.push_back(entry);
        order.PopSkipped();
        continue;
      }
    }
    is_behind |= IsSame(entry, added);
    ++ahead;
    order.PopServed();
  }
  std::erase_if(entries_, [&displaced](const Entry& entry) {
    return std::any_of(displaced.begin(), displaced.end(),
                       [&entry](const Entry& each) { return IsSame(each, entry); });
  });
  return displaced;
}

void SlotRequestQueue::OnServed(const SlotRequest& request) {
  shares_[request.service].OnServed(request.team, request.rank);
}

const FairShares& SlotRequestQueue::SharesOf(const ServiceName& service) const {
  static const FairShares kAllEqual;
  const auto found = shares_.find(service);
  return found == shares_.end() ? kAllEqual : found->second;
}

std::size_t SlotRequestQueue::CountAhead(const Entry& entry, Time now) const {
  const std::vector<std::size_t> waiting = WaitingFor(entry.request.service, entries_, now);
  const auto position = std::partition_point(
      waiting.begin(), waiting.end(),
      [&](std::size_t other) { return !IsServedBefore(entry, entries_[other], now); });
  FairOrder order(SharesOf(entry.request.service));
  for (auto at = waiting.begin(); at != position; ++at) AddTo(order, entries_[*at]);
  AddTo(order, entry);
  for (auto at = position; at != waiting.end(); ++at) AddTo(order, entries_[*at]);
  const auto own = static_cast<std::size_t>(position - waiting.begin());
  std::size_t ahead = 0;
  for (; order.First().value() != own; ++ahead) order.PopServed();
  return ahead;
}

}  // namespace figmill
