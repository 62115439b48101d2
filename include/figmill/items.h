#pragma once

// Execution state of the items of batch jobs: the output of their runs, which item runs next,
// what a response means for its item, and when an item is abandoned. No I/O; time is passed in.

#include <cstdint>
#include <deque>
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
#include "figmill/routes.h"

namespace figmill {

struct JobItemRef {
  JobId job;
  std::size_t item = 0;  // its index in the job
  auto operator<=>(const JobItemRef&) const = default;
};

// --- Output ----------------------------------------------------------------------

// The output of one item, collected over any number of runs, each of which resumes where the
// previous one was interrupted, at a backend server of the same source.
class ItemText {
 public:
  // Limit on the output of an item: a result is written in one transaction, which holds 1 MB.
  static constexpr std::size_t kMaxBytes = 500'000;

  // A run begins at a backend server of this source. Output of another source is dropped, and so is
  // output that can't be continued; the item starts over.
  void BeginRun(const OutputSource& source);
  // Bytes of an event stream.
  void Feed(std::string_view bytes);
  // Drops the output; the next run starts from the beginning.
  void StartOver();
  // Why the bytes of the run can't be output of the item; nullopt if they can.
  [[nodiscard]] std::optional<std::string_view> Defect() const;
  // The run was interrupted: drops an incomplete event, which the next run sends again.
  void DropIncomplete() { pieces_.DropIncomplete(); }
  // Whether the run sends events that earlier runs have already delivered.
  [[nodiscard]] bool has_duplicate() const { return pieces_.has_duplicate(); }
  // The output is longer than a result may be. Events without text count too, as they could come
  // without end.
  [[nodiscard]] bool too_long() const {
    return text_.size() > kMaxBytes || appended_events_ > kMaxBytes;
  }
  // Whether the bytes so far end with a complete event.
  [[nodiscard]] bool at_event_end() const { return !pieces_.in_event(); }
  [[nodiscard]] const std::optional<std::string>& last_id() const { return pieces_.last_id(); }
  [[nodiscard]] std::uint64_t events() const { return pieces_.count(); }
  // What wrote the output; nullopt while there is none.
  [[nodiscard]] std::optional<OutputSource> source() const;
  // The data of all events, one event per line.
  [[nodiscard]] const std::string& text() const { return text_; }

  // The next piece of the text received since the last piece, with as many whole events as a row
  // holds; nothing if there is none, or if the next event alone is larger than a row.
  [[nodiscard]] std::optional<ledger::ProgressPiece> TakePiece(std::size_t item);
  // Restores a piece that an earlier owner stored. Pieces must be restored in order.
  void Restore(const ledger::ProgressPiece& piece);

 private:
  // The end of an event with an id, after which another run can resume.
  struct Position {
    std::size_t bytes = 0;  // of the text
    std::string last_id;
    std::uint64_t events = 0;
  };
  void Append(std::string_view event);
  [[nodiscard]] bool has_output() const { return events() > 0 || last_id(); }

