#pragma once

// At-most-once execution of items with an idempotency key, with one outcome for each
// key: the durable claim that is written before an item is sent, its outcome, and what
// a later request with the key, or a successor of the sender, may do. Also the group
// commit of these writes, and their retention. No I/O, threads or clocks:
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
  kQueued,    // accepted for asynchronous execution (respond-async); not yet claimed
  kClaimed,   // claimed: only `sender` may send `request`, and only to `agent`
  kDone,      // final: every request with the key gets `outcome`
  kUnknown,   // may have run, but its answer was lost; never run again
  kReleased,  // known not to have run; the next request with the key may claim it
};
[[nodiscard]] std::string_view ToString(OncePhase phase);

// One incarnation of a process: an entry that sends items, or the agent that receives them.
struct NodeInstance {
  NodeId node;
  Incarnation incarnation = 0;
  auto operator<=>(const NodeInstance&) const = default;
};

// A complete response. A small body is stored in the row, a larger one as an object.
struct OnceOutcome {
  int status = 0;
  std::string content_type;
  std::string digest;  // ContentDigest of the body
  std::string body;    // empty when `object` is set
  std::string object;  // key in the object store
  bool operator==(const OnceOutcome&) const = default;
};

// Row `once/<key>`. Changes to it are ordered by its version, never by a clock.
struct OnceRow {
  Token token;  // identifies the write that produced this value
  OncePhase phase = OncePhase::kClaimed;
  std::string content;  // digest of the request; a request with another digest is a conflict
  TeamId team;
  bool repeatable = false;
  Epoch epoch = 0;  // incremented by every claim and change of owner
  NodeInstance sender;
  NodeInstance agent;
  std::int64_t stamp = 0;  // the agent's clock as last read by the sender; 0: unknown
  RequestId request;
  std::string request_object;  // respond-async: the stored request
  OnceOutcome outcome;
  std::uint64_t retention_tick = 0;  // value of row kRetentionClockKey at the write
};

[[nodiscard]] std::string OnceRowKey(const ItemKey& key);
// Marker row of an accepted item that isn't finished. It names the item's owner, so
// that a successor finds the item without scanning every key.
inline constexpr std::string_view kOpenItemMarkerPrefix = "once-open/";
[[nodiscard]] std::string OpenItemMarkerKey(const NodeId& node, const ItemKey& key);
struct OpenItemMarker {
  NodeInstance owner;
  ItemKey key;
};
// Errors: kInternal, when the row was not written by figmill.
[[nodiscard]] Result<OpenItemMarker> ParseOpenItemMarker(const Row& row);
[[nodiscard]] std::string SerializeOpenItemMarker(const OnceRow& row);
[[nodiscard]] std::string SerializeOnceRow(const OnceRow& row);
// Errors: kInternal, when the value was not written by figmill.
[[nodiscard]] Result<OnceRow> ParseOnceRow(std::string_view value);

inline constexpr std::size_t kInlineOutcomeBytes = 8U << 10;
// Whether a body may be stored in the row: at most kInlineOutcomeBytes of valid UTF-8, as JSON
// requires.
[[nodiscard]] bool FitsInRow(std::string_view body);

// --- One item ------------------------------------------------------------------

// One conditional write of an item's row. Submitting the same write again is
// idempotent: its condition fails once it has taken effect, and the token of the
// current row then identifies the write that succeeded. A write whose answer was lost
// is resolved this way: after a plain read the lost write could still take effect.
struct OnceWrite {
  RowCondition condition;
  std::string value;
  std::vector<RowWrite> marker_writes;  // of marker rows, in the same transaction
  bool fail_fast = false;               // a claim: fails immediately while the store is down
};

// Result of one OnceWrite.
struct OnceCommitted {
  RowVersion version = 0;
};
struct OnceRejected {
  std::optional<Row> current;
};
using OnceWriteResult = std::variant<OnceCommitted, OnceRejected, NotWritten, FateUnknown>;

// An agent's answer to `revoke`.
enum class RevokeState : std::uint8_t {
  kNeverStarted,  // the agent has recorded a tombstone and will reject the dispatch
  kRunning,
  kFinished,
  kOtherIncarnation,  // the agent has restarted and has no record of the dispatch
  kUnreachable,
};

