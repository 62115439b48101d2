#include "figmill/items.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

using std::chrono::seconds;

template <typename T>
bool Is(const ItemAnswer& answer) {
  return std::holds_alternative<T>(answer);
}

ledger::ProgressPiece PieceOf(const std::string& text, std::uint64_t events) {
  return {0, 0, text, std::to_string(events), events};
}

const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

}  // namespace

TEST_CASE("an item's text goes on where its run broke off") {
  ItemText text;
  text.Feed("id: 1\ndata: a\n\nid: 2\nda");
  CHECK_FALSE(text.at_event_end());
  text.BreakOff();
  CHECK(text.last_id() == "1");
  text.Feed("id: 2\ndata: b\n\n");
  CHECK(text.text() == "a\nb");
  CHECK(text.at_event_end());
}

// Symptom: an item's output holds a part of its text twice.
// Sequence: its run breaks off; it runs again at the same backend server, on a connection on
// which a late second answer of the first run comes.
TEST_CASE("an item's text takes no event twice") {
  ItemText text;
  text.Feed(kEvents + "id: 3\nda");
  text.BreakOff();
  text.Feed(kEvents);
  CHECK(text.repeats());
  CHECK(text.text() == "a\nb");
  text.BreakOff();
  CHECK_FALSE(text.repeats());
  text.Feed("id: 3\ndata: c\n\n");
  CHECK(text.text() == "a\nb\nc");
}

TEST_CASE("the earliest due runs first, but for those that can't be in time any more") {
  ItemBacklog backlog;
  const auto all = [](const ItemBacklog::Entry&) { return true; };
  const auto entry = [](const char* job, int due_s) {
    return ItemBacklog::Entry{JobId{job}, 0, std::chrono::seconds(due_s), std::chrono::seconds(5)};
  };
  backlog.Add(entry("late", 12));
  backlog.Add(entry("later", 30));
  backlog.Add(entry("soon", 20));
  const BacklogTime now{Time{}, std::chrono::seconds(10)};
  const std::map<ItemBacklog::Group, int> groups{{{ItemRank::kFresh, seconds(20)}, 1},
                                                 {{ItemRank::kFresh, seconds(30)}, 1},
                                                 {{ItemRank::kLate, ItemBacklog::kLate}, 1}};
  CHECK(backlog.Startable(now) == groups);
  CHECK(backlog.Take(now, all)->job.value == "soon");
  CHECK(backlog.Take(now, all)->job.value == "later");
  CHECK(backlog.Take(now, all)->job.value == "late");
  CHECK_FALSE(backlog.Take(now, all));
}

// Symptom: all waiting items were told to the keepers as late, and late ones went first.
// Sequence: an entry takes a job before the store has told it the time.
// Cause: the entry's own clock, hours ahead of the store's, stood in for it.
TEST_CASE("the earliest due runs first while the store's time is unknown") {
  ItemBacklog backlog;
  backlog.Add({JobId{"later"}, 0, std::chrono::seconds(30), std::chrono::seconds(5)});
  backlog.Add({JobId{"soon"}, 0, std::chrono::seconds(2), std::chrono::seconds(5)});
  const BacklogTime now{Time{std::chrono::hours(1)}, std::nullopt};
  CHECK_FALSE(backlog.Startable(now).contains({ItemRank::kLate, ItemBacklog::kLate}));
  const auto all = [](const ItemBacklog::Entry&) { return true; };
  CHECK(backlog.Take(now, all)->job.value == "soon");
}

TEST_CASE("an item that failed waits before it runs again") {
  ItemBacklog backlog;
  const auto all = [](const ItemBacklog::Entry&) { return true; };
  const Time failed{std::chrono::hours(1)};
  const Duration pause = std::chrono::seconds(1);
  backlog.Add({JobId{"j"}, 0, std::chrono::seconds(30), {}, failed + pause});
  const StoreTime now = std::chrono::seconds(10);
  CHECK_FALSE(backlog.Take({failed, now}, all));
  CHECK(backlog.Startable({failed, now}).empty());
  CHECK(backlog.Take({failed + pause, now}, all));
}

