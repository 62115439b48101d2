#pragma once

// Runs the items of the jobs that this entry owns, in the places that the keepers
// of the backend servers allow it, and stops them when less is allowed.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "figmill/ledger.h"
#include "figmill/routes.h"
#include "figmill/sharing.h"
#include "gateway/job_store.h"
#include "gateway/relay_call.h"
#include "gateway/store_clock.h"

namespace figmill {

class BatchRunner {
 public:
  // After a run that failed, before the item goes out again.
  static constexpr Duration kRetryPause{100'000};
  // A run without a byte for this long is stopped and goes on elsewhere. The first
  // byte waits for a place; later ones come every few tens of ms.
  static constexpr Duration kFirstByteSilence{2'500'000};
  static constexpr Duration kNextByteSilence{1'000'000};
  static constexpr Duration kSweepPeriod{250'000};
  // What runs have given is kept this often, for another owner to go on from. A
  // host that dies loses as much of each run; a write costs a call and its bytes.
  static constexpr Duration kKeepPeriod{1'000'000};
  // A run's expected length before any was seen.
  static constexpr Duration kUsualRun{5'000'000};

  BatchRunner(RelayTools& tools, JobStore& jobs, const StoreClock& clock,
              std::function<void()> wanted_changed);

  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  void OnOwned(OwnedJob& job, const std::vector<ledger::ProgressPiece>& progress);
  // Stops what runs of the job and keeps what has been done.
  void OnHandedOver(OwnedJob& job);
  void OnDropped(const JobId& job);
  // Starts and stops runs as what is allowed now says.
  void Pump();
  // Items that could start now, those due first first.
  [[nodiscard]] std::vector<WaitingItems> Waiting() const;
  [[nodiscard]] std::size_t running() const { return runs_.size(); }

 private:
  struct ItemKey {
    JobId job;
    std::size_t item = 0;
    auto operator<=>(const ItemKey&) const = default;
  };
  // What is kept of an item between its runs.
  struct Progress {
    ItemText text;
    int failures = 0;
    int runs = 0;
    Time first_run_at{};
  };
  struct Run {
    BackendAddress backend;
    std::uint64_t number = 0;
    CancelCall cancel;
    bool answering = false;
    Time started_at{};
    Time heard_at{};
    StoreTime due{0};
  };

  void Queue(const ItemKey& key, Duration pause);
  [[nodiscard]] BacklogTime TimeNow() const;
  [[nodiscard]] std::string IdOf(const ItemKey& key) const;
  [[nodiscard]] const Route* RouteOf(const JobHead& head, const JobItem& item) const;
  [[nodiscard]] bool Fits(const ItemKey& key, const BackendInfo& backend) const;
  void StopExcess();
  void StartAllowed();
  bool StartOn(const BackendInfo& backend);
  void Start(const ItemKey& key, StoreTime due, const BackendInfo& backend);
  void OnHttp(const ItemKey& key, std::uint64_t number, HttpEvent event);
  void OnHead(const ItemKey& key, const HttpHead& head);
  void OnEnd(const ItemKey& key);
  // The run is over; the item waits for another one.
  void Requeue(const ItemKey& key, relay::SendEnd end, std::string_view why, Duration pause);
  void EndRun(const ItemKey& key, relay::SendEnd end);
  void Finish(const ItemKey& key, ResultState state, std::string_view why);
  void Sweep();
  void StopSilent();
  // Lists items as dead that can't be done any more. Without this a job whose route
  // was removed stays open for ever, and its caller waits for it.
  void GiveUpHopeless();
  void LogGivenUp(const ItemKey& key, std::string_view why) const;
  void KeepProgress();
  void KeepProgressOf(OwnedJob& job);
  [[nodiscard]] Duration WorkLeft(const Progress& progress) const;

  RelayTools& tools_;
  JobStore& jobs_;
  const StoreClock& clock_;
  std::function<void()> wanted_changed_;
  std::shared_ptr<const RouteTable> routes_;
  ItemBacklog backlog_;
  std::map<ItemKey, Progress> progress_;
  std::map<ItemKey, Run> runs_;
  std::uint64_t next_number_ = 0;
  bool check_routes_ = false;  // of open items: the configuration or the jobs have changed
  Duration usual_run_ = kUsualRun;
  double usual_events_ = 0;
  Timer sweep_timer_, keep_timer_;
};

}  // namespace figmill
