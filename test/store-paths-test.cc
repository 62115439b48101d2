#include <doctest/doctest.h>

#include "figmill/store_paths.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Time kStart{Duration{1'000'000}};
const Address kPeer{"10.0.0.2", 80};
const Address kOtherPeer{"10.0.0.3", 80};

StorePaths WithPeers() {
  StorePaths paths;
  paths.SetPeers({kPeer, kOtherPeer});
  return paths;
}

}  // namespace

TEST_CASE("calls are direct as long as they are answered") {
  StorePaths paths = WithPeers();
  const auto path = paths.Begin(false, kStart);
  CHECK_FALSE(path.peer);
  paths.End(path, StorePaths::Outcome::kAnswered, kStart);
  CHECK_FALSE(paths.Begin(false, kStart).peer);
}

// Guards against a host that keeps an old configuration while all others have the new
// one, and whose jobs make no progress: the store refuses this one host, and the host
// has no other path to it.
TEST_CASE("a host that the store refuses is relayed by a peer, and tries directly later") {
  StorePaths paths = WithPeers();
  const auto refused = paths.Begin(false, kStart);
  paths.End(refused, StorePaths::Outcome::kRefused, kStart);
  const auto other = paths.BeginAlternative(refused, kStart);
  REQUIRE(other);
  CHECK(other->peer);
  paths.End(*other, StorePaths::Outcome::kAnswered, kStart);
  CHECK(paths.Begin(false, kStart).peer);
  CHECK_FALSE(paths.Begin(false, kStart + StorePaths::kDirectBackoff).peer);
}

TEST_CASE("a call that stays open for long without an answer moves the next ones to a peer") {
  StorePaths paths = WithPeers();
  (void)paths.Begin(false, kStart);
  CHECK_FALSE(paths.Begin(false, kStart + Duration{50'000}).peer);
  CHECK(paths.Begin(false, kStart + StorePaths::kUnresponsiveAfter).peer);
}

TEST_CASE("a long poll doesn't make the store look unresponsive") {
  StorePaths paths = WithPeers();
  (void)paths.Begin(/*long_poll=*/true, kStart);
  CHECK_FALSE(paths.Begin(false, kStart + 2 * StorePaths::kUnresponsiveAfter).peer);
}

TEST_CASE("a peer whose call failed is avoided; with no peer left the call is direct") {
  StorePaths paths = WithPeers();
  const auto refused = paths.Begin(false, kStart);
  paths.End(refused, StorePaths::Outcome::kRefused, kStart);
  const auto first = paths.Begin(false, kStart);
  const auto second = paths.Begin(false, kStart);
  REQUIRE(first.peer);
  REQUIRE(second.peer);
  CHECK(*first.peer != *second.peer);
  paths.End(first, StorePaths::Outcome::kRefused, kStart);
  paths.End(second, StorePaths::Outcome::kLost, kStart);
  CHECK_FALSE(paths.Begin(false, kStart).peer);
}

// Guards against jobs that are refused though most entries reach the store: the store refuses this
// host and the first peer, and the call was tried nowhere else.
TEST_CASE("a call that the store and a peer refused goes to another peer") {
  StorePaths paths = WithPeers();
  const auto direct = paths.Begin(false, kStart);
  paths.End(direct, StorePaths::Outcome::kRefused, kStart);
  const auto first = paths.BeginAlternative(direct, kStart);
  REQUIRE(first);
  paths.End(*first, StorePaths::Outcome::kRefused, kStart);
  const auto second = paths.BeginAlternative(*first, kStart);
  REQUIRE(second);
  REQUIRE(second->peer);
  CHECK(*second->peer != *first->peer);
  paths.End(*second, StorePaths::Outcome::kRefused, kStart);
  CHECK_FALSE(paths.BeginAlternative(*second, kStart));
}

// Guards against job submissions that get no answer in time (4 of 262, when none should), though
// the store answers all calls about their part of the table. The store fails in another part
// only, and calls that touch it are lost; each of them used to move all calls off a path that
// was still answering the others.
TEST_CASE("a path that answers other calls is kept when one of its calls fails") {
  StorePaths paths = WithPeers();
  const auto lost = paths.Begin(false, kStart);
  const auto answered = paths.Begin(false, kStart + Duration{1'000});
  paths.End(answered, StorePaths::Outcome::kAnswered, kStart + Duration{5'000});
  paths.End(lost, StorePaths::Outcome::kLost, kStart + Duration{6'000});
  CHECK_FALSE(paths.Begin(false, kStart + Duration{7'000}).peer);
}

TEST_CASE("a peer that answers other calls is kept when one of its calls fails") {
  StorePaths paths;
  paths.SetPeers({kPeer});
  paths.End(paths.Begin(false, kStart), StorePaths::Outcome::kRefused, kStart);
  const auto lost = paths.Begin(false, kStart);
  const auto answered = paths.Begin(false, kStart + Duration{1'000});
  REQUIRE(lost.peer);
  REQUIRE(answered.peer);
  paths.End(answered, StorePaths::Outcome::kAnswered, kStart + Duration{5'000});
  paths.End(lost, StorePaths::Outcome::kLost, kStart + Duration{6'000});
  CHECK(paths.Begin(false, kStart + Duration{7'000}).peer);
}