// Symptom: a job stays open for ever, and its caller reads on and on.
// Sequence: a configuration removes the route of a job whose items have not all run.
TEST_CASE("an item is given up when its life is over or a later configuration has no route") {
  JobRecord head;
  head.submitted = Duration{1'000};
  head.expires = Duration{9'000};
  head.config_version = 7;
  const Duration before{8'999};
  CHECK_FALSE(WhyGivenUp(head, true, 7, before));
  CHECK_FALSE(WhyGivenUp(head, true, 7, std::nullopt));
  CHECK(WhyGivenUp(head, true, 7, head.expires));
  CHECK(WhyGivenUp(head, false, 8, before));
  // An owner that has not heard yet of the configuration that brought the route.
  CHECK_FALSE(WhyGivenUp(head, false, 6, before));
  CHECK_FALSE(WhyGivenUp(head, false, 7, before));
  head.expires = head.submitted;  // no life was said
  CHECK_FALSE(WhyGivenUp(head, true, 7, Duration{99'000}));
}

// Symptom: an item is listed as dead after one failure.
// Sequence: its run fails while its owner knows no route for it, as right after a start.
// Cause: what a route allows was taken for nothing while no route was known.
TEST_CASE("an item may fail as often as its route allows, and waits while none is known") {
  CHECK(MayRunAgain({2, 3}));
  CHECK_FALSE(MayRunAgain({3, 3}));
  CHECK(MayRunAgain({7, std::nullopt}));
}

TEST_CASE("what an answer says of an item") {
  const auto says = [](int status, bool not_run = false) {
    return ItemAnswerOf({status, not_run, AnsweredId::kOurs});
  };
  CHECK(Is<item_answer::Output>(says(200)));
  CHECK(Is<item_answer::NotRun>(says(503, /*not_run=*/true)));
  CHECK(Is<item_answer::NotRun>(says(421)));
  CHECK(Is<item_answer::Impossible>(says(422)));
  CHECK(std::get<item_answer::Failed>(says(500)).counts);
  CHECK_FALSE(std::get<item_answer::Failed>(says(504)).counts);
  // Refusals need not name the request.
  CHECK(Is<item_answer::NotRun>(ItemAnswerOf({503, true, AnsweredId::kNone})));
  CHECK(Is<item_answer::NotRun>(ItemAnswerOf({421, false, AnsweredId::kNone})));
}

// Symptom: an item ends as impossible that could have been done.
// Sequence: a backend server answers twice, and its second answer, to another item, comes
// where this item's answer is due. One that says "not run" would have the item run twice.
TEST_CASE("an answer to another request says nothing of the item") {
  CHECK(Is<item_answer::Stray>(ItemAnswerOf({503, true, AnsweredId::kAnothers})));
  CHECK(Is<item_answer::Stray>(ItemAnswerOf({421, false, AnsweredId::kAnothers})));
  for (const int status : {200, 422, 500}) {
    CHECK(Is<item_answer::Stray>(ItemAnswerOf({status, false, AnsweredId::kNone})));
    CHECK(Is<item_answer::Stray>(ItemAnswerOf({status, false, AnsweredId::kAnothers})));
  }
}

TEST_CASE("the items with most time left give way") {
  const std::vector<RunningItem> running{{{JobId{"a"}, 0}, seconds(20)},
                                         {{JobId{"b"}, 0}, seconds(40)},
                                         {{JobId{"c"}, 0}, seconds(30)}};
  const std::vector<JobItemRef> stop = ItemsToStop(running, 2, seconds(10));
  REQUIRE(stop.size() == 2);
  CHECK(stop[0].job.value == "b");
  CHECK(stop[1].job.value == "c");
  CHECK(ItemsToStop(running, 5, seconds(10)).size() == 3);
}

TEST_CASE("of the items that give way those go first that can't be in time") {
  const std::vector<RunningItem> running{{{JobId{"a"}, 0}, seconds(40), seconds(5)},
                                         {{JobId{"b"}, 0}, seconds(20), seconds(2)},
                                         {{JobId{"c"}, 0}, seconds(12), seconds(5)}};
  const std::vector<JobItemRef> stop = ItemsToStop(running, 2, seconds(10));
  REQUIRE(stop.size() == 2);
  CHECK(stop[0].job.value == "c");
  CHECK(stop[1].job.value == "a");
}

// Symptom: two thirds of the late items had four fifths of their work done when they were due.
// Sequence: a wave stops all runs; after it the places go to items that are due a little earlier
// and have not run yet.
// Cause: the order went by due times alone.
TEST_CASE("items that have begun go on before others begin") {
  ItemBacklog backlog;
  const auto all = [](const ItemBacklog::Entry&) { return true; };
  backlog.Add({JobId{"fresh"}, 0, seconds(20), seconds(5), {}, /*begun=*/false});
  backlog.Add({JobId{"begun"}, 0, seconds(30), seconds(5), {}, /*begun=*/true});
  backlog.Add({JobId{"too late"}, 0, seconds(12), seconds(5), {}, /*begun=*/true});
  const BacklogTime now{Time{}, seconds(10)};
  CHECK(backlog.Startable(now).begin()->first == ItemBacklog::Group{ItemRank::kBegun, seconds(30)});
  CHECK(backlog.Take(now, all)->job.value == "begun");
  CHECK(backlog.Take(now, all)->job.value == "fresh");
  CHECK(backlog.Take(now, all)->job.value == "too late");
}

// Symptom: items begin that can't be in time any more, and are late by a little.
// Sequence: waves come so often that only short items have but one run.
// Cause: what an item takes was learned from items with one run.
TEST_CASE("what an item takes is learned from all runs, and from the breaks between them") {
  ItemPace pace;
  CHECK(pace.WorkLeft(0) == ItemPace::kUsualWork);
  for (int item = 0; item < 50; ++item) {
    pace.RunEnded(60, seconds(3));
    pace.RunEnded(40, seconds(2));
    pace.Whole(100, seconds(5), seconds(15));
  }
  const auto near = [](Duration a, Duration b) { return a - b < seconds(1) && b - a < seconds(1); };
  CHECK(near(pace.WorkLeft(0), seconds(5)));
  CHECK(near(pace.WorkLeft(80), seconds(1)));
  CHECK(near(pace.TimeLeft(0), seconds(15)));
  CHECK(pace.TimeLeft(90) < seconds(1));
}

// Symptom: after a restart of all hosts the items that were half done go last, and are late.
// Sequence: each process takes over items before it has seen a whole one.
// Cause: what was left of them was taken for a whole item.
TEST_CASE("an item that has begun has less left than a fresh one, also while nothing is known") {
  const ItemPace pace;
  CHECK(2 * pace.TimeLeft(50) < pace.TimeLeft(0));
}

TEST_CASE("an item goes on from what an earlier owner has kept, and less work is left of it") {
  const JobItemRef fresh{JobId{"fresh"}, 0};
  const JobItemRef begun{JobId{"begun"}, 0};
  const auto all = [](const JobItemRef&) { return true; };
  const BacklogTime now{Time{seconds(100)}, seconds(0)};
  ItemWork work;
  work.Wait(fresh, seconds(30), now.here);
  REQUIRE(work.Next(now, all));
  work.Of(fresh).text.Feed(kEvents);
  work.RunEnded(fresh, now.here + ItemPace::kUsualWork);
  work.Whole(fresh, {now.here + ItemPace::kUsualWork, seconds(5)});
  CHECK(work.Of(fresh).first_run_at == now.here);
  work.Remove(fresh);

  work.Restore(begun, PieceOf("a\n", 1));
  work.Wait(begun, seconds(30), now.here);
  const auto entry = work.Next(now, all);
  REQUIRE(entry);
  CHECK(entry->begun);
  CHECK(entry->needed < ItemPace::kUsualWork);
  CHECK(work.Of(begun).text.last_id() == "1");
}

TEST_CASE("what runs have given is taken in pieces, once, and a dropped job leaves nothing") {
  const JobItemRef key{JobId{"j"}, 0};
  ItemWork work;
  work.Wait(key, seconds(30), Time{});
  CHECK(work.TakePieces(key.job).empty());
  work.Of(key).text.Feed(kEvents);
  const auto pieces = work.TakePieces(key.job);
  REQUIRE(pieces.size() == 1);
  CHECK(pieces[0].events == 2);
  CHECK(work.TakePieces(key.job).empty());
  work.RemoveJob(key.job);
  CHECK(work.open().empty());
  CHECK(work.backlog().size() == 0);
}
