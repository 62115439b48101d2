#include "online/request_errors.h"

namespace figmill::detail {

bool MaySucceedAtOtherAgent(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kUnknownService:
    case ErrorKind::kOverloaded:
    case ErrorKind::kNoBackend:
    case ErrorKind::kLeaving:
    case ErrorKind::kStaleOrders:
    case ErrorKind::kBackendFailed:
    case ErrorKind::kBrokenAnswer:
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kInternal:
      return true;
    default:
      return false;
  }
}

bool MaySucceedLater(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kOverloaded:
    case ErrorKind::kStaleOrders:
    case ErrorKind::kBackendFailed:
    case ErrorKind::kBrokenAnswer:
      return true;
    default:
      return false;
  }
}

Ran CombineRan(Ran a, Ran b) {
  if (a == Ran::kYes || b == Ran::kYes) return Ran::kYes;
  if (a == Ran::kUnknown || b == Ran::kUnknown) return Ran::kUnknown;
  return Ran::kNo;
}

Error DeadlineError() {
  return Error{ErrorKind::kDeadlineExceeded, "the deadline passed"};
}

Error AgentSilentError() {
  return Error{ErrorKind::kBackendFailed,
               "the agent stopped responding before the answer was complete"};
}

}  // namespace figmill::detail
