#pragma once

// State of every request id that arrived here, until its record is evicted. The
// closed records are bounded in number and age. Each eviction raises a horizon, and
// a dispatch stamped before the horizon is refused, since it may be a late copy of
// a request whose record was evicted.

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "figmill/gate.h"

namespace figmill::detail {

enum class RecordState : std::uint8_t { kOpen, kNeverStarted, kFinished };

class DispatchTable {
 public:
  DispatchTable(std::size_t max_closed_records, Duration retention)
      : max_closed_records_(max_closed_records), retention_(retention) {}

  [[nodiscard]] std::optional<RecordState> Find(const RequestId& request) const;
  // Also reopens a finished id, for a sender that reattaches to its stream.
  void Open(const RequestId& request);
  // kNeverStarted is a tombstone: a later arrival of the id must not run.
  void Close(const RequestId& request, RecordState state, Time now);
  void EvictExpired(Time now);
  // True if a dispatch of that stamp may be a copy of a request whose record was
  // evicted.
  [[nodiscard]] bool MayBeEvicted(Time stamp) const;
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  void EvictOldest();

  std::size_t max_closed_records_;
  Duration retention_;
  struct Record {
    RecordState state = RecordState::kOpen;
    Time closed;
  };
  std::unordered_map<RequestId, Record> records_;
  std::deque<std::pair<Time, RequestId>> closed_order_;  // oldest first
  std::optional<Time> eviction_horizon_;
};

}  // namespace figmill::detail
