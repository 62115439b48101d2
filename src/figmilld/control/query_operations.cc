#include "figmilld/control/query_operations.h"

#include "figmill/batch.h"
#include "figmilld/traffic/work_tables.h"

namespace figmill {
namespace {

using query::Spread;

constexpr Duration kAwaitPeriod{100'000};  // between looks at who runs on it
constexpr int kAwaitLooks = 10;            // then it is told how far it is
// A version that another entry has just given is heard of here within 6 s.
constexpr int kUnheardLooks = 60;
constexpr std::size_t kNamedBehind = 10;

Spread SpreadOf(Sequence sequence, const InForceReport& report) {
  Spread spread{sequence, 0, report.in_force, {}};
  spread.nodes = report.in_force + report.lagging.size() + report.unreachable.size();
  for (const auto* behind : {&report.lagging, &report.unreachable}) {
    for (const NodeId& node : *behind) {
      if (spread.behind.size() < kNamedBehind) spread.behind.push_back(node);
    }
  }
  return spread;
}

Error NotYet(Sequence asked, Sequence head) {
  return Error{ErrorKind::kNotFound, "there is no version " + std::to_string(asked) +
                                         " yet; the log stands at " + std::to_string(head)};
}

// Looks again and again until all run on the sequence, or it has been a while.
class Awaiting : public std::enable_shared_from_this<Awaiting> {
 public:
  Awaiting(EntryQueryParts& parts, Sequence sequence, std::function<void(Result<Spread>)> done)
      : parts_(parts), sequence_(sequence), done_(std::move(done)) {}

  void Look() {
    const Sequence head = parts_.control.CurrentFold()->sequence;
    if (head < sequence_) return AwaitVersion(head);
    const Spread spread = SpreadOf(sequence_, parts_.control.InForce(sequence_));
    if (spread.complete() || ++looks_ > kAwaitLooks) return done_(spread);
    parts_.control.AskInForce(sequence_);
    LookAgain();
  }

 private:
  void AwaitVersion(Sequence head) {
    if (++unheard_looks_ > kUnheardLooks) return done_(NotYet(sequence_, head));
    LookAgain();
  }

  void LookAgain() {
    timer_ = parts_.loop.After(kAwaitPeriod, [self = shared_from_this()] { self->Look(); });
  }

  EntryQueryParts& parts_;
  Sequence sequence_;
  std::function<void(Result<Spread>)> done_;
  Timer timer_;
  int looks_ = 0;
  int unheard_looks_ = 0;
};

}  // namespace

void QueryOperations::Ask(const query::Show& show, TableDone done) {
  EntryQueryParts& parts = shared_->parts;
  const std::shared_ptr<const ControlState> fold = parts.control.CurrentFold();
  const auto members = [&] { return parts.control.CurrentMembers(); };
  std::visit(
      Overloaded{
          [&](const query::ShowJobs&) { ReadJobs(parts.table, show.selection, std::move(done)); },
          [&](const query::ShowItems& items) {
            if (!items.job) return ReadKeyedItems(parts.table, show.selection, std::move(done));
            ReadJobItems(parts.table, parts.objects, *items.job, show.selection, std::move(done));
          },
          [&](const query::ShowRefusals& refusals) {
            AskAllRefusals(shared_, refusals.since, std::move(done));
          },
          [&](const query::ShowHosts&) { done(query::HostTable(*fold, members())); },
          [&](const query::ShowServices&) { done(query::ServiceTable(*fold, members())); },
          [&](const query::ShowConfig& config) { AskConfig(config, std::move(done)); },
          [&](const query::ShowLog& log) { ReadLog(parts.table, log.since, std::move(done)); },
          [&](const query::ShowLimits&) { done(query::LimitTable(*fold)); },
          [&](const query::ShowPlacement&) { done(query::PlacementTable(*fold)); },
      },
      show.question);
}

void QueryOperations::AskConfig(const query::ShowConfig& question, TableDone done) {
  EntryQueryParts& parts = shared_->parts;
  const std::shared_ptr<const ControlState> fold = parts.control.CurrentFold();
  const Sequence at = question.at.value_or(fold->sequence);
  if (at > fold->sequence) return done(NotYet(at, fold->sequence));
  if (at == fold->sequence) return done(query::ConfigTable(fold->config));
  ReadFoldAt(parts.table, parts.objects, at,
             [done = std::move(done)](const Result<std::shared_ptr<const ControlState>>& then) {
               if (!IsOk(then)) return done(ErrorOf(then));
               done(query::ConfigTable(ValueOf(then)->config));
             });
}

void QueryOperations::Carry(const query::Order& order, std::function<void(Result<Sequence>)> done) {
  const auto* cancel = std::get_if<query::CancelJob>(&order.command);
  if (cancel != nullptr) return CancelJobOf(order, cancel->job, std::move(done));
  Append(order, std::move(done));
}

// The log takes any job's name; a mistyped one would stay without effect, and
// its operator would believe the job cancelled.
void QueryOperations::CancelJobOf(const query::Order& order, const JobId& job,
                                  std::function<void(Result<Sequence>)> done) {
  auto append = [self = shared_from_this(), order, job,
                 done = std::move(done)](const Result<std::optional<Row>>& read) {
    if (!IsOk(read)) return done(ErrorOf(read));
    if (!ValueOf(read)) return done(Error{ErrorKind::kNotFound, "there is no job " + job.value});
    const Result<JobRow> row = ParseJobRow(ValueOf(read)->value);
    if (IsOk(row) && ValueOf(row).state == JobState::kDone) {
      return done(Error{ErrorKind::kConflict, "job " + job.value + " is done already"});
    }
    self->Append(order, [self, job, done](const Result<Sequence>& sequence) {
      const auto& cancel = self->shared_->parts.cancel_job;
      if (IsOk(sequence) && cancel) cancel(job);
      done(sequence);
    });
  };
  shared_->parts.table.Read(JobKey(job), std::move(append));
}

void QueryOperations::Append(const query::Order& order,
                             std::function<void(Result<Sequence>)> done) {
  ControlAccess& control = shared_->parts.control;
  const std::shared_ptr<const ControlState> fold = control.CurrentFold();
  const Result<ControlEntry> entry = query::EntryFor(order.command, *fold);
  if (!IsOk(entry)) return done(ErrorOf(entry));
  control.Append(ValueOf(entry), author_, order.if_version, fold->sequence, std::move(done));
}

void QueryOperations::Await(Sequence sequence, std::function<void(Result<Spread>)> done) {
  std::make_shared<Awaiting>(shared_->parts, sequence, std::move(done))->Look();
}

}  // namespace figmill
