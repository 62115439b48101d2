#pragma once

// Work on the items of batch jobs: what runs have given, which item runs next, what an
// answer says of its item, and when an item is given up. No I/O; time is passed in.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/ledger.h"
#include "figmill/relay.h"

namespace figmill {

struct JobItemRef {
  JobId job;
  std::size_t item = 0;  // its index in the job
  auto operator<=>(const JobItemRef&) const = default;
};

// --- Output -----------------------------------------------------------------------

// The text of one item, gathered over any number of runs that go on where the
// last one broke off.
class ItemText {
 public:
  // Bytes of an event stream.
  void Feed(std::string_view bytes);
  // The run broke off: an event that was begun comes again.
  void BreakOff() { pieces_.DropTail(); }
  // The run sends what other runs have given already.
  [[nodiscard]] bool repeats() const { return pieces_.repeats(); }
  // Whether the run ended between events.
  [[nodiscard]] bool at_event_end() const { return !pieces_.in_event(); }
  [[nodiscard]] const std::optional<std::string>& last_id() const { return pieces_.last_id(); }
  [[nodiscard]] std::uint64_t events() const { return pieces_.count(); }
  // The data of all events, each on a line of its own.
  [[nodiscard]] const std::string& text() const { return text_; }

  // What came since the last piece, as the next one; nothing if nothing came.
  [[nodiscard]] std::optional<ledger::ProgressPiece> TakePiece(std::size_t item);
  // Puts a piece back that an earlier owner has kept; in order.
  void Restore(const ledger::ProgressPiece& piece);

 private:
  EventPieces pieces_;
  std::string text_;
  std::size_t kept_ = 0;  // bytes of the text in pieces
  std::uint32_t next_piece_ = 0;
};

// --- Answers ---------------------------------------------------------------------

// The head of a backend server's answer to an item.
struct ItemAnswerHead {
  int status = 0;
  bool not_run = false;  // it says so
  AnsweredId id = AnsweredId::kNone;
};

namespace item_answer {
struct Output {};            // the item's output follows
struct NotRun {              // the backend server has not worked on it
  bool misdirected = false;  // it is another one than the one that was sent to
};
struct Stray {};       // it belongs to another request
struct Impossible {};  // the item can never be done
struct Failed {
  bool counts = false;  // against the runs that the route allows
};
}  // namespace item_answer
using ItemAnswer = std::variant<item_answer::Output, item_answer::NotRun, item_answer::Stray,
                                item_answer::Impossible, item_answer::Failed>;
[[nodiscard]] ItemAnswer ItemAnswerOf(const ItemAnswerHead& head);

// --- Runs -------------------------------------------------------------------------

struct RunningItem {
  JobItemRef key;
  StoreTime due{0};
  Duration needed{0};  // until it is done
};
// Those of `running` that give way when there are `excess` too many: the ones that can't be in
// time any more, then those with most time to spare.
[[nodiscard]] std::vector<JobItemRef> ItemsToStop(std::vector<RunningItem> running, int excess,
                                                  std::optional<StoreTime> now);

// --- Giving up --------------------------------------------------------------------

// Whether an item may run again after a run that failed. How often it may fail is its route's to
// say. While no route is known the item waits: one whose route is only not known yet would else be
// listed as dead, and what is listed as dead stays dead.
struct FailedRuns {
  int counted = 0;             // runs that failed and count against what its route allows
  std::optional<int> allowed;  // by its route
};
[[nodiscard]] bool MayRunAgain(const FailedRuns& failed);

// Why the open items of a job will not be run any more; nothing while they may be.
// An item without a route is given up only by a configuration later than the one
// that accepted the job: an owner that lags behind may not have heard of the route
// yet, and what is listed as dead stays dead. For the same reason a life is over only
// by the store's clock, never while that is unknown.
[[nodiscard]] std::optional<std::string_view> WhyGivenUp(const JobRecord& head, bool has_route,
                                                         std::uint64_t config_version,
                                                         std::optional<StoreTime> now);

// --- Pace ------------------------------------------------------------------------

// How long items take, learned from all their runs and from the time that they wait between them.
// The load that this answers: waves of online take an item's place several times before it is
// done. What one run from end to end takes is what a short item takes; reckoned by it, items
// begin that can't be in time any more, and most of them are late by a little.
class ItemPace {
 public:
  // A whole item's work before any was seen.
  static constexpr Duration kUsualWork{5'000'000};
  // Weight of the newest run or item in what is expected of the next one.
  static constexpr double kNewest = 0.1;
  // Time from an item's first run to its end, in times of its work, before any was seen: online
  // has its place for half of the time.
  static constexpr double kUsualStretch = 2;
  // Beyond this hardly any item would seem to be in time.
  static constexpr double kLongestStretch = 4;
  // What is left of an item that has begun, before any whole one was seen. Taken for fresh, all
  // items that a process takes over as it starts would seem to be late, and others go first.
  static constexpr double kUnknownLeft = 0.5;
  // An item may turn out longer than usual: some of its work is always left.
  static constexpr double kLeastLeft = 0.05;

