#pragma once

// The stand-in platform's state, without I/O: a transactional table, objects,
// a host list that lags, and meters that hold operations to a rate.

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill::standin {

// Rows with versions out of one counter, so that a version never comes back
// for a row that was deleted and made again.
class TableModel {
 public:
  // Committed or Rejected, never another outcome.
  [[nodiscard]] TransactionOutcome Commit(const Transaction& transaction);
  [[nodiscard]] std::optional<Row> Read(std::string_view key) const;
  [[nodiscard]] std::vector<Row> Scan(const RowRange& range) const;

 private:
  struct Cell {
    std::string value;
    RowVersion version = 0;
  };
  std::map<std::string, Cell, std::less<>> rows_;
  RowVersion last_version_ = 0;
};

// Spaces operations so that at most `rate` pass in a second.
class Meter {
 public:
  explicit Meter(double rate_per_second) : rate_(rate_per_second) {}
  // How long an operation that came now would wait.
  [[nodiscard]] Duration wait(Time now) const { return std::max(free_at_ - now, Duration(0)); }
  // Books `amount` and returns how long it has to wait for its turn.
  Duration Book(Time now, double amount = 1);

 private:
  double rate_;
  Time free_at_{};
};

// What readers see is `lag` old.
class HostListModel {
 public:
  explicit HostListModel(Duration lag) : lag_(lag) {}
  void Set(Time now, ListedHost host);
  // While stale, readers see what they saw when it began.
  void SetStale(Time now, bool stale);
  [[nodiscard]] std::vector<ListedHost> List(Time now);

 private:
  struct Change {
    Time at;
    ListedHost host;
  };
  Duration lag_;
  bool stale_ = false;
  std::deque<Change> pending_;
  std::map<NodeId, ListedHost> visible_;
};

// Faults for the next `count` writes with a key under `prefix`.
struct WriteFault {
  std::string prefix;
  std::uint32_t count = 0;
  // Whether it strikes a write of these keys; uses it up by one if so.
  bool Strikes(const std::vector<std::string>& keys);
};

}  // namespace figmill::standin
