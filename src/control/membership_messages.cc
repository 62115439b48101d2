#include <algorithm>
#include <utility>

#include "control/membership_impl.h"

namespace figmill {
namespace {

constexpr std::size_t kDatagramBytes = 1400;
constexpr std::size_t kHeaderBytes = 28;  // IP and UDP
constexpr std::size_t kMaxPartBytes = 700;
// How often each member that receives an update sends it on.
constexpr int kUpdateRepeats = 8;
constexpr std::size_t kUrgentPeers = 4;
constexpr std::size_t kMaxRecordRequests = 12;
constexpr Duration kRecordRequestRetry{1'000'000};
constexpr Duration kRelayTimeout{1'000'000};
// If no equal table hash arrives for this long, a digest is sent over HTTP; the interval
// doubles, up to the maximum, until the hashes match. A digest of 960 members is 7.7 KB.
constexpr Duration kMinFetchInterval{5'000'000};
constexpr Duration kMaxFetchInterval{10'000'000};

}  // namespace

// --- Sending -----------------------------------------------------------------------

Message Membership::Impl::MakeMessage(MessageKind kind, std::uint64_t nonce) const {
  Message message;
  message.kind = kind;
  message.nonce = nonce;
  message.sender = SummaryOf(self());
  message.sequence = self().member.control_sequence;
  message.hash = table_.hash();
  return message;
}

void Membership::Impl::Send(const Address& to, const Message& message) {
  std::string bytes = Encode(message);
  if (bytes.size() > kDatagramBytes) return;  // can't happen: BytesOf gives upper bounds
  const std::size_t cost = bytes.size() + kHeaderBytes;
  byte_budget_ -= static_cast<double>(cost);
  ++counts_.datagrams_sent;
  counts_.bytes_sent += cost;
  out_.emplace_back(SendDatagram{to, std::move(bytes)});
}

void Membership::Impl::SendWithinBudget(const Address& to, const Message& message) {
  if (byte_budget_ > 0) Send(to, message);
}

std::size_t Membership::Impl::AvailableBytes() const {
  const double available =
      byte_budget_ - static_cast<double>(detail::kEmptyMessageBytes + kHeaderBytes);
  return available <= 0 ? 0 : std::min(kMaxPartBytes, static_cast<std::size_t>(available));
}

void Membership::Impl::AddSummary(Message& message, const MemberSummary& summary,
                                  std::size_t& available) const {
  const std::size_t bytes = BytesOf(summary);
  if (bytes > available) return;
  available -= bytes;
  message.updates.push_back(summary);
}

void Membership::Impl::AddRecord(Message& message, const NodeId& node,
                                 std::size_t& available) const {
  const auto* entry = table_.Find(node);
  if (entry == nullptr) return;
  const std::size_t bytes = BytesOf(entry->record);
  if (bytes > available) return;
  available -= bytes;
  message.records.push_back(entry->record);
}

// Adds the least often sent updates first. Only summaries are sent: a receiver without the
// record requests it, while most have already got it from another member.
void Membership::Impl::AddUpdates(Message& message, std::size_t& available) {
  std::vector<std::pair<int, const NodeId*>> order;
  for (const auto& [node, times] : updates_) {
    // Leaving members first: until all peers know, work sent there is rejected.
    const auto* entry = table_.Find(node);
    const bool urgent = entry != nullptr && entry->record.member.leaving;
    order.emplace_back(urgent ? times - kUpdateRepeats : times, &node);
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : *a.second < *b.second;
  });
  std::vector<NodeId> done;
  for (const auto& [times, node] : order) {
    const std::size_t before = available;
    const auto* entry = table_.Find(*node);
    if (entry != nullptr) AddSummary(message, SummaryOf(entry->record), available);
    if (entry != nullptr && available == before) break;  // full
    if (entry == nullptr || ++updates_[*node] >= kUpdateRepeats) done.push_back(*node);
  }
  for (const NodeId& node : done) updates_.erase(node);
}

void Membership::Impl::SendUrgent() {
  for (const NodeId& node : PickPeers(kUrgentPeers)) {
    Message updates = MakeMessage(MessageKind::kUpdates, 0);
    std::size_t available = AvailableBytes();
    AddUpdates(updates, available);
    SendWithinBudget(table_.Find(node)->record.member.gossip, updates);
  }
}

// --- Receiving ---------------------------------------------------------------------

