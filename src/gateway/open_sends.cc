#include "gateway/open_sends.h"

#include <utility>
#include <vector>

namespace figmill {

OpenSends::Id OpenSends::Add(const BackendAddress& backend, Time now, OnLost on_lost) {
  sends_[++last_] = {backend.id, backend.incarnation, now, Time{}, std::move(on_lost)};
  return last_;
}

void OpenSends::RecordActivity(Id send, Time now) {
  const auto found = sends_.find(send);
  if (found != sends_.end()) found->second.heard_at = now;
}

void OpenSends::Remove(Id send) {
  sends_.erase(send);
}

OpenSends::Fate OpenSends::Judge(Send& send, const BackendInfo& listed, Time now) {
  if (!IsLater(listed.incarnation, send.incarnation)) return Fate::kOpen;
  if (now - send.heard_at >= kRecentActivity) return Fate::kLost;
  if (send.doubted_at == Time{}) send.doubted_at = now;
  if (send.heard_at - send.doubted_at < kRecentActivity) return Fate::kInDoubt;
  // It goes on giving bytes, so it was sent to the new one.
  send.incarnation = listed.incarnation;
  send.doubted_at = {};
  return Fate::kOpen;
}

OpenSends::Ended OpenSends::EndOutdated(const BackendList& listed, Time now) {
  Ended ended;
  std::vector<Id> lost;
  for (auto& [number, send] : sends_) {
    const auto found = listed.find(send.backend);
    if (found == listed.end()) continue;
    const Fate fate = Judge(send, found->second, now);
    if (fate == Fate::kInDoubt) ++ended.in_doubt;
    if (fate == Fate::kLost) lost.push_back(number);
  }
  // Not within the loop: what is lost is sent again, and so added.
  for (const Id number : lost) {
    auto send = sends_.extract(number);
    if (send.empty()) continue;
    send.mapped().on_lost();
    ++ended.lost;
  }
  return ended;
}

}  // namespace figmill
