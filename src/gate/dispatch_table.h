#pragma once

// What became of every request id that arrived here, as long as it is
// remembered. Bounded in number and age: what was forgotten raises a horizon,
// and a dispatch stamped before the horizon is refused, since it may be a late
// copy of something forgotten.

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "figmill/gate.h"

namespace figmill::detail {

enum class Fate : std::uint8_t { kOpen, kNeverStarted, kFinished };

class DispatchTable {
 public:
  DispatchTable(std::size_t max_closed, Duration remember)
      : max_closed_(max_closed), remember_(remember) {}

  [[nodiscard]] std::optional<Fate> Find(const RequestId& request) const;
  // Opens a finished id again too, for one that takes its stream up.
  void Open(const RequestId& request);
  // kNeverStarted is a tombstone: a later arrival of the id must not run.
  void Close(const RequestId& request, Fate fate, Time now);
  void Sweep(Time now);
  // True if a dispatch of that stamp may be a copy of something forgotten.
  [[nodiscard]] bool MayBeForgotten(Time stamp) const;
  [[nodiscard]] std::size_t size() const { return known_.size(); }

 private:
  void ForgetOldest();

  std::size_t max_closed_;
  Duration remember_;
  struct Known {
    Fate fate = Fate::kOpen;
    Time closed;
  };
  std::unordered_map<RequestId, Known> known_;
  std::deque<std::pair<Time, RequestId>> closed_;  // oldest first
  std::optional<Time> horizon_;
};

}  // namespace figmill::detail
