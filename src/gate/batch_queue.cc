#include "gate/batch_queue.h"

#include <algorithm>

namespace figmill::detail {

void BatchQueue::PushPaused(PausedBatch paused) {
  const auto place = std::find_if(paused_.begin(), paused_.end(), [&](const PausedBatch& other) {
    return other.work < paused.work;
  });
  paused_.insert(place, std::move(paused));
}

void BatchQueue::MarkStopped(const RequestId& request) {
  for (PausedBatch& paused : paused_) {
    if (paused.request == request) paused.stopped = true;
  }
}

bool BatchQueue::Remove(const RequestId& request) {
  const auto same = [&](const auto& waiting) { return waiting.request == request; };
  return std::erase_if(paused_, same) + std::erase_if(fresh_, same) > 0;
}

std::optional<RequestId> BatchQueue::Pop(bool also_not_repeatable) {
  const auto ready = std::find_if(paused_.begin(), paused_.end(),
                                  [](const PausedBatch& paused) { return paused.stopped; });
  if (ready != paused_.end()) {
    RequestId request = std::move(ready->request);
    paused_.erase(ready);
    return request;
  }
  const auto next = std::find_if(fresh_.begin(), fresh_.end(), [&](const FreshBatch& fresh) {
    return fresh.repeatable || also_not_repeatable;
  });
  if (next == fresh_.end()) return std::nullopt;
  RequestId request = std::move(next->request);
  fresh_.erase(next);
  return request;
}

}  // namespace figmill::detail
