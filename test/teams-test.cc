#include "figmill/teams.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "figmill/routes.h"
#include "platform/adapter.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

std::vector<Header> Authorization(const std::string& value) {
  return {{"Host", "farm.example"}, {"authorization", value}};
}

// The key in the headers; empty if there is none.
std::string KeyIn(const std::vector<Header>& headers) {
  const Result<std::string_view> key = ParseBearer(headers);
  if (!IsOk(key)) {
    CHECK(ErrorOf(key).kind == ErrorKind::kUnauthorized);
    CHECK(ErrorOf(key).ran == Ran::kNo);
    return "";
  }
  return std::string(std::get<std::string_view>(key));
}

Team TeamWith(const std::string& name, std::vector<std::string> keys) {
  Team team;
  team.name.value = name;
  team.keys = std::move(keys);
  return team;
}

std::string ConfigWith(const std::string& teams) {
  return R"({"version":3,"routes":[],"services":[],"tenants":)" + teams + "}";
}

}  // namespace

TEST_CASE("a bearer key is accepted whatever the case of its scheme") {
  CHECK(KeyIn(Authorization("Bearer k1")) == "k1");
  CHECK(KeyIn(Authorization("bEARER k1")) == "k1");
  CHECK(KeyIn(Authorization("  Bearer   k1 \t")) == "k1");
  CHECK(KeyIn(Authorization("Bearer a-b._~+/9==")) == "a-b._~+/9==");
}

TEST_CASE("anything but a single bearer key is refused") {
  for (const char* value :
       {"", "Bearer", "Bearer ", "Bearerk1", "Basic k1", "k1", "Bearer k1 k2", "Bearer k1,k2",
        "Bearer \"k1\"", "Bearer k\x01", "Bearer k\xc3\xa9", "Bearer\tk1", "Bearer\n k1"}) {
    CAPTURE(value);
    CHECK(KeyIn(Authorization(value)).empty());
  }
  CHECK(KeyIn({{"Host", "farm.example"}}).empty());
  std::vector<Header> twice = Authorization("Bearer k1");
  twice.push_back({"Authorization", "Bearer k1"});
  CHECK(KeyIn(twice).empty());
}

// Guards against a parser that reads past the end of the value or accepts a malformed key.
TEST_CASE("a key parsed from random bytes is always well-formed") {
  std::mt19937 random(7);
  const std::string signs = "BbEeAaRr  \t-._~+/=kK1,\"\\\x01\x7f\xff";
  for (int i = 0; i < 200'000; ++i) {
    std::string value = i % 2 == 0 ? "Bearer " : "";
    for (auto n = random() % 24; n > 0; --n) value += signs[random() % signs.size()];
    const std::string key = KeyIn(Authorization(value));
    if (key.empty()) continue;
    CHECK(value.find(key) != std::string::npos);
    CHECK(key.find_first_of(" \t,\"\\\x01\x7f\xff") == std::string::npos);
  }
}

TEST_CASE("a team is found by its keys and by nothing else") {
  const TeamDirectory teams({TeamWith("rye", {"k1", "k2"}), TeamWith("shore", {"k3"})}, 42);
  REQUIRE(teams.FindByKey("k2") != nullptr);
  CHECK(teams.FindByKey("k2")->name.value == "rye");
  CHECK(teams.FindByKey("k3")->name.value == "shore");
  for (const char* key : {"", "k", "k4", "K1", "k1 ", "k12", "rye"}) {
    CAPTURE(key);
    CHECK(teams.FindByKey(key) == nullptr);
  }
  CHECK(teams.Find(TeamId{"shore"}) != nullptr);
  CHECK(teams.Find(TeamId{"k1"}) == nullptr);
}

// Guards against a timing attack: the time of a refusal must not show how much of a key is right.
TEST_CASE("a wrong key is refused, whatever part of it matches a valid one") {
  const std::string key(64, 'k');
  const TeamDirectory teams({TeamWith("rye", {key})}, 42);
  std::string first = key;
  first.front() = 'x';
  std::string last = key;
  last.back() = 'x';
  CHECK(teams.FindByKey(first) == nullptr);
  CHECK(teams.FindByKey(last) == nullptr);
  CHECK(teams.FindByKey(key) != nullptr);
}

