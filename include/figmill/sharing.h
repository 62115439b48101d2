#pragma once

// Shares the slots of backend servers among entries without a round trip for each request. Each
// backend server is owned by one allocator: the entry of its data centre that wins the rendezvous
// hash (called its keeper in log lines). Entries report to the allocator how many of its slots they
// use, in absolute numbers. The allocator replies with grants: how many slots the other entries
// use, and how many batch items each entry may run on each backend server. Any message may be lost
// or delayed, because the next one repeats the whole state. Online requests don't wait for a grant;
// batch items are preempted as soon as the allocator learns of them.
// No I/O: the caller passes the time in and sends the messages that are returned.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/engine_speed.h"
#include "figmill/fairness.h"
#include "figmill/fleet.h"
#include "figmill/overload.h"
#include "figmill/peer_messages.h"
#include "figmill/peers.h"

namespace figmill {

// --- Allocator ---------------------------------------------------------------------

// Online requests that wait for a slot. The teams that wait for a service take turns by their
// shares. Within a team, requests that can still meet their goal come first, ordered by goal
// deadline; the others follow, ordered by caller deadline. Requests without a team count as one
// team, and so do all requests for a small service, which are ordered by the time by which they
// must be served.
class SlotRequestQueue {
 public:
  struct Entry {
    NodeId from;
    SlotRequest request;
    Time goal_deadline{};
    Time caller_deadline{};                       // when it stops waiting
    std::optional<Time> serve_by = std::nullopt;  // of a request for a small service
    // Requests of teams below their share go first although they come later.
    bool is_behind = false;
  };
  void Add(Entry entry) { entries_.push_back(std::move(entry)); }
  void RemoveFrom(const NodeId& from);
  // Removes requests whose callers have left.
  void Remove(const NodeId& from, std::span<const std::uint64_t> numbers);
  [[nodiscard]] bool Contains(const NodeId& from, std::uint64_t number) const;
  // Removes and returns the requests whose caller deadline has passed, and those whose goal
  // deadline has passed unless it is the caller's last try.
  [[nodiscard]] std::vector<Entry> TakeExpired(Time now);
  // Removes and returns the first request, in queue order, for which `serve` finds a slot.
  [[nodiscard]] std::optional<Entry> PopFirst(Time now,
                                              const std::function<bool(const Entry&)>& serve);
  // Whether a request with this many others ahead of it can still be served in time.
  using CanWait = std::function<bool(const Entry& entry, std::size_t ahead)>;
  // Removes and returns the requests that can't wait any longer now that `added` goes before them.
  // Does nothing while a single team waits.
  [[nodiscard]] std::vector<Entry> TakeDisplaced(const Entry& added, Time now,
                                                 const CanWait& can_wait);
  // A request got a slot, whether or not it had to wait: its team's next turn is later.
  void OnServed(const SlotRequest& request);
  [[nodiscard]] bool IsBelowShare(const SlotRequest& request) const {
    return SharesOf(request.service).IsBelowShare(request.team);
  }
  // Number of requests for the same service that are served before `entry`.
  [[nodiscard]] std::size_t CountAhead(const Entry& entry, Time now) const;
  // The times by which the requests for a small service must be served, in ascending order.
  [[nodiscard]] std::vector<Time> ServeTimes(const ServiceName& service) const;
  [[nodiscard]] std::span<const Entry> entries() const { return entries_; }
  [[nodiscard]] bool empty() const { return entries_.empty(); }

 private:
  [[nodiscard]] const FairShares& SharesOf(const ServiceName& service) const;

