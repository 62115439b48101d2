#include "gateway/refused_rows.h"

namespace figmill {
namespace {

std::string KindLabel(std::string_view kind) {
  return "kind=\"" + std::string(kind) + "\"";
}

}  // namespace

RefusedRows::RefusedRows(Metrics& metrics, Kind kind)
    : kind_(kind),
      refused_(metrics.counter("figmill_rows_refused_total",
                               "Changes of shared rows that could not be used",
                               KindLabel(kind.label))),
      unreadable_(metrics.gauge("figmill_rows_unreadable", "Shared rows that can't be used now",
                                KindLabel(kind.label))) {}

void RefusedRows::Refuse(const std::string& key, RowVersion version, std::string_view why) {
  refused_.Add();
  const auto found = reasons_.find(key);
  if (found != reasons_.end() && found->second == why) return;
  if (found != reasons_.end()) {
    found->second = why;
  } else if (reasons_.size() < kMaxRemembered) {
    reasons_.emplace(key, why);
    unreadable_.Set(static_cast<double>(reasons_.size()));
  }
  Log(LogLevel::kError, kind_.event,
      {{kind_.field, key}, {"row_version", std::to_string(version)}, {"why", std::string(why)}});
}

void RefusedRows::Clear(const std::string& key) {
  if (reasons_.erase(key) == 0) return;
  unreadable_.Set(static_cast<double>(reasons_.size()));
}

}  // namespace figmill
