#include "exchange/close_verdict.h"

namespace figmill::detail {

CloseVerdict JudgeClose(const CloseEvidence& evidence) {
  if (evidence.write_failed || evidence.reset) return CloseVerdict::kReset;
  const bool received = evidence.written && evidence.acknowledged;
  return received ? CloseVerdict::kOrderly : CloseVerdict::kUndecided;
}

}  // namespace figmill::detail
