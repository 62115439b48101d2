#pragma once

// Keys and rows of the control log in the store. Private to the control library.

#include <string>
#include <string_view>

#include "figmill/control.h"

namespace figmill::detail {

inline constexpr std::string_view kLogPrefix = "log/";
inline constexpr std::string_view kSnapshotKey = "log-snapshot";

// The row that commits a snapshot of the state.
struct SnapshotRow {
  Token token;
  Sequence sequence = 0;
  Sequence previous = 0;  // the snapshot before; its object is kept for slow readers
  Sequence deleted = 0;   // rows up to this sequence may be deleted
};
[[nodiscard]] Result<SnapshotRow> ParseSnapshotRow(std::string_view json);
[[nodiscard]] std::string ToJson(const SnapshotRow& row);
[[nodiscard]] std::string SnapshotObjectKey(Sequence sequence);

}  // namespace figmill::detail
