#pragma once

// What keyed items need to know of the other processes, from the snapshot in
// force.

#include "figmilld/control_shell.h"
#include "figmilld/once_agent.h"

namespace figmill {

// `control` must outlive the view.
[[nodiscard]] OnceView ViewOver(const ControlShell& control, Member self);

}  // namespace figmill
