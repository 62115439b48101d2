#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/job_store.h"
#include "test/gateway-fakes.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Duration kMillisecond{1'000};
constexpr Duration kSlowAnswer{600'000};  // the feed shows a change well before it

Peer PeerNamed(const std::string& node, double capacity = 1) {
  return {NodeId{node}, 1, Address{"10.0.0.1", 1}, DataCentre{"dc"}, capacity, false};
}

JobSubmission Submission(const std::string& id = "job", const std::string& body = "body") {
  return {JobId{id}, {{"i0", "/p/0", {}, body, 0}, {"i1", "/p/1", {}, body, 0}}};
}

JobRecord HeadOf(const JobSubmission& submission) {
  JobRecord head;
  head.id = submission.id;
  head.route = "r";
  head.host = "h";
  head.total = static_cast<std::uint32_t>(submission.items.size());
  head.done = std::string(submission.items.size(), '.');
  head.due = std::chrono::hours(1);
  head.digest = ledger::SubmissionDigest(submission);
  return head;
}

// The jobs of one entry, over a store that the entries of a test share.
struct Entry {
  Entry(Loop& the_loop, fake::TableData& data, const Peer& self)
      : loop(the_loop),
        tables(loop, data),
        peers(self),
        store(loop, tables, metrics, peers, SystemRandom(),
              {[this](OwnedJob& job, const std::vector<ledger::ProgressPiece>& pieces) {
                 owned.insert(job.record().id.value);
                 owned_ever.insert(job.record().id.value);
                 known_when_owned = store.KnownHead(job.record().id) != nullptr;
                 progress = pieces;
               },
               [this](const JobId& job) { owned.erase(job.value); },
               [this](OwnedJob& job) {
                 job.AddProgress({1, 0, "begun", "4", 4});
                 owned.erase(job.record().id.value);
               },
               [](const JobRecord&) {}}) {
    store.Start();
  }
  // Returns "accepted", or the kind of the error and whether the write may have taken effect.
  std::string Accept(const JobSubmission& submission) {
    std::string got;
    store.Accept(HeadOf(submission), submission, [&got](const Result<Ok>& result) {
      got = IsOk(result) ? "accepted"
                         : std::string(ErrorInfoOf(ErrorOf(result).kind).name) + " " +
                               std::string(ToString(ErrorOf(result).ran));
    });
    fake::RunUntil(loop, [&got] { return !got.empty(); });
    return got;
  }
  void Finish(const std::string& job, std::size_t item, const std::string& output) {
    OwnedJob* mine = store.FindOwned(JobId{job});
    REQUIRE(mine != nullptr);
    mine->Finish(item, {mine->items()[item].id, ResultState::kComplete, output});
    store.Write(*mine);
  }
  std::vector<ItemResult> Results(const std::string& job) {
    std::vector<ItemResult> results;
    bool done = false;
    store.ReadResults(JobId{job}, 0, [&](const Result<std::vector<ItemResult>>& found) {
      if (IsOk(found)) results = ValueOf(found);
      done = true;
    });
    fake::RunUntil(loop, [&done] { return done; });
    return results;
  }
  // From now on answers of the store are late. Returns once the list of jobs was read.
  void SlowDown() {
    fake::RunUntil(loop, [this] { return store.loaded(); });
    tables.lateness = kSlowAnswer;
    tables.reads = 0;
  }
  void AwaitRead() {
    fake::RunUntil(loop, [this] { return tables.reads > 0; });
  }
  void End(const std::string& job) {
    bool ended = false;
    store.End(JobId{job}, [&ended](const Result<Ok>& result) { ended = IsOk(result); });
    fake::RunUntil(loop, [&ended] { return ended; });
  }
  std::uint32_t Listed(const std::string& job) {
    const JobRecord* head = store.KnownHead(JobId{job});
    return head == nullptr ? 0 : head->stored_results;
  }

  Loop& loop;
  fake::Tables tables;
  PeerTable peers;
  std::set<std::string> owned;
  std::set<std::string> owned_ever;
  bool known_when_owned = false;
  std::vector<ledger::ProgressPiece> progress;
  Metrics metrics;
  JobStore store;
};

struct Fixture {
  Loop loop;
  fake::TableData data;
  Entry a{loop, data, PeerNamed("a")};
};

}  // namespace

