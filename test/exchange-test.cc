#include "figmill/exchange.h"

#include <doctest/doctest.h>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "test/scripted-server.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

using asio::ip::tcp;
using fake::ScriptedServer;

constexpr Duration kBound{5'000'000};  // a test that runs longer fails

std::string Answer(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

struct Caller {
  // "200:body", or "failed" and whether the request was sent.
  std::string Call(const Address& to, bool fresh = false, std::vector<Header> headers = {}) {
    std::string got;
    HttpCall call;
    call.method = "POST";
    call.to = to;
    call.headers = std::move(headers);
    call.body = "x";
    call.fresh_connection = fresh;
    call.total_timeout = timeout;
    client.Fetch(std::move(call), [&](const Result<HttpResponse>& result) {
      if (IsOk(result)) {
        got = std::to_string(ValueOf(result).status) + ":" + ValueOf(result).body;
      } else {
        got = ErrorOf(result).ran == Ran::kNo ? "failed, not sent" : "failed, sent";
      }
      loop.Stop();
    });
    const Timer bound = loop.After(kBound, [this] { loop.Stop(); });
    loop.Run();
    loop.Restart();
    return got;
  }
  DialResult Dial(const Address& to) {
    std::optional<DialResult> found;
    client.Dial(to, Duration{500'000}, [&](DialResult result) {
      found = result;
      loop.Stop();
    });
    CHECK_FALSE(found);  // never inside the call
    const Timer bound = loop.After(kBound, [this] { loop.Stop(); });
    loop.Run();
    loop.Restart();
    REQUIRE(found);
    return *found;
  }
  Duration timeout{0};  // 0: none
  Loop loop;
  NoRetryHttpClient client{loop};
};

}  // namespace

TEST_CASE("an idle connection is reused for the next call") {
  ScriptedServer server({{{Answer("a")}, {Answer("b")}}});
  Caller caller;
  CHECK(caller.Call(server.address()) == "200:a");
  CHECK(caller.Call(server.address()) == "200:b");
  CHECK(caller.client.connections_opened() == 1);
}

// Guards against running a request twice that is not repeatable: the peer closes an idle connection
// just as a request is sent on it, and a client retries by itself on a new connection.
TEST_CASE("the client never retries a request by itself") {
  ScriptedServer server({{{Answer("a")}, {"", /*close=*/true}}, {{Answer("again")}}});
  Caller caller;
  CHECK(caller.Call(server.address()) == "200:a");
  CHECK(caller.Call(server.address()) == "failed, sent");
  CHECK(server.requests() == 2);
}

// Guards against giving a caller the response to another caller's request: a backend server sends a
// second response after the first one, and on reuse of the connection it is taken for the response
// to the next request.
TEST_CASE("a connection with bytes after the response is not reused") {
  ScriptedServer server({{{Answer("a") + Answer("stray")}}, {{Answer("b")}}});
  Caller caller;
  CHECK(caller.Call(server.address()) == "200:a");
  CHECK(caller.Call(server.address()) == "200:b");
  CHECK(caller.client.connections_opened() == 2);
}

// As above, or a request that is not repeatable fails for no reason: the second response arrives
// separately while this host is busy, and the idle connection is reused before anything has looked
// at it. Bytes that were read ahead into the client would not be checked before the reuse.
TEST_CASE("a connection that received bytes between two calls is not reused") {
  ScriptedServer server({{{Answer("a"), false, Answer("stray")}, {Answer("b")}}, {{Answer("c")}}});
  Caller caller;
  std::string got;
  const auto call = [&](std::function<void(HttpEvent)> on_event) {
    HttpCall http;
    http.method = "POST";
    http.to = server.address();
    http.body = "x";
    caller.client.Start(std::move(http), std::move(on_event));
  };
  const auto second = [&](const HttpEvent& event) {
    if (const auto* bytes = std::get_if<HttpBytes>(&event)) got += bytes->bytes;
    if (std::holds_alternative<HttpEnd>(event)) caller.loop.Stop();
    if (std::holds_alternative<HttpFailure>(event)) caller.loop.Stop();
  };
  SUBCASE("while the response is read") {
    call([&](const HttpEvent& event) {
      if (std::holds_alternative<HttpBytes>(event))
        std::this_thread::sleep_for(5 * ScriptedServer::kLateDelay);
      if (std::holds_alternative<HttpEnd>(event)) call(second);
    });
  }
  SUBCASE("after the response") {
    call([&](const HttpEvent& event) {
      if (!std::holds_alternative<HttpEnd>(event)) return;
      caller.loop.Later(5 * ScriptedServer::kLateDelay, [&] { call(second); });
    });
  }
  const Timer bound = caller.loop.After(kBound, [&] { caller.loop.Stop(); });
  caller.loop.Run();
  CHECK(got == "c");
  CHECK(caller.client.connections_opened() == 2);
}

