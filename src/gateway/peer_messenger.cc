#include "gateway/peer_messenger.h"

#include <algorithm>
#include <utility>

namespace figmill {

static_assert(kMaxPeerMessageBytes <= kMaxDatagramBytes);

namespace {

TrafficKind TrafficKindOf(const PeerMessage& message) {
  if (message.report) return TrafficKind::kReport;
  if (message.grant) return TrafficKind::kGrant;
  if (message.slot_request) return TrafficKind::kSlotRequest;
  if (message.slot_response) return TrafficKind::kSlotResponse;
  if (message.quota_request || message.quota_grant) return TrafficKind::kQuota;
  if (message.stream) return TrafficKind::kStream;
  return TrafficKind::kPresence;
}

}  // namespace

PeerMessenger::PeerMessenger(Loop& loop, PeerTable& peers, BackendPool& backend_pool,
                             Metrics& metrics, TrafficMetrics& traffic, Hooks hooks)
    : loop_(loop),
      peers_(peers),
      backend_pool_(backend_pool),
      metrics_(metrics),
      traffic_(traffic),
      datagrams_(
          metrics.counter("figmill_peer_datagrams_total", "Datagrams sent to other entries")),
      datagram_bytes_(metrics.counter("figmill_peer_bytes_total",
                                      "Bytes of datagrams sent to other entries, without headers")),
      refused_datagrams_(metrics.counter("figmill_peer_messages_refused_total",
                                         "Datagrams that are no message of an entry")),
      displaced_requests_(metrics.counter(
          "figmill_displaced_requests_total",
          "Requests refused by this allocator after it had queued them, for other teams' shares")),
      hooks_(std::move(hooks)) {}

Result<Ok> PeerMessenger::Start(const std::vector<Address>& seeds) {
  Result<std::unique_ptr<UdpSocket>> socket = UdpSocket::Bind(
      loop_, peers_.self().address,
      [this](std::string_view bytes, const Address& from) { OnDatagram(bytes, from); }, &metrics_);
  if (!IsOk(socket)) return ErrorOf(socket);
  socket_ = std::move(ValueOf(socket));
  QuerySeeds(seeds, PeerMessage::WantedReply::kAny);
  seeds_timer_ = loop_.After(kSeedQueryDelay, [this, seeds] {
    if (!peer_listed_) QuerySeeds(seeds, PeerMessage::WantedReply::kKnownPeers);
  });
  heartbeat_ = loop_.Every(kHeartbeat, [this] { Heartbeat(); });
  watch_timer_ = loop_.Every(PeerTable::kProbeInterval / 2, [this] { WatchPeers(); });
  grant_timer_ = loop_.Every(SlotAllocator::kCoalesce, [this] {
    SetFastestEngines();
    allocator_.Tick(Loop::Now());
    LogEjections();
    LogSmallServices();
    LogShares();
    LogSpeedChanges();
    SendGrants();
  });
  return Ok{};
}

// The peers at these addresses are not known yet, so these messages aren't counted as traffic to a
// peer.
void PeerMessenger::QuerySeeds(const std::vector<Address>& seeds, PeerMessage::WantedReply wants) {
  for (const Address& seed : seeds) {
    PeerMessage message;
    message.from = peers_.self();
    message.wanted_reply = wants;
    socket_->Send(Encode(message), seed);
  }
}

void PeerMessenger::Join() {
  if (!peers_.FinishJoining()) return;
  Log(LogLevel::kInfo, "joined", {{"node", peers_.self().node.value}});
  for (const Peer& peer : peers_.others()) {
    if (peers_.ShouldGreet(peer)) Send(peer, PeerMessage{});
  }
  UpdateAllocators();
}

void PeerMessenger::AnnounceToAll() {
  for (const Peer& peer : peers_.others()) Send(peer, PeerMessage{});
}

void PeerMessenger::Leave() {
  peers_.SetLeaving(true);
  AnnounceToAll();
  Heartbeat();
}

void PeerMessenger::OnPeerListed(const Peer& peer) {
  peer_listed_ = true;
  if (peer.node == peers_.self().node) return RaiseIncarnation(peer.incarnation);
  if (peers_.AddListed(peer) && peers_.ShouldGreet(peer)) {
    SendQuery(peer, PeerMessage::WantedReply::kAny);
  }
}

void PeerMessenger::SendQuery(const Peer& to, PeerMessage::WantedReply wants) {
  PeerMessage message;
  message.wanted_reply = wants;
  Send(to, std::move(message));
}

// Peer lists are truncated to the size of a datagram, and the list of the last peer in one
// continues it. So only that peer is asked for the peers it knows. If all were asked, n entries
// that start together would send n * n full lists: about 17 MB for 110 entries, most of it between
// data centres.
void PeerMessenger::AddPeers(std::span<const Peer> peers) {
  std::optional<Peer> last;
  for (const Peer& peer : peers) {
    if (peer.node == peers_.self().node) {
      RaiseIncarnation(peer.incarnation);
      continue;
    }
    if (!peers_.AddListed(peer)) continue;
    if (last) SendQuery(*last, PeerMessage::WantedReply::kAny);
    last = peer;
  }
  if (last) SendQuery(*last, PeerMessage::WantedReply::kKnownPeers);
}

void PeerMessenger::RaiseIncarnation(Incarnation known) {
  const Incarnation before = peers_.self().incarnation;
  if (!peers_.RaiseIncarnation(known)) return;
  Log(LogLevel::kWarning, "incarnation_raised",
      {{"before", std::to_string(before)},
       {"known", std::to_string(known)},
       {"now", std::to_string(peers_.self().incarnation)}});
  hooks_.self_updated(peers_.self());
  UpdateAllocators();
  Heartbeat();
}

void PeerMessenger::OnPeerUnlisted(const NodeId& node) {
  peers_.MarkUnlisted(node);
}

void PeerMessenger::Send(const Peer& to, PeerMessage message) {
  message.from = peers_.self();
  SendAsIs(to, message);
}

void PeerMessenger::SendAsIs(const Peer& to, const PeerMessage& message) {
  const std::string bytes = Encode(message);
  datagrams_.Add();
  datagram_bytes_.Add(bytes.size());
  const Reach reach = IsLocal(to) ? Reach::kSameCentre : Reach::kOtherCentre;
  traffic_.CounterFor(TrafficKindOf(message), reach).Add(bytes.size());
  socket_->Send(bytes, to.address);
}

void PeerMessenger::SendQuota(const Peer& to, const QuotaRequest& ask) {
  PeerMessage message;
  message.quota_request = ask;
  Send(to, std::move(message));
}

void PeerMessenger::SendQuota(const Peer& to, const QuotaGrant& grant) {
  PeerMessage message;
  message.quota_grant = grant;
  Send(to, std::move(message));
}

void PeerMessenger::SendStream(const Peer& to, const StreamMessage& stream) {
  PeerMessage message;
  message.stream = stream;
  if (std::holds_alternative<StreamRecords>(stream)) return SendAsIs(to, message);
  Send(to, std::move(message));
}

// --- Receiving --------------------------------------------------------------------

// Any host can send to this port, so malformed datagrams are expected and their log lines limited.
void PeerMessenger::OnMalformedDatagram(const Address& from, const std::string& why) {
  refused_datagrams_.Add();
  const Time now = Loop::Now();
  if (why == last_refusal_ && now - last_refusal_logged_at_ < kRefusalLogInterval) return;
  last_refusal_ = why;
  last_refusal_logged_at_ = now;
  Log(LogLevel::kWarning, "peer_message_refused", {{"from", ToString(from)}, {"why", why}});
}

void PeerMessenger::OnDatagram(std::string_view bytes, const Address& from) {
  const Result<PeerMessage> decoded = DecodePeerMessage(bytes);
  if (!IsOk(decoded)) return OnMalformedDatagram(from, ErrorOf(decoded).detail);
  const PeerMessage& message = ValueOf(decoded);
  if (message.from.node.empty()) return hooks_.stream_received(message.from, *message.stream);
  if (const Peer* later = peers_.FindLaterProcess(message.from)) {
    // The datagram is late, or its sender doesn't know that a later incarnation exists.
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
    allocator_states_.erase(message.from.node);
    UpdateAllocators();
  }
  AddPeers(message.known_peers);
  if (message.wanted_reply != PeerMessage::WantedReply::kNone) {
    PeerMessage answer;
    if (message.wanted_reply == PeerMessage::WantedReply::kKnownPeers)
      answer.known_peers = peers_.others();
    Send(message.from, std::move(answer));
  }
  if (message.report) {
    allocator_.OnReport(message.from, IsLocal(message.from), *message.report, now);
    SendGrants();
  }
  if (message.slot_request) {
    allocator_.OnRequest(message.from.node, *message.slot_request, now);
    SendGrants();
  }
  if (message.grant) OnGrant(message.from, *message.grant);
  if (message.slot_response) hooks_.slot_answered(*message.slot_response);
  if (message.quota_request) hooks_.quota_requested(message.from, *message.quota_request);
  if (message.quota_grant) hooks_.quota_granted(*message.quota_grant);
  if (message.stream) hooks_.stream_received(message.from, *message.stream);
}

bool PeerMessenger::IsLocal(const Peer& peer) const {
  return peer.data_centre == peers_.self().data_centre;
}

void PeerMessenger::WatchPeers() {
  const PeerTable::CheckResult watch = peers_.CheckPeers(Loop::Now());
  for (const Peer& peer : watch.to_probe) SendQuery(peer, PeerMessage::WantedReply::kAny);
  for (const Peer& peer : watch.newly_suspected) {
    Log(LogLevel::kWarning, "peer_silent",
        {{"peer", peer.node.value}, {"incarnation", std::to_string(peer.incarnation)}});
    hooks_.peer_silent(peer);
  }
}

}  // namespace figmill
