#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "figmill/online.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Duration kMs{1000};
const Time kStart{Duration{1'000'000}};

template <typename T>
const T* First(const std::vector<RequestAction>& actions) {
  for (const RequestAction& action : actions) {
    if (const T* found = std::get_if<T>(&action)) return found;
  }
  return nullptr;
}

NodeEndpoint AgentAt(int index, Incarnation incarnation) {
  return {NodeId{"a" + std::to_string(index)},
          {"127.0.0.1", static_cast<std::uint16_t>(9000 + index)},
          incarnation};
}

// A request with agents that are always found and are tried in order.
struct RequestFixture {
  explicit RequestFixture(RequestPlan plan)
      : run(std::move(plan), lookup, budget, [] { return 7U; }) {}

  std::vector<RequestAction> On(const RequestEvent& event, Duration at = Duration{0}) {
    auto actions = run.On(event, kStart + at);
    for (const RequestAction& action : actions) {
      if (const auto* bytes = std::get_if<action::SendBytes>(&action)) sent += bytes->bytes;
      if (const auto* dispatch = std::get_if<action::Dispatch>(&action)) last = *dispatch;
      if (const auto* fail = std::get_if<action::Fail>(&action)) error = fail->error;
    }
    return actions;
  }
  void Head(const char* type = "text/event-stream") {
    On(event::Head{last.call, 200, type, last.request});
  }

  std::vector<Incarnation> incarnations = {1, 1, 1};
  AgentLookup lookup{
      [this](const RequestPlan&, std::span<const NodeId> tried, Time) -> Result<NodeEndpoint> {
        for (int i = 0; i < static_cast<int>(incarnations.size()); ++i) {
          const NodeEndpoint endpoint = AgentAt(i, incarnations[static_cast<std::size_t>(i)]);
          if (std::find(tried.begin(), tried.end(), endpoint.node) == tried.end()) return endpoint;
        }
        return Error{ErrorKind::kNoBackend, "none left"};
      },
      [this](const NodeId& node) -> std::optional<NodeEndpoint> {
        const int index = node.value[1] - '0';
        return AgentAt(index, incarnations[static_cast<std::size_t>(index)]);
      }};
  RetryBudget budget;
  std::string sent;
  action::Dispatch last;
  std::optional<Error> error;
  RequestStateMachine run;
};

RequestPlan Plan(bool repeatable) {
  RequestPlan plan;
  plan.request = {"r"};
  plan.service = {"note-llm"};
  plan.repeatable = repeatable;
  plan.deadline = kStart + 60'000 * kMs;
  return plan;
}

}  // namespace

TEST_CASE("a stream interrupted inside an event is resumed without gaps or duplicates") {
  // Guards against a duplicate or missing word in a caller's answer: the connection is lost
  // inside an event and the stream is resumed. The incomplete event must not count as received,
  // and must not be sent before its rest arrives.
  RequestFixture fixture(Plan(true));
  fixture.On(event::Start{});
  fixture.Head();
  fixture.On(event::Data{fixture.last.call, "data: one\n\ndata: tw"});
  fixture.On(event::CallFailed{fixture.last.call, true, "reset"});
  CHECK(fixture.last.resume);
  CHECK(fixture.last.resume_from == 1);
  CHECK(fixture.last.to.node == NodeId{"a0"});
  fixture.Head();
  fixture.On(event::Data{fixture.last.call, "data: two\n\ndata: [DONE]\n\n"});
  fixture.On(event::End{fixture.last.call, 25, 2, 0});
  CHECK(fixture.sent == "data: one\n\ndata: two\n\ndata: [DONE]\n\n");
  CHECK(fixture.run.done());
}

TEST_CASE("late, mismatched and truncated answers never reach the caller") {
  // Guards against a caller that gets the answer to another request, or an incomplete answer as
  // if it were complete. An agent answers a call that was already closed, answers with the head
  // of another request, or ends with a wrong byte count. A match by connection or by the end of
  // the connection alone misses these cases.
  RequestPlan plan = Plan(true);
  plan.wants_stream = false;
  RequestFixture fixture(plan);
  fixture.On(event::Start{});
  const CallNumber given_up = fixture.last.call;
  fixture.On(event::CallFailed{given_up, false, "refused"});
  CHECK(fixture.last.to.node == NodeId{"a1"});
  fixture.On(event::Head{given_up, 200, "text/plain", RequestId{"r.1"}});
  fixture.On(event::Data{given_up, "late"});
  CHECK(fixture.run.late_events() == 2);
  fixture.On(event::Head{fixture.last.call, 200, "text/plain", RequestId{"other.1"}});
  CHECK(fixture.run.late_events() == 3);
  fixture.On(event::RevokeAnswered{fixture.last.call, event::RevokeState::kFinished});
  CHECK(fixture.last.resume);
  fixture.Head("text/event-stream");  // the engine answers with a stream that wasn't requested
  CHECK(fixture.run.attempts() == 3);
  fixture.Head("text/plain");
  fixture.On(event::Data{fixture.last.call, "half"});
  fixture.On(event::End{fixture.last.call, 9, 0, 0});
  CHECK(fixture.sent.empty());
  fixture.Head("text/plain");
  fixture.On(event::Data{fixture.last.call, "the whole"});
  fixture.On(event::End{fixture.last.call, 9, 0, 0});
  CHECK(fixture.sent == "the whole");
}

