#include "gateway/peer_link.h"

#include <utility>

namespace figmill {

static_assert(kMaxPeerMessageBytes <= kMaxDatagramBytes);

PeerLink::PeerLink(Loop& loop, PeerTable& peers, PlaceBook& places, Metrics& metrics, Hooks hooks)
    : loop_(loop), peers_(peers), places_(places), metrics_(metrics), hooks_(std::move(hooks)) {}

Result<Ok> PeerLink::Start(const std::vector<Address>& seeds) {
  Result<std::unique_ptr<UdpSocket>> socket = UdpSocket::Bind(
      loop_, peers_.self().address,
      [this](std::string_view bytes, const Address& /*from*/) { OnDatagram(bytes); }, &metrics_);
  if (!IsOk(socket)) return ErrorOf(socket);
  socket_ = std::move(ValueOf(socket));
  for (const Address& seed : seeds) {
    PeerMessage message;
    message.from = peers_.self();
    message.hello = true;
    socket_->Send(Encode(message), seed);
  }
  heartbeat_ = loop_.Every(PeerTable::kHeartbeat, [this] { Heartbeat(); });
  grant_timer_ = loop_.Every(PlaceKeeper::kCoalesce, [this] { SendGrants(); });
  return Ok{};
}

void PeerLink::Leave() {
  peers_.SetLeaving(true);
  Heartbeat();
}

void PeerLink::Named(const Peer& peer) {
  if (!peers_.Named(peer, Loop::Now())) return;
  PeerMessage message;
  message.hello = true;
  Send(peer, std::move(message));
}

void PeerLink::Unlisted(const NodeId& node) {
  if (!peers_.IsLive(node, Loop::Now())) peers_.Forget(node);
}

void PeerLink::Send(const Peer& to, PeerMessage message) {
  message.from = peers_.self();
  socket_->Send(Encode(message), to.address);
}

// --- In ---------------------------------------------------------------------------

void PeerLink::OnDatagram(std::string_view bytes) {
  const Result<PeerMessage> decoded = DecodePeerMessage(bytes);
  if (!IsOk(decoded)) {
    Log(LogLevel::kWarning, "peer_message_refused", {{"why", ErrorOf(decoded).detail}});
    return;
  }
  const PeerMessage& message = ValueOf(decoded);
  const Time now = Loop::Now();
  if (peers_.Heard(message.from, now)) {
    Log(LogLevel::kInfo, "peer_live",
        {{"peer", message.from.node.value},
         {"incarnation", std::to_string(message.from.incarnation)},
         {"address", ToString(message.from.address)}});
    acted_.erase(message.from.node);
    UpdateKeepers();
  }
  for (const Peer& peer : message.known) Named(peer);
  if (message.hello) {
    PeerMessage answer;
    answer.known = peers_.others();
    Send(message.from, std::move(answer));
  }
  if (message.report) {
    keeper_.OnReport(message.from.node, message.from.incarnation, *message.report, now);
    SendGrants();
  }
  if (message.grant) OnGrant(message.from, *message.grant);
}

void PeerLink::OnGrant(const Peer& from, const PlaceGrant& grant) {
  std::uint64_t& acted = acted_[from.node];
  if (grant.number <= acted) return;
  acted = grant.number;
  bool changed = false;
  for (const PlaceGrant::Line& line : grant.lines) {
    const auto keeper = keeper_of_.find(line.backend);
    if (keeper == keeper_of_.end() || keeper->second.node != from.node) continue;
    changed |= places_.Use(line.backend).batch_allowed != line.allowed;
    places_.SetGrant(line.backend, line.online_other, line.batch_other, line.allowed);
  }
  if (!changed) return;
  owed_.insert(from.node);
  hooks_.grants_changed();
  ScheduleFlush();
}

// --- Out --------------------------------------------------------------------------

void PeerLink::UpdateKeepers() {
  const Time now = Loop::Now();
  std::map<BackendId, int> mine;
  std::map<BackendId, Peer> next;
  places_.ForEach([&](const BackendInfo& info, const PlaceUse& /*use*/) {
    const std::optional<Peer> keeper = peers_.KeeperOf(info, now);
    if (!keeper) return;
    next[info.id] = *keeper;
    const bool usable = info.state == BackendState::kReady;
    if (keeper->node == peers_.self().node) mine[info.id] = usable ? info.places : 0;
    const auto before = keeper_of_.find(info.id);
    const bool changed = before == keeper_of_.end() || before->second.node != keeper->node ||
                         before->second.incarnation != keeper->incarnation;
    if (!changed) return;
    places_.DropGrant(info.id);
    touched_.insert(info.id);
  });
  keeper_of_ = std::move(next);
  keeper_.Keep(mine, now);
  if (!touched_.empty()) ScheduleFlush();
}

void PeerLink::Heartbeat() {
  UpdateKeepers();
  std::map<NodeId, std::vector<PlaceReport::Line>> lines;
  for (const auto& [backend, keeper] : keeper_of_) lines[keeper.node].push_back(LineOf(backend));
  touched_.clear();
  owed_.clear();
  SendReport(peers_.self(), std::move(lines[peers_.self().node]));
  for (const Peer& peer : peers_.others()) SendReport(peer, std::move(lines[peer.node]));
}

PlaceReport::Line PeerLink::LineOf(const BackendId& backend) const {
  const PlaceUse use = places_.Use(backend);
  return {backend, use.online, use.batch};
}

void PeerLink::Touch(const BackendId& backend) {
  touched_.insert(backend);
  ScheduleFlush();
}

void PeerLink::WantedChanged() {
  for (const auto& [backend, keeper] : keeper_of_) owed_.insert(keeper.node);
  ScheduleFlush();
}

// Changes of one pass through the loop go out together.
void PeerLink::ScheduleFlush() {
  if (std::exchange(flush_scheduled_, true)) return;
  loop_.Post([this] { Flush(); });
}

void PeerLink::Flush() {
  flush_scheduled_ = false;
  std::map<NodeId, std::vector<PlaceReport::Line>> lines;
  for (const BackendId& backend : std::exchange(touched_, {})) {
    const auto keeper = keeper_of_.find(backend);
    if (keeper != keeper_of_.end()) lines[keeper->second.node].push_back(LineOf(backend));
  }
  for (const NodeId& keeper : std::exchange(owed_, {})) lines[keeper];
  for (auto& [node, each] : lines) {
    const Peer* keeper = peers_.Find(node);
    if (keeper != nullptr) SendReport(*keeper, std::move(each));
  }
}

void PeerLink::SendReport(const Peer& keeper, std::vector<PlaceReport::Line> lines) {
  PlaceReport report;
  report.number = ++report_number_;
  report.grant = acted_[keeper.node];
  report.wanted = hooks_.wanted();
  report.lines = std::move(lines);
  if (keeper.node == peers_.self().node) {
    keeper_.OnReport(keeper.node, keeper.incarnation, report, Loop::Now());
    return SendGrants();
  }
  PeerMessage message;
  message.report = std::move(report);
  Send(keeper, std::move(message));
}

void PeerLink::SendGrants() {
  for (PlaceKeeper::Outgoing& outgoing : keeper_.Due(Loop::Now())) {
    const Peer* peer = peers_.Find(outgoing.to);
    if (peer == nullptr) continue;
    if (peer->node == peers_.self().node) {
      OnGrant(*peer, outgoing.grant);
      continue;
    }
    PeerMessage message;
    message.grant = std::move(outgoing.grant);
    Send(*peer, std::move(message));
  }
}

}  // namespace figmill
