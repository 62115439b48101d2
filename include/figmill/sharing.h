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
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/fleet.h"
#include "figmill/overload.h"
#include "figmill/peer_messages.h"
#include "figmill/peers.h"

namespace figmill {

// --- Keeper ------------------------------------------------------------------------

// Online requests that wait for a place, those first that can still be in time,
// by the end of their time; then the others, likewise.
class SlotRequestQueue {
 public:
  struct Entry {
    NodeId from;
    PlaceAsk request;
    Time goal_deadline{};
    Time caller_deadline{};  // it waits no longer
  };
  void Add(Entry entry) { entries_.push_back(std::move(entry)); }
  void RemoveFrom(const NodeId& from);
  // Takes out those that waited in vain: their time to wait is over, or their goal has passed
  // and they would rather be told.
  [[nodiscard]] std::vector<Entry> TakeExpired(Time now);
  // Takes out the first one, by its order, for which `serve` finds a place.
  [[nodiscard]] std::optional<Entry> PopFirst(Time now,
                                              const std::function<bool(const Entry&)>& serve);
  // Those of the same service that would be served before it.
  [[nodiscard]] std::size_t CountAhead(const Entry& entry, Time now) const;
  [[nodiscard]] bool empty() const { return entries_.empty(); }

 private:
  std::vector<Entry> entries_;
};

class SlotAllocator {
 public:
  // What an entry reported is dropped when it has been silent for so long; they
  // report every kHeartbeat. Its online streams have ended by then.
  static constexpr Duration kReportTtl{2'000'000};
  // The same for one that uses nothing here and waits for nothing: three in a row, and
  // half of one, were lost.
  static constexpr Duration kIdleReportTtl{3'500'000};
  // After it became keeper: what runs must be reported before places are granted,
  // or they would be granted twice.
  static constexpr Duration kTakeoverDelay{500'000};
  // Grants that only tell what others use wait this long for more changes; longer
  // to other data centres, whose entries come here only when theirs are full.
  static constexpr Duration kCoalesce{25'000};
  static constexpr Duration kRemoteCoalesce{100'000};
  // Each entry that reports gets a grant at least this often, so that it knows
  // that its keeper is there.
  static constexpr Duration kHeartbeat{200'000};
  // The same where an entry uses nothing and waits for nothing. Told every kHeartbeat, an
  // idle entry among twelve sent 5.8 kB/s to the others (limit 4), and 1.3 kB/s at this
  // pace (bench/gateway_capacity.py).
  static constexpr Duration kIdleHeartbeat{1'000'000};
  // A place that was given and not reported in use is free again after this: the
  // answer or the report was lost, or the entry is gone.
  static constexpr Duration kReservationTtl{400'000};
  // From the send to the first event when a place is free. Streams take some 40 ms;
  // the rest is for a busy host.
  static constexpr Duration kFirstEventLatency{90'000};
  // Free places that batch leaves to the online requests that come within this
  // time, at the rate at which they come. Filled at once, each would be taken back
  // by the next request, and the stopped run would have to read its text again. Shorter, items
  // are stopped more than three times each (slot-load-test); longer, places stand idle between
  // waves while items wait.
  static constexpr Duration kOnlineHeadroom{110'000};
  // What one online run takes, until some have ended.
  static constexpr Duration kDefaultRunTime{700'000};

  // `reserve`: places kept free of batch at each backend server.
  explicit SlotAllocator(int reserve) : reserve_(reserve) {}

  // The backend servers that this entry keeps now. What was known of an earlier incarnation of
  // one is dropped: its places are free, and its faults are forgotten.
  void SetBackends(const std::map<BackendId, KeptBackend>& backends, Time now);
  // `near`: the entry is in this data centre.
  void OnReport(const Peer& from, bool local, const PlaceReport& report, Time now);
  void OnRequest(const NodeId& from, const PlaceAsk& request, Time now);
  void RemoveEntry(const NodeId& entry, Time now);

  struct Outgoing {
    NodeId to;
    std::optional<PlaceGrant> grant;
    std::optional<PlaceAnswer> answer;
  };
  // What time alone changes; call it once a kCoalesce.
  void Tick(Time now);
  // What has to be sent now; call it after each event and each Tick.
  [[nodiscard]] std::vector<Outgoing> TakeOutgoing(Time now);

  // A backend server was left out for all entries, or taken back.
  struct Ejection {
    BackendId backend;
    ServiceName service;
    bool ejected = false;
    int unhealthy = 0;  // of the service's backend servers that this entry keeps
    int total = 0;
  };
  // Those since the last call.
  [[nodiscard]] std::vector<Ejection> TakeEjections() { return std::exchange(ejections_, {}); }

  // Batch items that an entry may have running there, as granted last.
  [[nodiscard]] int AllowedBatch(const BackendId& backend, const NodeId& entry) const;

 private:
  struct EntryShare {
    int online = 0;
    int batch = 0;
    int allowed = 0;
    std::uint64_t answers = 0;
    std::uint64_t faults = 0;
    // What the entry was told last of this backend server, and by which grant first.
    int sent_allowed = 0;
    bool sent_ejected = false;
    std::uint64_t sent_in_grant = 0;
  };
  struct Reservation {
    NodeId entry;
    std::uint64_t request = 0;
    Time until{};
  };
  struct OwnedBackend {
    KeptBackend info;
    Time since{};
    std::map<NodeId, EntryShare> shares;
    std::vector<Reservation> reserved;
    OutlierDetector outlier_detector;
    bool ejected = false;
    RunStartTimes run_starts;  // of the online runs there
  };
  // What is learned of one service's online load here.
  struct ServiceLoad {
    std::optional<Duration> run_time;
    ArrivalRate arrivals;  // online runs that began
    QueueAdmission admission;
    LastTryAdmission last_try_admission;
    RetryScheduler retries;
  };
  struct EntryState {
    Incarnation incarnation = 0;
    std::uint64_t number = 0;
    std::vector<WaitingItems> waiting;
    Time reported_at{};
    std::uint64_t last_grant = 0;   // number of the last grant sent
    std::uint64_t acked_grant = 0;  // of the last one acted on
    bool local = true;
    bool allowed_changed = false;  // `allowed` changed
    bool others_changed = false;   // others' use changed
    bool idle = false;             // uses nothing here, may use nothing, and waits for nothing
    Time granted_at{};
    Time full_grant_at{};  // with a line for each backend server
  };

  [[nodiscard]] static int OnlineOf(const OwnedBackend& owned);
  void UpdateRunCounts(Time now);
  // Run there, or allowed to.
  [[nodiscard]] static int BatchOf(const OwnedBackend& owned);
  // An entry's part in the division of one backend server.
  struct Candidate {
    const NodeId* node = nullptr;
    EntryShare* share = nullptr;
    EntryState* entry = nullptr;
    int assigned = 0;  // batch items that it runs there, or may
    int claimed = 0;   // of its waiting items, by places that were granted for them
  };
  void DivideBatchSlots(OwnedBackend& owned, Time now);
  void LetRunsFinish(OwnedBackend& owned);
  [[nodiscard]] std::vector<Candidate> CandidatesOf(OwnedBackend& owned);
  void GrantSpareSlots(const OwnedBackend& owned, std::vector<Candidate>& candidates,
                       int spare) const;
  // Whose next item goes first; none waits: nullptr.
  [[nodiscard]] static Candidate* NextCandidate(std::vector<Candidate>& candidates);
  // Places granted to the entry at other backend servers of the service that it has not
  // said anything about yet.
  [[nodiscard]] int UnusedGrantsElsewhere(const NodeId& entry, const OwnedBackend& except) const;
  bool TryAssignSlot(const NodeId& from, const PlaceAsk& request, Time now);
  void ServeQueue(Time now);
  void ExpireReservations(Time now);
  void Answer(const NodeId& to, PlaceAnswer answer);
  // There is no place in time. Said by one that knows of none at all, "full" would have a
  // request refused while places are free; it is told that nothing is known here instead.
  void AnswerNoSlot(const NodeId& to, const PlaceAsk& request, std::optional<Duration> wait);
  void RecordQueueOutcome(const SlotRequestQueue::Entry& entry, bool served, Time now);
  // Its caller is told to come back.
  void Refuse(const NodeId& to, const PlaceAsk& request, Duration wait, Time now);
  [[nodiscard]] bool ShouldQueue(const PlaceAsk& request, std::size_t ahead, Duration wait,
                                 Time now);
  [[nodiscard]] static bool IsEligible(const BackendId& id, const OwnedBackend& owned,
                                       const PlaceAsk& request);
  [[nodiscard]] ExpectedCompletions CompletionsWithin(const PlaceAsk& request, Duration span,
                                                      Time now) const;
  [[nodiscard]] Duration TypicalRunTime(const ServiceName& service) const;
  [[nodiscard]] int SlotsFor(const PlaceAsk& request) const;
  // Until a request that is queued now would get a place; nothing where no place that it may
  // have is kept.
  [[nodiscard]] std::optional<Duration> ExpectedWait(const PlaceAsk& request,
                                                     std::size_t position) const;
  static void RecordOutcomes(OwnedBackend& owned, EntryShare& share, const PlaceReport::Line& line,
                             Time now);
  // Leaves out and takes back in, for all entries at once.
  void UpdateEjections(Time now);
  void UpdateRunTime(const ServiceName& service, Duration usual);
  // Places of the service that nobody uses, beyond what is left to online.
  [[nodiscard]] int SpareSlots(const ServiceName& service) const;
  void ClearUnreported(const NodeId& entry, const PlaceReport& report, Time now);
  [[nodiscard]] PlaceGrant GrantFor(const NodeId& node, EntryState& entry, Time now);
  // Whether an entry of another data centre needs the line of this backend server; remembers what
  // it is told.
  [[nodiscard]] static bool NeedsLine(const OwnedBackend& owned, EntryShare& share,
                                      const EntryState& entry);
  [[nodiscard]] std::vector<PlaceGrant::ServiceUse> ServiceUses() const;
  void MarkOthersChanged(const OwnedBackend& owned, const NodeId& except);
  // Finds the idle ones once a Tick: asked at each message, it took 2% of a core at a
  // keeper of ten backend servers for 38 entries (reckoned).
  void UpdateIdle();

  int reserve_;
  std::map<BackendId, OwnedBackend> backends_;
  std::map<NodeId, EntryState> entries_;
  SlotRequestQueue queue_;
  std::vector<Outgoing> answers_;
  std::vector<Ejection> ejections_;
  std::map<ServiceName, ServiceLoad> loads_;
};

// --- Search ------------------------------------------------------------------------

// How an entry finds a place for one online request by asking keepers: first for a
// place that is free, then, when all are taken, for one in the queue that moves on
// soonest. A keeper that is silent or knows of no place says nothing about the others.
namespace search {

struct Answered {
  PlaceAnswer answer;
};
struct TimedOut {};
using Event = std::variant<Answered, TimedOut>;

struct AskAllocator {
  NodeId allocator;
  PlaceAsk request;
  Duration timeout{0};  // then TimedOut
};
// The keeper has queued it and answers again.
struct Wait {
  Duration timeout{0};  // then TimedOut
};
struct UseSlot {
  BackendId backend;
};
// No keeper answers: choose by what is known here.
struct ChooseLocally {};
struct Refuse {
  Duration wait{0};  // until the caller should come back
};
using Action = std::variant<AskAllocator, Wait, UseSlot, ChooseLocally, Refuse>;

}  // namespace search

class SlotSearch {
 public:
  // A keeper answers within some ms, across data centres too; without an answer
  // it is gone or stands still, and the request goes on without it.
  static constexpr Duration kAnswerTimeout{25'000};
  // Keepers asked before the request is refused. Each costs a round trip.
  static constexpr std::size_t kMaxAsked = 3;

  // `keepers`: in the order in which they are asked.
  SlotSearch(PlaceAsk request, std::vector<NodeId> allocators, Time now);

  [[nodiscard]] search::Action Start(Time now);
  [[nodiscard]] search::Action OnEvent(const search::Event& event, Time now);
  [[nodiscard]] std::uint64_t number() const { return request_.number; }

 private:
  [[nodiscard]] search::Action AskNextAllocator(Time now);
  [[nodiscard]] search::Action RequestFrom(const NodeId& allocator, Time now);

  PlaceAsk request_;
  std::vector<NodeId> allocators_;
  std::size_t next_ = 0;
  // The full keeper whose queue moves on soonest.
  std::optional<NodeId> shortest_queue_;
  Duration shortest_wait_ = Duration::max();
  std::optional<Duration> retry_after_;  // said by the keeper that refused it
  Time goal_deadline_{};
  Time caller_deadline_{};
};

}  // namespace figmill
