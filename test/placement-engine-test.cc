#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "figmilld/agent/engine_client.h"
#include "figmilld/agent/placement_executor.h"
#include "standin/engine.h"
#include "standin/platform.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Duration kTestTimeout{60'000'000};  // reached only when a test fails
constexpr ReconcilerSettings kSettings{.ownership_validity = Duration(500'000),
                                       .max_order_time = Duration(500'000),
                                       .order_poll_period = Duration(200'000),
                                       .state_poll_period = Duration(500'000),
                                       .min_backoff = Duration(50'000),
                                       .max_backoff = Duration(200'000),
                                       .weight_bytes = 1000};

// A table store that counts reads.
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

// An engine and a platform over HTTP, and agents of the engine.
struct EngineFixture {
  explicit EngineFixture(bool checks_fencing)
      : engine(loop, EngineOf(checks_fencing), SystemRandom()),
        platform(loop, {}),
        engine_server(Serve(loop, engine)),
        platform_server(Serve(loop, platform)),
        client_of_platform(client, platform_server->address(), Duration(2'000'000)),
        table(client_of_platform),
        port(client, engine_server->address(), BackendKind::kModel) {}

  PlacementExecutor Agent(Incarnation incarnation) {
    return {{loop, table, client_of_platform, port, SystemRandom(), NodeId{"a-1"}, incarnation,
             [this](std::function<void()> drained) {
               ++drains;
               loop.Post(std::move(drained));
             },
             [this] { ++drain_ends; }},
            kSettings};
  }
  // Runs the loop until `condition` is true; only once per fixture.
  void RunUntil(const std::function<bool()>& condition) {
    bool met = false;
    const Timer poll = loop.Every(Duration(10'000), [&] {
      met = condition();
      if (met) loop.Stop();
    });
    const Timer timeout = loop.After(kTestTimeout, [&] { loop.Stop(); });
    loop.Run();
    REQUIRE(met);
  }
  // Requests the engine's state and stores it in `last`.
  void RefreshState() {
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

ControlState FoldWithPlacement(Sequence sequence, const char* version, const char* role,
                               bool checks_fencing) {
  ControlState fold;
  fold.config.backends[NodeId{"a-1"}] = {NodeId{"a-1"}, {}, checks_fencing};
  ControlState::PlacementOrder& order = fold.placements[NodeId{"a-1"}];
  order.sequence = sequence;
  order.placement.models = {{"note-llm", version}};
  order.placement.role = role;
  return fold;
}

void LoseOrderAnswers(EngineFixture& fixture, int count) {
  fixture.client.Fetch({.method = "POST",
                        .to = fixture.engine_server->address(),
                        .target = "/standin/faults",
                        .body = nlohmann::json{{"lose_order_answers", count}}.dump()},
                       [](const Result<HttpResponse>& answer) { REQUIRE(IsOk(answer)); });
}

}  // namespace

// An engine must not be out of service for ten minutes after a change of model: it
// carries the orders out and their answers are lost. Only reading its state reveals
// that.
TEST_CASE("a model and a role change reach an engine whose answers get lost") {
  for (const bool checks_fencing : {true, false}) {
    CAPTURE(checks_fencing);
    EngineFixture fixture(checks_fencing);
    PlacementExecutor agent = fixture.Agent(7);
    LoseOrderAnswers(fixture, 2);
    agent.OnControlState(FoldWithPlacement(812, "2", "prefill", checks_fencing));
    fixture.RunUntil([&] {
      fixture.RefreshState();
      return agent.settled() && fixture.drain_ends > 0 && fixture.last.role == "prefill" &&
             fixture.last.models == std::vector<std::string>{"note-llm@2"};
    });
    CHECK(fixture.last.fence == (checks_fencing ? 812 : 0));
    CHECK(fixture.drains == fixture.drain_ends);
  }
}

// An engine must not change back to an old role: an agent is paused, a new process
// takes its slot and sends orders, and the old one resumes with orders of its own,
// even newer ones. Both would then act as the engine's owner.
TEST_CASE("an agent whose slot a later process has taken sends no orders") {
  EngineFixture fixture(false);
  PlacementExecutor later = fixture.Agent(8);
  PlacementExecutor earlier = fixture.Agent(7);
  later.OnControlState(FoldWithPlacement(812, "1", "prefill", false));
  bool earlier_resumed = false;
  int reads_before = 0;
  fixture.RunUntil([&] {
    fixture.RefreshState();
    if (!earlier_resumed && later.settled() && fixture.last.role == "prefill") {
      earlier_resumed = true;
      reads_before = fixture.table.reads;
      earlier.OnControlState(FoldWithPlacement(813, "1", "decode", false));
    }
    return earlier_resumed && fixture.table.reads > reads_before &&
           fixture.last.role == "prefill" && fixture.drains == fixture.drain_ends;
  });
  CHECK_FALSE(earlier.settled());
  CHECK(fixture.drains == 1);  // of the later agent
}
