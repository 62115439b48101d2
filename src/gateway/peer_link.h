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

class PeerLink {
 public:
  struct Hooks {
    std::function<std::vector<WaitingItems>()> waiting;  // batch items that could start now
    std::function<void()> grants_changed;
    std::function<void(const SlotResponse&)> answered;
    // It was found silent: its row is to be taken out of the store.
    std::function<void(const Peer&)> silent;
    // This entry goes by another incarnation from now on.
    std::function<void(const Peer& self)> renamed;
    std::function<void(const Peer& from, const QuotaRequest&)> quota_asked;
    std::function<void(const QuotaGrant&)> quota_granted;
  };
  // Entries report to their keepers at least this often.
  static constexpr Duration kHeartbeat = SlotAllocator::kHeartbeat;
  // A keeper that sent no grant for so long is taken for gone: three were lost or
  // it stands still.
  static constexpr Duration kKeeperSilence{700'000};
  // The same where this entry uses nothing and waits for nothing.
  static constexpr Duration kIdleKeeperSilence = SlotAllocator::kIdleReportTtl;
  // Seeds are asked whom they know if the store has listed nobody by then. When all entries start
  // together, each of three seeds would send a full datagram to each of them.
  static constexpr Duration kStorePatience{500'000};
  // How many items could start changes with each that does; keepers are told together.
  static constexpr Duration kTellWanted{50'000};
  // How much more of another data centre's places must be free before its keeper is
  // asked first. Unit: share of all places.
  static constexpr double kNearShare = 0.15;
  // Datagrams that are refused for one reason are logged this often.
  static constexpr Duration kRefusalLogPause{10'000'000};
  // Places kept free of batch at each backend server.
  static constexpr int kReserve = 0;

  PeerLink(Loop& loop, PeerTable& peers, BackendPool& places, Metrics& metrics,
           TrafficMetrics& traffic, Hooks hooks);

  // Errors: kInternal, with the cause.
  [[nodiscard]] Result<Ok> Start(const std::vector<Address>& seeds);
  // The list of backend servers has been read: this entry can be a keeper. Tells all.
  void Joined();
  // Tells all that this process leaves.
  void Leave();
  // The store lists this peer.
  void Named(const Peer& peer);
  void Unlisted(const NodeId& node);
  // The backend servers that there are now.
  void SetBackends(std::vector<BackendInfo> backends);
  // This entry's use of a backend server, or what it wants, has changed.
  void Touch(const BackendId& backend);
  void WantedChanged();
  void Ask(const NodeId& keeper, const SlotRequest& ask);
  // This entry has acted on the keeper's answer, or wants no place any more.
  void ActedOn(const NodeId& keeper, std::uint64_t ask);
  void SendQuota(const Peer& to, const QuotaRequest& ask);
  void SendQuota(const Peer& to, const QuotaGrant& grant);
  // Keepers of a service's backend servers in the order in which to ask them for a
  // place: by the share that is free of what they keep, this data centre first.
  [[nodiscard]] std::vector<NodeId> KeepersFor(const ServiceName& service,
                                               std::span<const BackendId> tried) const;

 private:
  void OnDatagram(std::string_view bytes, const Address& from);
  void OnUnreadable(const Address& from, const std::string& why);
  void LearnOf(std::span<const Peer> peers);
  void AskSeeds(const std::vector<Address>& seeds, PeerMessage::WantedReply wants);
  void TellAll();
  void SendQuestion(const Peer& to, PeerMessage::WantedReply wants);
  void OnGrant(const Peer& from, const SlotGrant& grant);
  void Outlive(Incarnation known);
  void Heartbeat();
  [[nodiscard]] bool IsNear(const Peer& peer) const;
  void WatchPeers();
  void UpdateKeepers();
  void SyncPlaces();
  void SuspectSilentKeepers();
  void ScheduleFlush();
  void Flush();
  struct ReportLines {
    std::vector<SlotReport::Line> lines;
    bool rest_unused = false;
  };
  void SendReport(const Peer& keeper, ReportLines lines);
  void SendGrants();
  void LogEjections();
  void Send(const Peer& to, PeerMessage message);
  // How many of a keeper's places online leaves.
  struct KeeperShare {
    int places = 0;
    int free = 0;
    bool near = false;
  };
  void TakeToldUse(const NodeId& keeper, const ServiceName& service, KeeperShare& share) const;
  [[nodiscard]] SlotReport::Line LineOf(const BackendId& backend) const;
  [[nodiscard]] IncarnationTag TagOf(const BackendId& backend) const;

  Loop& loop_;
  PeerTable& peers_;
  BackendPool& places_;
  Metrics& metrics_;
  TrafficMetrics& traffic_;
  Counter& datagrams_;
  Counter& datagram_bytes_;
  Counter& refused_;
  Hooks hooks_;
  SlotAllocator keeper_{kReserve};
  std::unique_ptr<UdpSocket> socket_;
  AllocatorMap keepers_;
  std::map<BackendId, Peer> keeper_of_;  // of the backend servers that are used
  // By keeper: the last grant acted on, and when one came or was first due.
  struct FromKeeper {
    std::uint64_t acted = 0;
    Time heard_at{};
    std::vector<std::uint64_t> asks_acted;  // not reported yet
    Time reported_at{};
    Time all_reported_at{};  // with a line for each backend server
    // Of its services, if it tells them.
    std::vector<SlotGrant::ServiceUsage> services;
    // Since when this entry has used its places or waited for some; not now: nullopt.
    std::optional<Time> busy_since;
  };
  [[nodiscard]] static bool IsSilent(const FromKeeper& keeper, Time now);
  std::map<NodeId, FromKeeper> from_keeper_;
  std::set<BackendId> touched_;
  std::set<NodeId> owed_;  // keepers that wait for a report
  std::uint64_t report_number_ = 0;
  // The last refused datagram: why, and when that was logged.
  std::string refused_why_;
  Time refused_logged_at_{};
  bool flush_scheduled_ = false;
  bool wanted_scheduled_ = false;
  bool listed_ = false;  // the store has named an entry
  Timer heartbeat_, watch_timer_, grant_timer_, seeds_timer_;
};

}  // namespace figmill
