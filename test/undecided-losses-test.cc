#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "gateway/undecided_losses.h"

using namespace figmill;               // NOLINT(google-build-using-namespace): tests read better
using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace): as above

namespace {

using Cause = UndecidedLosses::Cause;

Time At(Duration since_start) {
  return Time{} + 1h + since_start;
}

BackendAddress Process(std::uint64_t incarnation = 7) {
  return {{"i-1"}, {"127.0.0.1", 9000}, {incarnation}, {}};
}

LostSend Lost(std::string id, const BackendAddress& process = Process()) {
  LostSend lost;
  lost.suspects = {Fingerprint{"request of " + id}, Fingerprint{"part-5c-0123456789abcdef"}};
  lost.id = std::move(id);
  lost.backend = process;
  return lost;
}

BackendList Listed(std::uint64_t incarnation, BackendState state = BackendState::kReady) {
  BackendInfo info;
  info.id = {"i-1"};
  info.incarnation = {incarnation};
  info.state = state;
  return {{info.id, info}};
}

std::vector<std::string> IdsOf(const std::vector<UndecidedLosses::Decision>& decided, Cause cause) {
  std::vector<std::string> ids;
  for (const auto& each : decided) {
    CHECK(each.cause == cause);
    ids.push_back(each.loss.lost.id);
  }
  return ids;
}

using Ids = std::vector<std::string>;

}  // namespace

TEST_CASE("the list shows which sends were lost by a crash") {
  UndecidedLosses losses;
  REQUIRE(losses.Add(Lost("a1"), At(0s)));
  CHECK(losses.RecordList(Listed(7), At(1s)).empty());
  SUBCASE("the backend server is gone") {
    CHECK(IdsOf(losses.RecordList({}, At(2s)), Cause::kUnlisted) == Ids{"a1"});
  }
  SUBCASE("it has started again") {
    CHECK(IdsOf(losses.RecordList(Listed(8), At(2s)), Cause::kRestarted) == Ids{"a1"});
  }
  SUBCASE("it leaves: its end is expected") {
    CHECK(losses.RecordList(Listed(7, BackendState::kDraining), At(2s)).empty());
  }
  SUBCASE("it goes on for longer than a crash takes to be listed") {
    const Duration late = UndecidedLosses::kListDelay + 1s;
    CHECK(losses.RecordList(Listed(7), At(late)).empty());
  }
  CHECK(losses.RecordList({}, At(3s)).empty());
}

// Guards against a crash that is reported seconds late, since the list showed it before the loss
// was found.
TEST_CASE("a list that was read before shows a crash as well") {
  CHECK(UndecidedLosses::CrashIn({}, Lost("a1")) == Cause::kUnlisted);
  CHECK(UndecidedLosses::CrashIn(Listed(8), Lost("a1")) == Cause::kRestarted);
  CHECK_FALSE(UndecidedLosses::CrashIn(Listed(7), Lost("a1")));
  CHECK_FALSE(UndecidedLosses::CrashIn(Listed(7, BackendState::kDraining), Lost("a1")));
}

// Guards against blaming a request whose connection was cut for a crash that came seconds later.
TEST_CASE("a backend server that answers a later request had not crashed") {
  UndecidedLosses losses;
  REQUIRE(losses.Add(Lost("cut"), At(1s)));
  REQUIRE(losses.Add(Lost("other process", Process(8)), At(1s)));
  SUBCASE("an answer to a request that was sent before the loss shows nothing") {
    CHECK(losses.RecordAnswer(Process(), At(900ms)).empty());
    CHECK(IdsOf(losses.RecordList({}, At(2s)), Cause::kUnlisted) == Ids{"cut", "other process"});
  }
  SUBCASE("an answer to a request that was sent after the loss does") {
    CHECK(IdsOf(losses.RecordAnswer(Process(), At(1100ms)), Cause::kAnswered) == Ids{"cut"});
    REQUIRE(losses.Add(Lost("crashed"), At(1500ms)));
    CHECK(IdsOf(losses.RecordList({}, At(2s)), Cause::kUnlisted) ==
          Ids{"other process", "crashed"});
  }
}

// Guards against blaming a request for a crash that is found after it was completed elsewhere.
TEST_CASE("a request that has been completed since was not the cause") {
  UndecidedLosses losses;
  CHECK(losses.empty());
  REQUIRE(losses.Add(Lost("completed"), At(0s)));
  REQUIRE(losses.Add(Lost("other"), At(0s)));
  CHECK_FALSE(losses.empty());
  const auto dropped = losses.RecordCompletion(Fingerprint{"request of completed"});
  CHECK(IdsOf(dropped, Cause::kCompleted) == Ids{"completed"});
  CHECK(IdsOf(losses.RecordList({}, At(1s)), Cause::kUnlisted) == Ids{"other"});
  CHECK(losses.empty());
}

// Guards against losses that fill the table while no list arrives, so that none is decided again.
TEST_CASE("the number of losses is limited, and those that are too old make room") {
  UndecidedLosses losses;
  for (std::size_t i = 0; i < UndecidedLosses::kMaxSends; ++i) {
    REQUIRE(losses.Add(Lost("early"), At(0s)));
  }
  CHECK_FALSE(losses.Add(Lost("too many"), At(1s)));
  const Duration late = UndecidedLosses::kListDelay + 1s;
  CHECK(losses.Add(Lost("late"), At(late)));
  CHECK(IdsOf(losses.RecordList({}, At(late)), Cause::kUnlisted) == Ids{"late"});
}