TEST_CASE("a new incarnation's answer that it never started the work isn't accepted") {
  // Guards against work that runs twice. An agent starts the work and dies before it answers;
  // the revoke goes to the new incarnation, after a failed resume there, which has no record of
  // the request and reports that it never started.
  RequestFixture fixture(Plan(false));
  fixture.On(event::Start{});
  auto actions = fixture.On(event::CallFailed{fixture.last.call, true, "reset"});
  fixture.incarnations[0] = 2;
  fixture.On(event::TimerFired{}, 1000 * kMs);
  CHECK(fixture.last.resume);
  CHECK(fixture.last.to.incarnation == 2);
  actions = fixture.On(event::CallFailed{fixture.last.call, true, "reset"}, 1000 * kMs);
  REQUIRE(First<action::Revoke>(actions) != nullptr);
  CHECK(First<action::Revoke>(actions)->to.incarnation == 1);
}

TEST_CASE("a silent agent is probed, and a paused one doesn't block its caller") {
  // Guards against callers that wait until their deadline for one stopped process: an agent
  // accepts a request and is paused while its connection stays open. An open connection doesn't
  // show that the agent is running.
  RequestFixture fixture(Plan(true));
  fixture.On(event::Start{});
  auto actions = fixture.On(event::TimerFired{}, RequestStateMachine::kHeadTimeout);
  REQUIRE(First<action::Revoke>(actions) != nullptr);
  fixture.On(event::RevokeAnswered{fixture.last.call, event::RevokeState::kRunning},
             RequestStateMachine::kHeadTimeout);
  CHECK(fixture.run.attempts() == 1);  // the agent is slow but not paused, so the call stays open
  fixture.On(event::TimerFired{}, 3 * RequestStateMachine::kHeadTimeout);
  actions = fixture.On(event::TimerFired{}, 3 * RequestStateMachine::kHeadTimeout + 1000 * kMs);
  CHECK(First<action::CancelWork>(actions) != nullptr);
  CHECK(fixture.last.to.node == NodeId{"a1"});
}

TEST_CASE("a request that fails for good is answered at once with a retry delay") {
  RequestFixture fixture(Plan(true));
  fixture.On(event::Start{});
  for (int i = 0; i < 3; ++i) {
    fixture.On(event::AgentRefused{fixture.last.call,
                                   {ErrorKind::kOverloaded, "full", Ran::kNo, 500 * kMs}});
  }
  REQUIRE(fixture.error);
  CHECK(fixture.error->kind == ErrorKind::kOverloaded);
  CHECK(fixture.error->ran == Ran::kNo);
  CHECK(fixture.error->retry_after >= 500 * kMs);
}

TEST_CASE("refusals by a leaving agent don't use the retry budget") {
  // Guards against 503 answers because of leaving agents while other agents have capacity: an
  // agent starts to leave, and more requests that are already in transit to it are refused than
  // the retry budget allows. These refusals cost nothing and must not be charged.
  RequestFixture fixture(Plan(true));
  while (fixture.budget.TrySpend()) {
  }
  fixture.On(event::Start{});
  fixture.On(event::AgentRefused{fixture.last.call, {ErrorKind::kLeaving, "leaving", Ran::kNo}});
  CHECK_FALSE(fixture.error);
  CHECK(fixture.last.to.node == NodeId{"a1"});
  fixture.On(event::AgentRefused{fixture.last.call, {ErrorKind::kOverloaded, "full", Ran::kNo}});
  CHECK(fixture.error);  // this refusal is charged to the budget
}

// --- All orders of events ----------------------------------------------------------

