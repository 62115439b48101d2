#pragma once

// Rows of a shared table that can't be used, because another writer made them or made
// them so. Not thread-safe.

#include <map>
#include <string>
#include <string_view>

#include "figmill/observe.h"
#include "figmill/tables.h"

namespace figmill {

class RefusedRows {
 public:
  // Keys whose reasons are remembered; those beyond are logged each time, within the bound
  // that all log lines have.
  static constexpr std::size_t kMaxRemembered = 4096;

  struct Kind {
    std::string_view label;  // of the metrics
    std::string_view event;  // name of the log line
    std::string_view field;  // that names the row in it
  };

  RefusedRows(Metrics& metrics, Kind kind);

  // Logs the first refusal of a row and each one for another reason: a writer that repeats
  // itself with each heartbeat would hide all other lines. Counts all of them.
  void Refuse(const std::string& key, RowVersion version, std::string_view why);
  // The row is one that can be used, or is gone.
  void Forget(const std::string& key);
  [[nodiscard]] bool Contains(const std::string& key) const { return reasons_.contains(key); }

 private:
  Kind kind_;
  Counter& refused_;
  Gauge& unreadable_;
  std::map<std::string, std::string> reasons_;
};

}  // namespace figmill
