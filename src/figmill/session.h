#pragma once

// Runs statements and prints what comes of them.

#include <istream>
#include <string>
#include <string_view>

#include "figmill/client.h"
#include "figmill/query.h"

namespace figmill {

class Session {
 public:
  explicit Session(const ToolSettings& settings) : settings_(settings), client_(settings) {}

  // Returns 0 or the exit code of the error, which it has printed.
  [[nodiscard]] int Run(std::string_view statement);
  // One statement a line; blank lines and those that start with # don't count.
  // Stops at the first that fails.
  [[nodiscard]] int RunScript(std::istream& script);

 private:
  [[nodiscard]] Result<query::QueryAnswer> Ask(std::string_view statement, Effect effect);
  [[nodiscard]] int RunAwait(std::string_view statement);
  [[nodiscard]] int Print(const Result<query::QueryAnswer>& answer) const;

  const ToolSettings& settings_;
  ToolClient client_;
};

// Prints the error to standard error and returns its exit code.
[[nodiscard]] int PrintError(const Error& error);

}  // namespace figmill
