#include "batch_model.h"

using namespace batch_model;  // NOLINT(google-build-using-namespace): tests read better

namespace {

struct JobText {
  std::string ndjson;
  std::vector<std::string> ids;
};

// `count` items; every 50th always fails and every 70th is truncated on its first run.
JobText Items(std::size_t count, const std::string& name, bool repeatable = true) {
  JobText text;
  for (std::size_t i = 0; i < count; ++i) {
    const char* kind = i % 50 == 49 ? "poison-" : (i % 70 == 69 ? "cut-" : "");
    text.ids.push_back(kind + name + "-" + std::to_string(i));
    text.ndjson += ItemLine(text.ids.back(), repeatable);
  }
  return text;
}

const JobId kJob{"season"};

// Index of the process that the job's row names as its owner.
std::size_t OwnerIndex(const Simulation& simulation, const JobId& job) {
  const NodeId owner = simulation.store.Job(job).owner;
  for (std::size_t i = 0; i < simulation.owners.size(); ++i) {
    if (simulation.owners[i].node == owner) return i;
  }
  return simulation.owners.size();
}

std::uint32_t Completed(const Simulation& simulation) {
  const JobProgress progress = simulation.store.Progress(kJob);
  return progress.succeeded + progress.failed;
}

}  // namespace

TEST_CASE("a job with failing and truncated items completes, with few transactions") {
  // Guards against a job that never ends because one item always fails, and against
  // accepting an answer that the engine truncated.
  Simulation simulation(1, 1, 4);
  const JobText text = Items(3000, "a");
  REQUIRE(IsOk(simulation.Put(kJob, text.ndjson)));
  REQUIRE(simulation.RunUntil([&] { return simulation.Done(kJob); }, 300s));
  simulation.CheckResults(kJob, text.ids);
  CHECK(simulation.store.Progress(kJob).failed == 60);
  CHECK(simulation.runs[{"season", 49}] == 5);  // limited by max_attempts
  CHECK(simulation.runs[{"season", 69}] == 2);
  CHECK(simulation.store.commits <= 1 + 1 + 12);  // acceptance, claim, one per chunk
}

TEST_CASE("a paused owner that resumes after a takeover commits nothing") {
  // Guards against duplicate items in the results. The owner is paused with finished
  // items, its lease expires, and another entry takes over the job and commits. The
  // first owner then resumes, still considers its lease valid and commits too.
  Simulation simulation(2, 2, 4);
  const JobText text = Items(2000, "b");
  REQUIRE(IsOk(simulation.Put(kJob, text.ndjson)));
  REQUIRE(simulation.RunUntil([&] { return Completed(simulation) > 0; }, 60s));
  const std::size_t first = OwnerIndex(simulation, kJob);
  simulation.owners[first].paused = true;
  REQUIRE(simulation.RunUntil([&] { return OwnerIndex(simulation, kJob) == 1 - first; }, 60s));
  simulation.owners[first].paused = false;
  REQUIRE(simulation.RunUntil([&] { return simulation.Done(kJob); }, 300s));
  simulation.RunUntil([] { return false; }, 10s);
  simulation.CheckResults(kJob, text.ids);
}

