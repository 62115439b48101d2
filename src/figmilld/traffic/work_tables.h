#pragma once

// Jobs, items and old versions of the configuration, read from the store.

#include <functional>

#include "figmill/control.h"
#include "figmill/platform.h"
#include "figmill/query.h"

namespace figmill {

using TableDone = std::function<void(Result<query::Table>)>;

// Jobs that meet the selection. How many items are done is counted from the
// chunks' rows, so only for the last kMaxCountedJobs that are left; beyond, the
// cells stay empty. Errors: kStoreUnavailable, kTooLarge.
inline constexpr std::size_t kMaxCountedJobs = 200;
void ReadJobs(TableStore& table, const query::Selection& selection, TableDone done);

// Finished items of a job. Errors: kNotFound, kStoreUnavailable, kTooLarge.
void ReadJobItems(TableStore& table, ObjectStore& objects, const JobId& job,
                  const query::Selection& selection, TableDone done);

// Items with a key of their own. Errors: kStoreUnavailable, kTooLarge.
void ReadKeyedItems(TableStore& table, const query::Selection& selection, TableDone done);

// The log's records after `since`, as far as it is kept. Errors:
// kStoreUnavailable, kTooLarge.
void ReadLog(TableStore& table, Sequence since, TableDone done);

// The fold as it stood at `at`. Errors: kNotFound when the log no longer reaches
// back that far, kStoreUnavailable.
void ReadFoldAt(TableStore& table, ObjectStore& objects, Sequence at,
                std::function<void(Result<std::shared_ptr<const ControlState>>)> done);

}  // namespace figmill
