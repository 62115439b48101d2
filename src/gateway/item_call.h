#pragma once

// Builds the HTTP call for an item of a batch job.

#include "figmill/gateway.h"
#include "figmill/ledger.h"
#include "figmill/quarantine.h"
#include "figmill/runtime.h"

namespace figmill {

// Whether a header carries the caller's key or names its team.
[[nodiscard]] bool IsTeamHeader(const HeaderNames& names, std::string_view header);

// The call without its address and without the headers that differ from run to run.
[[nodiscard]] HttpCall MakeItemCall(const HeaderNames& names, const JobRecord& job,
                                    const JobItem& item);
[[nodiscard]] RequestFingerprint FingerprintOf(const JobRecord& job, const HttpCall& call);

}  // namespace figmill