  OrderedEventSplitter pieces_;
  OutputSource source_;  // of the last run
  std::string text_;
  std::uint64_t appended_events_ = 0;
  std::deque<Position> untaken_;  // the ends of pieces to come, in order
  std::size_t taken_bytes_ = 0;   // bytes of the text already taken as pieces
  std::uint32_t next_piece_ = 0;
  std::uint32_t start_ = 0;  // how often it started over
};

// Whether a granted slot at a backend server of another source may be used for an item that has
// output, which is then lost.
struct OtherSourceSlot {
  bool source_is_served = false;  // a backend server of the item's source is ready
  Duration waited{0};             // since the item's last run
  Duration work{0};               // running time that its output took
};
// The item waits for its source as long as its output took, unless the source has gone. So it loses
// at most twice what it would have lost with knowledge of when a slot at its source becomes free.
[[nodiscard]] bool ShouldStartOver(const OtherSourceSlot& slot);

// --- Responses -------------------------------------------------------------------

// The head of a backend server's response to an item.
struct ItemAnswerHead {
  int status = 0;
  bool not_run = false;  // the response states that the item was not run
  AnswerIdMatch id = AnswerIdMatch::kMissing;
};

namespace item_answer {
struct Output {};            // the item's output follows
struct NotRun {              // the backend server did not run the item
  bool misdirected = false;  // a backend server other than the intended one responded
};
struct WrongRequest {};   // the response belongs to another request
struct Unprocessable {};  // the item can't be processed; a retry would fail too
struct Failed {
  bool counts_as_failure = false;  // toward the failures that the route allows
};
}  // namespace item_answer
using ItemAnswer = std::variant<item_answer::Output, item_answer::NotRun, item_answer::WrongRequest,
                                item_answer::Unprocessable, item_answer::Failed>;
[[nodiscard]] ItemAnswer ItemAnswerOf(const ItemAnswerHead& head);

// --- Runs ------------------------------------------------------------------------

struct RunningItem {
  JobItemRef key;
  StoreTime due{0};
  Duration time_to_finish{0};  // expected until it is complete
};
// The items to preempt when `excess` too many are running: first those that can't complete by
// their due time any more, then those with the most slack.
[[nodiscard]] std::vector<JobItemRef> ItemsToStop(std::vector<RunningItem> running, int excess,
                                                  std::optional<StoreTime> now);

// --- Giving up -------------------------------------------------------------------

// Whether an item may run again after a failed run. Its route sets how often it may fail. While no
// route is known the item keeps waiting: otherwise an item whose route isn't known yet would be
// listed as dead, which is final.
struct FailedRuns {
  int counted = 0;             // failed runs that count toward the route's limit
  std::optional<int> allowed;  // the route's limit; empty: no route is known
};
[[nodiscard]] bool MayRunAgain(const FailedRuns& failed);

// The route on which an item of the job runs: that of its job while it is there, since the item was
// accepted on it; else the one that begins the item's path. A route of another kind is none;
// nullptr if there is none.
[[nodiscard]] const Route* ItemRoute(const RouteTable& routes, const JobRecord& head,
                                     const JobItem& item);

// Why the open items of a job will not run any more; empty while they may still run.
// A missing route is a reason only under a configuration later than the one that
// accepted the job: an owner with an outdated configuration may not know the route
// yet, and listing an item as dead is final. For the same reason a job expires only
// by the store's clock, never while that is unknown.
[[nodiscard]] std::optional<std::string_view> GiveUpReason(const JobRecord& head, bool has_route,
                                                           std::uint64_t config_version,
                                                           std::optional<StoreTime> now);

// --- Duration --------------------------------------------------------------------

// Estimates how long items take, from all their runs and from the time that they wait between
// runs. Bursts of online load preempt an item several times before it completes. Only short items
// complete in a single run; an estimate from those is too low, so that items would be started that
// can't complete in time, and most of them would be slightly late.
class ItemDurationEstimator {
 public:
  // Running time of a complete item before any was observed.
  static constexpr Duration kDefaultWork{5'000'000};
  // Weight of the newest run or item in the moving averages.
  static constexpr double kNewestWeight = 0.1;
  // Ratio of the time from an item's first run to its end to its running time, before any was
  // observed: assumes that online load holds its slot half of the time.
  static constexpr double kDefaultSlowdown = 2;
  // With a higher ratio hardly any item would be expected to complete in time.
  static constexpr double kMaxSlowdown = 4;
  // Share of a started item that remains, before any complete item was observed. With a share of
  // 1, all items that a process takes over at its start would count as late, and others run first.
  static constexpr double kDefaultRemainingShare = 0.5;
  // Lower bound of the remaining share, as an item may be longer than the average.
  static constexpr double kMinRemainingShare = 0.05;

  // A run of the given length delivered `events`.
  void OnRunEnded(std::uint64_t events, Duration length);
  // An item completed in time, with `events` in all. Its runs took `work` together; `took` has
  // passed since the first one's start.
  void OnCompleted(std::uint64_t events, Duration work, Duration took);

  // Remaining running time of an item that has delivered `events`, without interruptions.
  [[nodiscard]] Duration RemainingWork(std::uint64_t events) const;
  // Remaining time until the item completes, with the expected interruptions: nearly none for an
  // item that is almost complete, the average for one that has not started.
  [[nodiscard]] Duration TimeToFinish(std::uint64_t events) const;

 private:
  [[nodiscard]] double RemainingShare(std::uint64_t events) const;
  [[nodiscard]] double ExpectedWork() const;  // running time of a complete item, in us

