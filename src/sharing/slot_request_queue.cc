// Order of the online requests that wait for a slot.

#include <algorithm>
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
  const auto found = std::find_if(entries_.begin(), entries_.end(), serve);
  if (found == entries_.end()) return std::nullopt;
  Entry popped = std::move(*found);
  entries_.erase(found);
  return popped;
}

std::size_t SlotRequestQueue::CountAhead(const Entry& entry, Time now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const Entry& other) {
        return other.request.service == entry.request.service && !IsServedBefore(entry, other, now);
      }));
}

}  // namespace figmill
