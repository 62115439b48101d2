#include "figmill/base.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

TEST_CASE("every error kind has its own name, an error status and an error exit code") {
  std::set<std::string_view> names;
  for (int i = 0; i < kErrorKindCount; ++i) {
    const ErrorKindInfo& row = ErrorInfoOf(static_cast<ErrorKind>(i));
    CHECK(names.insert(row.name).second);
    CHECK(FindErrorKind(row.name) == row.kind);
    CHECK(row.http_status >= 400);
    CHECK(row.exit_code >= 2);
  }
}

TEST_CASE("an address is an IP address and a port, never a host name") {
  CHECK(IsOk(ParseAddress("127.0.0.1:80")));
  for (const char* bad : {"localhost:80", "127.0.0.1", "127.0.0:1", "127.0.0.1:65536",
                          "127.0.0.256:1", "1.2.3.4.5:1", "127.0.0.1:", ":1", "127.0.0.1:x"}) {
    CAPTURE(bad);
    CHECK_FALSE(IsOk(ParseAddress(bad)));
  }
}

TEST_CASE("a node that leaves moves only its own keys") {
  const std::vector<std::string> nodes = {"a", "b", "c", "d"};
  const auto owner = [](std::string_view key, const std::vector<std::string>& among) {
    return *std::max_element(among.begin(), among.end(), [&](const auto& x, const auto& y) {
      return RendezvousWeight(key, x) < RendezvousWeight(key, y);
    });
  };
  for (int i = 0; i < 200; ++i) {
    const std::string key = "job-" + std::to_string(i);
    const std::string before = owner(key, nodes);
    const std::string after = owner(key, {"a", "b", "c"});
    if (before != "d") CHECK(after == before);
  }
}