namespace once {

// Events.

// The online run asks to dispatch `request` to `agent`.
struct Claim {
  RequestId request;
  NodeInstance agent;
  std::int64_t stamp = 0;  // see OnceRow
};
struct WriteDone {
  OnceWriteResult result;
};
struct ReadDone {
  Result<std::optional<Row>> row;
};
// The complete response to Send or Resume.
struct Answered {
  OnceOutcome outcome;
};
// The dispatch is known not to have run. With `retry` a Claim for another agent
// follows; otherwise the key is released and the caller gets `error`.
struct DidNotRun {
  Error error;
  bool retry = false;
};
// The sender doesn't know whether the dispatch ran.
struct SendOutcomeUnknown {
  Error error;
};
struct RevokeDone {
  RevokeState state = RevokeState::kUnreachable;
};
// The engine answered Resume: it has no such stream.
struct StreamNotFound {};
// Resume was interrupted, or its agent could not be reached.
struct ResumeFailed {};
// The caller has disconnected; a dispatched item runs to its end.
struct CallerDisconnected {};
struct ObjectStored {
  bool stored = false;
};
struct Tick {};
using Event =
    std::variant<Claim, WriteDone, ReadDone, Answered, DidNotRun, SendOutcomeUnknown, RevokeDone,
                 StreamNotFound, ResumeFailed, CallerDisconnected, ObjectStored, Tick>;

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
// The claim is durable: this dispatch, and no other, may be sent now.
struct Send {
  RequestId request;
  NodeInstance agent;
};
struct Revoke {
  RequestId request;
  NodeInstance agent;
  std::int64_t stamp = 0;
};
// Requests the stream from the engine behind `agent`, whatever the agent's current incarnation.
struct Resume {
  RequestId request;
  NodeInstance agent;
};
// The final response to the caller; `replayed`: it was produced for another request with the key.
struct ReplyOutcome {
  OnceOutcome outcome;
  bool replayed = false;
};
struct ReplyError {
  Error error;
};
// An accepted item did not run and should be dispatched again, beginning with Claim.
struct RetryDispatch {};
struct WakeAt {
  Time at;
};
using Action = std::variant<WriteRow, ReadRow, PutObject, Send, Revoke, Resume, ReplyOutcome,
                            ReplyError, RetryDispatch, WakeAt>;

struct Spec {
  ItemKey key;
  std::string content;
  TeamId team;
  bool repeatable = false;
  NodeInstance self;  // this process
  std::uint64_t retention_tick = 0;
  std::optional<Time> caller_deadline = {};  // the caller's deadline
};

// The row of an accepted (respond-async) item that this process owns.
struct Accepted {
  OnceRow row;
  RowVersion version = 0;
};

struct Timeouts {
  // How long a claim write with an unknown result is retried before the request is refused.
  Duration claim_timeout{2'000'000};
  // A claim of another sender that stays unchanged for this long is resolved by Revoke.
  Duration stale_after{2'000'000};
  Duration poll_interval{250'000};
  // How long agent and engine are queried before the outcome counts as unknown.
  Duration recovery_timeout{10'000'000};
  // How long a response that has arrived waits for its commit before it is sent to the caller.
  Duration max_reply_delay{1'000'000};
  Duration retry_delay{100'000};         // between attempts at a write, before exponential backoff
  Duration redispatch_delay{1'000'000};  // of an accepted item that did not run
};

// Inputs that accompany each event.
struct Context {
  Time now;
  const RandomBits& random;
  // Whether a sender's process is known to be dead or replaced.
  const std::function<bool(const NodeInstance&)>& gone;
};

}  // namespace once

// State machine of one request for a keyed or not-repeatable item, at the process that
// received it, from claim to committed outcome. At most one WriteRow, ReadRow, PutObject,
// Send, Revoke, Resume or RetryDispatch is in flight at a time; each is answered by one
// event.
class KeyedItem {
 public:
  explicit KeyedItem(once::Spec spec, std::optional<once::Accepted> accepted = {},
                     once::Timeouts timeouts = {});

  [[nodiscard]] std::vector<once::Action> Handle(const once::Event& event,
                                                 const once::Context& context);

