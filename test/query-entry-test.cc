#include <doctest/doctest.h>

#include <string>

#include "figmill/batch.h"
#include "figmilld/control/entry_query.h"
#include "test/control-fakes.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

class FakeTable : public TableStore {
 public:
  explicit FakeTable(fake::Store& store) : store_(store) {}
  void Commit(Transaction transaction, std::function<void(TransactionOutcome)> done) override {
    done(store_.Commit(transaction));
  }
  void Read(std::string key, std::function<void(Result<std::optional<Row>>)> done) override {
    done(store_.Read(key));
  }
  void Scan(RowRange range, std::function<void(Result<std::vector<Row>>)> done) override {
    done(store_.Scan(range));
  }

 private:
  fake::Store& store_;
};

class FakeObjects : public ObjectStore {
 public:
  explicit FakeObjects(fake::Store& store) : store_(store) {}
  void Put(std::string key, std::string bytes, std::function<void(Result<Ok>)> done) override {
    store_.objects[key] = std::move(bytes);
    done(Ok{});
  }
  void Get(std::string key, std::function<void(Result<std::string>)> done) override {
    const auto found = store_.objects.find(key);
    if (found == store_.objects.end()) return done(Error{ErrorKind::kNotFound, key});
    done(found->second);
  }
  void Delete(std::string key, std::function<void(Result<Ok>)> done) override {
    store_.objects.erase(key);
    done(Ok{});
  }

 private:
  fake::Store& store_;
};

// Takes every append, in the store and in the fold.
class FakeControl : public ControlAccess {
 public:
  explicit FakeControl(fake::Store& store) : store_(store) {}
  std::shared_ptr<const ControlState> CurrentFold() const override { return fold; }
  std::vector<Member> CurrentMembers() const override { return members; }
  void Append(ControlEntry entry, std::string author, std::optional<Sequence> if_version,
              std::optional<Sequence> /*built_on*/,
              std::function<void(Result<Sequence>)> done) override {
    if (if_version && *if_version != fold->sequence) {
      return done(Error{ErrorKind::kStaleVersion, "the log stands elsewhere"});
    }
    const Result<Ok> checked = CheckEntry(*fold, entry);
    if (!IsOk(checked)) return done(ErrorOf(checked));
    const LogRecord record{fold->sequence + 1, Token{"t"}, std::move(author), std::move(entry)};
    auto next = std::make_shared<ControlState>(*fold);
    Apply(*next, record);
    fold = next;
    (void)store_.Commit({{}, {PutRow{LogKey(record.sequence), ToJson(record)}}});
    done(record.sequence);
  }
  void AskInForce(Sequence /*sequence*/) override {
    if (--asks_until_in_force > 0) return;
    report.in_force += report.lagging.size();
    report.lagging.clear();
  }
  InForceReport InForce(Sequence /*sequence*/) const override { return report; }

  std::shared_ptr<const ControlState> fold = std::make_shared<const ControlState>();
  std::vector<Member> members;
  InForceReport report{1, {}, {}};
  int asks_until_in_force = 1;

 private:
  fake::Store& store_;
};

class FakeReply : public HttpReply {
 public:
  explicit FakeReply(std::function<void(HttpResponse)> sent) : sent_(std::move(sent)) {}
  void Send(HttpResponse response) override { sent_(std::move(response)); }
  void Begin(HttpResponse /*head*/) override {}
  void Write(std::string /*bytes*/) override {}
  void End() override {}
  void OnClosed(std::function<void()> /*closed*/) override {}

 private:
  std::function<void(HttpResponse)> sent_;
};

struct Entry {
  explicit Entry(Loop& the_loop, const char* name = "e-1")
      : loop(the_loop), query({loop, client, table, objects, control, NodeId{name}}) {}

  HttpResponse Send(HttpRequest request) {
    std::optional<HttpResponse> answer;
    bool running = false;  // a loop that was stopped doesn't run again
    query.OnRequest(request, std::make_shared<FakeReply>([&](HttpResponse response) {
                      answer = std::move(response);
                      if (running) loop.Stop();
                    }));
    running = !answer;
    if (running) loop.Run();
    REQUIRE(answer.has_value());
    return *answer;
  }
  HttpResponse Say(std::string statement) {
    return Send({"POST", "/v1/query", "", {{"Figmill-Operator", "kai"}}, std::move(statement)});
  }
  // The first cells of the answered rows.
  std::string Names(std::string statement) {
    const HttpResponse response = Say(std::move(statement));
    const Result<query::QueryAnswer> answer = query::ParseAnswer(response.body);
    if (!IsOk(answer)) return response.body;
    std::string names;
    for (const query::TableRow& row : std::get<query::Table>(ValueOf(answer)).rows) {
      names += std::get<std::string>(row.front()) + " ";
    }
    return names;
  }
  void Put(std::string key, std::string value) {
    (void)store.Commit({{}, {PutRow{std::move(key), std::move(value)}}});
  }

  Loop& loop;
  fake::Store store;
  HttpClient client{loop};
  FakeTable table{store};
  FakeObjects objects{store};
  FakeControl control{store};
  EntryQuery query;
};

