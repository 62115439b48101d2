#include <doctest/doctest.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "figmill/runtime.h"
#include "runtime/loop_core.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Duration kBound{20'000'000};  // a test that takes longer has failed

// A server and a client on one loop, which runs until the test is satisfied.
struct Pair {
  explicit Pair(HttpHandler handler)
      : server(std::get<0>(HttpServer::Listen(loop, {"127.0.0.1", 0}, std::move(handler)))),
        bound(loop.After(kBound, [this] { loop.Stop(); })) {}
  Loop loop;
  std::unique_ptr<HttpServer> server;
  HttpClient client{loop};
  Timer bound;
};

HttpCall CallTo(const Address& to, std::string body = "") {
  HttpCall call;
  call.method = body.empty() ? "GET" : "POST";
  call.to = to;
  call.target = "/x?name=a%20b";
  call.body = std::move(body);
  return call;
}

// Answers its first request; reads each further one and closes the connection, and
// when it dies, its listening socket too.
struct ClosingServer {
  ClosingServer() { Accept(); }

  // The error of a call that finds the first one's connection in the pool.
  std::optional<Error> SecondCall(bool fresh_connection) {
    HttpClient client(loop);
    const Address at{"127.0.0.1", acceptor.local_endpoint().port()};
    std::optional<Error> error;
    client.Fetch(CallTo(at, "first"), [&](const Result<HttpResponse>& first) {
      CHECK(IsOk(first));
      HttpCall call = CallTo(at, "second");
      call.fresh_connection = fresh_connection;
      client.Fetch(std::move(call), [&](const Result<HttpResponse>& second) {
        if (!IsOk(second)) error = ErrorOf(second);
        loop.Stop();
      });
    });
    loop.Run();
    return error;
  }

  void Accept() {
    sockets.push_back(std::make_unique<asio::ip::tcp::socket>(loop.core().io));
    acceptor.async_accept(*sockets.back(), [this](const asio::error_code& failure) {
      if (failure) return;
      Serve(*sockets.back());
      Accept();
    });
  }

  void Serve(asio::ip::tcp::socket& socket) {
    socket.async_read_some(
        asio::buffer(buffer), [this, &socket](const asio::error_code& failure, std::size_t) {
          if (failure) return;
          if (++requests > 1) {
            if (dies) acceptor.close();
            socket.close();
            return;
          }
          static const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
          asio::write(socket, asio::buffer(kAnswer));
          Serve(socket);
        });
  }

  Loop loop;
  Timer bound = loop.After(kBound, [this] { loop.Stop(); });
  asio::ip::tcp::acceptor acceptor{loop.core().io, {asio::ip::make_address("127.0.0.1"), 0}};
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> sockets;
  std::array<char, 4096> buffer{};
  int requests = 0;
  bool dies = false;
};

}  // namespace

