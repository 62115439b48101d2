#pragma once

// Implementation of the gossip protocol. Private to the control library.
//
// Three mechanisms, each of which covers what the previous one misses:
// - Probes detect dead members. A failed probe is repeated over several periods before
//   the member is suspected, since with a fifth of all datagrams lost a single probe
//   fails too often: 960 members would raise dozens of false suspicions a second, and
//   refuting them would cost more bandwidth than everything else.
// - Updates are piggybacked on probes, each a few times; urgent ones (a member leaves,
//   the control log has new entries) are sent to a few members immediately.
// - Every datagram carries a hash of the member table. A member that has received no
//   equal hash for some seconds sends a peer its digest over HTTP, 8 bytes per member,
//   and gets the records it lacks.
// Everything but bare probes is limited by a byte budget. What exceeds it is deferred;
// the table hashes ensure that deferred updates are not lost.

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "control/gossip_codec.h"
#include "control/member_table.h"
#include "figmill/control.h"

namespace figmill {

using detail::MemberRecord;
using detail::MemberSummary;
using detail::MergeResult;
using detail::Message;
using detail::MessageKind;

// After an urgent update: number of rounds of sending to a few members, one per tick.
inline constexpr int kUrgentRounds = 3;

class Membership::Impl {
 public:
  using Actions = std::vector<MembershipAction>;

  Impl(Member self, MembershipSettings settings, RandomBits random);

  void SetSeeds(std::span<const ListedHost> hosts);
  Actions Tick(Time now);
  Actions OnDatagram(Time now, std::string_view bytes, const Address& from);
  Result<std::string> OnFetch(Time now, std::string_view request);
  Actions OnMembers(Time now, std::string_view bytes);
  Actions Change(Time now, bool details_changed, const std::function<void(Member&)>& edit);
  Actions SetSequence(Time now, Sequence sequence);
  Actions QuerySequences(Time now, Sequence sequence);

  [[nodiscard]] const MemberRecord& self() const { return table_.Find(self_)->record; }
  [[nodiscard]] const detail::MemberTable& table() const { return table_; }
  [[nodiscard]] std::optional<Time> last_heard() const { return last_heard_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  struct Probe {
    std::uint64_t nonce = 0;
    Time sent;
    int rounds = 0;         // periods without an answer
    bool indirect = false;  // other members were requested to probe it, too
  };
  struct Relay {
    std::uint64_t nonce = 0;  // of the requester
    Address requester;
    Time expires;
  };

  // Sending.
  [[nodiscard]] Message MakeMessage(MessageKind kind, std::uint64_t nonce) const;
  void Send(const Address& to, const Message& message);
  void SendWithinBudget(const Address& to, const Message& message);
  [[nodiscard]] std::size_t AvailableBytes() const;
  void AddUpdates(Message& message, std::size_t& available);
  void AddSummary(Message& message, const MemberSummary& summary, std::size_t& available) const;
  void AddRecord(Message& message, const NodeId& node, std::size_t& available) const;
  void SendUrgent();

  // Probing.
  void StartProbe(Time now);
  void SendProbe(Time now, const NodeId& node, Probe& probe);
  void AdvanceProbes(Time now);
  void RequestIndirectProbes(const NodeId& node, const Probe& probe);
  void Expire(Time now);
  void PingLostMember();
  void FetchFromSeed(Time now);
  void Fetch(Time now, const NodeId& peer, const Address& http);
  [[nodiscard]] std::vector<NodeId> PickPeers(std::size_t count);
  [[nodiscard]] bool IsProbeTarget(const detail::MemberTable::Entry& entry) const;

  // Receiving.
  bool AcceptSender(const Message& message, const Address& from);
  void MergeUpdate(Time now, const MemberSummary& summary, std::vector<NodeId>& requested_records);
  void MergeUpdate(Time now, const MemberRecord& record);
  bool MergeAboutSelf(Time now, const MemberSummary& summary);
  void QueueUpdate(const NodeId& node);
  void Reply(const Message& message, const Address& from, std::vector<NodeId> requested_records);
  void AddReplyContent(Message& reply, const Message& message, std::size_t& available);
  void AddRecordRequests(Message& reply, std::vector<NodeId> requested_records,
                         std::size_t& available);
  void CompareHashes(Time now, const Message& message);
  void OnAck(const Message& message);
  void OnPingRequest(Time now, const Message& message, const Address& from);

  Actions Flush();
  std::uint64_t RandomBelow(std::uint64_t bound) { return random_() % bound; }

  MembershipSettings settings_;
  RandomBits random_;
  NodeId self_;
  detail::MemberTable table_;
  std::map<NodeId, ListedHost> seeds_;
  std::map<NodeId, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::vector<NodeId> probe_order_;
  std::map<NodeId, int> updates_;            // updates to piggyback: how often each was sent
  std::map<NodeId, Time> record_requested_;  // when each record was requested
  std::map<NodeId, Time> sequence_queried_;  // when each control sequence was queried
  int urgent_rounds_ = 0;                    // rounds of urgent sending left
  double byte_budget_ = 0;                   // bytes that may be sent now
  bool started_ = false;
  bool superseded_ = false;
  bool changed_ = false;
  std::optional<Time> last_heard_;
  Time last_fetch_;
  Time hash_matched_;  // when a peer last had the same table hash
  Duration fetch_interval_{5'000'000};
  bool joined_ = false;
  std::optional<Time> second_fetch_;
  Time last_tick_, next_probe_, next_expire_, next_ping_lost_;
  Counts counts_;
  Actions out_;
};

}  // namespace figmill