void Membership::Impl::QueueUpdate(const NodeId& node) {
  updates_[node] = 0;
  changed_ = true;
}

// Handles what a peer reports about this member itself; false if it is about another.
bool Membership::Impl::MergeAboutSelf(Time now, const MemberSummary& summary) {
  if (summary.node != self_) return false;
  const MemberRecord& mine = self();
  if (summary.incarnation > mine.member.incarnation) {
    superseded_ = true;
    out_.emplace_back(Superseded{summary.incarnation});
    return true;
  }
  if (!Supersedes(summary, SummaryOf(mine))) return true;
  // This process is reported as suspect or dead: a higher version refutes it.
  MemberRecord record = mine;
  record.version = summary.version + 1;
  (void)table_.Merge(now, record);
  QueueUpdate(self_);
  return true;
}

void Membership::Impl::MergeUpdate(Time now, const MemberSummary& summary,
                                   std::vector<NodeId>& requested_records) {
  if (MergeAboutSelf(now, summary)) return;
  switch (table_.Merge(now, summary)) {
    case MergeResult::kApplied: {
      QueueUpdate(summary.node);
      if (summary.leaving) urgent_rounds_ = std::max(urgent_rounds_, 2);
      break;
    }
    case MergeResult::kRecordMissing: {
      const auto requested = record_requested_.find(summary.node);
      const bool may_request =
          requested == record_requested_.end() || now - requested->second >= kRecordRequestRetry;
      if (!may_request || requested_records.size() >= kMaxRecordRequests) break;
      record_requested_[summary.node] = now;
      requested_records.push_back(summary.node);
      break;
    }
    case MergeResult::kOlder:
    case MergeResult::kSame:
      break;
  }
}

void Membership::Impl::MergeUpdate(Time now, const MemberRecord& record) {
  if (MergeAboutSelf(now, SummaryOf(record))) return;
  if (table_.Merge(now, record) == MergeResult::kApplied) QueueUpdate(record.member.node);
}

// False if a newer process has replaced the sender: the sender is notified, and the
// message is ignored.
bool Membership::Impl::AcceptSender(const Message& message, const Address& from) {
  const auto* entry = table_.Find(message.sender.node);
  if (entry == nullptr) return true;
  if (entry->record.member.incarnation > message.sender.incarnation) {
    Message reply = MakeMessage(MessageKind::kUpdates, 0);
    reply.updates.push_back(SummaryOf(entry->record));
    SendWithinBudget(from, reply);
    return false;
  }
  table_.SetSequence(message.sender.node, message.sender.incarnation, message.sequence);
  if (message.sequence > self().member.control_sequence) {
    out_.emplace_back(PeerAhead{message.sender.node, message.sequence});
  }
  return true;
}

Membership::Impl::Actions Membership::Impl::OnDatagram(Time now, std::string_view bytes,
                                                       const Address& from) {
  ++counts_.datagrams_received;
  counts_.bytes_received += bytes.size() + kHeaderBytes;
  const std::optional<Message> message = detail::Decode(bytes);
  if (!message || superseded_ || message->sender.node == self_) {
    if (!message) ++counts_.unreadable;
    if (!message || superseded_) return {};
  }
  std::vector<NodeId> requested_records;
  MergeUpdate(now, message->sender, requested_records);
  if (superseded_ || message->sender.node == self_) return Flush();
  if (!AcceptSender(*message, from)) return Flush();
  last_heard_ = now;
  for (const MemberRecord& record : message->records) MergeUpdate(now, record);
  for (const MemberSummary& summary : message->updates)
    MergeUpdate(now, summary, requested_records);
  if (superseded_) return Flush();
  switch (message->kind) {
    case MessageKind::kAck:
      OnAck(*message);
      break;
    case MessageKind::kPingRequest:
      OnPingRequest(now, *message, from);
      break;
    case MessageKind::kPing:
    case MessageKind::kUpdates:
    case MessageKind::kSequenceQuery:
      break;
  }
  CompareHashes(now, *message);
  Reply(*message, from, std::move(requested_records));
  return Flush();
}

// --- Answering ---------------------------------------------------------------------

