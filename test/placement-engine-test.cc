#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "figmilld/agent/engine_client.h"
#include "figmilld/agent/placement_shell.h"
#include "standin/engine.h"
#include "standin/platform.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Duration kGiveUp{60'000'000};  // only ends a test that has failed
constexpr PlacerSettings kSettings{.right_term = Duration(500'000),
                                   .longest_order = Duration(500'000),
                                   .order_check = Duration(200'000),
                                   .read_period = Duration(500'000),
                                   .first_retry = Duration(50'000),
                                   .last_retry = Duration(200'000),
                                   .weight_bytes = 1000};

// The table, and how often it was read.
class CountingTable : public TableStore {
 public:
  explicit CountingTable(TableStore& table) : table_(table) {}
  void Commit(Transaction transaction, std::function<void(TransactionOutcome)> done) override {
    table_.Commit(std::move(transaction), std::move(done));
  }
  void Read(std::string key, std::function<void(Result<std::optional<Row>>)> done) override {
    ++reads;
    table_.Read(std::move(key), std::move(done));
  }
  void Scan(RowRange range, std::function<void(Result<std::vector<Row>>)> done) override {
    table_.Scan(std::move(range), std::move(done));
  }
  int reads = 0;

 private:
  TableStore& table_;
};

template <typename Handler>
std::unique_ptr<HttpServer> Serve(Loop& loop, Handler& handler) {
  auto server = HttpServer::Listen(
      loop, {"127.0.0.1", 0}, [&](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
        handler.Handle(request, reply);
      });
  REQUIRE(IsOk(server));
  return std::move(ValueOf(server));
}

standin::EngineSettings EngineOf(bool checks_fencing) {
  standin::EngineSettings settings;
  settings.models = {"note-llm"};
  settings.checks_fencing = checks_fencing;
  settings.load_model_time = Duration(100'000);
  return settings;
}

// An engine and a platform over HTTP, and agents beside the engine.
struct Fleet {
  explicit Fleet(bool checks_fencing)
      : engine(loop, EngineOf(checks_fencing), SystemRandom()),
        platform(loop, {}),
        engine_server(Serve(loop, engine)),
        platform_server(Serve(loop, platform)),
        client_of_platform(client, platform_server->address(), Duration(2'000'000)),
        table(client_of_platform),
        port(client, engine_server->address(), BackendKind::kModel) {}

  PlacementShell Agent(Incarnation incarnation) {
    return {{loop, table, client_of_platform, port, SystemRandom(), NodeId{"a-1"}, incarnation,
             [this](std::function<void()> drained) {
               ++drains;
               loop.Post(std::move(drained));
             },
             [this] { ++drain_ends; }},
            kSettings};
  }
  // Runs the loop until the condition holds; once in each fleet.
  void Until(const std::function<bool()>& holds) {
    bool held = false;
    const Timer look = loop.Every(Duration(10'000), [&] {
      held = holds();
      if (held) loop.Stop();
    });
    const Timer give_up = loop.After(kGiveUp, [&] { loop.Stop(); });
    loop.Run();
    REQUIRE(held);
  }
  // The engine's state as last asked for.
  void Ask() {
    port.State([this](Result<EngineState> state) {
      if (IsOk(state)) last = ValueOf(state);
    });
  }

  Loop loop;
  HttpClient client{loop};
  standin::Engine engine;
  standin::Platform platform;
  std::unique_ptr<HttpServer> engine_server;
  std::unique_ptr<HttpServer> platform_server;
  HttpPlatform client_of_platform;
  CountingTable table;
  EngineClient port;
  int drains = 0;
  int drain_ends = 0;
  EngineState last;
};

ControlState Wanting(Sequence sequence, const char* version, const char* role,
                     bool checks_fencing) {
  ControlState fold;
  fold.config.backends[NodeId{"a-1"}] = {NodeId{"a-1"}, {}, checks_fencing};
  ControlState::PlacementOrder& order = fold.placements[NodeId{"a-1"}];
  order.sequence = sequence;
  order.placement.models = {{"note-llm", version}};
  order.placement.role = role;
  return fold;
}

void LoseOrderAnswers(Fleet& fleet, int count) {
  fleet.client.Fetch({.method = "POST",
                      .to = fleet.engine_server->address(),
                      .target = "/standin/faults",
                      .body = nlohmann::json{{"lose_order_answers", count}}.dump()},
                     [](const Result<HttpResponse>& answer) { REQUIRE(IsOk(answer)); });
}

}  // namespace

// Symptom: an engine is out of service for ten minutes after a change of model.
// Events: the engine carries orders out and their answers are lost. Cause:
// nobody looks at what the engine holds.
TEST_CASE("a model and a role change reach an engine whose answers get lost") {
  for (const bool checks_fencing : {true, false}) {
    CAPTURE(checks_fencing);
    Fleet fleet(checks_fencing);
    PlacementShell agent = fleet.Agent(7);
    LoseOrderAnswers(fleet, 2);
    agent.OnFold(Wanting(812, "2", "prefill", checks_fencing));
    fleet.Until([&] {
      fleet.Ask();
      return agent.settled() && fleet.drain_ends > 0 && fleet.last.role == "prefill" &&
             fleet.last.models == std::vector<std::string>{"note-llm@2"};
    });
    CHECK(fleet.last.fence == (checks_fencing ? 812 : 0));
    CHECK(fleet.drains == fleet.drain_ends);
  }
}

// Symptom: an engine changes back to an old role. Events: an agent is paused,
// a new process takes its slot and orders, the old one wakes with orders of its
// own, even newer ones. Cause: two orderers that both believe it is theirs.
TEST_CASE("an agent whose slot a later process has taken orders nothing") {
  Fleet fleet(false);
  PlacementShell later = fleet.Agent(8);
  PlacementShell earlier = fleet.Agent(7);
  later.OnFold(Wanting(812, "1", "prefill", false));
  bool woken = false;
  int reads_before = 0;
  fleet.Until([&] {
    fleet.Ask();
    if (!woken && later.settled() && fleet.last.role == "prefill") {
      woken = true;
      reads_before = fleet.table.reads;
      earlier.OnFold(Wanting(813, "1", "decode", false));
    }
    return woken && fleet.table.reads > reads_before && fleet.last.role == "prefill" &&
           fleet.drains == fleet.drain_ends;
  });
  CHECK_FALSE(earlier.settled());
  CHECK(fleet.drains == 1);  // the later one's
}