TEST_CASE("a cancelled job dispatches no more items and keeps its committed results") {
  // Guards against a cancelled job that continues. Any entry cancels by writing the
  // job's row; the notification to the owner is lost, so only its scan detects it.
  Simulation simulation(3, 2, 2);
  const JobText text = Items(20'000, "c");
  REQUIRE(IsOk(simulation.Put(kJob, text.ndjson)));
  REQUIRE(simulation.RunUntil([&] { return Completed(simulation) >= 512; }, 120s));
  simulation.item_time = 5s;  // so that the owner doesn't notice by a failed commit
  simulation.RunUntil([] { return false; }, 1s);
  REQUIRE(ValueOf(simulation.Cancel(kJob)).state == JobState::kCancelled);
  const std::uint32_t before = Completed(simulation);
  const Time cancelled = simulation.now;
  CHECK(simulation.RunUntil(
      [&] { return simulation.transitions.back().kind == JobTransition::Kind::kCancelled; }, 2s));
  CHECK(simulation.owners[OwnerIndex(simulation, kJob)].batch->counts().in_flight == 0);
  simulation.RunUntil([] { return false; }, 20s);
  CHECK(simulation.dispatched.back().at <= cancelled + 2s);
  CHECK(Completed(simulation) == before);
  CHECK(simulation.store.Job(kJob).state == JobState::kCancelled);
  CHECK(ValueOf(simulation.Cancel(kJob)).state == JobState::kCancelled);
}

TEST_CASE("a store outage of a minute delays commits and loses nothing") {
  // Guards against an owner that drops its work or uses unbounded memory while the
  // store is down. Its lease can't be renewed either, although nobody can take over.
  Simulation simulation(4, 2, 4);
  simulation.limits.max_open_chunks = 8;
  for (std::size_t i = 0; i < 2; ++i) simulation.StartOwner(i);
  const JobText text = Items(20'000, "d");
  REQUIRE(IsOk(simulation.Put(kJob, text.ndjson)));
  REQUIRE(simulation.RunUntil([&] { return Completed(simulation) > 0; }, 60s));
  const Epoch epoch = simulation.store.Job(kJob).epoch;
  simulation.item_time = 3s;
  const Time down_at = simulation.now;
  simulation.store.down = true;
  const Result<JobAccepted> refused = simulation.Put(JobId{"new"}, ItemLine("x"));
  CHECK(ErrorOf(refused).kind == ErrorKind::kStoreUnavailable);
  CHECK(ErrorOf(refused).ran == Ran::kNo);
  simulation.RunUntil([] { return false; }, 60s);
  CHECK(simulation.dispatched.back().at > down_at + 5s);  // after the lease expired
  CHECK(simulation.owners[OwnerIndex(simulation, kJob)].batch->counts().open_chunks <= 8);
  simulation.store.down = false;
  REQUIRE(simulation.RunUntil([&] { return simulation.Done(kJob); }, 600s));
  CHECK(simulation.store.Job(kJob).epoch == epoch);
  simulation.CheckResults(kJob, text.ids);
}

TEST_CASE("a not-repeatable item whose owner died is never sent again") {
  // Guards against duplicate side effects, such as two invoices. The owner sends the
  // item and dies before the result is committed; the next owner finds the chunk without
  // results.
  Simulation simulation(5, 2, 2);
  simulation.item_time = 500ms;
  const JobText text = Items(200, "e", false);
  REQUIRE(IsOk(simulation.Put(kJob, text.ndjson)));
  REQUIRE(simulation.RunUntil([&] { return !simulation.dispatched.empty(); }, 60s));
  simulation.KillOwner(OwnerIndex(simulation, kJob));
  REQUIRE(simulation.RunUntil([&] { return simulation.Done(kJob); }, 300s));
  for (const auto& [item, runs] : simulation.runs) CHECK(runs == 1);
  CHECK(simulation.store.Progress(kJob).failed > 4);
  // At most one chunk had an intent before its items were sent.
  const std::uint32_t not_run = 200 - static_cast<std::uint32_t>(simulation.runs.size());
  CHECK(not_run <= kMaxNotRepeatablePerChunk);
  CHECK(simulation.store.Progress(kJob).succeeded > 0);
}

TEST_CASE("the job of a dead owner is claimed when its lease expires") {
  // Guards against a job that stands still for the detection of the death and a term after it.
  Simulation simulation(9, 3, 4);
  simulation.death_detection = 20s;
  for (int i = 0; i < 12; ++i) {
    const JobId job{"job-" + std::to_string(i)};
    REQUIRE(IsOk(simulation.Put(job, Items(2000, "n").ndjson)));
    const auto owner = [&] { return OwnerIndex(simulation, job); };
    REQUIRE(simulation.RunUntil([&] { return owner() < 3; }, 5s));
    const std::size_t first = owner();
    simulation.KillOwner(first);
    // The simulated lease lasts 5 s and is looked at once per second.
    CHECK(simulation.RunUntil([&] { return owner() != first; }, 8s));
    simulation.StartOwner(first);
    simulation.RunUntil([] { return false; }, 2s);
  }
}

TEST_CASE("a job without an owner is claimed though the first in line has died unnoticed") {
  // Guards against a job that was accepted, or released, and stands still until the death of
  // the entry that should claim it is detected.
  Simulation simulation(10, 3, 4);
  simulation.death_detection = 20s;
  simulation.RunUntil([] { return false; }, 2s);
  simulation.KillOwner(0);
  for (int i = 0; i < 12; ++i) {
    const JobId job{"job-" + std::to_string(i)};
    REQUIRE(IsOk(simulation.Put(job, Items(100, "p").ndjson)));
    // Three scans, one per second, are left to the first in line.
    CHECK(simulation.RunUntil([&] { return OwnerIndex(simulation, job) < 3; }, 6s));
  }
}

TEST_CASE("a draining owner finishes its open chunks and releases its jobs") {
  // Guards against a restart of an entry that delays its jobs by a lease term and repeats
  // open work.
  Simulation simulation(6, 2, 4);
  const JobText text = Items(8000, "f");
  REQUIRE(IsOk(simulation.Put(kJob, text.ndjson)));
  REQUIRE(simulation.RunUntil([&] { return Completed(simulation) > 0; }, 60s));
  const std::size_t first = OwnerIndex(simulation, kJob);
  simulation.owners[first].events.emplace_back(DrainBatch{});
  REQUIRE(simulation.RunUntil([&] { return simulation.owners[first].drained; }, 60s));
  REQUIRE(simulation.RunUntil([&] { return OwnerIndex(simulation, kJob) == 1 - first; }, 4s));
  REQUIRE(simulation.RunUntil([&] { return simulation.Done(kJob); }, 300s));
  simulation.CheckResults(kJob, text.ids);
  for (const auto& [item, runs] : simulation.runs) {
    const std::string& id = text.ids[item.second];
    if (!id.starts_with("poison") && !id.starts_with("cut")) CHECK(runs == 1);
  }
}

TEST_CASE("a draining owner returns the jobs of which no item has started") {
  // Guards against a restart of an entry that waits for all items that it sent ahead.
  Simulation simulation(7, 2, 2);
  simulation.agent_concurrency = 2;
  simulation.item_time = 500ms;
  std::vector<JobId> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(JobId{"job-" + std::to_string(i)});
    REQUIRE(IsOk(simulation.Put(jobs.back(), Items(20, "k").ndjson)));
  }
  simulation.owners[1].paused = true;
  REQUIRE(simulation.RunUntil([&] { return simulation.runs.size() > 30; }, 60s));
  simulation.owners[1].paused = false;
  std::set<JobId> started;
  for (const auto& [item, runs] : simulation.runs) started.insert(JobId{item.first});
  REQUIRE(started.size() < jobs.size() / 2);
  simulation.owners[0].events.emplace_back(DrainBatch{});
  REQUIRE(simulation.RunUntil([&] { return simulation.owners[0].drained; }, 60s));
  for (const JobTransition& transition : simulation.transitions) {
    if (transition.kind == JobTransition::Kind::kDone) CHECK(started.contains(transition.job));
  }
  const auto done = [&] {
    return std::all_of(jobs.begin(), jobs.end(),
                       [&](const JobId& j) { return simulation.Done(j); });
  };
  REQUIRE(simulation.RunUntil(done, 300s));
  for (const auto& [item, runs] : simulation.runs) CHECK(runs == 1);
}

TEST_CASE("a draining owner returns not-repeatable items that have not started") {
  // Guards against items that end as unknown, or run twice, since their owner left.
  Simulation simulation(8, 2, 4);
  simulation.agent_concurrency = 2;
  simulation.item_time = 500ms;
  JobText text;
  for (int i = 0; i < 600; ++i) {
    text.ids.push_back("l-" + std::to_string(i));
    text.ndjson += ItemLine(text.ids.back(), false);
  }
  REQUIRE(IsOk(simulation.Put(kJob, text.ndjson)));
  REQUIRE(simulation.RunUntil([&] { return Completed(simulation) > 0; }, 60s));
  const std::size_t first = OwnerIndex(simulation, kJob);
  std::set<std::uint32_t> started;
  for (const auto& [item, runs] : simulation.runs) {
    started.insert(item.second / kMaxNotRepeatablePerChunk);
  }
  simulation.owners[first].events.emplace_back(DrainBatch{});
  REQUIRE(simulation.RunUntil([&] { return simulation.owners[first].drained; }, 60s));
  CHECK(Completed(simulation) <= started.size() * kMaxNotRepeatablePerChunk);
  REQUIRE(simulation.RunUntil([&] { return simulation.Done(kJob); }, 300s));
  simulation.CheckResults(kJob, text.ids);
  for (const auto& [item, runs] : simulation.runs) CHECK(runs == 1);
}

TEST_CASE("each not-repeatable item runs once while owners drain in turn") {
  // Guards against an item that is lost, doubled or called unknown in a series of restarts
  // that overlap. Every response of the store may be lost.
  for (std::uint64_t seed = 300; seed < 330; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed, 3, 3);
    simulation.agent_concurrency = 1 + static_cast<std::uint32_t>(seed % 4);
    simulation.item_time = 1ms * (20 + simulation.random() % 400);
    simulation.store.lost_response_rate = seed % 2 == 0 ? 0.1 : 0;
    simulation.commit_latency = seed % 3 == 0 ? 1s : 40ms;  // intents take long to record
    JobText text;
    for (int i = 0; i < 300; ++i) {
      text.ids.push_back("m-" + std::to_string(i));
      text.ndjson += ItemLine(text.ids.back(), i % 3 == 0);
    }
    REQUIRE(IsOk(simulation.Put(kJob, text.ndjson)));
    for (const Time end = simulation.now + 60s; simulation.now < end;) {
      simulation.Step();
      if (simulation.random() % 30 != 0) continue;
      const std::size_t i = simulation.random() % 3;
      if (simulation.owners[i].drained) {
        simulation.StartOwner(i);
      } else {
        simulation.owners[i].events.emplace_back(DrainBatch{});
      }
    }
    const auto restart_drained = [&] {
      for (std::size_t i = 0; i < 3; ++i) {
        if (simulation.owners[i].drained) simulation.StartOwner(i);
      }
      return simulation.Done(kJob);
    };
    REQUIRE(simulation.RunUntil(restart_drained, 600s));
    simulation.CheckResults(kJob, text.ids);
  }
}

