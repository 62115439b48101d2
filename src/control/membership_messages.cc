#include <algorithm>
#include <utility>

#include "control/membership_impl.h"

namespace figmill {
namespace {

constexpr std::size_t kDatagramBytes = 1400;
constexpr std::size_t kHeaderBytes = 28;  // IP and UDP
constexpr std::size_t kMaxPartBytes = 700;
// An item of news is sent this often by each member that takes it in.
constexpr int kNewsRepeats = 8;
constexpr std::size_t kUrgentPeers = 4;
constexpr std::size_t kMaxWants = 12;
constexpr Duration kWantAgain{1'000'000};
constexpr Duration kRelayFor{1'000'000};
// Without one equal table hash for so long, a digest goes over HTTP; the time
// doubles while that goes on. A digest of 960 members is 7.7 KB.
constexpr Duration kFetchSoonest{5'000'000};
constexpr Duration kFetchRarely{10'000'000};

}  // namespace

// --- Sending -----------------------------------------------------------------------

Message Membership::Impl::Make(MessageKind kind, std::uint64_t nonce) const {
  Message message;
  message.kind = kind;
  message.nonce = nonce;
  message.sender = BriefOf(self());
  message.sequence = self().member.control_sequence;
  message.hash = table_.hash();
  return message;
}

void Membership::Impl::Send(const Address& to, const Message& message) {
  std::string bytes = Encode(message);
  if (bytes.size() > kDatagramBytes) return;  // the sizes' upper bounds exclude it
  const std::size_t cost = bytes.size() + kHeaderBytes;
  tokens_ -= static_cast<double>(cost);
  ++counts_.datagrams_sent;
  counts_.bytes_sent += cost;
  out_.emplace_back(SendDatagram{to, std::move(bytes)});
}

void Membership::Impl::SendPaid(const Address& to, const Message& message) {
  if (tokens_ > 0) Send(to, message);
}

std::size_t Membership::Impl::Room() const {
  const double room = tokens_ - static_cast<double>(detail::kEmptyMessageBytes + kHeaderBytes);
  return room <= 0 ? 0 : std::min(kMaxPartBytes, static_cast<std::size_t>(room));
}

void Membership::Impl::AddBrief(Message& message, const Brief& brief, std::size_t& room) const {
  const std::size_t bytes = BytesOf(brief);
  if (bytes > room) return;
  room -= bytes;
  message.news.push_back(brief);
}

void Membership::Impl::AddRecord(Message& message, const NodeId& node, std::size_t& room) const {
  const auto* entry = table_.Find(node);
  if (entry == nullptr) return;
  const std::size_t bytes = BytesOf(entry->record);
  if (bytes > room) return;
  room -= bytes;
  message.records.push_back(entry->record);
}

// The least often sent first. Briefs only: whoever lacks the record asks for it,
// while most have it already from another.
void Membership::Impl::AddNews(Message& message, std::size_t& room) {
  std::vector<std::pair<int, const NodeId*>> order;
  for (const auto& [node, times] : news_) {
    // Who leaves comes first: work sent there is refused until all know.
    const auto* entry = table_.Find(node);
    const bool urgent = entry != nullptr && entry->record.member.leaving;
    order.emplace_back(urgent ? times - kNewsRepeats : times, &node);
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : *a.second < *b.second;
  });
  std::vector<NodeId> done;
  for (const auto& [times, node] : order) {
    const std::size_t before = room;
    const auto* entry = table_.Find(*node);
    if (entry != nullptr) AddBrief(message, BriefOf(entry->record), room);
    if (entry != nullptr && room == before) break;  // full
    if (entry == nullptr || ++news_[*node] >= kNewsRepeats) done.push_back(*node);
  }
  for (const NodeId& node : done) news_.erase(node);
}

