#include <algorithm>
#include <utility>

#include "control/membership_impl.h"

namespace figmill {
namespace {

constexpr Duration kExpireEvery{500'000};
constexpr Duration kTryLostEvery{2'000'000};
constexpr Duration kRelayKept{1'000'000};
constexpr int kRoundsBeforeSuspicion = 3;
constexpr std::size_t kHelpers = 3;
constexpr std::size_t kAsksAtOnce = 100;
constexpr Duration kRejoinAfter{4'000'000};
constexpr Duration kAskAgain{400'000};
constexpr double kBurstSeconds = 2;

}  // namespace

Membership::Impl::Impl(Member self, MembershipSettings settings, RandomBits random)
    : settings_(settings), random_(std::move(random)), self_(self.node) {
  self.liveness = Liveness::kAlive;
  (void)table_.Merge(Time{}, Record{std::move(self), 1, 1});
  tokens_ = settings_.bytes_per_second * kBurstSeconds;
}

void Membership::Impl::Seed(std::span<const ListedHost> hosts) {
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
    // Members that start together don't probe in step.
    started_ = true;
    last_tick_ = now;
    next_probe_ = now + Duration(static_cast<Duration::rep>(
                            Below(static_cast<std::uint64_t>(settings_.probe_period.count()))));
    next_lost_ = next_probe_;
  }
  const double elapsed = static_cast<double>((now - last_tick_).count()) / 1e6;
  last_tick_ = now;
  tokens_ = std::min(settings_.bytes_per_second * kBurstSeconds,
                     tokens_ + settings_.bytes_per_second * elapsed);
  StepProbes(now);
  if (now >= next_probe_) {
    next_probe_ = now + settings_.probe_period;
    StartProbe(now);
    if (!joined_ || (rejoin_ && now >= *rejoin_)) TryJoin(now);
  }
  if (now >= next_lost_) {
    next_lost_ = now + kTryLostEvery;
    TryLost();
  }
  if (now >= next_expire_) {
    next_expire_ = now + kExpireEvery;
    Expire(now);
  }
  if (bursts_ > 0) {
    --bursts_;
    SendUrgent();
  }
  return Flush();
}

bool Membership::Impl::Probed(const detail::MemberTable::Entry& entry) const {
  return entry.record.member.node != self_ && entry.record.member.liveness != Liveness::kDead;
}

// Every member once, in random order, before any is probed again: so the time
// to notice a death is bounded, not only expected to be short.
void Membership::Impl::StartProbe(Time now) {
  if (probe_order_.empty()) {
    for (const auto& [node, entry] : table_.entries()) {
      if (Probed(entry)) probe_order_.push_back(node);
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
    if (entry == nullptr || !Probed(*entry) || probes_.contains(node)) continue;
    SendProbe(now, node, probes_[node]);
    return;
  }
}

void Membership::Impl::SendProbe(Time now, const NodeId& node, Probe& probe) {
  const auto* entry = table_.Find(node);
  probe.nonce = random_() | 1U;
  probe.sent = now;
  probe.asked = false;
  Message ping = Make(MessageKind::kPing, probe.nonce);
  std::size_t room = Room();
  // A suspect must hear of it to refute it.
  if (entry->record.member.liveness != Liveness::kAlive) {
    AddBrief(ping, BriefOf(entry->record), room);
  }
  AddNews(ping, room);
  Send(entry->record.member.gossip, ping);
}

void Membership::Impl::StepProbes(Time now) {
  for (auto probe = probes_.begin(); probe != probes_.end();) {
    const NodeId& node = probe->first;
    const auto* entry = table_.Find(node);
    if (entry == nullptr || !Probed(*entry)) {
      probe = probes_.erase(probe);
      continue;
    }
    const Duration waited = now - probe->second.sent;
    if (!probe->second.asked && waited >= settings_.ack_timeout) {
      probe->second.asked = true;
      AskOthers(node, probe->second);
    }
    if (waited < settings_.probe_period) {
      ++probe;
      continue;
    }
    if (++probe->second.rounds < kRoundsBeforeSuspicion) {
      SendProbe(now, node, probe->second);
      ++probe;
      continue;
    }
    if (entry->record.member.liveness == Liveness::kAlive) {
      table_.SetLiveness(now, node, Liveness::kSuspect);
      Spread(node);
    }
    probe = probes_.erase(probe);
  }
}

void Membership::Impl::AskOthers(const NodeId& node, const Probe& probe) {
  const Address target = table_.Find(node)->record.member.gossip;
  Send(target, Make(MessageKind::kPing, probe.nonce));
  for (const NodeId& helper : Pick(kHelpers)) {
    if (helper == node) continue;
    Message request = Make(MessageKind::kPingRequest, probe.nonce);
    request.target = target;
    Send(table_.Find(helper)->record.member.gossip, request);
  }
}

void Membership::Impl::Expire(Time now) {
  std::vector<NodeId> dead;
  std::vector<NodeId> forgotten;
  for (const auto& [node, entry] : table_.entries()) {
    const Liveness liveness = entry.record.member.liveness;
    const Duration age = now - entry.since;
    if (liveness == Liveness::kSuspect && age >= settings_.suspicion) dead.push_back(node);
    if (liveness == Liveness::kDead && age >= settings_.dead_kept) forgotten.push_back(node);
  }
  for (const NodeId& node : dead) {
    table_.SetLiveness(now, node, Liveness::kDead);
    Spread(node);
  }
  for (const NodeId& node : forgotten) table_.Erase(node);
  std::erase_if(relays_, [&](const auto& each) { return now >= each.second.expires; });
  std::erase_if(wanted_, [&](const auto& each) { return now - each.second > kRelayKept; });
  std::erase_if(asked_, [&](const auto& each) { return now - each.second > kRelayKept; });
}

// After a split each side holds the other for dead and would never probe it
// again. One lost member or listed host at a time keeps the way back open.
void Membership::Impl::TryLost() {
  std::vector<Address> lost;
  for (const auto& [node, entry] : table_.entries()) {
    if (entry.record.member.liveness == Liveness::kDead) lost.push_back(entry.record.member.gossip);
  }
  for (const auto& [node, host] : seeds_) {
    if (table_.Find(node) == nullptr) lost.push_back(host.gossip);
  }
  if (lost.empty()) return;
  Send(lost[Below(lost.size())], Make(MessageKind::kPing, 0));
}

// A listed host's whole table at once. Datagrams wouldn't do when many start
// together: they would take up the few listed hosts' byte budgets. And once more
// a little later, for what started at the same time and has asked it since.
void Membership::Impl::TryJoin(Time now) {
  if (seeds_.empty()) return;
  if (joined_) rejoin_.reset();
  if (!joined_) rejoin_ = now + kRejoinAfter;
  const auto seed = std::next(seeds_.begin(), static_cast<std::ptrdiff_t>(Below(seeds_.size())));
  Fetch(now, seed->first, seed->second.http);
}

std::vector<NodeId> Membership::Impl::Pick(std::size_t count) {
  std::vector<const NodeId*> others;
  for (const auto& [node, entry] : table_.entries()) {
    if (Probed(entry) && entry.record.member.liveness == Liveness::kAlive) others.push_back(&node);
  }
  std::vector<NodeId> picked;
  while (picked.size() < count && !others.empty()) {
    std::swap(others[Below(others.size())], others.back());
    picked.push_back(*others.back());
    others.pop_back();
  }
  return picked;
}

Membership::Impl::Actions Membership::Impl::Change(Time now, bool shape,
                                                   const std::function<void(Member&)>& edit) {
  Record record = self();
  edit(record.member);
  ++record.version;
  if (shape) record.shape = record.version;
  (void)table_.Merge(now, record);
  Spread(self_);
  bursts_ = kUrgentRounds;
  return Flush();
}

Membership::Impl::Actions Membership::Impl::SetSequence(Time /*now*/, Sequence sequence) {
  const Member& member = self().member;
  if (sequence <= member.control_sequence) return {};
  table_.SetSequence(self_, member.incarnation, sequence);
  bursts_ = kUrgentRounds;
  return Flush();
}

Membership::Impl::Actions Membership::Impl::Ask(Time now, Sequence sequence) {
  std::size_t left = kAsksAtOnce;
  for (const auto& [node, entry] : table_.entries()) {
    const Member& member = entry.record.member;
    if (left == 0) break;
    if (!Probed(entry) || member.control_sequence >= sequence) continue;
    const auto asked = asked_.find(node);
    if (asked != asked_.end() && now - asked->second < kAskAgain) continue;
    asked_[node] = now;
    --left;
    Send(member.gossip, Make(MessageKind::kAsk, 0));
  }
  return Flush();
}

}  // namespace figmill
