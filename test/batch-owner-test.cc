#include "batch_model.h"

using namespace batch_model;  // NOLINT(google-build-using-namespace): tests read better

namespace {

struct Text {
  std::string ndjson;
  std::vector<std::string> ids;
};

// `count` items, every 50th poison and every 70th cut short at first.
Text Items(std::size_t count, const std::string& name, bool repeatable = true) {
  Text text;
  for (std::size_t i = 0; i < count; ++i) {
    const char* kind = i % 50 == 49 ? "poison-" : (i % 70 == 69 ? "cut-" : "");
    text.ids.push_back(kind + name + "-" + std::to_string(i));
    text.ndjson += ItemLine(text.ids.back(), repeatable);
  }
  return text;
}

const JobId kJob{"season"};

// Index of the process that owns the job by its row.
std::size_t OwnerIndex(const World& world, const JobId& job) {
  const NodeId owner = world.store.Job(job).owner;
  for (std::size_t i = 0; i < world.owners.size(); ++i) {
    if (world.owners[i].node == owner) return i;
  }
  return world.owners.size();
}

std::uint32_t Completed(const World& world) {
  const JobProgress progress = world.store.Progress(kJob);
  return progress.succeeded + progress.failed;
}

}  // namespace

TEST_CASE("a job with poison and cut items ends whole, with few transactions") {
  // Symptom: a job never ends because one item can't be done, or an answer that
  // the engine cut short is taken as the result.
  World world(1, 1, 4);
  const Text text = Items(3000, "a");
  REQUIRE(IsOk(world.Put(kJob, text.ndjson)));
  REQUIRE(world.RunUntil([&] { return world.Done(kJob); }, 300s));
  world.CheckResults(kJob, text.ids);
  CHECK(world.store.Progress(kJob).failed == 60);
  CHECK(world.runs[{"season", 49}] == 5);  // bounded attempts
  CHECK(world.runs[{"season", 69}] == 2);
  CHECK(world.store.commits <= 1 + 1 + 12);  // acceptance, claim, one a chunk
}

TEST_CASE("a paused owner that wakes after a takeover changes nothing") {
  // Symptom: items twice in the results. Sequence: the owner is stopped with
  // finished items, its lease lapses, another entry takes the job over and
  // commits; the first wakes, still believes in its lease, and commits too.
  World world(2, 2, 4);
  const Text text = Items(2000, "b");
  REQUIRE(IsOk(world.Put(kJob, text.ndjson)));
  REQUIRE(world.RunUntil([&] { return Completed(world) > 0; }, 60s));
  const std::size_t first = OwnerIndex(world, kJob);
  world.owners[first].paused = true;
  REQUIRE(world.RunUntil([&] { return OwnerIndex(world, kJob) == 1 - first; }, 60s));
  world.owners[first].paused = false;
  REQUIRE(world.RunUntil([&] { return world.Done(kJob); }, 300s));
  world.RunUntil([] { return false; }, 10s);
  world.CheckResults(kJob, text.ids);
}

