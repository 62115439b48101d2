#pragma once

// Batch jobs: parsing and acceptance, ownership, chunked work under a fencing
// epoch, fair filling of the agents' ready queues, and commit exactly once. No
// I/O: events with the time go in, actions come out.
//
// How a job lasts: its items are cut into chunks, one object each; one
// transaction creates the rows `job/<id>` and `open/<shard>/<id>` and so accepts
// it. An owner claims the job by compare-and-set, which raises the job's epoch.
// The results of a chunk are one object, named by one `chunk/<id>/<n>` row whose
// transaction is conditioned on the version of the job's row. Claims and
// cancellations write that row, so whoever was superseded can't commit, however
// late it wakes; results that no row names don't exist.

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

// --- Items and their upload --------------------------------------------------------

inline constexpr std::uint32_t kMaxJobItems = 150'000;
// A chunk is the unit of commit. At 770 M items a day and 256 items a chunk, 35
// chunks a second are committed over the whole fleet.
inline constexpr std::uint32_t kMaxChunkItems = 256;
inline constexpr std::size_t kMaxChunkBytes = 1U << 20;
// Answers of a chunk may be estimated to have this many bytes, as its owner holds
// them until they are committed.
inline constexpr std::size_t kMaxChunkAnswerBytes = 4U << 20;
// Of one object with results; the platform takes 8 MB.
inline constexpr std::size_t kMaxResultObjectBytes = 4U << 20;
// A dead owner leaves at most this many not-repeatable items of a chunk with an
// unknown outcome.
inline constexpr std::uint32_t kMaxNotRepeatablePerChunk = 32;
inline constexpr std::size_t kMaxJobIdLength = 64;  // request ids are built from it

struct BatchItem {
  std::string custom_id;
  ServiceName service;  // the body's "model", or named by the url
  std::string path;     // at the backend server
  std::string body;     // JSON text
  bool repeatable = true;
  std::uint32_t tokens = 0;  // most tokens the answer may have; 0 when unknown
};

// NDJSON, one {custom_id, url, body, repeatable?} a line. Errors: kBadRequest
// with the number of the line.
[[nodiscard]] Result<std::vector<BatchItem>> ParseItems(std::string_view text);

// Whether the configuration lets calls of this service and path be repeated;
// the stricter of this and the item's own word wins. Empty: it does.
using RepeatableRule = std::function<bool(const ServiceName&, std::string_view path)>;

struct ChunkEntry {
  std::string digest;  // of the chunk's text, XXH3-128; names its object
  std::uint32_t items = 0;
  bool operator==(const ChunkEntry&) const = default;
};

// What is kept of one item until its job is accepted: 16 bytes.
struct ItemMark {
  std::uint64_t custom_id_hash = 0;
  std::uint64_t content_hash = 0;
  bool operator==(const ItemMark&) const = default;
};

struct PartIndex {
  std::vector<ChunkEntry> chunks;
  std::vector<ItemMark> marks;
  bool operator==(const PartIndex&) const = default;
};

struct SplitPart {
  PartIndex index;
  std::vector<std::string_view> texts;  // of the chunks, into the input
};

// Checks every line and cuts the part into chunks. Errors: kBadRequest with the
// line, kTooLarge.
[[nodiscard]] Result<SplitPart> SplitItems(std::string_view text, const RepeatableRule& rule = {});

// Object codec of a part's index. Errors: kInternal when it can't be read.
[[nodiscard]] std::string EncodePartIndex(const PartIndex& index);
[[nodiscard]] Result<PartIndex> ParsePartIndex(std::string_view bytes);

// The body of a job's PUT that names parts: {"parts": ["<digest>", ...]}, part n
// at position n. Errors: kBadRequest.
[[nodiscard]] Result<std::vector<std::string>> ParsePartsManifest(std::string_view body);

// Gathers the parts' indexes. Memory: 16 bytes an item while the job is being
// accepted, 0.2 bytes an item (one entry a chunk) afterwards.
class JobAssembly {
 public:
  // Errors: kBadRequest when a custom_id comes twice, kTooLarge.
  Result<Ok> Add(const PartIndex& part);
  // Over the items in order, team and due time; independent of how the items
  // were divided into parts.
  [[nodiscard]] std::string ContentDigest(const TeamId& team, WallTime due) const;
  [[nodiscard]] const std::vector<ChunkEntry>& chunks() const { return chunks_; }
  [[nodiscard]] std::uint32_t items() const { return static_cast<std::uint32_t>(marks_.size()); }

