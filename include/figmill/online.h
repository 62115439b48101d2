#pragma once

// Decisions of an entry for online requests: whom to send one to, whether its
// team may still send, whether a failure may be tried again, and what one
// request does next. No I/O, clocks or threads: events go in with the time,
// actions come out. Nothing here is thread-safe; each traffic thread has its own.

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

// An agent to send to, in the incarnation that is meant.
struct Pick {
  NodeId node;
  Address address;
  Incarnation incarnation = 0;
};

// What an agent says of itself in the head of each answer.
struct AgentLoad {
  std::uint32_t online_running = 0;
  std::uint32_t batch_running = 0;
  std::uint32_t online_mark = 0;  // online streams to fill it with before another is used
};

struct RouteQuery {
  ServiceName service;
  std::string_view prefix;        // start of the prompt; empty: no affinity
  double tokens = 1;              // tokens that the answer may have
  std::span<const NodeId> tried;  // never picked again
};

// Why an attempt at an agent ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,   // the whole answer came, whatever its status
  kRefused,    // a truthful refusal, such as `overloaded`; no fault
  kFailed,     // broke off, unreachable, silent
  kAbandoned,  // given up by this side; says nothing about the agent
};

// Chooses agents for one entry. Costs don't grow with the fleet: each service
// has at most `kSubset` candidates here, chosen by rendezvous hash, so that
// entries spread evenly over the agents and few candidates move when one leaves.
class Router {
 public:
  static constexpr std::size_t kSubset = 20;
  static constexpr std::size_t kLocalSubset = 16;  // the rest is kept for other data centres
  static constexpr int kFailuresToEject = 3;       // in a row
  static constexpr Duration kFirstEjection{5'000'000};
  static constexpr Duration kLongestEjection{60'000'000};
  static constexpr Duration kSlowStart{10'000'000};
  static constexpr Duration kReportLife{5'000'000};  // a report's weight falls to 0 over this
  static constexpr double kBoundedLoad = 1.25;       // of the mean load, for prefix affinity
  static constexpr double kSlackRequests = 2;        // always allowed at the prefix's owner
  static constexpr double kOwnSlackRequests = 0.5;   // of this entry, beyond its mean
  static constexpr std::uint32_t kUnknownMark = 8;   // before the first report
  static constexpr double kHopRequests = 1;          // price of another data centre
  static constexpr double kRegionHopRequests = 16;   // price of another region

  Router(NodeId self, DataCentre here, RandomBits random);

  // Leaving, dead and drained agents are out at once; suspect ones serve only a
  // service that has no other.
  void Update(const RoutingSnapshot& snapshot, Time now);

  // Errors: kNoBackend (nobody left to try), ran no.
  [[nodiscard]] Result<Pick> Choose(const RouteQuery& query, Time now);
  // The agent in its present incarnation, also when ejected or suspect.
  [[nodiscard]] std::optional<Pick> Find(const NodeId& node) const;

  void Dispatched(const NodeId& node, double tokens);
  void HeadSeen(const NodeId& node, const AgentLoad& load, Time now);
  // `error` says why, for kRefused.
  void Ended(const NodeId& node, double tokens, AttemptEnd end, const std::optional<Error>& error,
             Time now);

  [[nodiscard]] std::size_t candidates(const ServiceName& service) const;
  [[nodiscard]] std::size_t ejected(Time now) const;

 private:
  struct Agent {
    Pick pick;
    std::uint32_t online_mark = kUnknownMark;
    double hop_requests = 0;
    bool suspect = false;
    double own_tokens = 0;
    std::uint32_t own_running = 0;
    double others_running = 0;  // by the last report, without our own
    std::optional<Time> reported_at;
    std::optional<Time> ramp_from;  // set while the agent is slowly let in
    int failures = 0;
    int ejections = 0;
    Time ejected_until{};
    Time busy_until{};
  };
  struct Candidate {
    Agent* agent = nullptr;
    double cost = 0;
    std::size_t rank = 0;  // in the order that all entries share
  };

  void Choosable(const RouteQuery& query, Time now, std::vector<Candidate>& out);
  void KeepTogether(const ServiceName& service, Time now, std::vector<Candidate>& out) const;
  [[nodiscard]] static double ReportWeight(const Agent& agent, Time now);
  [[nodiscard]] static double SlowStartShare(const Agent& agent, Time now);
  [[nodiscard]] static double UsualOthers(std::span<const Candidate> candidates, Time now);
  [[nodiscard]] double Cost(const Agent& agent, double tokens, double usual_others, Time now) const;
  [[nodiscard]] const Candidate* Owner(const RouteQuery& query,
                                       std::span<const Candidate> candidates) const;
  [[nodiscard]] const Candidate& BetterOfTwo(std::span<const Candidate> candidates);
  void Fail(Agent& agent, Time now);