  std::vector<Entry> entries_;
  std::map<ServiceName, FairShares> shares_;
};

class SlotAllocator {
 public:
  // A report expires when its entry has sent no newer one for this long; reports are sent every
  // kHeartbeat. The entry's online streams have ended by then.
  static constexpr Duration kReportTtl{2'000'000};
  // The same for an entry that uses no slots here and has no items waiting: three of its reports in
  // a row were lost, and half of another interval has passed.
  static constexpr Duration kIdleReportTtl{3'500'000};
  // Delay between taking over a backend server and granting its slots. Entries must report what
  // they run first, or slots would be granted twice.
  static constexpr Duration kTakeoverDelay{500'000};
  // Grants that only carry the usage of other entries are delayed this long to coalesce changes.
  // The delay is longer to other data centres, whose entries use slots here only when their own are
  // full.
  static constexpr Duration kCoalesce{25'000};
  static constexpr Duration kRemoteCoalesce{100'000};
  // Each reporting entry gets a grant at least this often, as a sign that its allocator is alive.
  static constexpr Duration kHeartbeat{200'000};
  // The same for an entry that uses no slots and has no items waiting. With a grant every
  // kHeartbeat an idle entry among twelve sent 5.8 kB/s to the others (limit 4); at this interval
  // it sends 1.3 kB/s (bench/gateway_capacity.py).
  static constexpr Duration kIdleHeartbeat{1'000'000};
  // A slot that was assigned but not reported in use is released after this: the answer or the
  // report was lost, or the entry is gone.
  static constexpr Duration kReservationTtl{400'000};
  // Time from the send to the first event when a slot is free. Streams take about 40 ms; the rest
  // allows for a busy host.
  static constexpr Duration kFirstEventLatency{90'000};
  // Free slots are reserved for the online requests expected within this time at the current
  // arrival rate. If batch filled them at once, the next online request would preempt the item,
  // which would have to read its text again. With a shorter time items are preempted more than
  // three times each (slot-load-test); with a longer one slots stay idle between load peaks while
  // items wait.
  static constexpr Duration kOnlineHeadroom{110'000};
  // Run time assumed for an online request until some have ended.
  static constexpr Duration kDefaultRunTime{700'000};

  // `reserve`: slots of each backend server that batch may not use.
  explicit SlotAllocator(int reserve) : reserve_(reserve) {}

  // Sets the backend servers that this entry owns now. State of an earlier incarnation is dropped:
  // its slots are free, and its faults are forgotten.
  void SetOwnedBackends(const std::map<BackendId, ManagedBackend>& backends, Time now);
  // `local`: the entry is in this data centre.
  void OnReport(const Peer& from, bool local, const SlotReport& report, Time now);
  void OnRequest(const NodeId& from, const SlotRequest& request, Time now);
  void RemoveEntry(const NodeId& entry, Time now);

  struct Outgoing {
    NodeId to;
    std::optional<SlotGrant> grant;
    std::optional<SlotResponse> answer;
  };
  // Applies timeouts and expiries; call it once every kCoalesce.
  void Tick(Time now);
  // Returns the messages to send now; call it after each event and after each Tick.
  [[nodiscard]] std::vector<Outgoing> TakeOutgoing(Time now);

  // A backend server was ejected for all entries, or readmitted.
  struct Ejection {
    BackendId backend;
    ServiceName service;
    bool ejected = false;
    int unhealthy = 0;  // of the service's backend servers that this entry owns
    int total = 0;
  };
  // Ejections and readmissions since the last call.
  [[nodiscard]] std::vector<Ejection> TakeEjections() { return std::exchange(ejections_, {}); }

  // Requests admitted to the queue of a small service, and refused.
  struct LineCounts {
    ServiceName service;
    DeadlineLine::Counts counts;
  };
  // Counts since the last call; services without any are omitted.
  [[nodiscard]] std::vector<LineCounts> TakeLineCounts();
  // How the slots of a service were shared while teams competed for them.
  struct ShareSummary {
    ServiceName service;
    int refused = 0;
    int displaced = 0;
    std::size_t teams = 0;
    std::string by_team;  // ShareCounts::Summary
  };
  // Span of a summary.
  static constexpr Duration kShareSummarySpan{1'000'000};
  // Summaries of the last span, once it is over: of each service of which requests of one team were
  // refused or displaced while another team was served or waited.
  [[nodiscard]] std::vector<ShareSummary> TakeShareSummaries(Time now);

  // The class of an engine has changed, in a service whose engines differ in speed.
  struct SpeedChange {
    BackendId backend;
    ServiceName service;
    int speed_class = 0;
    Duration time_per_event{0};
    Duration fastest{0};  // of the service, on this allocator
  };
  // Changes since the last call.
  [[nodiscard]] std::vector<SpeedChange> TakeSpeedChanges() {
    return std::exchange(speed_changes_, {});
  }
  // Calls `visit` for each owned backend server whose time per event is known.
  void ForEachSpeed(const std::function<void(const BackendId& backend, Duration time_per_event,
                                             int speed_class)>& visit) const;

  // The time per event of the service's fastest engine on any allocator, if its engines differ in
  // speed (BackendPool::FastestOf): the owned ones alone may be alike.
  void SetFastest(const ServiceName& service, std::optional<Duration> fastest) {
    const auto load = loads_.find(service);
    if (load != loads_.end()) load->second.fastest = fastest;
  }
  // Batch items that the entry may run on the backend server, as last granted.
  [[nodiscard]] int AllowedBatch(const BackendId& backend, const NodeId& entry) const;

 private:
  struct EntryShare {
    int online = 0;
    int batch = 0;
    int allowed = 0;
    std::uint64_t answers = 0;
    std::uint64_t faults = 0;
    EventTiming timing;
    std::deque<Time> item_starts;  // of its items there, oldest first
    // The last values sent to the entry for this backend server, and the first grant that had them.
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
    ManagedBackend info;
    Time since{};
    std::map<NodeId, EntryShare> shares;
    std::vector<Reservation> reserved;
    OutlierDetector outlier_detector;
    bool ejected = false;
    RunStartTimes run_starts;  // of its online requests
    EngineSpeed speed;
    std::optional<Duration> time_per_event;  // as of the last Tick
    SpeedClass speed_class;                  // 0 where speeds don't differ
  };
  // Load statistics of one service's online requests on the owned backend servers.
  struct ServiceLoad {
    std::optional<Duration> run_time;
    std::optional<double> run_events;  // run time by the engine's time per event
    std::optional<Duration> fastest;   // time per event, as set
    bool speeds_differ = false;
    std::map<int, RecentPeak> online_peaks;  // slots used by online requests, by speed class
    LoadLulls lulls;
    std::optional<double> item_events;  // mean of the item runs that weren't preempted
    ArrivalRate arrivals;               // online requests that started
    QueueAdmission admission;
    LastTryAdmission last_try_admission;
    // The same for requests that go after those of teams below their share.
    QueueAdmission admission_behind;
    LastTryAdmission last_try_behind;
    RetryScheduler retries;
    DeadlineLine line;        // used while the service is small
    ArrivalRate below_share;  // requests of teams below their share that got a slot or were queued
  };
  struct EntryState {
    Incarnation incarnation = 0;
    std::uint64_t number = 0;
    std::vector<WaitingItems> waiting;
    Time reported_at{};
    std::uint64_t last_grant = 0;   // number of the last grant sent
    std::uint64_t acked_grant = 0;  // number of the last grant that the entry has applied
    bool local = true;
    bool allowed_changed = false;  // `allowed` of one of its shares changed
    bool others_changed = false;   // usage of other entries changed
    bool idle = false;             // uses no slots here, may use none, and has no items waiting
    Time granted_at{};
    Time full_grant_at{};  // last grant with a line for each backend server
  };

  [[nodiscard]] static int OnlineOf(const OwnedBackend& owned);
  void UpdateRunCounts(Time now);
  // Batch slots that are in use or granted.
  [[nodiscard]] static int BatchOf(const OwnedBackend& owned);
  // An entry while the batch slots of one backend server are divided.
  struct Candidate {
    const NodeId* node = nullptr;
    EntryShare* share = nullptr;
    EntryState* entry = nullptr;
    int assigned = 0;  // batch items that it runs there or may run there
    int claimed = 0;   // of its waiting items: those that already have a granted slot
  };
  void DivideBatchSlots(OwnedBackend& owned, Time now);
  // The same for several, those first that online requests reach last.
  void DivideBatchSlots(std::vector<OwnedBackend*> backends, Time now);
  void LetRunsFinish(OwnedBackend& owned);
  [[nodiscard]] std::vector<Candidate> CandidatesOf(OwnedBackend& owned);
  void GrantSpareSlots(const OwnedBackend& owned, std::vector<Candidate>& candidates,
                       int spare) const;
  // The candidate whose next item has the highest priority; null if no item waits.
  [[nodiscard]] static Candidate* NextCandidate(std::vector<Candidate>& candidates);
  // Slots granted to the entry on other backend servers of the service that it has not reported as
  // used yet.
  [[nodiscard]] int UnusedGrantsElsewhere(const NodeId& entry, const OwnedBackend& except) const;
  bool TryAssignSlot(const NodeId& from, const SlotRequest& request, Time now);
  void ServeQueue(Time now);
  void ExpireReservations(Time now);
  void Answer(const NodeId& to, SlotResponse answer);
  // No slot will be free in time. An allocator that owns no eligible backend server answers
  // kNotOwned: with kFull the request would be refused although other allocators may have free
  // slots.
  void AnswerNoSlot(const NodeId& to, const SlotRequest& request, std::optional<Duration> wait);
  void RecordQueueOutcome(const SlotRequestQueue::Entry& entry, bool served, Time now);
  // Tells the caller when to retry.
  void Refuse(const NodeId& to, const SlotRequest& request, Duration wait, Time now);
  void RecordServed(const SlotRequest& request);
  void CountBelowShare(const SlotRequest& request, Time now);
  // Requests a second that will go before this one although they come later.
  [[nodiscard]] double RateBefore(const SlotRequest& request) const;
  [[nodiscard]] QueueAdmission& AdmissionFor(const SlotRequest& request);
  [[nodiscard]] LastTryAdmission& LastTryAdmissionFor(const SlotRequest& request);
  // `wait`, which counts the requests that wait now, with those that will go before this one.
  [[nodiscard]] Duration WaitBehindOthers(const SlotRequest& request, Duration wait,
                                          Duration slot_interval) const;
  // Slots that become free within `span`, less those that later requests get before this one.
  [[nodiscard]] ExpectedCompletions SlotsWithin(const SlotRequest& request, Duration span,
                                                Time now) const;
  // Refuses the requests that can't be served in time any more because `added` goes before them.
  void RefuseDisplaced(const SlotRequestQueue::Entry& added, Time now);
  // The request as its entry would send it now.
  [[nodiscard]] SlotRequest RequestAt(const SlotRequestQueue::Entry& entry, Time now) const;
  [[nodiscard]] bool ShouldQueue(const SlotRequest& request, std::size_t ahead, Duration wait,
                                 Time now);
  // Answers a request that has a slot here or waits for one; false if it does neither.
  [[nodiscard]] bool AnswerRepeated(const NodeId& from, const SlotRequest& request, Time now);
  // Whether any owned backend server could take an online request.
  [[nodiscard]] bool HasFreeSlot() const;
  [[nodiscard]] bool IsSmall(const ServiceName& service) const;
  void OnSmallServiceRequest(SlotRequestQueue::Entry entry, Time now);
  // A request of the queue of a small service has expired.
  void RefuseExpired(const SlotRequestQueue::Entry& entry, Duration wait, Time now);
  [[nodiscard]] DeadlineLine::Forecast ForecastFor(const SlotRequest& request, Time now) const;
  // Like CompletionsWithin, for spans that may be longer than a run.
  [[nodiscard]] ExpectedCompletions CompletionsOverRuns(const SlotRequest& request, Duration span,
                                                        Time now) const;
  [[nodiscard]] static bool IsEligible(const BackendId& id, const OwnedBackend& owned,
                                       const SlotRequest& request);
  [[nodiscard]] ExpectedCompletions CompletionsWithin(const SlotRequest& request, Duration span,
                                                      Time now) const;
  [[nodiscard]] Duration TypicalRunTime(const ServiceName& service) const;
  // Of an online request on this engine.
  [[nodiscard]] Duration RunTimeOn(const OwnedBackend& owned) const;
  [[nodiscard]] int SlotsFor(const SlotRequest& request) const;
  // Runs that end per second while all slots that the request may use are taken.
  [[nodiscard]] double CompletionsPerSecond(const SlotRequest& request) const;
  static void RecordTiming(OwnedBackend& owned, EntryShare& share, const SlotReport::Line& line,
                           Time now);
  void UpdateSpeeds(Time now);
  void UpdateSpeedClass(const BackendId& id, OwnedBackend& owned, std::optional<Duration> fastest);
  void RecordReach(Time now);
  void RecordItemRuns(const OwnedBackend& owned, EntryShare& share, int batch, Time now);
  // Of the engine's free slots: how many a batch item may take.
  [[nodiscard]] int SlotsForItems(const OwnedBackend& owned, int free, Time now) const;
  // Whether online requests are likely to leave a slot to an item for most of its run.
  [[nodiscard]] bool FitsIntoLull(const OwnedBackend& owned, const ServiceLoad& load,
                                  Time now) const;
  [[nodiscard]] bool SpeedsDifferIn(const ServiceName& service) const;
  // Expected time until a request queued at `position` gets a slot; nullopt if no eligible backend
  // server is owned here.
  [[nodiscard]] std::optional<Duration> ExpectedWait(const SlotRequest& request,
                                                     std::size_t position) const;
  static void RecordOutcomes(OwnedBackend& owned, EntryShare& share, const SlotReport::Line& line,
                             Time now);
  // Ejects and readmits backend servers for all entries at once.
  void UpdateEjections(Time now);
  void UpdateRunTime(const OwnedBackend& owned, Duration usual);
  // Free slots of the service, less those that are reserved for online requests.
  [[nodiscard]] int SpareSlots(const ServiceName& service) const;
  void ClearUnreported(const NodeId& entry, const SlotReport& report, Time now);
  [[nodiscard]] SlotGrant GrantFor(const NodeId& node, EntryState& entry, Time now);
  // Whether an entry of another data centre needs the line of this backend server. Also records the
  // values that the line will carry.
  [[nodiscard]] static bool NeedsLine(const OwnedBackend& owned, EntryShare& share,
                                      const EntryState& entry);
  [[nodiscard]] std::vector<SlotGrant::ServiceUsage> ServiceUses() const;
  void MarkOthersChanged(const OwnedBackend& owned, const NodeId& except);
  // Recomputes which entries are idle, once per Tick. Doing it for each message took 2% of a core
  // on an allocator of ten backend servers for 38 entries (estimated).
  void UpdateIdle();

  int reserve_;
  std::map<BackendId, OwnedBackend> backends_;
  std::map<NodeId, EntryState> entries_;
  SlotRequestQueue queue_;
  std::vector<Outgoing> answers_;
  std::vector<Ejection> ejections_;
  std::vector<SpeedChange> speed_changes_;
  std::map<ServiceName, ServiceLoad> loads_;
  std::map<ServiceName, ShareCounts> share_counts_;  // since share_counts_since_
  Time share_counts_since_{};
};

// --- Search ------------------------------------------------------------------------

// Finds a slot for one online request by asking allocators: first for a free slot, then, when all
// are full, for a place in the queue with the shortest wait. An allocator that doesn't answer, or
// owns no backend server of the service, says nothing about the others.
namespace search {

struct Answered {
  SlotResponse answer;
};
struct TimedOut {};
// The allocators that own backend servers of the service now, in the order in which to ask them.
struct AllocatorsFound {
  std::vector<NodeId> allocators;
};
using Event = std::variant<Answered, TimedOut, AllocatorsFound>;

struct AskAllocator {
  NodeId allocator;
  SlotRequest request;
  Duration timeout{0};  // then TimedOut
};
// The allocator has queued the request and will answer again.
struct Wait {
  Duration timeout{0};  // then TimedOut
};
struct UseSlot {
  BackendId backend;
};
// The allocator that queued the request is gone or doesn't own the service's backend servers any
// more: find out which ones do. Its place there is given up.
struct FindAllocators {
  NodeId lost;
};
// No allocator answered: choose a backend server by the local state.
struct ChooseLocally {};
struct RefuseRequest {
  Duration wait{0};  // until the caller should retry
};
using Action =
    std::variant<AskAllocator, Wait, FindAllocators, UseSlot, ChooseLocally, RefuseRequest>;

}  // namespace search

class SlotSearch {
 public:
  // Allocators answer within a few ms, also across data centres. One that doesn't answer is gone or
  // stalled, and the search continues without it.
  static constexpr Duration kAnswerTimeout{25'000};
  // Allocators asked before the request is refused. Each costs a round trip.
  static constexpr std::size_t kMaxAsked = 3;
  // A queued request is asked about this often, to notice that its allocator is gone.
  static constexpr Duration kQueueCheckInterval{300'000};
  // Unanswered questions after which the allocator is taken for gone; datagrams may be lost.
  static constexpr int kMaxUnanswered = 4;

  // `allocators`: in the order in which they are asked.
  SlotSearch(SlotRequest request, std::vector<NodeId> allocators, Time now);

  [[nodiscard]] search::Action Start(Time now);
  [[nodiscard]] search::Action OnEvent(const search::Event& event, Time now);
  [[nodiscard]] std::uint64_t number() const { return request_.number; }

 private:
  [[nodiscard]] search::Action AskNextAllocator(Time now);
  [[nodiscard]] search::Action RequestFrom(const NodeId& allocator, Time now);
  [[nodiscard]] search::Action OnAnswer(const SlotResponse& answer, Time now);
  // The request waits in a queue, and the time for the next answer is over.
  [[nodiscard]] search::Action CheckQueue(Time now);
  [[nodiscard]] search::Action OnAllocatorsFound(std::vector<NodeId> allocators, Time now);
  [[nodiscard]] search::Action WaitInQueue(Time now);
  [[nodiscard]] Time WaitsUntil() const;

  SlotRequest request_;
  std::vector<NodeId> allocators_;
  std::size_t next_ = 0;
  // The full allocator with the shortest expected wait.
  std::optional<NodeId> shortest_queue_;
  Duration shortest_wait_ = Duration::max();
  std::optional<Duration> retry_after_;  // from the allocator that refused to queue the request
  Time goal_deadline_{};
  Time caller_deadline_{};
  NodeId asked_;         // the allocator asked last
  bool queued_ = false;  // the request waits there
  int unanswered_ = 0;   // questions about the queued request
  std::vector<NodeId> lost_;
};

}  // namespace figmill
