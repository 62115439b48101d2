#pragma once

// The two kinds of process; each runs until it is told to stop.

#include "figmill/control.h"
#include "figmilld/settings.h"

namespace figmill {

// Returns the exit code.
[[nodiscard]] int RunEntry(const Settings& settings);
[[nodiscard]] int RunAgent(const Settings& settings);

// This process as others get to know it. The incarnation is the wall clock's
// milliseconds: a later process in the same slot gets a higher number, since a
// process takes longer than that to start.
[[nodiscard]] Member SelfAsMember(const Settings& settings);

}  // namespace figmill