namespace {

// Simulates the agents, engines and network of one request with a random schedule: each step
// delivers, loses or delays something, restarts an agent, or advances the time.
class Simulation {
 public:
  Simulation(std::uint32_t seed, bool repeatable, bool streaming, bool deterministic)
      : random_(seed),
        streaming_(streaming),
        deterministic_(deterministic),
        fixture_(WithStream(Plan(repeatable), streaming)) {}

  void Play() {
    Step(event::Start{});
    for (int i = 0; i < 2000 && !fixture_.run.done(); ++i) Advance();
    REQUIRE(fixture_.run.done());
    // Dispatches that are still in transit arrive after the final answer.
    for (Call& call : calls_) Arrive(call);
  }

  void Check() const {
    if (!fixture_.run.plan().repeatable) CHECK(executions_ <= 1);
    if (fixture_.error) {
      if (fixture_.error->ran == Ran::kNo) CHECK(executions_ == 0);
      CHECK(std::any_of(answers_.begin(), answers_.end(), [&](const std::string& answer) {
        return answer.starts_with(fixture_.sent);
      }));
    } else {
      CHECK(answers_.contains(fixture_.sent));
      CHECK(!fixture_.sent.empty());
    }
    CHECK(open_ == 0);
    CHECK(fixture_.run.attempts() <= 3 + stale_refusals_);
  }
  [[nodiscard]] bool finished() const { return !fixture_.error; }
  [[nodiscard]] std::uint32_t resumes() const { return fixture_.run.resumes(); }

 private:
  struct Call {
    action::Dispatch dispatch;
    bool in_transit = true;  // has not reached the agent
    bool open = true;        // not closed by the entry
    std::deque<std::variant<event::AgentRefused, event::Head, std::string, event::End>> answer;
  };
  struct Agent {
    std::set<std::string> started, tombstones;
  };

  static RequestPlan WithStream(RequestPlan plan, bool streaming) {
    plan.wants_stream = streaming;
    return plan;
  }
  std::size_t Random(std::size_t n) { return random_() % n; }

  void Step(const RequestEvent& event) {
    for (const RequestAction& action : fixture_.On(event, now_)) {
      std::visit(Overloaded{
                     [&](const action::Dispatch& dispatch) {
                       ++open_;
                       calls_.push_back({.dispatch = dispatch});
                     },
                     [&](const action::EndCall& over) {
                       --open_;
                       for (Call& call : calls_) {
                         if (call.dispatch.call == over.call) call.open = false;
                       }
                     },
                     [&](const action::Revoke& revoke) { revokes_.push_back(revoke); },
                     [&](const action::SetTimer& timer) { timer_ = timer.at - kStart; },
                     [](const auto&) {},
                 },
                 action);
    }
  }

  void Advance() {
    Call& call = calls_[Random(calls_.size())];
    switch (Random(12)) {
      case 0:
        if (!revokes_.empty()) AnswerRevoke();
        break;
      case 1:
        if (timer_ && Random(3) == 0) {
          now_ = std::max(now_, *std::exchange(timer_, std::nullopt));
          Step(event::TimerFired{});
        }
        break;
      case 2:
        if (Random(4) == 0) Restart(Random(3));
        break;
      case 3:
        if (Random(3) == 0) Break(call);
        break;
      case 4:
      case 5:
        Arrive(call);
        break;
      default:
        Deliver(call);
    }
  }

  void Restart(std::size_t agent) {
    ++fixture_.incarnations[agent];
    agents_[agent] = {};
    if (Random(2) == 0) engines_[agent].clear();
  }

  void Break(Call& call) {
    if (!call.open) return;
    const bool sent = !call.in_transit || Random(2) == 0;
    if (!sent) call.in_transit = false;
    if (Random(2) == 0) call.answer.clear();
    Step(event::CallFailed{call.dispatch.call, sent, "reset"});
  }

  // The answer of one run; runs differ unless the model is deterministic.
  std::string Answer(const std::string& request) const {
    const std::string mark = deterministic_ ? "" : request;
    if (!streaming_) return "whole answer " + mark;
    std::string text;
    for (const char* word : {"one", "two", "three"}) text += "data: " + mark + word + "\n\n";
    return text + "data: [DONE]\n\n";
  }

