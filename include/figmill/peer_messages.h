#pragma once

// Datagrams between entries: slots in use, requests for slots, and grants. Any message may be lost
// or delayed, because the next one repeats the whole state.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figmill/base.h"
#include "figmill/engine_speed.h"
#include "figmill/fleet.h"
#include "figmill/peers.h"
#include "figmill/quota.h"
#include "figmill/stream_sources.h"
#include "figmill/tables.h"

namespace figmill {

// Identifies the incarnation of a backend server that a line is about. Entries learn at different
// times that a backend server has restarted. A line about another incarnation than the one that the
// receiver knows is dropped: otherwise slots in use at the ended one would count as taken at the
// new one, and its faults would get the new one ejected. The next message repeats what is still
// true. Requests for slots and their responses carry no incarnation: a slot assigned by an
// allocator that doesn't know of the restart yet is at most one too many, and the next report
// corrects it.
//
// A 16-bit hash, which takes 3 bytes a line. The whole number takes 9 bytes, and increased all
// traffic between 12 entries by a third (bench/gateway_capacity.py). One in 65,535 restarts can't
// be told from the incarnation before; the allocator learns of it when it reads the backend
// server's row.
struct IncarnationTag {
  std::uint16_t value = 0;  // 0: the incarnation is not known
  bool operator==(const IncarnationTag&) const = default;
};
[[nodiscard]] IncarnationTag TagOf(BackendIncarnation incarnation);
// Whether the two may be the same incarnation.
[[nodiscard]] inline bool MayBeSame(IncarnationTag a, IncarnationTag b) {
  return a.value == 0 || b.value == 0 || a == b;
}

// Largest datagram that is not fragmented. Unit: bytes.
inline constexpr std::size_t kMaxPeerMessageBytes = 1400;

// From an entry to an allocator: requests a slot for one online request. The allocator responds at
// once, and again later if it queues the request.
struct SlotRequest {
  std::uint64_t number = 0;  // increases with each request of this incarnation
  ServiceName service;
  Duration goal_left{0};  // until the first event would miss its goal
  Duration time_left{0};  // until the caller's deadline
  // It is a retry of a refused request: serving it late is better than refusing it again.
  bool last_try = false;
  bool may_queue = false;        // the allocator may queue it if no slot is free
  std::vector<BackendId> tried;  // backend servers to exclude
  TeamId team;                   // whose request it is; empty if callers need no keys
  int rank = 0;  // of the team, or of its route if the team has none; 0 is the highest priority
  // It continues a stream of this version; nullopt: any version may run it.
  std::optional<SoftwareVersion> version = std::nullopt;
};

struct SlotResponse {
  enum class Kind : std::uint8_t {
    kAssigned,  // `backend` has a slot, which is reserved for the request for a while
    kQueued,    // another response follows
    kFull,      // no slot will be free in time
    // The allocator owns no backend server of the service: it has not read the list of backend
    // servers yet, or its list is outdated, or all of them are leaving. Other allocators may have
    // slots.
    kNotOwned,
  };
  std::uint64_t number = 0;
  Kind kind = Kind::kFull;
  BackendId backend;
  Duration wait{0};  // expected time until a slot is free
  // For a refused request that could have been queued: delay before the caller should retry.
  Duration retry_after{0};
};

// Batch items of one entry that wait for a slot and have the same due time; either all of them have
// been started before or none.
struct WaitingItems {
  // Due time of items that can no longer be in time: they run on slots that the others leave free.
  static constexpr StoreTime kLate = StoreTime::max();
  // Number of groups in a report; the last one combines the rest. An entry has waiting items of one
  // or two jobs on average, and of five at the peak of a load wave.
  static constexpr std::size_t kMaxGroups = 4;

  StoreTime due{0};
  int items = 0;
  bool started = false;  // started before; resumed before other items that can be in time
  // Sort key: the items that run first come first.
  [[nodiscard]] std::pair<bool, StoreTime> order() const { return {!started, due}; }
  bool operator==(const WaitingItems&) const = default;
};
[[nodiscard]] int CountItems(std::span<const WaitingItems> waiting);

// From an entry to an allocator. All counts are absolute, so only the latest report counts.
struct SlotReport {
  struct Line {
    BackendId backend;
    int online = 0;
    int batch = 0;
    Duration typical_run_time{0};  // of its online requests there; 0: none has ended yet
    // Outcomes of its sends there since the entry started.
    std::uint64_t answers = 0;
    std::uint64_t faults = 0;
    IncarnationTag incarnation = {};
    EventTiming timing = {};  // of its runs there since the entry started
  };
  std::uint64_t number = 0;       // increases with each report of this incarnation
  std::uint64_t acked_grant = 0;  // number of the last grant that this entry has applied
  // Numbers of the slot requests whose responses this entry has processed since its last report.
  std::vector<std::uint64_t> acked_requests;
  // Batch items that could start now, in the order in which they would start.
  std::vector<WaitingItems> waiting;
  std::vector<Line> lines;
  // This entry uses no slots on the allocator's backend servers that have no line. This keeps most
  // reports short, and still repeats that a request has ended until the allocator receives it.
  bool rest_unused = false;
};

// From an allocator to an entry.
struct SlotGrant {
  struct Line {
    BackendId backend;
    int online_other = 0;  // slots used by all entries but the receiver
    int batch_other = 0;
    int allowed = 0;       // batch items that the receiver may run there
    bool ejected = false;  // ejected for its faults, of which a single entry sees too few
    IncarnationTag incarnation = {};
    int speed_code = 0;  // its time per event (DecodeTimePerEvent)
  };
  // Slots of one service on all backend servers that the allocator owns, and how many of them are
  // used by online requests.
  struct ServiceUsage {
    ServiceName service;
    int slots = 0;
    int online = 0;
    bool operator==(const ServiceUsage&) const = default;
  };
  std::uint64_t number = 0;
  std::vector<Line> lines;
  // Sent to entries of other data centres in place of lines for the backend servers that they don't
  // use: they need to know which allocator to ask, not the state of each of its backend servers.
  std::vector<ServiceUsage> services;
};

struct PeerMessage {
  // Without a node in messages that need no sender (StreamRecords): it takes most of a short one.
  Peer from;
  std::optional<SlotReport> report;
  std::optional<SlotGrant> grant;
  std::optional<SlotRequest> slot_request;
  std::optional<SlotResponse> slot_response;
  std::vector<Peer> known_peers;  // peers that the sender knows; sent on first contact
  enum class WantedReply : std::uint8_t { kNone, kAny, kKnownPeers };
  WantedReply wanted_reply = WantedReply::kNone;
  std::optional<QuotaRequest> quota_request;
  std::optional<QuotaGrant> quota_grant;
  std::optional<StreamMessage> stream;
};

// Encodes as MessagePack. A message that exceeds kMaxPeerMessageBytes loses its last lines, which
// are sent with the next one.
[[nodiscard]] std::string Encode(const PeerMessage& message);
// Errors: kBadRequest.
[[nodiscard]] Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace figmill
