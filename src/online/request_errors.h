#pragma once

// What the kinds of errors mean for a request's next step.

#include "figmill/base.h"

namespace figmill::detail {

// Another agent may do better; the other kinds hold everywhere.
[[nodiscard]] bool MayGoElsewhere(ErrorKind kind);
// The same agent may do better in a moment.
[[nodiscard]] bool PassesSoon(ErrorKind kind);
// yes > unknown > no: what is true of several attempts together.
[[nodiscard]] Ran Worse(Ran a, Ran b);
[[nodiscard]] Error DeadlinePassed();
[[nodiscard]] Error Silent();

}  // namespace figmill::detail
