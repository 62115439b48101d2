#include <doctest/doctest.h>

#include <memory>

#include "figmill/runtime.h"
#include "runtime/loop_core.h"
#include "standin/platform.h"

using namespace figmill;           // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::standin;  // NOLINT(google-build-using-namespace)

namespace {

Transaction PutIf(const std::string& key, RowVersion version, const std::string& value) {
  return Transaction{{{key, version}}, {PutRow{key, value}}};
}

RowVersion VersionOf(const TransactionOutcome& outcome) {
  return std::get<Committed>(outcome).rows.at(0).version;
}

// A platform and its client on one loop.
struct Fixture {
  Loop loop;
  Platform platform{loop, PlatformSettings{.latency = Duration(0), .host_lag = Duration(0)}};
  std::unique_ptr<HttpServer> server;
  HttpClient client{loop};
  std::unique_ptr<HttpPlatform> store;

  Fixture() {
    auto listening = HttpServer::Listen(
        loop, Address{"127.0.0.1", 0},
        [this](const HttpRequest& request, const auto& reply) { platform.Handle(request, reply); });
    server = std::move(ValueOf(listening));
    store = std::make_unique<HttpPlatform>(client, server->address(), kTimeout);
  }

  // Runs the loop until `start`'s callback has come.
  template <typename T>
  T Await(const std::function<void(std::function<void(T)>)>& start) {
    std::optional<T> result;
    start([&](T value) {
      result.emplace(std::move(value));
      loop.Stop();
    });
    CHECK_FALSE(result);  // never inside the call
    loop.core().io.restart();
    loop.Run();
    return *std::move(result);
  }
  TransactionOutcome Commit(Transaction transaction) {
    return Await<TransactionOutcome>(
        [&](auto done) { store->Commit(std::move(transaction), std::move(done)); });
  }
  std::optional<Row> Read(const std::string& key) {
    auto row =
        Await<Result<std::optional<Row>>>([&](auto done) { store->Read(key, std::move(done)); });
    return ValueOf(row);
  }
  void SetFaults(const std::string& json) {
    HttpCall call{.method = "POST", .to = server->address(), .target = "/standin/faults"};
    call.body = json;
    const auto answer = Await<Result<HttpResponse>>(
        [&](auto done) { client.Fetch(std::move(call), std::move(done)); });
    REQUIRE(ValueOf(answer).status == 200);
  }

  static constexpr Duration kTimeout{300'000};
};

}  // namespace

TEST_CASE("all conditions hold and all writes take effect, or nothing does") {
  TableModel table;
  const RowVersion first = VersionOf(table.Commit(PutIf("a", 0, "1")));
  const TransactionOutcome lost =
      table.Commit({{{"a", first}, {"b", 7}}, {PutRow{"a", "2"}, PutRow{"c", "3"}}});
  REQUIRE(std::holds_alternative<Rejected>(lost));
  CHECK(std::get<Rejected>(lost).current == std::vector<Row>{{"b", "", 0}});
  CHECK(table.Read("a")->value == "1");
  CHECK_FALSE(table.Read("c"));
}

TEST_CASE("a version never comes back, not even over a deletion") {
  TableModel table;
  const RowVersion first = VersionOf(table.Commit(PutIf("a", 0, "1")));
  CHECK(std::holds_alternative<Committed>(table.Commit({{{"a", first}}, {DeleteRow{"a"}}})));
  CHECK(VersionOf(table.Commit(PutIf("a", 0, "1"))) > first);
  CHECK(std::holds_alternative<Rejected>(table.Commit(PutIf("a", first, "2"))));
}

TEST_CASE("a scan gives the rows of its prefix in order, page by page") {
  TableModel table;
  for (const char* key : {"b/2", "a/1", "b/1", "b/3", "c/1"}) {
    VersionOf(table.Commit(PutIf(key, 0, key)));
  }
  const auto page = table.Scan({.prefix = "b/", .limit = 2});
  REQUIRE(page.size() == 2);
  CHECK(page[0].key == "b/1");
  const auto rest = table.Scan({.prefix = "b/", .after = page[1].key});
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].key == "b/3");
}

