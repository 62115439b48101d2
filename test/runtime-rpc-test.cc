#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "figmill/runtime.h"
#include "runtime/rpc_wire.h"

namespace figmill {
namespace {

using nlohmann::json;

struct Peer {
  Peer() {
    rpc.Bind("echo", [this](std::string_view params) -> Result<std::string> {
      ++calls;
      return std::string(params);
    });
    rpc.Bind("refuse", [](std::string_view) -> Result<std::string> {
      return Error{ErrorKind::kStaleOrders, "sequence 7 is older than 9", Ran::kNo,
                   Duration{250'000}};
    });
    rpc.Bind("throw",
             [](std::string_view) -> Result<std::string> { throw std::runtime_error("defect"); });
  }
  std::uint64_t malformed() { return metrics.counter("figmill_rpc_malformed_total", "").value(); }

  Metrics metrics;
  RpcServer rpc{&metrics};
  int calls = 0;
};

// A peer behind a real HTTP server, called once. `mangle` may change its answer.
Result<std::string> CallOnce(Peer& peer, std::string_view method, std::string_view params,
                             const std::function<std::string(std::string)>& mangle = {}) {
  Loop loop;
  auto listening = HttpServer::Listen(
      loop, Address{"127.0.0.1", 0}, [&](const HttpRequest& request, const auto& reply) {
        std::string answer = peer.rpc.Handle(request.body);
        reply->Send(HttpResponse{200, "application/json", {}, mangle ? mangle(answer) : answer});
      });
  REQUIRE(IsOk(listening));
  HttpClient client(loop);
  Result<std::string> result = Error{};
  CallRpc(client, ValueOf(listening)->address(), method, params, Duration{20'000'000},
          [&](Result<std::string> answered) {
            result = std::move(answered);
            loop.Stop();
          });
  loop.Run();
  return result;
}

TEST_CASE("a call carries its parameters there and the result back") {
  Peer peer;
  const json params = {{"request", "r-1"}, {"incarnation", 18446744073709551615ULL}, {"x", "ä\n"}};
  const Result<std::string> result = CallOnce(peer, "echo", params.dump());
  REQUIRE(IsOk(result));
  CHECK(json::parse(ValueOf(result)) == params);
  CHECK(peer.malformed() == 0);
}

TEST_CASE("a method's error comes back with kind, detail, ran and when to retry") {
  Peer peer;
  const Result<std::string> result = CallOnce(peer, "refuse", "{}");
  REQUIRE_FALSE(IsOk(result));
  const Error& error = ErrorOf(result);
  CHECK(error.kind == ErrorKind::kStaleOrders);
  CHECK(error.detail == "sequence 7 is older than 9");
  CHECK(error.ran == Ran::kNo);
  CHECK(error.retry_after == Duration{250'000});
}

TEST_CASE("the error carries the code of the table on the wire") {
  Peer peer;
  const json answer =
      json::parse(peer.rpc.Handle(R"({"jsonrpc":"2.0","id":"a","method":"refuse","params":{}})"));
  CHECK(answer["id"] == "a");
  CHECK(answer["error"]["code"] == ErrorInfoOf(ErrorKind::kStaleOrders).rpc_code);
  CHECK(answer["error"]["data"]["kind"] == "stale-orders");
  CHECK(answer["error"]["data"]["ran"] == "no");
}

TEST_CASE("an unknown method is refused and nothing is called") {
  Peer peer;
  const Result<std::string> result = CallOnce(peer, "nothing", "{}");
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kMethodNotAllowed);
  CHECK(peer.malformed() == 1);
}

// Symptom: a process ends on a peer's bad bytes.
// Events: the text is broken, or nested past the parser's limit, or a method
// throws on its parameters.
// Cause: the parser, or the method, throws through the event loop.
TEST_CASE("malformed calls are answered with an error, counted, and change nothing") {
  Peer peer;
  const std::vector<std::string> bad = {"",
                                        "{",
                                        "null",
                                        "[]",
                                        "{}",
                                        "[1]",
                                        std::string(100'000, '['),
                                        R"({"jsonrpc":"2.0","id":1,"params":{}})",
                                        R"({"jsonrpc":"1.0","id":1,"method":"echo","params":{}})",
                                        R"({"jsonrpc":"2.0","id":1,"method":"echo","params":"x"})",
                                        R"({"jsonrpc":"2.0","id":1,"method":"echo","params":[1]})",
                                        R"({"jsonrpc":"2.0","id":1,"method":5,"params":{}})"};
  for (const std::string& text : bad) {
    INFO(text.substr(0, 60));
    const json answer = json::parse(peer.rpc.Handle(text), nullptr, false);
    REQUIRE_FALSE(answer.is_discarded());
    const json& only = answer.is_array() ? answer.at(0) : answer;  // a batch gets a list
    CHECK(only.contains("error"));
    CHECK_FALSE(only.contains("result"));
  }
  CHECK(peer.calls == 0);
  CHECK(peer.malformed() == bad.size());
}

TEST_CASE("a method that throws is a defect whose effect is unknown") {
  Peer peer;
  const Result<std::string> result = CallOnce(peer, "throw", "{}");
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kInternal);
  CHECK(ErrorOf(result).ran == Ran::kUnknown);
}

// Symptom: a revoke is told "never started" about another request.
// Events: answers of two calls arrive crossed.
// Cause: the library numbers every call 1, so any answer fits any call.
TEST_CASE("an answer that bears another call's id is broken, never taken") {
  Peer peer;
  const auto crossed = [](const std::string& answer) {
    json changed = json::parse(answer);
    changed["id"] = "other";
    return changed.dump();
  };
  const Result<std::string> result = CallOnce(peer, "echo", "{}", crossed);
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kBrokenAnswer);
  CHECK(ErrorOf(result).ran == Ran::kUnknown);
}

TEST_CASE("an answer that can't be read is broken and the outcome unknown") {
  Peer peer;
  const std::vector<std::string> bad = {"", "{", "[]", std::string(100'000, '[')};
  for (const std::string& text : bad) {
    const Result<std::string> result = CallOnce(peer, "echo", "{}", [&](auto) { return text; });
    REQUIRE_FALSE(IsOk(result));
    CHECK(ErrorOf(result).kind == ErrorKind::kBrokenAnswer);
    CHECK(ErrorOf(result).ran == Ran::kUnknown);
  }
  CHECK(detail::ParseRpcAnswer("a", R"({"jsonrpc":"2.0","id":"a"})").kind ==
        detail::RpcAnswer::kMalformed);
}

TEST_CASE("a call that reaches nobody did not run") {
  Loop loop;
  HttpClient client(loop);
  Result<std::string> result = std::string();
  CallRpc(client, Address{"127.0.0.1", 1}, "echo", "{}", Duration{5'000'000},
          [&](Result<std::string> answered) {
            result = std::move(answered);
            loop.Stop();
          });
  loop.Run();
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kBackendFailed);
  CHECK(ErrorOf(result).ran == Ran::kNo);
}

}  // namespace
}  // namespace figmill
