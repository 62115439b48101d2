#include "gate/batch_queue.h"

#include <algorithm>

namespace figmill::detail {

void BatchQueue::PushPaused(PausedItem paused) {
  const auto place = std::find_if(paused_.begin(), paused_.end(), [&](const PausedItem& other) {
    return other.tokens_done < paused.tokens_done;
  });
  paused_.insert(place, std::move(paused));
}

void BatchQueue::ConfirmStop(const RequestId& request) {
  for (PausedItem& paused : paused_) {
    if (paused.request == request) paused.stop_confirmed = true;
  }
}

bool BatchQueue::Remove(const RequestId& request) {
  const auto same = [&](const auto& waiting) { return waiting.request == request; };
  return std::erase_if(paused_, same) + std::erase_if(unstarted_, same) > 0;
}

std::optional<RequestId> BatchQueue::Pop(bool allow_non_repeatable) {
  const auto ready = std::find_if(paused_.begin(), paused_.end(),
                                  [](const PausedItem& paused) { return paused.stop_confirmed; });
  if (ready != paused_.end()) {
    RequestId request = std::move(ready->request);
    paused_.erase(ready);
    return request;
  }
  const auto next = std::find_if(
      unstarted_.begin(), unstarted_.end(),
      [&](const UnstartedItem& unstarted) { return unstarted.repeatable || allow_non_repeatable; });
  if (next == unstarted_.end()) return std::nullopt;
  RequestId request = std::move(next->request);
  unstarted_.erase(next);
  return request;
}

}  // namespace figmill::detail