TEST_CASE("a cancelled job starts nothing more and keeps what it had") {
  // Symptom: a withdrawn job goes on. Sequence: any entry cancels by the row;
  // the notice to the owner is lost, so only its scan can tell.
  World world(3, 2, 2);
  const Text text = Items(20'000, "c");
  REQUIRE(IsOk(world.Put(kJob, text.ndjson)));
  REQUIRE(world.RunUntil([&] { return Completed(world) >= 512; }, 120s));
  world.item_time = 5s;  // so that no commit tells the owner either
  world.RunUntil([] { return false; }, 1s);
  REQUIRE(ValueOf(world.Cancel(kJob)).state == JobState::kCancelled);
  const std::uint32_t before = Completed(world);
  const Time cancelled = world.now;
  CHECK(world.RunUntil([&] { return world.notes.back().what == JobNote::What::kCancelled; }, 2s));
  CHECK(world.owners[OwnerIndex(world, kJob)].batch->counts().in_flight == 0);
  world.RunUntil([] { return false; }, 20s);
  CHECK(world.dispatched.back().at <= cancelled + 2s);
  CHECK(Completed(world) == before);
  CHECK(world.store.Job(kJob).state == JobState::kCancelled);
  CHECK(ValueOf(world.Cancel(kJob)).state == JobState::kCancelled);
}

TEST_CASE("a store outage of a minute holds commits back and loses nothing") {
  // Symptom: an owner drops its work or grows without bound while the store is
  // down. Cause: its lease can't be renewed either, though nobody can take over.
  World world(4, 2, 4);
  world.limits.max_open_chunks = 8;
  for (std::size_t i = 0; i < 2; ++i) world.StartOwner(i);
  const Text text = Items(20'000, "d");
  REQUIRE(IsOk(world.Put(kJob, text.ndjson)));
  REQUIRE(world.RunUntil([&] { return Completed(world) > 0; }, 60s));
  const Epoch epoch = world.store.Job(kJob).epoch;
  world.item_time = 3s;
  const Time down_at = world.now;
  world.store.down = true;
  const Result<JobAccepted> refused = world.Put(JobId{"new"}, ItemLine("x"));
  CHECK(ErrorOf(refused).kind == ErrorKind::kStoreUnavailable);
  CHECK(ErrorOf(refused).ran == Ran::kNo);
  world.RunUntil([] { return false; }, 60s);
  CHECK(world.dispatched.back().at > down_at + 5s);  // past the lease
  CHECK(world.owners[OwnerIndex(world, kJob)].batch->counts().open_chunks <= 8);
  world.store.down = false;
  REQUIRE(world.RunUntil([&] { return world.Done(kJob); }, 600s));
  CHECK(world.store.Job(kJob).epoch == epoch);
  world.CheckResults(kJob, text.ids);
}

TEST_CASE("a not-repeatable item whose owner died is never sent again") {
  // Symptom: two invoices. Sequence: the owner sends the item and dies before
  // the result is committed; the next owner finds the chunk without results.
  World world(5, 2, 2);
  world.item_time = 500ms;
  const Text text = Items(200, "e", false);
  REQUIRE(IsOk(world.Put(kJob, text.ndjson)));
  REQUIRE(world.RunUntil([&] { return !world.dispatched.empty(); }, 60s));
  world.KillOwner(OwnerIndex(world, kJob));
  REQUIRE(world.RunUntil([&] { return world.Done(kJob); }, 300s));
  for (const auto& [item, runs] : world.runs) CHECK(runs == 1);
  CHECK(world.store.Progress(kJob).failed > 4);
  // At most one chunk was intended ahead of what was sent.
  const std::uint32_t not_run = 200 - static_cast<std::uint32_t>(world.runs.size());
  CHECK(not_run <= kMaxNotRepeatablePerChunk);
  CHECK(world.store.Progress(kJob).succeeded > 0);
}

TEST_CASE("a leaving owner finishes its open chunks and hands its jobs over") {
  // Symptom: a restart of an entry costs a lease term and repeats open work.
  World world(6, 2, 4);
  const Text text = Items(8000, "f");
  REQUIRE(IsOk(world.Put(kJob, text.ndjson)));
  REQUIRE(world.RunUntil([&] { return Completed(world) > 0; }, 60s));
  const std::size_t first = OwnerIndex(world, kJob);
  world.owners[first].inbox.emplace_back(DrainBatch{});
  REQUIRE(world.RunUntil([&] { return world.owners[first].drained; }, 60s));
  REQUIRE(world.RunUntil([&] { return OwnerIndex(world, kJob) == 1 - first; }, 4s));
  REQUIRE(world.RunUntil([&] { return world.Done(kJob); }, 300s));
  world.CheckResults(kJob, text.ids);
  for (const auto& [item, runs] : world.runs) {
    const std::string& id = text.ids[item.second];
    if (!id.starts_with("poison") && !id.starts_with("cut")) CHECK(runs == 1);
  }
}

TEST_CASE("a long job for one model doesn't keep another model's engines idle") {
  // Symptom: engines of one model stand idle though a job waits for them.
  // Sequence: a team puts a long job for model m, then one for model n. Cause: the
  // first job's items were all that the team was allowed to have ready.
  World world(6, 1, 4);
  world.agents[2].serves = world.agents[3].serves = ServiceName{"n"};
  world.item_time = 2s;
  std::string second;
  for (int i = 0; i < 300; ++i) second += ItemLine("n-" + std::to_string(i), true, "n");
  REQUIRE(IsOk(world.Put(kJob, Items(20'000, "m").ndjson)));
  REQUIRE(IsOk(world.Put(JobId{"second"}, second)));
  REQUIRE(world.RunUntil([&] { return world.Done(JobId{"second"}); }, 300s));
  CHECK(Completed(world) < 20'000);
}

TEST_CASE("each item ends exactly once under random deaths, pauses and lost answers") {
  // Symptom: an item lost or doubled. Any of it at any moment: owners die, pause
  // and wake, agents die, the store loses one answer in ten and is down at times.
  for (std::uint64_t seed = 100; seed < 125; ++seed) {
    CAPTURE(seed);
    World world(seed, 3, 3);
    world.store.lost_answers = 0.1;
    const Text big = Items(3000, "g");
    const Text once = Items(150, "h", false);
    const Text withdrawn = Items(5000, "i");
    const JobId once_job{"once"};
    const JobId withdrawn_job{"withdrawn"};
    REQUIRE(IsOk(world.Put(kJob, big.ndjson, "t1")));
    REQUIRE(IsOk(world.Put(once_job, once.ndjson, "t2")));
    REQUIRE(IsOk(world.Put(withdrawn_job, withdrawn.ndjson, "t3")));
    const Time cancel_at = world.now + 1ms * (world.random() % 8000);
    std::uint32_t kept = 0;
    std::optional<Time> cancelled;
    for (const Time end = world.now + 60s; world.now < end;) {
      world.Step();
      if (!cancelled && world.now >= cancel_at && !world.store.down) {
        REQUIRE(IsOk(world.Cancel(withdrawn_job)));
        cancelled = world.now;
        const JobProgress progress = world.store.Progress(withdrawn_job);
        kept = progress.succeeded + progress.failed;
      }
      if (world.random() % 60 != 0) continue;
      const std::size_t owner = world.random() % 3;
      const std::size_t agent = world.random() % 3;
      switch (world.random() % 7) {
        case 0:
          world.KillOwner(owner);
          break;
        case 1:
          world.owners[owner].paused = !world.owners[owner].paused;
          break;
        case 2:
          if (!world.owners[owner].batch) world.StartOwner(owner);
          break;
        case 3:
          if (world.agents[agent].alive) world.KillAgent(agent);
          break;
        case 4:
          world.agents[agent].alive = true;
          break;
        case 5:
          world.store.down = world.random() % 3 == 0;
          break;
        default:
          break;
      }
    }
    world.store.down = false;
    for (std::size_t i = 0; i < 3; ++i) {
      world.agents[i].alive = true;
      world.owners[i].paused = false;
      if (!world.owners[i].batch) world.StartOwner(i);
    }
    REQUIRE(world.RunUntil([&] { return world.Done(kJob) && world.Done(once_job); }, 600s));
    world.RunUntil([] { return false; }, 10s);

    // Every item once; which ones may fail differs by seed, so only count here.
    const JobProgress whole = world.store.Progress(kJob);
    CHECK(whole.succeeded + whole.failed == big.ids.size());
    std::set<std::string> objects(whole.objects.begin(), whole.objects.end());
    CHECK(objects.size() == whole.objects.size());
    std::size_t index = 0;
    for (const std::string& object : whole.objects) {
      std::istringstream lines(world.store.objects.at(object));
      for (std::string line; std::getline(lines, line); ++index) {
        CHECK(nlohmann::json::parse(line)["custom_id"] == big.ids.at(index));
      }
    }
    CHECK(index == big.ids.size());
    for (const auto& [item, runs] : world.runs) {
      if (item.first == once_job.value) CHECK(runs <= 1);
    }
    CHECK(world.store.Job(withdrawn_job).state == JobState::kCancelled);
    const JobProgress rest = world.store.Progress(withdrawn_job);
    CHECK(rest.succeeded + rest.failed == kept);
  }
}
