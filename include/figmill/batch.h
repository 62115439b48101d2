#pragma once

// Batch jobs: parsing and acceptance, ownership, processing in chunks under a
// fencing epoch, fair scheduling of items to agents, and exactly-once commit of
// results. No I/O: events with the current time go in, actions come out.
//
// Durability: a job's items are split into chunks, one object each. One
// transaction creates the rows `job/<id>` and `open/<shard>/<id>` and thereby
// accepts the job. An owner claims the job by compare-and-set, which increments
// the job's epoch. The results of a chunk are one object, referenced by one
// `chunk/<id>/<n>` row whose transaction is conditioned on the version of the
// job's row. Claims and cancellations write that row, so a superseded owner can't
// commit, however late it resumes. Results that no row references are ignored.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill {

// --- Items and job upload ----------------------------------------------------------

inline constexpr std::uint32_t kMaxJobItems = 150'000;
// A chunk is the unit of commit. At 770 M items per day and 256 items per chunk,
// the whole fleet commits 35 chunks per second.
inline constexpr std::uint32_t kMaxChunkItems = 256;
inline constexpr std::size_t kMaxChunkBytes = 1U << 20;
// Limit on the estimated total size of a chunk's answers, which the owner keeps in
// memory until they are committed.
inline constexpr std::size_t kMaxChunkAnswerBytes = 4U << 20;
// Size limit of one result object; the platform accepts up to 8 MB.
inline constexpr std::size_t kMaxResultObjectBytes = 4U << 20;
// Bounds how many not-repeatable items of a chunk end with an unknown outcome when
// the owner dies.
inline constexpr std::uint32_t kMaxNotRepeatablePerChunk = 32;
inline constexpr std::size_t kMaxJobIdLength = 64;  // request ids are built from it

struct BatchItem {
  std::string custom_id;
  ServiceName service;  // from the body's "model" or from the url
  std::string path;     // request path on the backend server
  std::string body;     // JSON text
  bool repeatable = true;
  std::uint32_t tokens = 0;  // maximum tokens of the answer; 0 when unknown
};

// Parses NDJSON with one {custom_id, url, body, repeatable?} object per line.
// Errors: kBadRequest with the line number.
[[nodiscard]] Result<std::vector<BatchItem>> ParseItems(std::string_view text);

// Returns whether the configuration allows requests to this service and path to be
// repeated. An item is repeatable only if both this rule and its own `repeatable`
// field allow it. An empty function allows all.
using RepeatableRule = std::function<bool(const ServiceName&, std::string_view path)>;

struct ChunkEntry {
  std::string digest;  // XXH3-128 of the chunk's text; part of its object key
  std::uint32_t items = 0;
  bool operator==(const ChunkEntry&) const = default;
};

// The state kept per item until its job is accepted: 16 bytes.
struct ItemHashes {
  std::uint64_t custom_id_hash = 0;
  std::uint64_t content_hash = 0;
  bool operator==(const ItemHashes&) const = default;
};

struct PartIndex {
  std::vector<ChunkEntry> chunks;
  std::vector<ItemHashes> item_hashes;
  bool operator==(const PartIndex&) const = default;
};

struct SplitPart {
  PartIndex index;
  std::vector<std::string_view> texts;  // one per chunk; views into the input
};

// Validates every line and splits the part into chunks. Errors: kBadRequest with
// the line number, kTooLarge.
[[nodiscard]] Result<SplitPart> SplitItems(std::string_view text, const RepeatableRule& rule = {});

// Serializes a part's index as an object. Parse errors: kInternal when the bytes are
// malformed.
[[nodiscard]] std::string EncodePartIndex(const PartIndex& index);
[[nodiscard]] Result<PartIndex> ParsePartIndex(std::string_view bytes);

// Parses the body of a job's PUT that lists uploaded parts:
// {"parts": ["<digest>", ...]}, part n at position n. Errors: kBadRequest.
[[nodiscard]] Result<std::vector<std::string>> ParsePartsManifest(std::string_view body);

// Combines the indexes of a job's parts. Memory: 16 bytes per item while the job is
// being accepted, 0.2 bytes per item (one entry per chunk) afterwards.
class JobAssembly {
 public:
  // Errors: kBadRequest for a duplicate custom_id, kTooLarge.
  Result<Ok> Add(const PartIndex& part);
  // Digest of the items in order, the team and the due time. Independent of how the
  // items were divided into parts.
  [[nodiscard]] std::string ContentDigest(const TeamId& team, WallTime due) const;
  [[nodiscard]] const std::vector<ChunkEntry>& chunks() const { return chunks_; }
  [[nodiscard]] std::uint32_t items() const {
    return static_cast<std::uint32_t>(item_hashes_.size());
  }

