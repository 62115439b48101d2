#include "gateway/job_request_handler.h"

#include <utility>

#include "gateway/error_response.h"

namespace figmill {
namespace {

constexpr int kAccepted = 202;
// Retry-After of errors that a retry may solve: when the store is down, it is down for
// seconds.
constexpr Duration kRetryAfter{1'000'000};
// Limit on the results in one response, in bytes of output; escaping adds to them, and a
// response may have 1 MB.
constexpr std::size_t kMaxResponseBytes = 600'000;

}  // namespace

class JobRequestHandler::PendingReply {
 public:
  PendingReply(JobRequestHandler& handler, std::string call_name, std::string job,
               std::shared_ptr<HttpReply> reply)
      : handler_(handler),
        call_name_(std::move(call_name)),
        job_(std::move(job)),
        reply_(std::move(reply)) {
    ++handler_.in_flight_;
  }
  ~PendingReply() {
    if (!sent_) --handler_.in_flight_;
  }
  PendingReply(const PendingReply&) = delete;
  PendingReply& operator=(const PendingReply&) = delete;

  void Send(HttpResponse response, const std::string& why = "") {
    if (std::exchange(sent_, true)) return;
    --handler_.in_flight_;
    response.close = true;
    Log(LogLevel::kInfo, "job_call",
        {{"call", call_name_},
         {"job", job_},
         {"status", std::to_string(response.status)},
         {"why", why}});
    reply_->Send(std::move(response));
  }
  void Refuse(Error error) {
    // The status of kStoreUnavailable promises that the request will never run.
    if (error.ran != Ran::kNo && error.kind == ErrorKind::kStoreUnavailable) {
      error.kind = ErrorKind::kDeadlineExceeded;
    }
    if (ErrorInfoOf(error.kind).retry_may_help && !error.retry_after)
      error.retry_after = kRetryAfter;
    Send(ErrorResponseFor(error), error.detail);
  }
  void OnClosed(std::function<void()> closed) { reply_->OnClosed(std::move(closed)); }

