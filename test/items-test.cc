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

TEST_CASE("an item's text continues where its run was interrupted") {
  ItemText text;
  text.Feed("id: 1\ndata: a\n\nid: 2\nda");
  CHECK_FALSE(text.at_event_end());
  text.DropIncomplete();
  CHECK(text.last_id() == "1");
  text.Feed("id: 2\ndata: b\n\n");
  CHECK(text.text() == "a\nb");
  CHECK(text.at_event_end());
}

// Guards against output that one software version began and another one ended.
TEST_CASE("an item starts over at another source, and continues at its own") {
  const OutputSource old{ServiceName{"llm"}, SoftwareVersion{"v1"}};
  const OutputSource next{ServiceName{"llm"}, SoftwareVersion{"v2"}};
  ItemText text;
  text.BeginRun(old);
  CHECK(text.source() == std::nullopt);
  text.Feed(kEvents);
  CHECK(text.source() == old);
  text.BeginRun(old);
  CHECK(text.text() == "a\nb");
  const auto first = text.TakePiece(0);
  REQUIRE(first);
  text.BeginRun(next);
  CHECK(text.text().empty());
  CHECK(text.last_id() == std::nullopt);
  text.Feed("id: 1\ndata: c\n\n");
  const auto second = text.TakePiece(0);
  REQUIRE(second);
  CHECK(second->number == 0);
  CHECK(second->start == first->start + 1);
  ItemText restored;
  restored.Restore(*second);
  CHECK(restored.text() == "c");
  CHECK(restored.source() == next);
}

TEST_CASE("an item with output waits for its source as long as the output took to write") {
  const Duration work = seconds(3);
  CHECK(ShouldStartOver({.source_is_served = false, .waited = {}, .work = work}));
  CHECK_FALSE(ShouldStartOver({.source_is_served = true, .waited = seconds(2), .work = work}));
  CHECK(ShouldStartOver({.source_is_served = true, .waited = seconds(3), .work = work}));
}

TEST_CASE("events that were dropped when an item started over are not counted as its run's") {
  OpenItems items;
  const JobItemRef key{JobId{"j"}, 0};
  items.Enqueue(key, seconds(30), Time{});
  const BacklogTime now{Time{}, StoreTime{0}};
  const auto any = [](const JobItemRef&) { return true; };
  const OutputSource old{ServiceName{"llm"}, SoftwareVersion{"v1"}};
  const OutputSource next{ServiceName{"llm"}, SoftwareVersion{"v2"}};
  REQUIRE(items.StartNext(now, any));
  CHECK(items.BeginRun(key, old) == 0);
  items.ProgressOf(key).text.Feed(kEvents);
  items.OnRunEnded(key, Time{seconds(1)});
  items.Enqueue(key, seconds(30), Time{});
  REQUIRE(items.StartNext(now, any));
  CHECK(items.BeginRun(key, next) == 2);
  CHECK(items.ProgressOf(key).events_before == 0);
}

// Guards against output that contains a part of its text twice: the run is interrupted, and the
// item runs again at the same backend server, on a connection that then delivers a late second
// response of the first run.
TEST_CASE("an item's text contains no event twice") {
  ItemText text;
  text.Feed(kEvents + "id: 3\nda");
  text.DropIncomplete();
  text.Feed(kEvents);
  CHECK(text.has_duplicate());
  CHECK(text.text() == "a\nb");
  text.DropIncomplete();
  CHECK_FALSE(text.has_duplicate());
  text.Feed("id: 3\ndata: c\n\n");
  CHECK(text.text() == "a\nb\nc");
}

// Guards against output that lacks events: an item goes on after an id that came without data.
TEST_CASE("an item continues after its last event with data") {
  const OutputSource source{ServiceName{"llm"}, SoftwareVersion{"v1"}};
  ItemText text;
  text.BeginRun(source);
  text.Feed("id: 1\ndata: a\n\nid: 7\n\nid: 8\n\n");
  CHECK(text.events() == 1);
  text.DropIncomplete();
  text.BeginRun(source);
  CHECK(text.last_id() == "1");
  const auto piece = text.TakePiece(0);
  REQUIRE(piece);
  CHECK(piece->last_id == "1");
}

