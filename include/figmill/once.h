#pragma once

// At most once, and one outcome for each key: the durable claim that precedes
// the sending of an item, its outcome, and what a later request with the key, or
// a successor of the sender, may do. Also the grouping of these writes into few
// transactions, and their retention. No I/O, threads or clocks:
// docs/design/once.md has the reasons, docs/operations/at-most-once.md the use.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill {

// --- The row -------------------------------------------------------------------

enum class OncePhase : std::uint8_t {
  kQueued,    // accepted for later (respond-async); not yet claimed
  kIntended,  // claimed: `sender` may send `request` to `agent`, nobody else
  kDone,      // final: `outcome` is what every request with the key gets
  kUnknown,   // may have run, its answer is lost; never run again
  kReleased,  // known not to have run; whoever asks next may claim it
};
[[nodiscard]] std::string_view ToString(OncePhase phase);

// A process that sends, or an agent that is sent to.
struct OnceParty {
  NodeId node;
  Incarnation incarnation = 0;
  auto operator<=>(const OnceParty&) const = default;
};

// A whole answer. Small ones travel in the row, others as an object.
struct OnceOutcome {
  int status = 0;
  std::string content_type;
  std::string digest;  // ContentDigest of the body
  std::string body;    // empty when `object` is set
  std::string object;  // key in the object store
  bool operator==(const OnceOutcome&) const = default;
};

// Row `once/<key>`. Its version, not any clock, orders what happens to it.
struct OnceRow {
  Token token;  // the write that made this value
  OncePhase phase = OncePhase::kIntended;
  std::string content;  // digest of the request; other content is a conflict
  TeamId team;
  bool repeatable = false;
  Epoch epoch = 0;  // rises with every claim and change of owner
  OnceParty sender;
  OnceParty agent;
  std::int64_t stamp = 0;  // the agent's clock as the sender knew it; 0: not known
  RequestId request;
  std::string request_object;  // respond-async: the stored request
  OnceOutcome outcome;
  std::uint64_t tick = 0;  // see RetentionClock
};

[[nodiscard]] std::string OnceRowKey(const ItemKey& key);
// A row that marks an accepted item which isn't finished, and names its owner, so
// that a successor finds it without a scan of every key.
inline constexpr std::string_view kOnceOpenPrefix = "once-open/";
[[nodiscard]] std::string OnceOpenKey(const NodeId& node, const ItemKey& key);
struct OnceOpen {
  OnceParty owner;
  ItemKey key;
};
// Errors: kInternal, when the row was not written by figmill.
[[nodiscard]] Result<OnceOpen> ParseOnceOpen(const Row& row);
[[nodiscard]] std::string SerializeOnceOpen(const OnceRow& row);
[[nodiscard]] std::string SerializeOnceRow(const OnceRow& row);
// Errors: kInternal, when the value was not written by figmill.
[[nodiscard]] Result<OnceRow> ParseOnceRow(std::string_view value);

inline constexpr std::size_t kInlineOutcomeBytes = 8U << 10;
// Whether a body may travel in the row: small, and UTF-8 as JSON demands.
[[nodiscard]] bool FitsInRow(std::string_view body);

// --- One item ------------------------------------------------------------------

// One conditional write of an item's row. Submitting the same write again is
// harmless: its condition fails once it has taken effect, and the token of the
// current row then tells whose write that was. This is how a lost answer is read
// back, and unlike a plain read it can't be overtaken by the lost write itself.
struct OnceWrite {
  RowCondition condition;
  std::string value;
  std::vector<RowWrite> side;  // open markers, in the same transaction
  bool refusable = false;      // a claim: refused at once while the store is down
};

// Fate of one OnceWrite.
struct OnceCommitted {
  RowVersion version = 0;
};
struct OnceRejected {
  std::optional<Row> current;
};
using OnceFate = std::variant<OnceCommitted, OnceRejected, NotWritten, FateUnknown>;

// What an agent answers to `revoke`.
enum class RevokeState : std::uint8_t {
  kNeverStarted,  // and a tombstone now stops it for good
  kRunning,
  kFinished,
  kOtherIncarnation,  // the agent's process was replaced: it can't tell
  kUnreachable,
};