 private:
  JobRequestHandler& handler_;
  std::string call_name_;
  std::string job_;
  std::shared_ptr<HttpReply> reply_;
  bool sent_ = false;
};

JobRequestHandler::JobRequestHandler(Loop& loop, JobStore& jobs, const StoreClock& clock,
                                     const PlatformAdapter& adapter)
    : loop_(loop), jobs_(jobs), clock_(clock), adapter_(adapter) {}

void JobRequestHandler::SetLeaving() {
  leaving_ = true;
}

void JobRequestHandler::Submit(const Route& route, std::uint64_t config_version,
                               const std::optional<TeamId>& team, HttpRequest request,
                               std::shared_ptr<HttpReply> reply) {
  Result<JobSubmission> submission = adapter_.ParseSubmission(request);
  const std::string id(request.HeaderOr(adapter_.names().request_id));
  auto pending = std::make_shared<PendingReply>(*this, "submit", id, std::move(reply));
  if (!IsOk(submission)) return pending->Refuse(ErrorOf(submission));
  const std::optional<StoreTime> now = clock_.Latest(Loop::SinceBoot());
  if (!now) {
    return pending->Refuse({ErrorKind::kNoBackend, "the store was not reached yet", Ran::kNo});
  }
  JobSubmission& job = ValueOf(submission);
  JobRecord head;
  head.id = job.id;
  head.route = route.name;
  head.host = route.host;
  head.team = team.value_or(TeamId{});
  head.total = static_cast<std::uint32_t>(job.items.size());
  head.done = std::string(job.items.size(), '.');
  head.submitted = *now;
  head.due = head.submitted + route.job_due;
  head.expires = head.submitted + route.job_expiry;
  head.digest = ledger::SubmissionDigest(job, head.team);
  head.config_version = config_version;
  jobs_.Accept(std::move(head), std::move(job), [this, pending](const Result<Ok>& accepted) {
    if (!IsOk(accepted)) return pending->Refuse(ErrorOf(accepted));
    pending->Send({kAccepted, "application/json", {}, adapter_.RenderAccepted()});
  });
}

void JobRequestHandler::Call(const JobCall& call, const std::optional<TeamId>& team,
                             std::shared_ptr<HttpReply> reply) {
  const std::string_view name = std::visit([](const auto& each) { return each.kName; }, call);
  const JobId job = std::visit([](const auto& each) { return each.job; }, call);
  const auto pending =
      std::make_shared<PendingReply>(*this, std::string(name), job.value, std::move(reply));
  if (!team) return Dispatch(call, pending);
  jobs_.Find(job, [this, call, team, pending, job](const Result<JobRecord>& head) {
    if (!IsOk(head)) return pending->Refuse(ErrorOf(head));
    const TeamId& owning_team = ValueOf(head).team;
    if (owning_team.empty() || owning_team == *team) return Dispatch(call, pending);
    // Reads the store as for an unknown job, so that the response takes as long.
    jobs_.Refresh(job, [pending](const Result<JobRecord>& /*head*/) {
      pending->Refuse({ErrorKind::kNotFound, "no such job"});
    });
  });
}

void JobRequestHandler::Dispatch(const JobCall& call,
                                 const std::shared_ptr<PendingReply>& pending) {
  std::visit([&](const auto& each) { Handle(each, pending); }, call);
}

void JobRequestHandler::Handle(const JobReadCall& call, std::shared_ptr<PendingReply> pending) {
  jobs_.Find(call.job, [this, call, pending](const Result<JobRecord>& head) {
    if (!IsOk(head)) return pending->Refuse(ErrorOf(head));
    SendResultsOrWait(call, ValueOf(head), pending);
  });
}

void JobRequestHandler::SendResultsOrWait(const JobReadCall& call, const JobRecord& head,
                                          std::shared_ptr<PendingReply> pending) {
  if (call.after < head.stored_results) return SendResults(call, head.total, std::move(pending));
  const bool may_wait = head.open() && call.wait.count() > 0 && !leaving_;
  if (may_wait) return WaitForResults(call, std::move(pending));
  SendNoResults(call, std::move(pending));
}

void JobRequestHandler::SendResults(const JobReadCall& call, std::uint32_t total,
                                    std::shared_ptr<PendingReply> pending) {
  jobs_.ReadResults(
      call.job, call.after, [this, call, total, pending](Result<std::vector<ItemResult>> results) {
        if (!IsOk(results)) return pending->Refuse(ErrorOf(results));
        std::vector<ItemResult>& found = ValueOf(results);
        std::size_t bytes = 0;
        std::size_t count = 0;
        while (count < found.size() && (count == 0 || bytes < kMaxResponseBytes)) {
          bytes += found[count++].output.size();
        }
        found.resize(count);
        pending->Send(
            {200, "application/json", {}, adapter_.RenderResults(total, call.after, found)});
      });
}

// "No result yet" is decided by the store's row, not by the local copy: another entry
// may have sent this caller results that haven't reached this copy, and they would
// be missing at their positions.
void JobRequestHandler::SendNoResults(const JobReadCall& call,
                                      std::shared_ptr<PendingReply> pending) {
  jobs_.Refresh(call.job, [this, call, pending](const Result<JobRecord>& head) {
    if (!IsOk(head)) return pending->Refuse(ErrorOf(head));
    if (call.after < ValueOf(head).stored_results)
      return SendResults(call, ValueOf(head).total, pending);
    pending->Send(
        {200, "application/json", {}, adapter_.RenderResults(ValueOf(head).total, call.after, {})});
  });
}

void JobRequestHandler::WaitForResults(const JobReadCall& call,
                                       std::shared_ptr<PendingReply> pending) {
  const std::uint64_t id = ++next_long_poll_id_;
  JobReadCall without_wait = call;
  without_wait.wait = Duration{0};
  const auto finish = [this, without_wait, pending] {
    const JobRecord* now = jobs_.KnownHead(without_wait.job);
    if (now == nullptr) return pending->Refuse({ErrorKind::kNotFound, "no such job"});
    SendResultsOrWait(without_wait, *now, pending);
  };
  long_polls_.emplace(call.job, LongPoll{call.after, finish, id});
  loop_.Later(call.wait, [this, job = call.job, id] {
    const auto [first, last] = long_polls_.equal_range(job);
    for (auto at = first; at != last; ++at) {
      if (at->second.id != id) continue;
      const auto resume = at->second.pending;
      long_polls_.erase(at);
      return resume();
    }
  });
}

void JobRequestHandler::OnChanged(const JobRecord& head) {
  std::vector<std::function<void()>> ready;
  const auto [first, last] = long_polls_.equal_range(head.id);
  for (auto at = first; at != last;) {
    if (at->second.after < head.stored_results || !head.open()) {
      ready.push_back(at->second.pending);
      at = long_polls_.erase(at);
    } else {
      ++at;
    }
  }
  for (const auto& pending : ready) pending();
}

void JobRequestHandler::Handle(const JobItemCall& call, std::shared_ptr<PendingReply> pending) {
  jobs_.ReadItems(call.job, [call, pending](const Result<std::vector<JobItem>>& items) {
    if (!IsOk(items)) return pending->Refuse(ErrorOf(items));
    for (const JobItem& item : ValueOf(items)) {
      if (item.id != call.item) continue;
      return pending->Send({200, "application/octet-stream", {}, item.body});
    }
    pending->Refuse({ErrorKind::kNotFound, "no such item"});
  });
}

void JobRequestHandler::Handle(const JobEndCall& call, std::shared_ptr<PendingReply> pending) {
  jobs_.End(call.job, [pending](const Result<Ok>& ended) {
    if (!IsOk(ended)) return pending->Refuse(ErrorOf(ended));
    pending->Send({200, "application/json", {}, "{}"});
  });
}

}  // namespace figmill
