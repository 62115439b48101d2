#pragma once

// Online work as an object, to be run later, maybe by another entry.

#include <string>
#include <string_view>

#include "figmilld/online_work.h"

namespace figmill {

[[nodiscard]] std::string SerializeWork(const OnlineWork& work);
// Without a request id and a deadline, which each run gets anew. Errors:
// kInternal, when the bytes were not written by figmill.
[[nodiscard]] Result<OnlineWork> ParseStoredWork(std::string_view bytes);

}  // namespace figmill