TEST_CASE("a connection that the peer closes after its response is not reused") {
  ScriptedServer server({{{Answer("a", "Connection: close\r\n")}}, {{Answer("b")}}});
  Caller caller;
  CHECK(caller.Call(server.address()) == "200:a");
  CHECK(caller.Call(server.address()) == "200:b");
}

TEST_CASE("a response without a length ends when the connection closes") {
  ScriptedServer server({{{"HTTP/1.1 200 OK\r\n\r\nabc", /*close=*/true}}});
  Caller caller;
  CHECK(caller.Call(server.address()) == "200:abc");
}

// Guards against a crash that is taken for the end of an answer: without a length they look alike.
TEST_CASE("the end of a response tells whether only the close of its connection showed it") {
  std::string answer = Answer("abc");
  bool by_close = false;
  SUBCASE("a length") {}
  SUBCASE("chunks") {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  }
  SUBCASE("neither") {
    answer = "HTTP/1.1 200 OK\r\n\r\nabc";
    by_close = true;
  }
  SUBCASE("no body") {
    answer = "HTTP/1.1 204 No Content\r\n\r\n";
  }
  ScriptedServer server({{{answer, /*close=*/true}}});
  Caller caller;
  std::optional<HttpEnd> end;
  HttpCall http;
  http.method = "POST";
  http.to = server.address();
  http.body = "x";
  caller.client.Start(std::move(http), [&](const HttpEvent& event) {
    if (const auto* ended = std::get_if<HttpEnd>(&event)) end = *ended;
    if (end || std::holds_alternative<HttpFailure>(event)) caller.loop.Stop();
  });
  const Timer bound = caller.loop.After(kBound, [&] { caller.loop.Stop(); });
  caller.loop.Run();
  REQUIRE(end);
  CHECK(end->by_close == by_close);
  CHECK(end->closed_ago.has_value() == by_close);
}

