// How this entry and the keepers of the backend servers that it uses tell each other of places.

#include <algorithm>
#include <utility>

#include "gateway/peer_link.h"

namespace figmill {
namespace {

bool IsUnused(const SlotReport::Line& line) {
  return line.online == 0 && line.batch == 0;
}

}  // namespace

void PeerLink::SetBackends(std::vector<BackendInfo> backends) {
  keepers_.SetBackends(std::move(backends));
  UpdateKeepers();
}

void PeerLink::OnGrant(const Peer& from, const SlotGrant& grant) {
  FromKeeper& keeper = from_keeper_[from.node];
  keeper.heard_at = Loop::Now();
  if (grant.number <= keeper.acted) return;
  keeper.acted = grant.number;
  keeper.services = grant.services;
  bool changed = false;
  for (const SlotGrant::Line& line : grant.lines) {
    const auto mine = keeper_of_.find(line.backend);
    if (mine == keeper_of_.end() || mine->second.node != from.node) continue;
    if (!MayBeSame(line.incarnation, TagOf(line.backend))) {
      // One of the two hasn't heard of the restart yet, and the keeper doesn't know what this
      // entry has there: no batch item begins.
      places_.RevokeBatchGrant(line.backend);
      continue;
    }
    changed |= places_.UsageOf(line.backend).batch_allowed != line.allowed;
    places_.ApplyGrant(line.backend,
                       {line.online_other, line.batch_other, line.allowed, line.ejected},
                       keeper.heard_at);
  }
  if (!changed) return;
  owed_.insert(from.node);
  hooks_.grants_changed();
  ScheduleFlush();
}

void PeerLink::UpdateKeepers() {
  const Time now = Loop::Now();
  if (!keepers_.Update(peers_, now)) return;
  SyncPlaces();
  for (const auto& [id, keeper] : keepers_.used_allocators()) {
    const auto before = keeper_of_.find(id);
    const bool changed = before == keeper_of_.end() || before->second.node != keeper.node ||
                         before->second.incarnation != keeper.incarnation;
    if (!changed) continue;
    places_.RevokeBatchGrant(id);
    touched_.insert(id);
    from_keeper_.try_emplace(keeper.node, FromKeeper{0, now, {}, {}, {}, {}, {}});
  }
  keeper_of_ = keepers_.used_allocators();
  keeper_.SetOwnedBackends(keepers_.owned_backends(), now);
  if (!touched_.empty()) ScheduleFlush();
}

void PeerLink::SyncPlaces() {
  std::vector<BackendId> gone;
  places_.ForEach([&](const BackendInfo& info, const SlotUsage& /*use*/) {
    if (!keepers_.used_allocators().contains(info.id)) gone.push_back(info.id);
  });
  for (const BackendId& id : gone) places_.Remove(id);
  for (const BackendInfo& info : keepers_.used_backends()) places_.AddOrUpdate(info);
}

void PeerLink::SuspectSilentKeepers() {
  const Time now = Loop::Now();
  std::set<NodeId> keepers;
  for (const auto& [backend, keeper] : keeper_of_) keepers.insert(keeper.node);
  for (const NodeId& node : keepers) {
    if (node == peers_.self().node) continue;
    const auto found = from_keeper_.find(node);
    if (found == from_keeper_.end() || !IsSilent(found->second, now)) continue;
    Log(LogLevel::kWarning, "keeper_silent", {{"peer", node.value}});
    peers_.Suspect(node);
    from_keeper_.erase(found);
  }
}

// A keeper speaks seldom to an entry that was idle; it is given the time of a busy one
// from when this entry told it that it is.
bool PeerLink::IsSilent(const FromKeeper& keeper, Time now) {
  if (!keeper.busy_since) return now - keeper.heard_at >= kIdleKeeperSilence;
  return now - std::max(keeper.heard_at, *keeper.busy_since) >= kKeeperSilence;
}

void PeerLink::Heartbeat() {
  SuspectSilentKeepers();
  UpdateKeepers();
  const Time now = Loop::Now();
  const bool waits = !hooks_.waiting().empty();
  std::map<NodeId, std::vector<SlotReport::Line>> lines;
  for (const auto& [backend, keeper] : keeper_of_) lines[keeper.node].push_back(LineOf(backend));
  for (auto& [node, each] : lines) {
    const Peer* peer = peers_.Find(node);
    if (peer == nullptr) continue;
    FromKeeper& keeper = from_keeper_[node];
    const bool busy = waits || !std::all_of(each.begin(), each.end(), IsUnused);
    if (!busy) keeper.busy_since.reset();
    if (busy && !keeper.busy_since) keeper.busy_since = now;
    const bool all = now - keeper.all_reported_at >= SlotAllocator::kIdleHeartbeat;
    if (!busy && !all) continue;
    if (all) keeper.all_reported_at = now;
    if (!all) std::erase_if(each, IsUnused);
    SendReport(*peer, {std::move(each), /*rest_unused=*/true});
  }
}

SlotReport::Line PeerLink::LineOf(const BackendId& backend) const {
  const SlotUsage use = places_.UsageOf(backend);
  return {backend, use.online, use.batch, use.usual_run, use.answers, use.faults, TagOf(backend)};
}

IncarnationTag PeerLink::TagOf(const BackendId& backend) const {
  const BackendInfo* info = places_.Find(backend);
  return info == nullptr ? IncarnationTag{} : figmill::TagOf(info->incarnation);
}

void PeerLink::Touch(const BackendId& backend) {
  touched_.insert(backend);
  ScheduleFlush();
}

void PeerLink::WantedChanged() {
  if (std::exchange(wanted_scheduled_, true)) return;
  loop_.Later(kTellWanted, [this] {
    wanted_scheduled_ = false;
    for (const auto& [backend, keeper] : keeper_of_) owed_.insert(keeper.node);
    Flush();
  });
}

// Changes of one pass through the loop go out together.
void PeerLink::ScheduleFlush() {
  if (std::exchange(flush_scheduled_, true)) return;
  loop_.Post([this] { Flush(); });
}

void PeerLink::Flush() {
  flush_scheduled_ = false;
  std::map<NodeId, ReportLines> lines;
  for (const BackendId& backend : std::exchange(touched_, {})) {
    const auto keeper = keeper_of_.find(backend);
    if (keeper != keeper_of_.end()) lines[keeper->second.node].lines.push_back(LineOf(backend));
  }
  for (const NodeId& keeper : std::exchange(owed_, {})) lines[keeper];
  for (auto& [node, each] : lines) {
    const Peer* keeper = peers_.Find(node);
    if (keeper != nullptr) SendReport(*keeper, std::move(each));
  }
}

void PeerLink::SendReport(const Peer& keeper, ReportLines lines) {
  SlotReport report;
  report.number = ++report_number_;
  FromKeeper& from_keeper = from_keeper_[keeper.node];
  report.acked_grant = from_keeper.acted;
  from_keeper.reported_at = Loop::Now();
  report.acked_requests = std::exchange(from_keeper.asks_acted, {});
  report.waiting = hooks_.waiting();
  report.lines = std::move(lines.lines);
  report.rest_unused = lines.rest_unused;
  if (keeper.node == peers_.self().node) {
    keeper_.OnReport(keeper, /*near=*/true, report, Loop::Now());
    return SendGrants();
  }
  PeerMessage message;
  message.report = std::move(report);
  Send(keeper, std::move(message));
}

void PeerLink::SendGrants() {
  for (SlotAllocator::Outgoing& outgoing : keeper_.TakeOutgoing(Loop::Now())) {
    const Peer* peer = peers_.Find(outgoing.to);
    if (peer == nullptr) continue;
    if (peer->node == peers_.self().node) {
      if (outgoing.grant) OnGrant(*peer, *outgoing.grant);
      if (outgoing.answer) {
        // Not within the ask itself.
        loop_.Post([this, answer = *outgoing.answer] { hooks_.answered(answer); });
      }
      continue;
    }
    PeerMessage message;
    message.grant = std::move(outgoing.grant);
    message.slot_response = std::move(outgoing.answer);
    Send(*peer, std::move(message));
  }
}

void PeerLink::LogEjections() {
  for (const SlotAllocator::Ejection& each : keeper_.TakeEjections()) {
    Log(LogLevel::kWarning, each.ejected ? "backend_ejected" : "backend_readmitted",
        {{"backend", each.backend.value},
         {"service", each.service.value},
         {"sick", std::to_string(each.unhealthy)},
         {"kept", std::to_string(each.total)}});
  }
}

void PeerLink::Ask(const NodeId& keeper, const SlotRequest& ask) {
  if (keeper == peers_.self().node) {
    keeper_.OnRequest(keeper, ask, Loop::Now());
    return SendGrants();
  }
  const Peer* peer = peers_.Find(keeper);
  if (peer == nullptr) return;
  PeerMessage message;
  message.slot_request = ask;
  Send(*peer, std::move(message));
}

void PeerLink::ActedOn(const NodeId& keeper, std::uint64_t ask) {
  from_keeper_[keeper].asks_acted.push_back(ask);
  owed_.insert(keeper);
  ScheduleFlush();
}

// What a keeper elsewhere tells of all that it keeps is newer than what it tells line by line.
void PeerLink::TakeToldUse(const NodeId& keeper, const ServiceName& service,
                           KeeperShare& share) const {
  const auto from = from_keeper_.find(keeper);
  if (from == from_keeper_.end()) return;
  for (const SlotGrant::ServiceUsage& use : from->second.services) {
    if (use.service != service || use.slots == 0) continue;
    share.places = use.slots;
    share.free = std::max(0, use.slots - use.online);
  }
}

std::vector<NodeId> PeerLink::KeepersFor(const ServiceName& service,
                                         std::span<const BackendId> tried) const {
  std::map<NodeId, KeeperShare> shares;
  places_.ForEach([&](const BackendInfo& info, const SlotUsage& use) {
    const auto keeper = keeper_of_.find(info.id);
    const bool usable = info.service == service && info.state == BackendState::kReady &&
                        std::find(tried.begin(), tried.end(), info.id) == tried.end();
    if (keeper == keeper_of_.end() || !usable) return;
    KeeperShare& share = shares[keeper->second.node];
    share.places += info.slots;
    share.free += std::max(0, info.slots - use.online - use.online_other);
    share.near = info.data_centre == peers_.self().data_centre;
  });
  std::vector<std::pair<double, NodeId>> order;
  order.reserve(shares.size());
  for (auto& [node, share] : shares) {
    TakeToldUse(node, service, share);
    const double free = static_cast<double>(share.free) / share.places;
    order.emplace_back(free + (share.near && share.free > 0 ? kNearShare : 0), node);
  }
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<NodeId> keepers;
  keepers.reserve(order.size());
  for (auto& [free, node] : order) keepers.push_back(std::move(node));
  return keepers;
}

}  // namespace figmill
