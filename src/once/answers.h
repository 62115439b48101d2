#pragma once

// What a caller is told when a keyed item has no outcome to give.

#include "figmill/base.h"

namespace figmill::detail {

inline constexpr Duration kAskAgainAfter{1'000'000};

[[nodiscard]] inline Error StoreDown() {
  return Error{ErrorKind::kStoreUnavailable,
               "the item must be recorded before it runs, and the store can't be reached", Ran::kNo,
               kAskAgainAfter};
}

[[nodiscard]] inline Error StillRunning() {
  return Error{ErrorKind::kConflict, "an earlier request with this key is still running",
               Ran::kUnknown, kAskAgainAfter};
}

[[nodiscard]] inline Error OtherContent() {
  return Error{ErrorKind::kConflict, "the key was used with other content", Ran::kNo};
}

[[nodiscard]] inline Error CallerLeft() {
  return Error{ErrorKind::kCancelled, "the caller left before the item was sent", Ran::kNo};
}

[[nodiscard]] inline Error NotRecorded() {
  return Error{ErrorKind::kStoreUnavailable, "the item ran, and its outcome isn't recorded yet",
               Ran::kYes, kAskAgainAfter};
}

[[nodiscard]] inline Error OutcomeUnknown() {
  return Error{ErrorKind::kOutcomeUnknown,
               "the item may have run and its answer is lost; it will not be run again",
               Ran::kUnknown};
}

}  // namespace figmill::detail
