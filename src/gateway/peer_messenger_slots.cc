// The part of PeerMessenger that exchanges slot usage and grants with the allocators of the backend
// servers that this entry uses.

#include <algorithm>
#include <utility>

#include "gateway/log_text.h"
#include "gateway/peer_messenger.h"

namespace figmill {
namespace {

bool IsUnused(const SlotReport::Line& line) {
  return line.online == 0 && line.batch == 0;
}

}  // namespace

void PeerMessenger::SetBackends(std::vector<BackendInfo> backends) {
  allocator_map_.SetBackends(std::move(backends));
  UpdateAllocators();
}

void PeerMessenger::OnGrant(const Peer& from, const SlotGrant& grant) {
  AllocatorState& allocator = allocator_states_[from.node];
  allocator.heard_at = Loop::Now();
  if (grant.number <= allocator.applied_grant) return;
  allocator.applied_grant = grant.number;
  allocator.service_usage = grant.services;
  bool changed = false;
  for (const SlotGrant::Line& line : grant.lines) {
    const auto current = allocator_of_.find(line.backend);
    if (current == allocator_of_.end() || current->second.node != from.node) continue;
    if (!MayBeSame(line.incarnation, TagOf(line.backend))) {
      // This entry or the allocator doesn't know of the restart yet, so the allocator doesn't know
      // what this entry runs there: no batch item may start.
      backend_pool_.RevokeBatchGrant(line.backend);
      continue;
    }
    changed |= backend_pool_.UsageOf(line.backend).batch_allowed != line.allowed;
    backend_pool_.ApplyGrant(line.backend,
                             {line.online_other, line.batch_other, line.allowed, line.ejected,
                              DecodeTimePerEvent(line.speed_code)},
                             allocator.heard_at);
  }
  if (!changed) return;
  reports_due_.insert(from.node);
  hooks_.grants_changed();
  ScheduleFlush();
}

void PeerMessenger::UpdateAllocators() {
  const Time now = Loop::Now();
  if (!allocator_map_.Update(peers_, now)) return;
  SyncBackendPool();
  for (const auto& [id, allocator] : allocator_map_.used_allocators()) {
    const auto before = allocator_of_.find(id);
    const bool changed = before == allocator_of_.end() || before->second.node != allocator.node ||
                         before->second.incarnation != allocator.incarnation;
    if (!changed) continue;
    backend_pool_.RevokeBatchGrant(id);
    changed_backends_.insert(id);
    allocator_states_.try_emplace(allocator.node, AllocatorState{0, now, {}, {}, {}, {}, {}});
  }
  allocator_of_ = allocator_map_.used_allocators();
  allocator_.SetOwnedBackends(allocator_map_.owned_backends(), now);
  if (!changed_backends_.empty()) ScheduleFlush();
}

void PeerMessenger::SyncBackendPool() {
  std::vector<BackendId> gone;
  backend_pool_.ForEach([&](const BackendInfo& info, const SlotUsage& /*use*/) {
    if (!allocator_map_.used_allocators().contains(info.id)) gone.push_back(info.id);
  });
  for (const BackendId& id : gone) backend_pool_.Remove(id);
  for (const BackendInfo& info : allocator_map_.used_backends()) backend_pool_.AddOrUpdate(info);
}

void PeerMessenger::SuspectSilentAllocators() {
  const Time now = Loop::Now();
  std::set<NodeId> allocators;
  for (const auto& [backend, allocator] : allocator_of_) allocators.insert(allocator.node);
  for (const NodeId& node : allocators) {
    if (node == peers_.self().node) continue;
    const auto found = allocator_states_.find(node);
    if (found == allocator_states_.end() || !IsSilent(found->second, now)) continue;
    Log(LogLevel::kWarning, "keeper_silent", {{"peer", node.value}});
    peers_.Suspect(node);
    allocator_states_.erase(found);
  }
}

// An allocator rarely sends grants to an idle entry. The timeout of a busy entry therefore starts
// when this entry became busy.
bool PeerMessenger::IsSilent(const AllocatorState& allocator, Time now) {
  if (!allocator.busy_since) return now - allocator.heard_at >= kIdleAllocatorTimeout;
  return now - std::max(allocator.heard_at, *allocator.busy_since) >= kAllocatorTimeout;
}

void PeerMessenger::Heartbeat() {
  SuspectSilentAllocators();
  UpdateAllocators();
  const Time now = Loop::Now();
  const bool has_waiting = !hooks_.waiting_items().empty();
  std::map<NodeId, std::vector<SlotReport::Line>> lines;
  for (const auto& [backend, allocator] : allocator_of_)
    lines[allocator.node].push_back(ReportLineFor(backend));
  for (auto& [node, each] : lines) {
    const Peer* peer = peers_.Find(node);
    if (peer == nullptr) continue;
    AllocatorState& allocator = allocator_states_[node];
    const bool busy = has_waiting || !std::all_of(each.begin(), each.end(), IsUnused);
    if (!busy) allocator.busy_since.reset();
    if (busy && !allocator.busy_since) allocator.busy_since = now;
    const bool full = now - allocator.full_report_at >= SlotAllocator::kIdleHeartbeat;
    if (!busy && !full) continue;
    if (full) allocator.full_report_at = now;
    if (!full) std::erase_if(each, IsUnused);
    SendReport(*peer, {std::move(each), /*rest_unused=*/true});
  }
}

SlotReport::Line PeerMessenger::ReportLineFor(const BackendId& backend) const {
  const SlotUsage use = backend_pool_.UsageOf(backend);
  return {backend,     use.online, use.batch,      use.usual_run,
          use.answers, use.faults, TagOf(backend), use.timing};
}

IncarnationTag PeerMessenger::TagOf(const BackendId& backend) const {
  const BackendInfo* info = backend_pool_.Find(backend);
  return info == nullptr ? IncarnationTag{} : figmill::TagOf(info->incarnation);
}

void PeerMessenger::OnUsageChanged(const BackendId& backend) {
  changed_backends_.insert(backend);
  ScheduleFlush();
}

void PeerMessenger::OnWaitingChanged() {
  if (std::exchange(waiting_report_scheduled_, true)) return;
  loop_.Later(kWaitingReportDelay, [this] {
    waiting_report_scheduled_ = false;
    for (const auto& [backend, allocator] : allocator_of_) reports_due_.insert(allocator.node);
    Flush();
  });
}

// Coalesces the changes of one iteration of the event loop.
void PeerMessenger::ScheduleFlush() {
  if (std::exchange(flush_scheduled_, true)) return;
  loop_.Post([this] { Flush(); });
}

void PeerMessenger::Flush() {
  flush_scheduled_ = false;
  std::map<NodeId, ReportLines> lines;
  for (const BackendId& backend : std::exchange(changed_backends_, {})) {
    const auto allocator = allocator_of_.find(backend);
    if (allocator != allocator_of_.end())
      lines[allocator->second.node].lines.push_back(ReportLineFor(backend));
  }
  for (const NodeId& allocator : std::exchange(reports_due_, {})) lines[allocator];
  for (auto& [node, each] : lines) {
    const Peer* allocator = peers_.Find(node);
    if (allocator != nullptr) SendReport(*allocator, std::move(each));
  }
}

void PeerMessenger::SendReport(const Peer& allocator, ReportLines lines) {
  SlotReport report;
  report.number = ++report_number_;
  AllocatorState& state = allocator_states_[allocator.node];
  report.acked_grant = state.applied_grant;
  state.reported_at = Loop::Now();
  report.acked_requests = std::exchange(state.unreported_acks, {});
  report.waiting = hooks_.waiting_items();
  report.lines = std::move(lines.lines);
  report.rest_unused = lines.rest_unused;
  if (allocator.node == peers_.self().node) {
    allocator_.OnReport(allocator, /*local=*/true, report, Loop::Now());
    return SendGrants();
  }
  PeerMessage message;
  message.report = std::move(report);
  Send(allocator, std::move(message));
}

void PeerMessenger::SendGrants() {
  for (SlotAllocator::Outgoing& outgoing : allocator_.TakeOutgoing(Loop::Now())) {
    const Peer* peer = peers_.Find(outgoing.to);
    if (peer == nullptr) continue;
    if (peer->node == peers_.self().node) {
      if (outgoing.grant) OnGrant(*peer, *outgoing.grant);
      if (outgoing.answer) {
        // Not from within RequestSlot.
        loop_.Post([this, answer = *outgoing.answer] { hooks_.slot_answered(answer); });
      }
      continue;
    }
    PeerMessage message;
    message.grant = std::move(outgoing.grant);
    message.slot_response = std::move(outgoing.answer);
    Send(*peer, std::move(message));
  }
}

void PeerMessenger::LogEjections() {
  for (const SlotAllocator::Ejection& each : allocator_.TakeEjections()) {
    Log(LogLevel::kWarning, each.ejected ? "backend_ejected" : "backend_readmitted",
        {{"backend", each.backend.value},
         {"service", each.service.value},
         {"sick", std::to_string(each.unhealthy)},
         {"kept", std::to_string(each.total)}});
  }
}

void PeerMessenger::LogSmallServices() {
  const Time now = Loop::Now();
  if (now - small_services_logged_at_ < kSmallServiceLogInterval) return;
  small_services_logged_at_ = now;
  for (const SlotAllocator::LineCounts& each : allocator_.TakeLineCounts()) {
    const auto count = [&](const std::string& outcome, int requests) {
      metrics_
          .counter("figmill_small_service_requests_total",
                   "Online requests for a service with few slots, by what its allocator decided",
                   "service=\"" + each.service.value + "\",outcome=\"" + outcome + "\"")
          .Add(static_cast<std::uint64_t>(requests));
    };
    count("admitted", each.counts.admitted);
    count("refused", each.counts.refused);
    count("missed", each.counts.missed);
    if (each.counts.refused + each.counts.missed == 0) continue;
    Log(LogLevel::kInfo, "small_service",
        {{"service", each.service.value},
         {"admitted", std::to_string(each.counts.admitted)},
         {"refused", std::to_string(each.counts.refused)},
         {"missed", std::to_string(each.counts.missed)}});
  }
}

void PeerMessenger::LogShares() {
  for (const SlotAllocator::ShareSummary& each : allocator_.TakeShareSummaries(Loop::Now())) {
    displaced_requests_.Add(static_cast<std::uint64_t>(each.displaced));
    Log(LogLevel::kInfo, "slots_shared",
        {{"service", each.service.value},
         {"teams", std::to_string(each.teams)},
         {"refused", std::to_string(each.refused)},
         {"displaced", std::to_string(each.displaced)},
         {"by_team", each.by_team}});
  }
}

void PeerMessenger::SetFastestEngines() {
  std::set<ServiceName> services;
  for (const auto& [id, backend] : allocator_map_.owned_backends())
    services.insert(backend.service);
  for (const ServiceName& service : services)
    allocator_.SetFastest(service, backend_pool_.FastestOf(service));
}

void PeerMessenger::LogSpeedChanges() {
  for (const SlotAllocator::SpeedChange& each : allocator_.TakeSpeedChanges()) {
    Log(LogLevel::kInfo, "engine_speed",
        {{"backend", each.backend.value},
         {"service", each.service.value},
         {"class", std::to_string(each.speed_class)},
         {"event_ms", Milliseconds(each.time_per_event)},
         {"fastest_ms", Milliseconds(each.fastest)}});
  }
}

void PeerMessenger::RequestSlot(const NodeId& allocator, const SlotRequest& ask) {
  if (allocator == peers_.self().node) {
    allocator_.OnRequest(allocator, ask, Loop::Now());
    return SendGrants();
  }
  const Peer* peer = peers_.Find(allocator);
  if (peer == nullptr) return;
  PeerMessage message;
  message.slot_request = ask;
  Send(*peer, std::move(message));
}

void PeerMessenger::AcknowledgeAnswer(const NodeId& allocator, std::uint64_t ask) {
  allocator_states_[allocator].unreported_acks.push_back(ask);
  reports_due_.insert(allocator);
  ScheduleFlush();
}

// For an allocator in another data centre, the totals per service are newer than the lines per
// backend server.
void PeerMessenger::ApplyServiceUsage(const NodeId& allocator, const ServiceName& service,
                                      AllocatorShare& share) const {
  const auto from = allocator_states_.find(allocator);
  if (from == allocator_states_.end()) return;
  for (const SlotGrant::ServiceUsage& use : from->second.service_usage) {
    if (use.service != service || use.slots == 0) continue;
    share.slots.SetTotals(use.slots, use.online);
  }
}

std::vector<NodeId> PeerMessenger::AllocatorsFor(const BackendQuery& query) const {
  std::map<NodeId, AllocatorShare> shares;
  const std::optional<Duration> fastest = backend_pool_.FastestOf(query.service);
  backend_pool_.ForEach([&](const BackendInfo& info, const SlotUsage& use) {
    const auto allocator = allocator_of_.find(info.id);
    const bool usable = query.Allows(info) && info.state == BackendState::kReady;
    if (allocator == allocator_of_.end() || !usable) return;
    AllocatorShare& share = shares[allocator->second.node];
    share.slots.Add(backend_pool_.SpeedClassOf(info.id, fastest), info.slots,
                    std::max(0, info.slots - use.online - use.online_other));
    share.local = info.data_centre == peers_.self().data_centre;
  });
  std::vector<std::pair<double, NodeId>> order;
  order.reserve(shares.size());
  for (auto& [node, share] : shares) {
    ApplyServiceUsage(node, query.service, share);
    const bool prefer = share.local && share.slots.any();
    order.emplace_back(share.slots.Score() + (prefer ? kLocalPreference : 0), node);
  }
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<NodeId> allocators;
  allocators.reserve(order.size());
  for (auto& [free, node] : order) allocators.push_back(std::move(node));
  return allocators;
}

}  // namespace figmill
