#pragma once

// Logic of an entry for online requests: selects the agent for a request, enforces team limits,
// decides whether a failed attempt may be retried, and computes the next step of each request.
// No I/O, clocks or threads: events and the current time go in, actions come out. Nothing here
// is thread-safe; each traffic thread has its own instances.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/control.h"

namespace figmill {

// --- Routing -------------------------------------------------------------------

// A node to send to, and the incarnation that the call is meant for.
struct NodeEndpoint {
  NodeId node;
  Address address;
  Incarnation incarnation = 0;
};

// The load that an agent reports in the head of each answer.
struct AgentLoad {
  std::uint32_t online_running = 0;
  std::uint32_t batch_running = 0;
  std::uint32_t online_mark = 0;  // online streams that it should hold before another agent is used
};

struct RouteQuery {
  ServiceName service;
  std::string_view prefix;        // start of the prompt, for cache affinity; empty: no affinity
  double tokens = 1;              // upper bound on the tokens of the answer
  std::span<const NodeId> tried;  // excluded from the choice
};

// Why an attempt at an agent ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,   // the complete answer arrived, whatever its status
  kRefused,    // the agent declined the request, such as `overloaded`; not a fault
  kFailed,     // connection lost, unreachable or timed out
  kAbandoned,  // ended by the entry; says nothing about the agent
};

// Chooses agents for one entry. The cost of a choice doesn't grow with the fleet: each service
// has at most `kSubsetSize` candidates here, selected by rendezvous hash, so that the entries
// spread evenly over the agents and few candidates change when an agent leaves.
class Router {
 public:
  static constexpr std::size_t kSubsetSize = 20;
  // The rest is reserved for agents in other data centres.
  static constexpr std::size_t kLocalSubsetSize = 16;
  static constexpr int kFailuresToEject = 3;  // consecutive
  static constexpr Duration kFirstEjection{5'000'000};
  static constexpr Duration kMaxEjection{60'000'000};
  static constexpr Duration kSlowStart{10'000'000};
  // The weight of a load report decays linearly to 0 over this.
  static constexpr Duration kReportLifetime{5'000'000};
  // Multiple of the mean load that prefix affinity may put on one agent.
  static constexpr double kBoundedLoad = 1.25;
  static constexpr double kPrefixOwnerSlackRequests = 2;  // always allowed at the prefix's owner
  // Requests of this entry allowed beyond its mean per agent.
  static constexpr double kEntrySlackRequests = 0.5;
  static constexpr std::uint32_t kDefaultOnlineMark = 8;  // used before the first load report
  static constexpr double kDataCentreCostRequests = 1;  // cost of another data centre, in requests
  static constexpr double kRegionCostRequests = 16;     // cost of another region, in requests

  Router(NodeId self, DataCentre here, RandomBits random);

  // Leaving, dead and drained agents are removed at once; suspect agents serve only services
  // that request no other agent.
  void Update(const RoutingSnapshot& snapshot, Time now);

  // Errors: kNoBackend (no candidate is left), with Ran::kNo.
  [[nodiscard]] Result<NodeEndpoint> Choose(const RouteQuery& query, Time now);
  // The agent in its current incarnation, also when ejected or suspect.
  [[nodiscard]] std::optional<NodeEndpoint> Find(const NodeId& node) const;

  void RecordDispatch(const NodeId& node, double tokens);
  void RecordLoad(const NodeId& node, const AgentLoad& load, Time now);
  // `error` gives the reason of kRefused.
  void RecordAttemptEnd(const NodeId& node, double tokens, AttemptEnd end,
                        const std::optional<Error>& error, Time now);

  [[nodiscard]] std::size_t candidates(const ServiceName& service) const;
  [[nodiscard]] std::size_t ejected(Time now) const;

 private:
  struct Agent {
    NodeEndpoint endpoint;
    std::uint32_t online_mark = kDefaultOnlineMark;
    double distance_cost_requests = 0;
    bool suspect = false;
    double own_tokens = 0;
    std::uint32_t own_running = 0;
    double others_running = 0;  // from the last report, without this entry's own requests
    std::optional<Time> reported_at;
    // Start of the slow start; unset when the agent never had one.
    std::optional<Time> slow_start_began_at;
    int failures = 0;
    int ejections = 0;
    Time ejected_until{};
    Time busy_until{};
  };
  struct Candidate {
    Agent* agent = nullptr;
    double cost = 0;
    std::size_t common_order = 0;  // position in the order that all entries share
  };

