// Entries that follow a table through relays, over HTTP on loopback, before an in-memory store.

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "gateway-fakes.h"
#include "gateway/feed_relay.h"
#include "gateway/relayed_tables.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr const char* kTable = "t";
// What a change may take where a relay fails: the bound of a configuration is 2 s.
constexpr Duration kLateChange{1'600'000};

struct Relay {
  Relay(Loop& loop, fake::TableData& data)
      : tables(loop, data),
        feeds(std::make_unique<FeedRelay>(loop, tables,
                                          std::vector<FeedRelay::Table>{{kTable, {""}}}, metrics)) {
    auto listening =
        HttpServer::Listen(loop, {"127.0.0.1", 0},
                           [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
                             ++asked;
                             if (!feeds) return reply->Abort();
                             replies.push_back(reply);
                             if (!frozen) feeds->OnRequest(request, std::move(reply));
                           });
    REQUIRE(IsOk(listening));
    server = std::move(ValueOf(listening));
  }
  // Breaks all connections off, as the kernel does for a process that was killed.
  void Kill() {
    for (const auto& reply : replies) reply->Abort();
    feeds.reset();
  }
  fake::Tables tables;  // this relay's own connection to the store
  Metrics metrics;
  std::unique_ptr<FeedRelay> feeds;
  std::unique_ptr<HttpServer> server;
  std::vector<std::shared_ptr<HttpReply>> replies;
  int asked = 0;
  bool frozen = false;  // requests get no answer
};

struct Fixture {
  Loop loop;
  fake::TableData data;
  fake::Tables operator_tables{loop, data};
  Relay first{loop, data};
  Relay second{loop, data};
  fake::Tables direct{loop, data};  // the follower's own connection to the store
  NoRetryHttpClient client{loop};
  Metrics metrics;
  TrafficMetrics traffic{metrics};
  RelayedTables relayed{direct, client, metrics, traffic};
  TableFollower follower{loop, relayed, kTable, {""}, [](const TableMirror::Change&) {}, [] {}};

