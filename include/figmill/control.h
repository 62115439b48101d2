#pragma once

// What operators decide and what nodes know of each other: the configuration,
// the control log that carries it, membership, and leases. No I/O.

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

// Requests whose path starts with `path_prefix` may not be repeated.
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
  std::vector<RouteRule> routes;  // stricter of rule and service wins
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
  NodeId agent;  // the agent beside it
  std::vector<ServiceName> serves;
  bool checks_fencing = true;
  // Set by the fold from the drain orders, never by a configuration document:
  // applying an old file must not bring a drained server back.
  bool drained = false;
};

struct Config {
  std::map<ServiceName, ServiceConfig> services;
  std::map<TeamId, TeamLimit> limits;
  std::map<NodeId, BackendConfig> backends;
};

// Checks the configuration as a whole: ranges, and that every name a part refers
// to is there. Errors: kBadRequest, naming the part.
[[nodiscard]] Result<Ok> Validate(const Config& config);
// One JSON document: {"services": [...], "limits": [...], "backends": [...]}.
// A field that isn't known is refused by name, as a misspelt limit would
// otherwise silently not hold. Errors: kBadRequest.
[[nodiscard]] Result<Config> ParseConfig(std::string_view json);
[[nodiscard]] std::string ToJson(const Config& config);

// --- Control log -----------------------------------------------------------------

struct VersionedName {
  std::string name;
  std::string version;
  auto operator<=>(const VersionedName&) const = default;
};
// What an engine should hold. Sequence of the order is its fencing token. A name
// that is wanted replaces its other versions; what is not named at all stays as
// it is, so that an order never unloads what its operator didn't mean.
struct Placement {
  std::vector<VersionedName> models;
  std::vector<VersionedName> adapters;
  std::vector<VersionedName> unwanted_models;
  std::vector<VersionedName> unwanted_adapters;
  std::string role;  // empty: as it is
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
struct Place {
  NodeId agent;
  Placement placement;
};
// Keeps drains, cancellations and placements.
struct ReplaceConfig {
  Config config;
};
// Everything that operators can order.
using ControlEntry = std::variant<PutService, RemoveService, PutLimit, PutBackend, RemoveBackend,
                                  Drain, Undrain, CancelJob, Place, ReplaceConfig>;

// Errors of the parsers: kBadRequest, naming the field.
[[nodiscard]] Result<ControlEntry> ParseControlEntry(std::string_view json);
[[nodiscard]] std::string ToJson(const ControlEntry& entry);
// One line for people, such as "put service field-app".
[[nodiscard]] std::string Describe(const ControlEntry& entry);
// Whether the order of the two matters, so that of two racing operators one
// must be told that the other won.
[[nodiscard]] bool Clash(const ControlEntry& one, const ControlEntry& other);

// One row of the log.
struct LogRecord {
  Sequence sequence = 0;
  Token token;  // mark of the write that made it
  std::string author;
  ControlEntry entry;
};
[[nodiscard]] Result<LogRecord> ParseLogRecord(std::string_view json);
[[nodiscard]] std::string ToJson(const LogRecord& record);
// "log/000000000812".
[[nodiscard]] std::string LogKey(Sequence sequence);

// What the log adds up to. Applying is deterministic: nodes at the same sequence
// hold the same fold, whichever way they came by it.
struct Fold {
  struct PlacementOrder {
    Placement placement;
    Sequence sequence = 0;
  };
  Sequence sequence = 0;
  std::string author;  // of the last entry, to tell a loser who won
  std::string change;  // the last entry, described
  Config config;
  std::set<NodeId> drained;
  // The newest kMaxCancelledJobs cancellations by sequence. The job's own row
  // is what keeps it cancelled; this tells its owner, within seconds. At 820
  // changes a day one stays here five days, and none is pushed out while the
  // store is down, as that takes further entries.
  std::map<JobId, Sequence> cancelled_jobs;
  std::map<NodeId, PlacementOrder> placements;
};
inline constexpr std::size_t kMaxCancelledJobs = 4096;
inline constexpr std::size_t kMaxDrainedNodes = 4096;

// Whether the entry may follow this fold: the resulting configuration is
// validated whole. Errors: kBadRequest, kNotFound, kTooLarge.
[[nodiscard]] Result<Ok> Check(const Fold& fold, const ControlEntry& entry);
// `record.sequence` must be the next one.
void Apply(Fold& fold, const LogRecord& record);
[[nodiscard]] Result<Fold> ParseFold(std::string_view json);
[[nodiscard]] std::string ToJson(const Fold& fold);

// Actions of the log's state machines. The shell answers each call exactly once
// with the event of the same letter, and never inside the call.
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
  std::string key;  // no answer wanted: a leftover costs room only
};
struct FetchEntries {
  NodeId peer;
  Sequence after = 0;
};
struct FetchFold {
  NodeId peer;
};
// The fold moved: publish it to traffic and gossip.
struct PublishFold {};
struct AnswerAppend {
  std::uint64_t append = 0;
  Result<Sequence> outcome;
};
// A row that can't be read stops this node: skipping it would let nodes differ.
struct LogStuck {
  Sequence sequence = 0;
  std::string why;
};
using LogAction = std::variant<ScanRows, ReadRow, CommitRows, PutObject, GetObject, DeleteObject,
                               FetchEntries, FetchFold, PublishFold, AnswerAppend, LogStuck>;

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
// kNotFound: the peer holds no entries that far back; take its fold.
struct EntriesFetched {
  Result<std::vector<LogRecord>> records;
};
struct FoldFetched {
  Result<Fold> fold;
};
using LogEvent = std::variant<RowsScanned, RowWasRead, CommitEnded, ObjectWasPut, ObjectWasRead,
                              EntriesFetched, FoldFetched>;

