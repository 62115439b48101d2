#pragma once

// Batch jobs whose state lies in a shared table service: accepted once, each item
// listed once, results at positions that stay. Any entry may take a job, and each
// job has one owner at a time, which runs its items and writes their results.
// Exactly once rests on the condition of each write on the job's row, never on who
// believes to be the owner. No I/O.

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
  std::int64_t tokens = 0;  // of prompt and output together; an estimate of its size
};

struct JobSubmission {
  JobId id;
  std::vector<JobItem> items;
};

enum class ResultState : std::uint8_t {
  kComplete,
  kDead,  // given up
};

struct ItemResult {
  std::string item;
  ResultState state = ResultState::kComplete;
  std::string output;
};

// The one row that says what a job is and how far it has come.
struct JobHead {
  JobId id;
  std::string route;
  std::string host;
  TeamId team;  // whose key submitted it; empty: callers needed none
  std::uint32_t total = 0;
  std::uint32_t listed = 0;  // results at positions 0 to listed - 1
  std::string done;          // an 'x' for each item that is listed, else '.'
  NodeId owner;
  Incarnation owner_incarnation = 0;
  bool ended = false;  // by its sender
  StoreTime submitted{0};
  StoreTime due{0};                  // all results
  StoreTime expires{0};              // items may be given up after this
  std::uint64_t digest = 0;          // of the submission: the same id with other items is refused
  std::uint64_t config_version = 0;  // in force when it was accepted
  // Marks the write, so that one whose answer was lost is known again.
  Token token;

  [[nodiscard]] bool open() const { return !ended && listed < total; }
};

// --- Rows ------------------------------------------------------------------------

namespace ledger {

inline constexpr std::string_view kJobTable = "jobs";
inline constexpr std::string_view kItemTable = "job_items";
inline constexpr std::string_view kResultTable = "job_results";
inline constexpr std::string_view kProgressTable = "job_progress";

// Parts that jobs are spread over: a part takes 300 transactions a second, so
// that these take all that the store as a whole allows, and a process that starts
// lists them with as many calls.
inline constexpr int kParts = 8;
// Bytes of a value in one row, under the 64 KiB that a row holds also when those
// are counted after base64.
inline constexpr std::size_t kPieceBytes = 45'000;
// Pieces in one transaction, which holds 1 MB.
inline constexpr std::size_t kPiecesPerTransaction = 14;

[[nodiscard]] std::vector<std::string> Parts();
[[nodiscard]] std::string PartOf(const JobId& job);
[[nodiscard]] TableKey HeadKey(const JobId& job);

[[nodiscard]] std::string EncodeHead(const JobHead& head);
// Errors: kBadRequest, also for a row that contradicts itself.
[[nodiscard]] Result<JobHead> DecodeHead(std::string_view value);
// Why a later row can't be of the same job; nothing if it can. What a job consists of
// never changes, and what is listed or ended stays so.
[[nodiscard]] std::optional<std::string_view> Contradiction(const JobHead& known,
                                                            const JobHead& later);

// The transactions that accept a job, in order; only the last one makes it exist.
[[nodiscard]] std::vector<TableTransaction> Accept(const JobHead& head,
                                                   const std::vector<JobItem>& items);
// Where the items of a job lie.
[[nodiscard]] TableRange ItemRange(const JobId& job);
// Rows under keys that Accept doesn't write are left out. Errors: kBadRequest.
[[nodiscard]] Result<std::vector<JobItem>> DecodeItems(const JobId& job,
                                                       const std::vector<TableRow>& rows);

// Results from a position on.
[[nodiscard]] TableRange ResultRange(const JobId& job, std::uint32_t from);
[[nodiscard]] std::vector<TablePut> ResultRows(const JobId& job, std::uint32_t position,
                                               const ItemResult& result);
// The whole results at the start of a page that was read from position `from` on, in
// order; a last one that the page cuts is left out, and so are rows under keys that
// ResultRows doesn't write. Errors: kBadRequest.
[[nodiscard]] Result<std::vector<ItemResult>> DecodeResults(const JobId& job, std::uint32_t from,
                                                            const std::vector<TableRow>& rows);

// What an item's runs have given so far, in pieces that are only added to.
struct ProgressPiece {
  std::size_t item = 0;
  std::uint32_t number = 0;  // of the item's pieces, from 0
  std::string text;          // more of it
  std::string last_id;       // of the last event in it
  std::uint64_t events = 0;  // in all pieces up to this one
};
[[nodiscard]] TableRange ProgressRange(const JobId& job);
[[nodiscard]] TablePut ProgressRow(const JobId& job, const ProgressPiece& piece);
// In order of items and pieces. A row that is none is left out, and with it what follows of
// its item, which would have a hole; `refused` is told of each with the reason.
using OnRefusedRow = std::function<void(const TableRow& row, std::string_view why)>;
[[nodiscard]] std::vector<ProgressPiece> DecodeProgress(const JobId& job,
                                                        const std::vector<TableRow>& rows,
                                                        const OnRefusedRow& refused);

// For JobHead::digest.
[[nodiscard]] std::uint64_t DigestOf(const JobSubmission& submission, const TeamId& team = {});

}  // namespace ledger

