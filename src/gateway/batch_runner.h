#pragma once

// Runs the items of the jobs that this entry owns, in the places that the keepers
// of the backend servers allow it, and stops them when less is allowed.

#include <functional>
#include <map>
#include <memory>
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
  struct Run {
    BackendAddress backend;
    TakenPlace place;
    OpenSends::Number number = 0;
    CancelCall cancel;
    bool answering = false;
    Time started_at{};
    Time heard_at{};
    StoreTime due{0};
    CrashWatch::LostSend lost_send;  // if its connection is lost
  };

  void Queue(const JobItemRef& key, Duration pause);
  [[nodiscard]] Duration QuarantineLeft(const OwnedJob& job, const JobItemRef& key) const;
  [[nodiscard]] BacklogTime TimeNow() const;
  [[nodiscard]] std::string IdOf(const JobItemRef& key) const;
  [[nodiscard]] const Route* RouteOf(const JobRecord& head, const JobItem& item) const;
  [[nodiscard]] bool Fits(const JobItemRef& key, const BackendInfo& backend) const;
  void StopExcess();
  void StartAllowed();
  bool StartOn(const BackendInfo& backend);
  void Start(const JobItemRef& key, StoreTime due, const BackendInfo& backend);
  void OnHttp(const JobItemRef& key, OpenSends::Number number, HttpEvent event);
  void OnConnectionLost(const JobItemRef& key, std::string why);
  void OnHead(const JobItemRef& key, const HttpHead& head);
  void OnBytes(const JobItemRef& key, std::string_view bytes);
  void OnEnd(const JobItemRef& key);
  // The run is over; the item waits for another one.
  void Requeue(const JobItemRef& key, relay::SendEnd end, std::string_view why, Duration pause);
  void EndRun(const JobItemRef& key, relay::SendEnd end);
  void Finish(const JobItemRef& key, ResultState state, std::string_view why);
  void OnFailed(const JobItemRef& key, bool counts, const std::string& why);
  void Sweep();
  void StopSilent();
  // Lists items as dead that can't be done any more. Without this a job whose route
  // was removed stays open for ever, and its caller waits for it.
  void GiveUpHopeless();
  void LogGivenUp(const JobItemRef& key, std::string_view why) const;
  void KeepProgress();
  void KeepProgressOf(OwnedJob& job);

  RelayTools& tools_;
  JobStore& jobs_;
  const StoreClock& clock_;
  std::function<void()> wanted_changed_;
  std::shared_ptr<const RouteTable> routes_;
  ItemWork work_;
  std::map<JobItemRef, Run> runs_;
  bool check_routes_ = false;  // of open items: the configuration or the jobs have changed
  Timer sweep_timer_, keep_timer_;
};

}  // namespace figmill
