#pragma once

// What is sent to a backend server for an item of a batch job.

#include "figmill/gateway.h"
#include "figmill/ledger.h"
#include "figmill/quarantine.h"
#include "figmill/runtime.h"

namespace figmill {

// Whether a header carries a caller's key or says whose request it is.
[[nodiscard]] bool TellsTeam(const WireNames& names, std::string_view header);

// Without a backend server, and without what differs from run to run.
[[nodiscard]] HttpCall ItemCall(const WireNames& names, const JobRecord& job, const JobItem& item);
[[nodiscard]] RequestFingerprint FingerprintOf(const JobRecord& job, const HttpCall& call);

}  // namespace figmill
