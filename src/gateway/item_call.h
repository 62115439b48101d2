#pragma once

// Builds the HTTP call for an item of a batch job.

#include <vector>

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
// What may be to blame if a backend server of the service crashes: the item, then the parts of its
// prompt.
[[nodiscard]] std::vector<Fingerprint> SuspectsOf(const HeaderNames& names, const JobRecord& job,
                                                  const JobItem& item, const ServiceName& service);

}  // namespace figmill
