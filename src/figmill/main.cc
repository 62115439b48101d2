#include <unistd.h>

#include <iostream>

#include "figmill/config_file.h"
#include "figmill/explain.h"
#include "figmill/interactive.h"
#include "figmill/session.h"
#include "figmill/settings.h"

namespace figmill {
namespace {

int RunStatements(const ToolSettings& settings) {
  Session session(settings);
  for (const std::string& statement : settings.statements) {
    const int code = session.Run(statement);
    if (code != 0) return code;
  }
  if (!settings.statements.empty()) return 0;
  if (isatty(STDIN_FILENO) != 0) return RunInteractive(settings, session);
  return session.RunScript(std::cin);
}

int RunTool(const ToolSettings& settings) {
  switch (settings.task) {
    case ToolTask::kCheckSettings:
      std::cout << Shown(settings);
      return 0;
    case ToolTask::kApply:
      return ApplyFile(settings);
    case ToolTask::kDiff:
      return DiffFile(settings);
    case ToolTask::kExplain:
      return RunExplain(settings);
    case ToolTask::kStatements:
      break;
  }
  return RunStatements(settings);
}

}  // namespace
}  // namespace figmill

int main(int argc, char** argv) {
  return figmill::RunTool(figmill::ParseToolSettings(argc, argv));
}