void Membership::Impl::SendUrgent() {
  for (const NodeId& node : Pick(kUrgentPeers)) {
    Message news = Make(MessageKind::kNews, 0);
    std::size_t room = Room();
    AddNews(news, room);
    SendPaid(table_.Find(node)->record.member.gossip, news);
  }
}

// --- Taking in ---------------------------------------------------------------------

void Membership::Impl::Spread(const NodeId& node) {
  news_[node] = 0;
  changed_ = true;
}

// Others' word on this member itself; false if it was about another.
bool Membership::Impl::TakeOwn(Time now, const Brief& brief) {
  if (brief.node != self_) return false;
  const Record& mine = self();
  if (brief.incarnation > mine.member.incarnation) {
    superseded_ = true;
    out_.emplace_back(Superseded{brief.incarnation});
    return true;
  }
  if (!Beats(brief, BriefOf(mine))) return true;
  // Doubt or death of this very process: a higher version refutes it.
  Record record = mine;
  record.version = brief.version + 1;
  (void)table_.Merge(now, record);
  Spread(self_);
  return true;
}

void Membership::Impl::Take(Time now, const Brief& brief, std::vector<NodeId>& wants) {
  if (TakeOwn(now, brief)) return;
  switch (table_.Merge(now, brief)) {
    case Merged::kTaken: {
      Spread(brief.node);
      if (brief.leaving) bursts_ = std::max(bursts_, 2);
      break;
    }
    case Merged::kUnknown: {
      const auto asked = wanted_.find(brief.node);
      const bool again = asked == wanted_.end() || now - asked->second >= kWantAgain;
      if (!again || wants.size() >= kMaxWants) break;
      wanted_[brief.node] = now;
      wants.push_back(brief.node);
      break;
    }
    case Merged::kOlder:
    case Merged::kSame:
      break;
  }
}

void Membership::Impl::Take(Time now, const Record& record) {
  if (TakeOwn(now, BriefOf(record))) return;
  if (table_.Merge(now, record) == Merged::kTaken) Spread(record.member.node);
}

