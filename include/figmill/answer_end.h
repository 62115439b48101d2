#pragma once

// Decides whether an answer is whole that has neither a length nor chunks. Such an answer ends with
// its connection, and the end of the process that sent it looks the same. No I/O.

#include <cstdint>
#include <optional>
#include <string_view>

#include "figmill/relay.h"

namespace figmill {

// What is known after the connection of such an answer was closed between two events.
struct EndEvidence {
  std::uint64_t events = 0;  // of the answer, over all of its runs
  // Limit on the tokens of the output, and so on its events; nullopt: unknown.
  std::optional<std::uint64_t> max_output_tokens = std::nullopt;
  // The incarnation that the answer was asked of.
  BackendIncarnation asked;
  // The close arrived at this host after this time. It may be read late, if this process was
  // suspended or its caller takes the answer slowly. Clock: Loop::SinceBoot. nullopt: unknown.
  std::optional<Duration> closed_after = std::nullopt;
  // When the backend server answered a call that was made after the close, by the same clock;
  // nullopt: it did not. A connection alone shows nothing: a process that ends may close its
  // connections before the port they came in by.
  std::optional<Duration> answered_at = std::nullopt;
  // The incarnation that this answer names; unknown if it names none.
  BackendIncarnation answered_by = {};
};

// A process that has ended is not replaced by another one at its address within this time.
inline constexpr Duration kShortestRestart{300'000};

enum class Completeness : std::uint8_t {
  kWhole,
  // The process that sent the answer has ended, or nothing shows that it goes on. Another one may
  // have started at its address, under its id.
  kCutOff,
};
[[nodiscard]] std::string_view ToString(Completeness found);

// Whether the answer has as many events as it can have. Each event has a token at least.
[[nodiscard]] bool HasAllOutput(const EndEvidence& evidence);
// An answer counts as whole only if something shows that it is. Why the backend server may have
// ended, or that it was about to, shows nothing about the answer.
[[nodiscard]] Completeness JudgeEnd(const EndEvidence& evidence);

// The maximum number of output tokens, from "PROMPT,OUTPUT"; nullopt if it can't be read.
[[nodiscard]] std::optional<std::uint64_t> ParseMaxOutputTokens(std::string_view tokens);

}  // namespace figmill