  void CollectCandidates(const RouteQuery& query, Time now, std::vector<Candidate>& out);
  void ConsolidateOnlineStreams(const ServiceName& service, Time now,
                                std::vector<Candidate>& out) const;
  [[nodiscard]] static double ReportWeight(const Agent& agent, Time now);
  [[nodiscard]] static double SlowStartShare(const Agent& agent, Time now);
  [[nodiscard]] static double MeanOthersRunning(std::span<const Candidate> candidates, Time now);
  [[nodiscard]] double Cost(const Agent& agent, double tokens, double mean_others_running,
                            Time now) const;
  [[nodiscard]] const Candidate* PrefixOwner(const RouteQuery& query,
                                             std::span<const Candidate> candidates) const;
  [[nodiscard]] const Candidate& PowerOfTwoChoices(std::span<const Candidate> candidates);
  void RecordFailure(Agent& agent, Time now);

  NodeId self_;
  DataCentre here_;
  RandomBits random_;
  bool updated_once_ = false;
  std::shared_ptr<const Config> config_;
  double mean_tokens_ = 256;
  std::unordered_map<NodeId, Agent> agents_;
  std::unordered_map<ServiceName, std::vector<NodeId>> subsets_;
  std::vector<Candidate> candidates_;
};

// --- Team limits ---------------------------------------------------------------

// A team's limit holds over all entries without a counter in the store. Each team has an owner:
// the entry with the highest rendezvous hash for it. An entry that needs more than a small
// share that it may use unasked reports its demand to the owner, which divides the limit by
// demand. When the owner doesn't respond, an entry's share expires and it uses an equal share.

struct TeamRates {
  double requests = 0;
  double tokens = 0;
};

// The demand for a team that an entry reports to the team's owner.
struct DemandReport {
  TeamId team;
  TeamRates wanted;    // per second, including refused requests
  TeamRates admitted;  // since the last report
};
struct ShareRequest {
  NodeEndpoint owner;
  DemandReport report;
};

class TokenBucket {
 public:
  void SetRate(double per_second, double capacity, Time now);
  // Tokens available after the refill; below 0 when a large request has overdrawn the bucket.
  [[nodiscard]] double Level(Time now);
  void Take(double n) { level_ -= n; }
  // Time until the level is at least `n`.
  [[nodiscard]] Duration Until(double n, Time now);
  [[nodiscard]] double capacity() const { return capacity_; }

 private:
  double rate_ = 0;
  double capacity_ = 0;
  double level_ = 0;
  bool filled_ = false;
  Time refilled_at_{};
};

class TeamLimits {
 public:
  static constexpr Duration kReportPeriod{500'000};
  static constexpr Duration kShareLifetime{3'000'000};
  static constexpr Duration kIdleTimeout{60'000'000};
  // Fraction of an equal share that an entry may use without a grant.
  static constexpr double kFreeShare = 0.25;
  static constexpr double kMinBurst = 2;  // requests
  static constexpr std::size_t kMaxTeams = 8192;

  explicit TeamLimits(NodeId self) : self_(std::move(self)) {}
  void Update(const RoutingSnapshot& snapshot, Time now);

  // Charges one request of `tokens`. Errors: kTeamLimit, with Ran::kNo and retry_after.
  [[nodiscard]] Result<Ok> Admit(const TeamId& team, double tokens, Time now);
  // Corrects the charge by the actual length of the answer.
  void Settle(const TeamId& team, double charged, double used);

  // Reports that are due; call this once every kReportPeriod. A team that this entry owns is
  // included, with this entry as the owner.
  [[nodiscard]] std::vector<ShareRequest> TakeDueReports(Time now);
  void ApplyShare(const TeamId& team, const TeamRates& share, Time now);

  [[nodiscard]] const TeamLimit* LimitOf(const TeamId& team) const;
  [[nodiscard]] std::size_t entries() const { return entries_.size(); }
  [[nodiscard]] std::size_t tracked() const { return teams_.size(); }

 private:
  struct Team {
    TokenBucket requests;
    TokenBucket tokens;
    TeamRates demand;    // since the last report
    TeamRates admitted;  // since the last report
    TeamRates wanted;    // smoothed, per second
    std::optional<TeamRates> share;
    // Time of the first unanswered request to the owner, or of its last answer.
    std::optional<Time> owner_asked_at;
    Time used_at{};
    Time reported_at{};
    // The bucket ran low or a request was refused since the last report.
    bool needs_larger_share = false;
  };
  void SetRates(Team& team, const TeamLimit& limit, Time now) const;
  [[nodiscard]] Team* FindOrAdd(const TeamId& team, const TeamLimit& limit, Time now);
  void EvictIdle(Time now);

  NodeId self_;
  std::shared_ptr<const Config> config_;
  std::vector<NodeEndpoint> entries_;
  std::unordered_map<TeamId, Team> teams_;
};

// The owner's side: divides a team's limit by reported demand and recovers what was admitted
// beyond it, so that the long-term rate stays within the limit.
class TeamShareAllocator {
 public:
  static constexpr Duration kReportLifetime{2'000'000};
  static constexpr double kRecoverySeconds = 4;  // an excess is recovered over about this time
  // Fraction of the limit that remains while an excess is recovered.
  static constexpr double kMinShare = 0.1;

