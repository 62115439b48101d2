#pragma once

// The control plane: the configuration set by operators, the control log that
// replicates it, cluster membership, and leases. State machines only, no I/O.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill {

// --- Configuration -------------------------------------------------------------

enum class ServiceKind : std::uint8_t { kModel, kPlain };

// Whether requests whose path starts with `path_prefix` may be retried.
struct RouteRule {
  std::string path_prefix;
  bool repeatable = true;
};

struct LatencyTarget {
  Duration first_token{840'000};
  Duration token_gap{61'000};
};

struct ServiceConfig {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  bool repeatable = true;
  std::vector<RouteRule> routes;  // the stricter of the rule and `repeatable` applies
  LatencyTarget target;
  Duration default_deadline{60'000'000};
};

// Rates over the whole fleet; 0 means unlimited.
struct TeamLimit {
  TeamId team;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double burst_seconds = 2;
};

struct BackendConfig {
  NodeId agent;  // the agent on the same host
  std::vector<ServiceName> serves;
  bool checks_fencing = true;
  // Derived by Apply from the drain orders, never set by a configuration document:
  // applying an old file must not put a drained server back into service.
  bool drained = false;
};

struct Config {
  std::map<ServiceName, ServiceConfig> services;
  std::map<TeamId, TeamLimit> limits;
  std::map<NodeId, BackendConfig> backends;
};

// Checks the configuration as a whole: value ranges, and that every referenced
// name is defined. Errors: kBadRequest and kTooLarge, naming the invalid element.
[[nodiscard]] Result<Ok> Validate(const Config& config);
// One JSON document: {"services": [...], "limits": [...], "backends": [...]}.
// An unknown field is an error that names it, as a misspelt limit would otherwise
// silently not apply. Errors: kBadRequest.
[[nodiscard]] Result<Config> ParseConfig(std::string_view json);
[[nodiscard]] std::string ToJson(const Config& config);

// --- Control log -----------------------------------------------------------------

struct VersionedName {
  std::string name;
  std::string version;
  auto operator<=>(const VersionedName&) const = default;
};
// The models and adapters that an engine should have loaded. The sequence of the
// order is its fencing token. A wanted name replaces its other versions; names that
// are not listed are left unchanged, so that an order unloads only what it names.
struct Placement {
  std::vector<VersionedName> models;
  std::vector<VersionedName> adapters;
  std::vector<VersionedName> unwanted_models;
  std::vector<VersionedName> unwanted_adapters;
  std::string role;  // empty: unchanged
};

struct PutService {
  ServiceConfig service;
};
struct RemoveService {
  ServiceName service;
};
struct PutLimit {
  TeamLimit limit;
};
struct PutBackend {
  BackendConfig backend;
};
struct RemoveBackend {
  NodeId agent;
};
struct Drain {
  NodeId node;
};
struct Undrain {
  NodeId node;
};
struct CancelJob {
  JobId job;
};
struct SetPlacement {
  NodeId agent;
  Placement placement;
};
// Replaces the configuration; drains, cancellations and placements are kept.
struct ReplaceConfig {
  Config config;
};
// The orders that operators can append to the control log.
using ControlEntry = std::variant<PutService, RemoveService, PutLimit, PutBackend, RemoveBackend,
                                  Drain, Undrain, CancelJob, SetPlacement, ReplaceConfig>;

// Errors of the parsers: kBadRequest, naming the field.
[[nodiscard]] Result<ControlEntry> ParseControlEntry(std::string_view json);
[[nodiscard]] std::string ToJson(const ControlEntry& entry);
// A one-line, human-readable summary, such as "put service field-app".
[[nodiscard]] std::string Describe(const ControlEntry& entry);
// Whether the two entries change the same subject, so that their order matters and
// one of two concurrent appends must be rejected.
[[nodiscard]] bool Conflicts(const ControlEntry& one, const ControlEntry& other);

// One row of the log.
struct LogRecord {
  Sequence sequence = 0;
  Token token;  // identifies the write that created the row
  std::string author;
  ControlEntry entry;
};
[[nodiscard]] Result<LogRecord> ParseLogRecord(std::string_view json);
[[nodiscard]] std::string ToJson(const LogRecord& record);
// "log/000000000812".
[[nodiscard]] std::string LogKey(Sequence sequence);

// The state that results from applying all log entries up to `sequence`. Applying is
// deterministic: nodes at the same sequence have the same state, whether they read
// it from the store, from a snapshot or from a peer.
struct ControlState {
  struct PlacementOrder {
    Placement placement;
    Sequence sequence = 0;
  };
  Sequence sequence = 0;
  std::string author;  // of the last entry, named in conflict errors
  std::string change;  // description of the last entry
  Config config;
  std::set<NodeId> drained;
  // The newest kMaxCancelledJobs cancellations by sequence. The job's own row
  // is the durable record; this only notifies the job's owner within seconds. At 820
  // changes a day an entry stays here for five days. None is evicted while the
  // store is down, as eviction requires new entries.
  std::map<JobId, Sequence> cancelled_jobs;
  std::map<NodeId, PlacementOrder> placements;
};
inline constexpr std::size_t kMaxCancelledJobs = 4096;
inline constexpr std::size_t kMaxDrainedNodes = 4096;

// Whether the entry may be applied to this state; the resulting configuration is
// validated as a whole. Errors: kBadRequest, kNotFound, kTooLarge.
[[nodiscard]] Result<Ok> CheckEntry(const ControlState& state, const ControlEntry& entry);
// Requires record.sequence == state.sequence + 1.
void Apply(ControlState& state, const LogRecord& record);
[[nodiscard]] Result<ControlState> ParseControlState(std::string_view json);
[[nodiscard]] std::string ToJson(const ControlState& state);

// Actions of the log's state machines. The I/O layer answers each request exactly
// once with the matching event (ScanRows with RowsScanned, ReadRow with RowWasRead,
// ...), and never from within the call that returned the action.
struct ScanRows {
  RowRange range;
};
struct ReadRow {
  std::string key;
};
struct CommitRows {
  Transaction transaction;
};
struct PutObject {
  std::string key;
  std::string bytes;
};
struct GetObject {
  std::string key;
};
struct DeleteObject {
  std::string key;  // has no event: a failed deletion only leaves an unused object
};
struct FetchEntries {
  NodeId peer;
  Sequence after = 0;
};
struct FetchState {
  NodeId peer;
};
// The state has changed: publish it to the traffic threads and to gossip.
struct PublishState {};
struct AnswerAppend {
  std::uint64_t append = 0;
  Result<Sequence> outcome;
};
// A row can't be parsed. This node stops applying the log, as skipping the row would
// make its state differ from that of other nodes.
struct LogUnreadable {
  Sequence sequence = 0;
  std::string why;
};
using LogAction = std::variant<ScanRows, ReadRow, CommitRows, PutObject, GetObject, DeleteObject,
                               FetchEntries, FetchState, PublishState, AnswerAppend, LogUnreadable>;

struct RowsScanned {
  Result<std::vector<Row>> rows;
};
struct RowWasRead {
  Result<std::optional<Row>> row;
};
struct CommitEnded {
  TransactionOutcome outcome;
};
struct ObjectWasPut {
  Result<Ok> outcome;
};
struct ObjectWasRead {
  Result<std::string> bytes;
};
// kNotFound: the peer no longer has entries that old; fetch its whole state instead.
struct EntriesFetched {
  Result<std::vector<LogRecord>> records;
};
struct StateFetched {
  Result<ControlState> state;
};
using LogEvent = std::variant<RowsScanned, RowWasRead, CommitEnded, ObjectWasPut, ObjectWasRead,
                              EntriesFetched, StateFetched>;

// Follows the log, from the store or from peers. The head sequence never decreases.
class LogReader {
 public:
  LogReader();
  // Starts reading the store from the head on, unless a read is in progress.
  [[nodiscard]] std::vector<LogAction> Poll();
  // `peer` has reported that it is at `sequence`; fetches from it if that is ahead.
  [[nodiscard]] std::vector<LogAction> OnPeerAhead(const NodeId& peer, Sequence sequence);
  [[nodiscard]] std::vector<LogAction> On(LogEvent event);

  // Applies the records that continue the log without a gap; true if the head moved.
  bool Advance(std::span<const LogRecord> records);
  // Replaces the state; one at or below the head is ignored. True if the head moved.
  bool Advance(ControlState state);

  [[nodiscard]] const std::shared_ptr<const ControlState>& state() const { return state_; }
  [[nodiscard]] Sequence head() const { return state_->sequence; }
  // Whether the end of the log was reached at least once, from the store or from a
  // peer that is ahead. Before that the state may lack most orders, and a process that
  // routes by it would use a configuration that was never in force.
  [[nodiscard]] bool caught_up() const { return caught_up_; }
  // The entries after `after`, oldest first, at most `max_bytes` but at least one;
  // nullopt if the window doesn't reach back that far.
  [[nodiscard]] std::optional<std::vector<LogRecord>> EntriesAfter(Sequence after,
                                                                   std::size_t max_bytes) const;

 private:
  struct WindowEntry {
    LogRecord record;
    std::size_t bytes = 0;
  };
  std::vector<LogAction> OnRows(Result<std::vector<Row>> rows);
  std::vector<LogAction> OnSnapshotRow(Result<std::optional<Row>> row);
  std::vector<LogAction> OnSnapshotObject(Result<std::string> bytes);
  std::vector<LogAction> OnEntries(Result<std::vector<LogRecord>> records);
  std::vector<LogAction> OnPeerState(Result<ControlState> state);
  std::vector<LogAction> Scan();
  std::vector<LogAction> ContinueFetch();
  void AddToWindow(const LogRecord& record);

  std::shared_ptr<const ControlState> state_;
  std::deque<WindowEntry> window_;  // the newest records up to the head, served to peers
  std::size_t window_bytes_ = 0;
  bool caught_up_ = false;
  bool reading_store_ = false;
  std::optional<NodeId> fetching_from_;
  Sequence peer_head_ = 0;  // the highest sequence reported by a peer
};

// Appends by compare-and-set. One append is in flight at a time, others are queued.
//
// A transaction requires that the next row is absent and also that the head row still
// has the version that was read. Without the second condition, a writer that was paused
// during a compaction would find its old next row absent again, and its entry would be
// accepted below the snapshot, where no reader would ever see it.
class LogWriter {
 public:
  LogWriter(LogReader& reader, RandomBits random);
  // `append` identifies the AnswerAppend action. Errors in its outcome: those of CheckEntry;
  // kStaleVersion if `if_version` isn't the head; kConflict if a concurrent entry on the
  // same subject was committed first, naming its author and sequence;
  // kStoreUnavailable (nothing written); kOverloaded (queue full).
  // `built_on` is the sequence of the state that the entry copies values from, if any:
  // an entry on the same subject after that sequence is a conflict.
  [[nodiscard]] std::vector<LogAction> Append(std::uint64_t append, ControlEntry entry,
                                              std::string author,
                                              std::optional<Sequence> if_version,
                                              std::optional<Sequence> built_on = {});
  // Removes an append that is still queued: true if so, and nothing was written;
  // false if it is in flight or done.
  [[nodiscard]] bool CancelQueued(std::uint64_t append);
  [[nodiscard]] std::vector<LogAction> On(LogEvent event);
  // Call every second: reads back a write whose outcome is still unknown.
  [[nodiscard]] std::vector<LogAction> Tick();

 private:
  enum class State : std::uint8_t {
    kIdle,
    kCatchingUp,
    kCommitting,
    kReadingBack,
    kReadBackPending
  };
  struct Pending {
    std::uint64_t append = 0;
    ControlEntry entry;
    std::string author;
    std::optional<Sequence> if_version;
    std::optional<Sequence> built_on;
  };
  std::vector<LogAction> StartNext();
  std::vector<LogAction> CatchUp();
  std::vector<LogAction> OnRows(Result<std::vector<Row>> rows);
  std::vector<LogAction> OnCommit(TransactionOutcome outcome);
  std::vector<LogAction> OnReadBack(Result<std::optional<Row>> row);
  std::vector<LogAction> Validate();
  std::vector<LogAction> Commit();
  std::vector<LogAction> OnRejected(const Rejected& rejected);
  std::vector<LogAction> OnRaceLost();
  std::vector<LogAction> OnCommitted();
  std::vector<LogAction> Finish(Result<Sequence> outcome);

  LogReader& reader_;
  RandomBits random_;
  State state_ = State::kIdle;
  std::deque<Pending> queue_;    // the front is in flight
  LogRecord record_;             // the record of the append in flight
  RowCondition head_condition_;  // requires the head row to be unchanged
  std::optional<RowVersion> head_version_;
  Sequence scanned_from_ = 0;
  std::optional<Sequence> base_sequence_;  // entries after it are concurrent with the front
  int attempts_ = 0;
  bool may_be_committed_ = false;  // the outcome of an earlier attempt is unknown
};

// Writes the state to the object store every kEntriesPerSnapshot entries, then
// deletes entries that are at least kEntriesKept older than that snapshot. Entries newer
// than a committed snapshot are never deleted, so a reader finds either the rows or a
// snapshot that covers them.
inline constexpr Sequence kEntriesPerSnapshot = 256;
inline constexpr Sequence kEntriesKept = 256;
class LogCompactor {
 public:
  LogCompactor(const LogReader& reader, RandomBits random);
  // Call after an append by this node; starts a compaction if one is due. Only nodes
  // that append compact, so that few nodes compete for it; an interrupted compaction is
  // resumed after a later append.
  [[nodiscard]] std::vector<LogAction> CompactIfDue();
  [[nodiscard]] std::vector<LogAction> On(LogEvent event);

 private:
  enum class State : std::uint8_t { kIdle, kReading, kWritingObject, kWritingRow, kDeleting };
  std::vector<LogAction> OnSnapshotRow(Result<std::optional<Row>> row);
  std::vector<LogAction> OnStatePut(const Result<Ok>& outcome);
  std::vector<LogAction> OnCommit(const TransactionOutcome& outcome);
  std::vector<LogAction> DeleteBatch();

  const LogReader& reader_;
  RandomBits random_;
  State state_ = State::kIdle;
  std::shared_ptr<const ControlState> compacted_state_;
  Sequence known_snapshot_ = 0;  // the newest committed snapshot known here
  Sequence stale_snapshot_ = 0;  // sequence of the snapshot two before the one being written
  Sequence next_delete_ = 1;
  RowVersion row_version_ = 0;
};

// --- Leases ------------------------------------------------------------------------

// A row `lease/<name>`. Releasing clears the holder and never deletes the row, as
// the epoch must not restart.
struct LeaseRow {
  Token token;
  NodeId holder;  // empty: released
  Incarnation incarnation = 0;
  Epoch epoch = 0;
  std::uint64_t renewals = 0;
};
[[nodiscard]] Result<LeaseRow> ParseLeaseRow(std::string_view json);
[[nodiscard]] std::string ToJson(const LeaseRow& row);

struct LeaseSettings {
  std::string name;
  NodeId holder;
  Incarnation incarnation = 0;
  Duration term{6'000'000};
};

// A newly acquired lease.
struct LeaseGrant {
  Epoch epoch = 0;
  RowVersion version = 0;
  std::uint64_t renewals = 0;
  Time sent;  // when the acquiring write was sent
};
struct LeaseAcquired {
  LeaseGrant grant;
};
// Another holder has the lease; `row` is empty if the row is missing or malformed.
struct LeaseLost {
  std::optional<LeaseRow> row;
};
using LeaseAction = std::variant<ReadRow, CommitRows, LeaseAcquired, LeaseLost>;
// Answers to ReadRow and CommitRows.
using LeaseEvent = std::variant<RowWasRead, CommitEnded>;

// Watches a lease and takes it over once the row has not changed for a full term,
// measured by the watcher's own clock. Clocks of hosts are never compared: a holder
// stops two thirds of a term after it sent its last successful renewal, and the watcher
// can only see that renewal later, so a third of a term remains as a margin for clocks
// that run at different rates.
class LeaseWatcher {
 public:
  LeaseWatcher(LeaseSettings settings, RandomBits random);
  // Reads the row. Call about every quarter of a term, or more often when IsReadDue().
  [[nodiscard]] std::vector<LeaseAction> Tick(Time now);
  // True a quarter of a term after the last read, and as soon as the lease expires unless it was
  // renewed since that read.
  [[nodiscard]] bool IsReadDue(Time now) const;
  [[nodiscard]] std::vector<LeaseAction> On(Time now, LeaseEvent event);
  // The row as last read.
  [[nodiscard]] const std::optional<LeaseRow>& seen() const { return seen_; }

 private:
  std::vector<LeaseAction> OnRow(Time now, const Result<std::optional<Row>>& row);
  std::vector<LeaseAction> OnOutcome(Time now, const TransactionOutcome& outcome);
  std::vector<LeaseAction> TakeOver(Time now);
  std::vector<LeaseAction> Acquired(RowVersion version);
  bool Observe(Time now, const std::optional<Row>& row);

  LeaseSettings settings_;
  RandomBits random_;
  bool busy_ = false;
  std::optional<Time> last_read_;
  std::optional<Time> unchanged_since_;
  RowVersion version_ = 0;
  std::optional<LeaseRow> seen_;
  LeaseRow attempt_;  // of the takeover that is in flight or has an unknown outcome
  RowVersion attempt_version_ = 0;
  std::optional<Time> attempt_sent_;
};

// Renews a held lease and tracks whether it is still valid.
class LeaseHolder {
 public:
  LeaseHolder(LeaseSettings settings, const LeaseGrant& grant, RandomBits random);
  [[nodiscard]] std::vector<LeaseAction> Tick(Time now);
  [[nodiscard]] std::vector<LeaseAction> On(Time now, LeaseEvent event);
  // Stop all work under the lease before the call: others may acquire it immediately.
  [[nodiscard]] std::vector<LeaseAction> Release(Time now);
  // Check before each step under the lease. This only stops work early: a holder can
  // be paused right after the check, so writes must also be fenced by the epoch.
  [[nodiscard]] bool IsValid(Time now) const;
  [[nodiscard]] Epoch epoch() const { return epoch_; }

 private:
  struct Attempt {
    Token token;
    Time sent;
  };
  std::vector<LeaseAction> Write(Time now, bool release);
  std::vector<LeaseAction> ReadBack();
  std::vector<LeaseAction> OnOutcome(const TransactionOutcome& outcome);
  std::vector<LeaseAction> OnLeaseRow(const std::optional<Row>& row);
  std::vector<LeaseAction> OnLost(std::optional<LeaseRow> row);

  LeaseSettings settings_;
  RandomBits random_;
  Epoch epoch_ = 0;
  RowVersion version_ = 0;
  std::uint64_t renewals_ = 0;
  Time renewal_sent_;             // when the last successful renewal was sent
  std::deque<Attempt> attempts_;  // renewals that may still take effect
  Time last_attempt_;
  bool busy_ = false;
  bool outcome_unknown_ = false;  // outcome of a write unknown: read the row before writing
  bool released_ = false;
  bool release_sent_ = false;
  bool lost_ = false;
};

// --- Membership ----------------------------------------------------------------

enum class Role : std::uint8_t { kEntry, kAgent };
enum class Liveness : std::uint8_t { kAlive, kSuspect, kDead };

struct Member {
  NodeId node;
  Role role = Role::kEntry;
  Incarnation incarnation = 0;
  DataCentre data_centre;
  Address http;
  Address gossip;
  std::vector<ServiceName> serves;  // agents only
  bool leaving = false;
  Liveness liveness = Liveness::kAlive;
  Sequence control_sequence = 0;  // head of the control log as applied by this member
};

// The configuration and members that traffic threads route by. Immutable; published
// as a whole.
struct RoutingSnapshot {
  Sequence sequence = 0;
  std::shared_ptr<const Config> config;
  std::vector<Member> members;                             // alive and suspect ones, by node id
  std::shared_ptr<const ControlState> control_state = {};  // owns `config`
};
// Drained members are marked as leaving, so that routing checks a single flag.
[[nodiscard]] RoutingSnapshot MakeRoutingSnapshot(std::shared_ptr<const ControlState> state,
                                                  std::vector<Member> members);

struct MembershipSettings {
  Duration probe_period{1'000'000};       // one member is probed per period
  Duration ack_timeout{300'000};          // then other members probe it indirectly
  Duration suspicion_timeout{5'000'000};  // a suspect is declared dead after this time
  Duration dead_retention{900'000'000};   // longer than older alive updates circulate
  std::uint32_t bytes_per_second = 1800;  // sent, with headers; 3.6 KB/s in both directions
};

struct SendDatagram {
  Address to;
  std::string bytes;
};
// `peer` has applied more of the control log than this member.
struct PeerAhead {
  NodeId peer;
  Sequence sequence = 0;
};
// Send `request` to `peer` over HTTP, which answers with OnFetch(request). Used when the
// tables differ by more than datagrams would carry in time.
struct FetchMembers {
  NodeId peer;
  Address http;
  std::string request;  // this member's record, and a digest of 8 bytes per known member
};
struct MembersChanged {};
// A newer process runs under this node id. This process must stop: if it raised its
// incarnation instead, a process that resumes after a pause would displace its
// replacement.
struct Superseded {
  Incarnation by = 0;
};
using MembershipAction =
    std::variant<SendDatagram, PeerAhead, FetchMembers, MembersChanged, Superseded>;

// Which members have applied `sequence`, as far as this node knows.
struct InForceReport {
  std::size_t in_force = 0;
  std::vector<NodeId> lagging;      // alive, at an older sequence
  std::vector<NodeId> unreachable;  // suspect or recently dead: may be partitioned and serving
};

// Gossip membership: probes with piggybacked updates, hashes of the member table that
// detect missed updates, and the control sequence on every datagram.
class Membership {
 public:
  Membership(Member self, MembershipSettings settings, RandomBits random);
  ~Membership();
  // Hosts to contact for joining. The platform's list is outdated at times, so it is
  // not used to decide liveness.
  void SetSeeds(std::span<const ListedHost> hosts);
  // Call every 100 ms.
  [[nodiscard]] std::vector<MembershipAction> Tick(Time now);
  [[nodiscard]] std::vector<MembershipAction> OnDatagram(Time now, std::string_view bytes,
                                                         const Address& from);
  // Answers a peer's FetchMembers with the records it lacks. Errors: kBadRequest.
  [[nodiscard]] Result<std::string> OnFetch(Time now, std::string_view request);
  [[nodiscard]] std::vector<MembershipAction> OnMembers(Time now, std::string_view bytes);

  [[nodiscard]] std::vector<MembershipAction> SetLeaving(Time now);
  [[nodiscard]] std::vector<MembershipAction> SetServes(Time now, std::vector<ServiceName> serves);
  [[nodiscard]] std::vector<MembershipAction> SetSequence(Time now, Sequence sequence);
  // Queries the members that are not known to have applied `sequence` for their
  // control sequence, up to 100 per call; call again until InForce reports no lagging ones.
  [[nodiscard]] std::vector<MembershipAction> QuerySequences(Time now, Sequence sequence);
  [[nodiscard]] InForceReport InForce(Sequence sequence) const;

  [[nodiscard]] const Member& self() const;
  // Alive and suspect members including this node, by node id.
  [[nodiscard]] std::vector<Member> Members() const;
  [[nodiscard]] std::optional<Member> Find(const NodeId& node) const;
  // When the last valid datagram of a peer arrived, if any.
  [[nodiscard]] std::optional<Time> last_heard() const;

  struct Counts {
    std::uint64_t datagrams_sent = 0, datagrams_received = 0;
    std::uint64_t bytes_sent = 0, bytes_received = 0;  // with 28 bytes of IP and UDP headers each
    std::uint64_t unreadable = 0;
  };
  [[nodiscard]] const Counts& counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Whether `self` is one of the `count` members of its data centre that poll the store
// for new log entries; the others get the head sequence by gossip.
[[nodiscard]] bool ReadsLogFromStore(const Member& self, std::span<const Member> members,
                                     std::size_t count);

}  // namespace figmill
