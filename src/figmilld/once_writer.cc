#include "figmilld/once_writer.h"

namespace figmill {

OnceWriter::OnceWriter(Loop& loop, TableStore& store, FunnelLimits limits)
    : loop_(loop), store_(store), funnel_(limits) {}

void OnceWriter::Write(OnceWrite write, Done done) {
  const CommitFunnel::WriteId id = next_++;
  waiting_.emplace(id, std::move(done));
  Act(funnel_.Submit(id, std::move(write), Loop::Now()));
}

void OnceWriter::Act(std::vector<CommitFunnel::Action> actions) {
  for (CommitFunnel::Action& action : actions) {
    std::visit(Overloaded{
                   [this](CommitFunnel::Begin& begin) {
                     store_.Commit(std::move(begin.transaction),
                                   [this, id = begin.id](const TransactionOutcome& outcome) {
                                     Act(funnel_.Done(id, outcome, Loop::Now()));
                                   });
                   },
                   [this](CommitFunnel::Reply& reply) {
                     auto found = waiting_.extract(reply.id);
                     if (!found.empty()) found.mapped()(std::move(reply.fate));
                   },
                   [this](CommitFunnel::WakeAt& wake) {
                     timer_ = loop_.After(std::max(wake.at - Loop::Now(), Duration{0}),
                                          [this] { Act(funnel_.Tick(Loop::Now())); });
                   },
               },
               action);
  }
}

}  // namespace figmill
