#pragma once

// Membership of the entries, and the assignment of backend servers to allocators. An allocator is
// an entry that divides the slots of its backend servers among all entries. No I/O: the caller
// passes the time in.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figmill/base.h"
#include "figmill/fleet.h"

namespace figmill {

// An entry: another one, or this one.
struct Peer {
  NodeId node;
  Incarnation incarnation = 0;
  Address address;  // for its datagrams, and for HTTP between entries
  DataCentre data_centre;
  double capacity = 1;  // cores of its host
  bool leaving = false;
  // The entry has no configuration, or has not read the list of backend servers yet. It can't run
  // requests or items, and takes on no duty for others: as an allocator it would grant no slots,
  // yet its grants would show that it is alive.
  bool joining = false;
  bool operator==(const Peer&) const = default;
};

// A backend server as its allocator sees it.
struct ManagedBackend {
  ServiceName service;
  // 0 while it is draining: no new requests go there, and batch items are preempted.
  int slots = 0;
  // No new requests go there; running ones keep their slots until they end.
  bool frozen = false;
  BackendIncarnation incarnation = {};
  // Of all ready backend servers of its service; 0 if not known.
  int service_slots = 0;
  SoftwareVersion version = {};
  bool operator==(const ManagedBackend&) const = default;
};

// Tracks the entries and detects failed ones. A peer that the store lists counts as live until some
// entry detects that it has failed. Each entry monitors only some of the others, so that the number
// of datagrams doesn't grow with the square of the number of entries. An entry that detects a
// failed peer removes the peer's row from the store, which informs all others.
class PeerTable {
 public:
  // A monitored peer is probed after this long without a message from it. It counts as failed after
  // kFailureTimeout: two replies in a row were lost.
  static constexpr Duration kProbeInterval{1'000'000};
  static constexpr Duration kFailureTimeout{2'300'000};
  // With up to this many others, an entry monitors all of them.
  static constexpr std::size_t kMonitorAllLimit = 16;
  // In a larger fleet it monitors this many peers of any data centre, in hash order, and this many
  // more in its own data centre, where datagrams are cheap. Each entry is monitored by about as
  // many. Peers of any data centre are included to detect the loss of a whole data centre, after
  // which no entry is left there to report it.
  static constexpr std::size_t kMonitoredAnywhere = 4;
  static constexpr std::size_t kMonitoredLocal = 8;
  // Suspected and joining peers are probed in addition, at most this many at a time. Without the
  // limit each entry would probe all others twice a second while the whole fleet starts.
  static constexpr std::size_t kMaxExtraProbes = 8;
  // A suspected peer that is not listed is evicted after this long without a message from it. Hosts
  // are replaced all the time, and the names of all former ones would be sent to other entries.
  static constexpr Duration kEvictAfter{60'000'000};
  // Number of backend servers for each allocator of a data centre. Fewer allocators mean fewer
  // datagrams to each entry; more of them mean that less is lost when one fails.
  static constexpr std::size_t kBackendsPerAllocator = 6;
  // Entries on hosts with less than this share of the largest host's capacity are no allocators and
  // own no jobs, because callers are spread evenly over all entries.
  static constexpr double kMinCapacityShare = 0.5;

  explicit PeerTable(Peer self) : self_(std::move(self)) {}

  // Adds a peer that the store lists or that another peer knows. Returns true if it is new here.
  bool AddListed(const Peer& peer);
  // The store no longer lists the peer.
  void MarkUnlisted(const NodeId& node);
  // Records a message from the peer itself. Returns true if it wasn't live before.
  bool RecordMessage(const Peer& peer, Time now);
  // Marks the peer as not live until the next message from it.
  void Suspect(const NodeId& node);
  void SetLeaving(bool leaving) { self_.leaving = leaving; }
  // This entry has a configuration and the list of backend servers. Returns true if it was joining
  // before.
  bool FinishJoining();
  // Other entries know a process under this entry's name with the incarnation `known`. If that is
  // higher than this process's own, takes a higher one and returns true. Incarnations are made from
  // the time of day, which may jump back; a process that starts then would be taken for an earlier
  // one, and be granted nothing.
  bool RaiseIncarnation(Incarnation known);
  // Returns what is known of a later process under the peer's name; null if there is none.
  [[nodiscard]] const Peer* FindLaterProcess(const Peer& peer) const;

  [[nodiscard]] const Peer& self() const { return self_; }
  [[nodiscard]] bool IsLive(const NodeId& node, Time now) const;
  // Whether the process of the node with this incarnation has ended, as a later one is known.
  [[nodiscard]] bool IsReplaced(const NodeId& node, Incarnation incarnation) const;
  // Whether more than half of the monitored peers have sent a message within kFailureTimeout; true
  // if there are none to monitor. An entry that is cut off hears from no peer, whatever it believes
  // about their state.
  [[nodiscard]] bool HearsMajority(Time now);
  [[nodiscard]] const Peer* Find(const NodeId& node) const;
  // Whether to send the peer a message when the store first lists it, and when this entry has
  // joined. In a large fleet, peers of other data centres get one only if they have sent one: they
  // may know this entry as joining. If all did when a whole fleet starts, each entry would handle
  // three datagrams for each other one.
  [[nodiscard]] bool ShouldGreet(const Peer& peer) const;
  // All known peers, live or not, without this entry. The list is in the order of names, rotated to
  // start after this entry, so that a truncated list continues with the list of its last peer.
  [[nodiscard]] std::vector<Peer> others() const;
  [[nodiscard]] std::vector<Peer> Live(Time now) const;  // including this entry

