#pragma once

// Values as log lines have them.

#include <chrono>
#include <string>

#include "figmill/base.h"

namespace figmill {

[[nodiscard]] inline std::string Milliseconds(Duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace figmill
