#pragma once

// The two kinds of process; each runs until it is told to stop.

#include "figmilld/settings.h"

namespace figmill {

// Returns the exit code.
[[nodiscard]] int RunEntry(const Settings& settings);
[[nodiscard]] int RunAgent(const Settings& settings);

}  // namespace figmill
