#pragma once

// How entries share the places of backend servers without asking each other for
// each request. Each backend server has one keeper, the entry of its data centre
// that wins the rendezvous hash for it. Entries tell the keeper how many of its
// places they use, in absolute numbers, and the keeper tells them what the others
// use and how many batch items each may run there. Any message may be lost or
// late: the next one says all of it again. Online requests wait for no answer;
// batch gives way to them as soon as the keeper hears of them.
// No I/O: the caller passes the time in and sends what comes out.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "figmill/base.h"
#include "figmill/fleet.h"

namespace figmill {

// --- Peers -----------------------------------------------------------------------

// Another entry, or this one.
struct Peer {
  NodeId node;
  Incarnation incarnation = 0;
  Address address;  // of its datagrams, and of HTTP between entries
  DataCentre data_centre;
  double capacity = 1;  // of its host, in cores
  bool leaving = false;
  bool operator==(const Peer&) const = default;
};

// Who is there. What the store lists and what others tell names peers; only
// hearing from one makes it live.
class PeerTable {
 public:
  // Peers say that they are there this often; a peer that was silent for two such
  // spans is taken for gone.
  static constexpr Duration kPresence{1'000'000};
  static constexpr Duration kSilence{2'300'000};
  // A data centre's backend servers are kept by one entry for each so many. Fewer
  // keepers mean fewer datagrams to each entry, more of them less lost with one.
  static constexpr std::size_t kBackendsPerKeeper = 6;
  // Entries on hosts with less than this share of the largest one's capacity keep
  // no backend servers and own no jobs: callers come to all alike.
  static constexpr double kLeastCapacity = 0.5;

  explicit PeerTable(Peer self) : self_(std::move(self)) {}

  // Heard of, from the store or from another peer. True if it is new here.
  bool Named(const Peer& peer, Time now);
  // Heard from itself. True if it wasn't live before.
  bool Heard(const Peer& peer, Time now);
  // It should have been heard from: not live until it is.
  void Suspect(const NodeId& node);
  void Forget(const NodeId& node) { others_.erase(node); }
  void SetLeaving(bool leaving) { self_.leaving = leaving; }

  [[nodiscard]] const Peer& self() const { return self_; }
  [[nodiscard]] bool IsLive(const NodeId& node, Time now) const;
  [[nodiscard]] const Peer* Find(const NodeId& node) const;
  // All that are known, live or not, without this one.
  [[nodiscard]] std::vector<Peer> others() const;
  [[nodiscard]] std::vector<Peer> Live(Time now) const;  // with this one

  // Live, staying, and with capacity for more than their callers.
  [[nodiscard]] std::vector<Peer> Capable(Time now) const;
  // The capable entry that wins the rendezvous hash for `key`; among those of
  // `prefer`, if there is one.
  [[nodiscard]] std::optional<Peer> OwnerOf(std::string_view key,
                                            const std::optional<DataCentre>& prefer,
                                            Time now) const;
  // The keepers of a data centre that has `backends` backend servers.
  [[nodiscard]] std::vector<Peer> KeepersOf(const DataCentre& data_centre, std::size_t backends,
                                            Time now) const;

 private:
  struct Entry {
    Peer peer;
    std::optional<Time> heard_at;
  };
  Peer self_;
  std::map<NodeId, Entry> others_;
};

// The keeper of a backend server out of those of its data centre.
[[nodiscard]] const Peer* KeeperAmong(std::span<const Peer> keepers, const BackendId& backend);

// --- Messages ----------------------------------------------------------------------

// A datagram that is not cut on its way. Unit: bytes.
inline constexpr std::size_t kMaxPeerMessageBytes = 1400;

// From an entry to a keeper. Absolute numbers: the latest one counts.
struct PlaceReport {
  struct Line {
    BackendId backend;
    int online = 0;
    int batch = 0;
  };
  std::uint64_t number = 0;  // rises with each report of this incarnation
  std::uint64_t grant = 0;   // the last grant that this entry has acted on
  int wanted = 0;            // batch items that could start now
  std::vector<Line> lines;
};

// From a keeper to an entry.
struct PlaceGrant {
  struct Line {
    BackendId backend;
    int online_other = 0;  // used by all entries but the receiver
    int batch_other = 0;
    int allowed = 0;  // batch items that the receiver may have running there
  };
  std::uint64_t number = 0;
  std::vector<Line> lines;
};

struct PeerMessage {
  Peer from;
  std::optional<PlaceReport> report;
  std::optional<PlaceGrant> grant;
  std::vector<Peer> known;  // peers that the sender knows; on first contact
  bool hello = false;       // asks for `known`
};

// MessagePack. A message that does not fit a datagram loses its last lines, which come
// with the next one.
[[nodiscard]] std::string Encode(const PeerMessage& message);
// Errors: kBadRequest.
[[nodiscard]] Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

// --- Keeper ------------------------------------------------------------------------

class PlaceKeeper {
 public:
  // What an entry reported is dropped when it has been silent for so long; they
  // report every kHeartbeat. Its online streams have ended by then.
  static constexpr Duration kReportLife{2'000'000};
  // After it became keeper: what runs must be reported before places are granted,
  // or they would be granted twice.
  static constexpr Duration kSettle{500'000};
  // Grants that only tell what others use wait this long for more changes; longer
  // to other data centres, whose entries come here only when theirs are full.
  static constexpr Duration kCoalesce{10'000};
  static constexpr Duration kCoalesceFar{30'000};
  // Each entry that reports gets a grant at least this often, so that it knows
  // that its keeper is there.
  static constexpr Duration kHeartbeat{200'000};

  // Places kept free of batch at each backend server.
  explicit PlaceKeeper(int reserve) : reserve_(reserve) {}

  // The backend servers that this entry keeps now, with their places.
  void Keep(const std::map<BackendId, int>& places, Time now);
  // `near`: the entry is in this data centre.
  void OnReport(const Peer& from, bool near, const PlaceReport& report, Time now);
  void Forget(const NodeId& entry, Time now);

  struct Outgoing {
    NodeId to;
    PlaceGrant grant;
  };
  // What has to be sent now. Call it after each event and once a kCoalesce.
  [[nodiscard]] std::vector<Outgoing> Due(Time now);

  // Batch items that an entry may have running there, as granted last.
  [[nodiscard]] int Allowed(const BackendId& backend, const NodeId& entry) const;

 private:
  struct Share {
    int online = 0;
    int batch = 0;
    int allowed = 0;
  };
  struct Kept {
    int places = 0;
    Time since{};
    std::map<NodeId, Share> shares;
  };
  struct EntryState {
    Incarnation incarnation = 0;
    std::uint64_t number = 0;
    int wanted = 0;
    Time at{};
    std::uint64_t granted = 0;  // number of the last grant sent
    std::uint64_t acted = 0;    // of the last one acted on
    bool near = true;
    bool urgent = false;        // `allowed` changed
    bool stale = false;         // others' use changed
    Time told_at{};
  };

  void Divide(Kept& kept, Time now);
  [[nodiscard]] bool InFlight(const NodeId& entry) const;
  [[nodiscard]] PlaceGrant GrantFor(const NodeId& entry) const;
  void MarkOthersStale(const Kept& kept, const NodeId& but);

  int reserve_;
  std::map<BackendId, Kept> kept_;
  std::map<NodeId, EntryState> entries_;
};

}  // namespace figmill
