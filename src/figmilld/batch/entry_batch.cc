#include "figmilld/batch/entry_batch.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "figmill/documents.h"
#include "figmilld/batch/batch_dispatcher.h"
#include "figmilld/batch/batch_jobs.h"
#include "figmilld/batch/batch_lease.h"
#include "figmilld/batch/batch_store.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr Duration kNotifyTimeout{1'000'000};
constexpr Duration kCancelRetry{1'000'000};  // should the store have been away

bool IsRepeatable(const Config& config, const ServiceName& name, std::string_view path) {
  const auto service = config.services.find(name);
  if (service == config.services.end()) return true;
  return service->second.repeatable &&
         std::none_of(service->second.routes.begin(), service->second.routes.end(),
                      [&](const RouteRule& rule) {
                        return !rule.repeatable && path.starts_with(rule.path_prefix);
                      });
}

std::string_view NameOf(JobTransition::Kind what) {
  switch (what) {
    case JobTransition::Kind::kClaimed:
      return "job-claimed";
    case JobTransition::Kind::kDone:
      return "job-done";
    case JobTransition::Kind::kCancelled:
      return "job-cancelled";
    case JobTransition::Kind::kFenced:
      return "job-fenced";
    case JobTransition::Kind::kReleased:
      return "job-released";
  }
  return "job";
}

}  // namespace

// Lives on the batch thread but for its construction and destruction.
class EntryBatch::Worker {
 public:
  Worker(Loop& server_loop, EntryBatchSettings settings, Metrics& metrics)
      : server_loop_(server_loop),
        settings_(std::move(settings)),
        client_(loop_),
        platform_(client_, settings_.platform, settings_.store_timeout),
        store_{platform_, platform_},
        owner_(settings_.node, settings_.limits, SystemRandom()),
        leases_(platform_, settings_.node, settings_.incarnation, SystemRandom(),
                [this](const BatchEvent& event) { Feed(event); }),
        dispatcher_(client_, settings_.node, [this](const BatchEvent& event) { Feed(event); }),
        jobs_({loop_, store_, SystemRandom(),
               [this](const JobRow& row, const JobId& job) { Notify(row, job); }}),
        items_(metrics.counter("figmill_batch_items_committed_total", "Batch items committed")),
        transactions_(metrics.counter("figmill_batch_transactions_total",
                                      "Table transactions of the batch owner")),
        held_(metrics.gauge("figmill_batch_held_bytes", "Items and results not yet committed")),
        running_(metrics.gauge("figmill_batch_jobs", "Jobs owned here")),
        in_flight_(metrics.gauge("figmill_batch_in_flight", "Batch items at agents")),
        ticks_(loop_.Every(kBatchTick, [this] { Tick(); })),
        cancel_retries_(loop_.Every(kCancelRetry, [this] { CancelAsOrdered(); })),
        thread_([this] { loop_.Run(); }) {}

  ~Worker() {
    loop_.Post([this] { loop_.Stop(); });
    thread_.join();
  }

  Loop& loop() { return loop_; }
  Loop& server_loop() { return server_loop_; }
  BatchJobs& jobs() { return jobs_; }

  void Update(const RoutingSnapshot& snapshot) {
    FleetUpdate fleet;
    std::map<NodeId, Address> agents;
    entries_.clear();
    for (const Member& member : snapshot.members) {
      if (member.role == Role::kAgent) {
        fleet.agents.push_back(BatchAgent{member.node, member.incarnation, member.serves,
                                          IsLeaving(member, snapshot)});
        agents[member.node] = member.http;
      } else {
        entries_[member.node] = member.http;
        if (!member.leaving) fleet.entries.push_back(member.node);
      }
    }
    if (snapshot.config) {
      fleet.repeatable = [config = snapshot.config](const ServiceName& name,
                                                    std::string_view path) {
        return IsRepeatable(*config, name, path);
      };
    }
    jobs_.SetRule(fleet.repeatable);
    dispatcher_.SetAgents(std::move(agents));
    fold_ = snapshot.control_state;
    CancelAsOrdered();
    Feed(fleet);
  }
  void Changed(const JobId& job) { Feed(JobChanged{job}); }
  void Drain(std::function<void()> done) {
    drained_ = std::move(done);
    const BatchCounts counts = owner_.counts();
    Log(LogLevel::kInfo, "batch_draining",
        {{"jobs", std::to_string(counts.jobs)},
         {"open_chunks", std::to_string(counts.open_chunks)},
         {"in_flight", std::to_string(counts.in_flight)}});
    jobs_.SetDraining();
    Feed(DrainBatch{});
  }

 private:
  static bool IsLeaving(const Member& member, const RoutingSnapshot& snapshot) {
    if (member.leaving || member.liveness == Liveness::kDead) return true;
    if (!snapshot.config) return false;
    const auto backend = snapshot.config->backends.find(member.node);
    return backend != snapshot.config->backends.end() && backend->second.drained;
  }

