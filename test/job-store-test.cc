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

// An entry's view of jobs over a store that the entries of a test share.
struct Entry {
  Entry(Loop& the_loop, fake::TableData& data, const Peer& self)
      : loop(the_loop),
        tables(loop, data),
        peers(self),
        store(loop, tables, metrics, peers, SystemRandom(),
              {[this](OwnedJob& job, const std::vector<ledger::ProgressPiece>& pieces) {
                 owned.insert(job.record().id.value);
                 known_when_owned = store.Known(job.record().id) != nullptr;
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
  // "accepted", or the kind of error and whether it may have run.
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
    OwnedJob* mine = store.Owned(JobId{job});
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
  std::uint32_t Listed(const std::string& job) {
    const JobRecord* head = store.Known(JobId{job});
    return head == nullptr ? 0 : head->stored_results;
  }

  Loop& loop;
  fake::Tables tables;
  PeerTable peers;
  std::set<std::string> owned;
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
  // It comes again, elsewhere.
  CHECK(b.Accept(Submission()) == "accepted");
  CHECK(b.owned.empty());
  CHECK(b.Accept(Submission("job", "other items")) == "conflict no");
}

// Symptom: a job that was refused runs, or one that was accepted doesn't.
// Sequence: the store takes the write and its answer is lost.
// Cause: without an answer it isn't known whether the job was accepted.
TEST_CASE("a job whose acceptance got no answer is known to be accepted by its own row") {
  Fixture f;
  f.a.tables.lose_answers = 1;
  CHECK(f.a.Accept(Submission()) == "accepted");
  CHECK(f.a.owned.contains("job"));
}

TEST_CASE("a job that the store refuses was not accepted, and is said so") {
  Fixture f;
  f.a.tables.refuse = true;
  CHECK(f.a.Accept(Submission()) == "store-unavailable no");
  f.a.tables.refuse = false;
  f.a.tables.silent = true;
  CHECK(f.a.Accept(Submission()) == "store-unavailable unknown");
}

// Symptom: each item of a job runs twice.
// Sequence: an entry on a small host accepts the job, and names another one as its
// owner; both run it.
TEST_CASE("an entry on a small host gives the jobs that it accepts to a larger one") {
  Loop loop;
  fake::TableData data;
  Entry small(loop, data, PeerNamed("small", 0.1));
  Entry large(loop, data, PeerNamed("large", 1));
  small.peers.Heard(PeerNamed("large", 1), Loop::Now());
  large.peers.Heard(PeerNamed("small", 0.1), Loop::Now());
  CHECK(small.Accept(Submission()) == "accepted");
  fake::RunUntil(loop, [&] { return large.owned.contains("job"); });
  CHECK(small.owned.empty());
}

// Symptom: a job stands still until it is late.
// Sequence: its owner dies with items still to run.
TEST_CASE("a job whose owner is gone is taken over, with what was kept of its items") {
  Fixture f;
  {
    Entry dying(f.loop, f.data, PeerNamed("dying"));
    CHECK(dying.Accept(Submission()) == "accepted");
    dying.store.Owned(JobId{"job"})->AddProgress({1, 0, "begun", "4", 4});
    dying.Finish("job", 0, "done");
    fake::RunUntil(f.loop, [&] { return f.a.Listed("job") == 1; });
  }
  fake::RunUntil(f.loop, [&] { return f.a.owned.contains("job"); });
  REQUIRE(f.a.progress.size() == 1);
  CHECK(f.a.progress[0].text == "begun");
  CHECK_FALSE(f.a.store.Owned(JobId{"job"})->IsOpen(0));
}

TEST_CASE("a job whose owner is heard of is left to it") {
  Fixture f;
  Entry b(f.loop, f.data, PeerNamed("b"));
  CHECK(b.Accept(Submission()) == "accepted");
  const Timer heard =
      f.loop.Every(10 * kMillisecond, [&] { f.a.peers.Heard(PeerNamed("b"), Loop::Now()); });
  fake::RunFor(f.loop, JobStore::kTakeOverAfter + 500 * kMillisecond);
  CHECK(f.a.owned.empty());
  CHECK(b.owned.contains("job"));
}

// Symptom: a result that had been read comes again at another position.
// Sequence: the owner is paused; another entry takes the job over and lists results;
// the first one wakes and writes its own.
// Cause: it believes that it is still the owner. Its write has the condition of the
// row as it knows it, and fails.
TEST_CASE("an owner that was replaced while it was paused changes nothing") {
  Fixture f;
  Entry paused(f.loop, f.data, PeerNamed("paused"));
  CHECK(paused.Accept(Submission()) == "accepted");
  paused.tables.deaf = true;  // it hears of nothing
  fake::RunUntil(f.loop, [&] { return f.a.owned.contains("job"); });
  f.a.Finish("job", 0, "by a");
  fake::RunUntil(f.loop, [&] { return f.a.Listed("job") == 1; });
  paused.Finish("job", 0, "by the paused one");
  fake::RunUntil(f.loop, [&] { return !paused.owned.contains("job"); });
  const auto results = f.a.Results("job");
  REQUIRE(results.size() == 1);
  CHECK(results[0].output == "by a");
}

TEST_CASE("a job that its sender ends elsewhere stops at its owner") {
  Fixture f;
  Entry b(f.loop, f.data, PeerNamed("b"));
  CHECK(f.a.Accept(Submission()) == "accepted");
  bool ended = false;
  b.store.End(JobId{"job"}, [&ended](const Result<Ok>& result) { ended = IsOk(result); });
  fake::RunUntil(f.loop, [&] { return ended && f.a.owned.empty(); });
  CHECK_FALSE(f.a.store.Known(JobId{"job"})->open());
}

// Symptom: a restart loses the work of all items that run.
TEST_CASE("an entry that leaves writes what is finished, keeps what is begun and hands over") {
  Fixture f;
  Entry leaving(f.loop, f.data, PeerNamed("leaving"));
  CHECK(leaving.Accept(Submission()) == "accepted");
  f.a.peers.Heard(PeerNamed("leaving"), Loop::Now());
  leaving.Finish("job", 0, "done");
  bool left = false;
  leaving.store.Leave([&left] { left = true; });
  fake::RunUntil(f.loop, [&] { return left; });
  Peer gone = PeerNamed("leaving");
  gone.leaving = true;
  f.a.peers.Heard(gone, Loop::Now());
  fake::RunUntil(f.loop, [&] { return f.a.owned.contains("job"); });
  CHECK(f.a.Listed("job") == 1);
  REQUIRE(f.a.progress.size() == 1);
  CHECK(f.a.progress[0].last_id == "4");
  CHECK(leaving.Accept(Submission("another")) == "leaving no");
}

TEST_CASE("an unknown job is looked for in the store before it is said to be none") {
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

// Symptom: items of a new job wait behind those of all others, and are told to the keepers as
// late, though they are due first.
// Sequence: an entry accepts a job and owns it; the time at which its items are due is read
// from the job's row as it is known here.
// Cause: the row is learned only after the job was owned, and 0 stands in for its due time.
TEST_CASE("the row of a job is known by the time at which it is owned") {
  Fixture f;
  CHECK(f.a.Accept(Submission()) == "accepted");
  REQUIRE(f.a.owned.contains("job"));
  CHECK(f.a.known_when_owned);
}

// Symptom: a job is neither worked on nor given up, for ever.
// Sequence: its sender ends it at its owner; the store turns the write away, and the sender
// is told that it did not end.
// Cause: its items are stopped before the end is written, and nobody starts them again.
TEST_CASE("a job whose end could not be written is worked on") {
  Fixture f;
  CHECK(f.a.Accept(Submission()) == "accepted");
  f.a.tables.refuse = true;
  bool refused = false;
  f.a.store.End(JobId{"job"}, [&refused](const Result<Ok>& result) { refused = !IsOk(result); });
  fake::RunUntil(f.loop, [&refused] { return refused; });
  f.a.tables.refuse = false;
  fake::RunUntil(f.loop, [&f] { return f.a.owned.contains("job"); });
  CHECK(f.a.store.Known(JobId{"job"})->open());
}

// Symptom: a job that its owner has released stands still for 5.4 s, until somebody else
// starts. Sequence: the owner leaves; the entry that is next in line for the job is live but
// does not take it, as it can't read the table. Cause: all others leave the job to that one
// for as long as it is live.
TEST_CASE("a released job that the next in line does not take is taken by another") {
  Loop loop;
  fake::TableData data;
  const JobSubmission job = Submission();
  Entry leaving(loop, data, PeerNamed("leaving"));
  CHECK(leaving.Accept(job) == "accepted");
  // Two that stay. The one that is next in line is known by the list alone.
  PeerTable ranked(PeerNamed("b"));
  ranked.Named(PeerNamed("c"));
  const std::string heir = ranked.OwnerOf(job.id.value, std::nullopt, Loop::Now())->node.value;
  Entry other(loop, data, PeerNamed(heir == "b" ? "c" : "b"));
  other.peers.Named(PeerNamed(heir));
  fake::RunUntil(loop, [&] { return other.store.Known(job.id) != nullptr; });
  leaving.store.Leave([] {});
  fake::RunUntil(loop, [&] { return other.owned.contains("job"); });
}
