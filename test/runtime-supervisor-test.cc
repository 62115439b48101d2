#include <doctest/doctest.h>

#include "figmill/runtime.h"
#include "runtime/loop_core.h"

namespace figmill {
namespace {

// What the children of one test did, and a handle on each one's failure.
struct Record {
  std::vector<std::string> events;
  std::map<std::string, std::vector<std::function<void(Error)>>> failures;
  std::map<std::string, int> failing_starts;  // how many more starts fail
};

class FakeChild final : public Child {
 public:
  FakeChild(Record& record, std::string name) : record_(record), name_(std::move(name)) {}
  Result<Ok> Start(std::function<void(Error)> failed) override {
    if (record_.failing_starts[name_] > 0) {
      --record_.failing_starts[name_];
      record_.events.push_back("refuse " + name_);
      return Error{ErrorKind::kInternal, "no start"};
    }
    record_.events.push_back("start " + name_);
    record_.failures[name_].push_back(std::move(failed));
    return Ok{};
  }
  void Stop() override { record_.events.push_back("stop " + name_); }

 private:
  Record& record_;
  std::string name_;
};

class Tree {
 public:
  explicit Tree(RestartPolicy policy = {}) : supervisor(loop, "root", policy) {
    for (const char* name : {"a", "b", "c"}) {
      supervisor.Add(name, [this, name] { return std::make_unique<FakeChild>(record, name); });
    }
  }
  Result<Ok> Start() {
    return supervisor.Start([this](const Error& error) { escalated.push_back(error.detail); });
  }
  // Runs whatever has been posted so far, and what that posts in turn.
  void Drain() {
    loop.core().io.restart();
    loop.core().io.poll();
  }
  void Fail(const std::string& name) {
    record.failures[name].back()(Error{ErrorKind::kInternal, "broke"});
  }

  Loop loop;
  Record record;
  std::vector<std::string> escalated;
  Supervisor supervisor;
};

using Events = std::vector<std::string>;

TEST_CASE("children start in order and stop in reverse") {
  Tree tree;
  REQUIRE(IsOk(tree.Start()));
  tree.supervisor.Stop();
  CHECK(tree.record.events ==
        Events{"start a", "start b", "start c", "stop c", "stop b", "stop a"});
}

TEST_CASE("a child that can't start stops those before it and fails the start") {
  Tree tree;
  tree.record.failing_starts["c"] = 1;
  const Result<Ok> started = tree.Start();
  REQUIRE_FALSE(IsOk(started));
  CHECK(ErrorOf(started).detail == "root/c: no start");
  CHECK(tree.record.events == Events{"start a", "start b", "refuse c", "stop b", "stop a"});
}

TEST_CASE("only the failed child is restarted") {
  Tree tree;
  REQUIRE(IsOk(tree.Start()));
  tree.Fail("b");
  tree.Drain();
  CHECK(tree.record.events == Events{"start a", "start b", "start c", "stop b", "start b"});
  CHECK(tree.escalated.empty());
}

// Symptom: a healthy child is torn down a moment after it was restarted.
// Events: a child reports its failure twice, the second after its successor runs.
// Cause: the report was matched to the slot, not to the child that made it.
TEST_CASE("a late report of a replaced child changes nothing") {
  Tree tree;
  REQUIRE(IsOk(tree.Start()));
  const auto first = tree.record.failures["b"].front();
  tree.Fail("b");
  tree.Drain();
  const std::size_t settled = tree.record.events.size();
  first(Error{ErrorKind::kInternal, "late"});
  tree.Drain();
  CHECK(tree.record.events.size() == settled);
}

TEST_CASE("past the rate the supervisor stops all and fails upwards, once, with the cause") {
  Tree tree(RestartPolicy{2, Duration{3'600'000'000}});
  REQUIRE(IsOk(tree.Start()));
  for (int i = 0; i < 3; ++i) {
    tree.Fail("b");
    tree.Drain();
  }
  CHECK(tree.escalated == Events{"root/b: broke"});
  const Events tail(tree.record.events.end() - 3, tree.record.events.end());
  CHECK(tail == Events{"stop b", "stop c", "stop a"});
}

TEST_CASE("restarts that fail count against the rate too") {
  Tree tree(RestartPolicy{2, Duration{3'600'000'000}});
  REQUIRE(IsOk(tree.Start()));
  tree.record.failing_starts["b"] = 100;
  tree.Fail("b");
  tree.Drain();
  CHECK(tree.escalated == Events{"root/b: no start"});
  CHECK(tree.record.failing_starts["b"] == 98);
}

// Symptom: a part keeps serving after the process was told to stop.
// Events: a child fails; the stop comes before the failure is handled.
// Cause: the restart ran without looking whether the tree still runs.
TEST_CASE("nothing is restarted after the stop") {
  Tree tree;
  REQUIRE(IsOk(tree.Start()));
  tree.Fail("b");
  tree.supervisor.Stop();
  const std::size_t settled = tree.record.events.size();
  tree.Drain();
  CHECK(tree.record.events.size() == settled);
}

}  // namespace
}  // namespace figmill
