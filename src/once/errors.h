#pragma once

// Errors that a caller gets when its keyed item has no outcome.

#include "figmill/base.h"

namespace figmill::detail {

inline constexpr Duration kRetryAfter{1'000'000};

[[nodiscard]] inline Error StoreDown() {
  return Error{ErrorKind::kStoreUnavailable,
               "the item must be recorded before it runs, and the store can't be reached", Ran::kNo,
               kRetryAfter};
}

[[nodiscard]] inline Error StillRunning() {
  return Error{ErrorKind::kConflict, "an earlier request with this key is still running",
               Ran::kUnknown, kRetryAfter};
}

[[nodiscard]] inline Error ContentMismatch() {
  return Error{ErrorKind::kConflict, "the key was used with other content", Ran::kNo};
}

[[nodiscard]] inline Error DisconnectedBeforeSend() {
  return Error{ErrorKind::kCancelled, "the caller disconnected before the item was sent", Ran::kNo};
}

[[nodiscard]] inline Error OutcomeNotRecorded() {
  return Error{ErrorKind::kStoreUnavailable, "the item ran, and its outcome isn't recorded yet",
               Ran::kYes, kRetryAfter};
}

[[nodiscard]] inline Error OutcomeUnknown() {
  return Error{ErrorKind::kOutcomeUnknown,
               "the item may have run and its answer is lost; it will not be run again",
               Ran::kUnknown};
}

}  // namespace figmill::detail
