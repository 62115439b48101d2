#pragma once

// Carries the batch library's store calls to the platform.

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "figmill/batch.h"
#include "figmill/runtime.h"

namespace figmill {

// One platform, seen as tables and objects.
struct BatchStore {
  TableStore& table;
  ObjectStore& objects;
};

// Makes the call; `done` gets the answer that belongs to it.
void CarryStoreCall(BatchStore store, StoreCall call, std::function<void(StoreResult)> done);

// All rows of a prefix, page by page. Errors: kStoreUnavailable.
void ScanAllRows(TableStore& table, std::string prefix,
                 std::function<void(Result<std::vector<Row>>)> done);

// Runs a JobAcceptance or JobCancellation to its outcome.
template <typename Machine>
class StoreMachine : public std::enable_shared_from_this<StoreMachine<Machine>> {
 public:
  using Outcome = std::remove_cvref_t<decltype(*std::declval<Machine&>().outcome())>;

  StoreMachine(Loop& loop, BatchStore store, std::unique_ptr<Machine> machine,
               std::function<void(Outcome)> done)
      : loop_(loop), store_(store), machine_(std::move(machine)), done_(std::move(done)) {}

  void Run() {
    Carry(machine_->Start(Loop::Now()));
    Await();
  }

 private:
  void Carry(std::vector<StoreCall> calls) {
    for (StoreCall& call : calls) {
      CarryStoreCall(store_, std::move(call),
                     [self = this->shared_from_this()](StoreResult answer) {
                       if (!self->done_) return;
                       self->Carry(self->machine_->Handle(answer, Loop::Now()));
                       self->Finish();
                     });
    }
  }
  void Await() {
    timer_ = loop_.After(kBatchTick, [self = this->shared_from_this()] {
      if (!self->done_) return;
      self->Carry(self->machine_->Tick(Loop::Now()));
      self->Finish();
      if (self->done_) self->Await();
    });
  }
  void Finish() {
    if (!machine_->outcome() || !done_) return;
    const auto done = std::exchange(done_, nullptr);
    done(*machine_->outcome());
  }

  Loop& loop_;
  BatchStore store_;
  std::unique_ptr<Machine> machine_;
  std::function<void(Outcome)> done_;
  Timer timer_;
};

}  // namespace figmill
