#pragma once

// Decides what the end of a peer's side of a connection shows, before which all that it sent was
// read. No I/O.

#include <cstdint>

namespace figmill::detail {

// What is known of the connection at that time.
struct CloseEvidence {
  bool write_failed = false;  // the request could not be written
  bool written = false;       // the whole request was handed to the operating system
  // The peer's host has acknowledged all that was handed over.
  bool acknowledged = false;
  // The peer has reset the connection. The error of a reset is reported once: where the write of
  // the request consumes it, the read after it finds an orderly end.
  bool reset = false;
};

enum class CloseVerdict : std::uint8_t {
  kOrderly,    // the peer closed its side after it had received the whole request
  kReset,      // the answer may have been cut off
  kUndecided,  // a peer that has closed both sides resets the connection when more arrives
};
[[nodiscard]] CloseVerdict JudgeClose(const CloseEvidence& evidence);

}  // namespace figmill::detail
