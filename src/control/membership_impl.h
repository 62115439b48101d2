#pragma once

// The gossip protocol's state. Private to the control library.
//
// Three mechanisms, each for what the one before leaves over:
// - Probes find the dead. A probe that fails is tried over several periods
//   before anything is said, since with a fifth of all datagrams lost a single
//   try fails too often: 960 members would raise dozens of false suspicions a
//   second, and refuting them would cost more than all else.
// - News ride on probes, each a few times; urgent ones (a member leaves, the
//   control log moved) go to a few members at once.
// - Every datagram carries a hash of the table. A member that has seen no equal
//   one for some seconds sends a peer its digest over HTTP, 8 bytes a member, and
//   gets what it lacks.
// All but bare probes is paid from a byte budget; what finds no room waits, and
// the table hashes see to it that nothing is lost by waiting.

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "control/gossip_codec.h"
#include "control/member_table.h"
#include "figmill/control.h"

namespace figmill {

using detail::Brief;
using detail::Merged;
using detail::Message;
using detail::MessageKind;
using detail::Record;

// After something urgent: rounds of sending to a few members, one a tick.
inline constexpr int kUrgentRounds = 3;

class Membership::Impl {
 public:
  using Actions = std::vector<MembershipAction>;

  Impl(Member self, MembershipSettings settings, RandomBits random);

  void Seed(std::span<const ListedHost> hosts);
  Actions Tick(Time now);
  Actions OnDatagram(Time now, std::string_view bytes, const Address& from);
  Result<std::string> OnFetch(Time now, std::string_view have);
  Actions OnMembers(Time now, std::string_view bytes);
  Actions Change(Time now, bool shape, const std::function<void(Member&)>& edit);
  Actions SetSequence(Time now, Sequence sequence);
  Actions Ask(Time now, Sequence sequence);

  [[nodiscard]] const Record& self() const { return table_.Find(self_)->record; }
  [[nodiscard]] const detail::MemberTable& table() const { return table_; }
  [[nodiscard]] std::optional<Time> heard() const { return heard_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  struct Probe {
    std::uint64_t nonce = 0;
    Time sent;
    int rounds = 0;      // periods without an answer
    bool asked = false;  // others were asked to probe it, too
  };
  struct Relay {
    std::uint64_t nonce = 0;  // the asker's
    Address asker;
    Time expires;
  };

  // Sending.
  [[nodiscard]] Message Make(MessageKind kind, std::uint64_t nonce) const;
  void Send(const Address& to, const Message& message);
  void SendPaid(const Address& to, const Message& message);
  [[nodiscard]] std::size_t Room() const;
  void AddNews(Message& message, std::size_t& room);
  void AddBrief(Message& message, const Brief& brief, std::size_t& room) const;
  void AddRecord(Message& message, const NodeId& node, std::size_t& room) const;
  void SendUrgent();

  // Probing.
  void StartProbe(Time now);
  void SendProbe(Time now, const NodeId& node, Probe& probe);
  void StepProbes(Time now);
  void AskOthers(const NodeId& node, const Probe& probe);
  void Expire(Time now);
  void TryLost();
  void TryJoin(Time now);
  void Fetch(Time now, const NodeId& peer, const Address& http);
  [[nodiscard]] std::vector<NodeId> Pick(std::size_t count);
  [[nodiscard]] bool Probed(const detail::MemberTable::Entry& entry) const;

  // Receiving.
  bool TakeSender(const Message& message, const Address& from);
  void Take(Time now, const Brief& brief, std::vector<NodeId>& wants);
  void Take(Time now, const Record& record);
  bool TakeOwn(Time now, const Brief& brief);
  void Spread(const NodeId& node);
  void Answer(const Message& message, const Address& from, std::vector<NodeId> wants);
  void AddAnswers(Message& reply, const Message& message, std::size_t& room);
  void AddWants(Message& reply, std::vector<NodeId> wants, std::size_t& room);
  void Compare(Time now, const Message& message);
  void OnAck(const Message& message);
  void OnPingRequest(Time now, const Message& message, const Address& from);

  Actions Flush();
  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }

  MembershipSettings settings_;
  RandomBits random_;
  NodeId self_;
  detail::MemberTable table_;
  std::map<NodeId, ListedHost> seeds_;
  std::map<NodeId, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::vector<NodeId> probe_order_;
  std::map<NodeId, int> news_;     // times each was sent
  std::map<NodeId, Time> wanted_;  // when each record was asked for
  std::map<NodeId, Time> asked_;   // for its sequence
  int bursts_ = 0;                 // urgent rounds left
  double tokens_ = 0;              // bytes that may be sent now
  bool started_ = false;
  bool superseded_ = false;
  bool changed_ = false;
  std::optional<Time> heard_;
  Time fetched_members_;
  Time matched_;  // when a peer last had the same table
  Duration fetch_gap_{5'000'000};
  bool joined_ = false;
  std::optional<Time> rejoin_;
  Time last_tick_, next_probe_, next_expire_, next_lost_;
  Counts counts_;
  Actions out_;
};

}  // namespace figmill
