#pragma once

#include <functional>

#include "figmill/runtime.h"

namespace figmill::standin {

// Runs `task` once after `delay`; unlike a Timer it needs no owner.
void RunLater(Loop& loop, Duration delay, std::function<void()> task);

}  // namespace figmill::standin
