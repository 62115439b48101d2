#pragma once

// Datagrams between entries: who is there, and who uses which places.

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
    std::function<std::vector<WaitingItems>()> waiting_items;  // batch items that could start now
    std::function<void()> grants_changed;
    std::function<void(const PlaceAnswer&)> slot_answered;
    // It was found silent: its row is to be taken out of the store.
    std::function<void(const Peer&)> peer_silent;
    // This entry goes by another incarnation from now on.
    std::function<void(const Peer& self)> self_updated;
    std::function<void(const Peer& from, const QuotaAsk&)> quota_requested;
    std::function<void(const QuotaGrant&)> quota_granted;
  };
  // Entries report to their allocators at least this often.
  static constexpr Duration kHeartbeat = SlotAllocator::kHeartbeat;
  // A allocator that sent no grant for so long is taken for gone: three were lost or
  // it stands still.
  static constexpr Duration kAllocatorTimeout{700'000};
  // The same where this entry uses nothing and waits for nothing.
  static constexpr Duration kIdleAllocatorTimeout = SlotAllocator::kIdleReportTtl;
  // Seeds are asked whom they know if the store has listed nobody by then. When all entries start
  // together, each of three seeds would send a full datagram to each of them.
  static constexpr Duration kSeedQueryDelay{500'000};
  // How many items could start changes with each that does; allocators are told together.
  static constexpr Duration kWaitingReportDelay{50'000};
  // How much more of another data centre's places must be free before its allocator is
  // asked first. Unit: share of all places.
  static constexpr double kLocalPreference = 0.15;
  // Datagrams that are refused for one reason are logged this often.
  static constexpr Duration kRefusalLogInterval{10'000'000};
  // Places kept free of batch at each backend server.
  static constexpr int kReservedSlots = 0;

  PeerMessenger(Loop& loop, PeerTable& peers, BackendPool& backend_pool, Metrics& metrics,
                TrafficMetrics& traffic, Hooks hooks);

  // Errors: kInternal, with the cause.
  [[nodiscard]] Result<Ok> Start(const std::vector<Address>& seeds);
  // The list of backend servers has been read: this entry can be a allocator. Tells all.
  void Join();
  // Tells all that this process leaves.
  void Leave();
  // The store lists this peer.
  void OnPeerListed(const Peer& peer);
  void OnPeerUnlisted(const NodeId& node);
  // The backend servers that there are now.
  void SetBackends(std::vector<BackendInfo> backends);
  // This entry's use of a backend server, or what it wants, has changed.
  void OnUsageChanged(const BackendId& backend);
  void OnWaitingChanged();
  void RequestSlot(const NodeId& allocator, const PlaceAsk& ask);
  // This entry has applied_grant on the allocator's answer, or wants no place any more.
  void AcknowledgeAnswer(const NodeId& allocator, std::uint64_t ask);
  void SendQuota(const Peer& to, const QuotaAsk& ask);
  void SendQuota(const Peer& to, const QuotaGrant& grant);
  // Keepers of a service's backend servers in the order in which to ask them for a
  // place: by the share that is free of what they keep, this data centre first.
  [[nodiscard]] std::vector<NodeId> AllocatorsFor(const ServiceName& service,
                                                  std::span<const BackendId> tried) const;

 private:
  void OnDatagram(std::string_view bytes, const Address& from);
  void OnMalformedDatagram(const Address& from, const std::string& why);
  void AddPeers(std::span<const Peer> peers);
  void QuerySeeds(const std::vector<Address>& seeds, PeerMessage::Wants wants);
  void AnnounceToAll();
  void SendQuery(const Peer& to, PeerMessage::Wants wants);
  void OnGrant(const Peer& from, const PlaceGrant& grant);
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
    std::vector<PlaceReport::Line> lines;
    bool rest_unused = false;
  };
  void SendReport(const Peer& allocator, ReportLines lines);
  void SendGrants();
  void LogEjections();
  void Send(const Peer& to, PeerMessage message);
  // How many of a allocator's places online leaves.
  struct AllocatorShare {
    int slots = 0;
    int free = 0;
    bool local = false;
  };
  void ApplyServiceUsage(const NodeId& allocator, const ServiceName& service,
                         AllocatorShare& share) const;
  [[nodiscard]] PlaceReport::Line ReportLineFor(const BackendId& backend) const;
  [[nodiscard]] IncarnationTag TagOf(const BackendId& backend) const;

  Loop& loop_;
  PeerTable& peers_;
  BackendPool& backend_pool_;
  Metrics& metrics_;
  TrafficMetrics& traffic_;
  Counter& datagrams_;
  Counter& datagram_bytes_;
  Counter& refused_datagrams_;
  Hooks hooks_;
  SlotAllocator allocator_{kReservedSlots};
  std::unique_ptr<UdpSocket> socket_;
  KeeperMap allocator_map_;
  std::map<BackendId, Peer> allocator_of_;  // of the backend servers that are used
  // By allocator: the last grant applied_grant on, and when one came or was first due.
  struct AllocatorState {
    std::uint64_t applied_grant = 0;
    Time heard_at{};
    std::vector<std::uint64_t> unreported_acks;  // not reported yet
    Time reported_at{};
    Time full_report_at{};  // with a line for each backend server
    // Of its services, if it tells them.
    std::vector<PlaceGrant::ServiceUse> services;
    // Since when this entry has used its places or waited for some; not now: nullopt.
    std::optional<Time> busy_since;
  };
  [[nodiscard]] static bool IsSilent(const AllocatorState& allocator, Time now);
  std::map<NodeId, AllocatorState> allocator_states_;
  std::set<BackendId> changed_backends_;
  std::set<NodeId> reports_due_;  // allocators that wait for a report
  std::uint64_t report_number_ = 0;
  // The last refused datagram: why, and when that was logged.
  std::string last_refusal_;
  Time last_refusal_logged_at_{};
  bool flush_scheduled_ = false;
  bool waiting_report_scheduled_ = false;
  bool peer_listed_ = false;  // the store has named an entry
  Timer heartbeat_, watch_timer_, grant_timer_, seeds_timer_;
};

}  // namespace figmill
