#pragma once

// Tracks the rows of a shared table that can't be used because another writer wrote invalid
// values. Not thread-safe.

#include <map>
#include <string>
#include <string_view>

#include "figmill/observe.h"
#include "figmill/tables.h"

namespace figmill {

class RefusedRows {
 public:
  // Limit on the keys whose reasons are stored; refusals of further keys are logged each time,
  // within the rate limit of all log lines.
  static constexpr std::size_t kMaxRemembered = 4096;

  struct Kind {
    std::string_view label;  // `kind` of the metrics
    std::string_view event;  // name of the log line
    std::string_view field;  // of the log line that names the row
  };

  RefusedRows(Metrics& metrics, Kind kind);

  // Counts each refusal, and logs a row's first one and each one for another reason: if all were
  // logged, a writer that repeats its row with each heartbeat would hide all other lines.
  void Refuse(const std::string& key, RowVersion version, std::string_view why);
  // Call it when the row can be used again or was removed.
  void Clear(const std::string& key);
  [[nodiscard]] bool Contains(const std::string& key) const { return reasons_.contains(key); }

 private:
  Kind kind_;
  Counter& refused_;
  Gauge& unreadable_;
  std::map<std::string, std::string> reasons_;
};

}  // namespace figmill
