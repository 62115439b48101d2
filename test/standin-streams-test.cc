#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>

#include "runtime/loop_core.h"
#include "standin/engine.h"

using namespace figmill;           // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::standin;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kBound{20'000'000};  // a test that takes longer has failed

class FakeReply final : public HttpReply {
 public:
  void Send(HttpResponse response) override {
    answer = std::move(response);
    ended = true;
  }
  void Begin(HttpResponse head) override { answer = std::move(head); }
  void Write(std::string bytes) override { answer.body += bytes; }
  void End() override { ended = true; }
  void OnClosed(std::function<void()> task) override { closed = std::move(task); }

  [[nodiscard]] bool whole() const { return ended && answer.body.ends_with(kDoneEvent); }
  // The events' texts.
  [[nodiscard]] std::string text() const {
    std::string joined;
    for (std::size_t at = 0; (at = answer.body.find("\"text\":\"", at)) != std::string::npos;) {
      at += 8;
      joined += answer.body.substr(at, answer.body.find('"', at) - at);
    }
    return joined;
  }

  HttpResponse answer;
  bool ended = false;
  std::function<void()> closed;
};

struct Fixture {
  Fixture() { settings.costs.step_base = Duration(500); }

  std::shared_ptr<FakeReply> Call(const std::string& method, const std::string& path,
                                  const std::string& body = "", const std::string& id = "") {
    HttpRequest request{.method = method, .path = path, .body = body};
    const std::size_t question = path.find('?');
    if (question != std::string::npos) {
      request.path = path.substr(0, question);
      request.query = path.substr(question + 1);
    }
    if (!id.empty()) request.headers = {{"X-Request-Id", id}, {"X-Item-Key", "item-" + id}};
    auto reply = std::make_shared<FakeReply>();
    engine.Handle(request, reply);
    return reply;
  }
  std::shared_ptr<FakeReply> Complete(const std::string& id, const std::string& prompt,
                                      int max_tokens) {
    const nlohmann::json body = {
        {"model", "m"}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", true}};
    return Call("POST", "/v1/completions", body.dump(), id);
  }
  void RunUntil(const std::function<bool()>& satisfied) {
    loop.core().io.restart();
    const Timer bound = loop.After(kBound, [this] { loop.Stop(); });
    const Timer look = loop.Every(Duration(500), [&] {
      if (satisfied()) loop.Stop();
    });
    loop.Run();
    REQUIRE(satisfied());
  }
  // State by request id.
  std::map<std::string, std::string> Executions() {
    std::map<std::string, std::string> states;
    std::istringstream lines(Call("GET", "/standin/executions")->answer.body);
    for (std::string line; std::getline(lines, line);) {
      const auto json = nlohmann::json::parse(line);
      CHECK(json["item_key"] == "item-" + json["request_id"].get<std::string>());
      states[json["request_id"]] = json["state"];
    }
    return states;
  }

  Loop loop;
  EngineSettings settings{.models = {"m"}, .load_model_time = Duration(2'000)};
  Engine engine{loop, settings, std::mt19937_64(1)};
};

const std::uint64_t kHash = Fnv1a("rye west");

}  // namespace

TEST_CASE_FIXTURE(Fixture, "a stream outlives its connection and resumes at a token") {
  const auto first = Complete("a", "rye west", 20);
  RunUntil([&] { return first->text().size() > 20; });
  first->closed();
  const auto second = Call("GET", "/engine/streams/a?from=3");
  RunUntil([&] { return second->ended; });
  CHECK(second->whole());
  CHECK(second->text() == AnswerText(kHash, 3, 20));
  const auto again = Call("GET", "/engine/streams/a?from=18");
  CHECK(again->text() == AnswerText(kHash, 18, 20));
  CHECK(Executions() == std::map<std::string, std::string>{{"a", "finished"}});
}

TEST_CASE_FIXTURE(Fixture, "a cancelled stream ends without its final marker") {
  const auto reply = Complete("a", "rye west", 10'000);
  RunUntil([&] { return !reply->text().empty(); });
  CHECK(Call("DELETE", "/engine/streams/a")->answer.status == 200);
  CHECK(reply->ended);
  CHECK_FALSE(reply->whole());
  CHECK(Call("DELETE", "/engine/streams/a")->answer.status == 200);
  CHECK(Call("DELETE", "/engine/streams/b")->answer.status == 404);
  CHECK(Executions()["a"] == "cancelled");
}

TEST_CASE_FIXTURE(Fixture, "swapped callers get each other's answers, whole") {
  Call("POST", "/standin/faults", R"({"swap_answers": 1})");
  const auto a = Complete("a", "rye west", 4);
  const auto b = Complete("b", "rye east", 4);
  const auto c = Complete("c", "rye west", 4);
  RunUntil([&] { return a->ended && b->ended && c->ended; });
  CHECK(a->text() == AnswerText(Fnv1a("rye east"), 0, 4));
  CHECK(a->answer.headers.at(0).value == "b");
  CHECK(b->text() == AnswerText(kHash, 0, 4));
  CHECK(c->text() == AnswerText(kHash, 0, 4));
  CHECK((a->whole() && b->whole()));
}

TEST_CASE_FIXTURE(Fixture, "a truncated answer has no final marker, and the run itself goes on") {
  Call("POST", "/standin/faults", R"({"truncate_answers": 1})");
  const auto a = Complete("a", "rye west", 8);
  RunUntil([&] { return Executions()["a"] == "finished"; });
  CHECK(a->ended);
  CHECK_FALSE(a->whole());
  CHECK(a->text() == AnswerText(kHash, 0, 4));
}

TEST_CASE_FIXTURE(Fixture, "an exported stream goes on where it was, on another engine") {
  const auto a = Complete("a", "rye west", 400);
  RunUntil([&] { return a->text().size() > 20; });
  const std::string exported = Call("GET", "/engine/kv/a")->answer.body;
  const auto generated = nlohmann::json::parse(exported)["generated"].get<std::uint64_t>();

  Engine other(loop, settings, std::mt19937_64(2));
  const auto imported = std::make_shared<FakeReply>();
  other.Handle(HttpRequest{.method = "PUT", .path = "/engine/kv/a", .body = exported}, imported);
  REQUIRE(imported->answer.status == 200);
  const auto rest = std::make_shared<FakeReply>();
  other.Handle(HttpRequest{.method = "GET", .path = "/engine/streams/a"}, rest);
  RunUntil([&] { return rest->ended; });
  CHECK(generated >= 4);
  CHECK(rest->text() == AnswerText(kHash, 0, 400));
}

TEST_CASE_FIXTURE(Fixture, "an order with a lower fence is refused and changes nothing") {
  const auto load = Call("POST", "/engine/orders",
                         R"({"kind": "load-model", "subject": "n", "version": "2", "fence": 7})");
  RunUntil([&] { return load->ended; });
  const auto late =
      Call("POST", "/engine/orders", R"({"kind": "unload-model", "subject": "n", "fence": 6})");
  CHECK(late->answer.status == 409);
  CHECK(ErrorFromProblem(409, late->answer.body).kind == ErrorKind::kFenced);
  const auto state = nlohmann::json::parse(Call("GET", "/engine/state")->answer.body);
  CHECK(state["models"] == nlohmann::json({"m@1", "n@2"}));
  CHECK(state["fence"] == 7);
}

TEST_CASE_FIXTURE(Fixture, "a wrong fault switch is refused and none changes") {
  const auto before = Call("GET", "/standin/faults")->answer.body;
  CHECK(Call("POST", "/standin/faults", R"({"down": true, "nothing": 1})")->answer.status == 400);
  CHECK(Call("POST", "/standin/faults", R"({"slow_ms": "x"})")->answer.status == 400);
  CHECK(Call("GET", "/standin/faults")->answer.body == before);
}