// False if the sender's process has been replaced: it is told so, and nothing it
// says is taken.
bool Membership::Impl::TakeSender(const Message& message, const Address& from) {
  const auto* entry = table_.Find(message.sender.node);
  if (entry == nullptr) return true;
  if (entry->record.member.incarnation > message.sender.incarnation) {
    Message reply = Make(MessageKind::kNews, 0);
    reply.news.push_back(BriefOf(entry->record));
    SendPaid(from, reply);
    return false;
  }
  table_.SetSequence(message.sender.node, message.sender.incarnation, message.sequence);
  if (message.sequence > self().member.control_sequence) {
    out_.emplace_back(SequenceSeen{message.sender.node, message.sequence});
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
  std::vector<NodeId> wants;
  Take(now, message->sender, wants);
  if (superseded_ || message->sender.node == self_) return Flush();
  if (!TakeSender(*message, from)) return Flush();
  heard_ = now;
  for (const Record& record : message->records) Take(now, record);
  for (const Brief& brief : message->news) Take(now, brief, wants);
  if (superseded_) return Flush();
  switch (message->kind) {
    case MessageKind::kAck:
      OnAck(*message);
      break;
    case MessageKind::kPingRequest:
      OnPingRequest(now, *message, from);
      break;
    case MessageKind::kPing:
    case MessageKind::kNews:
    case MessageKind::kAsk:
      break;
  }
  Compare(now, *message);
  Answer(*message, from, std::move(wants));
  return Flush();
}

// --- Answering ---------------------------------------------------------------------

void Membership::Impl::Answer(const Message& message, const Address& from,
                              std::vector<NodeId> wants) {
  const bool ping = message.kind == MessageKind::kPing;
  Message reply = Make(ping ? MessageKind::kAck : MessageKind::kNews, message.nonce);
  if (message.kind == MessageKind::kAsk) return Send(from, reply);
  std::size_t room = Room();
  AddAnswers(reply, message, room);
  AddWants(reply, std::move(wants), room);
  if (ping) {
    AddNews(reply, room);
    return Send(from, reply);
  }
  const bool something = !reply.wants.empty() || !reply.records.empty() || !reply.news.empty();
  if (something) SendPaid(from, reply);
}

void Membership::Impl::AddWants(Message& reply, std::vector<NodeId> wants, std::size_t& room) {
  for (NodeId& node : wants) {
    const std::size_t bytes = node.value.size() + 2;
    if (bytes > room) {
      wanted_.erase(node);  // to be asked for on the next occasion
      continue;
    }
    room -= bytes;
    reply.wants.push_back(std::move(node));
  }
}

void Membership::Impl::AddAnswers(Message& reply, const Message& message, std::size_t& room) {
  // A member held for suspect or dead that is heard of again must refute it.
  const auto* sender = table_.Find(message.sender.node);
  if (sender != nullptr && sender->record.member.liveness != Liveness::kAlive) {
    AddBrief(reply, BriefOf(sender->record), room);
  }
  for (const NodeId& node : message.wants) AddRecord(reply, node, room);
}

void Membership::Impl::Compare(Time now, const Message& message) {
  if (message.hash == table_.hash()) {
    matched_ = now;
    fetch_gap_ = kFetchSoonest;
    return;
  }
  if (now - std::max(matched_, fetched_members_) < fetch_gap_) return;
  fetch_gap_ = std::min(kFetchRarely, fetch_gap_ * 2);
  if (const auto* sender = table_.Find(message.sender.node)) {
    Fetch(now, message.sender.node, sender->record.member.http);
  }
}

void Membership::Impl::OnAck(const Message& message) {
  std::erase_if(probes_, [&](const auto& each) { return each.second.nonce == message.nonce; });
  const auto relay = relays_.find(message.nonce);
  if (relay != relays_.end()) {
    Send(relay->second.asker, Make(MessageKind::kAck, relay->second.nonce));
    relays_.erase(relay);
  }
}

void Membership::Impl::OnPingRequest(Time now, const Message& message, const Address& from) {
  const std::uint64_t nonce = random_() | 1U;
  relays_[nonce] = Relay{message.nonce, from, now + kRelayFor};
  Send(message.target, Make(MessageKind::kPing, nonce));
}

void Membership::Impl::Fetch(Time now, const NodeId& peer, const Address& http) {
  fetched_members_ = now;
  out_.emplace_back(
      FetchMembers{peer, http, detail::EncodeHave({.self = self(), .digest = table_.Digest()})});
}

Result<std::string> Membership::Impl::OnFetch(Time now, std::string_view have) {
  const std::optional<detail::Have> theirs = detail::DecodeHave(have);
  const auto records = theirs ? table_.Beyond(theirs->digest) : std::nullopt;
  if (!records) {
    ++counts_.unreadable;
    return Error{ErrorKind::kBadRequest, "the digest can't be read"};
  }
  // What follows from it goes out with the next tick.
  if (theirs->self.member.node != self_) Take(now, theirs->self);
  return detail::EncodeTable(*records);
}

Membership::Impl::Actions Membership::Impl::OnMembers(Time now, std::string_view bytes) {
  const std::optional<std::vector<Record>> records = detail::DecodeTable(bytes);
  if (!records) {
    ++counts_.unreadable;
    return {};
  }
  joined_ = true;
  // What waited to be passed on is in the peer's table, and in others' soon, as
  // they exchange digests likewise; only news of this member can't be missed.
  std::erase_if(news_, [&](const auto& each) { return each.first != self_; });
  for (const Record& record : *records) {
    if (TakeOwn(now, BriefOf(record)) || record.member.node == self_) continue;
    // Not passed on as news: whoever lacks it finds out by the hashes.
    if (table_.Merge(now, record) == Merged::kTaken) changed_ = true;
  }
  return Flush();
}

}  // namespace figmill
