#pragma once

// Batch jobs whose state is stored in a shared table service. A job is accepted exactly once,
// each item has exactly one stored result, and a result never changes its position. Any entry
// can become the owner of a job. A job has one owner at a time, which runs its items and writes
// their results. The exactly-once guarantee rests on the condition of each write on the version
// of the job's row, never on which process considers itself the owner. No I/O.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/tables.h"

namespace figmill {

struct JobItem {
  std::string id;
  std::string target;  // path and query at the backend server
  std::vector<Header> headers;
  std::string body;
  std::int64_t tokens = 0;  // estimated size: prompt and output tokens together
};

struct JobSubmission {
  JobId id;
  std::vector<JobItem> items;
};

enum class ResultState : std::uint8_t {
  kComplete,
  kDead,  // given up without a result
};

struct ItemResult {
  std::string item;
  ResultState state = ResultState::kComplete;
  std::string output;
};

// The row of the job table: what the job consists of, its owner and its progress.
struct JobRecord {
  JobId id;
  std::string route;
  std::string host;
  TeamId team;  // team whose key submitted the job; empty if no key was required
  std::uint32_t total = 0;
  std::uint32_t stored_results = 0;  // at positions 0 to stored_results - 1
  std::string done;  // one character per item: 'x' if its result is stored, else '.'
  NodeId owner;
  Incarnation owner_incarnation = 0;
  bool ended = false;  // ended early by the submitter
  StoreTime submitted{0};
  StoreTime due{0};                  // deadline for all results
  StoreTime expires{0};              // items may be given up after this
  std::uint64_t digest = 0;          // of the submission; the same id with other items is refused
  std::uint64_t config_version = 0;  // configuration in force when the job was accepted
  // Identifies the write that stored this row, so that a write whose response was lost can be
  // recognized as applied.
  Token token;

  [[nodiscard]] bool open() const { return !ended && stored_results < total; }
};

// --- Rows ------------------------------------------------------------------------

namespace ledger {

inline constexpr std::string_view kJobTable = "jobs";
inline constexpr std::string_view kItemTable = "job_items";
inline constexpr std::string_view kResultTable = "job_results";
inline constexpr std::string_view kProgressTable = "job_progress";

// Number of parts (partitions of the table service) that jobs are spread over. A part takes 300
// transactions a second, so 8 parts use all the throughput that the store as a whole allows. A
// starting process needs this many calls to list them.
inline constexpr int kParts = 8;
// Maximum bytes of a value in one row. A row holds 64 KiB, and this stays below that even if the
// store counts the size after base64 encoding.
inline constexpr std::size_t kPieceBytes = 45'000;
// Maximum number of pieces in one transaction, which holds 1 MB.
inline constexpr std::size_t kPiecesPerTransaction = 14;

[[nodiscard]] std::vector<std::string> Parts();
[[nodiscard]] std::string PartOf(const JobId& job);
[[nodiscard]] TableKey JobRecordKey(const JobId& job);

[[nodiscard]] std::string EncodeJobRecord(const JobRecord& record);
// Errors: kBadRequest, also for a row whose fields are inconsistent with each other.
[[nodiscard]] Result<JobRecord> DecodeJobRecord(std::string_view value);
// Why `later` can't be a later state of the job `known`; nothing if it can. The contents of a job
// never change, a stored result stays stored, and an ended job stays ended.
[[nodiscard]] std::optional<std::string_view> InvalidUpdateReason(const JobRecord& known,
                                                                  const JobRecord& later);

// The transactions that accept a job, in order. The job exists once the last one is committed.
[[nodiscard]] std::vector<TableTransaction> AcceptTransactions(const JobRecord& record,
                                                               const std::vector<JobItem>& items);
// The rows that hold the items of a job.
[[nodiscard]] TableRange ItemRange(const JobId& job);
// Skips rows under keys that AcceptTransactions doesn't write. Errors: kBadRequest.
[[nodiscard]] Result<std::vector<JobItem>> DecodeItems(const JobId& job,
                                                       const std::vector<TableRow>& rows);

// The rows that hold the results of a job from position `from` on.
[[nodiscard]] TableRange ResultRange(const JobId& job, std::uint32_t from);
[[nodiscard]] std::vector<TablePut> ResultRows(const JobId& job, std::uint32_t position,
                                               const ItemResult& result);
// The complete results at the start of a page that was read from position `from` on, in order.
// Skips a last result that the end of the page cuts off, and rows under keys that ResultRows
// doesn't write. Errors: kBadRequest.
[[nodiscard]] Result<std::vector<ItemResult>> DecodeResults(const JobId& job, std::uint32_t from,
                                                            const std::vector<TableRow>& rows);

// A piece of an item's output so far. The pieces of an item are append-only, until its output
// starts over: then they are written again from number 0 on, over those of the earlier output.
struct ProgressPiece {
  std::size_t item = 0;
  std::uint32_t number = 0;  // index among the item's pieces, from 0
  std::string text;          // the output that this piece adds
  std::string last_id;       // id of the last event in the text
  std::uint64_t events = 0;  // number of events in all pieces up to and including this one
  OutputSource source;       // that wrote the output; its service is empty if it isn't known
  std::uint32_t start = 0;   // how often the output has started over
};
[[nodiscard]] TableRange ProgressRange(const JobId& job);
[[nodiscard]] TablePut ProgressRow(const JobId& job, const ProgressPiece& piece);
// The pieces in order of items and numbers. Skips rows that can't be decoded, and the rows after
// them of the same item, since its output would have a gap. Skips rows that are left of an earlier
// output of the item. Calls `refused` with each skipped row
// and the reason.
using OnRefusedRow = std::function<void(const TableRow& row, std::string_view why)>;
[[nodiscard]] std::vector<ProgressPiece> DecodeProgress(const JobId& job,
                                                        const std::vector<TableRow>& rows,
                                                        const OnRefusedRow& refused);

// The value for JobRecord::digest.
[[nodiscard]] std::uint64_t SubmissionDigest(const JobSubmission& submission,
                                             const TeamId& team = {});

}  // namespace ledger

// --- Owner ------------------------------------------------------------------------

// The state that the owner of a job keeps: which items have a stored result, and which results
// and progress are still to be written. At most one write is in flight.
class OwnedJob {
 public:
  // Maximum number of results in one write; a transaction takes 100 rows and 1 MB.
  static constexpr std::size_t kMaxResultsPerWrite = 12;
  // Limit on the text in one write, results and progress together; a single result may exceed it.
  static constexpr std::size_t kMaxBytesPerWrite = 500'000;
  static constexpr std::size_t kMaxPiecesPerWrite = 40;