TEST_CASE("a job is accepted once, and its results are read at any entry") {
  Fixture f;
  Entry b(f.loop, f.data, PeerNamed("b"));
  CHECK(f.a.Accept(Submission()) == "accepted");
  CHECK(f.a.owned.contains("job"));
  f.a.Finish("job", 1, "second first");
  f.a.Finish("job", 0, "then the first");
  fake::RunUntil(f.loop, [&] { return b.Listed("job") == 2; });
  const auto results = b.Results("job");
  REQUIRE(results.size() == 2);
  CHECK(results[0].item == "i1");
  CHECK(results[0].output == "second first");
  CHECK(results[1].item == "i0");
  // It is submitted again, at another entry.
  CHECK(b.Accept(Submission()) == "accepted");
  CHECK(b.owned.empty());
  CHECK(b.Accept(Submission("job", "other items")) == "conflict no");
}

// Guards against a refused job that runs, or an accepted one that doesn't: the store applies the
// write and its response is lost, so that the entry doesn't know whether the job was accepted.
TEST_CASE("an accepted job whose write got no response is recognised by its row") {
  Fixture f;
  f.a.tables.lose_answers = 1;
  CHECK(f.a.Accept(Submission()) == "accepted");
  CHECK(f.a.owned.contains("job"));
}

TEST_CASE("a job that the store refuses is reported as not accepted") {
  Fixture f;
  f.a.tables.refuse = true;
  CHECK(f.a.Accept(Submission()) == "store-unavailable no");
  f.a.tables.refuse = false;
  f.a.tables.unresponsive = true;
  CHECK(f.a.Accept(Submission()) == "store-unavailable unknown");
}

// Guards against items that run twice: an entry on a small host accepts a job and assigns it to
// another entry, and both run it.
TEST_CASE("an entry on a small host assigns the jobs that it accepts to a larger one") {
  Loop loop;
  fake::TableData data;
  Entry small(loop, data, PeerNamed("small", 0.1));
  Entry large(loop, data, PeerNamed("large", 1));
  small.peers.RecordMessage(PeerNamed("large", 1), Loop::Now());
  large.peers.RecordMessage(PeerNamed("small", 0.1), Loop::Now());
  CHECK(small.Accept(Submission()) == "accepted");
  fake::RunUntil(loop, [&] { return large.owned.contains("job"); });
  CHECK(small.owned.empty());
}

// Guards against a job that makes no progress until it is late: its owner dies before all items
// have run.
TEST_CASE("a job whose owner is gone is taken over, with the saved progress of its items") {
  Fixture f;
  {
    Entry dying(f.loop, f.data, PeerNamed("dying"));
    CHECK(dying.Accept(Submission()) == "accepted");
    dying.store.FindOwned(JobId{"job"})->AddProgress({1, 0, "begun", "4", 4});
    dying.Finish("job", 0, "done");
    fake::RunUntil(f.loop, [&] { return f.a.Listed("job") == 1; });
  }
  fake::RunUntil(f.loop, [&] { return f.a.owned.contains("job"); });
  REQUIRE(f.a.progress.size() == 1);
  CHECK(f.a.progress[0].text == "begun");
  CHECK_FALSE(f.a.store.FindOwned(JobId{"job"})->IsOpen(0));
}

