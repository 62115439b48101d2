#pragma once

// How the kinds of errors affect the next step of a request.

#include "figmill/base.h"

namespace figmill::detail {

// Whether another agent may succeed; the other kinds apply to all agents.
[[nodiscard]] bool MaySucceedAtOtherAgent(ErrorKind kind);
// Whether the same agent may succeed after a short delay.
[[nodiscard]] bool MaySucceedLater(ErrorKind kind);
// Combines the states of several attempts: yes > unknown > no.
[[nodiscard]] Ran CombineRan(Ran a, Ran b);
[[nodiscard]] Error DeadlineError();
[[nodiscard]] Error AgentSilentError();

}  // namespace figmill::detail