  struct CheckResult {
    // Monitored peers without a message for kProbeInterval; also some of the suspected and joining
    // ones, in turn, because the message that they are alive or have joined may have been lost.
    std::vector<Peer> to_probe;
    // Detected as failed by this call, and suspected from now on.
    std::vector<Peer> newly_suspected;
  };
  // Call it every kProbeInterval / 2.
  [[nodiscard]] CheckResult CheckPeers(Time now);

  // Live peers that have joined, are not leaving, and whose hosts have at least kMinCapacityShare
  // of the capacity of the largest one.
  [[nodiscard]] std::vector<Peer> EligiblePeers(Time now) const;
  // The eligible peers in the order of the rendezvous hash for `key`, which is the same at all
  // entries.
  [[nodiscard]] std::vector<Peer> RankedFor(std::string_view key, Time now) const;
  // The first of them; the first in `prefer` if there is one.
  [[nodiscard]] std::optional<Peer> OwnerOf(std::string_view key,
                                            const std::optional<DataCentre>& prefer,
                                            Time now) const;
  // The allocators of a data centre with `backends` backend servers, in an order that is the same
  // at all entries.
  [[nodiscard]] std::vector<Peer> AllocatorsOf(const DataCentre& data_centre, std::size_t backends,
                                               Time now) const;
  // Increases when a peer is added or removed, or when one starts or stops being live or eligible.
  // Pass the current time, because a peer may stop being live by timeout alone.
  [[nodiscard]] std::uint64_t Generation(Time now);

 private:
  struct PeerState {
    Peer peer;
    bool listed = false;
    bool suspected = false;
    std::optional<Time> heard_at;
    std::optional<Time> probed_at;  // first probe since the last message
    // Suspected and no longer listed.
    [[nodiscard]] bool gone() const { return suspected && !listed; }
  };
  void EvictGone(Time now);
  // The others that are not gone, in hash order, starting after this entry.
  [[nodiscard]] std::vector<PeerState*> HashRing();
  [[nodiscard]] std::vector<PeerState*> MonitoredPeers(const std::vector<PeerState*>& ring) const;
  static void CheckPeer(PeerState& state, CheckResult& result, Time now);
  void ProbeInTurn(const std::vector<PeerState*>& ring, CheckResult& result, Time now);

  Peer self_;
  std::map<NodeId, PeerState> others_;
  std::size_t extra_probes_ = 0;  // number of suspected or joining peers probed so far
  std::uint64_t generation_ = 0;
  std::size_t live_at_generation_ = 0;
};

// The allocator of a backend server, out of the allocators of its data centre; null if there are
// none.
[[nodiscard]] const Peer* AllocatorFor(std::span<const Peer> allocators, const BackendId& backend);

// Which backend servers this entry owns as allocator, and which it uses. An entry uses the backend
// servers of a few allocators only, so that its cost doesn't grow with the fleet. Entries that are
// neighbours in the shared order use overlapping sets, so that all allocators are used evenly.
class AllocatorMap {
 public:
  // Allocators of its own data centre that an entry uses. With 6 to 10 backend servers each, that
  // is enough to find a free slot if the fleet as a whole has any.
  static constexpr std::size_t kLocalAllocators = 4;
  // Allocators of all other data centres together, for when the local ones are full or gone. With
  // eight of them costs were a tenth higher and no more requests were served (five simulated days
  // of faults on each of two deployments, with 42 and 50 engines: score 0.802 and 0.797 with eight,
  // 0.812 and 0.809 with four).
  static constexpr std::size_t kRemoteAllocators = 4;
  // Backend servers of each service that an entry uses at least, those of its own data centre
  // first. An entry with a single one has nowhere else to go when that one leaves or stalls.
  static constexpr std::size_t kMinBackendsPerService = 4;
  // The same for each software version of a service, of any data centre. An entry without any could
  // not continue the streams of that version.
  static constexpr std::size_t kMinBackendsPerVersion = 2;

  void SetBackends(std::vector<BackendInfo> backends);
  // Recomputes both sets if the peers or the backend servers have changed; returns true then.
  bool Update(PeerTable& peers, Time now);

  // By id of the backend server: its allocator.
  [[nodiscard]] const std::map<BackendId, Peer>& used_allocators() const {
    return used_allocators_;
  }
  [[nodiscard]] const std::vector<BackendInfo>& used_backends() const { return used_backends_; }
  [[nodiscard]] const std::map<BackendId, ManagedBackend>& owned_backends() const {
    return owned_backends_;
  }

 private:
  [[nodiscard]] static std::vector<Peer> ChooseAllocators(const std::vector<Peer>& allocators,
                                                          const PeerTable& peers, Time now);
  void AddUsed(const BackendInfo& info, const Peer& allocator);
  // A backend server and its allocator.
  struct Candidate {
    const BackendInfo* info = nullptr;
    const Peer* allocator = nullptr;
  };
  // Adds backend servers of services of which the chosen allocators own too few.
  void AddForRareServices(std::vector<Candidate> not_chosen, const Peer& self);

  std::vector<BackendInfo> backends_;
  std::map<BackendId, Peer> used_allocators_;
  std::vector<BackendInfo> used_backends_;
  std::map<BackendId, ManagedBackend> owned_backends_;
  std::uint64_t peers_generation_ = 0;
  bool backends_changed_ = false;
};

}  // namespace figmill
