#pragma once

// Carries team limits' shares between entries (docs/PROTOCOLS.md, `share`).

#include "figmill/online.h"
#include "figmill/runtime.h"

namespace figmill {

class LimitShares {
 public:
  // Serves `share` on `rpc`; asks the teams' homes periodically.
  LimitShares(Loop& loop, HttpClient& client, RpcServer& rpc, NodeId self, TeamLimits& limits);

 private:
  void Ask();
  Result<std::string> OnShare(std::string_view params);

  HttpClient& client_;
  NodeId self_;
  TeamLimits& limits_;
  TeamShareAllocator homes_;
  Timer timer_;
};

}  // namespace figmill
