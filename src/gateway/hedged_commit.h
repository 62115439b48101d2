#pragma once

// A conditional write whose answer may be lost or late: the same write is sent
// again beside the first, and the first answer that decides it counts.

#include <functional>

#include "figmill/runtime.h"
#include "figmill/tables.h"

namespace figmill {

// The store answers in some 10 ms. Without an answer for this long it is lost or
// the store slow; a second copy costs one call and takes no effect twice, as both
// have the same condition.
inline constexpr Duration kHedgeAfter{120'000};
inline constexpr int kMaxCopies = 4;

// `done` gets TableRejected also when an earlier copy took effect: the caller
// knows its own write by its token. NotWritten only if no copy can have taken
// effect.
void HedgedCommit(Loop& loop, SharedTables& tables, TableTransaction transaction,
                  std::function<void(TableOutcome)> done);

// The row that a rejected write found, if it is there.
[[nodiscard]] const TableRow* RowIn(const TableRejected& rejected, const TableKey& at);

}  // namespace figmill