  void Arrive(Call& call) {
    if (!std::exchange(call.in_transit, false)) return;
    const action::Dispatch& dispatch = call.dispatch;
    const auto index = static_cast<std::size_t>(dispatch.to.node.value[1] - '0');
    Agent& agent = agents_[index];
    const std::string& request = dispatch.request.value;
    const auto refuse = [&](ErrorKind kind) {
      if (kind == ErrorKind::kStaleOrders) ++stale_refusals_;
      call.answer.push_back(event::AgentRefused{dispatch.call, {kind, "refused", Ran::kNo}});
    };
    if (dispatch.to.incarnation != fixture_.incarnations[index]) {
      return refuse(ErrorKind::kStaleOrders);
    }
    if (dispatch.resume) {
      if (!engines_[index].contains(request)) return refuse(ErrorKind::kNotFound);
    } else {
      if (agent.tombstones.contains(request)) return refuse(ErrorKind::kCancelled);
      if (Random(4) == 0) return refuse(ErrorKind::kOverloaded);
      ++executions_;
      agent.started.insert(request);
      engines_[index].insert(request);
    }
    Reply(call, Answer(request));
  }

  void Reply(Call& call, std::string text) {
    answers_.insert(text);
    for (std::uint64_t i = 0; i < call.dispatch.resume_from; ++i) {
      text.erase(0, text.find("\n\n") + 2);
    }
    call.answer.push_back(event::Head{call.dispatch.call, 200,
                                      streaming_ ? "text/event-stream" : "application/json",
                                      call.dispatch.request});
    const std::uint64_t bytes = text.size() + (Random(8) == 0 ? 1 : 0);
    while (!text.empty()) {
      const std::size_t n = 1 + Random(std::min<std::size_t>(text.size(), 20));
      call.answer.push_back(text.substr(0, n));
      text.erase(0, n);
    }
    call.answer.push_back(event::End{call.dispatch.call, bytes, 3, 0});
  }

  // Also delivers to calls that the request has closed; the event is then late.
  void Deliver(Call& call) {
    if (call.answer.empty()) return;
    auto next = std::move(call.answer.front());
    call.answer.pop_front();
    if (const auto* text = std::get_if<std::string>(&next)) {
      Step(event::Data{call.dispatch.call, *text});
    } else if (const auto* refused = std::get_if<event::AgentRefused>(&next)) {
      Step(*refused);
    } else if (const auto* head = std::get_if<event::Head>(&next)) {
      Step(*head);
    } else {
      Step(std::get<event::End>(next));
    }
  }

  void AnswerRevoke() {
    const std::size_t which = Random(revokes_.size());
    const action::Revoke revoke = revokes_[which];
    revokes_.erase(revokes_.begin() + static_cast<std::ptrdiff_t>(which));
    const auto index = static_cast<std::size_t>(revoke.to.node.value[1] - '0');
    event::RevokeState state = event::RevokeState::kNoAnswer;
    if (revoke.to.incarnation == fixture_.incarnations[index] && Random(4) != 0) {
      Agent& agent = agents_[index];
      const bool started = agent.started.contains(revoke.request.value);
      if (!started) agent.tombstones.insert(revoke.request.value);
      state = started ? event::RevokeState::kRunning : event::RevokeState::kNeverStarted;
    }
    if (Random(4) == 0) state = event::RevokeState::kNoAnswer;  // the answer to the revoke is lost
    Step(event::RevokeAnswered{revoke.call, state});
  }

  std::mt19937 random_;
  bool streaming_;
  bool deterministic_;
  RequestFixture fixture_;
  Duration now_{0};
  std::optional<Duration> timer_;
  std::deque<Call> calls_;
  std::vector<action::Revoke> revokes_;
  std::array<Agent, 3> agents_;
  std::array<std::set<std::string>, 3> engines_;
  std::set<std::string> answers_ = {""};  // "" represents a caller that received nothing
  int executions_ = 0;
  int open_ = 0;
  std::uint32_t stale_refusals_ = 0;
};

}  // namespace

TEST_CASE("random orders of failures: at most one run, correct run state, complete answers") {
  // Guards against work that runs twice, an error that says "not run" for work that ran, and
  // answers mixed from several runs. Dispatches, answers, revokes and their losses, restarts of
  // agents and timers occur in any order, also after the final answer. Each step of the state
  // machine must rely only on what was confirmed.
  int finished = 0;
  std::uint32_t resumes = 0;
  for (std::uint32_t seed = 0; seed < 40'000; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed, (seed & 1) != 0, (seed & 2) != 0, (seed & 4) != 0);
    simulation.Play();
    simulation.Check();
    if (simulation.finished()) ++finished;
    resumes += simulation.resumes();
  }
  // The schedules cover success, failure and resumes in sufficient numbers.
  CHECK(finished > 10'000);
  CHECK(finished < 39'000);
  CHECK(resumes > 5'000);
}