  // Nothing more to do: the caller has its reply, and an outcome, if any, is committed.
  [[nodiscard]] bool finished() const { return state_ == State::kFinished; }
  // Waits for a Claim, or is finished.
  [[nodiscard]] bool idle() const { return state_ == State::kIdle || finished(); }
  // A dispatch was sent, and its result is awaited.
  [[nodiscard]] bool sent() const { return state_ == State::kSent; }
  [[nodiscard]] bool replied() const { return replied_; }
  // The outcome is known and only its commit is awaited.
  [[nodiscard]] bool committing() const { return state_ == State::kCommitting; }
  [[nodiscard]] const once::Spec& spec() const { return spec_; }

 private:
  enum class State : std::uint8_t {
    kIdle,  // not claimed by this request; waits for Claim
    kClaiming,
    kSent,
    kWaitingForOther,  // the key is another sender's: its row is polled
    kRevoking,         // Revoke was sent, or is sent again
    kResuming,
    kCommitting,  // writes the outcome, or that it is unknown
    kReleasing,
    kFinished,
  };

  // Each handler appends to actions_.
  void On(const once::Claim& event);
  void On(const once::WriteDone& event);
  void On(const once::ReadDone& event);
  void On(const once::Answered& event);
  void On(const once::DidNotRun& event);
  void On(const once::SendOutcomeUnknown& event);
  void On(const once::RevokeDone& event);
  void On(const once::StreamNotFound& event);
  void On(const once::ResumeFailed& event);
  void On(const once::CallerDisconnected& event);
  void On(const once::ObjectStored& event);
  void On(const once::Tick& event);

  void Submit(OnceRow row, State state);
  void SendWrite();
  void OnCommitted(RowVersion version);
  void OnRejected(const std::optional<Row>& current);
  void OnNotConfirmed(bool may_be_written);
  void SetKnownRow(OnceRow row, RowVersion version);
  void StoreBodyOrSendWrite();
  void OnCommitTimer();
  void OnOutcomeRejected();
  void HandleCurrentRow();
  void WaitForOtherSender();
  void ClaimKey();
  void RevokeDispatch();
  void RetryRecoveryOrConclude();
  void ConcludeRecovery();
  void CommitOutcome(OncePhase phase, OnceOutcome outcome);
  void Release(Error error);
  void ReplyFromRow(bool replayed);
  void SendReply(once::Action answer);
  void StartAction(once::Action action);  // `action` is answered by an event
  void ReplyAndFinish(once::Action answer);
  void WakeAfter(Duration delay);
  [[nodiscard]] bool OwnsRow() const;
  [[nodiscard]] bool ClaimIsStale() const;

  once::Spec spec_;
  once::Timeouts timeouts_;
  bool accepted_ = false;
  State state_ = State::kIdle;
  bool replied_ = false;
  bool caller_disconnected_ = false;

  std::optional<once::Claim> pending_claim_;  // the dispatch whose claim is not committed yet
  RequestId claimed_request_;                 // the last request that this process claimed
  Ran ran_ = Ran::kNo;                    // whether a dispatch sent by this process may have run
  bool agent_reported_finished_ = false;  // of row_'s request
  OnceRow row_;                           // the last known row, at version_
  RowVersion version_ = 0;                // 0: no row is known
  Time unchanged_since_;                  // when this version of row_ was first seen
  OnceRow pending_row_;                   // the value being written, or to be written again
  std::string unstored_body_;             // the outcome's body, until its object is stored
  OnceOutcome answer_;                    // the outcome with its body, for the caller
  bool awaiting_event_ = false;           // an action's event is outstanding
  int write_attempts_ = 0;                // at the current write
  Time attempts_since_;  // when the first attempt at the write, or at the recovery, began
  Error not_run_error_;  // for the caller, when the item did not run

