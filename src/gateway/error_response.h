#pragma once

// Error responses that this entry itself sends to callers.

#include "figmill/base.h"
#include "figmill/runtime.h"

namespace figmill {

// A problem document. Retry-After has a fraction of a second: whole seconds are too coarse for
// callers whose deadline is five seconds.
[[nodiscard]] HttpResponse ErrorResponseFor(const Error& error);

}  // namespace figmill
