#pragma once

// Settings of the tool, from flags and environment variables.

#include <string>
#include <vector>

#include "figmill/base.h"

namespace figmill {

enum class ToolTask : std::uint8_t { kStatements, kApply, kDiff, kExplain, kCheckSettings };

struct ToolSettings {
  ToolTask task = ToolTask::kStatements;
  std::vector<Address> entries;         // tried in this order
  std::vector<std::string> statements;  // of -c; empty: read from standard input
  std::string file;                     // of apply and diff
  std::string if_version;               // of apply; empty: none
  std::string explained;                // id of a request, item or job, of explain
  std::vector<std::string> log_files;   // of explain; empty: standard input
  std::string author;                   // who orders, for the log
  std::string history;                  // file of the interactive history
  Duration timeout{60'000'000};         // of one request
  bool json = false;
};

// Prints and exits on --help (0) or a mistake (2), as CLI11 does.
[[nodiscard]] ToolSettings ParseToolSettings(int argc, char** argv);

// One line each, for --check-settings.
[[nodiscard]] std::string Shown(const ToolSettings& settings);

}  // namespace figmill
