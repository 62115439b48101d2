#pragma once

// A send whose connection was lost before the response was complete.

#include <cstdint>
#include <string>
#include <vector>

#include "figmill/quarantine.h"
#include "figmill/relay.h"

namespace figmill {

struct LostSend {
  std::string id;                     // of the request attempt or of the batch item
  std::vector<Fingerprint> suspects;  // the request, then the parts of its prompt
  BackendAddress backend;
  Time started_at{};
  std::uint64_t events = 0;  // of the answer that arrived in this run
  // The backend server was listed as leaving, so its end says nothing about what it ran.
  bool leaving = false;
  bool online = false;  // not a batch item
};

}  // namespace figmill