TEST_CASE("the teams of a configuration are parsed") {
  const auto adapter = users::MakeAdapter();
  const Result<RoutingConfig> config = adapter->ParseConfig(
      ConfigWith(R"([{"name":"rye","apiKeys":["k1","k2"],"priority":1,"ratePerS":91.5,"burst":10},)"
                 R"({"name":"shore","apiKeys":[]}])"));
  REQUIRE(IsOk(config));
  const auto& teams = *std::get<RoutingConfig>(config).teams;
  REQUIRE(teams.size() == 2);
  CHECK(teams[0].keys == std::vector<std::string>{"k1", "k2"});
  CHECK(teams[0].rank == 1);
  CHECK(teams[0].requests_per_second == 91.5);
  CHECK(teams[0].burst == 10);
  CHECK(teams[0].limited());
  CHECK_FALSE(teams[1].limited());
  CHECK_FALSE(teams[1].rank);
}

// Guards against a partly parsed configuration: a key shared by two teams, a limit that admits
// everything, a name that adds a header.
TEST_CASE("a configuration with an invalid team is refused as a whole") {
  const auto adapter = users::MakeAdapter();
  for (const char* teams : {
           R"({})",
           R"("rye")",
           R"([7])",
           R"([{"apiKeys":["k1"]}])",
           R"([{"name":"","apiKeys":["k1"]}])",
           R"([{"name":7,"apiKeys":["k1"]}])",
           R"([{"name":"a\r\nb","apiKeys":["k1"]}])",
           R"([{"name":"rye"}])",
           R"([{"name":"rye","apiKeys":"k1"}])",
           R"([{"name":"rye","apiKeys":[7]}])",
           R"([{"name":"rye","apiKeys":[""]}])",
           R"([{"name":"rye","apiKeys":["k1","k1"]}])",
           R"([{"name":"rye","apiKeys":["k1"]},{"name":"rye","apiKeys":["k2"]}])",
           R"([{"name":"rye","apiKeys":["k1"]},{"name":"shore","apiKeys":["k1"]}])",
           R"([{"name":"rye","apiKeys":["k1"],"ratePerS":-1}])",
           R"([{"name":"rye","apiKeys":["k1"],"ratePerS":"9"}])",
           R"([{"name":"rye","apiKeys":["k1"],"burst":-0.5}])",
           R"([{"name":"rye","apiKeys":["k1"],"priority":1.5}])",
           R"([{"name":"rye","apiKeys":["k1"],"priority":-1}])",
       }) {
    CAPTURE(teams);
    const Result<RoutingConfig> config = adapter->ParseConfig(ConfigWith(teams));
    REQUIRE_FALSE(IsOk(config));
    CHECK(ErrorOf(config).detail.find("k1") == std::string::npos);
  }
}

// Guards against keys in the log line of a configuration that can't be parsed.
TEST_CASE("the error of a malformed configuration quotes no key") {
  const auto adapter = users::MakeAdapter();
  const std::string text = ConfigWith(R"([{"name":"rye","apiKeys":["secretkey"]}])");
  for (std::size_t end = 1; end < text.size(); ++end) {
    const Result<RoutingConfig> config = adapter->ParseConfig(text.substr(0, end));
    REQUIRE_FALSE(IsOk(config));
    CHECK(ErrorOf(config).detail.find("secret") == std::string::npos);
  }
}

TEST_CASE("a lease is valid from the time of the request, less its margin") {
  KeyLease lease(std::chrono::seconds(5));
  CHECK_FALSE(lease.IsValid(std::chrono::seconds(1)));
  lease.Confirm(std::chrono::seconds(1));
  CHECK(lease.IsValid(std::chrono::milliseconds(4999)));
  CHECK_FALSE(lease.IsValid(std::chrono::seconds(5)));
  // A response to an earlier request does not shorten the lease.
  lease.Confirm(std::chrono::seconds(3));
  lease.Confirm(std::chrono::seconds(2));
  CHECK(lease.Age(std::chrono::seconds(4)) == std::chrono::seconds(1));
}

TEST_CASE("without a bound a lease is always valid") {
  const KeyLease lease(std::nullopt);
  CHECK(lease.IsValid(std::chrono::hours(1)));
  CHECK_FALSE(lease.Age(std::chrono::hours(1)));
}