// Follows the log, from the store or from peers. The sequence only rises.
class LogReader {
 public:
  LogReader();
  // Reads the store from the head on, unless a read is under way.
  [[nodiscard]] std::vector<LogAction> Poll();
  // A peer is known to run on `sequence`.
  [[nodiscard]] std::vector<LogAction> Hint(const NodeId& peer, Sequence sequence);
  [[nodiscard]] std::vector<LogAction> On(LogEvent event);

  // Takes records in, the contiguous ones past the head; true if the fold moved.
  bool Offer(std::span<const LogRecord> records);
  // Never goes back: a fold at or below the head is ignored.
  bool Offer(Fold fold);

  [[nodiscard]] const std::shared_ptr<const Fold>& fold() const { return fold_; }
  [[nodiscard]] Sequence head() const { return fold_->sequence; }
  // Whether the whole log was once read, from the store or a peer ahead. Before
  // that the fold may lack most orders, and a process that routes by it would
  // serve on a configuration that never was.
  [[nodiscard]] bool learned() const { return learned_; }
  // For a peer that is at `after`, oldest first, at most `max_bytes` but at
  // least one; nothing when the window doesn't reach back that far.
  [[nodiscard]] std::optional<std::vector<LogRecord>> EntriesAfter(Sequence after,
                                                                   std::size_t max_bytes) const;

 private:
  struct Kept {
    LogRecord record;
    std::size_t bytes = 0;
  };
  std::vector<LogAction> OnRows(Result<std::vector<Row>> rows);
  std::vector<LogAction> OnSnapshotRow(Result<std::optional<Row>> row);
  std::vector<LogAction> OnFoldBytes(Result<std::string> bytes);
  std::vector<LogAction> OnEntries(Result<std::vector<LogRecord>> records);
  std::vector<LogAction> OnFold(Result<Fold> fold);
  std::vector<LogAction> Scan();
  std::vector<LogAction> NextFetch();
  void Keep(const LogRecord& record);

  std::shared_ptr<const Fold> fold_;
  std::deque<Kept> window_;  // the newest records, up to the head
  std::size_t window_bytes_ = 0;
  bool learned_ = false;
  bool reading_store_ = false;
  std::optional<NodeId> fetching_from_;
  Sequence wanted_ = 0;  // the highest sequence a peer was seen on
};