ErrorKind KindOf(const HttpResponse& response) {
  return ErrorFromProblem(response.status, response.body).kind;
}

void PutJob(Entry& entry, const char* name, JobState state) {
  JobRow job{.token = Token{"t"}, .state = state, .team = TeamId{"x"}, .items = 4, .chunks = 2};
  entry.Put(JobKey(JobId{name}), EncodeJobRow(job));
}

}  // namespace

TEST_CASE("an order lands in the log under its operator's name and can be asked for") {
  Loop loop;
  Entry entry(loop);
  CHECK(entry.Say("create service a kind model").body == "{\"sequence\":1}\n");
  CHECK(entry.Say("set service a deadline 5s if version 1").status == 200);
  CHECK(KindOf(entry.Say("remove service a if version 1")) == ErrorKind::kStaleVersion);
  CHECK(entry.Names("show services where deadline = 5s") == "a ");
  const std::string log = entry.Say("show log since 1").body;
  CHECK(log.find("\"by\":\"kai\"") != std::string::npos);
  CHECK(log.find("\"sequence\":1") == std::string::npos);
  // What the configuration was, and that the future isn't known.
  CHECK(entry.Say("show config at 1").body.find("60000") != std::string::npos);
  CHECK(entry.Say("show config at 2").body.find("5000") != std::string::npos);
  CHECK(KindOf(entry.Say("show config at 3")) == ErrorKind::kNotFound);
}

TEST_CASE("a whole configuration is refused by the name of what it doesn't know") {
  Loop loop;
  Entry entry(loop);
  const auto post = [&](std::string query, std::string body) {
    return entry.Send({"POST", "/v1/config", std::move(query), {}, std::move(body)});
  };
  const HttpResponse refused = post("", R"({"services":[{"name":"a","knd":"model"}]})");
  CHECK(KindOf(refused) == ErrorKind::kBadRequest);
  CHECK(refused.body.find("knd") != std::string::npos);
  CHECK(KindOf(post("if_version=x", "{}")) == ErrorKind::kBadRequest);
  CHECK(entry.control.fold->sequence == 0);
  CHECK(post("if_version=0", R"({"services":[{"name":"a"}]})").status == 200);
  CHECK(KindOf(post("if_version=0", "{}")) == ErrorKind::kStaleVersion);
  CHECK(entry.Send({"GET", "/v1/config", "", {}, ""}).body.starts_with("{\"version\":1,"));
}

// Symptom: an advisor believes a report withdrawn, and it is written all the
// same. Events: the job's name is mistyped in `cancel job`. Cause: the log takes
// a cancellation of what isn't there.
TEST_CASE("cancelling a job that isn't there or is done is refused and changes nothing") {
  Loop loop;
  Entry entry(loop);
  PutJob(entry, "running", JobState::kRunning);
  PutJob(entry, "done", JobState::kDone);
  CHECK(KindOf(entry.Say("cancel job runing")) == ErrorKind::kNotFound);
  CHECK(KindOf(entry.Say("cancel job done")) == ErrorKind::kConflict);
  CHECK(entry.control.fold->sequence == 0);
  CHECK(entry.Say("cancel job running").status == 200);
  entry.store.down = true;
  CHECK(KindOf(entry.Say("cancel job running")) == ErrorKind::kStoreUnavailable);
}

TEST_CASE("jobs are counted from their chunks, and items read from their results") {
  Loop loop;
  Entry entry(loop);
  PutJob(entry, "a", JobState::kRunning);
  PutJob(entry, "b", JobState::kRunning);
  PutJob(entry, "c", JobState::kDone);
  const JobId job{"b"};
  ChunkRow chunk{.token = Token{"t"}, .object = "r", .pieces = 2, .succeeded = 2, .failed = 1};
  entry.Put(ChunkKey(job, 0), EncodeChunkRow(chunk));
  entry.store.objects["r-0"] =
      "{\"custom_id\":\"i0\",\"response\":{}}\n{\"custom_id\":\"i1\",\"err";
  entry.store.objects["r-1"] =
      "or\":{\"kind\":\"backend-failed\",\"detail\":\"x\"}}\n{\"custom_id\":\"i2\",\"response\":{}}"
      "\n";
  CHECK(entry.Names("show jobs where state = running order by job desc") == "b a ");
  CHECK(entry.Names("show jobs where failed > 0") == "b ");
  CHECK(entry.Names("show items of b") == "i0 i1 i2 ");
  CHECK(entry.Names("show items of b where state = failed") == "i1 ");
  CHECK(KindOf(entry.Say("show items of nowhere")) == ErrorKind::kNotFound);
}

