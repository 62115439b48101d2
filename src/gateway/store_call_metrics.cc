#include "gateway/store_call_metrics.h"

namespace figmill {
namespace {

constexpr std::array<std::string_view, 4> kKindNames = {"commit", "read", "list_parts", "follow"};

}  // namespace

// Creates all counters at the start, so that a table without calls is exported as 0.
StoreCallMetrics::StoreCallMetrics(Metrics& metrics, const std::vector<std::string>& tables)
    : others_(CountersOf(metrics, "other")) {
  for (const std::string& table : tables) by_table_.emplace(table, CountersOf(metrics, table));
}

StoreCallMetrics::TableCounters StoreCallMetrics::CountersOf(Metrics& metrics,
                                                             std::string_view table) {
  static_assert(kKindNames.size() == kKinds);
  TableCounters counters;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const std::string labels =
        "table=\"" + std::string(table) + "\",kind=\"" + std::string(kKindNames[kind]) + "\"";
    counters.calls[kind] =
        &metrics.counter("figmill_store_calls_total", "Calls to the table service", labels);
    counters.bytes[kind] = &metrics.counter(
        "figmill_store_body_bytes_total", "Bytes of the bodies of these calls, both ways", labels);
  }
  return counters;
}

void StoreCallMetrics::Record(TableCallKind kind, std::string_view table, std::size_t bytes) {
  const auto found = by_table_.find(table);
  const TableCounters& counters = found == by_table_.end() ? others_ : found->second;
  const auto index = static_cast<std::size_t>(kind);
  counters.calls[index]->Add();
  counters.bytes[index]->Add(bytes);
}

}  // namespace figmill
