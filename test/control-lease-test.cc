#include <doctest/doctest.h>

#include <deque>

#include "figmill/control.h"
#include "test/control-fakes.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better
using fake::Fault;
using fake::Store;

namespace {

constexpr Duration kTerm{6'000'000};
constexpr Duration kTick{100'000};

Time At(double seconds) {
  return Time(Duration(static_cast<Duration::rep>(seconds * 1e6)));
}

LeaseSettings Settings(std::string holder, Incarnation incarnation = 1) {
  return {"batch", {std::move(holder)}, incarnation, kTerm};
}

// A candidate for the lease: watches it until acquired, then renews it until lost.
struct Candidate {
  Candidate(Store& its_store, std::string name, std::uint64_t seed)
      : store(its_store), settings(Settings(std::move(name))), seed_(seed), watcher(Watcher()) {}
  LeaseWatcher Watcher() { return LeaseWatcher(settings, fake::Random(++seed_)); }

  // Carries out the actions; store requests are answered immediately.
  void Do(Time now, std::vector<LeaseAction> actions) {
    for (LeaseAction& action : actions) {
      std::visit(
          Overloaded{[&](ReadRow& e) { Feed(now, RowWasRead{store.Read(e.key)}); },
                     [&](CommitRows& e) { Feed(now, CommitEnded{store.Commit(e.transaction)}); },
                     [&](LeaseAcquired& e) {
                       holder.emplace(settings, e.grant, fake::Random(++seed_));
                       epochs.push_back(e.grant.epoch);
                     },
                     [&](LeaseLost&) { lost = true; }},
          action);
    }
    if (std::exchange(lost, false)) {
      holder.reset();
      watcher = Watcher();
      ++losses;
    }
  }
  void Feed(Time now, LeaseEvent event) {
    if (holder) return Do(now, holder->On(now, std::move(event)));
    Do(now, watcher.On(now, std::move(event)));
  }
  void Tick(Time now) { Do(now, holder ? holder->Tick(now) : watcher.Tick(now)); }
  [[nodiscard]] bool HoldsLease(Time now) const { return holder && holder->IsValid(now); }

  Store& store;
  LeaseSettings settings;
  std::uint64_t seed_;
  LeaseWatcher watcher;
  std::optional<LeaseHolder> holder;
  std::vector<Epoch> epochs;
  bool lost = false;
  int losses = 0;
};

LeaseRow Current(const Store& store) {
  return ValueOf(ParseLeaseRow(store.rows.at("lease/batch").value));
}

}  // namespace

TEST_CASE("one candidate gets a free lease and keeps it") {
  Store store;
  Candidate a(store, "a", 10);
  Candidate b(store, "b", 20);
  for (Time now = At(0); now < At(60); now += kTick) {
    a.Tick(now);
    b.Tick(now);
    CHECK(a.HoldsLease(now));
    CHECK_FALSE(b.HoldsLease(now));
  }
  CHECK(Current(store).epoch == 1);
  CHECK(Current(store).renewals > 30);
}

TEST_CASE("a lease expires for a paused holder, and its successor has a higher epoch") {
  // Guards against two owners that work on the same chunk: the holder is paused for two terms,
  // another candidate takes over, and the first one resumes in the middle of its work. This happens
  // if a holder trusts its own state instead of the time of its last renewal.
  Store store;
  Candidate a(store, "a", 10);
  Candidate b(store, "b", 20);
  a.Tick(At(0));
  for (Time now = At(0.05); now < At(13); now += kTick) {
    b.Tick(now);
    CHECK_FALSE((a.HoldsLease(now) && b.HoldsLease(now)));
  }
  CHECK(b.HoldsLease(At(13)));
  CHECK(b.epochs == std::vector<Epoch>{2});
  CHECK_FALSE(a.HoldsLease(At(13)));
  a.Tick(At(13));  // the renewal is rejected
  CHECK(a.losses == 1);
  CHECK(Current(store).holder == NodeId{"b"});
}

TEST_CASE("a watcher takes over when the lease expires, with few reads before") {
  // Guards against a job that waits up to half a term longer than its owner's lease lasts.
  for (int renewal = 0; renewal < 20; ++renewal) {
    Store store;
    Candidate holder(store, "a", 1);
    Candidate successor(store, "b", 2);
    const Time died = At(10) + renewal * Duration(77'000);
    int reads = 0;
    for (Time now = At(0); !successor.holder && now < At(30); now += kTick) {
      if (now <= died) holder.Tick(now);
      if (now < At(1) || !successor.watcher.IsReadDue(now)) continue;
      ++reads;
      successor.Tick(now);
      if (successor.holder) CHECK(now <= died + kTerm + kTerm / 4 + 2 * kTick);
    }
    CHECK(successor.holder);
    CHECK(reads <= (died + kTerm - At(1)) / (kTerm / 4) + 3);
  }
}

TEST_CASE("at most one holder at any time, under random pauses and lost store answers") {
  // Three candidates with random pauses and lost, late and refused commits, for one hour.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Store store;
    std::deque<Candidate> all;
    for (std::uint64_t i = 0; i < 3; ++i) {
      all.emplace_back(store, std::string(1, static_cast<char>('a' + i)), (seed * 10 + i) << 32U);
    }
    RandomBits random = fake::Random(seed);
    std::array<Time, 3> asleep_until{};
    int acting_steps = 0;
    Epoch highest = 0;
    for (Time now = At(0); now < At(3600); now += kTick) {
      if (random() % 50 == 0) asleep_until[random() % 3] = now + Duration(random() % 15'000'000);
      if (random() % 10 == 0) {
        store.next = static_cast<Fault>(random() % 5);
        store.down = random() % 40 == 0;
      }
      if (random() % 5 == 0) store.DeliverLate();
      int acting = 0;
      for (std::size_t i = 0; i < 3; ++i) {
        if (now >= asleep_until[i]) all[i].Tick(now);
        if (all[i].HoldsLease(now)) {
          ++acting;
          CHECK(all[i].holder->epoch() >= highest);
          highest = std::max(highest, all[i].holder->epoch());
        }
      }
      REQUIRE(acting <= 1);
      acting_steps += acting;
    }
    CHECK(acting_steps > 10'000);  // of 36,000: the lease also makes progress
    CHECK(highest > 1);
  }
}

TEST_CASE("a renewal whose answer was lost counts from when it was sent") {
  // A renewal takes effect, its answer is lost, and the row is read back afterwards.
  Store store;
  Candidate a(store, "a", 10);
  a.Tick(At(0));
  store.next = Fault::kAnswerLost;
  a.Tick(At(2));  // takes effect; read back immediately
  CHECK(a.HoldsLease(At(5.9)));
  CHECK_FALSE(a.HoldsLease(At(6.1)));
  CHECK(a.losses == 0);

  // A renewal that never takes effect doesn't count, however often the row is read.
  store.next = Fault::kRequestLost;
  a.Tick(At(4));
  CHECK_FALSE(a.HoldsLease(At(6.1)));
  a.Tick(At(5.6));
  CHECK(a.HoldsLease(At(9.5)));
}

TEST_CASE("a takeover with a lost answer is recognized by its token") {
  Store store;
  Candidate a(store, "a", 10);
  store.next = Fault::kAnswerLost;
  a.Tick(At(0));
  CHECK(a.HoldsLease(At(1)));
  CHECK(a.epochs == std::vector<Epoch>{1});
}

TEST_CASE("a released lease is acquired immediately, with a higher epoch") {
  Store store;
  Candidate a(store, "a", 10);
  Candidate b(store, "b", 20);
  a.Tick(At(0));
  b.Tick(At(0.1));
  a.Do(At(1), a.holder->Release(At(1)));
  CHECK_FALSE(a.HoldsLease(At(1)));
  b.Tick(At(1.1));
  CHECK(b.HoldsLease(At(1.2)));
  CHECK(b.epochs == std::vector<Epoch>{2});
}

TEST_CASE("a malformed lease row is not taken over") {
  // Taking it over would restart the epoch, and fencing would accept writes of old holders.
  Store store;
  store.rows["lease/batch"] = Row{"lease/batch", "{\"holder\":", 7};
  Candidate a(store, "a", 10);
  for (Time now = At(0); now < At(30); now += kTick) a.Tick(now);
  CHECK(a.epochs.empty());
  CHECK(store.rows.at("lease/batch").version == 7);
}
