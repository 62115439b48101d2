#pragma once

// Counts calls to the table service and the bytes of their bodies, by table and kind of call. The
// calls of all entries share the service's limits, so these counters show which table uses them.

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "figmill/gateway.h"
#include "figmill/observe.h"

namespace figmill {

class StoreCallMetrics {
 public:
  // Calls about tables that are not in `tables` are counted together, so that the number of labels
  // is bounded.
  StoreCallMetrics(Metrics& metrics, const std::vector<std::string>& tables);

  // `bytes`: of the bodies of the request and the response.
  void Record(TableCallKind kind, std::string_view table, std::size_t bytes);

 private:
  static constexpr std::size_t kKinds = 4;
  struct TableCounters {
    std::array<Counter*, kKinds> calls{};
    std::array<Counter*, kKinds> bytes{};
  };
  static TableCounters CountersOf(Metrics& metrics, std::string_view table);

  std::map<std::string, TableCounters, std::less<>> by_table_;
  TableCounters others_;
};

}  // namespace figmill
