#pragma once

// Runs the items of the jobs that this entry owns, in the batch slots that the slot
// allocators of the backend servers grant it, and stops runs when a grant shrinks.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "figmill/items.h"
#include "figmill/routes.h"
#include "figmill/sharing.h"
#include "figmill/store_clock.h"
#include "gateway/job_store.h"
#include "gateway/relay_call.h"

namespace figmill {

class BatchRunner {
 public:
  // Delay between a failed run and the item's next run.
  static constexpr Duration kRetryDelay{100'000};
  // A run that receives no head, or then no whole event, for this long is stopped, and its item is
  // queued to resume at any backend server. The head waits for a slot; events come every few tens
  // of ms.
  static constexpr Duration kFirstByteTimeout{2'500'000};
  static constexpr Duration kNextEventTimeout{1'000'000};
  static constexpr Duration kSweepPeriod{250'000};
  // Items that are held in quarantine are checked again at this interval, as what is to blame may
  // turn out to be something else.
  static constexpr Duration kQuarantineCheckInterval{1'000'000};
  // Interval at which the partial output of runs is written to the store, for another owner to
  // resume from. When a host dies, each of its runs loses as much; a write costs a call and its
  // bytes.
  static constexpr Duration kProgressWriteInterval{1'000'000};

  BatchRunner(RelayContext& tools, JobStore& jobs, const StoreClock& clock,
              std::function<void()> waiting_changed);

  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  void OnOwned(OwnedJob& job, const std::vector<ledger::ProgressPiece>& progress);
  // Stops the job's runs and adds their partial output to the job's next write.
  void OnReleasing(OwnedJob& job);
  void OnDropped(const JobId& job);
  // Starts and stops runs to match the slots that are granted now.
  void UpdateRuns();
  // Items that could start now, in order of their due times.
  [[nodiscard]] std::vector<WaitingItems> Waiting() const;
  [[nodiscard]] std::size_t running() const { return runs_.size(); }

 private:
  struct Run {
    BackendAddress backend;
    AcquiredSlot slot;
    RunTimer timer;
    OpenSends::Id number = 0;
    CancelCall cancel;
    bool answering = false;
    std::uint64_t events_before = 0;  // of the item's text when the run started
    bool parts_are_sound = false;     // the run has shown it
    std::optional<std::uint64_t> max_output_tokens;
    Time started_at{};
    Duration suspended_before{0};  // Loop::Suspended at started_at
    Time last_activity_at{};       // of the head and of whole events
    StoreTime due{0};
    // Reported if the backend server crashes: the item, then the parts of its prompt.
    std::vector<Fingerprint> suspects;
  };

  void Enqueue(const JobItemRef& key, Duration delay);
  // Time until the item may run, when what is known of it is in quarantine.
  [[nodiscard]] Duration QuarantineLeft(const OwnedJob& job, const JobItemRef& key) const;
  [[nodiscard]] Duration QuarantineLeft(const JobItemRef& key, const ServiceName& service) const;
  // When the items of the job are given up, by the clock of this process.
  [[nodiscard]] Time ExpiryOf(const JobRecord& head) const;
  // A waiting item may not start before this delay is over.
  void Postpone(const JobItemRef& key, Duration delay);
  [[nodiscard]] bool IsCurrent(const JobItemRef& key, OpenSends::Id number) const;
  [[nodiscard]] LostSend MakeLostSend(const JobItemRef& key);
  [[nodiscard]] BacklogTime TimeNow() const;
  [[nodiscard]] std::string ItemId(const JobItemRef& key) const;
  [[nodiscard]] const Route* RouteOf(const JobRecord& head, const JobItem& item) const;
  // Whether the item may use a slot of a backend server that wrote none of its output.
  enum class OtherSources : std::uint8_t { kIfItsOwnIsGone, kIfItHasWaited };
  [[nodiscard]] bool CanRunOn(const JobItemRef& key, const BackendInfo& backend,
                              OtherSources others);
  void StopExcessRuns();
  void StartGrantedRuns();
  bool StartOn(const BackendInfo& backend);
  void Start(const JobItemRef& key, StoreTime due, const BackendInfo& backend);
  void OnHttp(const JobItemRef& key, OpenSends::Id number, HttpEvent event);
  void OnConnectionLost(const JobItemRef& key, std::string why);
  void OnHead(const JobItemRef& key, const HttpHead& head);
  void OnBytes(const JobItemRef& key, std::string_view bytes);
  void OnEnd(const JobItemRef& key);
  void OnEndByClose(const JobItemRef& key, const HttpEnd& end);
  // Ends the run and queues the item for another one.
  void Requeue(const JobItemRef& key, relay::SendEnd end, std::string_view why, Duration delay);
  void EndRun(const JobItemRef& key, relay::SendEnd end);
  void Finish(const JobItemRef& key, ResultState state, std::string_view why);
  void OnFailed(const JobItemRef& key, bool counts_as_failure, const std::string& why);
  void Sweep();
  void StopStalledRuns();
  // Records items that can't be completed any more as dead. Otherwise a job whose route was
  // removed would stay open forever, and its caller would wait for it.
  void GiveUpItems();
  void LogGivenUp(const JobItemRef& key, std::string_view why) const;
  void SaveProgress();
  void SaveProgressOf(OwnedJob& job);

  RelayContext& tools_;
  JobStore& jobs_;
  const StoreClock& clock_;
  std::function<void()> waiting_changed_;
  std::shared_ptr<const RouteTable> routes_;
  OpenItems open_items_;
  std::map<JobItemRef, Run> runs_;
  std::set<OutputSource> ready_sources_;  // as of the last StartGrantedRuns
  bool check_routes_ = false;  // the configuration or the jobs changed since the last check
  Timer sweep_timer_, progress_timer_;
};

}  // namespace figmill