// Guards against a close that is read late and counts as fresh: its peer may have been replaced.
TEST_CASE("the age of a close counts from its arrival") {
  constexpr Duration kHeld{100'000};
  ScriptedServer server({{{"HTTP/1.1 200 OK\r\n\r\nabc", /*close=*/true}}});
  Caller caller;
  std::optional<HttpEnd> end;
  HttpCall http;
  http.method = "POST";
  http.to = server.address();
  http.body = "x";
  http.hold_reads = [until = Loop::Now() + kHeld] { return Loop::Now() < until; };
  caller.client.Start(std::move(http), [&](const HttpEvent& event) {
    if (const auto* ended = std::get_if<HttpEnd>(&event)) end = *ended;
    if (end || std::holds_alternative<HttpFailure>(event)) caller.loop.Stop();
  });
  const Timer bound = caller.loop.After(kBound, [&] { caller.loop.Stop(); });
  caller.loop.Run();
  REQUIRE(end);
  REQUIRE(end->closed_ago);
  CHECK(*end->closed_ago >= kHeld / 2);
  CHECK(*end->closed_ago < kBound);
}

// Guards against a peer that takes a part of the body for the next request.
TEST_CASE("the client alone frames its requests") {
  ScriptedServer server({{{Answer("a")}}});
  Caller caller;
  CHECK(caller.Call(server.address(), false,
                    {{"content-length", "0"}, {"Transfer-Encoding", "chunked"}, {"Model", "m"}}) ==
        "200:a");
  const std::string& request = server.last_request();
  CHECK(request.find("Content-Length: 1\r\n") != std::string::npos);
  CHECK(request.find("content-length") == std::string::npos);
  CHECK(request.find("Transfer-Encoding") == std::string::npos);
  CHECK(request.find("Model: m\r\n") != std::string::npos);
}

TEST_CASE("a truncated response fails the call") {
  std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
  SUBCASE("shorter than its length") {}
  SUBCASE("without its last chunk") {
    cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
  }
  SUBCASE("within its headers") {
    cut = "HTTP/1.1 200 OK\r\nStamp";
  }
  ScriptedServer server({{{cut, /*close=*/true}}});
  Caller caller;
  CHECK(caller.Call(server.address()) == "failed, sent");
}

TEST_CASE("bytes that are not HTTP fail the call") {
  ScriptedServer server({{{"nonsense\r\n\r\n"}}});
  Caller caller;
  CHECK(caller.Call(server.address()) == "failed, sent");
}

// Guards against memory that fills with an answer which can't be passed on as fast as it comes.
TEST_CASE("an answer is not read while the call holds its reads") {
  const std::string body(1U << 20, 'z');
  ScriptedServer server({{{Answer(body)}}});
  Caller caller;
  HttpCall call;
  call.method = "POST";
  call.to = server.address();
  call.body = "x";
  std::size_t received = 0;
  bool held = true, ended = false;
  call.hold_reads = [&held] { return held; };
  caller.client.Start(std::move(call), [&](HttpEvent event) {
    if (const auto* bytes = std::get_if<HttpBytes>(&event)) received += bytes->bytes.size();
    ended = std::holds_alternative<HttpEnd>(event);
    if (ended) caller.loop.Stop();
  });
  std::size_t received_while_held = 0;
  const Timer release = caller.loop.After(Duration{200'000}, [&] {
    received_while_held = received;
    held = false;
  });
  const Timer bound = caller.loop.After(kBound, [&] { caller.loop.Stop(); });
  caller.loop.Run();
  CHECK(received_while_held < body.size() / 10);
  CHECK(ended);
  CHECK(received == body.size());
}

// Guards against thousands of events for one read, each with its cost, from a body in small chunks.
TEST_CASE("the body's bytes of one read are one event, in however many chunks they come") {
  constexpr int kChunks = 2'000;
  std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string whole;
  for (int i = 0; i < kChunks; ++i) {
    whole += static_cast<char>('a' + i % 26);
    answer += std::string("1\r\n") + whole.back() + "\r\n";
  }
  answer += "0\r\n\r\n";
  ScriptedServer server({{{answer}}});
  Caller caller;
  HttpCall call;
  call.method = "POST";
  call.to = server.address();
  call.body = "x";
  std::string got;
  int events = 0;
  const CancelCall cancel = caller.client.Start(std::move(call), [&](HttpEvent event) {
    if (const auto* bytes = std::get_if<HttpBytes>(&event)) {
      got += bytes->bytes;
      ++events;
    }
    if (std::holds_alternative<HttpEnd>(event)) caller.loop.Stop();
  });
  const Timer bound = caller.loop.After(kBound, [&] { caller.loop.Stop(); });
  caller.loop.Run();
  CHECK(got == whole);
  CHECK(events < kChunks / 100);
}

TEST_CASE("a call to a port without a listener fails as not sent") {
  Address unused_address;
  {
    asio::io_context io;
    const tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
    unused_address = {"127.0.0.1", acceptor.local_endpoint().port()};
  }
  Caller caller;
  CHECK(caller.Call(unused_address) == "failed, not sent");
}

TEST_CASE("a call without a response times out and fails as sent") {
  ScriptedServer server({{{""}}});
  Caller caller;
  caller.timeout = Duration{100'000};
  CHECK(caller.Call(server.address()) == "failed, sent");
}

TEST_CASE("a cancelled call delivers no more events") {
  ScriptedServer server({{{Answer("a")}}, {{Answer("b")}}});
  Caller caller;
  bool told = false;
  HttpCall call;
  call.to = server.address();
  const CancelCall cancel =
      caller.client.Start(std::move(call), [&told](const HttpEvent&) { told = true; });
  cancel();
  cancel();
  const Timer end = caller.loop.After(Duration{100'000}, [&] { caller.loop.Stop(); });
  caller.loop.Run();
  CHECK_FALSE(told);
}

TEST_CASE("a connection opened without a call is used by the next one") {
  ScriptedServer server({{{Answer("a")}, {Answer("b")}}});
  Caller caller;
  CHECK(caller.Dial(server.address()) == DialResult::kConnected);
  CHECK(caller.Call(server.address()) == "200:a");
  CHECK(caller.Call(server.address()) == "200:b");
  CHECK(caller.client.connections_opened() == 1);
}

TEST_CASE("a connection to a port without a listener is refused") {
  Address unused_address;
  {
    asio::io_context io;
    const tcp::acceptor gone(io, tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
    unused_address = {"127.0.0.1", gone.local_endpoint().port()};
  }
  Caller caller;
  CHECK(caller.Dial(unused_address) == DialResult::kRefused);
  CHECK(caller.Dial({"nowhere", 1}) == DialResult::kNoAnswer);
}

// Guards against mistaking a busy host, whose queue of new connections is full, for a host whose
// process has ended.
TEST_CASE("a host that does not respond is not reported as refusing") {
  asio::io_context io;
  tcp::acceptor full(io);
  const tcp::endpoint any(asio::ip::make_address_v4("127.0.0.1"), 0);
  full.open(any.protocol());
  full.bind(any);
  full.listen(0);
  Caller caller;
  const Address to{"127.0.0.1", full.local_endpoint().port()};
  std::vector<tcp::socket> filling;
  for (int i = 0; i < 4; ++i) {
    tcp::socket& socket = filling.emplace_back(io);
    socket.open(any.protocol());
    socket.native_non_blocking(true);
    // Not with asio, which waits for the connection even on a non-blocking socket.
    const tcp::endpoint at = full.local_endpoint();
    static_cast<void>(::connect(socket.native_handle(), at.data(), at.size()));
  }
  CHECK(caller.Dial(to) == DialResult::kNoAnswer);
}