namespace once {

// Events. The online run is about to dispatch `request` to `agent`: allow it?
struct Claim {
  RequestId request;
  OnceParty agent;
  std::int64_t stamp = 0;  // see OnceRow
};
struct Wrote {
  OnceFate fate;
};
struct ReadDone {
  Result<std::optional<Row>> row;
};
// The whole answer of Send or Resume.
struct Answered {
  OnceOutcome outcome;
};
// The dispatch is known not to have run. With `retry` a Claim for another agent
// follows; otherwise the key is released and the caller told.
struct DidNotRun {
  Error error;
  bool retry = false;
};
// The send's fate is unknown to the sender.
struct Lost {
  Error error;
};
struct Revoked {
  RevokeState state = RevokeState::kUnreachable;
};
// Resume found no such stream, at an engine that answered.
struct StreamGone {};
// Resume broke off, or its agent was not reached.
struct ResumeFailed {};
// The caller waits no longer; the item itself goes on.
struct Detached {};
struct ObjectStored {
  bool stored = false;
};
struct Tick {};
using Event = std::variant<Claim, Wrote, ReadDone, Answered, DidNotRun, Lost, Revoked, StreamGone,
                           ResumeFailed, Detached, ObjectStored, Tick>;

// Actions.
struct WriteRow {
  OnceWrite write;
};
struct ReadRow {
  std::string key;
};
struct PutObject {
  std::string key;
  std::string bytes;
};
// The claim is durable: this dispatch, and no other, may go out now.
struct Send {
  RequestId request;
  OnceParty agent;
};
struct Revoke {
  RequestId request;
  OnceParty agent;
  std::int64_t stamp = 0;
};
// Ask the engine behind `agent` (whatever its incarnation now) for the stream.
struct Resume {
  RequestId request;
  OnceParty agent;
};
// The final answer to the caller; `replayed` when this request did not run it.
struct TellOutcome {
  OnceOutcome outcome;
  bool replayed = false;
};
struct TellError {
  Error error;
};
// An accepted item that did not run should be tried again: begin with Claim.
struct TryAgain {};
struct WakeAt {
  Time at;
};
using Action = std::variant<WriteRow, ReadRow, PutObject, Send, Revoke, Resume, TellOutcome,
                            TellError, TryAgain, WakeAt>;

struct Spec {
  ItemKey key;
  std::string content;
  TeamId team;
  bool repeatable = false;
  OnceParty self;  // this process
  std::uint64_t tick = 0;
  std::optional<Time> wait_until = {};  // the caller's deadline
};

// The accepted row of a respond-async item that this process owns.
struct Accepted {
  OnceRow row;
  RowVersion version = 0;
};

struct Tuning {
  // How long a claim of unknown fate is read back before the request is refused.
  Duration claim_patience{2'000'000};
  // A claim of another sender that stays unchanged for so long is asked about.
  Duration stale_after{2'000'000};
  Duration poll{250'000};
  // How long agent and engine are asked before the outcome counts as unknown.
  Duration ask_patience{10'000'000};
  // How long an answer in hand waits for its commit before the caller gets it.
  Duration tell_patience{1'000'000};
  Duration retry{100'000};  // between attempts at a write or an order
  Duration try_again{1'000'000};
};

// What is passed in with each event.
struct Context {
  Time now;
  const RandomBits& random;
  // Whether a sender's process is known to be dead or replaced.
  const std::function<bool(const OnceParty&)>& gone;
};

}  // namespace once

// One request for a keyed or not-repeatable item, at the process that received
// it, from claim to committed outcome. At most one WriteRow, ReadRow, PutObject,
// Send, Revoke, Resume or TryAgain is under way at a time; each is answered by one
// event.
class KeyedItem {
 public:
  explicit KeyedItem(once::Spec spec, std::optional<once::Accepted> accepted = {},
                     once::Tuning tuning = {});

  [[nodiscard]] std::vector<once::Action> Handle(const once::Event& event,
                                                 const once::Context& context);

