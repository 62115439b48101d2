#pragma once

// An in-memory fake of the platform's store, with fault injection.

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "figmill/control.h"

namespace figmill::fake {

// The fault that the next commit suffers.
enum class Fault : std::uint8_t {
  kNone,
  kAnswerLost,   // takes effect, the answer is lost
  kRequestLost,  // takes no effect, the outcome is unknown
  kRequestLate,  // takes effect at DeliverLate(), the answer is lost
  kRefused,      // reported as not written
};

class Store {
 public:
  TransactionOutcome Commit(const Transaction& transaction) {
    if (down) return NotWritten{"down"};
    const Fault fault = std::exchange(next, Fault::kNone);
    if (fault == Fault::kRefused) return NotWritten{"refused"};
    if (fault == Fault::kRequestLost) return FateUnknown{"timed out"};
    if (fault == Fault::kRequestLate) {
      late_ = transaction;
      return FateUnknown{"timed out"};
    }
    TransactionOutcome outcome = Execute(transaction);
    if (fault == Fault::kAnswerLost) return FateUnknown{"timed out"};
    return outcome;
  }
  void DeliverLate() {
    if (late_) (void)Execute(*std::exchange(late_, std::nullopt));
  }
  Result<std::optional<Row>> Read(const std::string& key) const {
    if (down) return Error{ErrorKind::kStoreUnavailable, "down"};
    const auto found = rows.find(key);
    if (found == rows.end()) return std::optional<Row>{};
    return std::optional<Row>(found->second);
  }
  Result<std::vector<Row>> Scan(const RowRange& range) const {
    if (down) return Error{ErrorKind::kStoreUnavailable, "down"};
    std::vector<Row> out;
    for (auto row = rows.upper_bound(range.after); row != rows.end(); ++row) {
      if (row->first.compare(0, range.prefix.size(), range.prefix) != 0) continue;
      if (out.size() == range.limit) break;
      out.push_back(row->second);
    }
    return out;
  }

  std::map<std::string, Row> rows;
  std::map<std::string, std::string> objects;
  Fault next = Fault::kNone;
  bool down = false;

 private:
  TransactionOutcome Execute(const Transaction& transaction) {
    Rejected rejected;
    for (const RowCondition& condition : transaction.conditions) {
      const auto found = rows.find(condition.key);
      const RowVersion version = found == rows.end() ? 0 : found->second.version;
      if (version == condition.version) continue;
      rejected.current.push_back(found == rows.end() ? Row{condition.key, "", 0} : found->second);
    }
    if (!rejected.current.empty()) return rejected;
    Committed committed;
    for (const RowWrite& write : transaction.writes) {
      if (const auto* put = std::get_if<PutRow>(&write)) {
        Row& row = rows[put->key];
        row = Row{put->key, put->value, ++version_};
        committed.rows.push_back(row);
      } else {
        rows.erase(std::get<DeleteRow>(write).key);
      }
    }
    return committed;
  }

  RowVersion version_ = 0;
  std::optional<Transaction> late_;
};

inline RandomBits Random(std::uint64_t seed) {
  // SplitMix64.
  return [state = seed]() mutable {
    std::uint64_t z = (state += 0x9E3779B97F4A7C15U);
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9U;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBU;
    return z ^ (z >> 31U);
  };
}

}  // namespace figmill::fake
