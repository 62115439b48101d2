#pragma once

// Statements typed at a terminal, with history and completion (readline).

#include "figmill/session.h"

namespace figmill {

// Returns the exit code of the last statement.
[[nodiscard]] int RunInteractive(const ToolSettings& settings, Session& session);

}  // namespace figmill
