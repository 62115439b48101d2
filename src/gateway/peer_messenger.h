#pragma once

// Exchanges datagrams with other entries: liveness, and usage and grants of backend servers' slots.
// (Slots are called places in the messages.)

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "figmill/fleet.h"
#include "figmill/runtime.h"
#include "figmill/sharing.h"
#include "gateway/traffic_metrics.h"

namespace figmill {

class PeerMessenger {
 public:
  struct Hooks {
    // Returns the batch items that could start now.
    std::function<std::vector<WaitingItems>()> waiting_items;
    std::function<void()> grants_changed;
    std::function<void(const SlotResponse&)> slot_answered;
    // The peer stopped responding; its row is to be removed from the store.
    std::function<void(const Peer&)> peer_silent;
    // This entry has taken a new incarnation.
    std::function<void(const Peer& self)> self_updated;
    std::function<void(const Peer& from, const QuotaRequest&)> quota_requested;
    std::function<void(const QuotaGrant&)> quota_granted;
    std::function<void(const Peer& from, const StreamMessage&)> stream_received;
  };
  // Entries report to their allocators at least this often.
  static constexpr Duration kHeartbeat = SlotAllocator::kHeartbeat;
  // An allocator that sent no grant for this long is suspected: three grants were lost, or its
  // process is stalled.
  static constexpr Duration kAllocatorTimeout{700'000};
  // The same if this entry uses none of its slots and has no items waiting.
  static constexpr Duration kIdleAllocatorTimeout = SlotAllocator::kIdleReportTtl;
  // Delay after which the seeds are asked for the peers they know, if the store has listed no entry
  // by then. When all entries start together, each of three seeds would have to send a full
  // datagram to every one of them.
  static constexpr Duration kSeedQueryDelay{500'000};
  // Delay that coalesces changes of the number of waiting items into one report to all allocators,
  // since each item that starts changes it.
  static constexpr Duration kWaitingReportDelay{50'000};
  // An allocator of another data centre is asked before a local one only if its share of free slots
  // is larger by more than this. Unit: share of all slots.
  static constexpr double kLocalPreference = 0.15;
  // Minimum interval between log lines for datagrams rejected for the same reason.
  static constexpr Duration kRefusalLogInterval{10'000'000};
  // Interval between the log lines about small services, one for each service.
  static constexpr Duration kSmallServiceLogInterval{1'000'000};
  // Slots of each backend server that batch may not use.
  static constexpr int kReservedSlots = 0;

  PeerMessenger(Loop& loop, PeerTable& peers, BackendPool& backend_pool, Metrics& metrics,
                TrafficMetrics& traffic, Hooks hooks);

  // Errors: kInternal, with the cause.
  [[nodiscard]] Result<Ok> Start(const std::vector<Address>& seeds);
  // Call it when the list of backend servers has been read: this entry can be an allocator from now
  // on. Announces it to all peers.
  void Join();
  // Announces to all peers that this process is leaving.
  void Leave();
  // The store has a row of this peer, or has it no more.
  void OnPeerListed(const Peer& peer);
  void OnPeerUnlisted(const NodeId& node);
  // Sets the current backend servers.
  void SetBackends(std::vector<BackendInfo> backends);
  // This entry's usage of a backend server has changed, or its set of waiting items.
  void OnUsageChanged(const BackendId& backend);
  void OnWaitingChanged();
  void RequestSlot(const NodeId& allocator, const SlotRequest& ask);
  // Tells the allocator that its answer was applied, or that the slot isn't needed any more.
  void AcknowledgeAnswer(const NodeId& allocator, std::uint64_t ask);
  [[nodiscard]] const SlotAllocator& allocator() const { return allocator_; }
  void SendQuota(const Peer& to, const QuotaRequest& ask);
  void SendQuota(const Peer& to, const QuotaGrant& grant);
  void SendStream(const Peer& to, const StreamMessage& stream);
  // The allocators that own backend servers which the query allows, in the order in which to ask
  // them for a slot: by FreeSlots::Score, with kLocalPreference added for this data centre.
  [[nodiscard]] std::vector<NodeId> AllocatorsFor(const BackendQuery& query) const;

 private:
  void OnDatagram(std::string_view bytes, const Address& from);
  void OnMalformedDatagram(const Address& from, const std::string& why);
  void AddPeers(std::span<const Peer> peers);
  void QuerySeeds(const std::vector<Address>& seeds, PeerMessage::WantedReply wants);
  void AnnounceToAll();
  void SendQuery(const Peer& to, PeerMessage::WantedReply wants);
  void OnGrant(const Peer& from, const SlotGrant& grant);
  void RaiseIncarnation(Incarnation known);
  void Heartbeat();
  [[nodiscard]] bool IsLocal(const Peer& peer) const;
  void WatchPeers();
  void UpdateAllocators();
  void SyncBackendPool();
  void SuspectSilentAllocators();
  void ScheduleFlush();
  void Flush();
  struct ReportLines {
    std::vector<SlotReport::Line> lines;
    bool rest_unused = false;
  };
  void SendReport(const Peer& allocator, ReportLines lines);
  void SendGrants();
  void LogEjections();
  void LogSmallServices();
  void LogShares();
  void SetFastestEngines();
  void LogSpeedChanges();
  void Send(const Peer& to, PeerMessage message);
  void SendAsIs(const Peer& to, const PeerMessage& message);
  // Slots of one allocator, and how many of them are not used by online requests.
  struct AllocatorShare {
    FreeSlots slots;
    bool local = false;
  };
  void ApplyServiceUsage(const NodeId& allocator, const ServiceName& service,
                         AllocatorShare& share) const;
  [[nodiscard]] SlotReport::Line ReportLineFor(const BackendId& backend) const;
  [[nodiscard]] IncarnationTag TagOf(const BackendId& backend) const;

  Loop& loop_;
  PeerTable& peers_;
  BackendPool& backend_pool_;
  Metrics& metrics_;
  TrafficMetrics& traffic_;
  Counter& datagrams_;
  Counter& datagram_bytes_;
  Counter& refused_datagrams_;
  Counter& displaced_requests_;
  Hooks hooks_;
  SlotAllocator allocator_{kReservedSlots};
  std::unique_ptr<UdpSocket> socket_;
  AllocatorMap allocator_map_;
  std::map<BackendId, Peer> allocator_of_;  // of each backend server that this entry uses
  // State of the exchange with one allocator.
  struct AllocatorState {
    std::uint64_t applied_grant = 0;
    Time heard_at{};  // last grant, or when the first one became due
    // Requests whose answers were applied, but not acknowledged in a report yet.
    std::vector<std::uint64_t> unreported_acks;
    Time reported_at{};
    Time full_report_at{};  // when a report with a line for each backend server was sent
    // Usage of its services, if its grants have it.
    std::vector<SlotGrant::ServiceUsage> service_usage;
    // When this entry began to use its slots or to wait for some; nullopt if it does neither.
    std::optional<Time> busy_since;
  };
  [[nodiscard]] static bool IsSilent(const AllocatorState& allocator, Time now);
  std::map<NodeId, AllocatorState> allocator_states_;
  std::set<BackendId> changed_backends_;
  std::set<NodeId> reports_due_;  // allocators to send a report to
  std::uint64_t report_number_ = 0;
  // Why the last rejected datagram was rejected, and when that was logged.
  std::string last_refusal_;
  Time last_refusal_logged_at_{};
  Time small_services_logged_at_{};
  bool flush_scheduled_ = false;
  bool waiting_report_scheduled_ = false;
  bool peer_listed_ = false;  // the store has listed an entry
  Timer heartbeat_, watch_timer_, grant_timer_, seeds_timer_;
};

}  // namespace figmill
