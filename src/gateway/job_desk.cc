#include "gateway/job_desk.h"

#include <utility>

#include "gateway/refusal.h"

namespace figmill {
namespace {

constexpr int kAccepted = 202;
// The store is asked again that soon after it refused; then the caller is told to
// come back, since it is down for seconds when it is down.
constexpr Duration kComeBack{1'000'000};
// Results in one answer. Unit: bytes of output; escaping adds to them, and an
// answer may have 1 MB.
constexpr std::size_t kMaxAnswerBytes = 600'000;

}  // namespace

class JobDesk::Answer {
 public:
  Answer(JobDesk& desk, std::string what, std::string job, std::shared_ptr<HttpReply> reply)
      : desk_(desk), what_(std::move(what)), job_(std::move(job)), reply_(std::move(reply)) {
    ++desk_.in_flight_;
  }
  ~Answer() {
    if (!sent_) --desk_.in_flight_;
  }
  Answer(const Answer&) = delete;
  Answer& operator=(const Answer&) = delete;

  void Send(HttpResponse response, const std::string& why = "") {
    if (std::exchange(sent_, true)) return;
    --desk_.in_flight_;
    response.close = true;
    Log(LogLevel::kInfo, "job_call",
        {{"call", what_},
         {"job", job_},
         {"status", std::to_string(response.status)},
         {"why", why}});
    reply_->Send(std::move(response));
  }
  void Refuse(Error error) {
    // A status that promises "not run" is for what will never run.
    if (error.ran != Ran::kNo && error.kind == ErrorKind::kStoreUnavailable) {
      error.kind = ErrorKind::kDeadlineExceeded;
    }
    if (ErrorInfoOf(error.kind).retry_may_help && !error.retry_after) error.retry_after = kComeBack;
    Send(RefusalOf(error), error.detail);
  }
  void OnClosed(std::function<void()> closed) { reply_->OnClosed(std::move(closed)); }