 private:
  std::vector<ChunkEntry> chunks_;
  std::vector<ItemMark> marks_;
  std::vector<std::uint64_t> sorted_ids_;
};

[[nodiscard]] std::string EncodeManifest(std::span<const ChunkEntry> chunks);
[[nodiscard]] Result<std::vector<ChunkEntry>> ParseManifest(std::string_view bytes);

// 32 hexadecimal digits, XXH3-128.
[[nodiscard]] std::string DigestOf(std::string_view bytes);

// --- Rows and objects --------------------------------------------------------------

enum class JobState : std::uint8_t { kRunning, kDone, kCancelled };
[[nodiscard]] std::string_view ToString(JobState state);

struct JobRow {
  Token token;
  JobState state = JobState::kRunning;
  TeamId team;
  WallTime due;
  std::string digest;  // of the content
  std::uint32_t items = 0;
  std::uint32_t chunks = 0;
  NodeId owner;           // empty: nobody's
  Epoch owner_lease = 0;  // epoch of the owner's lease
  Epoch epoch = 0;        // of the job; rises with every claim
};
[[nodiscard]] std::string EncodeJobRow(const JobRow& row);
[[nodiscard]] Result<JobRow> ParseJobRow(std::string_view value);

// Intended: not-repeatable items of the chunk may have been sent under `epoch`.
enum class ChunkState : std::uint8_t { kIntended, kDone };
struct ChunkRow {
  Token token;
  ChunkState state = ChunkState::kDone;
  Epoch epoch = 0;
  // The results are the objects `object`-0 to `object`-(pieces - 1), joined.
  std::string object;
  std::uint32_t pieces = 1;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
};
[[nodiscard]] std::string EncodeChunkRow(const ChunkRow& row);
[[nodiscard]] Result<ChunkRow> ParseChunkRow(std::string_view value);

// One for each job that still runs, so that a scan never meets finished jobs.
struct OpenRow {
  Token token;
  NodeId owner;
  Epoch owner_lease = 0;
};
[[nodiscard]] std::string EncodeOpenRow(const OpenRow& row);
[[nodiscard]] Result<OpenRow> ParseOpenRow(std::string_view value);

inline constexpr std::uint32_t kOpenShards = 256;
[[nodiscard]] std::string JobKey(const JobId& job);
[[nodiscard]] std::string OpenPrefix(std::uint32_t shard);
[[nodiscard]] std::uint32_t ShardOf(const JobId& job);
[[nodiscard]] std::string OpenKey(const JobId& job);
[[nodiscard]] std::string ChunkPrefix(const JobId& job);
[[nodiscard]] std::string ChunkKey(const JobId& job, std::uint32_t chunk);
[[nodiscard]] std::string PartObject(const JobId& job, std::uint32_t part, std::string_view digest);
[[nodiscard]] std::string ItemsObject(const JobId& job, std::string_view chunk_digest);
[[nodiscard]] std::string ManifestObject(const JobId& job, std::string_view content_digest);

// What the chunk rows of a job say. Rows come in key order.
struct JobProgress {
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
  std::vector<std::string> objects;  // with results, in item order
};
[[nodiscard]] JobProgress ProgressOf(std::span<const Row> chunk_rows);

// --- Store calls -------------------------------------------------------------------

// Names one store call; its answer carries the same number.
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

struct BatchCommitted {
  OpId op = 0;
  TransactionOutcome outcome;
};
struct BatchRowRead {
  OpId op = 0;
  Result<std::optional<Row>> row;
};
struct BatchScanned {
  OpId op = 0;
  Result<std::vector<Row>> rows;
};
struct BatchPutDone {
  OpId op = 0;
  Result<Ok> result;
};
struct BatchGot {
  OpId op = 0;
  Result<std::string> bytes;
};
using StoreAnswer =
    std::variant<BatchCommitted, BatchRowRead, BatchScanned, BatchPutDone, BatchGot>;