  // Exponentially weighted sums over all runs.
  double run_us_ = 0;
  double run_events_ = 0;
  double item_events_ = 0;  // average of a complete item; 0: none was observed
  double slowdown_ = kDefaultSlowdown;
};

// --- Order of work ---------------------------------------------------------------

// The times that decide whether and in which order waiting items start.
struct BacklogTime {
  Time local{};                    // clock of this process; for retry delays
  std::optional<StoreTime> store;  // the store's clock, for due times; empty until it is known
};

// The order in which items run; within a rank, earliest due time first.
enum class ItemRank : std::uint8_t {
  // Has delivered output and can complete in time. Its work is wasted if it completes late, and
  // after each burst of online load there are as many of these items as slots.
  kStarted,
  kNotStarted,  // has no output yet, and can complete in time
  kLate,        // can't complete in time any more; uses the slots that the others leave
};

// Waiting items of all jobs, and which of them runs next. There may be more items than can run
// between two bursts of online load. Plain earliest-due-first would then work on each item until it
// is late, and abandon interrupted items for others that are due a little earlier.
class ItemBacklog {
 public:
  struct Entry {
    JobId job;
    std::size_t item = 0;
    StoreTime due{0};
    Duration time_to_finish{0};  // estimated by ItemDurationEstimator::TimeToFinish
    Time not_before{};           // earliest start, after a failure
    bool started = false;        // it has delivered a part of its output
  };

  // While `now` is unknown every item counts as able to complete in time.
  [[nodiscard]] static ItemRank RankOf(const Entry& entry, std::optional<StoreTime> now);

  void Add(Entry entry) { entries_.push_back(std::move(entry)); }
  void RemoveJob(const JobId& job);
  void RemoveItem(const JobId& job, std::size_t item);
  // Removes and returns the first item in order that may start now and fits.
  [[nodiscard]] std::optional<Entry> Take(const BacklogTime& now,
                                          const std::function<bool(const Entry&)>& fits);
  // How many items may start now, by rank and due time in start order. All items that can't
  // complete in time any more are counted under kLate.
  static constexpr StoreTime kLate = StoreTime::max();
  using Group = std::pair<ItemRank, StoreTime>;
  [[nodiscard]] std::map<Group, int> Startable(const BacklogTime& now) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::vector<Entry> entries_;
};

// --- Items of an owner -----------------------------------------------------------

// Progress of an open item.
struct ItemProgress {
  ItemText text;
  StoreTime due{0};
  int failures = 0;  // responses that count toward the failures that its route allows
  int runs = 0;      // started by this owner
  Time first_run_at{};
  // Of the current run, or the last one: its start, and the item's events before it.
  Time run_at{};
  std::uint64_t events_before = 0;
  Duration work{0};  // total time of the runs that have ended
  Time ended_at{};   // end of the last run, or when this owner first queued the item
};

// All open items of the jobs that an entry owns: the progress of each, and the waiting ones.
class OpenItems {
 public:
  // Restores output of the item that an earlier owner stored.
  void Restore(const JobItemRef& key, const ledger::ProgressPiece& piece);
  void Enqueue(const JobItemRef& key, StoreTime due, Time not_before);
  // An item of the backlog may not start before `not_before`.
  void Postpone(const JobItemRef& key, Time not_before);
  // Removes the next item that may start now and fits from the backlog, and starts a run of it.
  [[nodiscard]] std::optional<ItemBacklog::Entry> StartNext(
      const BacklogTime& now, const std::function<bool(const JobItemRef&)>& fits);
  // The run that StartNext has started begins at a backend server of this source. Returns how many
  // events were dropped (ItemText::BeginRun).
  std::uint64_t BeginRun(const JobItemRef& key, const OutputSource& source);
  // The item's run has ended, successfully or not.
  void OnRunEnded(const JobItemRef& key, Time now);
  // The item's last run completed its output.
  void OnCompleted(const JobItemRef& key, const BacklogTime& now);
  // The item will not run any more.
  ItemProgress Remove(const JobItemRef& key);
  void RemoveJob(const JobId& job);

  [[nodiscard]] ItemProgress& ProgressOf(const JobItemRef& key) { return progress_[key]; }
  // Running time that the item's output took, as estimated.
  [[nodiscard]] Duration WorkDone(const JobItemRef& key) const;
  // Expected until the item is complete.
  [[nodiscard]] Duration TimeToFinish(const JobItemRef& key) const;
  [[nodiscard]] const std::map<JobItemRef, ItemProgress>& open_items() const { return progress_; }
  [[nodiscard]] const ItemBacklog& backlog() const { return backlog_; }
  [[nodiscard]] std::set<JobId> Jobs() const;
  // The output of the job's runs since the last call.
  [[nodiscard]] std::vector<ledger::ProgressPiece> TakePieces(const JobId& job);

 private:
  std::map<JobItemRef, ItemProgress> progress_;
  ItemBacklog backlog_;
  ItemDurationEstimator estimator_;
};

}  // namespace figmill
