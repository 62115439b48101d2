#include "figmill/store_paths.h"

#include <algorithm>

namespace figmill {

bool StorePaths::LooksUnresponsive(Time now) const {
  return std::any_of(open_direct_.begin(), open_direct_.end(), [&](const auto& entry) {
    const OpenCall& open_call = entry.second;
    return !open_call.long_poll && now - open_call.opened_at >= kUnresponsiveAfter &&
           direct_answered_at_ < open_call.opened_at;
  });
}

// Round-robin, so that no single peer relays all calls.
std::optional<Address> StorePaths::NextUsablePeer(Time now) {
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Address& peer = peers_[next_peer_++ % peers_.size()];
    const auto avoid = avoid_peer_until_.find(peer);
    if (avoid == avoid_peer_until_.end() || now >= avoid->second) return peer;
  }
  return std::nullopt;
}

StorePaths::Path StorePaths::BeginDirect(bool long_poll, Time now) {
  const CallId call = ++next_call_;
  open_direct_[call] = {now, long_poll};
  return {call, std::nullopt, now};
}

StorePaths::Path StorePaths::Begin(bool long_poll, Time now) {
  if (!avoids_direct(now) && !LooksUnresponsive(now)) return BeginDirect(long_poll, now);
  if (std::optional<Address> peer = NextUsablePeer(now))
    return {++next_call_, std::move(peer), now};
  return BeginDirect(long_poll, now);
}

std::optional<StorePaths::Path> StorePaths::BeginAlternative(const Path& refused, Time now) {
  if (refused.peer && !avoids_direct(now)) return BeginDirect(/*long_poll=*/false, now);
  if (std::optional<Address> peer = NextUsablePeer(now))
    return Path{++next_call_, std::move(peer), now};
  return std::nullopt;
}

void StorePaths::End(const Path& path, Outcome outcome, Time now) {
  open_direct_.erase(path.call);
  const bool answered = outcome == Outcome::kAnswered;
  if (!answered && HasAnsweredSince(path)) return;
  if (path.peer) {
    if (answered) {
      peer_answered_at_[*path.peer] = now;
      avoid_peer_until_.erase(*path.peer);
    } else {
      avoid_peer_until_[*path.peer] = now + kPeerBackoff;
    }
    return;
  }
  if (answered) {
    direct_answered_at_ = now;
    avoid_direct_until_ = Time{};
  } else {
    avoid_direct_until_ = now + kDirectBackoff;
  }
}

bool StorePaths::HasAnsweredSince(const Path& path) const {
  if (!path.peer) return direct_answered_at_ > path.begun_at;
  const auto answered = peer_answered_at_.find(*path.peer);
  return answered != peer_answered_at_.end() && answered->second > path.begun_at;
}

}  // namespace figmill