TEST_CASE("a request arrives with its method, query, headers and body") {
  HttpRequest seen;
  Pair pair([&](HttpRequest request, const std::shared_ptr<HttpReply>& reply) {
    seen = std::move(request);
    reply->Send({201, "text/plain", {{"Figmill-Request", "r1"}}, "answer"});
  });
  std::optional<HttpResponse> got;
  HttpCall call = CallTo(pair.server->address(), std::string(100'000, 'b'));
  call.headers = {{"Figmill-Team", "rye"}};
  pair.client.Fetch(std::move(call), [&](Result<HttpResponse> result) {
    if (IsOk(result)) got = ValueOf(result);
    pair.loop.Stop();
  });
  pair.loop.Run();
  REQUIRE(got);
  CHECK(got->status == 201);
  CHECK(got->body == "answer");
  CHECK(seen.method == "POST");
  CHECK(seen.path == "/x");
  CHECK(seen.QueryValue("name") == "a b");
  CHECK(seen.HeaderOr("figmill-TEAM") == "rye");
  CHECK(seen.body.size() == 100'000);
}

TEST_CASE("an answer may start further calls and streams in order") {
  Pair pair([&](const HttpRequest&, const std::shared_ptr<HttpReply>& reply) {
    reply->Begin({200, "text/plain", {}, ""});
    reply->Write("one ");
    reply->Write("two");
    reply->End();
  });
  std::string all;
  int ends = 0;
  std::function<void(HttpEvent)> on_event = [&](HttpEvent event) {
    if (const auto* bytes = std::get_if<HttpBytes>(&event)) all += bytes->bytes;
    if (std::holds_alternative<HttpHead>(event) && all.empty()) {
      pair.client.Start(CallTo(pair.server->address()), on_event);
      all = "|";
    }
    if (std::holds_alternative<HttpEnd>(event) && ++ends == 2) pair.loop.Stop();
  };
  pair.client.Start(CallTo(pair.server->address()), on_event);
  pair.loop.Run();
  CHECK(ends == 2);
  CHECK(all == "|one twoone two");
}

// Symptom: an engine goes on generating for a caller that hung up.
// Sequence: the request is accepted, the peer closes before the answer.
// Cause: a server that reads only between requests never sees the close.
TEST_CASE("a peer that goes away mid-request is noticed") {
  bool closed = false;
  CancelCall cancel;
  Pair* self = nullptr;
  std::shared_ptr<HttpReply> held;
  Pair pair([&](const HttpRequest&, const std::shared_ptr<HttpReply>& reply) {
    held = reply;
    reply->Begin({200, "text/plain", {}, "first"});
    reply->OnClosed([&] {
      closed = true;
      self->loop.Stop();
    });
  });
  self = &pair;
  cancel = pair.client.Start(CallTo(pair.server->address()), [&](const HttpEvent& event) {
    if (std::holds_alternative<HttpBytes>(event)) cancel();
  });
  pair.loop.Run();
  CHECK(closed);
}

// Symptom: the engine goes on for the first of two requests of a caller that left.
// Sequence: a caller sends a second request before the first is answered, and hangs
// up. Cause: one place for each connection, which the second request took.
TEST_CASE("a peer that goes away is noticed by both requests it had sent") {
  int closed = 0;
  std::vector<std::shared_ptr<HttpReply>> held;
  Pair* self = nullptr;
  std::unique_ptr<asio::ip::tcp::socket> socket;
  Pair pair([&](const HttpRequest&, const std::shared_ptr<HttpReply>& reply) {
    held.push_back(reply);
    reply->OnClosed([&] {
      if (++closed == 2) self->loop.Stop();
    });
    if (held.size() == 2) socket->close();
  });
  self = &pair;
  socket = std::make_unique<asio::ip::tcp::socket>(pair.loop.core().io);
  socket->connect({asio::ip::make_address("127.0.0.1"), pair.server->address().port});
  static const std::string kTwo =
      "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(*socket, asio::buffer(kTwo));
  pair.loop.Run();
  CHECK(closed == 2);
}

TEST_CASE("a request to nobody is known not to have been sent") {
  Pair pair([](const HttpRequest&, const std::shared_ptr<HttpReply>&) {});
  const Address gone = pair.server->address();
  pair.server->StopAccepting();
  std::optional<Error> error;
  pair.client.Fetch(CallTo(gone, "body"), [&](const Result<HttpResponse>& result) {
    if (!IsOk(result)) error = ErrorOf(result);
    pair.loop.Stop();
  });
  pair.loop.Run();
  REQUIRE(error);
  CHECK(error->ran == Ran::kNo);
}

// Symptom: a plain service books the same hazard flag twice from one call.
// Sequence: a pooled connection is closed by the server just as the next
// request goes out on it; the client library, seeing no answer, sends the
// request again by itself on a new connection.
// Cause: that silent resend can't know whether the first copy was read.
TEST_CASE("a request on a fresh connection is never sent twice by the client") {
  ClosingServer server;
  const std::optional<Error> error = server.SecondCall(true);
  CHECK(server.requests == 2);
  REQUIRE(error);
  CHECK(error->ran == Ran::kUnknown);
}

// Symptom: an invoice is sent twice; its first refusal said "not run".
// Sequence: a request goes out on a pooled connection, its peer takes it and dies;
// the client library connects anew to send it again and is refused.
// Cause: the refused connection taken for proof that the request was never sent.
TEST_CASE("a refused second connection doesn't make a sent request unsent") {
  ClosingServer server;
  server.dies = true;
  const std::optional<Error> error = server.SecondCall(false);
  CHECK(server.requests == 2);
  REQUIRE(error);
  CHECK(error->ran == Ran::kUnknown);
}

TEST_CASE("a problem document carries kind, ran and when to come back") {
  const Error error{ErrorKind::kOverloaded, "no room \xff", Ran::kNo, Duration{1'500'000}};
  const HttpResponse response = ProblemOf(error);
  CHECK(response.status == 503);
  CHECK(response.headers.at(0).value == "2");
  const Error back = ErrorFromProblem(response.status, response.body);
  CHECK(back.kind == ErrorKind::kOverloaded);
  CHECK(back.ran == Ran::kNo);
  CHECK(back.retry_after == Duration{1'500'000});
  CHECK(ErrorFromProblem(500, "<html>").ran == Ran::kUnknown);
}

// Symptom: a caller waits until its own deadline for the rest of a stream whose entry
// logged seconds before that it had broken it off.
// Sequence: the head and some bytes are out, then the reply is aborted.
// Cause: the builder of a chunked answer takes the connection out of the request, so
// that the abort found none to close.
TEST_CASE("an answer that is broken off midway closes its connection at once") {
  Pair pair([](const HttpRequest& /*request*/, const std::shared_ptr<HttpReply>& reply) {
    reply->Begin({200, "text/event-stream", {}, ""});
    reply->Write("data: 1\n\n");
    reply->Abort();
  });
  std::optional<HttpFailure> failure;
  const Time begun = Loop::Now();
  const CancelCall cancel = pair.client.Start(CallTo(pair.server->address()), [&](HttpEvent event) {
    CHECK_FALSE(std::holds_alternative<HttpEnd>(event));
    if (const auto* failed = std::get_if<HttpFailure>(&event)) {
      failure = *failed;
      pair.loop.Stop();
    }
  });
  pair.loop.Run();
  REQUIRE(failure);
  CHECK(Loop::Now() - begun < std::chrono::seconds(1));
}

// Symptom: in a planned restart an answer loses its last bytes, though the log says that it
// was given whole.
// Sequence: the reply ends while its last bytes wait for a slow peer; the connections that
// have no request are closed just then.
// Cause: a reply counted as over when it was handed to the connection, not when written.
TEST_CASE("an answer that is still being written keeps its connection from being closed as idle") {
  const std::string body(32U << 20, 'x');  // more than a socket takes at once
  HttpServer* server = nullptr;
  Loop* loop = nullptr;
  Pair pair([&](const HttpRequest& /*request*/, const std::shared_ptr<HttpReply>& reply) {
    reply->Send({200, "text/plain", {}, body});
    loop->Post([&server] { server->CloseIdle(); });
  });
  server = pair.server.get();
  loop = &pair.loop;
  std::size_t got = 0;
  pair.client.Fetch(CallTo(pair.server->address()), [&](const Result<HttpResponse>& answer) {
    if (IsOk(answer)) got = ValueOf(answer).body.size();
    pair.loop.Stop();
  });
  pair.loop.Run();
  CHECK(got == body.size());
  // The caller may have the last bytes while the word that they are written still waits in the
  // loop's queue; what is queued by now runs first.
  pair.loop.Restart();
  pair.loop.Post([&pair] { pair.loop.Stop(); });
  pair.loop.Run();
  CHECK(server->open_replies() == 0);
}
