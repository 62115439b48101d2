#pragma once

// What entries say to each other in datagrams: places in use, asks for places, grants. Any
// message may be lost or late; the next one says all of it again.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figmill/base.h"
#include "figmill/fleet.h"
#include "figmill/peers.h"
#include "figmill/quota.h"
#include "figmill/tables.h"

namespace figmill {

// Which incarnation of a backend server a line speaks of. Entries hear at different moments
// that one has started again, and a line about another incarnation than the receiver goes by is
// dropped: places in use at an ended one would else count as taken at the new one, and its
// faults would leave that one out. What is true then comes again with the next message. Asks
// and their answers name none: a place that is taken by the word of a keeper that hasn't heard
// yet is one too many at most, and the next report tells of it.
//
// A digest, since the whole number takes 9 bytes a line, which made a third more of all that 12
// entries say to each other (bench/gateway_capacity.py); this takes 3. Of 65,535 restarts one
// can't be told from what was before, and is known when the keeper has read its entry.
struct IncarnationTag {
  std::uint16_t value = 0;  // 0: the incarnation is not known
  bool operator==(const IncarnationTag&) const = default;
};
[[nodiscard]] IncarnationTag TagOf(BackendIncarnation incarnation);
// Whether what is said of the one may hold for the other.
[[nodiscard]] inline bool MayBeSame(IncarnationTag a, IncarnationTag b) {
  return a.value == 0 || b.value == 0 || a == b;
}

// A datagram that is not cut on its way. Unit: bytes.
inline constexpr std::size_t kMaxPeerMessageBytes = 1400;

// From an entry to a keeper: a place for one online request. The answer comes at
// once, and once more if the request waits in the keeper's queue.
struct PlaceAsk {
  std::uint64_t number = 0;  // rises with each ask of this incarnation
  ServiceName service;
  Duration goal_left{0};         // until its first answer is late
  Duration time_left{0};         // until its caller gives up
  bool last_chance = false;      // its caller was refused before: better late than refused again
  bool may_queue = false;        // wait there if there is no place now
  std::vector<BackendId> tried;  // not there
};

struct PlaceAnswer {
  enum class Kind : std::uint8_t {
    kPlaced,  // `backend` has a place; it is kept for the request for a while
    kQueued,  // another answer follows
    kFull,    // there will be none in time
    // This entry knows of no place of the service that it keeps: it has not read the list of
    // backend servers yet, or lags behind it, or all of them leave. It says nothing of others.
    kNotKept,
  };
  std::uint64_t number = 0;
  Kind kind = Kind::kFull;
  BackendId backend;
  Duration wait{0};  // expected until there would be a place
  // For a request that may queue and was refused: after this its caller should come back.
  Duration come_back{0};
};

// Batch items of one entry that wait for a place, have run or have not, and are due at the same
// time.
struct WaitingItems {
  // Items that can't be in time any more: they run in what the others leave.
  static constexpr StoreTime kLate = StoreTime::max();
  // Groups that a report tells apart; the last one has all the rest. An entry has
  // items of one or two jobs waiting in the mean, of five at a wave's peak.
  static constexpr std::size_t kMaxGroups = 4;

  StoreTime due{0};
  int items = 0;
  bool begun = false;  // they have run, and go on before others that can be in time
  // Those that run first first.
  [[nodiscard]] std::pair<bool, StoreTime> order() const { return {!begun, due}; }
  bool operator==(const WaitingItems&) const = default;
};
[[nodiscard]] int CountOf(std::span<const WaitingItems> waiting);

// From an entry to a keeper. Absolute numbers: the latest one counts.
struct PlaceReport {
  struct Line {
    BackendId backend;
    int online = 0;
    int batch = 0;
    Duration usual_run{0};  // of its online requests there; 0: none has ended
    // How its sends there have ended since the entry's start.
    std::uint64_t answers = 0;
    std::uint64_t faults = 0;
    IncarnationTag incarnation = {};
  };
  std::uint64_t number = 0;  // rises with each report of this incarnation
  std::uint64_t grant = 0;   // the last grant that this entry has acted on
  // Asks whose answers this entry has acted on since its last report.
  std::vector<std::uint64_t> asked;
  // Batch items that could start now, in the order in which they would.
  std::vector<WaitingItems> waiting;
  std::vector<Line> lines;
  // This entry uses nothing at the keeper's backend servers that have no line. Most reports have
  // few lines then, and the word that a request has ended is still said again until it is heard.
  bool rest_unused = false;
};

// From a keeper to an entry.
struct PlaceGrant {
  struct Line {
    BackendId backend;
    int online_other = 0;  // used by all entries but the receiver
    int batch_other = 0;
    int allowed = 0;       // batch items that the receiver may have running there
    bool ejected = false;  // left out for its faults, which one entry alone sees too few of
    IncarnationTag incarnation = {};
  };
  // All that the keeper keeps of one service, as online requests use it.
  struct ServiceUse {
    ServiceName service;
    int places = 0;
    int online = 0;
    bool operator==(const ServiceUse&) const = default;
  };
  std::uint64_t number = 0;
  std::vector<Line> lines;
  // To entries of other data centres, in place of the lines of what they don't use: they need to
  // know which keeper to ask, and not each of its backend servers.
  std::vector<ServiceUse> services;
};

struct PeerMessage {
  Peer from;
  std::optional<PlaceReport> report;
  std::optional<PlaceGrant> grant;
  std::optional<PlaceAsk> ask;
  std::optional<PlaceAnswer> answer;
  std::vector<Peer> known;  // peers that the sender knows; on first contact
  enum class Wants : std::uint8_t { kNothing, kAnswer, kKnown };
  Wants wants = Wants::kNothing;
  std::optional<QuotaAsk> quota_ask;
  std::optional<QuotaGrant> quota_grant;
};

// MessagePack. A message that does not fit a datagram loses its last lines, which come
// with the next one.
[[nodiscard]] std::string Encode(const PeerMessage& message);
// Errors: kBadRequest.
[[nodiscard]] Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace figmill