 private:
  JobDesk& desk_;
  std::string what_;
  std::string job_;
  std::shared_ptr<HttpReply> reply_;
  bool sent_ = false;
};

JobDesk::JobDesk(Loop& loop, JobStore& jobs, const StoreClock& clock,
                 const PlatformAdapter& adapter)
    : loop_(loop), jobs_(jobs), clock_(clock), adapter_(adapter) {}

void JobDesk::SetLeaving() {
  leaving_ = true;
}

void JobDesk::Submit(const Route& route, std::uint64_t config_version,
                     const std::optional<TeamId>& team, HttpRequest request,
                     std::shared_ptr<HttpReply> reply) {
  Result<JobSubmission> submission = adapter_.ParseSubmission(request);
  const std::string id(request.HeaderOr(adapter_.names().request_id));
  auto answer = std::make_shared<Answer>(*this, "submit", id, std::move(reply));
  if (!IsOk(submission)) return answer->Refuse(ErrorOf(submission));
  const std::optional<StoreTime> now = clock_.Latest(Loop::SinceBoot());
  if (!now) {
    return answer->Refuse({ErrorKind::kNoBackend, "the store was not reached yet", Ran::kNo});
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
  head.expires = head.submitted + route.job_life;
  head.digest = ledger::SubmissionDigest(job, head.team);
  head.config_version = config_version;
  jobs_.Accept(std::move(head), std::move(job), [this, answer](const Result<Ok>& accepted) {
    if (!IsOk(accepted)) return answer->Refuse(ErrorOf(accepted));
    answer->Send({kAccepted, "application/json", {}, adapter_.RenderAccepted()});
  });
}

void JobDesk::Call(const JobCall& call, const std::optional<TeamId>& team,
                   std::shared_ptr<HttpReply> reply) {
  const std::string_view name = std::visit([](const auto& each) { return each.kName; }, call);
  const JobId job = std::visit([](const auto& each) { return each.job; }, call);
  const auto answer =
      std::make_shared<Answer>(*this, std::string(name), job.value, std::move(reply));
  if (!team) return Serve(call, answer);
  jobs_.Find(job, [this, call, team, answer, job](const Result<JobRecord>& head) {
    if (!IsOk(head)) return answer->Refuse(ErrorOf(head));
    const TeamId& holder = ValueOf(head).team;
    if (holder.empty() || holder == *team) return Serve(call, answer);
    // Asked for in the store like one that nobody knows, so that the time is the same.
    jobs_.Refresh(job, [answer](const Result<JobRecord>& /*head*/) {
      answer->Refuse({ErrorKind::kNotFound, "no such job"});
    });
  });
}

void JobDesk::Serve(const JobCall& call, const std::shared_ptr<Answer>& answer) {
  std::visit([&](const auto& each) { On(each, answer); }, call);
}

void JobDesk::On(const JobReadCall& call, std::shared_ptr<Answer> answer) {
  jobs_.Find(call.job, [this, call, answer](const Result<JobRecord>& head) {
    if (!IsOk(head)) return answer->Refuse(ErrorOf(head));
    Read(call, ValueOf(head), answer);
  });
}

void JobDesk::Read(const JobReadCall& call, const JobRecord& head, std::shared_ptr<Answer> answer) {
  if (call.after < head.stored_results) return SendResults(call, head.total, std::move(answer));
  const bool may_wait = head.open() && call.wait.count() > 0 && !leaving_;
  if (may_wait) return Wait(call, std::move(answer));
  AnswerNothing(call, std::move(answer));
}

void JobDesk::SendResults(const JobReadCall& call, std::uint32_t total,
                          std::shared_ptr<Answer> answer) {
  jobs_.ReadResults(
      call.job, call.after, [this, call, total, answer](Result<std::vector<ItemResult>> results) {
        if (!IsOk(results)) return answer->Refuse(ErrorOf(results));
        std::vector<ItemResult>& found = ValueOf(results);
        std::size_t bytes = 0;
        std::size_t count = 0;
        while (count < found.size() && (count == 0 || bytes < kMaxAnswerBytes)) {
          bytes += found[count++].output.size();
        }
        found.resize(count);
        answer->Send(
            {200, "application/json", {}, adapter_.RenderResults(total, call.after, found)});
      });
}

// "No result yet" is said of the store's row, not of the copy here: another entry
// may have shown this caller results that have not reached this one, and they would
// be missed at their positions.
void JobDesk::AnswerNothing(const JobReadCall& call, std::shared_ptr<Answer> answer) {
  jobs_.Refresh(call.job, [this, call, answer](const Result<JobRecord>& head) {
    if (!IsOk(head)) return answer->Refuse(ErrorOf(head));
    if (call.after < ValueOf(head).stored_results)
      return SendResults(call, ValueOf(head).total, answer);
    answer->Send(
        {200, "application/json", {}, adapter_.RenderResults(ValueOf(head).total, call.after, {})});
  });
}

void JobDesk::Wait(const JobReadCall& call, std::shared_ptr<Answer> answer) {
  const std::uint64_t number = ++next_number_;
  JobReadCall again = call;
  again.wait = Duration{0};
  const auto finish = [this, again, answer] {
    const JobRecord* now = jobs_.Known(again.job);
    if (now == nullptr) return answer->Refuse({ErrorKind::kNotFound, "no such job"});
    Read(again, *now, answer);
  };
  waiting_.emplace(call.job, Waiting{call.after, finish, number});
  loop_.Later(call.wait, [this, job = call.job, number] {
    const auto [first, last] = waiting_.equal_range(job);
    for (auto at = first; at != last; ++at) {
      if (at->second.number != number) continue;
      const auto answer_now = at->second.answer;
      waiting_.erase(at);
      return answer_now();
    }
  });
}

void JobDesk::OnChanged(const JobRecord& head) {
  std::vector<std::function<void()>> ready;
  const auto [first, last] = waiting_.equal_range(head.id);
  for (auto at = first; at != last;) {
    if (at->second.after < head.stored_results || !head.open()) {
      ready.push_back(at->second.answer);
      at = waiting_.erase(at);
    } else {
      ++at;
    }
  }
  for (const auto& answer : ready) answer();
}

void JobDesk::On(const JobItemCall& call, std::shared_ptr<Answer> answer) {
  jobs_.ReadItems(call.job, [call, answer](const Result<std::vector<JobItem>>& items) {
    if (!IsOk(items)) return answer->Refuse(ErrorOf(items));
    for (const JobItem& item : ValueOf(items)) {
      if (item.id != call.item) continue;
      return answer->Send({200, "application/octet-stream", {}, item.body});
    }
    answer->Refuse({ErrorKind::kNotFound, "no such item"});
  });
}

void JobDesk::On(const JobEndCall& call, std::shared_ptr<Answer> answer) {
  jobs_.End(call.job, [answer](const Result<Ok>& ended) {
    if (!IsOk(ended)) return answer->Refuse(ErrorOf(ended));
    answer->Send({200, "application/json", {}, "{}"});
  });
}

}  // namespace figmill
