#pragma once

// The agent's JSON-RPC methods (docs/PROTOCOLS.md).

#include "figmill/runtime.h"
#include "figmilld/agent/agent_gate.h"

namespace figmill {

// `gate` outlives `server`.
void BindAgentOrders(RpcServer& server, AgentGate& gate);

}  // namespace figmill
