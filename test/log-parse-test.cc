#include <doctest/doctest.h>

#include "figmill/observe.h"
#include "observe/log_line.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

TEST_CASE("a log line comes back with its time, source and fields") {
  const std::string text = detail::LogLine(
      "request", {{"request", "r1"}, {"why", "all \"places\"\nare taken = full"}, {"backend", ""}});
  const auto record = ParseLogLine("  27.5792 front-1 2026-12-02T21:32:44.000120Z I " + text);
  REQUIRE(record);
  CHECK(record->source == "front-1");
  CHECK(record->event == "request");
  CHECK(record->Field("request") == "r1");
  CHECK(record->Field("why") == "all \"places\"\nare taken = full");
  CHECK(record->Field("backend").empty());
  const auto later = ParseLogLine("2026-12-02T21:32:45.000120Z I event=stopped node=n");
  REQUIRE(later);
  CHECK(later->source.empty());
  CHECK(later->at - record->at == std::chrono::seconds(1));
}

TEST_CASE("what is no log line is left out") {
  CHECK_FALSE(ParseLogLine(""));
  CHECK_FALSE(ParseLogLine("Segmentation fault"));
  CHECK_FALSE(ParseLogLine("yesterday I event=request request=r1"));
}
