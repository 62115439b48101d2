#pragma once

// What keyed items need to know of the other processes, from the snapshot in
// force.

#include "figmilld/agent/once_agent_client.h"
#include "figmilld/control/control_shell.h"

namespace figmill {

// `control` must outlive the view.
[[nodiscard]] OnceMembershipView ViewOver(const ControlShell& control, Member self);

}  // namespace figmill
