#pragma once

// What became of a request, a batch item or a batch job, told from log lines. Needs no
// server: the processes may be long gone.

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "figmill/observe.h"
#include "figmill/settings.h"

namespace figmill {

struct Story {
  std::vector<std::string> steps;  // in the order of time
  std::string conclusion;          // empty: no line names the id
};

// `records` in any order.
[[nodiscard]] Story Explain(std::string_view id, std::vector<LoggedLine> records);

// Reads the files of `settings`, or standard input when it names none, and prints the
// story. Returns 0, or 1 when no line names the id, or 2 when a file can't be read.
[[nodiscard]] int RunExplain(const ToolSettings& settings);

}  // namespace figmill
