// Randomized simulation of entries, agents, a store and a network that all fail: checks
// the invariants of keyed items under any order of events.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "figmill/once.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

constexpr Duration kMs{1'000};
const ItemKey kKey{"k"};

struct Faults {
  double lost_answer = 0;  // of a store write, which is applied at once, late, or never
  double store_down = 0;   // probability of an outage in each second
  double broken_send = 0;  // the dispatch or its answer is lost
  double refused = 0;      // by the agent, not run
  double kills = 0;        // of entries and agents, each per second
  double pauses = 0;
};

// Discrete-event simulation of one schedule: runs closures in order of virtual time.
class Simulation {
 public:
  Simulation(std::uint64_t seed, Faults faults, bool repeatable)
      : rng_(seed), faults_(faults), repeatable_(repeatable) {
    for (int i = 0; i < 3; ++i) entries_[i].instance = {NodeId{"e" + std::to_string(i)}, 1};
    for (int i = 0; i < 2; ++i) agents_[i].instance = {NodeId{"a" + std::to_string(i)}, 1};
    for (int second = 0; second < 6; ++second) ScheduleFaults(second * 1000 * kMs);
  }

  void Request(Duration at, int entry, std::string content = "c") {
    At(at, [this, entry, content] { StartRequest(entry, content); });
  }

  void Accept(Duration at, int entry) {
    At(at, [this, entry] { StartAccept(entry); });
  }

  void Run() {
    while (!queue_.empty() && ++steps_ < 20'000) {
      Step step = queue_.top();
      queue_.pop();
      now_ = step.at;
      step.run();
    }
    REQUIRE(steps_ < 20'000);
  }

  // Ends all faults; further requests must get a final answer.
  void EndFaultsAndRequest() {
    faults_ended_ = true;
    faults_ = {};
    for (auto& entry : entries_) entry.paused_until = {};
    for (auto& agent : agents_) agent.paused_until = {};
    Request(now_ + 60'000 * kMs - Time{}, 0);
    Run();
    Request(now_ + 60'000 * kMs - Time{}, 1);
    Run();
  }

  struct Replied {
    bool outcome = false;
    std::string digest;
    Error error;
    bool after_faults = false;
    std::string content;
  };
  std::vector<Replied> replied;
  std::map<std::string, int> executions;  // by content
  bool accepted = false;
  std::uint64_t steps() const { return steps_; }

 private:
  struct Step {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Step& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct Item {
    KeyedItem machine;
    std::string content;
    std::set<std::string> sent;  // request ids of this item
  };
  struct Entry {
    NodeInstance instance;
    Time paused_until;
  };
  // Delivers an event after a delay.
  using DeliverLater = std::function<void(Duration, once::Event)>;
  enum class RequestState { kTombstone, kRefused, kRunning, kFinished };
  struct Agent {
    NodeInstance instance;
    Time paused_until;
    std::map<std::string, RequestState> requests;  // of this incarnation
    // Of the engine: digest of the response, "" while it runs.
    std::map<std::string, std::string> streams;
  };

  double RandomFraction() { return std::uniform_real_distribution<>(0, 1)(rng_); }
  Duration Delay(int max_ms) { return kMs * static_cast<int>(rng_() % max_ms) + kMs; }
  void At(Duration at, std::function<void()> run) {
    queue_.push(Step{Time{at}, order_++, std::move(run)});
  }
  void In(Duration delay, std::function<void()> run) { At(now_ + delay - Time{}, std::move(run)); }

  void ScheduleFaults(Duration from) {
    const auto when = [&] { return from + Delay(1000); };
    for (int i = 0; i < 3; ++i) {
      if (RandomFraction() < faults_.kills)
        At(when(), [this, i] { ++entries_[i].instance.incarnation; });
      if (RandomFraction() < faults_.pauses) {
        At(when(), [this, i] { entries_[i].paused_until = now_ + Delay(6000); });
      }
    }
    for (int i = 0; i < 2; ++i) {
      if (RandomFraction() < faults_.kills) At(when(), [this, i] { KillAgent(i); });
      if (RandomFraction() < faults_.pauses) {
        At(when(), [this, i] { agents_[i].paused_until = now_ + Delay(6000); });
      }
    }
    if (RandomFraction() < faults_.store_down) {
      At(when(), [this] { store_down_until_ = now_ + Delay(4000); });
    }
  }

  void KillAgent(int i) {
    ++agents_[i].instance.incarnation;
    agents_[i].requests.clear();
    if (RandomFraction() < 0.5) agents_[i].streams.clear();  // the engine has failed too
  }

  // Delivers an event to an item, after its process's pause, unless the process was replaced.
  void Deliver(int entry, Incarnation incarnation, std::shared_ptr<Item> item, once::Event event) {
    Entry& at = entries_[entry];
    if (at.instance.incarnation != incarnation) return;
    if (now_ < at.paused_until) {
      At(at.paused_until - Time{}, [=, this] { Deliver(entry, incarnation, item, event); });
      return;
    }
    const std::function<bool(const NodeInstance&)> gone = [this](const NodeInstance& instance) {
      return Gone(instance);
    };
    const RandomBits random = [this] { return rng_(); };
    for (once::Action& action : item->machine.Handle(event, {now_, random, gone})) {
      PerformAction(entry, incarnation, item, std::move(action));
    }
  }

  // Simulates membership: reports dead processes, and some that are only paused.
  bool Gone(const NodeInstance& instance) {
    for (const Entry& entry : entries_) {
      if (entry.instance.node != instance.node) continue;
      return entry.instance.incarnation != instance.incarnation ||
             now_ + 500 * kMs < entry.paused_until;
    }
    for (const Agent& agent : agents_) {
      if (agent.instance.node == instance.node) return now_ + 500 * kMs < agent.paused_until;
    }
    return true;
  }

  void StartRequest(int entry, const std::string& content) {
    once::Spec spec{kKey, content, TeamId{"t"}, repeatable_, entries_[entry].instance};
    spec.caller_deadline = now_ + (faults_ended_ ? 60'000 : 8'000) * kMs;
    auto item = std::make_shared<Item>(Item{KeyedItem(spec), content, {}});
    Dispatch(entry, entries_[entry].instance.incarnation, item);
  }

  void StartAccept(int entry) {
    const NodeInstance self = entries_[entry].instance;
    const RandomBits random = [this] { return rng_(); };
    const once::Spec spec{kKey, "c", TeamId{"t"}, repeatable_, self};
    // The store does not fail here: this tests what follows the 202.
    const OnceWrite write = AcceptWrite(spec, "object", 0, random);
    accepted = IsCommitted(Apply(write));
    if (accepted)
      StartOwnedItem(entry, ValueOf(ParseOnceRow(write.value)), rows_[OnceRowKey(kKey)].version);
  }

  void StartOwnedItem(int entry, OnceRow row, RowVersion version) {
    const NodeInstance self = entries_[entry].instance;
    const once::Spec spec{kKey, "c", TeamId{"t"}, repeatable_, self};
    auto item = std::make_shared<Item>(
        Item{KeyedItem(spec, once::Accepted{std::move(row), version}), "c", {}});
    Deliver(entry, self.incarnation, item, once::Tick{});
    WatchOwner(self);
  }

  // A successor takes an accepted item over once its owner is reported as gone.
  void WatchOwner(const NodeInstance& owner) {
    In(1000 * kMs, [this, owner] {
      const std::optional<Row> row = Current();
      const OnceRow once = row ? ValueOf(ParseOnceRow(row->value)) : OnceRow{};
      const bool open = once.phase == OncePhase::kQueued || once.phase == OncePhase::kClaimed;
      if (!row || !open) return;
      if (once.sender != owner || !Gone(owner)) return WatchOwner(once.sender);
      const int entry = static_cast<int>(rng_() % entries_.size());
      if (now_ < entries_[entry].paused_until) return WatchOwner(owner);
      const RandomBits random = [this] { return rng_(); };
      const OnceWrite write =
          TakeOverWrite(kKey, once, row->version, entries_[entry].instance, random);
      if (IsCommitted(Apply(write))) {
        StartOwnedItem(entry, ValueOf(ParseOnceRow(write.value)), rows_[OnceRowKey(kKey)].version);
      }
    });
  }

  void Dispatch(int entry, Incarnation incarnation, const std::shared_ptr<Item>& item) {
    const NodeInstance agent = agents_[rng_() % agents_.size()].instance;
    const RequestId request{"r" + std::to_string(++requests_)};
    item->sent.insert(request.value);
    Deliver(entry, incarnation, item, once::Claim{request, agent});
  }

  void PerformAction(int entry, Incarnation incarnation, const std::shared_ptr<Item>& item,
                     once::Action action) {
    const DeliverLater deliver_later = [=, this](Duration delay, const once::Event& event) {
      In(delay, [=, this] { Deliver(entry, incarnation, item, event); });
    };
    std::visit(
        Overloaded{
            [&](const once::WriteRow& write) {
              deliver_later(Delay(20), once::WriteDone{Write(write.write)});
            },
            [&](const once::ReadRow&) {
              if (now_ < store_down_until_) {
                deliver_later(Delay(20), once::ReadDone{Error{ErrorKind::kStoreUnavailable, ""}});
              } else {
                deliver_later(Delay(20), once::ReadDone{Current()});
              }
            },
            [&](const once::PutObject&) {
              deliver_later(Delay(20), once::ObjectStored{RandomFraction() > 0.2});
            },
            [&](const once::Send& send) {
              In(Delay(50), [=, this] { Run(send, item, deliver_later); });
            },
            [&](const once::Revoke& revoke) {
              In(Delay(20),
                 [=, this] { deliver_later(Delay(20), once::RevokeDone{Revoke(revoke)}); });
            },
            [&](const once::Resume& resume) { Resume(resume, item, deliver_later); },
            [&](const once::ReplyOutcome& reply) {
              replied.push_back({true, reply.outcome.digest, {}, faults_ended_, item->content});
            },
            [&](const once::ReplyError& reply) {
              replied.push_back({false, "", reply.error, faults_ended_, item->content});
              if (reply.error.ran == Ran::kNo) CheckNotRun(*item, reply.error);
            },
            [&](const once::RetryDispatch&) { Dispatch(entry, incarnation, item); },
            [&](const once::WakeAt& wake) { deliver_later(wake.at - now_, once::Tick{}); },
        },
        action);
  }

  void CheckNotRun(const Item& item, const Error& error) {
    // With a store that always answers, "not run" also holds for the key at the moment
    // of the write that decides it. A paused entry reports it later, when it may not hold.
    const bool store_is_reliable =
        faults_.lost_answer == 0 && faults_.store_down == 0 && faults_.pauses == 0;
    if (store_is_reliable && !repeatable_) CHECK_FALSE(executions.contains(item.content));
    for (const std::string& request : item.sent) refused_.insert(request);
    for (const std::string& request : item.sent) {
      CAPTURE(error.detail);
      CAPTURE(ErrorInfoOf(error.kind).name);
      CHECK_FALSE(ran_.contains(request));
    }
  }

  // --- Store ---

  static bool IsCommitted(const OnceWriteResult& result) {
    return std::holds_alternative<OnceCommitted>(result);
  }

  std::optional<Row> Current() {
    const auto found = rows_.find(OnceRowKey(kKey));
    return found == rows_.end() ? std::nullopt : std::optional(found->second);
  }

  OnceWriteResult Apply(const OnceWrite& write) {
    Row& row = rows_[write.condition.key];
    if (row.version != write.condition.version) return OnceRejected{row};
    row = Row{write.condition.key, write.value, row.version + 1};
    return OnceCommitted{row.version};
  }

  OnceWriteResult Write(const OnceWrite& write) {
    if (now_ < store_down_until_) return NotWritten{"down"};
    if (RandomFraction() >= faults_.lost_answer) return Apply(write);
    const double kind = RandomFraction();
    if (kind < 0.5) Apply(write);
    if (kind > 0.7) In(Delay(3000), [this, write] { Apply(write); });  // applied late
    return FateUnknown{"lost"};
  }

  // --- Agents ---

  Agent& AgentOf(const NodeInstance& instance) {
    return *std::find_if(agents_.begin(), agents_.end(),
                         [&](const Agent& agent) { return agent.instance.node == instance.node; });
  }

  void Run(const once::Send& send, const std::shared_ptr<Item>& item,
           const DeliverLater& deliver_later) {
    Agent& agent = AgentOf(send.agent);
    if (now_ < agent.paused_until) {
      // The agent handles the dispatch after its pause; the sender has given up by then.
      At(agent.paused_until - Time{}, [=, this] { Run(send, item, [](auto, const auto&) {}); });
      return deliver_later(Delay(500), once::SendOutcomeUnknown{
                                           Error{ErrorKind::kBackendFailed, "", Ran::kUnknown}});
    }
    const bool seen = agent.requests.contains(send.request.value);
    const bool refuse = RandomFraction() < faults_.refused;
    if (agent.instance.incarnation != send.agent.incarnation || seen || refuse) {
      if (!seen) agent.requests[send.request.value] = RequestState::kRefused;
      const bool retry = RandomFraction() < 0.5;
      deliver_later(Delay(20), once::DidNotRun{Error{ErrorKind::kOverloaded, "", Ran::kNo}, retry});
      if (retry) In(Delay(40) + 60 * kMs, [=, this] { Retry(item, deliver_later); });
      return;
    }
    if (RandomFraction() < faults_.broken_send / 2) {
      return deliver_later(Delay(500), once::SendOutcomeUnknown{
                                           Error{ErrorKind::kBackendFailed, "", Ran::kUnknown}});
    }
    CHECK_FALSE(refused_.contains(send.request.value));
    ran_.insert(send.request.value);
    ++executions[item->content];
    agent.requests[send.request.value] = RequestState::kRunning;
    agent.streams[send.request.value] = "";
    const Incarnation started = agent.instance.incarnation;
    const bool interrupted = RandomFraction() < faults_.broken_send;
    In(Delay(3000), [=, this, &agent] {
      const std::string digest = "d-" + send.request.value;
      if (agent.streams.contains(send.request.value)) agent.streams[send.request.value] = digest;
      const bool alive = agent.instance.incarnation == started;
      if (alive) agent.requests[send.request.value] = RequestState::kFinished;
      if (!alive || interrupted) {
        return deliver_later(Delay(20), once::SendOutcomeUnknown{
                                            Error{ErrorKind::kBackendFailed, "", Ran::kUnknown}});
      }
      deliver_later(Delay(20), once::Answered{OnceOutcome{200, "text/plain", digest, "body", ""}});
    });
  }

  // The online run retries at another agent, as it may after a refusal.
  void Retry(const std::shared_ptr<Item>& item, const DeliverLater& deliver_later) {
    const RequestId request{"r" + std::to_string(++requests_)};
    item->sent.insert(request.value);
    deliver_later(kMs, once::Claim{request, agents_[rng_() % agents_.size()].instance});
  }

  RevokeState Revoke(const once::Revoke& revoke) {
    Agent& agent = AgentOf(revoke.agent);
    if (now_ < agent.paused_until) return RevokeState::kUnreachable;
    if (agent.instance.incarnation != revoke.agent.incarnation)
      return RevokeState::kOtherIncarnation;
    const auto [found, fresh] =
        agent.requests.emplace(revoke.request.value, RequestState::kTombstone);
    if (found->second == RequestState::kRunning) return RevokeState::kRunning;
    if (found->second == RequestState::kFinished) return RevokeState::kFinished;
    return RevokeState::kNeverStarted;
  }

  void Resume(const once::Resume& resume, const std::shared_ptr<Item>&,
              const DeliverLater& deliver_later) {
    Agent& agent = AgentOf(resume.agent);
    if (now_ < agent.paused_until) return deliver_later(Delay(500), once::ResumeFailed{});
    const auto found = agent.streams.find(resume.request.value);
    if (found == agent.streams.end()) return deliver_later(Delay(20), once::StreamNotFound{});
    if (found->second.empty()) return deliver_later(Delay(2000), once::ResumeFailed{});
    deliver_later(Delay(20),
                  once::Answered{OnceOutcome{200, "text/plain", found->second, "body", ""}});
  }

  std::mt19937_64 rng_;
  Faults faults_;
  bool repeatable_;
  bool faults_ended_ = false;
  Time now_;
  std::uint64_t order_ = 0;
  std::uint64_t steps_ = 0;
  int requests_ = 0;
  std::priority_queue<Step> queue_;
  std::array<Entry, 3> entries_;
  std::array<Agent, 2> agents_;
  std::map<std::string, Row> rows_;
  Time store_down_until_;
  std::set<std::string> ran_, refused_;
};

void CheckOneOutcome(const Simulation& simulation, bool repeatable) {
  std::set<std::string> digests;
  for (const auto& replied : simulation.replied) {
    if (replied.outcome) digests.insert(replied.digest);
  }
  CHECK(digests.size() <= 1);  // all responses for the key agree
  if (!repeatable) {
    for (const auto& [content, count] : simulation.executions) CHECK(count <= 1);
    CHECK(simulation.executions.size() <= 1);
  }
}

void CheckFinalReplies(const Simulation& simulation) {
  int final_replies = 0;
  for (const auto& replied : simulation.replied) {
    if (!replied.after_faults) continue;
    ++final_replies;
    CHECK((replied.outcome || replied.error.kind == ErrorKind::kOutcomeUnknown ||
           replied.error.kind == ErrorKind::kConflict));
    CHECK(replied.error.detail.find("still running") == std::string::npos);
  }
  CHECK(final_replies >= 2);
}

constexpr Faults kAllFaults{0.15, 0.2, 0.2, 0.2, 0.15, 0.15};
constexpr Faults kReliableStoreFaults{0, 0, 0.2, 0.2, 0.15, 0};

}  // namespace

TEST_CASE("no schedule runs a key twice, reports a run as not run, or gives a key two outcomes") {
  // Guards against an item that runs twice, or gets "not run" after it ran: the same key
  // arrives at several entries while entries and agents are killed and paused,
  // dispatches and answers are lost, and the store loses answers, applies writes late, or
  // is down. Any step that acts on an unconfirmed assumption can cause it.
  constexpr int kSchedules = 12'000;
  int ran = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    const bool repeatable = seed % 5 == 0;
    Simulation simulation(seed, seed % 3 == 0 ? kReliableStoreFaults : kAllFaults, repeatable);
    simulation.Request(Duration(seed % 7 * 1000), 0);
    simulation.Request(Duration(seed % 11 * 100'000), 1);
    simulation.Request(Duration(1'500'000), 2);
    simulation.Request(Duration(4'000'000), static_cast<int>(seed % 3));
    if (seed % 4 == 0) simulation.Request(Duration(seed % 3 * 10'000), 1, "other");
    simulation.Run();
    CheckOneOutcome(simulation, repeatable);
    simulation.EndFaultsAndRequest();
    CheckOneOutcome(simulation, repeatable);
    CheckFinalReplies(simulation);
    ran += simulation.executions.empty() ? 0 : 1;
  }
  CHECK(ran > kSchedules / 2);  // most schedules execute the item
}

TEST_CASE("an accepted item ends with one outcome whichever process dies") {
  // Guards against a 202 whose result never comes, and a second run by the successor:
  // the owner dies or is paused at any point after the 202; a successor takes the row
  // over; the owner resumes. Ownership by a lease alone, or an index of open items that
  // misses one, can cause it.
  constexpr int kSchedules = 6'000;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    const bool repeatable = seed % 5 == 0;
    Simulation simulation(seed, kAllFaults, repeatable);
    simulation.Accept(Duration(0), 0);
    simulation.Request(Duration(seed % 5 * 500'000), 1);
    simulation.Run();
    simulation.EndFaultsAndRequest();
    REQUIRE(simulation.accepted);
    CheckOneOutcome(simulation, repeatable);
    CheckFinalReplies(simulation);
  }
}

TEST_CASE("without faults every request of a key gets the one outcome") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed, {}, false);
    for (int i = 0; i < 3; ++i) simulation.Request(Duration(seed % 3 * 1000 * i), i);
    simulation.Run();
    REQUIRE(simulation.replied.size() == 3);
    for (const auto& replied : simulation.replied) CHECK(replied.outcome);
    CHECK(simulation.executions["c"] == 1);
  }
}
