#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "figmill/once.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{1'000'000}};

OnceWrite Write(const std::string& key, bool fail_fast = true) {
  return OnceWrite{RowCondition{key, 0}, "value", {}, fail_fast};
}

struct ActionLog {
  std::vector<GroupCommitter::Begin> begun;
  std::map<GroupCommitter::WriteId, OnceWriteResult> replies;
  std::optional<Time> wake;

  ActionLog& Add(const std::vector<GroupCommitter::Action>& actions) {
    for (const auto& action : actions) {
      std::visit(Overloaded{[this](const GroupCommitter::Begin& begin) { begun.push_back(begin); },
                            [this](const GroupCommitter::Reply& reply) {
                              CHECK(replies.emplace(reply.id, reply.result).second);
                            },
                            [this](const GroupCommitter::WakeAt& at) { wake = at.at; }},
                 action);
    }
    return *this;
  }
};

// Simulates one GroupCommitter under Poisson arrivals, with a store that takes 10 ms for a
// transaction, in virtual time.
struct Load {
  double transactions = 0;  // per second
  Duration p50{}, p99{};    // from submission to reply
};

Load Simulate(double writes_per_second, GroupCommitLimits limits) {
  constexpr Duration kTransaction{10'000};
  constexpr Duration kRun{20'000'000};
  std::mt19937_64 bits(5);
  std::exponential_distribution<> gap(writes_per_second / 1e6);
  GroupCommitter committer(limits);
  std::map<Time, std::function<void()>> events;
  std::map<GroupCommitter::WriteId, Time> submitted;
  std::vector<Duration> latencies;
  double begun = 0;
  Time now;
  const auto at = [&](Time when, std::function<void()> run) {
    while (events.contains(when)) when += Duration{1};
    events.emplace(when, std::move(run));
  };
  std::function<void(std::vector<GroupCommitter::Action>)> act;
  act = [&](const std::vector<GroupCommitter::Action>& actions) {
    for (const auto& action : actions) {
      std::visit(Overloaded{[&](const GroupCommitter::Begin& begin) {
                              ++begun;
                              Committed committed;
                              for (const auto& condition : begin.transaction.conditions) {
                                committed.rows.push_back({condition.key, "value", 1});
                              }
                              at(now + kTransaction, [&, id = begin.id, committed] {
                                act(committer.Done(id, committed, now));
                              });
                            },
                            [&](const GroupCommitter::Reply& reply) {
                              REQUIRE(std::holds_alternative<OnceCommitted>(reply.result));
                              latencies.push_back(now - submitted.at(reply.id));
                            },
                            [&](const GroupCommitter::WakeAt& wake) {
                              at(wake.at, [&] { act(committer.Tick(now)); });
                            }},
                 action);
    }
  };
  GroupCommitter::WriteId next = 1;
  std::function<void()> arrive = [&] {
    const auto id = next++;
    submitted[id] = now;
    act(committer.Submit(id, Write("k" + std::to_string(id)), now));
    at(now + Duration(1 + static_cast<int>(gap(bits))), arrive);
  };
  at(Time{}, arrive);
  while (events.begin()->first < Time{kRun}) {
    auto event = events.extract(events.begin());
    now = event.key();
    event.mapped()();
  }
  std::sort(latencies.begin(), latencies.end());
  const double seconds = std::chrono::duration<double>(kRun).count();
  return {begun / seconds, latencies[latencies.size() / 2], latencies[latencies.size() * 99 / 100]};
}

}  // namespace

