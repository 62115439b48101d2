#include "gate/dispatch_table.h"

namespace figmill::detail {

std::optional<Fate> DispatchTable::Find(const RequestId& request) const {
  const auto found = known_.find(request);
  if (found == known_.end()) return std::nullopt;
  return found->second.fate;
}

void DispatchTable::Open(const RequestId& request) {
  known_.insert_or_assign(request, Known{Fate::kOpen, {}});
}

void DispatchTable::Close(const RequestId& request, Fate fate, Time now) {
  const auto [place, fresh] = known_.try_emplace(request);
  if (!fresh && place->second.fate != Fate::kOpen) return;
  place->second = Known{fate, now};
  closed_.emplace_back(now, request);
  if (closed_.size() > max_closed_) ForgetOldest();
}

void DispatchTable::Sweep(Time now) {
  while (!closed_.empty() && closed_.front().first + remember_ < now) ForgetOldest();
}

bool DispatchTable::MayBeForgotten(Time stamp) const {
  return horizon_ && stamp <= *horizon_;
}

// Every copy of a closed request was stamped before it was closed, so a horizon
// at that time covers them all. An id that was opened again since stays.
void DispatchTable::ForgetOldest() {
  const auto& [closed, request] = closed_.front();
  horizon_ = closed;
  const auto found = known_.find(request);
  if (found != known_.end() && found->second.fate != Fate::kOpen &&
      found->second.closed == closed) {
    known_.erase(found);
  }
  closed_.pop_front();
}

}  // namespace figmill::detail
