#include "gateway/peer_link.h"

#include <algorithm>
#include <utility>

namespace figmill {

static_assert(kMaxPeerMessageBytes <= kMaxDatagramBytes);

namespace {

TrafficKind KindOf(const PeerMessage& message) {
  if (message.report) return TrafficKind::kReport;
  if (message.grant) return TrafficKind::kGrant;
  if (message.slot_request) return TrafficKind::kAsk;
  if (message.slot_response) return TrafficKind::kAnswer;
  if (message.quota_request || message.quota_grant) return TrafficKind::kQuota;
  return TrafficKind::kPresence;
}

}  // namespace

PeerLink::PeerLink(Loop& loop, PeerTable& peers, BackendPool& places, Metrics& metrics,
                   TrafficMetrics& traffic, Hooks hooks)
    : loop_(loop),
      peers_(peers),
      places_(places),
      metrics_(metrics),
      traffic_(traffic),
      datagrams_(
          metrics.counter("figmill_peer_datagrams_total", "Datagrams sent to other entries")),
      datagram_bytes_(metrics.counter("figmill_peer_bytes_total",
                                      "Bytes of datagrams sent to other entries, without headers")),
      refused_(metrics.counter("figmill_peer_messages_refused_total",
                               "Datagrams that are no message of an entry")),
      hooks_(std::move(hooks)) {}

Result<Ok> PeerLink::Start(const std::vector<Address>& seeds) {
  Result<std::unique_ptr<UdpSocket>> socket = UdpSocket::Bind(
      loop_, peers_.self().address,
      [this](std::string_view bytes, const Address& from) { OnDatagram(bytes, from); }, &metrics_);
  if (!IsOk(socket)) return ErrorOf(socket);
  socket_ = std::move(ValueOf(socket));
  AskSeeds(seeds, PeerMessage::WantedReply::kAny);
  seeds_timer_ = loop_.After(kStorePatience, [this, seeds] {
    if (!listed_) AskSeeds(seeds, PeerMessage::WantedReply::kKnownPeers);
  });
  heartbeat_ = loop_.Every(kHeartbeat, [this] { Heartbeat(); });
  watch_timer_ = loop_.Every(PeerTable::kProbeInterval / 2, [this] { WatchPeers(); });
  grant_timer_ = loop_.Every(SlotAllocator::kCoalesce, [this] {
    keeper_.Tick(Loop::Now());
    LogEjections();
    SendGrants();
  });
  return Ok{};
}

// Who they are is not known yet, so that no message to them counts as one to a peer.
void PeerLink::AskSeeds(const std::vector<Address>& seeds, PeerMessage::WantedReply wants) {
  for (const Address& seed : seeds) {
    PeerMessage message;
    message.from = peers_.self();
    message.wanted_reply = wants;
    socket_->Send(Encode(message), seed);
  }
}

void PeerLink::Joined() {
  if (!peers_.FinishJoining()) return;
  Log(LogLevel::kInfo, "joined", {{"node", peers_.self().node.value}});
  TellAll();
  UpdateKeepers();
}

void PeerLink::TellAll() {
  for (const Peer& peer : peers_.others()) Send(peer, PeerMessage{});
}

void PeerLink::Leave() {
  peers_.SetLeaving(true);
  TellAll();
  Heartbeat();
}

void PeerLink::Named(const Peer& peer) {
  listed_ = true;
  if (peer.node == peers_.self().node) return Outlive(peer.incarnation);
  if (peers_.AddListed(peer)) SendQuestion(peer, PeerMessage::WantedReply::kAny);
}

void PeerLink::SendQuestion(const Peer& to, PeerMessage::WantedReply wants) {
  PeerMessage message;
  message.wanted_reply = wants;
  Send(to, std::move(message));
}

// Lists are cut to the size of a datagram, and go on where the last one of them begins its own: so
// that one alone is asked whom it knows. Asked of all, n entries that start together would send
// each other n * n full lists: of 110, some 17 MB, most of it between data centres.
void PeerLink::LearnOf(std::span<const Peer> peers) {
  std::optional<Peer> last;
  for (const Peer& peer : peers) {
    if (peer.node == peers_.self().node) {
      Outlive(peer.incarnation);
      continue;
    }
    if (!peers_.AddListed(peer)) continue;
    if (last) SendQuestion(*last, PeerMessage::WantedReply::kAny);
    last = peer;
  }
  if (last) SendQuestion(*last, PeerMessage::WantedReply::kKnownPeers);
}

void PeerLink::Outlive(Incarnation known) {
  const Incarnation before = peers_.self().incarnation;
  if (!peers_.RaiseIncarnation(known)) return;
  Log(LogLevel::kWarning, "incarnation_raised",
      {{"before", std::to_string(before)},
       {"known", std::to_string(known)},
       {"now", std::to_string(peers_.self().incarnation)}});
  hooks_.renamed(peers_.self());
  UpdateKeepers();
  Heartbeat();
}

void PeerLink::Unlisted(const NodeId& node) {
  peers_.MarkUnlisted(node);
}

void PeerLink::Send(const Peer& to, PeerMessage message) {
  message.from = peers_.self();
  const std::string bytes = Encode(message);
  datagrams_.Add();
  datagram_bytes_.Add(bytes.size());
  const Reach reach = IsNear(to) ? Reach::kSameCentre : Reach::kOtherCentre;
  traffic_.Of(KindOf(message), reach).Add(bytes.size());
  socket_->Send(bytes, to.address);
}

void PeerLink::SendQuota(const Peer& to, const QuotaRequest& ask) {
  PeerMessage message;
  message.quota_request = ask;
  Send(to, std::move(message));
}

void PeerLink::SendQuota(const Peer& to, const QuotaGrant& grant) {
  PeerMessage message;
  message.quota_grant = grant;
  Send(to, std::move(message));
}

// --- In ---------------------------------------------------------------------------

// Anybody may send to this port.
void PeerLink::OnUnreadable(const Address& from, const std::string& why) {
  refused_.Add();
  const Time now = Loop::Now();
  if (why == refused_why_ && now - refused_logged_at_ < kRefusalLogPause) return;
  refused_why_ = why;
  refused_logged_at_ = now;
  Log(LogLevel::kWarning, "peer_message_refused", {{"from", ToString(from)}, {"why", why}});
}

void PeerLink::OnDatagram(std::string_view bytes, const Address& from) {
  const Result<PeerMessage> decoded = DecodePeerMessage(bytes);
  if (!IsOk(decoded)) return OnUnreadable(from, ErrorOf(decoded).detail);
  const PeerMessage& message = ValueOf(decoded);
  if (const Peer* later = peers_.FindLaterProcess(message.from)) {
    // Either it came late, or its sender has to be told.
    PeerMessage answer;
    answer.known_peers = {*later};
    return Send(message.from, std::move(answer));
  }
  const Time now = Loop::Now();
  if (peers_.RecordMessage(message.from, now)) {
    Log(LogLevel::kInfo, "peer_live",
        {{"peer", message.from.node.value},
         {"incarnation", std::to_string(message.from.incarnation)},
         {"address", ToString(message.from.address)}});
    from_keeper_.erase(message.from.node);
    UpdateKeepers();
  }
  LearnOf(message.known_peers);
  if (message.wanted_reply != PeerMessage::WantedReply::kNone) {
    PeerMessage answer;
    if (message.wanted_reply == PeerMessage::WantedReply::kKnownPeers)
      answer.known_peers = peers_.others();
    Send(message.from, std::move(answer));
  }
  if (message.report) {
    keeper_.OnReport(message.from, IsNear(message.from), *message.report, now);
    SendGrants();
  }
  if (message.slot_request) {
    keeper_.OnRequest(message.from.node, *message.slot_request, now);
    SendGrants();
  }
  if (message.grant) OnGrant(message.from, *message.grant);
  if (message.slot_response) hooks_.answered(*message.slot_response);
  if (message.quota_request) hooks_.quota_asked(message.from, *message.quota_request);
  if (message.quota_grant) hooks_.quota_granted(*message.quota_grant);
}

bool PeerLink::IsNear(const Peer& peer) const {
  return peer.data_centre == peers_.self().data_centre;
}

void PeerLink::WatchPeers() {
  const PeerTable::CheckResult watch = peers_.CheckPeers(Loop::Now());
  for (const Peer& peer : watch.to_probe) SendQuestion(peer, PeerMessage::WantedReply::kAny);
  for (const Peer& peer : watch.newly_suspected) {
    Log(LogLevel::kWarning, "peer_silent",
        {{"peer", peer.node.value}, {"incarnation", std::to_string(peer.incarnation)}});
    hooks_.silent(peer);
  }
}

}  // namespace figmill
