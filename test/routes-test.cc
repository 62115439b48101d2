#include "figmill/routes.h"

#include <doctest/doctest.h>

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

Route RouteTo(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "Farm.example";
  route.prefix = prefix;
  route.split = {{ServiceName{"s"}, 1}};
  return route;
}

RoutingConfig ConfigOf(std::vector<Route> routes) {
  RoutingConfig config;
  config.version = 3;
  config.routes = std::move(routes);
  config.services = {{ServiceName{"s"}, "/health", 10, std::nullopt}};
  return config;
}

}  // namespace

TEST_CASE("the longest prefix of the host wins") {
  const RouteTable table(
      ConfigOf({RouteTo("all", "/"), RouteTo("a", "/a/"), RouteTo("ab", "/a/b/")}));
  CHECK(table.Find("farm.example", "/a/b/c")->name == "ab");
  CHECK(table.Find("FARM.example:8080", "/a/x")->name == "a");
  CHECK(table.Find("farm.example", "/ab")->name == "all");
  CHECK(table.Find("other.example", "/a/") == nullptr);
}

TEST_CASE("an invalid configuration is rejected with the name of the invalid entry") {
  const auto why = [](RoutingConfig config) {
    const Result<Ok> result = Validate(config);
    return IsOk(result) ? std::string("valid") : ErrorOf(result).detail;
  };
  CHECK(why(ConfigOf({RouteTo("a", "/a/")})) == "valid");
  CHECK(why(ConfigOf({RouteTo("a", "/a")})).find("route 'a'") == 0);
  Route unknown = RouteTo("u", "/u/");
  unknown.split = {{ServiceName{"none"}, 1}};
  CHECK(why(ConfigOf({unknown})).find("unknown service 'none'") != std::string::npos);
  Route weightless = RouteTo("w", "/w/");
  weightless.split.front().weight = 0;
  CHECK(why(ConfigOf({weightless})).find("weights of 0") != std::string::npos);
}

TEST_CASE("a split route distributes requests by the weights of its services") {
  Route route = RouteTo("a", "/a/");
  route.split = {{ServiceName{"x"}, 9}, {ServiceName{"y"}, 1}};
  int to_y = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    if (ChooseService(route, draw).value == "y") ++to_y;
  }
  CHECK(to_y == 100);
}

TEST_CASE("a stream is idempotent only when it can be resumed") {
  Route route = RouteTo("a", "/a/");
  route.kind = RouteKind::kStream;
  CHECK_FALSE(IsIdempotent(route));
  route.resumable = true;
  CHECK(IsIdempotent(route));
}
