#pragma once

// Conditional writes, grouped into few transactions, each with its fate found
// out for certain.
//
// What goes wrong: an answer of the store is lost after the write took effect,
// or the write arrives late, after its outcome was read back. Taken as failed, a
// committed chunk would be worked twice; taken as done, results would be
// missing. So a request keeps one token over all its attempts, every attempt is
// conditioned on the rows it writes, and the token in the `proof` row decides.

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "batch/store_client.h"

namespace figmill::detail {

// The write is in the store. `rows` holds what is known of the written rows, and
// always the proof row.
struct Applied {
  std::vector<Row> rows;
};
// Another writer was first; nothing of the request is or will be in the store.
struct Superseded {};
// Only with a time to give up: not in the store, or (`unknown`) maybe.
struct GaveUp {
  bool unknown = false;
  std::string why;
};
using CommitResult = std::variant<Applied, Superseded, GaveUp>;

struct CommitRequest {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::string proof;  // key of a written row whose value holds the token
  Token token;
  std::function<void(const CommitResult&)> done;
};

// The "token" member of a row's value; empty when there is none.
[[nodiscard]] Token TokenOf(std::string_view value);

class CommitQueue {
 public:
  // With `give_up`, a request that the store refuses at first isn't repeated, and
  // one whose fate is unknown is given up at that time.
  explicit CommitQueue(StoreClient& store, std::optional<Time> give_up = std::nullopt)
      : store_(store), give_up_(give_up) {}

  void Submit(CommitRequest request);
  void Tick(Time now);
  [[nodiscard]] std::uint64_t transactions() const { return transactions_; }

 private:
  struct Entry {
    CommitRequest request;
    bool maybe_applied = false;  // an earlier attempt's answer was lost
  };

  void Pump();
  void OnOutcome(const TransactionOutcome& outcome);
  void OnCommitted(const Committed& committed);
  void OnRejected(const Rejected& rejected);
  void OnNotWritten(const NotWritten& refused);
  void OnFateUnknown();
  // Reads the proof row: ours means applied; else lost, or the request goes again.
  void ReadProof(Entry entry, bool lost_if_absent);
  void Requeue(Entry entry);

  StoreClient& store_;
  std::optional<Time> give_up_;
  std::deque<Entry> waiting_;
  std::vector<Entry> flying_;
  std::size_t unsettled_ = 0;  // proofs being read; nothing is sent meanwhile
  bool one_by_one_ = false;
  Duration backoff_{0};
  Time send_at_;
  std::uint64_t transactions_ = 0;
};

}  // namespace figmill::detail