TEST_CASE("a job whose owner is live is left to it") {
  Fixture f;
  Entry b(f.loop, f.data, PeerNamed("b"));
  CHECK(b.Accept(Submission()) == "accepted");
  const Timer heard = f.loop.Every(10 * kMillisecond,
                                   [&] { f.a.peers.RecordMessage(PeerNamed("b"), Loop::Now()); });
  fake::RunFor(f.loop, JobStore::kTakeoverDelay + 500 * kMillisecond);
  CHECK(f.a.owned.empty());
  CHECK(b.owned.contains("job"));
}

// Guards against a result that a caller has read and that is listed again at another position:
// the owner is paused; another entry takes the job over and lists results; then the paused one
// continues, still believes that it is the owner, and writes its own results. Its write is
// conditional on the version of the row that it knows, and fails.
TEST_CASE("an owner that was replaced while it was paused changes nothing") {
  Fixture f;
  Entry paused(f.loop, f.data, PeerNamed("paused"));
  CHECK(paused.Accept(Submission()) == "accepted");
  paused.tables.feed_stalled = true;  // it receives no changes
  fake::RunUntil(f.loop, [&] { return f.a.owned.contains("job"); });
  f.a.Finish("job", 0, "by a");
  fake::RunUntil(f.loop, [&] { return f.a.Listed("job") == 1; });
  paused.Finish("job", 0, "by the paused one");
  fake::RunUntil(f.loop, [&] { return !paused.owned.contains("job"); });
  const auto results = f.a.Results("job");
  REQUIRE(results.size() == 1);
  CHECK(results[0].output == "by a");
}

TEST_CASE("a job that its sender ends at another entry stops at its owner") {
  Fixture f;
  Entry b(f.loop, f.data, PeerNamed("b"));
  CHECK(f.a.Accept(Submission()) == "accepted");
  bool ended = false;
  b.store.End(JobId{"job"}, [&ended](const Result<Ok>& result) { ended = IsOk(result); });
  fake::RunUntil(f.loop, [&] { return ended && f.a.owned.empty(); });
  CHECK_FALSE(f.a.store.KnownHead(JobId{"job"})->open());
}

// Guards against items that run after their sender was told that the job has ended: the end arrives
// while the owner loads the job.
TEST_CASE("a job that ends while the entry that it is assigned to loads it is not owned") {
  Loop loop;
  fake::TableData data;
  Entry small(loop, data, PeerNamed("small", 0.1));
  Entry large(loop, data, PeerNamed("large", 1));
  small.peers.RecordMessage(PeerNamed("large", 1), Loop::Now());
  large.peers.RecordMessage(PeerNamed("small", 0.1), Loop::Now());
  large.SlowDown();
  CHECK(small.Accept(Submission()) == "accepted");
  large.AwaitRead();
  small.End("job");
  fake::RunFor(loop, 4 * kSlowAnswer);
  CHECK(large.owned_ever.empty());
  CHECK(large.store.owned() == 0);
}

// The same for the load after a takeover.
TEST_CASE("a job that ends while the entry that has taken it over loads it is not owned") {
  Fixture f;
  Entry b(f.loop, f.data, PeerNamed("b"));
  {
    Entry dying(f.loop, f.data, PeerNamed("dying"));
    CHECK(dying.Accept(Submission()) == "accepted");
  }
  b.tables.feed_stalled = true;  // leaves the job to the other entry
  f.a.SlowDown();
  f.a.AwaitRead();
  b.End("job");
  fake::RunFor(f.loop, 4 * kSlowAnswer);
  CHECK(f.a.owned_ever.empty());
  CHECK(f.a.store.owned() == 0);
}

