#pragma once

// A lease's row in the store. Private to the control library.

#include <optional>
#include <string>
#include <string_view>

#include "figmill/control.h"

namespace figmill::detail {

[[nodiscard]] std::string LeaseKey(std::string_view name);
[[nodiscard]] std::optional<LeaseRow> LeaseOf(const std::optional<Row>& row);
// Writes `row` if the lease still has this version.
[[nodiscard]] CommitRows LeaseWrite(std::string_view name, RowVersion version, const LeaseRow& row);

}  // namespace figmill::detail