  OwnedJob(JobRecord record, RowVersion version, std::vector<JobItem> items);

  [[nodiscard]] const JobRecord& record() const { return record_; }
  [[nodiscard]] RowVersion version() const { return version_; }
  [[nodiscard]] const std::vector<JobItem>& items() const { return items_; }
  [[nodiscard]] bool HasStoredResult(std::size_t item) const { return record_.done[item] == 'x'; }
  // Whether the item's result is neither stored nor waiting to be written.
  [[nodiscard]] bool IsOpen(std::size_t item) const;

  // Sets the final result of an item; only the first call for an item has an effect.
  void Finish(std::size_t item, ItemResult result);
  // Queues progress for the next write, so that another owner can resume from it.
  void AddProgress(ledger::ProgressPiece piece);
  // Ends the job at the submitter's request, with the next write.
  void End() { end_requested_ = !record_.ended; }
  // The next write, unless there is nothing to write or a write is in flight.
  [[nodiscard]] std::optional<TableTransaction> NextWrite(const RandomBits& random);
  // Takes in the job's row as stored, received from the change feed or with a rejected write.
  // Returns false if this entry no longer owns the job.
  bool OnJobRecord(const JobRecord& record, RowVersion version);
  // The outcome of the write in flight; `version` is that of the rows written. After OnFailed
  // (FateUnknown, NotWritten or a rejection) NextWrite returns the same write again, unless
  // OnJobRecord has received a newer row.
  void OnCommitted(RowVersion version);
  void OnFailed();

  // Writes in a row that failed.
  [[nodiscard]] int consecutive_failures() const { return consecutive_failures_; }

  [[nodiscard]] bool writing() const { return in_flight_; }
  [[nodiscard]] bool all_written() const {
    return !write_ && unwritten_results_.empty() && unwritten_progress_.empty() && !end_requested_;
  }

 private:
  struct Write {
    JobRecord record;
    std::vector<std::pair<std::size_t, ItemResult>> results;
    std::vector<ledger::ProgressPiece> progress;
    RowVersion condition = 0;
    // Whether the write changes the job's row, which every entry reads through the change feed.
    // Progress matters only to the next owner: writing it without the job's row halves what all
    // entries read (with 50 jobs and 36 entries, to about 30 kB/s each).
    bool changes_row = true;
  };
  // Returns how many bytes of text the results have.
  std::size_t TakeResults(Write& write);
  // `bytes`: of the text that the write has already.
  void TakeProgress(Write& write, std::size_t bytes);
  [[nodiscard]] TableTransaction TransactionFor(const Write& write) const;
  void ApplyRecord(const JobRecord& record, RowVersion version);

  JobRecord record_;
  RowVersion version_;
  std::vector<JobItem> items_;
  std::map<std::string, std::size_t> item_index_;
  std::vector<std::pair<std::size_t, ItemResult>>
      unwritten_results_;  // to be written, in completion order
  std::vector<ledger::ProgressPiece> unwritten_progress_;
  std::vector<bool> finished_;
  bool end_requested_ = false;
  bool in_flight_ = false;
  int consecutive_failures_ = 0;
  std::optional<Write> write_;
};

}  // namespace figmill