// The wish to retry needs time to pass: call again with a Tick after this.
inline constexpr Duration kBatchTick{100'000};

// --- Acceptance and cancellation ---------------------------------------------------

struct JobRequest {
  JobId job;
  TeamId team;
  WallTime due;
};

// `created` is false when the same job had been accepted before.
struct JobAccepted {
  JobRow row;
  bool created = false;
};

namespace detail {
class AcceptanceCore;
class CancellationCore;
}  // namespace detail

// Makes one job last, then says so. Feed it every answer to its calls, and
// Tick() every kBatchTick, until `outcome()` has a value.
class JobAcceptance {
 public:
  // `give_up`: when to stop asking for the fate of a lost answer.
  JobAcceptance(JobRequest request, const JobAssembly& assembly, Time give_up,
                const RandomBits& random);
  ~JobAcceptance();
  [[nodiscard]] std::vector<StoreCall> Start(Time now);
  [[nodiscard]] std::vector<StoreCall> Handle(const StoreAnswer& answer, Time now);
  [[nodiscard]] std::vector<StoreCall> Tick(Time now);
  // Errors: kConflict (same id, other content), kStoreUnavailable with `ran` no
  // (nothing was written) or unknown (send it again: the same id and content are
  // the same job).
  [[nodiscard]] const std::optional<Result<JobAccepted>>& outcome() const;

 private:
  std::unique_ptr<detail::AcceptanceCore> core_;
};

// Ends one job by compare-and-set on its row. Ending an ended job changes
// nothing and gives its state.
class JobCancellation {
 public:
  JobCancellation(JobId job, Time give_up, RandomBits random);
  ~JobCancellation();
  [[nodiscard]] std::vector<StoreCall> Start(Time now);
  [[nodiscard]] std::vector<StoreCall> Handle(const StoreAnswer& answer, Time now);
  [[nodiscard]] std::vector<StoreCall> Tick(Time now);
  // The row as it now stands. Errors: kNotFound, kStoreUnavailable with `ran` no
  // or unknown.
  [[nodiscard]] const std::optional<Result<JobRow>>& outcome() const;

 private:
  std::unique_ptr<detail::CancellationCore> core_;
};

// --- Filling the agents' ready queues ------------------------------------------------

struct BatchAgent {
  NodeId node;
  Incarnation incarnation = 0;
  std::vector<ServiceName> serves;
  bool leaving = false;  // finishes its streams, gets no new ones
  bool operator==(const BatchAgent&) const = default;
};

// One item that waits for an agent.
struct ReadyItem {
  JobId job;
  std::uint32_t index = 0;  // in the job
  TeamId team;
  WallTime due;
  ServiceName service;
  std::uint32_t cost = 1;  // tokens, prompt and answer, as estimated
  NodeId avoid;            // agent that failed it last
};

struct Assignment {
  ReadyItem item;
  NodeId agent;
  Incarnation incarnation = 0;
};

// Deficit round robin over the teams of a service, earliest due first within a
// team; agents get as much as the room they report, so that a gap in online
// work finds batch items waiting beside the backend server.
class FillScheduler {
 public:
  void SetAgents(std::span<const BatchAgent> agents);
  void Add(ReadyItem item);
  void RemoveJob(const JobId& job);
  // Queued items of a team that some agent could serve.
  [[nodiscard]] std::size_t ReadyOf(const TeamId& team) const;
  // Queued items of a job that no agent serves now.
  [[nodiscard]] std::size_t StuckOf(const JobId& job) const;

  // The next item and its agent, or nothing while no agent has room.
  [[nodiscard]] std::optional<Assignment> Next(Time now);

  // What came of an assignment: `room` further items fit at the agent.
  void OnRoom(const NodeId& agent, std::uint32_t room);
  void OnEnded(const NodeId& agent);
  void OnRefused(const NodeId& agent, Duration retry_after, Time now);
  void OnFailed(const NodeId& agent, Time now);

 private:
  struct Agent {
    BatchAgent about;
    bool present = false;
    std::uint32_t window = 0;  // items that may be there at once
    std::uint32_t in_flight = 0;
    Time blocked_until;
    Duration backoff{0};  // 0: its last item went well
  };
  struct Queue {  // of one team for one service
    TeamId team;
    std::vector<ReadyItem> items;  // heap, earliest due on top
    std::uint64_t deficit = 0;     // tokens
  };
  struct Service {
    ServiceName name;
    std::vector<Queue> ring;
    std::size_t turn = 0;
  };

  [[nodiscard]] bool Served(const ServiceName& service) const;
  [[nodiscard]] Agent* BestAgent(const ServiceName& service, const NodeId& avoid, Time now);
  [[nodiscard]] Agent* Find(const NodeId& agent);
  [[nodiscard]] static Queue* NextQueue(Service& service);
  [[nodiscard]] std::optional<Assignment> NextOf(Service& service, Time now);

  std::vector<Agent> agents_;
  std::vector<Service> services_;
  std::size_t next_service_ = 0;
};

// --- The owner ---------------------------------------------------------------------

struct BatchLimits {
  int max_attempts = 5;  // of one item, before it ends as failed
  std::uint32_t max_open_chunks = 64;
  std::size_t max_held_bytes = 24U << 20;  // items and results not yet committed
  std::uint32_t ready_per_team = 128;      // kept ready by opening chunks ahead
};

// A whole answer of the backend server.
struct ItemAnswer {
  int status = 0;
  std::string body;
};
using ItemOutcome = std::variant<ItemAnswer, Error>;

// Events.
struct BatchTick {};
// The process's owner lease is good until `act_until`; renewals repeat it.
struct OwnerLeaseHeld {
  Epoch epoch = 0;
  Time act_until;
};
struct OwnerLeaseLost {};
// A renewal failed because the store is down. While this goes on, nobody can
// take over, so that repeatable items of open chunks go on past `act_until`.
struct StoreSilent {};
// The lease of `owner` was seen silent for a term, or has moved past `epoch`.
struct OwnerLapsed {
  NodeId owner;
  Epoch epoch = 0;
};
struct FleetSeen {
  std::vector<NodeId> entries;  // alive, not leaving, this one included
  std::vector<BatchAgent> agents;
  RepeatableRule repeatable;
};
// Somebody changed the job's row, such as by a cancellation.
struct JobChanged {
  JobId job;
};
// Finish what is open, hand the jobs over, then say BatchDrained.
struct DrainBatch {};
// From the head of an answer.
struct ItemStarted {
  RequestId request;
  std::uint32_t room = 0;
};
struct ItemEnded {
  RequestId request;
  ItemOutcome outcome;
};
using BatchEvent = std::variant<BatchTick, OwnerLeaseHeld, OwnerLeaseLost, StoreSilent, OwnerLapsed,
                                FleetSeen, JobChanged, DrainBatch, ItemStarted, ItemEnded,
                                BatchCommitted, BatchRowRead, BatchScanned, BatchPutDone, BatchGot>;

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
// Stop the stream; no ItemEnded is wanted for it any more.
struct CancelItem {
  RequestId request;
  NodeId agent;
  Incarnation incarnation = 0;
};
struct OwnerToWatch {
  NodeId owner;
  Epoch epoch = 0;
  auto operator<=>(const OwnerToWatch&) const = default;
};
// Exactly these leases are to be watched now; it replaces the earlier list.
struct WatchOwners {
  std::vector<OwnerToWatch> owners;
};
struct BatchDrained {};
// For logs and counters.
struct JobNote {
  enum class What : std::uint8_t { kClaimed, kDone, kCancelled, kFenced, kReleased };
  JobId job;
  Epoch epoch = 0;
  What what = What::kClaimed;
};
using BatchAction = std::variant<BatchCommit, BatchRead, BatchScan, BatchPut, BatchGet,
                                 DispatchItem, CancelItem, WatchOwners, BatchDrained, JobNote>;

struct BatchCounts {
  std::uint32_t jobs = 0;
  std::uint32_t open_chunks = 0;
  std::uint32_t in_flight = 0;
  std::size_t held_bytes = 0;
  std::uint64_t items_committed = 0;
  std::uint64_t transactions = 0;
};

namespace detail {
class OwnerCore;
}

// Owns this process's share of the jobs.
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
