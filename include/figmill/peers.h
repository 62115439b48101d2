#pragma once

// The other entries: who is there, and which of them keep which backend servers. No I/O:
// the caller passes the time in.

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

// Another entry, or this one.
struct Peer {
  NodeId node;
  Incarnation incarnation = 0;
  Address address;  // of its datagrams, and of HTTP between entries
  DataCentre data_centre;
  double capacity = 1;  // of its host, in cores
  bool leaving = false;
  // It has not read the list of backend servers yet, and can keep and run nothing. Taken for a
  // keeper it would grant nothing, and its grants would show that it lives.
  bool joining = false;
  bool operator==(const Peer&) const = default;
};

// A backend server as its keeper sees it.
struct KeptBackend {
  ServiceName service;
  int places = 0;  // 0: nothing new goes there, and batch gives way
  // Nothing new goes there, and what runs keeps its places until it ends.
  bool frozen = false;
  BackendIncarnation incarnation = {};
  bool operator==(const KeptBackend&) const = default;
};

// Who is there. A peer that the store lists is taken to be live until somebody
// finds it silent: each entry watches some others, so that the number of datagrams
// doesn't grow with the square of the entries, and takes the row of a silent one out
// of the store, which tells all.
class PeerTable {
 public:
  // A watched peer that wasn't heard for this long is asked for an answer; one that
  // was silent for kSilence is taken for gone: two answers in a row were lost.
  static constexpr Duration kPresence{1'000'000};
  static constexpr Duration kSilence{2'300'000};
  // Up to so many others an entry watches all.
  static constexpr std::size_t kWatchAll = 16;
  // In a larger fleet it watches so many of all, in an order by hash, and so many more of its own
  // data centre, where datagrams are cheap; about as many watch it. Those of all are for the loss
  // of a data centre, when nobody is left there to notice.
  static constexpr std::size_t kWatchedAnywhere = 4;
  static constexpr std::size_t kWatchedNear = 8;
  // Peers that are suspected or joining are asked besides, so many at a time: when all entries
  // start together, each would else ask all others twice a second.
  static constexpr std::size_t kAskedInTurn = 8;
  // One that is not listed and was not heard for so long is forgotten. Hosts are replaced all day,
  // and an entry that keeps the names of all that ever were tells them to others.
  static constexpr Duration kForgotten{60'000'000};
  // A data centre's backend servers are kept by one entry for each so many. Fewer
  // keepers mean fewer datagrams to each entry, more of them less lost with one.
  static constexpr std::size_t kBackendsPerKeeper = 6;
  // Entries on hosts with less than this share of the largest one's capacity keep
  // no backend servers and own no jobs: callers come to all alike.
  static constexpr double kLeastCapacity = 0.5;

  explicit PeerTable(Peer self) : self_(std::move(self)) {}

  // The store lists it, or another peer knows it. True if it is new here.
  bool Named(const Peer& peer);
  // The store lists it no more.
  void Unlisted(const NodeId& node);
  // Heard from itself. True if it wasn't live before.
  bool Heard(const Peer& peer, Time now);
  // It should have been heard from: not live until it is.
  void Suspect(const NodeId& node);
  void SetLeaving(bool leaving) { self_.leaving = leaving; }
  // This entry knows the list of backend servers from now on. True if it didn't before.
  bool Joined();
  // Others know a process of this entry's slot by this incarnation. If it seems to be a
  // later one, this process takes a higher one: true. The time of day that incarnations
  // are made from jumps back, and a process that starts then would be taken for one that
  // is gone, and be granted nothing.
  bool Outlive(Incarnation known);
  // What is known of a later process of its slot, if there is one.
  [[nodiscard]] const Peer* LaterThan(const Peer& peer) const;

  [[nodiscard]] const Peer& self() const { return self_; }
  [[nodiscard]] bool IsLive(const NodeId& node, Time now) const;
  // Of the entries that this one watches, more than half have spoken lately; true if there are
  // none. One that is cut off hears nobody, whatever it believes of the others.
  [[nodiscard]] bool HearsMost(Time now);
  [[nodiscard]] const Peer* Find(const NodeId& node) const;
  // All that are known, live or not, without this one; in the order of their names, from the one
  // that follows it. A list of them that is cut goes on where its last one's list begins.
  [[nodiscard]] std::vector<Peer> others() const;
  [[nodiscard]] std::vector<Peer> Live(Time now) const;  // with this one

