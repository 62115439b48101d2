#include "figmill/store_paths.h"

#include <algorithm>

namespace figmill {

bool StorePaths::LooksSilent(Time now) const {
  return std::any_of(open_direct_.begin(), open_direct_.end(), [&](const auto& each) {
    const Open& open = each.second;
    return !open.waits && now - open.since >= kLooksSilent && direct_answered_at_ < open.since;
  });
}

// In turn, so that no peer carries the calls of all.
std::optional<Address> StorePaths::GoodPeer(Time now) {
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Address& peer = peers_[next_peer_++ % peers_.size()];
    const auto avoid = avoid_peer_until_.find(peer);
    if (avoid == avoid_peer_until_.end() || now >= avoid->second) return peer;
  }
  return std::nullopt;
}

StorePaths::Path StorePaths::Direct(bool waits, Time now) {
  const CallId call = ++next_call_;
  open_direct_[call] = {now, waits};
  return {call, std::nullopt, now};
}

StorePaths::Path StorePaths::Begin(bool waits, Time now) {
  if (!avoids_direct(now) && !LooksSilent(now)) return Direct(waits, now);
  if (std::optional<Address> peer = GoodPeer(now)) return {++next_call_, std::move(peer), now};
  return Direct(waits, now);
}

std::optional<StorePaths::Path> StorePaths::BeginOther(const Path& refused, Time now) {
  if (refused.peer) return Direct(/*waits=*/false, now);
  if (std::optional<Address> peer = GoodPeer(now)) return Path{++next_call_, std::move(peer), now};
  return std::nullopt;
}

void StorePaths::End(const Path& path, Outcome outcome, Time now) {
  open_direct_.erase(path.call);
  const bool answered = outcome == Outcome::kAnswered;
  if (!answered && HasServedSince(path)) return;
  if (path.peer) {
    if (answered) {
      peer_answered_at_[*path.peer] = now;
      avoid_peer_until_.erase(*path.peer);
    } else {
      avoid_peer_until_[*path.peer] = now + kAvoidPeer;
    }
    return;
  }
  if (answered) {
    direct_answered_at_ = now;
    avoid_direct_until_ = Time{};
  } else {
    avoid_direct_until_ = now + kAvoidDirect;
  }
}

bool StorePaths::HasServedSince(const Path& path) const {
  if (!path.peer) return direct_answered_at_ > path.begun_at;
  const auto answered = peer_answered_at_.find(*path.peer);
  return answered != peer_answered_at_.end() && answered->second > path.begun_at;
}

}  // namespace figmill