TEST_CASE("one committer per data centre handles the peak within the store's transaction rate") {
  // 4,400 requests/s, two writes each (claim and outcome), on 330 entries in 8
  // data centres, with a store of 500 transactions/s.
  constexpr double kPeakWrites = 8'800;
  for (const double share : {0.01, 0.1, 0.5, 1.0}) {
    CAPTURE(share);
    const Load entry = Simulate(kPeakWrites * share / 330, {.min_interval = Duration{20'000}});
    const Load centre = Simulate(kPeakWrites * share / 8, {.min_interval = Duration{40'000}});
    MESSAGE("share " << share << ": grouped by entry " << 330 * entry.transactions
                     << " transactions/s, p99 " << entry.p99.count() / 1000
                     << " ms; by data centre " << 8 * centre.transactions << ", p50 "
                     << centre.p50.count() / 1000 << " ms, p99 " << centre.p99.count() / 1000
                     << " ms");
    CHECK(8 * centre.transactions <= 250);
    CHECK(centre.p99 <= Duration{60'000});
  }
}

TEST_CASE("a single write is sent immediately; writes that follow closely share a transaction") {
  GroupCommitter committer;
  ActionLog out;
  out.Add(committer.Submit(1, Write("a"), kStart));
  CHECK(out.begun.size() == 1);
  for (int i = 2; i <= 300; ++i) {
    out.Add(committer.Submit(i, Write("k" + std::to_string(i)), kStart + Duration(i)));
  }
  CHECK(out.begun.size() == 1);
  REQUIRE(out.wake);
  out.Add(committer.Tick(*out.wake));
  REQUIRE(out.begun.size() == 2);
  CHECK(out.begun[1].transaction.writes.size() == 100);
}

TEST_CASE("a conflict is reported to its item only, the rest of the group is submitted again") {
  // Guards against a resent key that prevents every other item of its group from being
  // claimed: the group has a key that exists, and a transaction commits only when all
  // its conditions hold.
  GroupCommitter committer({.min_interval = Duration{0}, .max_transactions_in_flight = 1});
  ActionLog out;
  out.Add(committer.Submit(1, Write("a"), kStart));
  out.Add(committer.Submit(2, Write("b"), kStart)).Add(committer.Submit(3, Write("c"), kStart));
  out.Add(committer.Done(out.begun[0].id, Committed{{Row{"a", "value", 1}}}, kStart));
  REQUIRE(out.begun.size() == 2);
  const Row taken{"b", "other", 9};
  out.Add(committer.Done(out.begun[1].id, Rejected{{taken}}, kStart));
  CHECK(std::get<OnceRejected>(out.replies.at(2)).current == taken);
  REQUIRE(out.begun.size() == 3);
  out.Add(committer.Done(out.begun[2].id, Committed{{Row{"c", "value", 4}}}, kStart));
  CHECK(std::get<OnceCommitted>(out.replies.at(3)).version == 4);
}

TEST_CASE("two writes of one row never share a transaction") {
  GroupCommitter committer({.min_interval = Duration{0}, .max_transactions_in_flight = 1});
  ActionLog out;
  out.Add(committer.Submit(1, Write("x"), kStart));
  out.Add(committer.Submit(2, Write("a"), kStart)).Add(committer.Submit(3, Write("a"), kStart));
  out.Add(committer.Done(out.begun[0].id, Committed{{Row{"x", "value", 1}}}, kStart));
  CHECK(out.begun[1].transaction.writes.size() == 1);
}

TEST_CASE("while the store is down claims are refused immediately, outcomes are still tried") {
  // Guards against not-repeatable requests that each wait for a store timeout: the
  // store goes down, and the result of the last transaction is not remembered.
  GroupCommitter committer({.min_interval = Duration{0}});
  ActionLog out;
  out.Add(committer.Submit(1, Write("a"), kStart));
  out.Add(committer.Done(out.begun[0].id, NotWritten{"down"}, kStart));
  CHECK(committer.store_down());
  out.Add(committer.Submit(2, Write("b"), kStart));
  CHECK(std::holds_alternative<NotWritten>(out.replies.at(2)));
  out.Add(committer.Submit(3, Write("c", false), kStart));
  REQUIRE(out.begun.size() == 2);
  out.Add(committer.Done(out.begun[1].id, Committed{{Row{"c", "value", 1}}}, kStart));
  CHECK_FALSE(committer.store_down());
  out.Add(committer.Submit(4, Write("d"), kStart));
  CHECK(out.begun.size() == 3);
}

TEST_CASE("the queue of writes for the store is bounded") {
  GroupCommitter committer({.max_transactions_in_flight = 1, .max_waiting = 2});
  ActionLog out;
  for (int i = 1; i <= 4; ++i) {
    out.Add(committer.Submit(i, Write("k" + std::to_string(i)), kStart));
  }
  CHECK(std::holds_alternative<NotWritten>(out.replies.at(4)));
}

TEST_CASE("rows are deleted after their retention by the store's hour count, queued ones never") {
  // Guards against results that disappear early on a host whose clock runs ahead, and rows
  // that accumulate, as when clocks of hosts are compared; and against the deletion of
  // items that have yet to run.
  RetentionSweep sweep;
  const Row clock{std::string(kRetentionClockKey), "40", 5};
  CHECK(sweep.OnClock(clock, kStart).empty());
  CHECK(sweep.OnClock(clock, kStart + Duration{3'599'000'000}).empty());
  CHECK(sweep.OnClock(clock, kStart + Duration{3'600'000'000}).size() == 2);

  const auto row = [](std::string key, OncePhase phase, std::uint64_t tick) {
    OnceRow once;
    once.phase = phase;
    once.retention_tick = tick;
    once.request_object = phase == OncePhase::kQueued ? "object" : "";
    if (phase == OncePhase::kDone) once.outcome.object = "answer";
    return Row{std::move(key), SerializeOnceRow(once), 2};
  };
  const std::vector<Row> page = {row("once/a", OncePhase::kDone, 14),
                                 row("once/b", OncePhase::kDone, 15),
                                 row("once/c", OncePhase::kQueued, 1)};
  const auto actions = sweep.OnPage(page);
  REQUIRE(actions.size() == 2);
  CHECK(std::get<RetentionSweep::DeleteObject>(actions[0]).key == "answer");
  const auto& commit = std::get<RetentionSweep::Commit>(actions[1]).transaction;
  REQUIRE(commit.writes.size() == 1);
  CHECK(std::get<DeleteRow>(commit.writes[0]).key == "once/a");
}