// The same for a job that this entry accepts: the row shows the end before the write that accepts
// the job gets its answer.
TEST_CASE("a job that ends before its entry knows that it was accepted is not owned") {
  Fixture f;
  Entry b(f.loop, f.data, PeerNamed("b"));
  fake::RunUntil(f.loop, [&] { return b.store.loaded(); });
  f.a.SlowDown();
  std::string got;
  const JobSubmission submission = Submission();
  f.a.store.Accept(HeadOf(submission), submission,
                   [&got](const Result<Ok>& result) { got = IsOk(result) ? "accepted" : "not"; });
  fake::RunUntil(f.loop, [&] { return b.store.KnownHead(JobId{"job"}) != nullptr; });
  b.End("job");
  fake::RunUntil(f.loop, [&] { return !got.empty(); });
  CHECK(got == "accepted");
  CHECK(f.a.owned_ever.empty());
  CHECK(f.a.store.owned() == 0);
}

// Guards against a restart that loses the work of all running items.
TEST_CASE("an entry that shuts down writes results and partial output and releases its jobs") {
  Fixture f;
  Entry leaving(f.loop, f.data, PeerNamed("leaving"));
  CHECK(leaving.Accept(Submission()) == "accepted");
  f.a.peers.RecordMessage(PeerNamed("leaving"), Loop::Now());
  leaving.Finish("job", 0, "done");
  bool left = false;
  leaving.store.Leave([&left] { left = true; });
  fake::RunUntil(f.loop, [&] { return left; });
  Peer gone = PeerNamed("leaving");
  gone.leaving = true;
  f.a.peers.RecordMessage(gone, Loop::Now());
  fake::RunUntil(f.loop, [&] { return f.a.owned.contains("job"); });
  CHECK(f.a.Listed("job") == 1);
  REQUIRE(f.a.progress.size() == 1);
  CHECK(f.a.progress[0].last_id == "4");
  CHECK(leaving.Accept(Submission("another")) == "leaving no");
}

TEST_CASE("an unknown job is looked up in the store before it is reported as not found") {
  Fixture f;
  std::string got;
  f.a.store.Find(JobId{"none"}, [&got](const Result<JobRecord>& head) {
    got = IsOk(head) ? "found" : std::string(ErrorInfoOf(ErrorOf(head).kind).name);
  });
  fake::RunUntil(f.loop, [&got] { return !got.empty(); });
  CHECK(got == "not-found");
  f.a.tables.refuse = true;
  got.clear();
  f.a.store.Find(JobId{"none"}, [&got](const Result<JobRecord>& head) {
    got = IsOk(head) ? "found" : std::string(ErrorInfoOf(ErrorOf(head).kind).name);
  });
  fake::RunUntil(f.loop, [&got] { return !got.empty(); });
  CHECK(got == "store-unavailable");
}

// Guards against items of a new job that wait behind those of all others and are reported to the
// slot allocators as late, although they are due first: an entry accepts a job and owns it before
// it has applied the job's row, from which the due time of the items is read, and uses 0 instead.
TEST_CASE("the row of a job is known when the job is owned") {
  Fixture f;
  CHECK(f.a.Accept(Submission()) == "accepted");
  REQUIRE(f.a.owned.contains("job"));
  CHECK(f.a.known_when_owned);
}

// Guards against a job that neither runs nor is given up, forever: its sender ends it at its
// owner; the store refuses the write, and the sender is told that the job did not end. Its items
// were stopped before the end was written, and are never started again.
TEST_CASE("a job whose end could not be written continues to run") {
  Fixture f;
  CHECK(f.a.Accept(Submission()) == "accepted");
  f.a.tables.refuse = true;
  bool refused = false;
  f.a.store.End(JobId{"job"}, [&refused](const Result<Ok>& result) { refused = !IsOk(result); });
  fake::RunUntil(f.loop, [&refused] { return refused; });
  f.a.tables.refuse = false;
  fake::RunUntil(f.loop, [&f] { return f.a.owned.contains("job"); });
  CHECK(f.a.store.KnownHead(JobId{"job"})->open());
}