  // Nothing more to do: told, and where there is an outcome it is committed.
  [[nodiscard]] bool finished() const { return state_ == State::kFinished; }
  // Waits for a Claim, or is done.
  [[nodiscard]] bool idle() const { return state_ == State::kIdle || finished(); }
  // A dispatch is out, and its end is awaited.
  [[nodiscard]] bool sent() const { return state_ == State::kSent; }
  [[nodiscard]] bool told() const { return told_; }
  // The answer is in hand and waits for its commit only.
  [[nodiscard]] bool committing() const { return state_ == State::kCommitting; }
  [[nodiscard]] const once::Spec& spec() const { return spec_; }

 private:
  enum class State : std::uint8_t {
    kIdle,  // nothing is claimed; waits for Claim
    kClaiming,
    kSent,
    kFollowing,  // another sender's item: wait for its outcome
    kAsking,     // Revoke is out
    kResuming,
    kCommitting,  // outcome, or unknown
    kReleasing,
    kFinished,
  };

  // Each handler appends to actions_.
  void On(const once::Claim& event);
  void On(const once::Wrote& event);
  void On(const once::ReadDone& event);
  void On(const once::Answered& event);
  void On(const once::DidNotRun& event);
  void On(const once::Lost& event);
  void On(const once::Revoked& event);
  void On(const once::StreamGone& event);
  void On(const once::ResumeFailed& event);
  void On(const once::Detached& event);
  void On(const once::ObjectStored& event);
  void On(const once::Tick& event);

  void Submit(OnceRow row, State state);
  void Resubmit();
  void OnCommitted(RowVersion version);
  void OnRejected(const std::optional<Row>& current);
  void OnNoFate(bool unknown);
  void Learn(OnceRow row, RowVersion version);
  void WriteOrStore();
  void CommitTick();
  void OutcomeOvertaken();
  void FollowRow();
  void Follow();
  void Reclaim();
  void Ask();
  void AskAgainOrConclude();
  void Conclude();
  void CommitOutcome(OncePhase phase, OnceOutcome outcome);
  void Release(Error error);
  void TellRow(bool replayed);
  void Tell(once::Action answer);
  void Call(once::Action action);  // one that is answered by an event
  void Finish(once::Action answer);
  void Wake(Duration delay);
  [[nodiscard]] bool Owned() const;
  [[nodiscard]] bool Stale() const;

  once::Spec spec_;
  once::Tuning tuning_;
  bool accepted_ = false;
  State state_ = State::kIdle;
  bool told_ = false;
  bool detached_ = false;

  std::optional<once::Claim> wanted_;  // the dispatch that waits for its claim
  RequestId mine_;                     // the last request that was claimed here
  Ran ran_ = Ran::kNo;                 // whether one that went out may have run
  bool finished_seen_ = false;         // the agent said so of row_'s request
  OnceRow row_;                        // the row as last known, at version_
  RowVersion version_ = 0;             // 0: no row is known
  Time unchanged_since_;               // when row_ was first seen
  OnceRow pending_;                    // the write under way, or to be submitted again
  std::string object_bytes_;           // the outcome's body, until it is stored
  OnceOutcome answer_;                 // the outcome with its body, to tell
  bool busy_ = false;                  // an action waits for its event
  int attempts_ = 0;                   // at the write
  Time state_since_;                   // when the write, or the questions, began
  Error failure_;                      // what to tell when the item did not run

