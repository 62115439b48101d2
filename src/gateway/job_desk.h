#pragma once

// Callers' calls about batch jobs: submit, read results, read an item, end.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "figmill/gateway.h"
#include "figmill/store_clock.h"
#include "gateway/job_store.h"

namespace figmill {

class JobDesk {
 public:
  JobDesk(Loop& loop, JobStore& jobs, const StoreClock& clock, const PlatformAdapter& adapter);

  // `config_version`: of the configuration that `route` is from. `team`: nothing when callers need
  // no keys.
  void Submit(const Route& route, std::uint64_t config_version, const std::optional<TeamId>& team,
              HttpRequest request, std::shared_ptr<HttpReply> reply);
  // For a job of another team as if it weren't there.
  void Call(const JobCall& call, const std::optional<TeamId>& team,
            std::shared_ptr<HttpReply> reply);
  // The job has new results, or has ended.
  void OnChanged(const JobRecord& head);
  void SetLeaving();
  [[nodiscard]] std::size_t in_flight() const { return in_flight_; }

 private:
  struct Waiting {
    std::uint32_t after = 0;
    std::function<void()> answer;
    std::uint64_t number = 0;
  };
  // A reply that counts as in flight until it is sent.
  class Answer;

  void Serve(const JobCall& call, const std::shared_ptr<Answer>& answer);
  void On(const JobReadCall& call, std::shared_ptr<Answer> answer);
  void On(const JobItemCall& call, std::shared_ptr<Answer> answer);
  void On(const JobEndCall& call, std::shared_ptr<Answer> answer);
  void Read(const JobReadCall& call, const JobRecord& head, std::shared_ptr<Answer> answer);
  void Wait(const JobReadCall& call, std::shared_ptr<Answer> answer);
  void AnswerNothing(const JobReadCall& call, std::shared_ptr<Answer> answer);
  void SendResults(const JobReadCall& call, std::uint32_t total, std::shared_ptr<Answer> answer);

  Loop& loop_;
  JobStore& jobs_;
  const StoreClock& clock_;
  const PlatformAdapter& adapter_;
  std::multimap<JobId, Waiting> waiting_;
  std::uint64_t next_number_ = 0;
  std::size_t in_flight_ = 0;
  bool leaving_ = false;
};

}  // namespace figmill
