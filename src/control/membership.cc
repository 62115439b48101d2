#include <algorithm>
#include <utility>

#include "control/membership_impl.h"

namespace figmill {
namespace {

constexpr Duration kExpireInterval{500'000};
constexpr Duration kPingLostInterval{2'000'000};
constexpr Duration kRequestRetention{1'000'000};
constexpr int kProbesBeforeSuspicion = 3;
constexpr std::size_t kIndirectProbes = 3;
constexpr std::size_t kMaxQueriesPerCall = 100;
constexpr Duration kSecondFetchDelay{4'000'000};
constexpr Duration kSequenceQueryRetry{400'000};
constexpr double kBurstSeconds = 2;

}  // namespace

Membership::Impl::Impl(Member self, MembershipSettings settings, RandomBits random)
    : settings_(settings), random_(std::move(random)), self_(self.node) {
  self.liveness = Liveness::kAlive;
  (void)table_.Merge(Time{}, MemberRecord{std::move(self), 1, 1});
  byte_budget_ = settings_.bytes_per_second * kBurstSeconds;
}

void Membership::Impl::SetSeeds(std::span<const ListedHost> hosts) {
  seeds_.clear();
  for (const ListedHost& host : hosts) {
    if (host.node != self_) seeds_[host.node] = host;
  }
}

Membership::Impl::Actions Membership::Impl::Flush() {
  if (std::exchange(changed_, false)) out_.emplace_back(MembersChanged{});
  return std::exchange(out_, {});
}

Membership::Impl::Actions Membership::Impl::Tick(Time now) {
  if (superseded_) return {};
  if (!started_) {
    // A random offset, so that members started together don't probe in lockstep.
    started_ = true;
    last_tick_ = now;
    next_probe_ = now + Duration(static_cast<Duration::rep>(RandomBelow(
                            static_cast<std::uint64_t>(settings_.probe_period.count()))));
    next_ping_lost_ = next_probe_;
  }
  const double elapsed = static_cast<double>((now - last_tick_).count()) / 1e6;
  last_tick_ = now;
  byte_budget_ = std::min(settings_.bytes_per_second * kBurstSeconds,
                          byte_budget_ + settings_.bytes_per_second * elapsed);
  AdvanceProbes(now);
  if (now >= next_probe_) {
    next_probe_ = now + settings_.probe_period;
    StartProbe(now);
    if (!joined_ || (second_fetch_ && now >= *second_fetch_)) FetchFromSeed(now);
  }
  if (now >= next_ping_lost_) {
    next_ping_lost_ = now + kPingLostInterval;
    PingLostMember();
  }
  if (now >= next_expire_) {
    next_expire_ = now + kExpireInterval;
    Expire(now);
  }
  if (urgent_rounds_ > 0) {
    --urgent_rounds_;
    SendUrgent();
  }
  return Flush();
}

bool Membership::Impl::IsProbeTarget(const detail::MemberTable::Entry& entry) const {
  return entry.record.member.node != self_ && entry.record.member.liveness != Liveness::kDead;
}

// Probes every member once, in random order, before any is probed again. This bounds the
// time to detect a failure, which random selection would only bound on average.
void Membership::Impl::StartProbe(Time now) {
  if (probe_order_.empty()) {
    for (const auto& [node, entry] : table_.entries()) {
      if (IsProbeTarget(entry)) probe_order_.push_back(node);
    }
    std::shuffle(probe_order_.begin(), probe_order_.end(), [&] {
      struct Bits {
        using result_type = std::uint64_t;
        static constexpr result_type min() { return 0; }
        static constexpr result_type max() { return UINT64_MAX; }
        result_type operator()() { return (*random)(); }
        RandomBits* random;
      };
      return Bits{&random_};
    }());
  }
  while (!probe_order_.empty()) {
    const NodeId node = probe_order_.back();
    probe_order_.pop_back();
    const auto* entry = table_.Find(node);
    if (entry == nullptr || !IsProbeTarget(*entry) || probes_.contains(node)) continue;
    SendProbe(now, node, probes_[node]);
    return;
  }
}

void Membership::Impl::SendProbe(Time now, const NodeId& node, Probe& probe) {
  const auto* entry = table_.Find(node);
  probe.nonce = random_() | 1U;
  probe.sent = now;
  probe.indirect = false;
  Message ping = MakeMessage(MessageKind::kPing, probe.nonce);
  std::size_t available = AvailableBytes();
  // A suspect must receive the suspicion to refute it.
  if (entry->record.member.liveness != Liveness::kAlive) {
    AddSummary(ping, SummaryOf(entry->record), available);
  }
  AddUpdates(ping, available);
  Send(entry->record.member.gossip, ping);
}

void Membership::Impl::AdvanceProbes(Time now) {
  for (auto probe = probes_.begin(); probe != probes_.end();) {
    const NodeId& node = probe->first;
    const auto* entry = table_.Find(node);
    if (entry == nullptr || !IsProbeTarget(*entry)) {
      probe = probes_.erase(probe);
      continue;
    }
    const Duration waited = now - probe->second.sent;
    if (!probe->second.indirect && waited >= settings_.ack_timeout) {
      probe->second.indirect = true;
      RequestIndirectProbes(node, probe->second);
    }
    if (waited < settings_.probe_period) {
      ++probe;
      continue;
    }
    if (++probe->second.rounds < kProbesBeforeSuspicion) {
      SendProbe(now, node, probe->second);
      ++probe;
      continue;
    }
    if (entry->record.member.liveness == Liveness::kAlive) {
      table_.SetLiveness(now, node, Liveness::kSuspect);
      QueueUpdate(node);
    }
    probe = probes_.erase(probe);
  }
}

void Membership::Impl::RequestIndirectProbes(const NodeId& node, const Probe& probe) {
  const Address target = table_.Find(node)->record.member.gossip;
  Send(target, MakeMessage(MessageKind::kPing, probe.nonce));
  for (const NodeId& helper : PickPeers(kIndirectProbes)) {
    if (helper == node) continue;
    Message request = MakeMessage(MessageKind::kPingRequest, probe.nonce);
    request.target = target;
    Send(table_.Find(helper)->record.member.gossip, request);
  }
}

void Membership::Impl::Expire(Time now) {
  std::vector<NodeId> dead;
  std::vector<NodeId> expired;
  for (const auto& [node, entry] : table_.entries()) {
    const Liveness liveness = entry.record.member.liveness;
    const Duration age = now - entry.stored_at;
    if (liveness == Liveness::kSuspect && age >= settings_.suspicion_timeout) dead.push_back(node);
    if (liveness == Liveness::kDead && age >= settings_.dead_retention) expired.push_back(node);
  }
  for (const NodeId& node : dead) {
    table_.SetLiveness(now, node, Liveness::kDead);
    QueueUpdate(node);
  }
  for (const NodeId& node : expired) table_.Erase(node);
  std::erase_if(relays_, [&](const auto& each) { return now >= each.second.expires; });
  std::erase_if(record_requested_,
                [&](const auto& each) { return now - each.second > kRequestRetention; });
  std::erase_if(sequence_queried_,
                [&](const auto& each) { return now - each.second > kRequestRetention; });
}

// After a partition each side considers the other dead and would never probe it again.
// Pinging one dead member or unknown listed host at a time lets the sides rejoin.
void Membership::Impl::PingLostMember() {
  std::vector<Address> lost;
  for (const auto& [node, entry] : table_.entries()) {
    if (entry.record.member.liveness == Liveness::kDead) lost.push_back(entry.record.member.gossip);
  }
  for (const auto& [node, host] : seeds_) {
    if (table_.Find(node) == nullptr) lost.push_back(host.gossip);
  }
  if (lost.empty()) return;
  Send(lost[RandomBelow(lost.size())], MakeMessage(MessageKind::kPing, 0));
}

// Fetches the whole table of a listed host over HTTP. Datagrams wouldn't suffice when many
// members start together: they would exhaust the byte budgets of the few listed hosts.
// Repeats it once some seconds later, to get the members that joined there meanwhile.
void Membership::Impl::FetchFromSeed(Time now) {
  if (seeds_.empty()) return;
  if (joined_) second_fetch_.reset();
  if (!joined_) second_fetch_ = now + kSecondFetchDelay;
  const auto seed =
      std::next(seeds_.begin(), static_cast<std::ptrdiff_t>(RandomBelow(seeds_.size())));
  Fetch(now, seed->first, seed->second.http);
}

std::vector<NodeId> Membership::Impl::PickPeers(std::size_t count) {
  std::vector<const NodeId*> others;
  for (const auto& [node, entry] : table_.entries()) {
    if (IsProbeTarget(entry) && entry.record.member.liveness == Liveness::kAlive)
      others.push_back(&node);
  }
  std::vector<NodeId> peers;
  while (peers.size() < count && !others.empty()) {
    std::swap(others[RandomBelow(others.size())], others.back());
    peers.push_back(*others.back());
    others.pop_back();
  }
  return peers;
}

Membership::Impl::Actions Membership::Impl::Change(Time now, bool details_changed,
                                                   const std::function<void(Member&)>& edit) {
  MemberRecord record = self();
  edit(record.member);
  ++record.version;
  if (details_changed) record.details_version = record.version;
  (void)table_.Merge(now, record);
  QueueUpdate(self_);
  urgent_rounds_ = kUrgentRounds;
  return Flush();
}

Membership::Impl::Actions Membership::Impl::SetSequence(Time /*now*/, Sequence sequence) {
  const Member& member = self().member;
  if (sequence <= member.control_sequence) return {};
  table_.SetSequence(self_, member.incarnation, sequence);
  urgent_rounds_ = kUrgentRounds;
  return Flush();
}

Membership::Impl::Actions Membership::Impl::QuerySequences(Time now, Sequence sequence) {
  std::size_t left = kMaxQueriesPerCall;
  for (const auto& [node, entry] : table_.entries()) {
    const Member& member = entry.record.member;
    if (left == 0) break;
    if (!IsProbeTarget(entry) || member.control_sequence >= sequence) continue;
    const auto queried = sequence_queried_.find(node);
    if (queried != sequence_queried_.end() && now - queried->second < kSequenceQueryRetry) continue;
    sequence_queried_[node] = now;
    --left;
    Send(member.gossip, MakeMessage(MessageKind::kSequenceQuery, 0));
  }
  return Flush();
}

}  // namespace figmill