// Appends by compare-and-set. One append is in flight at a time, others wait.
//
// Besides "the next row is absent" a transaction requires "the head row is as I
// read it". Without that a writer that has slept through a compaction would find
// its old next row absent again, and have an entry accepted in the past, where
// nobody would ever read it.
class LogWriter {
 public:
  LogWriter(LogReader& reader, RandomBits random);
  // `append` names the answer. Errors in the answer: those of Check;
  // kStaleVersion if `if_version` isn't the head; kConflict if another
  // operator's entry on the same subject won, saying whose and where;
  // kStoreUnavailable (nothing written); kOverloaded (too many waiting).
  // `built_on` is the sequence of the fold that the entry was made from, if it
  // carries values over from one: entries on the same subject after it win.
  [[nodiscard]] std::vector<LogAction> Append(std::uint64_t append, ControlEntry entry,
                                              std::string author,
                                              std::optional<Sequence> if_version,
                                              std::optional<Sequence> built_on = {});
  // Takes back an append that is still waiting: true if so, and nothing was
  // written; false if it is in flight or done.
  [[nodiscard]] bool Withdraw(std::uint64_t append);
  [[nodiscard]] std::vector<LogAction> On(LogEvent event);
  // Every second: goes on with a write whose fate couldn't be read.
  [[nodiscard]] std::vector<LogAction> Tick();

 private:
  enum class State : std::uint8_t { kIdle, kCatchingUp, kCommitting, kReadingBack, kUnknown };
  struct Pending {
    std::uint64_t append = 0;
    ControlEntry entry;
    std::string author;
    std::optional<Sequence> if_version;
    std::optional<Sequence> built_on;
  };
  std::vector<LogAction> Begin();
  std::vector<LogAction> CatchUp();
  std::vector<LogAction> OnRows(Result<std::vector<Row>> rows);
  std::vector<LogAction> OnCommit(TransactionOutcome outcome);
  std::vector<LogAction> OnReadBack(Result<std::optional<Row>> row);
  std::vector<LogAction> Validate();
  std::vector<LogAction> Commit();
  std::vector<LogAction> OnRejected(const Rejected& rejected);
  std::vector<LogAction> Lost();
  std::vector<LogAction> Won();
  std::vector<LogAction> Finish(Result<Sequence> outcome);

  LogReader& reader_;
  RandomBits random_;
  State state_ = State::kIdle;
  std::deque<Pending> queue_;  // the front is in flight
  LogRecord record_;           // what the front is being written as
  RowCondition commit_head_;   // the head row as read before it
  std::optional<RowVersion> head_version_;
  Sequence scanned_from_ = 0;
  std::optional<Sequence> base_;  // entries after it raced with the front
  int attempts_ = 0;
  bool may_have_landed_ = false;  // an earlier try's answer was lost
};

// Writes the fold to the object store every kEntriesPerSnapshot entries, then
// deletes entries that are kEntriesKept older than it. Entries newer than a
// committed snapshot are never deleted, so a reader finds either the rows or a
// snapshot that covers them.
inline constexpr Sequence kEntriesPerSnapshot = 256;
inline constexpr Sequence kEntriesKept = 256;
class LogCompactor {
 public:
  LogCompactor(const LogReader& reader, RandomBits random);
  // After this node's own append. Only appenders compact, so that nodes don't
  // race over it; a compaction cut short is taken up after a later append.
  [[nodiscard]] std::vector<LogAction> Consider();
  [[nodiscard]] std::vector<LogAction> On(LogEvent event);

 private:
  enum class State : std::uint8_t { kIdle, kReading, kWritingFold, kWritingRow, kDeleting };
  std::vector<LogAction> OnSnapshotRow(Result<std::optional<Row>> row);
  std::vector<LogAction> OnFoldPut(const Result<Ok>& outcome);
  std::vector<LogAction> OnCommit(const TransactionOutcome& outcome);
  std::vector<LogAction> DeleteSome();