  void Tick() {
    leases_.Tick();
    Feed(BatchTick{});
    const BatchCounts counts = owner_.counts();
    items_.Add(counts.items_committed - items_.value());
    transactions_.Add(counts.transactions - transactions_.value());
    held_.Set(static_cast<double>(counts.held_bytes));
    running_.Set(counts.jobs);
    in_flight_.Set(counts.in_flight);
  }
  // Never from inside itself: what an action reports at once waits its turn.
  void Feed(const BatchEvent& event) {
    waiting_.push_back(event);
    if (std::exchange(feeding_, true)) return;
    while (!waiting_.empty()) {
      const BatchEvent next = std::move(waiting_.front());
      waiting_.pop_front();
      for (BatchAction& action : owner_.Handle(next, Loop::Now())) Carry(std::move(action));
    }
    feeding_ = false;
  }
  void Carry(BatchAction action) {
    std::visit(Overloaded{
                   [this](DispatchItem& a) { dispatcher_.Send(std::move(a)); },
                   [this](CancelItem& a) { dispatcher_.Cancel(a); },
                   [this](RevokeItem& a) { dispatcher_.Revoke(a); },
                   [this](WatchLeases& a) { leases_.Watch(a.leases); },
                   [this](BatchDrained&) { OnDrained(); },
                   [this](JobTransition& a) { OnNote(a); },
                   [this](auto& call) {
                     CarryStoreCall(store_, std::move(call), [this](const StoreResult& answer) {
                       std::visit([this](const auto& a) { Feed(a); }, answer);
                     });
                   },
               },
               action);
  }
  void OnNote(const JobTransition& note) {
    Log(LogLevel::kInfo, NameOf(note.kind),
        {{"job", note.job.value}, {"epoch", std::to_string(note.epoch)}});
    const bool claimed = note.kind == JobTransition::Kind::kClaimed;
    if (claimed && note.epoch > 1) dispatcher_.Supersede(note.job, note.epoch);
    if (!claimed) {
      owned_.erase(note.job);
      return;
    }
    owned_.insert(note.job);
    CancelAsOrdered();
  }
  // An operator's cancellation is accepted once it is in the log, but what stops a
  // job is its row. The entry that took the order writes the row at once; should it
  // die in between, or the store be away, the job would run on though its operator
  // was told that it is cancelled. Hence a job's owner, also a later one, writes it
  // too.
  void CancelAsOrdered() {
    if (!fold_) return;
    for (const JobId& job : owned_) {
      if (!fold_->cancelled_jobs.contains(job) || !cancelling_.insert(job).second) continue;
      jobs_.Cancel(job, [this, job](const Result<JobRow>&) { cancelling_.erase(job); });
    }
  }
  void OnDrained() {
    Log(LogLevel::kInfo, "batch_drained",
        {{"chunks_returned", std::to_string(owner_.counts().chunks_returned)}});
    leases_.Release();
    if (drained_) server_loop_.Post(std::exchange(drained_, nullptr));
  }
  // Notices only: the owner finds a lost one by its next scan. The agents are told
  // besides, as the owner may be paused: its streams would run on, and what it
  // sent ahead would start.
  void Notify(const JobRow& row, const JobId& job) {
    if (row.state == JobState::kCancelled) dispatcher_.Supersede(job, row.epoch + 1);
    if (row.owner == settings_.node) return Changed(job);
    const auto entry = entries_.find(row.owner);
    if (entry == entries_.end()) return;
    CallRpc(client_, entry->second, "job-changed", Json{{"job", job.value}}.dump(), kNotifyTimeout,
            [](const Result<std::string>&) {});
  }

  Loop& server_loop_;
  EntryBatchSettings settings_;
  Loop loop_;
  HttpClient client_;
  HttpPlatform platform_;
  BatchStore store_;
  BatchOwner owner_;
  BatchLeases leases_;
  BatchDispatcher dispatcher_;
  BatchJobs jobs_;
  std::map<NodeId, Address> entries_;
  std::shared_ptr<const ControlState> fold_;
  std::set<JobId> owned_;
  std::set<JobId> cancelling_;  // a write of the row is under way
  std::deque<BatchEvent> waiting_;
  bool feeding_ = false;
  std::function<void()> drained_;
  Counter& items_;
  Counter& transactions_;
  Gauge& held_;
  Gauge& running_;
  Gauge& in_flight_;
  Timer ticks_, cancel_retries_;
  std::thread thread_;  // last: it runs on all of the above
};

EntryBatch::EntryBatch(Loop& server_loop, EntryBatchSettings settings, Metrics& metrics)
    : worker_(std::make_unique<Worker>(server_loop, std::move(settings), metrics)) {}

EntryBatch::~EntryBatch() = default;

void EntryBatch::OnRequest(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  RemoteReply remote(worker_->server_loop(), std::move(reply));
  worker_->loop().Post([worker = worker_.get(), request = std::move(request), remote]() mutable {
    worker->jobs().On(std::move(request), remote);
  });
}

void EntryBatch::Update(const std::shared_ptr<const RoutingSnapshot>& snapshot) {
  worker_->loop().Post([worker = worker_.get(), snapshot] { worker->Update(*snapshot); });
}

void EntryBatch::BindOrders(RpcServer& server) {
  server.Bind("job-changed", [worker = worker_.get()](std::string_view params) {
    const Json json = ParseJson(params);
    if (!json.is_object() || !json.contains("job") || !json["job"].is_string()) {
      return Result<std::string>(Error{ErrorKind::kBadRequest, "a job is expected"});
    }
    const JobId job{json["job"].get<std::string>()};
    worker->loop().Post([worker, job] { worker->Changed(job); });
    return Result<std::string>("{}");
  });
}

void EntryBatch::Cancel(const JobId& job, std::function<void(Result<JobRow>)> done) {
  worker_->loop().Post([worker = worker_.get(), job, done = std::move(done)] {
    worker->jobs().Cancel(job, [worker, done](Result<JobRow> row) {
      worker->server_loop().Post([done, row = std::move(row)] { done(row); });
    });
  });
}

void EntryBatch::Drain(std::function<void()> done) {
  worker_->loop().Post([worker = worker_.get(), done = std::move(done)]() mutable {
    worker->Drain(std::move(done));
  });
}

}  // namespace figmill
