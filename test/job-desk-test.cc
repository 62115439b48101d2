#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "gateway/clocked_tables.h"
#include "gateway/job_desk.h"
#include "gateway/table_follower.h"
#include "platform/adapter.h"
#include "test/gateway-fakes.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

class FakeReply final : public HttpReply {
 public:
  void Send(HttpResponse response) override { answer = std::move(response); }
  void Begin(HttpResponse /*head*/) override {}
  void Write(std::string /*bytes*/) override {}
  void End() override {}
  void OnClosed(std::function<void()> /*closed*/) override {}
  std::optional<HttpResponse> answer;
};

// One entry's desk over a store that the entries of a test share.
struct Desk {
  Desk(Loop& the_loop, fake::TableData& data, const std::string& node)
      : loop(the_loop),
        tables(loop, data),
        peers({NodeId{node}, 1, Address{"10.0.0.1", 1}, DataCentre{"dc"}, 1, false}),
        store(loop, clocked, metrics, peers, SystemRandom(),
              {[](OwnedJob&, const std::vector<ledger::ProgressPiece>&) {}, [](const JobId&) {},
               [](OwnedJob&) {}, [this](const JobRecord& head) { desk.OnChanged(head); }}),
        desk(loop, store, clock, *adapter) {
    store.Start();
    fake::RunUntil(loop, [this] { return clock.Latest(Loop::SinceBoot()).has_value(); });
    route.name = "r";
    route.host = "h";
    route.prefix = "/b/";
    route.kind = RouteKind::kBatch;
    route.job_due = std::chrono::seconds(18);
  }

  HttpResponse Submit(const std::string& id) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/b/x";
    request.headers = {{adapter->names().request_id, id}};
    request.body = R"({"requests":[{"id":"i0","path":"/b/0","headers":{},"body":"YQ=="},)"
                   R"({"id":"i1","path":"/b/1","headers":{},"body":"Yg=="}]})";
    auto reply = std::make_shared<FakeReply>();
    desk.Submit(route, 1, team, std::move(request), reply);
    return Await(*reply);
  }
  HttpResponse Call(const JobCall& call) {
    auto reply = std::make_shared<FakeReply>();
    desk.Call(call, team, reply);
    return Await(*reply);
  }
  HttpResponse Await(const FakeReply& reply) {
    fake::RunUntil(loop, [&reply] { return reply.answer.has_value(); });
    return *reply.answer;
  }
  void Finish(std::size_t item) {
    OwnedJob* job = store.Owned(JobId{"job"});
    REQUIRE(job != nullptr);
    job->Finish(item, {job->items()[item].id, ResultState::kComplete, "text"});
    store.Write(*job);
    const auto listed = store.Known(JobId{"job"})->stored_results;
    fake::RunUntil(loop, [&] { return store.Known(JobId{"job"})->stored_results > listed; });
  }

  Loop& loop;
  std::unique_ptr<PlatformAdapter> adapter = users::MakeAdapter();
  fake::Tables tables;
  PeerTable peers;
  StoreClock clock;
  ClockedTables clocked{tables, clock};
  Metrics metrics;
  JobStore store;
  JobDesk desk;
  Route route;
  std::optional<TeamId> team;  // of all calls
};

}  // namespace

TEST_CASE("a job is accepted with 202 and its results are read in pages") {
  Loop loop;
  fake::TableData data;
  Desk a(loop, data, "a");
  CHECK(a.Submit("job").status == 202);
  CHECK(a.Submit("job").status == 202);
  a.Finish(1);
  const HttpResponse read = a.Call(JobReadCall{JobId{"job"}, 0, Duration{0}});
  CHECK(read.status == 200);
  CHECK(read.body.find(R"("id":"i1")") != std::string::npos);
  CHECK(read.body.find(R"("next":1)") != std::string::npos);
  const HttpResponse body = a.Call(JobItemCall{JobId{"job"}, "i0"});
  CHECK(body.body == "a");
  CHECK(a.Call(JobReadCall{JobId{"none"}, 0, Duration{0}}).status == 404);
}

