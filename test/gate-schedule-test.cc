// Random schedules of arrivals, copies, failures and commands against a backend
// server that the test simulates.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "gate-fixture.h"

using namespace figmill;        // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::test;  // NOLINT(google-build-using-namespace)

namespace {

SchedulerConfig SmallConfig() {
  SchedulerConfig config;
  config.max_records = 30;  // so that records are evicted within a run
  config.max_running = 12;
  config.batch_queue_target = 8;
  return config;
}

class RandomSchedule {
 public:
  explicit RandomSchedule(unsigned seed) : fixture_(SmallConfig()), random_(seed) {}

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      fixture_.AdvanceTime(Duration(RandomBelow(20'000)));
      RandomStep();
    }
    FinishAll();
    CheckEnd();
  }

 private:
  struct RequestRecord {
    int starts = 0;                 // runs that the backend server started
    bool reported_not_run = false;  // refused or revoked as not run
    bool repeatable = true;
  };

  int RandomBelow(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
  RequestId RandomOf(const std::set<RequestId>& among) {
    return *std::next(among.begin(), RandomBelow(static_cast<int>(among.size())));
  }

  void RandomStep() {
    const int choice = RandomBelow(100);
    if (choice < 22) return ArriveNew();
    if (choice < 27 && !sent_.empty()) return ArriveCopy();
    if (choice < 70 && !running_.empty()) return Process(StreamTokens{RandomOf(running_)});
    if (choice < 80 && !running_.empty()) return EndOne();
    if (choice < 84 && !running_.empty()) return FailOne();
    if (choice < 90 && !stopping_.empty()) return ConfirmStop();
    if (choice < 92 && !sent_.empty()) return RevokeOrCancel();
    if (choice < 94) return DisconnectSender();
    if (choice < 95) return Process(Supersede{JobId{"job"}, epoch_ += RandomBelow(2)});
    if (choice < 96) return Process(LeavingChanged{RandomBelow(3) == 0});
    if (choice < 97 && RandomBelow(4) == 0) return Process(OwnerLost{NodeId{"entry-1"}});
    if (choice < 98)
      return Process(LoadReported{{6, static_cast<std::uint32_t>(RandomBelow(3)), 0.5}});
    Process(Tick{});
  }

  void ArriveNew() {
    const std::string id = std::to_string(sent_.size());
    Dispatch dispatch = RandomBelow(2) == 0 ? fixture_.Online(id) : fixture_.Batch(id, epoch_);
    dispatch.repeatable = RandomBelow(3) != 0;
    dispatch.prompt_tokens = static_cast<std::uint32_t>(RandomBelow(500));
    records_[dispatch.request].repeatable = dispatch.repeatable;
    sent_.push_back(dispatch);
    if (RandomBelow(8) == 0) return;  // lost; a copy may arrive later
    Arrive(dispatch);
  }
  void ArriveCopy() {
    Dispatch dispatch =
        sent_[static_cast<std::size_t>(RandomBelow(static_cast<int>(sent_.size())))];
    if (RandomBelow(3) == 0) dispatch.resume_from = 0;
    Arrive(dispatch);
  }
  void Arrive(const Dispatch& dispatch) {
    const SchedulerStats before = fixture_.scheduler.counts();
    open_arrivals_.insert(fixture_.arrivals + 1);
    Process(DispatchArrived{++fixture_.arrivals, dispatch});
    if (dispatch.work_class != WorkClass::kOnline || !fixture_.LastActions<FailRequest>().empty())
      return;
    // Online never waits for batch: with a free slot it starts in this step, and
    // batch is reduced to its limit.
    if (before.online_queued > 0 || before.online_running >= before.online_limit) return;
    CHECK(fixture_.scheduler.counts().online_queued == 0);
    const SchedulerStats after = fixture_.scheduler.counts();
    const auto non_preemptible = std::count_if(
        running_.begin(), running_.end(),
        [&](const auto& id) { return !records_[id].repeatable && id != dispatch.request; });
    CHECK(after.batch_running <=
          std::max<int>(after.batch_limit, static_cast<int>(non_preemptible)));
  }
  void EndOne() {
    const RequestId request = RandomOf(running_);
    running_.erase(request);
    Process(StreamFinished{request});
  }
  void FailOne() {
    const RequestId request = RandomOf(running_);
    running_.erase(request);
    switch (RandomBelow(3)) {
      case 0:
        return Process(StreamFailed{request, {ErrorKind::kBrokenAnswer, "eof", Ran::kUnknown}});
      case 1:
        return Process(StreamFailed{request, {ErrorKind::kBackendFailed, "500", Ran::kYes}});
      default:
        break;
    }
    if (resumed_.contains(request)) {
      return Process(StreamFailed{request, {ErrorKind::kNotFound, "no stream", Ran::kUnknown}});
    }
    if (records_[request].starts != 1 || with_tokens_.contains(request)) {
      return Process(StreamFailed{request, {ErrorKind::kBackendFailed, "reset", Ran::kUnknown}});
    }
    --records_[request].starts;  // the connection was refused, so nothing started
    Process(StreamFailed{request, {ErrorKind::kBackendFailed, "refused", Ran::kNo}});
  }
  void ConfirmStop() {
    const RequestId request = stopping_.begin()->first;
    stopping_.erase(request);
    Process(StreamStopped{request});
  }
  void RevokeOrCancel() {
    const Dispatch& dispatch =
        sent_[static_cast<std::size_t>(RandomBelow(static_cast<int>(sent_.size())))];
    if (RandomBelow(2) == 0) return Process(Cancel{dispatch.request});
    Process(Revoke{dispatch.request, 1, dispatch.stamp});
  }
  void DisconnectSender() {
    if (open_arrivals_.empty()) return;
    const ArrivalId arrival =
        *std::next(open_arrivals_.begin(), RandomBelow(static_cast<int>(open_arrivals_.size())));
    open_arrivals_.erase(arrival);
    Process(SenderDisconnected{arrival});
  }

  void Process(const SchedulerEvent& event) {
    if (const auto* tokens = std::get_if<StreamTokens>(&event))
      with_tokens_.insert(tokens->request);
    fixture_.Step(event);
    for (const SchedulerAction& action : fixture_.last_actions)
      std::visit([this](const auto& a) { On(a); }, action);
    const SchedulerStats counts = fixture_.scheduler.counts();
    CHECK(counts.online_running + counts.batch_running == static_cast<int>(running_.size()));
  }

  void On(const StartStream& start) {
    RequestRecord& record = records_[start.request];
    ++record.starts;
    CHECK((record.repeatable || record.starts == 1));
    CHECK_FALSE(StopInFlight(start.request));
    CHECK(running_.insert(start.request).second);
    resumed_.erase(start.request);
  }
  void On(const ResumeStream& resume) {
    running_.insert(resume.request);  // a reattached one may run already
    resumed_.insert(resume.request);
  }
  void On(const StopStream& cancel) {
    CHECK(running_.erase(cancel.request) == 1);
    stopping_[cancel.request] = fixture_.now;
  }
  void On(const FailRequest& failed) {
    if (failed.arrival != 0) CHECK(open_arrivals_.erase(failed.arrival) == 1);
    if (failed.error.ran == Ran::kNo) records_[failed.request].reported_not_run = true;
  }
  void On(const CompleteRequest& finish) {
    if (finish.arrival != 0) CHECK(open_arrivals_.erase(finish.arrival) == 1);
  }
  void On(const DetachSender& detach) {
    CHECK(open_arrivals_.erase(detach.arrival) == 1);
    CHECK(detach.error.ran != Ran::kNo);
  }
  void On(const CommandReply& answer) {
    if (!IsOk(answer.state)) return;
    const RequestRecord& record = records_[answer.request];
    const RequestState state = ValueOf(answer.state);
    if (state == RequestState::kNeverStarted) records_[answer.request].reported_not_run = true;
    if (state == RequestState::kRunning)
      CHECK((record.starts > 0 || resumed_.contains(answer.request)));
  }

  // The scheduler waits two seconds for the confirmation of a stop.
  bool StopInFlight(const RequestId& request) const {
    const auto stop = stopping_.find(request);
    return stop != stopping_.end() && fixture_.now < stop->second + std::chrono::seconds(2);
  }

  void FinishAll() {
    Process(LeavingChanged{false});
    for (int i = 0; i < 5'000 && !(running_.empty() && stopping_.empty() && open_arrivals_.empty());
         ++i) {
      fixture_.AdvanceTime(Duration(30'000));
      if (!stopping_.empty()) ConfirmStop();
      if (!running_.empty()) Process(StreamTokens{RandomOf(running_)});
      if (!running_.empty()) EndOne();
      Process(Tick{});
    }
  }
  void CheckEnd() {
    CHECK(open_arrivals_.empty());  // every arrival got its final answer
    CHECK(running_.empty());
    for (const auto& entry : records_) {
      CAPTURE(entry.first.value);
      CHECK((!entry.second.reported_not_run || entry.second.starts == 0));
    }
  }

  SchedulerFixture fixture_;
  std::mt19937 random_;
  Epoch epoch_ = 1;
  std::vector<Dispatch> sent_;
  std::map<RequestId, RequestRecord> records_;
  std::set<RequestId> running_, resumed_, with_tokens_;
  std::map<RequestId, Time> stopping_;
  std::set<ArrivalId> open_arrivals_;
};

}  // namespace

// Guards against: a request that must not be repeated runs twice; "not run" is
// reported of a request that ran; an arrival gets no answer, or two; online waits
// while batch runs. Any sequence of events may cause it.
TEST_CASE("under random schedules all guarantees hold") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    RandomSchedule(seed).Run(400);
  }
}
