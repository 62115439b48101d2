#include <cassert>
#include <deque>

#include "figmill/runtime.h"

namespace figmill {

class Supervisor::Impl : public std::enable_shared_from_this<Supervisor::Impl> {
 public:
  Impl(Loop& loop, std::string name, RestartPolicy policy)
      : loop_(loop), name_(std::move(name)), policy_(policy) {}

  void Add(std::string name, Factory factory) {
    assert(!running_);
    slots_.push_back(Slot{std::move(name), std::move(factory), nullptr, 0});
  }

  Result<Ok> Start(std::function<void(Error)> failed) {
    assert(!running_);
    running_ = true;
    failed_ = std::move(failed);
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      const Result<Ok> started = StartChild(i);
      if (IsOk(started)) continue;
      StopAll();
      return Escalated(slots_[i], ErrorOf(started));
    }
    return Ok{};
  }

  void StopAll() {
    running_ = false;
    for (auto slot = slots_.rbegin(); slot != slots_.rend(); ++slot) Discard(*slot);
  }

 private:
  struct Slot {
    std::string name;
    Factory factory;
    std::unique_ptr<Child> child;
    // Rises with every start, so that a failure that an earlier child reported
    // can't bring down the one that has replaced it.
    std::uint64_t generation = 0;
  };

  static void Discard(Slot& slot) {
    ++slot.generation;
    if (!slot.child) return;
    slot.child->Stop();
    slot.child.reset();
  }

  Error Escalated(const Slot& slot, const Error& cause) const {
    Error error = cause;
    error.detail = name_ + "/" + slot.name + ": " + cause.detail;
    return error;
  }

  Result<Ok> StartChild(std::size_t index) {
    Slot& slot = slots_[index];
    const std::uint64_t generation = ++slot.generation;
    slot.child = slot.factory();
    Result<Ok> started =
        slot.child->Start([weak = weak_from_this(), index, generation](Error error) {
          if (const auto self = weak.lock()) self->PostFailure(index, generation, std::move(error));
        });
    if (!IsOk(started)) {
      ++slot.generation;
      slot.child.reset();
    }
    return started;
  }

  // A child reports from inside its own code; destroying it there would pull the
  // ground from under it, so the report is handled in a task of its own.
  void PostFailure(std::size_t index, std::uint64_t generation, Error error) {
    loop_.Post([weak = weak_from_this(), index, generation, error = std::move(error)] {
      const auto self = weak.lock();
      if (!self || !self->running_) return;
      if (self->slots_[index].generation != generation) return;
      self->Restart(index, error);
    });
  }

  bool MayRestart(Time now) {
    while (!restarts_.empty() && now - restarts_.front() >= policy_.window) restarts_.pop_front();
    if (restarts_.size() >= static_cast<std::size_t>(policy_.max_restarts)) return false;
    restarts_.push_back(now);
    return true;
  }

  void Restart(std::size_t index, const Error& cause) {
    Slot& slot = slots_[index];
    Discard(slot);
    if (!MayRestart(Loop::Now())) {
      Fail(slot, cause);
      return;
    }
    Log(LogLevel::kWarning, "child-restarted",
        {{"supervisor", name_}, {"child", slot.name}, {"cause", cause.detail}});
    const Result<Ok> started = StartChild(index);
    if (!IsOk(started)) PostFailure(index, slot.generation, ErrorOf(started));
  }

  void Fail(const Slot& slot, const Error& cause) {
    const Error error = Escalated(slot, cause);
    Log(LogLevel::kError, "supervisor-failed", {{"supervisor", name_}, {"cause", error.detail}});
    StopAll();
    if (failed_) std::exchange(failed_, nullptr)(error);
  }

  Loop& loop_;
  std::string name_;
  RestartPolicy policy_;
  std::vector<Slot> slots_;
  std::deque<Time> restarts_;
  std::function<void(Error)> failed_;
  bool running_ = false;
};

Supervisor::Supervisor(Loop& loop, std::string name, RestartPolicy policy)
    : impl_(std::make_shared<Impl>(loop, std::move(name), policy)) {}

Supervisor::~Supervisor() {
  impl_->StopAll();
}

void Supervisor::Add(std::string name, Factory factory) {
  impl_->Add(std::move(name), std::move(factory));
}

Result<Ok> Supervisor::Start(std::function<void(Error)> failed) {
  return impl_->Start(std::move(failed));
}

void Supervisor::Stop() {
  impl_->StopAll();
}

}  // namespace figmill