// --- Owner ------------------------------------------------------------------------

// A job as its owner keeps it: which items are listed, which results wait to be
// written, and one write at a time.
class OwnedJob {
 public:
  // Results in one write; a transaction takes 100 entries and 1 MB.
  static constexpr std::size_t kMaxResultsPerWrite = 12;
  static constexpr std::size_t kMaxBytesPerWrite = 500'000;
  static constexpr std::size_t kMaxPiecesPerWrite = 40;

  OwnedJob(JobHead head, RowVersion version, std::vector<JobItem> items);

  [[nodiscard]] const JobHead& head() const { return head_; }
  [[nodiscard]] RowVersion version() const { return version_; }
  [[nodiscard]] const std::vector<JobItem>& items() const { return items_; }
  [[nodiscard]] bool IsListed(std::size_t item) const { return head_.done[item] == 'x'; }
  // Neither listed nor waiting to be.
  [[nodiscard]] bool IsOpen(std::size_t item) const;

  // The item has its final result; only the first counts.
  void Finish(std::size_t item, ItemResult result);
  // To be kept with the next write, so that another owner can go on from there.
  void Keep(ledger::ProgressPiece piece);
  // The sender ends the job.
  void End() { wants_end_ = !head_.ended; }
  // The next write, if there is something to write and none is under way.
  [[nodiscard]] std::optional<TableTransaction> NextWrite(const RandomBits& random);
  // The owner row as it stands in the store, by a feed or a rejected write. False:
  // this entry does not own the job any more.
  bool OnHead(const JobHead& head, RowVersion version);
  // The outcome of the write; `version` is that of the rows written. After FateUnknown or
  // NotWritten the same write is given out again by NextWrite.
  void OnCommitted(RowVersion version);
  void OnFailed() { in_flight_ = false; }

  [[nodiscard]] bool writing() const { return in_flight_; }
  [[nodiscard]] bool settled() const {
    return !write_ && pending_.empty() && progress_.empty() && !wants_end_;
  }

 private:
  struct Write {
    JobHead head;
    std::vector<std::pair<std::size_t, ItemResult>> results;
    std::vector<ledger::ProgressPiece> progress;
    RowVersion condition = 0;
    // It changes the job's row, of which each entry hears. What runs have given is of
    // use to the next owner alone: written without the row, it halves what all entries
    // read (50 jobs before 36 entries: some 30 kB a second each).
    bool changes_row = true;
  };
  void TakeResults(Write& write);
  void TakeProgress(Write& write);
  [[nodiscard]] TableTransaction TransactionFor(const Write& write) const;
  void Adopt(const JobHead& head, RowVersion version);

  JobHead head_;
  RowVersion version_;
  std::vector<JobItem> items_;
  std::map<std::string, std::size_t> index_;
  std::vector<std::pair<std::size_t, ItemResult>> pending_;  // in order of completion
  std::vector<ledger::ProgressPiece> progress_;
  std::vector<bool> finished_;
  bool wants_end_ = false;
  bool in_flight_ = false;
  std::optional<Write> write_;
};

}  // namespace figmill