  const LogReader& reader_;
  RandomBits random_;
  State state_ = State::kIdle;
  std::shared_ptr<const Fold> folded_;
  Sequence known_ = 0;         // the newest committed snapshot, as far as known
  Sequence stale_object_ = 0;  // the snapshot two before the one being written
  Sequence next_delete_ = 1;
  RowVersion row_version_ = 0;
};

// --- Leases ------------------------------------------------------------------------

// A row `lease/<name>`. It is released by emptying the holder, never deleted, as
// the epoch must not start over.
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

// A lease just taken.
struct LeaseGrant {
  Epoch epoch = 0;
  RowVersion version = 0;
  std::uint64_t renewals = 0;
  Time sent;  // when the write that took it was sent
};
struct LeaseTaken {
  LeaseGrant grant;
};
// Someone else holds it now; `row` is empty if that couldn't be read.
struct LeaseLost {
  std::optional<LeaseRow> row;
};
using LeaseAction = std::variant<ReadRow, CommitRows, LeaseTaken, LeaseLost>;
// Answers to ReadRow and CommitRows.
using LeaseEvent = std::variant<RowWasRead, CommitEnded>;

// Watches a lease and takes it over once the row has not changed for a whole
// term of the watcher's own time. Hosts' clocks are never compared: a holder
// stops two thirds of a term after it sent its last good renewal, which is
// before the watcher could see that renewal, so a third of a term is left for
// clocks that run at different rates.
class LeaseWatcher {
 public:
  LeaseWatcher(LeaseSettings settings, RandomBits random);
  // Call about every quarter of a term.
  [[nodiscard]] std::vector<LeaseAction> Tick(Time now);
  [[nodiscard]] std::vector<LeaseAction> On(Time now, LeaseEvent event);
  // The row as last seen.
  [[nodiscard]] const std::optional<LeaseRow>& seen() const { return seen_; }

 private:
  std::vector<LeaseAction> OnRow(Time now, const Result<std::optional<Row>>& row);
  std::vector<LeaseAction> OnOutcome(Time now, const TransactionOutcome& outcome);
  std::vector<LeaseAction> TakeOver(Time now);
  std::vector<LeaseAction> Taken(RowVersion version);
  bool Note(Time now, const std::optional<Row>& row);

  LeaseSettings settings_;
  RandomBits random_;
  bool busy_ = false;
  std::optional<Time> unchanged_since_;
  RowVersion version_ = 0;
  std::optional<LeaseRow> seen_;
  LeaseRow tried_;  // of the take-over whose answer is out or lost
  RowVersion tried_version_ = 0;
  std::optional<Time> tried_at_;
};

// Holds a lease: renews it, and says whether the holder may act.
class LeaseHolder {
 public:
  LeaseHolder(LeaseSettings settings, const LeaseGrant& grant, RandomBits random);
  [[nodiscard]] std::vector<LeaseAction> Tick(Time now);
  [[nodiscard]] std::vector<LeaseAction> On(Time now, LeaseEvent event);
  // Stop acting first, then call this: others may take the lease at once.
  [[nodiscard]] std::vector<LeaseAction> Release(Time now);
  // Asked before each step under the lease. It guards progress only: a holder
  // can be paused right after asking, so writes carry the epoch besides.
  [[nodiscard]] bool MayAct(Time now) const;
  [[nodiscard]] Epoch epoch() const { return epoch_; }

 private:
  struct Attempt {
    Token token;
    Time sent;
  };
  std::vector<LeaseAction> Write(Time now, bool release);
  std::vector<LeaseAction> ReadBack();
  std::vector<LeaseAction> OnOutcome(const TransactionOutcome& outcome);
  std::vector<LeaseAction> Seen(const std::optional<Row>& row);
  std::vector<LeaseAction> Lose(std::optional<LeaseRow> row);

  LeaseSettings settings_;
  RandomBits random_;
  Epoch epoch_ = 0;
  RowVersion version_ = 0;
  std::uint64_t renewals_ = 0;
  Time renewed_;                  // when the last good renewal was sent
  std::deque<Attempt> attempts_;  // renewals that may still land
  Time tried_;
  bool busy_ = false;
  bool in_doubt_ = false;  // an answer was lost: read before writing
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
  Sequence control_sequence = 0;  // the orders this member runs on
};

