#pragma once

// Formats values for log lines.

#include <chrono>
#include <string>

#include "figmill/base.h"

namespace figmill {

[[nodiscard]] inline std::string Milliseconds(Duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace figmill
