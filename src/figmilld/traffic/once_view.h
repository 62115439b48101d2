#pragma once

// What keyed items need to know of the other processes, from the snapshot in
// force.

#include "figmilld/agent/once_agent.h"
#include "figmilld/control/control_shell.h"

namespace figmill {

// `control` must outlive the view.
[[nodiscard]] OnceView ViewOver(const ControlShell& control, Member self);

}  // namespace figmill
