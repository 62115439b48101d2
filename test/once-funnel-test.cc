#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "figmill/once.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{1'000'000}};

OnceWrite Write(const std::string& key, bool refusable = true) {
  return OnceWrite{RowCondition{key, 0}, "value", {}, refusable};
}

struct Sorted {
  std::vector<CommitFunnel::Begin> begun;
  std::map<CommitFunnel::WriteId, OnceFate> replies;
  std::optional<Time> wake;

  Sorted& Add(const std::vector<CommitFunnel::Action>& actions) {
    for (const auto& action : actions) {
      std::visit(Overloaded{[this](const CommitFunnel::Begin& begin) { begun.push_back(begin); },
                            [this](const CommitFunnel::Reply& reply) {
                              CHECK(replies.emplace(reply.id, reply.fate).second);
                            },
                            [this](const CommitFunnel::WakeAt& at) { wake = at.at; }},
                 action);
    }
    return *this;
  }
};

}  // namespace

TEST_CASE("a lone write goes out at once; those that come close behind share a transaction") {
  CommitFunnel funnel;
  Sorted out;
  out.Add(funnel.Submit(1, Write("a"), kStart));
  CHECK(out.begun.size() == 1);
  for (int i = 2; i <= 300; ++i) {
    out.Add(funnel.Submit(i, Write("k" + std::to_string(i)), kStart + Duration(i)));
  }
  CHECK(out.begun.size() == 1);
  REQUIRE(out.wake);
  out.Add(funnel.Tick(*out.wake));
  REQUIRE(out.begun.size() == 2);
  CHECK(out.begun[1].transaction.writes.size() == 100);
}

TEST_CASE("a conflict is told to its item alone, the rest of the group goes out again") {
  // Symptom: one resent key keeps every other item of its group from being
  // claimed. Sequence: a group with a key that exists. Cause: all conditions of a
  // transaction must hold.
  CommitFunnel funnel({.interval = Duration{0}, .transactions_in_flight = 1});
  Sorted out;
  out.Add(funnel.Submit(1, Write("a"), kStart));
  out.Add(funnel.Submit(2, Write("b"), kStart)).Add(funnel.Submit(3, Write("c"), kStart));
  out.Add(funnel.Done(out.begun[0].id, Committed{{Row{"a", "value", 1}}}, kStart));
  REQUIRE(out.begun.size() == 2);
  const Row taken{"b", "other", 9};
  out.Add(funnel.Done(out.begun[1].id, Rejected{{taken}}, kStart));
  CHECK(std::get<OnceRejected>(out.replies.at(2)).current == taken);
  REQUIRE(out.begun.size() == 3);
  out.Add(funnel.Done(out.begun[2].id, Committed{{Row{"c", "value", 4}}}, kStart));
  CHECK(std::get<OnceCommitted>(out.replies.at(3)).version == 4);
}

TEST_CASE("two writes of one row never share a transaction") {
  CommitFunnel funnel({.interval = Duration{0}, .transactions_in_flight = 1});
  Sorted out;
  out.Add(funnel.Submit(1, Write("x"), kStart));
  out.Add(funnel.Submit(2, Write("a"), kStart)).Add(funnel.Submit(3, Write("a"), kStart));
  out.Add(funnel.Done(out.begun[0].id, Committed{{Row{"x", "value", 1}}}, kStart));
  CHECK(out.begun[1].transaction.writes.size() == 1);
}

TEST_CASE("while the store is down claims are refused at once, outcomes go on trying") {
  // Symptom: every not-repeatable request hangs for a store timeout. Sequence: the
  // store goes down. Cause: no memory of the last transaction's fate.
  CommitFunnel funnel({.interval = Duration{0}});
  Sorted out;
  out.Add(funnel.Submit(1, Write("a"), kStart));
  out.Add(funnel.Done(out.begun[0].id, NotWritten{"down"}, kStart));
  CHECK(funnel.store_down());
  out.Add(funnel.Submit(2, Write("b"), kStart));
  CHECK(std::holds_alternative<NotWritten>(out.replies.at(2)));
  out.Add(funnel.Submit(3, Write("c", false), kStart));
  REQUIRE(out.begun.size() == 2);
  out.Add(funnel.Done(out.begun[1].id, Committed{{Row{"c", "value", 1}}}, kStart));
  CHECK_FALSE(funnel.store_down());
  out.Add(funnel.Submit(4, Write("d"), kStart));
  CHECK(out.begun.size() == 3);
}

TEST_CASE("what waits for the store is bounded") {
  CommitFunnel funnel({.transactions_in_flight = 1, .waiting = 2});
  Sorted out;
  for (int i = 1; i <= 4; ++i) {
    out.Add(funnel.Submit(i, Write("k" + std::to_string(i)), kStart));
  }
  CHECK(std::holds_alternative<NotWritten>(out.replies.at(4)));
}

TEST_CASE("rows go once their hours have passed, open ones never, by no host's clock") {
  // Symptom: results vanish early on a host whose clock runs ahead, or rows pile
  // up. Cause: comparing clocks of hosts, or sweeping what is still to run.
  RetentionSweep sweep;
  const Row clock{std::string(kRetentionClockKey), "40", 5};
  CHECK(sweep.OnClock(clock, kStart).empty());
  CHECK(sweep.OnClock(clock, kStart + Duration{3'599'000'000}).empty());
  CHECK(sweep.OnClock(clock, kStart + Duration{3'600'000'000}).size() == 2);

  const auto row = [](std::string key, OncePhase phase, std::uint64_t tick) {
    OnceRow once;
    once.phase = phase;
    once.tick = tick;
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
