#pragma once

// Handles callers' requests about batch jobs: submit, read results, read an item, end the job.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "figmill/gateway.h"
#include "figmill/store_clock.h"
#include "gateway/job_store.h"

namespace figmill {

class JobRequestHandler {
 public:
  JobRequestHandler(Loop& loop, JobStore& jobs, const StoreClock& clock,
                    const PlatformAdapter& adapter);

  // `config_version`: of the configuration that `route` is from. `team`: empty when callers need
  // no API keys.
  void Submit(const Route& route, std::uint64_t config_version, const std::optional<TeamId>& team,
              HttpRequest request, std::shared_ptr<HttpReply> reply);
  // Responds for a job of another team as if the job didn't exist.
  void Call(const JobCall& call, const std::optional<TeamId>& team,
            std::shared_ptr<HttpReply> reply);
  // Call it when the job has new results or has ended.
  void OnChanged(const JobRecord& head);
  void SetLeaving();
  [[nodiscard]] std::size_t in_flight() const { return in_flight_; }

 private:
  struct LongPoll {
    std::uint32_t after = 0;
    std::function<void()> pending;
    std::uint64_t id = 0;
  };
  // A response that counts as in flight until it is sent.
  class PendingReply;

  void Dispatch(const JobCall& call, const std::shared_ptr<PendingReply>& pending);
  void Handle(const JobReadCall& call, std::shared_ptr<PendingReply> pending);
  void Handle(const JobItemCall& call, std::shared_ptr<PendingReply> pending);
  void Handle(const JobEndCall& call, std::shared_ptr<PendingReply> pending);
  void SendResultsOrWait(const JobReadCall& call, const JobRecord& head,
                         std::shared_ptr<PendingReply> pending);
  void WaitForResults(const JobReadCall& call, std::shared_ptr<PendingReply> pending);
  void SendNoResults(const JobReadCall& call, std::shared_ptr<PendingReply> pending);
  void SendResults(const JobReadCall& call, std::uint32_t total,
                   std::shared_ptr<PendingReply> pending);

  Loop& loop_;
  JobStore& jobs_;
  const StoreClock& clock_;
  const PlatformAdapter& adapter_;
  std::multimap<JobId, LongPoll> long_polls_;
  std::uint64_t next_long_poll_id_ = 0;
  std::size_t in_flight_ = 0;
  bool leaving_ = false;
};

}  // namespace figmill