  NodeId self_;
  DataCentre here_;
  RandomBits random_;
  bool started_ = false;
  std::shared_ptr<const Config> config_;
  double mean_tokens_ = 256;
  std::unordered_map<NodeId, Agent> agents_;
  std::unordered_map<ServiceName, std::vector<NodeId>> subsets_;
  std::vector<Candidate> scratch_;
};

// --- Team limits ---------------------------------------------------------------

// A team's limit holds over all entries without a counter in the store. Each
// team has a home: the entry that wins the rendezvous hash for it. An entry that
// needs more than a small free share reports its demand to the home, which
// splits the limit by demand. With the home silent, a share lapses to an equal one.

struct TeamRates {
  double requests = 0;
  double tokens = 0;
};

// What an entry tells a team's home.
struct ShareReport {
  TeamId team;
  TeamRates wanted;    // a second, also what was refused
  TeamRates admitted;  // since the last report
};
struct ShareAsk {
  Pick home;
  ShareReport report;
};

class TokenBucket {
 public:
  void SetRate(double per_second, double capacity, Time now);
  // Level after refill; below 0 when a large request has run it into debt.
  [[nodiscard]] double Level(Time now);
  void Take(double n) { level_ -= n; }
  // Until the level is at least `n`.
  [[nodiscard]] Duration Until(double n, Time now);
  [[nodiscard]] double capacity() const { return capacity_; }

 private:
  double rate_ = 0;
  double capacity_ = 0;
  double level_ = 0;
  bool filled_ = false;
  Time at_{};
};

class TeamLimits {
 public:
  static constexpr Duration kReportPeriod{500'000};
  static constexpr Duration kGrantLife{3'000'000};
  static constexpr Duration kForgetAfter{60'000'000};
  static constexpr double kFreeShare = 0.25;  // of an equal share, without asking
  static constexpr double kLeastBurst = 2;    // requests
  static constexpr std::size_t kMaxTeams = 8192;

  explicit TeamLimits(NodeId self) : self_(std::move(self)) {}
  void Update(const RoutingSnapshot& snapshot, Time now);

  // Charges one request of `tokens`. Errors: kTeamLimit, ran no, with retry_after.
  [[nodiscard]] Result<Ok> Admit(const TeamId& team, double tokens, Time now);
  // Corrects the charge when the answer turned out shorter or longer.
  void Settle(const TeamId& team, double charged, double used);

  // Reports that are due; call it once a kReportPeriod. A team whose home is this
  // entry is asked for here too, with `home.node` this entry.
  [[nodiscard]] std::vector<ShareAsk> Due(Time now);
  void Granted(const TeamId& team, const TeamRates& share, Time now);

  [[nodiscard]] const TeamLimit* LimitOf(const TeamId& team) const;
  [[nodiscard]] std::size_t entries() const { return entries_.size(); }
  [[nodiscard]] std::size_t tracked() const { return teams_.size(); }

 private:
  struct Team {
    TokenBucket requests;
    TokenBucket tokens;
    TeamRates demand;    // since the last report
    TeamRates admitted;  // since the last report
    TeamRates wanted;    // smoothed, a second
    std::optional<TeamRates> share;
    std::optional<Time> asked_at;  // since when the home is asked, or it answered last
    Time used_at{};
    Time reported_at{};
    bool short_of = false;  // ran low, or refused, since the last report
  };
  void SetRates(Team& team, const TeamLimit& limit, Time now) const;
  [[nodiscard]] Team* Track(const TeamId& team, const TeamLimit& limit, Time now);
  void Forget(Time now);

  NodeId self_;
  std::shared_ptr<const Config> config_;
  std::vector<Pick> entries_;
  std::unordered_map<TeamId, Team> teams_;
};

// The home's side: splits a team's limit by reported demand, and takes back what
// was admitted beyond it, so that the long run keeps to the limit.
class TeamShares {
 public:
  static constexpr Duration kReportLife{2'000'000};
  static constexpr double kPaybackSeconds = 4;  // an excess is taken back over about this
  static constexpr double kLeastShare = 0.1;    // of the limit, while paying back

  [[nodiscard]] TeamRates Report(const NodeId& entry, const ShareReport& report,
                                 const TeamLimit& limit, Time now);
  // Drops teams without reports.
  void Forget(Time now);
  [[nodiscard]] std::size_t tracked() const { return teams_.size(); }

 private:
  struct Reporter {
    TeamRates wanted;
    Time at{};
  };
  struct Team {
    std::map<NodeId, Reporter> reporters;
    TeamRates excess;  // admitted beyond the limit, not yet taken back
    Time at{};
  };
  std::unordered_map<TeamId, Team> teams_;
};

// --- Retry budget ----------------------------------------------------------------

// Retries of a service are a share of its successes, so that failing servers
// can't multiply the load on the others: attempts <= requests x 1.1 + reserve.
class RetryBudget {
 public:
  static constexpr double kShare = 0.1;
  static constexpr double kReserve = 5;  // retries at start, and the most saved up
  void Succeeded();
  [[nodiscard]] bool Spend();