  [[nodiscard]] TeamRates Allocate(const NodeId& entry, const DemandReport& report,
                                   const TeamLimit& limit, Time now);
  // Drops teams that no entry reported for TeamLimits::kIdleTimeout.
  void EvictIdle(Time now);
  [[nodiscard]] std::size_t tracked() const { return teams_.size(); }

 private:
  struct Reporter {
    TeamRates wanted;
    Time at{};
  };
  struct Team {
    std::map<NodeId, Reporter> reporters;
    TeamRates excess;  // admitted beyond the limit and not yet recovered
    Time at{};
  };
  std::unordered_map<TeamId, Team> teams_;
};

// --- Retry budget ----------------------------------------------------------------

// Limits the retries of a service to a fraction of its successes, so that failing servers can't
// multiply the load on the others: attempts <= requests x 1.1 + kMaxRetries.
class RetryBudget {
 public:
  static constexpr double kRetriesPerSuccess = 0.1;
  static constexpr double kMaxRetries = 5;  // initial balance and upper bound of the saved retries
  void RecordSuccess();
  [[nodiscard]] bool TrySpend();

 private:
  double balance_ = kMaxRetries;
};

// --- Event streams -----------------------------------------------------------------

// Splits a text/event-stream into complete events, so that a stream whose connection is lost
// inside an event can be resumed after the last complete one.
class EventSplitter {
 public:
  // Passes on each event that `bytes` completes, with the blank line that ends it.
  void Feed(std::string_view bytes, const std::function<void(std::string_view event)>& on_event);
  // Removes and returns the incomplete event.
  [[nodiscard]] std::string TakeIncompleteEvent();
  // Whether the event has data other than the closing "[DONE]".
  [[nodiscard]] static bool HasToken(std::string_view event);

