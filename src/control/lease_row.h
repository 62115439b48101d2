#pragma once

// ParseStatus and writing of lease rows in the store. Private to the control library.

#include <optional>
#include <string>
#include <string_view>

#include "figmill/control.h"

namespace figmill::detail {

[[nodiscard]] std::string LeaseKey(std::string_view name);
[[nodiscard]] std::optional<LeaseRow> LeaseFromRow(const std::optional<Row>& row);
// Writes `row` if the stored row still has this version.
[[nodiscard]] CommitRows ConditionalLeaseWrite(std::string_view name, RowVersion version,
                                               const LeaseRow& row);

}  // namespace figmill::detail
