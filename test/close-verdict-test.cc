#include <doctest/doctest.h>

#include <initializer_list>

#include "exchange/close_verdict.h"

using namespace figmill::detail;  // NOLINT(google-build-using-namespace): tests read better

TEST_CASE("a peer that has received the whole request closes in order") {
  CHECK(JudgeClose({.written = true, .acknowledged = true}) == CloseVerdict::kOrderly);
}

// Guards against a part of an answer that passes for the whole: the write of the request consumed
// the error of the reset.
TEST_CASE("a failed write or a reset socket is no orderly close") {
  for (const bool written : {false, true}) {
    for (const bool acknowledged : {false, true}) {
      CloseEvidence evidence{.written = written, .acknowledged = acknowledged};
      evidence.write_failed = true;
      CHECK(JudgeClose(evidence) == CloseVerdict::kReset);
      evidence.write_failed = false;
      evidence.reset = true;
      CHECK(JudgeClose(evidence) == CloseVerdict::kReset);
    }
  }
}

// Guards against the same where the peer closes first and resets when the rest of the request
// arrives, and against whole answers that are broken off before their request is written.
TEST_CASE("a close before the request has arrived shows nothing yet") {
  CHECK(JudgeClose({}) == CloseVerdict::kUndecided);
  CHECK(JudgeClose({.acknowledged = true}) == CloseVerdict::kUndecided);
  CHECK(JudgeClose({.written = true}) == CloseVerdict::kUndecided);
}