 private:
  std::vector<ChunkEntry> chunks_;
  std::vector<ItemHashes> item_hashes_;
  std::vector<std::uint64_t> sorted_id_hashes_;
};

[[nodiscard]] std::string EncodeManifest(std::span<const ChunkEntry> chunks);
[[nodiscard]] Result<std::vector<ChunkEntry>> ParseManifest(std::string_view bytes);

// The XXH3-128 of `bytes` as 32 hexadecimal digits.
[[nodiscard]] std::string DigestOf(std::string_view bytes);

// --- Rows and objects --------------------------------------------------------------

enum class JobState : std::uint8_t { kRunning, kDone, kCancelled };
[[nodiscard]] std::string_view ToString(JobState state);

struct JobRow {
  Token token;
  JobState state = JobState::kRunning;
  TeamId team;
  WallTime due;
  std::string digest;  // of the job's content
  std::uint32_t items = 0;
  std::uint32_t chunks = 0;
  NodeId owner;           // empty when the job has no owner
  Epoch owner_lease = 0;  // epoch of the owner's lease
  Epoch epoch = 0;        // the job's fencing epoch, incremented by every claim
};
[[nodiscard]] std::string EncodeJobRow(const JobRow& row);
[[nodiscard]] Result<JobRow> ParseJobRow(std::string_view value);

// kIntended: not-repeatable items of the chunk may have been sent under `epoch`.
enum class ChunkState : std::uint8_t { kIntended, kDone };
struct ChunkRow {
  Token token;
  ChunkState state = ChunkState::kDone;
  Epoch epoch = 0;
  // The results are the concatenated objects `object`-0 to `object`-(pieces - 1).
  std::string object;
  std::uint32_t pieces = 1;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
};
[[nodiscard]] std::string EncodeChunkRow(const ChunkRow& row);
[[nodiscard]] Result<ChunkRow> ParseChunkRow(std::string_view value);

// Index row of a running job, so that scans for open jobs skip finished ones.
struct OpenJobRow {
  Token token;
  NodeId owner;
  Epoch owner_lease = 0;
};
[[nodiscard]] std::string EncodeOpenJobRow(const OpenJobRow& row);
[[nodiscard]] Result<OpenJobRow> ParseOpenJobRow(std::string_view value);

inline constexpr std::uint32_t kOpenJobShards = 256;
[[nodiscard]] std::string JobKey(const JobId& job);
[[nodiscard]] std::string OpenJobPrefix(std::uint32_t shard);
[[nodiscard]] std::uint32_t ShardOf(const JobId& job);
[[nodiscard]] std::string OpenJobKey(const JobId& job);
[[nodiscard]] std::string ChunkPrefix(const JobId& job);
[[nodiscard]] std::string ChunkKey(const JobId& job, std::uint32_t chunk);
[[nodiscard]] std::string PartObjectKey(const JobId& job, std::uint32_t part,
                                        std::string_view digest);
[[nodiscard]] std::string ItemsObjectKey(const JobId& job, std::string_view chunk_digest);
[[nodiscard]] std::string ManifestObjectKey(const JobId& job, std::string_view content_digest);

// The progress recorded in a job's chunk rows, which must be in key order.
struct JobProgress {
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
  std::vector<std::string> objects;  // keys of the result objects, in item order
};
[[nodiscard]] JobProgress ProgressOf(std::span<const Row> chunk_rows);

// --- Store calls -------------------------------------------------------------------

// Identifies one store call; its response carries the same number.
using OpId = std::uint64_t;

struct BatchCommit {
  OpId op = 0;
  Transaction transaction;
};
struct BatchRead {
  OpId op = 0;
  std::string key;
};
struct BatchScan {
  OpId op = 0;
  RowRange range;
};
struct BatchPut {
  OpId op = 0;
  std::string key;
  std::string bytes;
};
struct BatchGet {
  OpId op = 0;
  std::string key;
};
using StoreCall = std::variant<BatchCommit, BatchRead, BatchScan, BatchPut, BatchGet>;

struct BatchCommitResult {
  OpId op = 0;
  TransactionOutcome outcome;
};
struct BatchReadResult {
  OpId op = 0;
  Result<std::optional<Row>> row;
};
struct BatchScanResult {
  OpId op = 0;
  Result<std::vector<Row>> rows;
};
struct BatchPutResult {
  OpId op = 0;
  Result<Ok> result;
};
struct BatchGetResult {
  OpId op = 0;
  Result<std::string> bytes;
};
using StoreResult = std::variant<BatchCommitResult, BatchReadResult, BatchScanResult,
                                 BatchPutResult, BatchGetResult>;

