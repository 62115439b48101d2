#pragma once

// What is sent to a backend server for an item of a batch job.

#include "figmill/ledger.h"
#include "figmill/quarantine.h"
#include "figmill/runtime.h"

namespace figmill {

// Without a backend server, and without what differs from run to run.
[[nodiscard]] HttpCall ItemCall(const JobHead& job, const JobItem& item);
[[nodiscard]] RequestFingerprint FingerprintOf(const HttpCall& call);

}  // namespace figmill
