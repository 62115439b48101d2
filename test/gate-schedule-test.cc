// Random schedules of arrivals, copies, failures and orders against a backend
// server that the test keeps count of.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "gate-fixture.h"

using namespace figmill;        // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::test;  // NOLINT(google-build-using-namespace)

namespace {

GateConfig Small() {
  GateConfig config;
  config.max_records = 30;  // so that ids are forgotten within a run
  config.max_running = 12;
  config.ready_batch = 8;
  return config;
}

class Schedule {
 public:
  explicit Schedule(unsigned seed) : f_(Small()), random_(seed) {}

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      f_.Pass(Duration(Below(20'000)));
      Next();
    }
    Drain();
    CheckEnd();
  }

 private:
  struct Seen {
    int starts = 0;        // runs that the backend server really began
    bool said_no = false;  // refused or revoked as not run
    bool repeatable = true;
  };

  int Below(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
  RequestId Any(const std::set<RequestId>& among) {
    return *std::next(among.begin(), Below(static_cast<int>(among.size())));
  }

  void Next() {
    const int dice = Below(100);
    if (dice < 22) return ArriveNew();
    if (dice < 27 && !sent_.empty()) return ArriveCopy();
    if (dice < 70 && !running_.empty()) return Do(BackendTokens{Any(running_)});
    if (dice < 80 && !running_.empty()) return EndOne();
    if (dice < 84 && !running_.empty()) return FailOne();
    if (dice < 90 && !stopping_.empty()) return ConfirmStop();
    if (dice < 92 && !sent_.empty()) return Orders();
    if (dice < 94) return GoAway();
    if (dice < 95) return Do(Supersede{JobId{"job"}, epoch_ += Below(2)});
    if (dice < 96) return Do(LeavingChanged{Below(3) == 0});
    if (dice < 97 && Below(4) == 0) return Do(OwnerSilent{NodeId{"entry-1"}});
    if (dice < 98) return Do(LoadReported{{6, static_cast<std::uint32_t>(Below(3)), 0.5}});
    Do(Tick{});
  }

  void ArriveNew() {
    const std::string id = std::to_string(sent_.size());
    Dispatch dispatch = Below(2) == 0 ? f_.Online(id) : f_.Batch(id, epoch_);
    dispatch.repeatable = Below(3) != 0;
    dispatch.prompt_tokens = static_cast<std::uint32_t>(Below(500));
    seen_[dispatch.request].repeatable = dispatch.repeatable;
    sent_.push_back(dispatch);
    if (Below(8) == 0) return;  // lost for now; a copy may come later
    Arrive(dispatch);
  }
  void ArriveCopy() {
    Dispatch dispatch = sent_[static_cast<std::size_t>(Below(static_cast<int>(sent_.size())))];
    if (Below(3) == 0) dispatch.resume_from = 0;
    Arrive(dispatch);
  }
  void Arrive(const Dispatch& dispatch) {
    const GateCounts before = f_.gate.counts();
    open_.insert(f_.arrivals + 1);
    Do(Arrived{++f_.arrivals, dispatch});
    if (dispatch.work_class != WorkClass::kOnline || !f_.Last<Refuse>().empty()) return;
    // Online never waits for batch: with a place free it starts in this step,
    // and batch is down to its share.
    if (before.online_queued > 0 || before.online_running >= before.online_limit) return;
    CHECK(f_.gate.counts().online_queued == 0);
    const GateCounts after = f_.gate.counts();
    const auto unstoppable = std::count_if(running_.begin(), running_.end(), [&](const auto& id) {
      return !seen_[id].repeatable && id != dispatch.request;
    });
    CHECK(after.batch_running <= std::max<int>(after.batch_limit, static_cast<int>(unstoppable)));
  }
  void EndOne() {
    const RequestId request = Any(running_);
    running_.erase(request);
    Do(BackendEnded{request});
  }
  void FailOne() {
    const RequestId request = Any(running_);
    running_.erase(request);
    switch (Below(3)) {
      case 0:
        return Do(BackendFailed{request, {ErrorKind::kBrokenAnswer, "eof", Ran::kUnknown}});
      case 1:
        return Do(BackendFailed{request, {ErrorKind::kBackendFailed, "500", Ran::kYes}});
      default:
        break;
    }
    if (resumed_.contains(request)) {
      return Do(BackendFailed{request, {ErrorKind::kNotFound, "no stream", Ran::kUnknown}});
    }
    if (seen_[request].starts != 1 || told_.contains(request)) {
      return Do(BackendFailed{request, {ErrorKind::kBackendFailed, "reset", Ran::kUnknown}});
    }
    --seen_[request].starts;  // the connection was refused, so nothing began
    Do(BackendFailed{request, {ErrorKind::kBackendFailed, "refused", Ran::kNo}});
  }
  void ConfirmStop() {
    const RequestId request = stopping_.begin()->first;
    stopping_.erase(request);
    Do(BackendStopped{request});
  }
  void Orders() {
    const Dispatch& dispatch =
        sent_[static_cast<std::size_t>(Below(static_cast<int>(sent_.size())))];
    if (Below(2) == 0) return Do(Cancel{dispatch.request});
    Do(Revoke{dispatch.request, 1, dispatch.stamp});
  }
  void GoAway() {
    if (open_.empty()) return;
    const Arrival arrival = *std::next(open_.begin(), Below(static_cast<int>(open_.size())));
    open_.erase(arrival);
    Do(PeerGone{arrival});
  }

  void Do(const GateEvent& event) {
    if (const auto* tokens = std::get_if<BackendTokens>(&event)) told_.insert(tokens->request);
    f_.Step(event);
    for (const GateAction& action : f_.last) std::visit([this](const auto& a) { On(a); }, action);
    const GateCounts counts = f_.gate.counts();
    CHECK(counts.online_running + counts.batch_running == static_cast<int>(running_.size()));
  }

  void On(const StartBackend& start) {
    Seen& seen = seen_[start.request];
    ++seen.starts;
    CHECK((seen.repeatable || seen.starts == 1));
    CHECK_FALSE(StopInFlight(start.request));
    CHECK(running_.insert(start.request).second);
    resumed_.erase(start.request);
  }
  void On(const ResumeBackend& resume) {
    running_.insert(resume.request);  // one that is adopted may run already
    resumed_.insert(resume.request);
  }
  void On(const CancelBackend& cancel) {
    CHECK(running_.erase(cancel.request) == 1);
    stopping_[cancel.request] = f_.now;
  }
  void On(const Refuse& refuse) {
    if (refuse.arrival != 0) CHECK(open_.erase(refuse.arrival) == 1);
    if (refuse.error.ran == Ran::kNo) seen_[refuse.request].said_no = true;
  }
  void On(const Finish& finish) {
    if (finish.arrival != 0) CHECK(open_.erase(finish.arrival) == 1);
  }
  void On(const Detach& detach) {
    CHECK(open_.erase(detach.arrival) == 1);
    CHECK(detach.error.ran != Ran::kNo);
  }
  void On(const OrderAnswer& answer) {
    if (!IsOk(answer.state)) return;
    const Seen& seen = seen_[answer.request];
    const RequestState state = ValueOf(answer.state);
    if (state == RequestState::kNeverStarted) seen_[answer.request].said_no = true;
    if (state == RequestState::kRunning)
      CHECK((seen.starts > 0 || resumed_.contains(answer.request)));
  }

  // The gate waits two seconds for the confirmation of a stop.
  bool StopInFlight(const RequestId& request) const {
    const auto stop = stopping_.find(request);
    return stop != stopping_.end() && f_.now < stop->second + std::chrono::seconds(2);
  }

  void Drain() {
    Do(LeavingChanged{false});
    for (int i = 0; i < 5'000 && !(running_.empty() && stopping_.empty() && open_.empty()); ++i) {
      f_.Pass(Duration(30'000));
      if (!stopping_.empty()) ConfirmStop();
      if (!running_.empty()) Do(BackendTokens{Any(running_)});
      if (!running_.empty()) EndOne();
      Do(Tick{});
    }
  }
  void CheckEnd() {
    CHECK(open_.empty());  // every arrival that waited has its final answer
    CHECK(running_.empty());
    for (const auto& entry : seen_) {
      CAPTURE(entry.first.value);
      CHECK((!entry.second.said_no || entry.second.starts == 0));
    }
  }

  GateFixture f_;
  std::mt19937 random_;
  Epoch epoch_ = 1;
  std::vector<Dispatch> sent_;
  std::map<RequestId, Seen> seen_;
  std::set<RequestId> running_, resumed_, told_;
  std::map<RequestId, Time> stopping_;
  std::set<Arrival> open_;
};

}  // namespace

// Symptoms: a request that may not be repeated runs twice; "not run" is said of
// what ran; an arrival gets no answer, or two; online waits while batch runs.
// Sequence: any.
TEST_CASE("under random schedules every promise holds") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Schedule(seed).Run(400);
  }
}
