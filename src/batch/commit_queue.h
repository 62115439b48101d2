#pragma once

// Groups conditional writes into few transactions and determines the outcome of each
// write reliably.
//
// A response of the store may be lost after the write was applied, or the write may
// be applied late, after its outcome was read back. If it were treated as failed, a
// committed chunk would be processed twice; if treated as done, results would be
// missing. So a request keeps one token for all its attempts, every attempt is
// conditioned on the rows that it writes, and the token found in the row `token_key`
// decides.

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "batch/store_client.h"

namespace figmill::detail {

// The write was applied. `rows` holds those written rows that are known, always
// including the row `token_key`.
struct Applied {
  std::vector<Row> rows;
};
// A condition failed because of another writer; no part of the request is or will be
// applied.
struct Superseded {};
// Only with a deadline: the write was not applied or, if `outcome_unknown`, may have been.
struct CommitFailed {
  bool outcome_unknown = false;
  std::string reason;
};
using CommitResult = std::variant<Applied, Superseded, CommitFailed>;

struct CommitRequest {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::string token_key;  // key of a written row whose value contains the token
  Token token;
  std::function<void(const CommitResult&)> done;
};

// Returns the "token" member of a row's JSON value, or an empty token.
[[nodiscard]] Token TokenOf(std::string_view value);

class CommitQueue {
 public:
  // With `deadline`, a request that the store refuses at the first attempt isn't
  // retried, and one whose outcome is unknown is retried until `deadline`.
  explicit CommitQueue(StoreClient& store, std::optional<Time> deadline = std::nullopt)
      : store_(store), deadline_(deadline) {}

  void Submit(CommitRequest request);
  void Tick(Time now);
  [[nodiscard]] std::uint64_t transactions() const { return transactions_; }

 private:
  struct PendingRequest {
    CommitRequest request;
    bool maybe_applied = false;  // the response to an earlier attempt was lost
  };

  void SendNextGroup();
  void OnOutcome(const TransactionOutcome& outcome);
  void OnCommitted(const Committed& committed);
  void OnRejected(const Rejected& rejected);
  void OnNotWritten(const NotWritten& refused);
  void OnFateUnknown();
  // Reads the row `token_key`. If it contains the request's token, the write was applied;
  // otherwise the request is superseded or retried.
  void ReadTokenRow(PendingRequest pending, bool superseded_if_absent);
  void Requeue(PendingRequest pending);

  StoreClient& store_;
  std::optional<Time> deadline_;
  std::deque<PendingRequest> queue_;
  std::vector<PendingRequest> in_flight_;
  std::size_t token_reads_ = 0;  // reads of token rows; nothing is sent meanwhile
  bool send_singly_ = false;
  Duration backoff_{0};
  Time send_at_;
  std::uint64_t transactions_ = 0;
};

}  // namespace figmill::detail