  struct Watch {
    // Not heard for kPresence; and in turn those that are suspected or joining: the word that
    // they are there, or have joined, may have been lost.
    std::vector<Peer> to_ask;
    std::vector<Peer> silent;  // found silent now; they are suspected from here on
  };
  // Call it twice a kPresence.
  [[nodiscard]] Watch WatchOthers(Time now);

  // Live, joined, staying, and with capacity for more than their callers.
  [[nodiscard]] std::vector<Peer> Capable(Time now) const;
  // The capable entries in the order of the rendezvous hash for `key`, which all share.
  [[nodiscard]] std::vector<Peer> RankedFor(std::string_view key, Time now) const;
  // The first of them; among those of `prefer`, if there is one.
  [[nodiscard]] std::optional<Peer> OwnerOf(std::string_view key,
                                            const std::optional<DataCentre>& prefer,
                                            Time now) const;
  // The keepers of a data centre that has `backends` backend servers, in an order
  // that all entries share.
  [[nodiscard]] std::vector<Peer> KeepersOf(const DataCentre& data_centre, std::size_t backends,
                                            Time now) const;
  // Rises when who is live, stays or is known has changed; call it with the time,
  // since silence shows by that alone.
  [[nodiscard]] std::uint64_t Generation(Time now);

 private:
  struct Entry {
    Peer peer;
    bool listed = false;
    bool suspected = false;
    std::optional<Time> heard_at;
    std::optional<Time> asked_at;  // first ask since it was heard
    // Suspected, and not listed any more.
    [[nodiscard]] bool gone() const { return suspected && !listed; }
  };
  void ForgetGone(Time now);
  // The others that are not gone, in the order by hash from this entry on.
  [[nodiscard]] std::vector<Entry*> Ring();
  [[nodiscard]] std::vector<Entry*> Watched(const std::vector<Entry*>& ring) const;
  static void Look(Entry& entry, Watch& watch, Time now);
  void AskInTurn(const std::vector<Entry*>& ring, Watch& watch, Time now);

  Peer self_;
  std::map<NodeId, Entry> others_;
  std::size_t asked_in_turn_ = 0;  // suspected or joining ones so far
  std::uint64_t generation_ = 0;
  std::size_t live_at_generation_ = 0;
};

// The keeper of a backend server out of those of its data centre.
[[nodiscard]] const Peer* KeeperAmong(std::span<const Peer> keepers, const BackendId& backend);

// Which backend servers this entry keeps and which it uses. It uses those of a few
// keepers only, so that its cost doesn't grow with the fleet, and neighbours in the
// shared order use overlapping ones, so that all are used alike.
class KeeperMap {
 public:
  // Keepers of this data centre that an entry uses: with 6 to 10 backend servers each
  // enough that some place is free when the fleet as a whole has any.
  static constexpr std::size_t kNear = 4;
  // Of all others together, for when those are full or gone. With eight, prices are a
  // tenth higher and no more is served (five days of trouble on each of two deployments of
  // 42 and 50 engines: worth 0.802 and 0.797 with eight, 0.812 and 0.809 with four).
  static constexpr std::size_t kFar = 4;

  void SetBackends(std::vector<BackendInfo> backends);
  // Works both out anew if the peers or the backend servers have changed; true then.
  bool Update(PeerTable& peers, Time now);

  // By id, with their keepers.
  [[nodiscard]] const std::map<BackendId, Peer>& used() const { return used_; }
  [[nodiscard]] const std::vector<BackendInfo>& used_infos() const { return used_infos_; }
  [[nodiscard]] const std::map<BackendId, KeptBackend>& kept() const { return kept_; }

 private:
  [[nodiscard]] static std::vector<Peer> Near(const std::vector<Peer>& keepers,
                                              const PeerTable& peers, Time now);
  void Use(const BackendInfo& info, const Peer& keeper);

  std::vector<BackendInfo> backends_;
  std::map<BackendId, Peer> used_;
  std::vector<BackendInfo> used_infos_;
  std::map<BackendId, KeptBackend> kept_;
  std::uint64_t peers_generation_ = 0;
  bool backends_changed_ = false;
};

}  // namespace figmill
