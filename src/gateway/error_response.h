#pragma once

// This entry's own answers to callers.

#include "figmill/base.h"
#include "figmill/runtime.h"

namespace figmill {

// A problem document. A time to come back is said in seconds with a fraction:
// whole seconds are too coarse for callers who have five of them.
[[nodiscard]] HttpResponse ErrorResponseFor(const Error& error);

}  // namespace figmill