 private:
  std::string incomplete_;
  std::size_t searched_to_ = 0;
};

// --- One request ---------------------------------------------------------------------

// Numbers the calls of one request, including resumes. Events of a call that is no longer the
// current one are late: they are dropped and counted.
using CallNumber = std::uint32_t;

// Attempts are named request.1, request.2, ....
struct RequestPlan {
  RequestId request;
  ServiceName service;
  std::string prefix;
  double tokens = 1;
  bool repeatable = true;
  bool can_resume = true;    // model engines keep streams for a resume; plain services don't
  bool wants_stream = true;  // the caller requested events; a resume must also return events
  Time deadline{};
};

namespace event {

struct Start {};
// A delayed dispatch, such as one that waited for a durable claim, was sent; the silence
// timeout starts now.
struct Sent {
  CallNumber call = 0;
};
// A problem document in place of an answer, or in the answer's `F` frame.
struct AgentRefused {
  CallNumber call = 0;
  Error error;
};
struct Head {
  CallNumber call = 0;
  int status = 0;
  std::string content_type;
  // The request id that the agent returned; an answer to another request is dropped.
  RequestId request;
};
struct Data {
  CallNumber call = 0;
  std::string_view bytes;
};
struct End {
  CallNumber call = 0;
  std::uint64_t bytes = 0;  // as stated by the final marker
  std::uint64_t tokens = 0;
  std::uint64_t cached_tokens = 0;
};
// The call failed: its connection was lost, or it ended without its final marker. `sent` is
// false only when no connection was established.
struct CallFailed {
  CallNumber call = 0;
  bool sent = true;
  std::string why;
};
enum class RevokeState : std::uint8_t { kNeverStarted, kRunning, kFinished, kNoAnswer };
struct RevokeAnswered {
  CallNumber call = 0;
  RevokeState state = RevokeState::kNoAnswer;
};
struct TimerFired {};
struct CallerDisconnected {};

}  // namespace event

using RequestEvent = std::variant<event::Start, event::Sent, event::AgentRefused, event::Head,
                                  event::Data, event::End, event::CallFailed, event::RevokeAnswered,
                                  event::TimerFired, event::CallerDisconnected>;

namespace action {

// Calls the agent. `resume` continues a stream that the agent ran earlier under this id.
struct Dispatch {
  CallNumber call = 0;
  NodeEndpoint to;
  RequestId request;
  bool resume = false;
  std::uint64_t resume_from = 0;  // tokens that the caller has received
};
// Asks the agent whether it started the request, and revokes the request if it did not; the
// result is RevokeAnswered.
struct Revoke {
  CallNumber call = 0;
  NodeEndpoint to;
  RequestId request;
};
// The request no longer uses the call: close its connection and report the outcome to the
// router.
struct EndCall {
  CallNumber call = 0;
  NodeEndpoint to;
  AttemptEnd end = AttemptEnd::kAbandoned;
  std::optional<Error> error;
};
// Cancels the work at the engine.
struct CancelWork {
  NodeEndpoint to;
  RequestId request;
};
struct SendHead {
  int status = 0;
  std::string content_type;
};
struct SendBytes {
  std::string bytes;
};
struct Finish {
  std::uint64_t tokens = 0;
  std::uint64_t cached_tokens = 0;
};
// The final answer. After SendHead the caller's connection must be closed so that the answer is
// visibly incomplete.
struct Fail {
  Error error;
};
// Sets the only timer of the request, replacing an earlier one.
struct SetTimer {
  Time at{};
};

}  // namespace action

using RequestAction = std::variant<action::Dispatch, action::Revoke, action::EndCall,
                                   action::CancelWork, action::SendHead, action::SendBytes,
                                   action::Finish, action::Fail, action::SetTimer>;

// Lookups of agents for a request; the I/O layer binds them to a Router.
struct AgentLookup {
  std::function<Result<NodeEndpoint>(const RequestPlan& plan, std::span<const NodeId> tried,
                                     Time now)>
      choose;
  std::function<std::optional<NodeEndpoint>(const NodeId& node)> find;
};

// State machine of one online request at its entry. Invariants:
// - work is sent again only when an agent confirmed that it never started, or when it is
//   repeatable; to another agent only within the retry budget and the deadline;
// - a broken stream is resumed before the request is run again;
// - the caller gets each byte once and in order; an answer without its final marker or of the
//   wrong length is reported as broken and never passed as complete;
// - `ran` in the final error covers all attempts;
// - a request that fails for good is answered at once.
class RequestStateMachine {
 public:
  // An answer that is not an event stream is buffered until it is complete, so that the caller
  // never sees a lost connection; an answer larger than this fails as kTooLarge.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{8} << 20;
  // Time without data after which the agent is asked whether the work is still running.
  static constexpr Duration kHeadTimeout{3'000'000};
  static constexpr Duration kStreamTimeout{2'000'000};
  static constexpr Duration kRevokeTimeout{1'000'000};
  // For requests that are not repeatable; others send one revoke.
  static constexpr int kMaxRevokes = 3;
  // Consecutive resumes without progress. A request that is not repeatable has no other way to
  // its answer, and a restarted agent needs seconds to appear in the membership.
  static constexpr int kMaxResumes = 3;
  static constexpr int kMaxResumesOfUnrepeatable = 7;
  static constexpr Duration kResumeBackoff{50'000};
  static constexpr Duration kMaxResumeBackoff{2'000'000};
  static constexpr Duration kRetryAfter{1'000'000};

  // `lookup` and `budget` must outlive this object.
  RequestStateMachine(RequestPlan plan, const AgentLookup& lookup, RetryBudget& budget,
                      RandomBits random);

  [[nodiscard]] std::vector<RequestAction> On(const RequestEvent& event, Time now);

  [[nodiscard]] bool done() const { return phase_ == Phase::kDone; }
  [[nodiscard]] std::uint32_t attempts() const { return attempts_; }
  [[nodiscard]] std::uint32_t resumes() const { return resumes_; }
  [[nodiscard]] std::uint32_t late_events() const { return late_events_; }
  [[nodiscard]] const RequestPlan& plan() const { return plan_; }

 private:
  enum class Phase : std::uint8_t {
    kNew,
    kWaiting,     // call open, head not received
    kStreaming,   // call open, head received
    kRevoking,    // no call; waiting for the answer to a revoke
    kBackingOff,  // no call; waiting for the resume backoff to end
    kDone,
  };
  // State of the current attempt.
  struct Attempt {
    NodeEndpoint to;             // of the current call
    NodeEndpoint dispatched_to;  // the target of the dispatch; only this incarnation can confirm
                                 // that the work never started
    RequestId request;
    Ran ran = Ran::kNo;
    bool resuming = false;  // the current call is a resume
    int consecutive_resumes = 0;
    int revokes = 0;
    int finished_probes = 0;  // probes answered with kFinished while the answer was missing
    bool new_incarnation_tried = false;
  };

  void OnStart(Time now);
  void OnSent(const event::Sent& sent, Time now);
  void OnRefused(const event::AgentRefused& refused, Time now);
  void OnHead(const event::Head& head, Time now);
  void OnData(const event::Data& data, Time now);
  void OnEnd(const event::End& end, Time now);
  void OnCallFailed(const event::CallFailed& failure, Time now);
  void OnRevokeAnswered(const event::RevokeAnswered& answered, Time now);
  void OnTimer(Time now);
  void OnCallerDisconnected();

  void DispatchTo(const NodeEndpoint& endpoint, bool resume, Time now);
  void HandleBrokenCall(const Error& why, Time now);
  void SendRevoke(Time now);
  void SendProbe(Time now);
  void OnProbeAnswered(event::RevokeState state, Time now);
  void ScheduleResume(Time now);
  void Resume(Time now);
  void OnRevokeUnanswered(Time now);
  void RerunOrFail(Time now);
  void DispatchToNextAgent(Time now);
  [[nodiscard]] bool IsFreeRetry() const;
  void CloseCall(AttemptEnd end, std::optional<Error> error = {});
  void CancelStarted();
  void FinishWithError(Error error);
  void DropUnsent();
  void Deliver(std::string_view bytes);
  void DeliverEvent(std::string_view event);
  void SendToCaller(std::string bytes);
  void ArmSilenceTimer(Duration silence_timeout, Time now);
  void ArmTimer(Time at);
  [[nodiscard]] bool IsCurrent(CallNumber call);
  [[nodiscard]] bool CallOpen() const;

  RequestPlan plan_;
  const AgentLookup& lookup_;
  RetryBudget& budget_;
  RandomBits random_;
  Phase phase_ = Phase::kNew;
  std::vector<RequestAction> out_;

  Attempt attempt_;
  CallNumber call_ = 0;
  std::vector<NodeId> tried_;
  std::uint32_t attempts_ = 0;
  std::uint32_t resumes_ = 0;
  std::uint32_t late_events_ = 0;
  Ran ran_before_ = Ran::kNo;  // combined over the earlier attempts
  Error last_error_;           // reason of the last failed attempt
  Time timer_due_{};           // when the silence timeout or the resume backoff ends
  std::optional<Time> armed_at_;
  bool probing_ = false;
  Duration silence_timeout_{0};

  // The answer.
  int status_ = 0;
  std::string content_type_;
  bool event_stream_ = false;
  bool head_sent_ = false;
  bool rerun_differs_ = false;  // the events of a rerun differ from those already sent
  std::string buffer_;          // not sent yet: a buffered answer, or events without a token
  EventSplitter splitter_;
  std::uint64_t call_bytes_ = 0;   // of the current call
  std::uint64_t tokens_sent_ = 0;  // events with a token that the caller has received
  std::uint64_t sent_hash_ = 0;    // over the tokens counted by tokens_sent_
  // Events of a rerun still to be compared with those already sent.
  std::uint64_t rerun_events_left_ = 0;
  std::uint64_t rerun_hash_ = 0;
};

}  // namespace figmill