TEST_CASE("more jobs than can be counted are listed without counts, never with wrong ones") {
  Loop loop;
  Entry entry(loop);
  for (int i = 0; i < 1500; ++i) {
    PutJob(entry, ("j" + std::to_string(10'000 + i)).c_str(), JobState::kRunning);
  }
  CHECK(entry.Say("show jobs").body.find("\"done\":0") == std::string::npos);
  CHECK(KindOf(entry.Say("show jobs where failed > 0")) == ErrorKind::kTooLarge);
  CHECK(entry.Names("show jobs order by job desc limit 1") == "j11499 ");
}

TEST_CASE("await answers once all run on it, or says who is behind") {
  Loop loop;
  Entry entry(loop);
  (void)entry.Say("create service a kind model");
  entry.control.report = {2, {NodeId{"a-7"}}, {NodeId{"a-9"}}};
  entry.control.asks_until_in_force = 3;
  const std::string partly = entry.Say("await 1").body;
  CHECK(partly.find("\"in_force\":3") != std::string::npos);
  CHECK(partly.find("\"complete\":false") != std::string::npos);
  CHECK(partly.find("a-9") != std::string::npos);
  entry.control.report.unreachable.clear();
  CHECK(entry.Say("await 1").body.find("\"complete\":true") != std::string::npos);
}

// Symptom: `await` of a version that an order has just got says there is none.
// Events: the order went to another entry, whose news is still on its way.
// Cause: taking what this entry hasn't heard of for what isn't there.
TEST_CASE("await waits for a version that isn't heard of yet, and no longer than it may take") {
  {
    Loop loop;
    Entry entry(loop);
    const Timer news = loop.After(Duration(300'000), [&] {
      entry.control.Append(PutService{{ServiceName{"a"}}}, "ben", {}, {}, [](const auto&) {});
    });
    CHECK(entry.Say("await 1").body.find("\"complete\":true") != std::string::npos);
  }
  Loop loop;
  Entry entry(loop);
  CHECK(KindOf(entry.Say("await 1")) == ErrorKind::kNotFound);
}

TEST_CASE("whatever a caller is refused is recorded with its service, team and truth") {
  Loop loop;
  Entry entry(loop);
  const auto ignore = [](const HttpResponse&) {};
  const auto answer = [&](HttpRequest request) {
    return entry.query.Recording(request, std::make_shared<FakeReply>(ignore));
  };
  answer({"POST",
          "/v1/completions",
          "",
          {{"Figmill-Team", "x"}},
          R"({"prompt":"a \"model\":\"no\"", "model" : "note-llm"})"})
      ->Send(ProblemOf({ErrorKind::kOverloaded, "queues full", Ran::kNo}));
  const auto stream = answer({"GET", "/v1/services/field-app/notes", "team=y", {}, ""});
  stream->Begin({});
  stream->Write("event: error\ndata: " +
                ProblemOf({ErrorKind::kBrokenAnswer, "cut", Ran::kYes}).body + "\n\n");
  answer({"GET", "/v1/jobs/a", "", {}, ""})->Send({200, "application/json", {}, "{}"});
  const Result<query::QueryAnswer> shown = query::ParseAnswer(entry.Say("show refusals").body);
  REQUIRE(IsOk(shown));
  const auto& rows = std::get<query::Table>(ValueOf(shown)).rows;
  REQUIRE(rows.size() == 2);
  const auto text = [&](int row, int column) { return std::get<std::string>(rows[row][column]); };
  CHECK(text(0, 2) + " " + text(0, 3) + " " + text(0, 4) + " " + text(0, 5) ==
        "note-llm x overloaded no");
  CHECK(text(1, 2) + " " + text(1, 3) + " " + text(1, 4) + " " + text(1, 5) ==
        "field-app y broken-answer yes");
}

// Symptom: an operator finds no trace of a refusal that a caller reports.
// Events: the balancer led the caller to another entry than the operator.
// Cause: each entry keeps its own refusals.
TEST_CASE("refusals are gathered from all entries, and one that can't be asked is named") {
  Loop loop;
  Entry here(loop, "e-1");
  Entry there(loop, "e-2");
  RpcServer rpc;
  there.query.BindRpc(rpc);
  auto server = HttpServer::Listen(
      loop, {"127.0.0.1", 0}, [&](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
        reply->Send({200, "application/json", {}, rpc.Handle(request.body)});
      });
  REQUIRE(IsOk(server));
  Member peer{.node = NodeId{"e-2"}, .role = Role::kEntry};
  peer.http = ValueOf(server)->address();
  Member gone{.node = NodeId{"e-3"}, .role = Role::kEntry, .http = {"127.0.0.1", 1}};
  here.control.members = {peer, gone};
  there.query.RecordRefusal({Loop::WallNow(), ServiceName{"a"}, TeamId{"x"}, ErrorKind::kOverloaded,
                             "queues full", Ran::kNo});
  there.query.RecordRefusal(
      {WallTime{}, ServiceName{"a"}, TeamId{"x"}, ErrorKind::kNoBackend, "long ago", Ran::kNo});
  const std::string body = here.Say("show refusals since 10m").body;
  CHECK(body.find("queues full") != std::string::npos);
  CHECK(body.find("\"entry\":\"e-2\"") != std::string::npos);
  CHECK(body.find("long ago") == std::string::npos);
  CHECK(body.find("could not be asked") != std::string::npos);
}
