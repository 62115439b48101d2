#pragma once

// The agent's JSON-RPC methods (docs/PROTOCOLS.md).

#include "figmill/runtime.h"
#include "figmilld/agent/dispatch_handler.h"

namespace figmill {

// `dispatch_handler` outlives `server`.
void BindAgentRpc(RpcServer& server, DispatchHandler& dispatch_handler);

}  // namespace figmill
