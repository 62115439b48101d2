#include "gateway/open_sends.h"

#include <utility>
#include <vector>

namespace figmill {

OpenSends::Id OpenSends::Add(const BackendAddress& backend, Time now, OnLost on_lost) {
  sends_[++last_id_] = {backend.id, backend.incarnation, now, Time{}, std::move(on_lost)};
  return last_id_;
}

void OpenSends::RecordActivity(Id send_id, Time now) {
  const auto found = sends_.find(send_id);
  if (found != sends_.end()) found->second.heard_at = now;
}

void OpenSends::Remove(Id send_id) {
  sends_.erase(send_id);
}

OpenSends::State OpenSends::UpdateState(Send& send, const BackendInfo& listed, Time now) {
  if (!IsLater(listed.incarnation, send.incarnation)) return State::kOpen;
  if (now - send.heard_at >= kRecentActivity) return State::kLost;
  if (send.restart_listed_at == Time{}) send.restart_listed_at = now;
  if (send.heard_at - send.restart_listed_at < kRecentActivity) return State::kInDoubt;
  // It still receives bytes, so it was sent to the new incarnation.
  send.incarnation = listed.incarnation;
  send.restart_listed_at = {};
  return State::kOpen;
}

OpenSends::Ended OpenSends::EndOutdated(const BackendList& listed, Time now) {
  Ended ended;
  std::vector<Id> lost;
  for (auto& [send_id, send] : sends_) {
    const auto found = listed.find(send.backend);
    if (found == listed.end()) continue;
    const State state = UpdateState(send, found->second, now);
    if (state == State::kInDoubt) ++ended.in_doubt;
    if (state == State::kLost) lost.push_back(send_id);
  }
  // Called outside the loop above, because a callback may retry the request and so add a send.
  for (const Id send_id : lost) {
    auto send = sends_.extract(send_id);
    if (send.empty()) continue;
    send.mapped().on_lost();
    ++ended.lost;
  }
  return ended;
}

}  // namespace figmill