  // Valid during Handle.
  Time now_;
  const RandomBits* random_ = nullptr;
  const std::function<bool(const NodeInstance&)>* gone_ = nullptr;
  std::vector<once::Action> actions_;
};

// --- Asynchronous items ----------------------------------------------------------

// The row write that makes an item of `Prefer: respond-async` durable; its request object
// must be stored first. `released` is the version of the key's released row, 0 if none exists.
[[nodiscard]] OnceWrite AcceptWrite(const once::Spec& spec, std::string request_object,
                                    RowVersion released, const RandomBits& random);
// The write by which a successor takes an accepted item over. `row` was read at `version`, and
// its owner is dead or replaced.
[[nodiscard]] OnceWrite TakeOverWrite(const ItemKey& key, const OnceRow& row, RowVersion version,
                                      const NodeInstance& self, const RandomBits& random);

// --- Group commit ------------------------------------------------------------------

struct GroupCommitLimits {
  std::size_t max_rows_per_transaction = 100;
  // Between the starts of two transactions: bounds transactions per second under load. A
  // write that arrives after a longer idle time is sent immediately.
  Duration min_interval{20'000};
  std::size_t max_transactions_in_flight = 4;
  std::size_t max_waiting = 10'000;  // queued writes; further ones are refused as not written
  Duration probe_interval{250'000};  // between claims that probe a store that is down
};

// Group commit: combines the writes of many items into few transactions. A transaction
// succeeds or fails as a whole; a write whose condition failed is removed from its group and
// answered, and the rest is submitted again. Used within one process, and by the few
// entries of a data centre to which the others relay their writes.
class GroupCommitter {
 public:
  using WriteId = std::uint64_t;
  using TransactionId = std::uint64_t;

  struct Begin {
    TransactionId id = 0;
    Transaction transaction;
  };
  struct Reply {
    WriteId id = 0;
    OnceWriteResult result;
  };
  struct WakeAt {
    Time at;
  };
  using Action = std::variant<Begin, Reply, WakeAt>;

  explicit GroupCommitter(GroupCommitLimits limits = {}) : limits_(limits) {}

  // `id` is chosen by the calling code and unique among writes not yet replied to.
  [[nodiscard]] std::vector<Action> Submit(WriteId id, OnceWrite write, Time now);
  [[nodiscard]] std::vector<Action> Done(TransactionId id, const TransactionOutcome& outcome,
                                         Time now);
  [[nodiscard]] std::vector<Action> Tick(Time now);

  // One lost answer is normal; several in a row, or one explicit refusal, count as an outage.
  [[nodiscard]] bool store_down() const { return consecutive_failures_ >= kFailuresForOutage; }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

 private:
  static constexpr int kFailuresForOutage = 3;

  struct PendingWrite {
    WriteId id = 0;
    OnceWrite write;
  };
  using Group = std::vector<PendingWrite>;

  void Flush(Time now, std::vector<Action>& actions);
  [[nodiscard]] Group TakeGroup();
  void ReplyCommitted(const Group& group, const Committed& committed, std::vector<Action>& actions);
  void ReplyRejected(Group group, const Rejected& rejected, std::vector<Action>& actions);

  GroupCommitLimits limits_;
  std::deque<PendingWrite> waiting_;
  std::map<TransactionId, Group> in_flight_;
  TransactionId next_id_ = 1;
  std::optional<Time> last_begin_;
  int consecutive_failures_ = 0;
  Time last_probe_;
};

// --- Retention ---------------------------------------------------------------------

// A logical clock of hours that doesn't compare clocks of hosts: row `once-clock` holds a
// counter, and a process that has seen it unchanged for RetentionLimits::tick_length on its
// own clock increments it. Each row records the counter's value at its last write.
inline constexpr std::string_view kRetentionClockKey = "once-clock";

struct RetentionLimits {
  Duration tick_length{3'600'000'000};  // an hour
  std::uint64_t keep_ticks = 25;        // at least 24 whole hours
  std::uint32_t page_rows = 1000;       // rows of one scan
  std::size_t delete_rows = 100;        // rows of one transaction
  Duration page_interval{100'000};      // rate limit: at most 10 pages per second
};

// Deletes rows and objects whose retention has expired, one page at a time. It should run at
// one entry only, which the shell chooses; deletes are conditional on the version read, so two
// concurrent sweeps are safe.
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

  // The row of the retention clock was read: at start, and at any time after.
  [[nodiscard]] std::vector<Action> OnClock(const std::optional<Row>& row, Time now);
  // The rows of a page were read; NextPage requests the next page.
  [[nodiscard]] std::vector<Action> OnPage(std::span<const Row> rows);
  // Called by the shell every `page_interval` while a sweep is in progress.
  [[nodiscard]] std::vector<Action> NextPage();
  [[nodiscard]] bool under_way() const { return !scan_after_.empty(); }

  [[nodiscard]] std::uint64_t tick() const { return tick_; }

 private:
  RetentionLimits limits_;
  std::uint64_t tick_ = 0;
  RowVersion clock_version_ = 0;
  std::optional<Time> clock_unchanged_since_;
  std::string scan_after_;
};

}  // namespace figmill