// Guards against a released job that makes no progress for 5.4 s, until another entry starts:
// the owner shuts down; the entry that ranks first for the job is live but does not take it, as
// it can't read the table, and all others leave the job to it for as long as it is live.
TEST_CASE("a released job that the first-ranked entry does not take is taken by another") {
  Loop loop;
  fake::TableData data;
  const JobSubmission job = Submission();
  Entry leaving(loop, data, PeerNamed("leaving"));
  CHECK(leaving.Accept(job) == "accepted");
  // Two entries remain. The one that ranks first is known from the list only and never runs.
  PeerTable ranked(PeerNamed("b"));
  ranked.AddListed(PeerNamed("c"));
  const std::string first_ranked =
      ranked.OwnerOf(job.id.value, std::nullopt, Loop::Now())->node.value;
  Entry other(loop, data, PeerNamed(first_ranked == "b" ? "c" : "b"));
  other.peers.AddListed(PeerNamed(first_ranked));
  fake::RunUntil(loop, [&] { return other.store.KnownHead(job.id) != nullptr; });
  leaving.store.Leave([] {});
  fake::RunUntil(loop, [&] { return other.owned.contains("job"); });
}

// Guards against a job that makes no progress: an entry without a configuration takes it over, and
// can run none of its items.
TEST_CASE("an entry that is joining takes no job over") {
  Loop loop;
  fake::TableData data;
  Peer self = PeerNamed("joining");
  self.joining = true;
  Entry joining(loop, data, self);
  {
    Entry dying(loop, data, PeerNamed("dying"));
    CHECK(dying.Accept(Submission()) == "accepted");
  }
  fake::RunUntil(loop, [&] { return joining.store.KnownHead(JobId{"job"}) != nullptr; });
  fake::RunFor(loop, 3 * JobStore::kTakeoverDelay);
  CHECK(joining.owned.empty());
  CHECK(joining.store.KnownHead(JobId{"job"})->owner.value == "dying");
  REQUIRE(joining.peers.FinishJoining());
  fake::RunUntil(loop, [&] { return joining.owned.contains("job"); });
}

// Guards against a job that makes no progress: its owner has started again and is live, but takes
// nothing over, as it has no configuration.
TEST_CASE("a job whose owner has started again and does not take it is taken by another") {
  Fixture f;
  {
    Entry dying(f.loop, f.data, PeerNamed("b"));
    CHECK(dying.Accept(Submission()) == "accepted");
  }
  Peer later = PeerNamed("b");
  later.incarnation = 2;
  later.joining = true;
  const Timer heard =
      f.loop.Every(10 * kMillisecond, [&] { f.a.peers.RecordMessage(later, Loop::Now()); });
  fake::RunUntil(f.loop, [&] { return f.a.store.KnownHead(JobId{"job"}) != nullptr; });
  fake::RunFor(f.loop, JobStore::kTakeoverDelay / 2);
  CHECK(f.a.owned.empty());  // the owner itself would be the first
  fake::RunUntil(f.loop, [&] { return f.a.owned.contains("job"); });
}

// Guards against calls that grow while the store is away: each new result and each piece of
// progress began retries of its own, and a store that recovers gets all of them.
TEST_CASE("an owner that can't write retries seldom, and lists its results soon after") {
  Fixture f;
  CHECK(f.a.Accept(Submission()) == "accepted");
  f.a.tables.refuse = true;
  f.a.tables.commits = 0;
  f.a.Finish("job", 0, "done");
  for (int i = 0; i < 30; ++i) {
    fake::RunFor(f.loop, Duration{100'000});
    OwnedJob* job = f.a.store.FindOwned(JobId{"job"});
    job->AddProgress({1, static_cast<std::uint32_t>(i), "text", "4", 4});
    f.a.store.Write(*job);
  }
  // At 0, 0.1, 0.3, 0.7, 1.5 and 2.3 s.
  CHECK(f.a.tables.commits <= 6);
  f.a.tables.refuse = false;
  fake::RunUntil(
      f.loop, [&] { return f.a.Listed("job") == 1; },
      JobStore::kMaxWriteRetryDelay + Duration{200'000});
}