// What traffic threads route from: immutable, published whole.
struct Snapshot {
  Sequence sequence = 0;
  std::shared_ptr<const Config> config;
  std::vector<Member> members;            // alive and suspect ones, by node id
  std::shared_ptr<const Fold> fold = {};  // `config` is a part of it
};
// Members under a drain order are marked leaving, so routing has one flag to see.
[[nodiscard]] Snapshot MakeSnapshot(std::shared_ptr<const Fold> fold, std::vector<Member> members);

struct MembershipSettings {
  Duration probe_period{1'000'000};       // one member is probed a period
  Duration ack_timeout{300'000};          // then others are asked to probe it
  Duration suspicion{5'000'000};          // time to refute before death
  Duration dead_kept{900'000'000};        // a death outlives older news of life
  std::uint32_t bytes_per_second = 1800;  // sent, headers included; so 3.6 KB/s both ways
};

struct SendDatagram {
  Address to;
  std::string bytes;
};
// `peer` runs on a higher control sequence.
struct SequenceSeen {
  NodeId peer;
  Sequence sequence = 0;
};
// Send `have` to `peer` over HTTP, which answers with OnFetch(have): more differs
// than datagrams would carry in time.
struct FetchMembers {
  NodeId peer;
  Address http;
  std::string have;  // this member's record, and 8 bytes for each it knows
};
struct MembersChanged {};
// A newer process has this one's slot. This one must stop: outbidding the newer
// one's incarnation would let a paused process win when it wakes.
struct Superseded {
  Incarnation by = 0;
};
using MembershipAction =
    std::variant<SendDatagram, SequenceSeen, FetchMembers, MembersChanged, Superseded>;

// Who runs on `sequence` or later, as far as this node has heard.
struct InForceReport {
  std::size_t in_force = 0;
  std::vector<NodeId> lagging;      // alive, on an older sequence
  std::vector<NodeId> unreachable;  // suspect or lately dead: may be cut off and serving
};

// Gossip: probes with piggybacked news, hashes of the table to find what news
// missed, and a control sequence on every datagram.
class Membership {
 public:
  Membership(Member self, MembershipSettings settings, RandomBits random);
  ~Membership();
  // The platform's list lags: it says whom to try, and nothing about life.
  void Seed(std::span<const ListedHost> hosts);
  // Every 100 ms.
  [[nodiscard]] std::vector<MembershipAction> Tick(Time now);
  [[nodiscard]] std::vector<MembershipAction> OnDatagram(Time now, std::string_view bytes,
                                                         const Address& from);
  // Answers a peer's FetchMembers with what it lacks. Errors: kBadRequest.
  [[nodiscard]] Result<std::string> OnFetch(Time now, std::string_view have);
  [[nodiscard]] std::vector<MembershipAction> OnMembers(Time now, std::string_view bytes);

  [[nodiscard]] std::vector<MembershipAction> SetLeaving(Time now);
  [[nodiscard]] std::vector<MembershipAction> SetServes(Time now, std::vector<ServiceName> serves);
  [[nodiscard]] std::vector<MembershipAction> SetSequence(Time now, Sequence sequence);
  // Asks the alive members that are not known to run on `sequence`, a few at a
  // time; call it again until InForce is satisfied.
  [[nodiscard]] std::vector<MembershipAction> Ask(Time now, Sequence sequence);
  [[nodiscard]] InForceReport InForce(Sequence sequence) const;

  [[nodiscard]] const Member& self() const;
  // Alive and suspect ones with this node, by node id.
  [[nodiscard]] std::vector<Member> Members() const;
  [[nodiscard]] std::optional<Member> Find(const NodeId& node) const;
  // When a peer last answered, if any did.
  [[nodiscard]] std::optional<Time> heard() const;

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

// Whether `self` is one of the `count` members of its data centre that read the
// log's head from the store; the others learn it by gossip.
[[nodiscard]] bool ReadsStore(const Member& self, std::span<const Member> members,
                              std::size_t count);

}  // namespace figmill
