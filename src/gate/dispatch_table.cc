#include "gate/dispatch_table.h"

namespace figmill::detail {

std::optional<RecordState> DispatchTable::Find(const RequestId& request) const {
  const auto found = records_.find(request);
  if (found == records_.end()) return std::nullopt;
  return found->second.state;
}

void DispatchTable::Open(const RequestId& request) {
  records_.insert_or_assign(request, Record{RecordState::kOpen, {}});
}

void DispatchTable::Close(const RequestId& request, RecordState state, Time now) {
  const auto [place, added] = records_.try_emplace(request);
  if (!added && place->second.state != RecordState::kOpen) return;
  place->second = Record{state, now};
  closed_order_.emplace_back(now, request);
  if (closed_order_.size() > max_closed_records_) EvictOldest();
}

void DispatchTable::EvictExpired(Time now) {
  while (!closed_order_.empty() && closed_order_.front().first + retention_ < now) EvictOldest();
}

bool DispatchTable::MayBeEvicted(Time stamp) const {
  return eviction_horizon_ && stamp <= *eviction_horizon_;
}

// Every copy of a closed request was stamped before the request was closed, so an
// eviction horizon at that time covers all copies. A record that was reopened
// since then stays.
void DispatchTable::EvictOldest() {
  const auto& [closed, request] = closed_order_.front();
  eviction_horizon_ = closed;
  const auto found = records_.find(request);
  if (found != records_.end() && found->second.state != RecordState::kOpen &&
      found->second.closed == closed) {
    records_.erase(found);
  }
  closed_order_.pop_front();
}

}  // namespace figmill::detail