  // A run gave so many events.
  void RunEnded(std::uint64_t events, Duration length);
  // An item is whole, in time. Its runs took `work`, and `took` from the first one's start.
  void Whole(std::uint64_t events, Duration work, Duration took);

  // Runs that are left of an item with so many events, without interruption.
  [[nodiscard]] Duration WorkLeft(std::uint64_t events) const;
  // Until it is done, with the interruptions to expect: nearly none for one that is almost done,
  // the usual ones for a fresh one.
  [[nodiscard]] Duration TimeLeft(std::uint64_t events) const;

 private:
  [[nodiscard]] double ShareLeft(std::uint64_t events) const;
  [[nodiscard]] double Work() const;  // of a whole item, in us

  // Of the last runs, the newest weighing most.
  double run_us_ = 0;
  double run_events_ = 0;
  double item_events_ = 0;  // of a whole item; 0: none was seen
  double stretch_ = kUsualStretch;
};

// --- Order of work ---------------------------------------------------------------

// What items wait by.
struct BacklogTime {
  Time here{};                     // of this process: pauses
  std::optional<StoreTime> store;  // due times; nothing before the store told its time
};

// The order in which items run; within a rank the earliest due goes first.
enum class ItemRank : std::uint8_t {
  // It has run, and can be in time. Its work is lost if it isn't done in time, and after each
  // wave there are as many of them as places.
  kBegun,
  kFresh,  // it has not run yet, and can be in time
  kLate,   // it can't be in time any more, and runs in what the others leave
};

// Which item of all jobs runs next. The load that this answers: more items than the valleys
// between two waves can carry. Earliest due first would work on each until it is late, and leave
// those that a wave interrupted for others that are due a little earlier.
class ItemBacklog {
 public:
  struct Entry {
    JobId job;
    std::size_t item = 0;
    StoreTime due{0};
    Duration needed{0};  // until it is done, see ItemPace::TimeLeft
    Time not_before{};   // after a failure
    bool begun = false;  // it has given some of its output
  };

  // While the time is unknown all can be in time.
  [[nodiscard]] static ItemRank RankOf(const Entry& entry, std::optional<StoreTime> now);

  void Add(Entry entry) { entries_.push_back(std::move(entry)); }
  void RemoveJob(const JobId& job);
  void RemoveItem(const JobId& job, std::size_t item);
  // Takes out the next one that may start now and fits.
  [[nodiscard]] std::optional<Entry> Take(const BacklogTime& now,
                                          const std::function<bool(const Entry&)>& fits);
  // How many may start now, in the order in which they would. Those that can't be in time any
  // more stand together at kLate.
  static constexpr StoreTime kLate = StoreTime::max();
  using Group = std::pair<ItemRank, StoreTime>;
  [[nodiscard]] std::map<Group, int> Startable(const BacklogTime& now) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::vector<Entry> entries_;
};

// --- Work of an owner --------------------------------------------------------------

// What is known of an open item.
struct ItemProgress {
  ItemText text;
  StoreTime due{0};
  int failures = 0;  // answers that count against what its route allows
  int runs = 0;      // by this owner
  Time first_run_at{};
  // Of the run under way, or the last one.
  Time run_at{};
  std::uint64_t events_before = 0;
  Duration work{0};  // of the runs that have ended
};

// All open items of the jobs that an entry owns: how far each is, and those that wait.
class ItemWork {
 public:
  // What an earlier owner has kept of the item.
  void Restore(const JobItemRef& key, const ledger::ProgressPiece& piece);
  void Wait(const JobItemRef& key, StoreTime due, Time not_before);
  // Takes the next item that may start now and fits. It has begun one more run.
  [[nodiscard]] std::optional<ItemBacklog::Entry> Next(
      const BacklogTime& now, const std::function<bool(const JobItemRef&)>& fits);
  // Its run is over, whatever its end.
  void RunEnded(const JobItemRef& key, Time now);
  // Its last run ended with the whole output.
  void Whole(const JobItemRef& key, const BacklogTime& now);
  // It will not run any more.
  ItemProgress Remove(const JobItemRef& key);
  void RemoveJob(const JobId& job);

  [[nodiscard]] ItemProgress& Of(const JobItemRef& key) { return progress_[key]; }
  // Until it is done.
  [[nodiscard]] Duration TimeLeft(const JobItemRef& key) const;
  [[nodiscard]] const std::map<JobItemRef, ItemProgress>& open() const { return progress_; }
  [[nodiscard]] const ItemBacklog& backlog() const { return backlog_; }
  [[nodiscard]] std::set<JobId> Jobs() const;
  // What the job's runs have given since the last call.
  [[nodiscard]] std::vector<ledger::ProgressPiece> TakePieces(const JobId& job);

 private:
  std::map<JobItemRef, ItemProgress> progress_;
  ItemBacklog backlog_;
  ItemPace pace_;
};

}  // namespace figmill
