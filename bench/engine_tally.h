#pragma once

// What the engines say they generated, by class: read from the stand-ins'
// record of executions, which no part of figmill writes.

#include <functional>
#include <memory>
#include <vector>

#include "figmill/runtime.h"

namespace figmill::bench {

struct Tally {
  std::uint64_t online_tokens = 0;
  std::uint64_t batch_tokens = 0;
  std::uint64_t runs = 0;
};

// Adds up over all engines; an engine that can't be asked makes it an error.
// Batch runs are those whose item key names a job ("job/index").
void TakeTally(HttpClient& client, const std::vector<Address>& engines,
               std::function<void(Result<Tally>)> done);

}  // namespace figmill::bench