TEST_CASE("a stale host list shows what it showed when it went stale") {
  HostListModel hosts(Duration(2'000));
  const Time start{};
  hosts.Set(start, ListedHost{.node = NodeId{"a"}});
  CHECK(hosts.List(start + Duration(1'999)).empty());
  hosts.SetStale(start + Duration(2'000), true);
  hosts.Set(start + Duration(2'000), ListedHost{.node = NodeId{"b"}});
  CHECK(hosts.List(start + Duration(9'000)).size() == 1);
  hosts.SetStale(start + Duration(9'000), false);
  CHECK(hosts.List(start + Duration(9'000)).size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "rows, objects and hosts come back as they were written") {
  const RowVersion version = VersionOf(Commit(PutIf("job/a b", 0, R"({"token":"õ"})")));
  CHECK(Read("job/a b") == Row{"job/a b", R"({"token":"õ"})", version});
  CHECK_FALSE(Read("job/none"));
  const auto rejected = Commit(PutIf("job/a b", version + 1, "x"));
  REQUIRE(std::holds_alternative<Rejected>(rejected));
  CHECK(std::get<Rejected>(rejected).current.at(0).version == version);

  const std::string bytes("\0\xff results", 10);
  CHECK(IsOk(Await<Result<Ok>>([&](auto done) { store->Put("results/é+1", bytes, done); })));
  const auto got = Await<Result<std::string>>([&](auto done) { store->Get("results/é+1", done); });
  CHECK(ValueOf(got) == bytes);
  const auto none = Await<Result<std::string>>([&](auto done) { store->Get("results/2", done); });
  CHECK(ErrorOf(none).kind == ErrorKind::kNotFound);
}

TEST_CASE_FIXTURE(Fixture, "a write whose answer is lost has an unknown fate, though it is there") {
  // Symptom: an item ran twice, as its claim was held for not written.
  // Events: the store takes the write; its answer is lost, or a gateway puts an
  // error page in its place.
  // Cause: silence, or a status of 5xx, read as a refusal.
  SetFaults(R"({"lose_answers": {"prefix": "once/", "count": 1}})");
  CHECK(std::holds_alternative<FateUnknown>(Commit(PutIf("once/a", 0, "mine"))));
  CHECK(Read("once/a")->value == "mine");

  SetFaults(R"({"garble_answers": {"prefix": "once/", "count": 1}})");
  CHECK(std::holds_alternative<FateUnknown>(Commit(PutIf("once/b", 0, "mine"))));
  CHECK(Read("once/b")->value == "mine");

  SetFaults(R"({"drop_writes": {"prefix": "once/", "count": 1}})");
  CHECK(std::holds_alternative<FateUnknown>(Commit(PutIf("once/c", 0, "mine"))));
  CHECK_FALSE(Read("once/c"));
}

TEST_CASE_FIXTURE(Fixture, "only what was refused or never sent counts as not written") {
  SetFaults(R"({"down": ["table"]})");
  CHECK(std::holds_alternative<NotWritten>(Commit(PutIf("a", 0, "x"))));
  SetFaults(R"({"down": [], "hang": ["table"]})");
  CHECK(std::holds_alternative<FateUnknown>(Commit(PutIf("a", 0, "x"))));
  SetFaults(R"({"hang": []})");
  CHECK_FALSE(Read("a"));

  // The platform refuses text that JSON can't carry.
  CHECK(std::holds_alternative<NotWritten>(Commit(PutIf("a", 0, "\xff"))));

  store = std::make_unique<HttpPlatform>(client, Address{"127.0.0.1", 1}, kTimeout);
  CHECK(std::holds_alternative<NotWritten>(Commit(PutIf("a", 0, "x"))));
}