 private:
  double saved_ = kReserve;
};

// --- Event streams -----------------------------------------------------------------

// Cuts a text/event-stream into whole events, so that a stream which breaks
// inside an event can go on after the last whole one.
class EventCutter {
 public:
  // Whole events, each with its blank line, that `bytes` completes.
  void Feed(std::string_view bytes, const std::function<void(std::string_view event)>& on_event);
  // Gives up the unfinished event.
  [[nodiscard]] std::string TakeTail();
  // One that carries a token: it has data, and isn't the closing "[DONE]".
  [[nodiscard]] static bool CarriesToken(std::string_view event);

 private:
  std::string tail_;
  std::size_t scanned_ = 0;
};

// --- One request ---------------------------------------------------------------------

// Numbers the calls of one request, resumes included. Events of a call that is
// no longer the current one are late: dropped and counted.
using CallNumber = std::uint32_t;

struct RequestPlan {
  RequestId request;  // attempts are named request.1, request.2, ...
  ServiceName service;
  std::string prefix;
  double tokens = 1;
  bool repeatable = true;
  bool can_resume = true;    // model engines hold streams; plain services don't
  bool wants_stream = true;  // the caller asked for events; a resume must give the same
  Time deadline{};
};

namespace event {

struct Start {};
// A dispatch that had to wait, as for a durable claim, goes out now: silence is
// counted from here.
struct Sent {
  CallNumber call = 0;
};
// A problem document in place of an answer, or in its `F` frame.
struct AgentRefused {
  CallNumber call = 0;
  Error error;
};
struct Head {
  CallNumber call = 0;
  int status = 0;
  std::string content_type;
  // As the agent names it; an answer to another request is dropped.
  RequestId request;
};
struct Data {
  CallNumber call = 0;
  std::string_view bytes;
};
struct End {
  CallNumber call = 0;
  std::uint64_t bytes = 0;  // by the final marker
  std::uint64_t tokens = 0;
  std::uint64_t cached_tokens = 0;
};
// The call broke off, or ended without its final marker. `sent` is false only
// when no connection was made.
struct Broke {
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
struct CallerGone {};

}  // namespace event

using RequestEvent = std::variant<event::Start, event::Sent, event::AgentRefused, event::Head,
                                  event::Data, event::End, event::Broke, event::RevokeAnswered,
                                  event::TimerFired, event::CallerGone>;

namespace action {

// Call the agent. `resume` continues a stream that it ran under this id before.
struct Dispatch {
  CallNumber call = 0;
  Pick to;
  RequestId request;
  bool resume = false;
  std::uint64_t resume_from = 0;  // tokens that the caller has
};
// Ask whether the request was started there; answer with RevokeAnswered.
struct Revoke {
  CallNumber call = 0;
  Pick to;
  RequestId request;
};
// The call is over for this request: close its connection, tell the router.
struct CallOver {
  CallNumber call = 0;
  Pick to;
  AttemptEnd end = AttemptEnd::kAbandoned;
  std::optional<Error> error;
};
// Stop the work at the engine.
struct CancelAt {
  Pick to;
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
// The final answer. After SendHead the caller must see that the answer broke.
struct Fail {
  Error error;
};
// One timer; a later one replaces it.
struct SetTimer {
  Time at{};
};

}  // namespace action

using RequestAction = std::variant<action::Dispatch, action::Revoke, action::CallOver,
                                   action::CancelAt, action::SendHead, action::SendBytes,
                                   action::Finish, action::Fail, action::SetTimer>;

// Where a request may go; bound to a Router by the shell.
struct RequestRoutes {
  std::function<Result<Pick>(const RequestPlan& plan, std::span<const NodeId> tried, Time now)>
      choose;
  std::function<std::optional<Pick>(const NodeId& node)> find;
};

// The life of one online request at its entry. What it keeps to:
// - work is sent again only when an agent proved that it never started, or when
//   it is repeatable; to another agent, within the budget and the deadline;
// - a stream that breaks is resumed before it is run again;
// - the caller gets each byte once and in order; an answer without its final
//   marker or of the wrong length is broken, never short;
// - `ran` in the final error is true over all attempts;
// - a request that is given up gets its answer at once.
class RequestRun {
 public:
  // An answer that is no event stream is held until it is whole, so that a break
  // never shows; a larger one than this fails as kTooLarge.
  static constexpr std::size_t kHoldBytes = std::size_t{8} << 20;
  // Silence after which the agent is asked whether the work still runs.
  static constexpr Duration kHeadPatience{3'000'000};
  static constexpr Duration kStreamPatience{2'000'000};
  static constexpr Duration kRevokeTimeout{1'000'000};
  static constexpr int kRevokes = 3;  // for what may not be repeated; others ask once
  // Resumes in a row, without progress. What may not be repeated has no other
  // way to its answer, and a restarted agent needs seconds to be known.
  static constexpr int kResumes = 3;
  static constexpr int kResumesOfUnrepeatable = 7;
  static constexpr Duration kResumeBackoff{50'000};
  static constexpr Duration kLongestResumeBackoff{2'000'000};
  static constexpr Duration kRetryAfter{1'000'000};

  // `routes` and `budget` outlive the run.
  RequestRun(RequestPlan plan, const RequestRoutes& routes, RetryBudget& budget, RandomBits random);

  [[nodiscard]] std::vector<RequestAction> On(const RequestEvent& event, Time now);

  [[nodiscard]] bool done() const { return phase_ == Phase::kDone; }
  [[nodiscard]] std::uint32_t attempts() const { return attempts_; }
  [[nodiscard]] std::uint32_t resumes() const { return resumes_; }
  [[nodiscard]] std::uint32_t late_events() const { return late_; }
  [[nodiscard]] const RequestPlan& plan() const { return plan_; }

 private:
  enum class Phase : std::uint8_t {
    kNew,
    kWaiting,    // call open, no head yet
    kStreaming,  // call open, head seen
    kRevoking,   // no call; waiting to hear whether it started
    kResting,    // no call; resume when the timer fires
    kDone,
  };
  // What is known of the current attempt.
  struct Attempt {
    Pick to;        // of the present call
    Pick first_to;  // whose incarnation can say that the work never started
    RequestId request;
    Ran ran = Ran::kNo;
    bool resuming = false;  // the present call asks for a resume
    int resumes_in_row = 0;
    int revokes = 0;
    int said_finished = 0;  // by probes, while its answer stays out
    bool new_incarnation_tried = false;
  };

  void OnStart(Time now);
  void OnSent(const event::Sent& sent, Time now);
  void OnRefused(const event::AgentRefused& refused, Time now);
  void OnHead(const event::Head& head, Time now);
  void OnData(const event::Data& data, Time now);
  void OnEnd(const event::End& end, Time now);
  void OnBroke(const event::Broke& broke, Time now);
  void OnRevokeAnswered(const event::RevokeAnswered& answered, Time now);
  void OnTimer(Time now);
  void OnCallerGone();

  void DispatchTo(const Pick& pick, bool resume, Time now);
  void Broken(const Error& why, Time now);
  void AskWhetherStarted(Time now);
  void Probe(Time now);
  void ProbeAnswered(event::RevokeState state, Time now);
  void ResumeSoon(Time now);
  void Resume(Time now);
  void AskedInVain(Time now);
  void CantResume(Time now);
  void TryElsewhere(Time now);
  [[nodiscard]] bool SpentNothing() const;
  void CloseCall(AttemptEnd end, std::optional<Error> error = {});
  void CancelStarted();
  void GiveUp(Error error);
  void DropUnsent();
  void Deliver(std::string_view bytes);
  void DeliverEvent(std::string_view event);
  void Send(std::string bytes);
  void Listen(Duration patience, Time now);
  void Arm(Time at);
  [[nodiscard]] bool IsCurrent(CallNumber call);
  [[nodiscard]] bool CallOpen() const;

  RequestPlan plan_;
  const RequestRoutes& routes_;
  RetryBudget& budget_;
  RandomBits random_;
  Phase phase_ = Phase::kNew;
  std::vector<RequestAction> out_;

  Attempt attempt_;
  CallNumber call_ = 0;
  std::vector<NodeId> tried_;
  std::uint32_t attempts_ = 0;
  std::uint32_t resumes_ = 0;
  std::uint32_t late_ = 0;
  Ran ran_before_ = Ran::kNo;  // over the earlier attempts
  Error last_error_;           // why the last attempt failed
  Time wake_at_{};             // when silence is questioned, or a rest ends
  std::optional<Time> armed_at_;
  bool probing_ = false;
  Duration patience_{0};

  // The answer.
  int status_ = 0;
  std::string content_type_;
  bool event_stream_ = false;
  bool head_sent_ = false;
  bool differs_ = false;  // a new run's events aren't the ones sent
  std::string held_;      // not sent yet: a whole answer, or a closing event
  EventCutter cutter_;
  std::uint64_t call_bytes_ = 0;   // of the present call
  std::uint64_t tokens_sent_ = 0;  // events with a token that the caller has
  std::uint64_t sent_hash_ = 0;    // over those
  std::uint64_t replay_left_ = 0;  // of a new run, still to be matched to the ones sent
  std::uint64_t replay_hash_ = 0;
};

}  // namespace figmill