// Interval at which the caller must invoke Tick(), which drives retries.
inline constexpr Duration kBatchTick{100'000};

// --- Acceptance and cancellation ---------------------------------------------------

struct JobRequest {
  JobId job;
  TeamId team;
  WallTime due;
};

// `created` is false when an identical job had already been accepted.
struct JobAccepted {
  JobRow row;
  bool created = false;
};

namespace detail {
class AcceptanceCore;
class CancellationCore;
}  // namespace detail

// Stores one job durably and then reports its acceptance. Pass every response to its
// calls to Handle(), and call Tick() every kBatchTick, until `outcome()` has a value.
class JobAcceptance {
 public:
  // After `deadline`, a commit whose response was lost is no longer resolved.
  JobAcceptance(JobRequest request, const JobAssembly& assembly, Time deadline,
                const RandomBits& random);
  ~JobAcceptance();
  [[nodiscard]] std::vector<StoreCall> Start(Time now);
  [[nodiscard]] std::vector<StoreCall> Handle(const StoreResult& answer, Time now);
  [[nodiscard]] std::vector<StoreCall> Tick(Time now);
  // Errors: kConflict (same id, different content), kStoreUnavailable with `ran` no
  // (nothing was written) or unknown (retry: the same id and content identify the
  // same job).
  [[nodiscard]] const std::optional<Result<JobAccepted>>& outcome() const;

 private:
  std::unique_ptr<detail::AcceptanceCore> core_;
};

// Cancels one job by compare-and-set on its row. For a job that is no longer
// running, it changes nothing and returns the job's row.
class JobCancellation {
 public:
  JobCancellation(JobId job, Time deadline, RandomBits random);
  ~JobCancellation();
  [[nodiscard]] std::vector<StoreCall> Start(Time now);
  [[nodiscard]] std::vector<StoreCall> Handle(const StoreResult& answer, Time now);
  [[nodiscard]] std::vector<StoreCall> Tick(Time now);
  // The current row of the job. Errors: kNotFound, kStoreUnavailable with `ran` no
  // or unknown.
  [[nodiscard]] const std::optional<Result<JobRow>>& outcome() const;

 private:
  std::unique_ptr<detail::CancellationCore> core_;
};

// --- Scheduling items to agents ------------------------------------------------------

struct BatchAgent {
  NodeId node;
  Incarnation incarnation = 0;
  std::vector<ServiceName> serves;
  bool leaving = false;  // finishes its streams but accepts no new ones
  bool operator==(const BatchAgent&) const = default;
};

// An item that is ready to be assigned to an agent.
struct ReadyItem {
  JobId job;
  std::uint32_t index = 0;  // position in the job
  TeamId team;
  WallTime due;
  ServiceName service;
  std::uint32_t cost = 1;  // estimated tokens of prompt and answer
  NodeId avoid;            // agent of the last failed attempt
};

struct Assignment {
  ReadyItem item;
  NodeId agent;
  Incarnation incarnation = 0;
};

// Deficit round robin over the teams of a service, earliest due first within a
// team. Agents get as many items as the free slots they report, so that batch items
// are already queued at the agent when online load drops.
class ItemScheduler {
 public:
  void SetAgents(std::span<const BatchAgent> agents);
  void Add(ReadyItem item);
  void RemoveJob(const JobId& job);
  void RemoveItems(const JobId& job, std::uint32_t first, std::uint32_t count);
  // Number of a team's queued items whose service some agent serves.
  [[nodiscard]] std::size_t ReadyOf(const TeamId& team) const;
  // Number of a job's queued items whose service no agent serves.
  [[nodiscard]] std::size_t UnservedOf(const JobId& job) const;

  // The next item and its agent, or nothing while no agent has a free slot.
  [[nodiscard]] std::optional<Assignment> Next(Time now);

  // Feedback on assignments. `free_slots`: how many more items the agent can accept.
  void OnFreeSlots(const NodeId& agent, std::uint32_t free_slots);
  void OnEnded(const NodeId& agent);
  void OnRefused(const NodeId& agent, Duration retry_after, Time now);
  void OnFailed(const NodeId& agent, Time now);

 private:
  struct Agent {
    BatchAgent info;
    bool present = false;
    std::uint32_t window = 0;  // maximum items in flight
    std::uint32_t in_flight = 0;
    Time blocked_until;
    Duration backoff{0};  // 0 when its last item did not fail
  };
  struct Queue {  // one team's items for one service
    TeamId team;
    std::vector<ReadyItem> items;  // heap, earliest due on top
    std::uint64_t deficit = 0;     // tokens
  };
  struct Service {
    ServiceName name;
    std::vector<Queue> queues;
    std::size_t next_queue = 0;
  };

  [[nodiscard]] bool IsServed(const ServiceName& service) const;
  [[nodiscard]] Agent* BestAgent(const ServiceName& service, const NodeId& avoid, Time now);
  [[nodiscard]] Agent* Find(const NodeId& agent);
  [[nodiscard]] static Queue* NextQueue(Service& service);
  [[nodiscard]] std::optional<Assignment> NextForService(Service& service, Time now);

  std::vector<Agent> agents_;
  std::vector<Service> services_;
  std::size_t next_service_ = 0;
};

// --- The owner ---------------------------------------------------------------------

struct BatchLimits {
  int max_attempts = 5;  // attempts of one item before it ends as failed
  std::uint32_t max_open_chunks = 64;
  std::size_t max_held_bytes = 24U << 20;    // items and uncommitted results in memory
  std::uint32_t ready_items_per_team = 128;  // ready items to prefetch for each team
};

// A complete answer of the backend server.
struct ItemAnswer {
  int status = 0;
  std::string body;
};
using ItemOutcome = std::variant<ItemAnswer, Error>;

// Events.
struct BatchTick {};
// This process holds its owner lease until `valid_until`. Repeated for every renewal.
struct OwnerLeaseHeld {
  Epoch epoch = 0;
  Time valid_until;
};
struct OwnerLeaseLost {};
// A lease renewal failed because the store is down. No other process can take over
// during the outage, so repeatable items of open chunks are still sent after
// `valid_until`.
struct StoreUnavailable {};
// The lease of `owner` was not renewed for a full term, or its epoch has advanced
// past `epoch`.
struct LeaseExpired {
  NodeId owner;
  Epoch epoch = 0;
};
struct FleetUpdate {
  std::vector<NodeId> entries;  // alive and not leaving, including this process
  std::vector<BatchAgent> agents;
  RepeatableRule repeatable;
};
// Another process changed the job's row, for example by a cancellation.
struct JobChanged {
  JobId job;
};
// Return the open chunks of which no item has started, finish the others, release the jobs,
// then emit BatchDrained.
struct DrainBatch {};
// The head of an answer arrived.
struct ItemStarted {
  RequestId request;
  std::uint32_t free_slots = 0;  // how many more items the agent can accept
};
struct ItemEnded {
  RequestId request;
  ItemOutcome outcome;
};
using BatchEvent =
    std::variant<BatchTick, OwnerLeaseHeld, OwnerLeaseLost, StoreUnavailable, LeaseExpired,
                 FleetUpdate, JobChanged, DrainBatch, ItemStarted, ItemEnded, BatchCommitResult,
                 BatchReadResult, BatchScanResult, BatchPutResult, BatchGetResult>;

// Actions.
struct DispatchItem {
  RequestId request;
  NodeId agent;
  Incarnation incarnation = 0;
  JobId job;
  TeamId team;
  Epoch epoch = 0;
  std::uint32_t index = 0;
  BatchItem item;
};
// Cancel the request's stream. A later ItemEnded for it is ignored.
struct CancelItem {
  RequestId request;
  NodeId agent;
  Incarnation incarnation = 0;
};
struct OwnerLease {
  NodeId owner;
  Epoch epoch = 0;
  auto operator<=>(const OwnerLease&) const = default;
};
// Revoke a request unless it has started. ItemEnded with Ran::kNo confirms it; for a request that
// may have started, and goes on, ItemStarted follows.
struct RevokeItem {
  RequestId request;
  NodeId agent;
  Incarnation incarnation = 0;
};
// The complete list of leases to watch; replaces the previous list.
struct WatchLeases {
  std::vector<OwnerLease> leases;
};
struct BatchDrained {};
// A job's change of ownership or state, for logs and counters.
struct JobTransition {
  enum class Kind : std::uint8_t { kClaimed, kDone, kCancelled, kFenced, kReleased };
  JobId job;
  Epoch epoch = 0;
  Kind kind = Kind::kClaimed;
};
using BatchAction =
    std::variant<BatchCommit, BatchRead, BatchScan, BatchPut, BatchGet, DispatchItem, CancelItem,
                 RevokeItem, WatchLeases, BatchDrained, JobTransition>;

struct BatchCounts {
  std::uint32_t jobs = 0;
  std::uint32_t open_chunks = 0;
  std::uint32_t in_flight = 0;
  std::size_t held_bytes = 0;
  std::uint64_t items_committed = 0;
  std::uint64_t transactions = 0;
  std::uint32_t chunks_returned = 0;  // unstarted, when it began to drain
};

namespace detail {
class OwnerCore;
}

// Claims and processes this process's share of the jobs.
class BatchOwner {
 public:
  BatchOwner(NodeId self, BatchLimits limits, RandomBits random);
  ~BatchOwner();
  [[nodiscard]] std::vector<BatchAction> Handle(const BatchEvent& event, Time now);
  [[nodiscard]] BatchCounts counts() const;

 private:
  std::unique_ptr<detail::OwnerCore> core_;
};

}  // namespace figmill
