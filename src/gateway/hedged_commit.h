#pragma once

// Hedged conditional writes: while a response is late or lost, the same write is sent
// again in parallel, and the first conclusive response is the outcome.

#include <functional>

#include "figmill/runtime.h"
#include "figmill/tables.h"

namespace figmill {

// The store responds in about 10 ms. When no response came within this time, it is lost or
// the store is slow; a second copy costs one call and can't take effect twice, as both
// have the same condition.
inline constexpr Duration kHedgeAfter{120'000};
inline constexpr int kMaxCopies = 4;

// `done` gets TableRejected also when an earlier copy took effect: the writer
// recognises its own write by the token in the row. It gets NotWritten only if no copy
// can have taken effect.
void HedgedCommit(Loop& loop, SharedTables& tables, TableTransaction transaction,
                  std::function<void(TableOutcome)> done);

// The current row at `at` that a rejected write found; null if there is none.
[[nodiscard]] const TableRow* RowIn(const TableRejected& rejected, const TableKey& at);

}  // namespace figmill
