#pragma once

// The whole configuration as one JSON document in a file.

#include "figmill/client.h"

namespace figmill {

// Replaces the configuration in force by the file's. Returns the exit code.
[[nodiscard]] int ApplyFile(const ToolSettings& settings);

// Prints what ApplyFile would change. Returns 0 if nothing, 1 if something, else
// the exit code of the error.
[[nodiscard]] int DiffFile(const ToolSettings& settings);

}  // namespace figmill