void Membership::Impl::Reply(const Message& message, const Address& from,
                             std::vector<NodeId> requested_records) {
  const bool ping = message.kind == MessageKind::kPing;
  Message reply = MakeMessage(ping ? MessageKind::kAck : MessageKind::kUpdates, message.nonce);
  if (message.kind == MessageKind::kSequenceQuery) return Send(from, reply);
  std::size_t available = AvailableBytes();
  AddReplyContent(reply, message, available);
  AddRecordRequests(reply, std::move(requested_records), available);
  if (ping) {
    AddUpdates(reply, available);
    return Send(from, reply);
  }
  const bool something =
      !reply.requested_records.empty() || !reply.records.empty() || !reply.updates.empty();
  if (something) SendWithinBudget(from, reply);
}

void Membership::Impl::AddRecordRequests(Message& reply, std::vector<NodeId> requested_records,
                                         std::size_t& available) {
  for (NodeId& node : requested_records) {
    const std::size_t bytes = node.value.size() + 2;
    if (bytes > available) {
      record_requested_.erase(node);  // requested again with the next update of it
      continue;
    }
    available -= bytes;
    reply.requested_records.push_back(std::move(node));
  }
}

void Membership::Impl::AddReplyContent(Message& reply, const Message& message,
                                       std::size_t& available) {
  // A sender that is suspect or dead in this table must be told, so that it refutes it.
  const auto* sender = table_.Find(message.sender.node);
  if (sender != nullptr && sender->record.member.liveness != Liveness::kAlive) {
    AddSummary(reply, SummaryOf(sender->record), available);
  }
  for (const NodeId& node : message.requested_records) AddRecord(reply, node, available);
}

void Membership::Impl::CompareHashes(Time now, const Message& message) {
  if (message.hash == table_.hash()) {
    hash_matched_ = now;
    fetch_interval_ = kMinFetchInterval;
    return;
  }
  if (now - std::max(hash_matched_, last_fetch_) < fetch_interval_) return;
  fetch_interval_ = std::min(kMaxFetchInterval, fetch_interval_ * 2);
  if (const auto* sender = table_.Find(message.sender.node)) {
    Fetch(now, message.sender.node, sender->record.member.http);
  }
}

void Membership::Impl::OnAck(const Message& message) {
  std::erase_if(probes_, [&](const auto& each) { return each.second.nonce == message.nonce; });
  const auto relay = relays_.find(message.nonce);
  if (relay != relays_.end()) {
    Send(relay->second.requester, MakeMessage(MessageKind::kAck, relay->second.nonce));
    relays_.erase(relay);
  }
}

void Membership::Impl::OnPingRequest(Time now, const Message& message, const Address& from) {
  const std::uint64_t nonce = random_() | 1U;
  relays_[nonce] = Relay{message.nonce, from, now + kRelayTimeout};
  Send(message.target, MakeMessage(MessageKind::kPing, nonce));
}

void Membership::Impl::Fetch(Time now, const NodeId& peer, const Address& http) {
  last_fetch_ = now;
  out_.emplace_back(FetchMembers{
      peer, http, detail::EncodeSyncRequest({.self = self(), .digest = table_.Digest()})});
}

Result<std::string> Membership::Impl::OnFetch(Time now, std::string_view request) {
  const std::optional<detail::TableSyncRequest> theirs = detail::DecodeSyncRequest(request);
  const auto records = theirs ? table_.RecordsMissingIn(theirs->digest) : std::nullopt;
  if (!records) {
    ++counts_.unreadable;
    return Error{ErrorKind::kBadRequest, "the digest is malformed"};
  }
  // Actions that result from it are returned by the next Tick.
  if (theirs->self.member.node != self_) MergeUpdate(now, theirs->self);
  return detail::EncodeTable(*records);
}

Membership::Impl::Actions Membership::Impl::OnMembers(Time now, std::string_view bytes) {
  const std::optional<std::vector<MemberRecord>> records = detail::DecodeTable(bytes);
  if (!records) {
    ++counts_.unreadable;
    return {};
  }
  joined_ = true;
  // Pending updates are already in the peer's table and soon reach others, which exchange
  // digests too; only the update about this member itself may be missing there.
  std::erase_if(updates_, [&](const auto& each) { return each.first != self_; });
  for (const MemberRecord& record : *records) {
    if (MergeAboutSelf(now, SummaryOf(record)) || record.member.node == self_) continue;
    // Not queued as an update: members without it detect that by the table hashes.
    if (table_.Merge(now, record) == MergeResult::kApplied) changed_ = true;
  }
  return Flush();
}

}  // namespace figmill