  // Valid during Handle.
  Time now_;
  const RandomBits* random_ = nullptr;
  const std::function<bool(const OnceParty&)>* gone_ = nullptr;
  std::vector<once::Action> actions_;
};

// --- Items accepted for later ----------------------------------------------------

// The two writes that make an item of `Prefer: respond-async` durable (request
// object, then this row), and the one by which a successor takes it over.
// `released` is the version of a released row, 0 where there is none.
[[nodiscard]] OnceWrite AcceptWrite(const once::Spec& spec, std::string request_object,
                                    RowVersion released, const RandomBits& random);
// `row` as found at `version`, owned by a process that is gone.
[[nodiscard]] OnceWrite TakeOverWrite(const ItemKey& key, const OnceRow& row, RowVersion version,
                                      const OnceParty& self, const RandomBits& random);

// --- Grouping of writes ------------------------------------------------------------

struct FunnelLimits {
  std::size_t rows_per_transaction = 100;
  // Between the starts of two transactions. A write that comes after a longer
  // pause goes out at once; under load this bounds transactions a second.
  Duration interval{20'000};
  std::size_t transactions_in_flight = 4;
  std::size_t waiting = 10'000;  // writes; more are refused as not written
  Duration probe{250'000};       // between claims let through while the store is down
};

// Groups the writes of many items into few transactions. All items of a
// transaction share its fate, but one whose condition failed is taken out, told,
// and the rest goes out again. Used within one process, and by the few entries
// of a data centre to which the others relay their writes.
class CommitFunnel {
 public:
  using WriteId = std::uint64_t;
  using TransactionId = std::uint64_t;

  struct Begin {
    TransactionId id = 0;
    Transaction transaction;
  };
  struct Reply {
    WriteId id = 0;
    OnceFate fate;
  };
  struct WakeAt {
    Time at;
  };
  using Action = std::variant<Begin, Reply, WakeAt>;

  explicit CommitFunnel(FunnelLimits limits = {}) : limits_(limits) {}

  // `id` is the caller's, unique among those not yet replied to.
  [[nodiscard]] std::vector<Action> Submit(WriteId id, OnceWrite write, Time now);
  [[nodiscard]] std::vector<Action> Done(TransactionId id, const TransactionOutcome& outcome,
                                         Time now);
  [[nodiscard]] std::vector<Action> Tick(Time now);

  // One lost answer is ordinary; several in a row, or a plain refusal, are an outage.
  [[nodiscard]] bool store_down() const { return failures_in_row_ >= kFailuresOfOutage; }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

 private:
  static constexpr int kFailuresOfOutage = 3;

  struct Member {
    WriteId id = 0;
    OnceWrite write;
  };
  using Group = std::vector<Member>;

  void Flush(Time now, std::vector<Action>& actions);
  [[nodiscard]] Group TakeGroup();
  void ReplyCommitted(const Group& group, const Committed& committed, std::vector<Action>& actions);
  void ReplyRejected(Group group, const Rejected& rejected, std::vector<Action>& actions);

  FunnelLimits limits_;
  std::deque<Member> waiting_;
  std::map<TransactionId, Group> in_flight_;
  TransactionId next_id_ = 1;
  std::optional<Time> last_begin_;
  int failures_in_row_ = 0;
  Time last_probe_;
};

// --- Retention ---------------------------------------------------------------------

// Counts hours without comparing clocks of hosts: row `once-clock` holds a
// number, and whoever has watched it unchanged for `tick` of its own time raises
// it by one. Rows carry the number under which they were written.
inline constexpr std::string_view kRetentionClockKey = "once-clock";

struct RetentionLimits {
  Duration tick{3'600'000'000};     // an hour
  std::uint64_t keep_ticks = 25;    // 24 whole hours at least
  std::uint32_t page_rows = 1000;   // rows of one scan
  std::size_t delete_rows = 100;    // rows of one transaction
  Duration page_interval{100'000};  // pace: at most 10 pages a second
};

// Sweeps rows and objects whose time has passed, a page at a time, from the one
// entry that the shell has chosen. Deletes are conditional on the version read,
// so two sweepers at once do no harm.
class RetentionSweep {
 public:
  struct ReadClock {};
  struct Scan {
    RowRange range;
  };
  struct Commit {
    Transaction transaction;
  };
  struct DeleteObject {
    std::string key;
  };
  using Action = std::variant<ReadClock, Scan, Commit, DeleteObject>;

  explicit RetentionSweep(RetentionLimits limits = {}) : limits_(limits) {}

  // The clock's row was read, at start and whenever the shell likes.
  [[nodiscard]] std::vector<Action> OnClock(const std::optional<Row>& row, Time now);
  // A page came back; the next one is asked for by NextPage.
  [[nodiscard]] std::vector<Action> OnPage(std::span<const Row> rows);
  // Called every `page_interval` by the shell while a sweep is under way.
  [[nodiscard]] std::vector<Action> NextPage();
  [[nodiscard]] bool under_way() const { return !after_.empty(); }

  [[nodiscard]] std::uint64_t tick() const { return tick_; }

 private:
  RetentionLimits limits_;
  std::uint64_t tick_ = 0;
  RowVersion clock_version_ = 0;
  std::optional<Time> clock_since_;
  std::string after_;
};

}  // namespace figmill