TEST_CASE("a long job for one model doesn't keep another model's engines idle") {
  // Guards against idle engines of one model while a job waits for them. A team submits
  // a long job for model m, then one for model n, and the first job's items use up the
  // team's limit of ready items.
  Simulation simulation(6, 1, 4);
  simulation.agents[2].serves = simulation.agents[3].serves = ServiceName{"n"};
  simulation.item_time = 2s;
  std::string second;
  for (int i = 0; i < 300; ++i) second += ItemLine("n-" + std::to_string(i), true, "n");
  REQUIRE(IsOk(simulation.Put(kJob, Items(20'000, "m").ndjson)));
  REQUIRE(IsOk(simulation.Put(JobId{"second"}, second)));
  REQUIRE(simulation.RunUntil([&] { return simulation.Done(JobId{"second"}); }, 300s));
  CHECK(Completed(simulation) < 20'000);
}

TEST_CASE("each item ends exactly once under random crashes, pauses and lost responses") {
  // Guards against lost or duplicate items. At random times owners crash, pause and
  // resume and agents crash; the store loses one response in ten and is sometimes down.
  for (std::uint64_t seed = 100; seed < 125; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed, 3, 3);
    simulation.store.lost_response_rate = 0.1;
    const JobText repeatable_items = Items(3000, "g");
    const JobText not_repeatable_items = Items(150, "h", false);
    const JobText cancelled_items = Items(5000, "i");
    const JobId not_repeatable_job{"once"};
    const JobId cancelled_job{"withdrawn"};
    REQUIRE(IsOk(simulation.Put(kJob, repeatable_items.ndjson, "t1")));
    REQUIRE(IsOk(simulation.Put(not_repeatable_job, not_repeatable_items.ndjson, "t2")));
    REQUIRE(IsOk(simulation.Put(cancelled_job, cancelled_items.ndjson, "t3")));
    const Time cancel_at = simulation.now + 1ms * (simulation.random() % 8000);
    std::uint32_t kept = 0;
    std::optional<Time> cancelled;
    for (const Time end = simulation.now + 60s; simulation.now < end;) {
      simulation.Step();
      if (!cancelled && simulation.now >= cancel_at && !simulation.store.down) {
        REQUIRE(IsOk(simulation.Cancel(cancelled_job)));
        cancelled = simulation.now;
        const JobProgress progress = simulation.store.Progress(cancelled_job);
        kept = progress.succeeded + progress.failed;
      }
      if (simulation.random() % 60 != 0) continue;
      const std::size_t owner = simulation.random() % 3;
      const std::size_t agent = simulation.random() % 3;
      switch (simulation.random() % 7) {
        case 0:
          simulation.KillOwner(owner);
          break;
        case 1:
          simulation.owners[owner].paused = !simulation.owners[owner].paused;
          break;
        case 2:
          if (!simulation.owners[owner].batch) simulation.StartOwner(owner);
          break;
        case 3:
          if (simulation.agents[agent].alive) simulation.KillAgent(agent);
          break;
        case 4:
          simulation.agents[agent].alive = true;
          break;
        case 5:
          simulation.store.down = simulation.random() % 3 == 0;
          break;
        default:
          break;
      }
    }
    simulation.store.down = false;
    for (std::size_t i = 0; i < 3; ++i) {
      simulation.agents[i].alive = true;
      simulation.owners[i].paused = false;
      if (!simulation.owners[i].batch) simulation.StartOwner(i);
    }
    REQUIRE(simulation.RunUntil(
        [&] { return simulation.Done(kJob) && simulation.Done(not_repeatable_job); }, 600s));
    simulation.RunUntil([] { return false; }, 10s);

    // Every item occurs once. Which items fail depends on the seed, so only count
    // them.
    const JobProgress whole = simulation.store.Progress(kJob);
    CHECK(whole.succeeded + whole.failed == repeatable_items.ids.size());
    std::set<std::string> objects(whole.objects.begin(), whole.objects.end());
    CHECK(objects.size() == whole.objects.size());
    std::size_t index = 0;
    for (const std::string& object : whole.objects) {
      std::istringstream lines(simulation.store.objects.at(object));
      for (std::string line; std::getline(lines, line); ++index) {
        CHECK(nlohmann::json::parse(line)["custom_id"] == repeatable_items.ids.at(index));
      }
    }
    CHECK(index == repeatable_items.ids.size());
    for (const auto& [item, runs] : simulation.runs) {
      if (item.first == not_repeatable_job.value) CHECK(runs <= 1);
    }
    CHECK(simulation.store.Job(cancelled_job).state == JobState::kCancelled);
    const JobProgress rest = simulation.store.Progress(cancelled_job);
    CHECK(rest.succeeded + rest.failed == kept);
  }
}
