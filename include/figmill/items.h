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
};
// Those of `running` that give way when there are `excess` too many: the ones with most
// time left.
[[nodiscard]] std::vector<JobItemRef> ItemsToStop(std::vector<RunningItem> running, int excess);

// --- Giving up --------------------------------------------------------------------

// Why the open items of a job will not be run any more; nothing while they may be.
// An item without a route is given up only by a configuration later than the one
// that accepted the job: an owner that lags behind may not have heard of the route
// yet, and what is listed as dead stays dead. For the same reason a life is over only
// by the store's clock, never while that is unknown.
[[nodiscard]] std::optional<std::string_view> WhyGivenUp(const JobHead& head, bool has_route,
                                                         std::uint64_t config_version,
                                                         std::optional<StoreTime> now);

// --- Order of work ---------------------------------------------------------------

// What items wait by.
struct BacklogTime {
  Time here{};                     // of this process: pauses
  std::optional<StoreTime> store;  // due times; nothing before the store told its time
};

// Which item of all jobs runs next. Earliest due first keeps the most jobs whole
// as long as all fit. Once they don't, it would work on each job until it is late;
// so an item that can't be done in time any more lets those go first that can.
class ItemBacklog {
 public:
  struct Entry {
    JobId job;
    std::size_t item = 0;
    StoreTime due{0};
    Duration work{0};   // expected until it is done
    Time not_before{};  // after a failure
    bool has_run = false;
  };

  // Time that an item takes which has not run yet, in times of its work: online will take
  // its place now and then. Reckoned as 1, items with no time to spare go first, are
  // stopped once and late: with 28 of 50 engines left 596 of 870 items are in time, 721
  // with 2, 690 when places go round (simulated waves, place-load-test). One that has run
  // goes on as long as it can be in time at all, as its work would be lost.
  static constexpr int kTimesWork = 2;

  // True while the time is unknown: the one due first goes first then.
  [[nodiscard]] static bool CanBeInTime(const Entry& entry, std::optional<StoreTime> now);

  void Add(Entry entry) { entries_.push_back(std::move(entry)); }
  void RemoveJob(const JobId& job);
  void RemoveItem(const JobId& job, std::size_t item);
  // Takes out the next one that may start now and fits.
  [[nodiscard]] std::optional<Entry> Take(const BacklogTime& now,
                                          const std::function<bool(const Entry&)>& fits);
  // How many may start now, by when they are due; those that can't be in time any more
  // stand at kLate.
  static constexpr StoreTime kLate = StoreTime::max();
  [[nodiscard]] std::map<StoreTime, int> StartableByDue(const BacklogTime& now) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::vector<Entry> entries_;
};

// --- Work of an owner --------------------------------------------------------------

// What is known of an open item.
struct ItemProgress {
  ItemText text;
  int failures = 0;  // answers that count against what its route allows
  int runs = 0;      // by this owner
  Time first_run_at{};
};

// All open items of the jobs that an entry owns: how far each is, and those that wait.
class ItemWork {
 public:
  // A run's expected length before any was seen.
  static constexpr Duration kUsualRun{5'000'000};
  // Weight of the newest run in what is expected of the next one.
  static constexpr double kNewest = 0.1;

  // What an earlier owner has kept of the item.
  void Restore(const JobItemRef& key, const ledger::ProgressPiece& piece);
  void Wait(const JobItemRef& key, StoreTime due, Time not_before);
  // Takes the next item that may start now and fits. It has begun one more run.
  [[nodiscard]] std::optional<ItemBacklog::Entry> Next(
      const BacklogTime& now, const std::function<bool(const JobItemRef&)>& fits);
  // Its run ended with the whole output, and took this long.
  void Whole(const JobItemRef& key, Duration length);
  // It will not run any more.
  ItemProgress Remove(const JobItemRef& key);
  void RemoveJob(const JobId& job);

  [[nodiscard]] ItemProgress& Of(const JobItemRef& key) { return progress_[key]; }
  [[nodiscard]] const std::map<JobItemRef, ItemProgress>& open() const { return progress_; }
  [[nodiscard]] const ItemBacklog& backlog() const { return backlog_; }
  [[nodiscard]] std::set<JobId> Jobs() const;
  // What the job's runs have given since the last call.
  [[nodiscard]] std::vector<ledger::ProgressPiece> TakePieces(const JobId& job);

 private:
  [[nodiscard]] Duration WorkLeft(const ItemProgress& progress) const;

  std::map<JobItemRef, ItemProgress> progress_;
  ItemBacklog backlog_;
  Duration usual_run_ = kUsualRun;
  double usual_events_ = 0;
};

}  // namespace figmill