  Fixture() {
    relayed.SetRelays({first.server->address(), second.server->address()});
    Put("a", "1");
    follower.Start();
    AwaitValue("a", "1");
    // The relay lists the table at the follower's version. Had it listed a later one, it would
    // refuse, and the second relay would be asked.
    fake::RunUntil(loop, [this] { return first.asked > 0; });
    fake::RunFor(loop, Duration{100'000});
    Put("a", "2");
    AwaitValue("a", "2");
    fake::RunFor(loop, Duration{100'000});
  }
  void Put(const std::string& key, const std::string& value) {
    operator_tables.Commit({{}, {{{kTable, "", key}, value}}, {}}, [](const TableOutcome&) {});
  }
  void Remove(const std::string& key) {
    operator_tables.Commit({{}, {}, {{kTable, "", key}}}, [](const TableOutcome&) {});
  }
  [[nodiscard]] std::string Value(const std::string& key) const {
    const TableRow* row = follower.mirror().Find({kTable, "", key});
    return row == nullptr ? "none" : row->value;
  }
  void AwaitValue(const std::string& key, const std::string& value,
                  Duration timeout = Duration{5'000'000}) {
    fake::RunUntil(
        loop, [&] { return Value(key) == value; }, timeout);
  }
};

}  // namespace

TEST_CASE("changes and removals arrive through a relay, without calls to the store") {
  Fixture f;
  const std::size_t polls = f.direct.feed_waits.size();
  f.Put("b", "1");
  f.AwaitValue("b", "1", Duration{300'000});
  f.Remove("b");
  f.AwaitValue("b", "none", Duration{300'000});
  fake::RunFor(f.loop, Duration{1'500'000});
  CHECK(f.direct.feed_waits.size() == polls);
  CHECK(f.second.asked == 0);
  CHECK(f.traffic.CounterFor(TrafficKind::kFeed, Reach::kSameCentre).value() > 0);
  // The copy counts as no younger than the relay's.
  REQUIRE(f.follower.confirmed_at());
  CHECK(Loop::SinceBoot() - *f.follower.confirmed_at() < FeedRelay::kMaxAge + Duration{700'000});
}

// Guards against an old configuration at all entries that follow a relay that was killed.
TEST_CASE("changes arrive after the relay was killed") {
  Fixture f;
  f.first.Kill();
  f.Put("a", "3");
  f.AwaitValue("a", "3", kLateChange);
}

// Guards against the same for a relay that accepts requests and answers none.
TEST_CASE("changes arrive while the relay is frozen") {
  Fixture f;
  f.first.frozen = true;
  fake::RunFor(f.loop, Duration{600'000});  // the poll that waits there is answered by now
  f.Put("a", "3");
  f.AwaitValue("a", "3", kLateChange);
}

// Guards against a relay that has lost the store and goes on to say that nothing has changed.
TEST_CASE("changes arrive while the relay is cut from the store") {
  Fixture f;
  f.first.tables.unresponsive = true;
  f.Put("a", "3");
  f.AwaitValue("a", "3", kLateChange);
}

TEST_CASE("changes arrive while all relays are gone") {
  Fixture f;
  f.first.Kill();
  f.second.Kill();
  f.Put("a", "3");
  f.AwaitValue("a", "3", kLateChange);
  f.Put("a", "4");
  f.AwaitValue("a", "4", kLateChange);
}

// Guards against a row that goes back: the second relay hears of changes later than the first.
TEST_CASE("a relay that lags behind another one takes nothing back") {
  Fixture f;
  f.second.tables.feed_stalled = true;
  f.Put("a", "3");
  f.AwaitValue("a", "3");
  f.first.Kill();
  fake::RunFor(f.loop, Duration{1'000'000});
  CHECK(f.Value("a") == "3");
  f.Put("a", "4");
  f.AwaitValue("a", "4", Duration{12'000'000});
}

TEST_CASE("a relay that shuts down sends its followers elsewhere at once") {
  Fixture f;
  f.first.feeds->SetLeaving();
  f.Put("a", "3");
  f.AwaitValue("a", "3", Duration{300'000});
  // The poll that was refused goes to the store, the next one to the other relay.
  fake::RunUntil(
      f.loop, [&] { return f.second.asked > 0; }, Duration{300'000});
}

// Guards against followers that wait for a relay that doesn't know what changed since their copy.
TEST_CASE("a relay that started after a removal sends its followers to the store") {
  Fixture f;
  f.Put("b", "1");
  f.AwaitValue("b", "1");
  f.first.Kill();  // the second relay has not listed the table yet
  f.Remove("b");
  f.AwaitValue("b", "none", kLateChange);
}

// Guards against a burst of lists: all entries that followed a relay listed the table at the store
// when the store had lost its history.
TEST_CASE("a relay that lists the table anew answers its followers from the new list") {
  Fixture f;
  const int reads = f.direct.reads;
  f.first.tables.history_lost = true;
  f.Put("a", "3");
  f.Remove("b");
  f.AwaitValue("a", "3", kLateChange);
  f.Put("a", "4");
  f.AwaitValue("a", "4", kLateChange);
  CHECK(f.direct.reads == reads);
}

// Guards against a copy that counts as current although its first part was listed long before the
// last one.
TEST_CASE("a list confirms a table of one part, and none of several parts") {
  Loop loop;
  fake::TableData data;
  fake::Tables tables(loop, data);
  const auto confirmed_once_listed = [&](std::vector<std::string> parts) {
    std::optional<bool> confirmed;
    TableFollower* current = nullptr;
    TableFollower follower(
        loop, tables, kTable, std::move(parts), [](const TableMirror::Change&) {},
        [&] {
          if (confirmed || !current->mirror().complete()) return;
          confirmed = current->confirmed_at().has_value();
        });
    current = &follower;
    follower.SetWait(Duration{50'000});
    follower.Start();
    fake::RunUntil(loop, [&] { return confirmed.has_value(); });
    fake::RunUntil(loop, [&] { return follower.confirmed_at().has_value(); });
    return *confirmed;
  };
  CHECK(confirmed_once_listed({""}));
  CHECK_FALSE(confirmed_once_listed({"a", "b"}));
}

TEST_CASE("requests for other tables, and unreadable ones, are refused") {
  Fixture f;
  for (const char* target : {"/feeds/other?after=1&wait_ms=100", "/feeds/t?after=x&wait_ms=100",
                             "/feeds/t", "/feeds/t?after=99999999999999999999999&wait_ms=1"}) {
    HttpCall call;
    call.to = f.first.server->address();
    call.target = target;
    int status = 0;
    f.client.Fetch(std::move(call), [&](const Result<HttpResponse>& response) {
      status = IsOk(response) ? ValueOf(response).status : -1;
    });
    fake::RunUntil(f.loop, [&] { return status != 0; });
    CHECK(status >= 400);
  }
}

TEST_CASE("a relay that nobody asks stops following") {
  Fixture f;
  f.relayed.SetRelays({});
  const auto polls_in = [&](Duration time) {
    const std::size_t before = f.first.tables.feed_waits.size();
    fake::RunFor(f.loop, time);
    return f.first.tables.feed_waits.size() - before;
  };
  CHECK(polls_in(Duration{1'000'000}) > 0);
  fake::RunFor(f.loop, FeedRelay::kIdleTimeout);
  CHECK(polls_in(Duration{1'000'000}) == 0);
}
