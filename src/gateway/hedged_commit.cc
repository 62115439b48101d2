#include "gateway/hedged_commit.h"

#include <memory>
#include <utility>

namespace figmill {
namespace {

class HedgedWrite : public std::enable_shared_from_this<HedgedWrite> {
 public:
  HedgedWrite(Loop& loop, SharedTables& tables, TableTransaction transaction,
              std::function<void(TableOutcome)> done)
      : loop_(loop),
        tables_(tables),
        transaction_(std::move(transaction)),
        done_(std::move(done)) {}

  void Send() {
    ++sent_;
    ++pending_;
    tables_.Commit(transaction_, [self = shared_from_this()](const TableOutcome& outcome) {
      self->OnOutcome(outcome);
    });
    if (sent_ == kMaxCopies) return;
    const Duration wait = kHedgeAfter * (1 << (sent_ - 1));
    timer_ = loop_.After(wait, [self = shared_from_this()] {
      if (self->done_ && self->pending_ > 0) self->Send();
    });
  }

 private:
  void OnOutcome(const TableOutcome& outcome) {
    --pending_;
    if (!done_) return;
    if (const auto* unknown = std::get_if<FateUnknown>(&outcome)) {
      may_have_effect_ = true;
      why_ = unknown->why;
    } else if (const auto* refused = std::get_if<NotWritten>(&outcome)) {
      why_ = refused->why;
    } else {
      return Finish(outcome);
    }
    if (pending_ > 0) return;
    if (may_have_effect_) return Finish(FateUnknown{why_});
    Finish(NotWritten{why_});
  }

  void Finish(const TableOutcome& outcome) {
    timer_.Reset();
    std::exchange(done_, nullptr)(outcome);
  }

  Loop& loop_;
  SharedTables& tables_;
  TableTransaction transaction_;
  std::function<void(TableOutcome)> done_;
  Timer timer_;
  std::string why_;
  bool may_have_effect_ = false;
  int sent_ = 0;
  int pending_ = 0;
};

}  // namespace

void HedgedCommit(Loop& loop, SharedTables& tables, TableTransaction transaction,
                  std::function<void(TableOutcome)> done) {
  std::make_shared<HedgedWrite>(loop, tables, std::move(transaction), std::move(done))->Send();
}

const TableRow* RowIn(const TableRejected& rejected, const TableKey& at) {
  for (const TableRow& row : rejected.current) {
    if (row.at.key == at.key && row.version != 0 && !row.deleted) return &row;
  }
  return nullptr;
}

}  // namespace figmill