TEST_CASE("a read waits for the next result") {
  Loop loop;
  fake::TableData data;
  Desk a(loop, data, "a");
  CHECK(a.Submit("job").status == 202);
  auto reply = std::make_shared<FakeReply>();
  a.desk.Call(JobReadCall{JobId{"job"}, 0, Duration{2'000'000}}, std::nullopt, reply);
  fake::RunFor(loop, Duration{50'000});
  CHECK_FALSE(reply->answer);
  a.Finish(0);
  CHECK(a.Await(*reply).body.find(R"("id":"i0")") != std::string::npos);
}

// Symptom: results that a caller has read are missing when it reads them elsewhere.
// Sequence: the owner lists results; another entry, whose feed hears of nothing for a
// moment, is asked from a position behind those that it knows.
// Cause: "none yet" was said of the copy, which is older than what the caller has seen.
TEST_CASE("no result is said to be missing by an entry whose copy is old") {
  Loop loop;
  fake::TableData data;
  Desk a(loop, data, "a");
  Desk b(loop, data, "b");
  CHECK(a.Submit("job").status == 202);
  fake::RunUntil(loop, [&] { return b.store.Known(JobId{"job"}) != nullptr; });
  b.tables.deaf = true;
  a.Finish(0);
  const HttpResponse read = b.Call(JobReadCall{JobId{"job"}, 0, Duration{50'000}});
  CHECK(read.body.find(R"("id":"i0")") != std::string::npos);
}

TEST_CASE("an entry that can't be sure says so") {
  Loop loop;
  fake::TableData data;
  Desk a(loop, data, "a");
  CHECK(a.Submit("job").status == 202);
  a.tables.refuse = true;
  CHECK(a.Call(JobReadCall{JobId{"job"}, 0, Duration{0}}).status == 503);
  CHECK(a.Call(JobReadCall{JobId{"none"}, 0, Duration{0}}).status == 503);
  // Refused for sure: it may come again. Without an answer that can't be said.
  CHECK(a.Submit("other").status == 503);
  a.tables.refuse = false;
  a.tables.silent = true;
  CHECK(a.Submit("other").status == 504);
}

TEST_CASE("a malformed job is refused with the place of what is wrong") {
  Loop loop;
  fake::TableData data;
  Desk a(loop, data, "a");
  HttpRequest request;
  request.headers = {{a.adapter->names().request_id, "job"}};
  request.body = R"({"requests":[{"id":"i0"}]})";
  auto reply = std::make_shared<FakeReply>();
  a.desk.Submit(a.route, 1, std::nullopt, std::move(request), reply);
  const HttpResponse answer = a.Await(*reply);
  CHECK(answer.status == 400);
  CHECK(answer.body.find("'path' is missing") != std::string::npos);
  CHECK(answer.body.find(R"("ran":"no")") != std::string::npos);
}

// Symptom: an entry answers by an old configuration for seconds after the store has
// come back.
// Sequence: the store goes silent while a feed call is out, and returns; the call runs
// into its time-out before the next one is made.
TEST_CASE("after a failure the feed is asked in short calls") {
  Loop loop;
  fake::TableData data;
  fake::Tables tables(loop, data);
  TableFollower follower(
      loop, tables, "t", {""}, [](const TableMirror::Change&) {}, [] {});
  follower.Start();
  fake::RunUntil(loop, [&] { return !tables.waits.empty(); });
  CHECK(tables.waits.back() == TableFollower::kWait);
  tables.refuse = true;
  fake::RunUntil(loop, [&] { return !follower.connected(); });
  tables.refuse = false;
  fake::RunUntil(loop, [&] { return follower.connected(); });
  CHECK(tables.waits.back() == TableFollower::kTroubledWait);
}

TEST_CASE("a job is there for its team alone") {
  Loop loop;
  fake::TableData data;
  Desk rye(loop, data, "a");
  rye.team = TeamId{"rye"};
  Desk shore(loop, data, "b");
  shore.team = TeamId{"shore"};
  CHECK(rye.Submit("job").status == 202);
  const HttpResponse never = shore.Call(JobReadCall{JobId{"none"}, 0, Duration{0}});
  for (const JobCall& call :
       std::initializer_list<JobCall>{JobReadCall{JobId{"job"}, 0, Duration{0}},
                                      JobItemCall{JobId{"job"}, "i0"}, JobEndCall{JobId{"job"}}}) {
    const HttpResponse theirs = shore.Call(call);
    CHECK(theirs.status == 404);
    CHECK(theirs.body == never.body);
  }
  CHECK(rye.Call(JobItemCall{JobId{"job"}, "i0"}).body == "a");
  CHECK(rye.Call(JobReadCall{JobId{"job"}, 0, Duration{0}}).status == 200);
}

// Guards against an answer that shows by its time that another team's job is there.
TEST_CASE("another team's job takes as many calls to the store as one that never was") {
  Loop loop;
  fake::TableData data;
  Desk rye(loop, data, "a");
  rye.team = TeamId{"rye"};
  CHECK(rye.Submit("job").status == 202);
  rye.team = TeamId{"shore"};
  fake::RunFor(loop, Duration{200'000});  // the entry's own reads are over
  const auto reads = [&rye](const std::string& job) {
    const int before = rye.tables.reads;
    CHECK(rye.Call(JobReadCall{JobId{job}, 0, Duration{0}}).status == 404);
    return rye.tables.reads - before;
  };
  CHECK(reads("job") == reads("none"));
}

TEST_CASE("a job keeps its team over a restart") {
  Loop loop;
  fake::TableData data;
  {
    Desk a(loop, data, "a");
    a.team = TeamId{"rye"};
    CHECK(a.Submit("job").status == 202);
  }
  Desk b(loop, data, "b");
  b.team = TeamId{"shore"};
  CHECK(b.Call(JobReadCall{JobId{"job"}, 0, Duration{0}}).status == 404);
  b.team = TeamId{"rye"};
  CHECK(b.Call(JobReadCall{JobId{"job"}, 0, Duration{0}}).status == 200);
}