// Guards against output that has events twice, or lacks some: nothing says where a run may go on.
TEST_CASE("an item starts over after an event without an id, and after ids out of order") {
  const OutputSource source{ServiceName{"llm"}, SoftwareVersion{"v1"}};
  for (const std::string& last : {std::string("data: c\n\n"), std::string("id:\ndata: c\n\n"),
                                  std::string("id: 9\ndata: c\n\nid: 4\ndata: d\n\n")}) {
    CAPTURE(last);
    ItemText text;
    text.BeginRun(source);
    text.Feed(kEvents + last);
    text.DropIncomplete();
    text.BeginRun(source);
    CHECK(text.text().empty());
    CHECK_FALSE(text.last_id());
    text.Feed(kEvents);
    CHECK(text.text() == "a\nb");
  }
}

TEST_CASE("an event that is larger than a row of the store is not saved as progress") {
  ItemText text;
  text.Feed(kEvents);
  REQUIRE(text.TakePiece(0));
  text.Feed("id: 3\ndata: " + std::string(ledger::kPieceBytes, 'z') + "\n\n");
  CHECK_FALSE(text.TakePiece(0));
  text.Feed("id: 4\ndata: d\n\n");
  CHECK_FALSE(text.TakePiece(0));
}

// Guards against results that no write to the store can hold, and against runs without an end.
TEST_CASE("output that is no event stream, or too long for a result, is a defect") {
  ItemText text;
  text.Feed(kEvents);
  CHECK_FALSE(text.Defect());
  text.Feed(std::string(OrderedEventSplitter::kMaxEventBytes + 1, 'z'));
  CHECK(text.Defect());
  text.DropIncomplete();
  CHECK_FALSE(text.Defect());
  CHECK(text.text() == "a\nb");
  const std::string data(100'000, 'z');
  for (int id = 3; !text.too_long(); ++id) {
    text.Feed("id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
  }
  CHECK(text.Defect());
  CHECK(text.text().size() <= ItemText::kMaxBytes + data.size() + 1);
  text.StartOver();
  CHECK_FALSE(text.Defect());
  text.Feed(kEvents);
  CHECK(text.text() == "a\nb");
}

// Guards against a run without an end whose bytes complete no event that has data, and against an
// entry that is busy with such bytes.
TEST_CASE("bytes without data are no output, and a defect beyond the length of an event") {
  for (const std::string& filler : {std::string("\n"), std::string("\r\n"), std::string(":\n\n"),
                                    std::string("event: a\n\n")}) {
    CAPTURE(filler);
    ItemText text;
    text.Feed(kEvents);
    for (int i = 0; i < 2; ++i) text.Feed(filler);
    CHECK(text.events() == 2);
    CHECK_FALSE(text.Defect());
    std::string read;
    while (read.size() < OrderedEventSplitter::kMaxEventBytes / 2) read += filler;
    text.DropIncomplete();
    for (int i = 0; i < 3 && !text.Defect(); ++i) text.Feed(read);
    CHECK(text.Defect());
    CHECK(text.events() == 2);
    CHECK(text.text() == "a\nb");
    text.DropIncomplete();
    CHECK_FALSE(text.Defect());
  }
}

TEST_CASE("events with empty data don't come without end") {
  ItemText text;
  std::string read;
  while (read.size() < OrderedEventSplitter::kMaxEventBytes) read += "data:\n\n";
  for (std::size_t sent = 0; sent <= 8 * ItemText::kMaxBytes; sent += read.size()) text.Feed(read);
  CHECK(text.Defect());
  CHECK(text.text().empty());
}

TEST_CASE("events are found whichever line ends they have") {
  ItemText text;
  text.Feed("\n\nid: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\r\n: ping\n\nid: 3\ndata: c\n\n");
  CHECK(text.text() == "a\nb\nc");
  CHECK(text.events() == 3);
  CHECK(text.at_event_end());
}

TEST_CASE("the earliest due item runs first, except those that can't complete in time") {
  ItemBacklog backlog;
  const auto all = [](const ItemBacklog::Entry&) { return true; };
  const auto entry = [](const char* job, int due_s) {
    return ItemBacklog::Entry{JobId{job}, 0, std::chrono::seconds(due_s), std::chrono::seconds(5)};
  };
  backlog.Add(entry("late", 12));
  backlog.Add(entry("later", 30));
  backlog.Add(entry("soon", 20));
  const BacklogTime now{Time{}, std::chrono::seconds(10)};
  const std::map<ItemBacklog::Group, int> groups{{{ItemRank::kNotStarted, seconds(20)}, 1},
                                                 {{ItemRank::kNotStarted, seconds(30)}, 1},
                                                 {{ItemRank::kLate, ItemBacklog::kLate}, 1}};
  CHECK(backlog.Startable(now) == groups);
  CHECK(backlog.Take(now, all)->job.value == "soon");
  CHECK(backlog.Take(now, all)->job.value == "later");
  CHECK(backlog.Take(now, all)->job.value == "late");
  CHECK_FALSE(backlog.Take(now, all));
}

// Guards against waiting items that are all reported to the keepers as late, so that late ones
// run first: an entry takes a job over before it knows the store's time, and uses its own clock,
// which is hours ahead of the store's, instead.
TEST_CASE("the earliest due item runs first while the store's time is unknown") {
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

// Guards against a job that stays open forever while its caller keeps polling: a configuration
// removes the route of a job whose items have not all run.
TEST_CASE("an item is given up when its job expires or a later configuration has no route") {
  JobRecord head;
  head.submitted = Duration{1'000};
  head.expires = Duration{9'000};
  head.config_version = 7;
  const Duration before{8'999};
  CHECK_FALSE(GiveUpReason(head, true, 7, before));
  CHECK_FALSE(GiveUpReason(head, true, 7, std::nullopt));
  CHECK(GiveUpReason(head, true, 7, head.expires));
  CHECK(GiveUpReason(head, false, 8, before));
  // The owner doesn't yet have the configuration that added the route.
  CHECK_FALSE(GiveUpReason(head, false, 6, before));
  CHECK_FALSE(GiveUpReason(head, false, 7, before));
  head.expires = head.submitted;  // the job has no expiry
  CHECK_FALSE(GiveUpReason(head, true, 7, Duration{99'000}));
}

// Guards against an item listed as dead after one failure: its run fails while its owner knows no
// route for it, as right after a start, and an unknown route is taken as one that allows no
// failures.
TEST_CASE("an item may fail as often as its route allows, and waits while no route is known") {
  CHECK(MayRunAgain({2, 3}));
  CHECK_FALSE(MayRunAgain({3, 3}));
  CHECK(MayRunAgain({7, std::nullopt}));
}

TEST_CASE("a response is classified by its status and by whether it says not run") {
  const auto says = [](int status, bool not_run = false) {
    return ItemAnswerOf({status, not_run, AnswerIdMatch::kSame});
  };
  CHECK(Is<item_answer::Output>(says(200)));
  CHECK(Is<item_answer::NotRun>(says(503, /*not_run=*/true)));
  CHECK(Is<item_answer::NotRun>(says(421)));
  CHECK(Is<item_answer::Unprocessable>(says(422)));
  CHECK(std::get<item_answer::Failed>(says(500)).counts_as_failure);
  CHECK_FALSE(std::get<item_answer::Failed>(says(504)).counts_as_failure);
  // Refusals need not name the request.
  CHECK(Is<item_answer::NotRun>(ItemAnswerOf({503, true, AnswerIdMatch::kMissing})));
  CHECK(Is<item_answer::NotRun>(ItemAnswerOf({421, false, AnswerIdMatch::kMissing})));
}

// Guards against an item that ends as impossible although it could have run: a backend server
// responds twice, and its second response, to another item, arrives in place of this item's.
// If it says "not run", the item would run twice.
TEST_CASE("a response to another request says nothing about the item") {
  CHECK(Is<item_answer::WrongRequest>(ItemAnswerOf({503, true, AnswerIdMatch::kOther})));
  CHECK(Is<item_answer::WrongRequest>(ItemAnswerOf({421, false, AnswerIdMatch::kOther})));
  for (const int status : {200, 422, 500}) {
    CHECK(Is<item_answer::WrongRequest>(ItemAnswerOf({status, false, AnswerIdMatch::kMissing})));
    CHECK(Is<item_answer::WrongRequest>(ItemAnswerOf({status, false, AnswerIdMatch::kOther})));
  }
}

TEST_CASE("the items with the most slack are stopped first") {
  const std::vector<RunningItem> running{{{JobId{"a"}, 0}, seconds(20)},
                                         {{JobId{"b"}, 0}, seconds(40)},
                                         {{JobId{"c"}, 0}, seconds(30)}};
  const std::vector<JobItemRef> stop = ItemsToStop(running, 2, seconds(10));
  REQUIRE(stop.size() == 2);
  CHECK(stop[0].job.value == "b");
  CHECK(stop[1].job.value == "c");
  CHECK(ItemsToStop(running, 5, seconds(10)).size() == 3);
}

TEST_CASE("items that can't complete in time are stopped before all others") {
  const std::vector<RunningItem> running{{{JobId{"a"}, 0}, seconds(40), seconds(5)},
                                         {{JobId{"b"}, 0}, seconds(20), seconds(2)},
                                         {{JobId{"c"}, 0}, seconds(12), seconds(5)}};
  const std::vector<JobItemRef> stop = ItemsToStop(running, 2, seconds(10));
  REQUIRE(stop.size() == 2);
  CHECK(stop[0].job.value == "c");
  CHECK(stop[1].job.value == "a");
}

// Guards against late items that were mostly complete at their due time (two thirds of the late
// ones had four fifths of their work done): a burst of online load stops all runs; after it
// the slots go to items that are due a little earlier and have not run yet, when items are ordered
// by due time alone.
TEST_CASE("items that have started continue before others start") {
  ItemBacklog backlog;
  const auto all = [](const ItemBacklog::Entry&) { return true; };
  backlog.Add({JobId{"fresh"}, 0, seconds(20), seconds(5), {}, /*started=*/false});
  backlog.Add({JobId{"begun"}, 0, seconds(30), seconds(5), {}, /*started=*/true});
  backlog.Add({JobId{"too late"}, 0, seconds(12), seconds(5), {}, /*started=*/true});
  const BacklogTime now{Time{}, seconds(10)};
  CHECK(backlog.Startable(now).begin()->first ==
        ItemBacklog::Group{ItemRank::kStarted, seconds(30)});
  CHECK(backlog.Take(now, all)->job.value == "begun");
  CHECK(backlog.Take(now, all)->job.value == "fresh");
  CHECK(backlog.Take(now, all)->job.value == "too late");
}

// Guards against items that start when they can't complete in time any more, and are slightly
// late: bursts of online load are so frequent that only short items complete in a single run, and
// the duration is estimated from items with one run.
TEST_CASE("an item's duration is estimated from all runs and the interruptions between them") {
  ItemDurationEstimator estimator;
  CHECK(estimator.RemainingWork(0) == ItemDurationEstimator::kDefaultWork);
  for (int item = 0; item < 50; ++item) {
    estimator.OnRunEnded(60, seconds(3));
    estimator.OnRunEnded(40, seconds(2));
    estimator.OnCompleted(100, seconds(5), seconds(15));
  }
  const auto near = [](Duration a, Duration b) { return a - b < seconds(1) && b - a < seconds(1); };
  CHECK(near(estimator.RemainingWork(0), seconds(5)));
  CHECK(near(estimator.RemainingWork(80), seconds(1)));
  CHECK(near(estimator.TimeToFinish(0), seconds(15)));
  CHECK(estimator.TimeToFinish(90) < seconds(1));
}

// Guards against half complete items that run last and are late after a restart of all hosts:
// each process takes items over before it has observed a complete one, and estimates the
// remaining work of each as that of a complete item.
TEST_CASE("a started item has less time left than a new one, even before any was observed") {
  const ItemDurationEstimator estimator;
  CHECK(2 * estimator.TimeToFinish(50) < estimator.TimeToFinish(0));
}

TEST_CASE("an item continues from the output that an earlier owner stored, with less work left") {
  const JobItemRef fresh{JobId{"fresh"}, 0};
  const JobItemRef started{JobId{"begun"}, 0};
  const auto all = [](const JobItemRef&) { return true; };
  const BacklogTime now{Time{seconds(100)}, seconds(0)};
  OpenItems items;
  items.Enqueue(fresh, seconds(30), now.local);
  REQUIRE(items.StartNext(now, all));
  items.ProgressOf(fresh).text.Feed(kEvents);
  items.OnRunEnded(fresh, now.local + ItemDurationEstimator::kDefaultWork);
  items.OnCompleted(fresh, {now.local + ItemDurationEstimator::kDefaultWork, seconds(5)});
  CHECK(items.ProgressOf(fresh).first_run_at == now.local);
  items.Remove(fresh);

  items.Restore(started, PieceOf("a\n", 1));
  items.Enqueue(started, seconds(30), now.local);
  const auto entry = items.StartNext(now, all);
  REQUIRE(entry);
  CHECK(entry->started);
  CHECK(entry->time_to_finish < ItemDurationEstimator::kDefaultWork);
  CHECK(items.ProgressOf(started).text.last_id() == "1");
}

TEST_CASE("the output of runs is taken in pieces, each once, and a removed job leaves nothing") {
  const JobItemRef key{JobId{"j"}, 0};
  OpenItems items;
  items.Enqueue(key, seconds(30), Time{});
  CHECK(items.TakePieces(key.job).empty());
  items.ProgressOf(key).text.Feed(kEvents);
  const auto pieces = items.TakePieces(key.job);
  REQUIRE(pieces.size() == 1);
  CHECK(pieces[0].events == 2);
  CHECK(items.TakePieces(key.job).empty());
  items.RemoveJob(key.job);
  CHECK(items.open_items().empty());
  CHECK(items.backlog().size() == 0);
}

// Guards against items that wait for ever: their route was removed, or a longer prefix hides it,
// and the route that begins their paths is of another kind.
TEST_CASE("an item runs on the route of its job, or else on a batch route that begins its path") {
  RoutingConfig config;
  Route batch;
  batch.name = "batch";
  batch.host = "h";
  batch.prefix = "/reports/";
  batch.kind = RouteKind::kBatch;
  Route rest = batch;
  rest.name = "rest";
  rest.prefix = "/";
  rest.kind = RouteKind::kIdempotent;
  JobRecord head;
  head.host = "h";
  head.route = "batch";
  const JobItem item{"i", "/reports/j/1", {}, "", 0};
  const auto route_of = [&](std::vector<Route> routes) {
    RoutingConfig with = config;
    with.routes = std::move(routes);
    const RouteTable table(std::move(with));
    const Route* route = ItemRoute(table, head, item);
    return route == nullptr ? std::string() : route->name;
  };
  CHECK(route_of({batch, rest}) == "batch");
  CHECK(route_of({rest}).empty());
  CHECK(route_of({}).empty());
  Route above = rest;
  above.prefix = "/reports/j/";
  CHECK(route_of({batch, above}) == "batch");
  CHECK(route_of({above}).empty());
  Route other = batch;
  other.name = "other";
  other.prefix = above.prefix;
  CHECK(route_of({batch, other}) == "batch");
  CHECK(route_of({other}) == "other");
  Route changed = batch;
  changed.kind = RouteKind::kIdempotent;
  CHECK(route_of({changed}).empty());
}
