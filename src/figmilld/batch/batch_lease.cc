#include "figmilld/batch/batch_lease.h"

#include "figmill/observe.h"

namespace figmill {
namespace {

// A renewal comes each quarter of a term: at 330 owners, 88 writes a second. A
// shorter term would take jobs over sooner, at the price of the store's writes;
// jobs are due much later.
constexpr Duration kTerm{15'000'000};
// Between reads of another owner's lease while the store is down.
constexpr Duration kRetryPeriod = kTerm / 4;
// How long the owner may go on without being told again; it is told every
// kBatchTick, so that one that was paused stops at its first event.
constexpr Duration kActSlice = 5 * kBatchTick;

bool SaysDown(const LeaseEvent& event) {
  return std::visit(Overloaded{
                        [](const RowWasRead& read) { return !IsOk(read.row); },
                        [](const CommitEnded& ended) {
                          return std::holds_alternative<NotWritten>(ended.outcome) ||
                                 std::holds_alternative<FateUnknown>(ended.outcome);
                        },
                    },
                    event);
}

}  // namespace

BatchLease::BatchLease(TableStore& table, LeaseSettings settings, Purpose purpose,
                       RandomBits random)
    : table_(table),
      settings_(std::move(settings)),
      purpose_(purpose),
      random_(std::move(random)),
      watcher_(std::make_unique<LeaseWatcher>(settings_, random_)) {}

std::optional<Epoch> BatchLease::epoch() const {
  if (!holder_) return std::nullopt;
  return holder_->epoch();
}

bool BatchLease::Lapsed(Epoch epoch) const {
  if (highest_ > epoch) return true;
  if (!watcher_ || !watcher_->seen()) return false;
  const LeaseRow& row = *watcher_->seen();
  return row.epoch > epoch || (row.epoch == epoch && row.holder.empty());
}

void BatchLease::Tick() {
  Do(holder_ ? holder_->Tick(Loop::Now()) : watcher_->Tick(Loop::Now()));
}

void BatchLease::Poll() {
  if (holder_ || Loop::Now() < next_read_ || !watcher_->IsReadDue(Loop::Now())) return;
  Tick();
}

void BatchLease::Release() {
  if (holder_) Do(holder_->Release(Loop::Now()));
}

void BatchLease::On(const LeaseEvent& event) {
  const bool down = SaysDown(event);
  failures_ = down ? failures_ + 1 : 0;
  // Silence counts only while the store could be read: after an outage the holder
  // first gets its chance to renew, or every outage would move all jobs.
  if (down && purpose_ == Purpose::kFence && !holder_ &&
      std::holds_alternative<RowWasRead>(event)) {
    watcher_ = std::make_unique<LeaseWatcher>(settings_, random_);
    next_read_ = Loop::Now() + kRetryPeriod;
    return;
  }
  Do(holder_ ? holder_->On(Loop::Now(), event) : watcher_->On(Loop::Now(), event));
}

void BatchLease::Do(std::vector<LeaseAction> actions) {
  const auto on = [this](auto make) {
    return [this, alive = std::weak_ptr(alive_), make](auto answer) {
      if (alive.lock()) On(make(std::move(answer)));
    };
  };
  for (LeaseAction& action : actions) {
    std::visit(Overloaded{
                   [&](ReadRow& a) {
                     table_.Read(std::move(a.key), on([](Result<std::optional<Row>> row) {
                                   return LeaseEvent{RowWasRead{std::move(row)}};
                                 }));
                   },
                   [&](CommitRows& a) {
                     table_.Commit(std::move(a.transaction), on([](TransactionOutcome outcome) {
                                     return LeaseEvent{CommitEnded{std::move(outcome)}};
                                   }));
                   },
                   [&](const LeaseAcquired& a) {
                     highest_ = a.grant.epoch;
                     holder_ = std::make_unique<LeaseHolder>(settings_, a.grant, random_);
                     if (purpose_ == Purpose::kFence) Release();
                   },
                   [&](const LeaseLost&) {
                     holder_.reset();
                     watcher_ = std::make_unique<LeaseWatcher>(settings_, random_);
                   },
               },
               action);
  }
}

BatchLeases::BatchLeases(TableStore& table, NodeId self, Incarnation incarnation, RandomBits random,
                         Report report)
    : table_(table),
      self_(std::move(self)),
      incarnation_(incarnation),
      random_(std::move(random)),
      report_(std::move(report)),
      own_(table_, SettingsFor(self_), BatchLease::Purpose::kHold, random_) {}

LeaseSettings BatchLeases::SettingsFor(const NodeId& owner) const {
  return LeaseSettings{"owner-" + owner.value, self_, incarnation_, kTerm};
}

void BatchLeases::Tick() {
  own_.Tick();
  ReportOwn();
  for (auto& [owner, lease] : watched_) lease->Poll();
  ReportOthers();
}

void BatchLeases::ReportOwn() {
  const std::optional<Epoch> epoch = own_.epoch();
  if (held_ && epoch != held_) report_(OwnerLeaseLost{});
  held_ = epoch;
  if (own_.may_act() && !released_) {
    report_(OwnerLeaseHeld{*epoch, Loop::Now() + kActSlice});
  } else if (own_.store_silent()) {
    report_(StoreUnavailable{});
  }
}

void BatchLeases::ReportOthers() {
  for (const auto& [owner, lease] : watched_) {
    if (!lease->Lapsed(owner.epoch) || !expired_.insert(owner).second) continue;
    Log(LogLevel::kInfo, "owner_lease_expired",
        {{"owner", owner.owner.value}, {"epoch", std::to_string(owner.epoch)}});
    report_(LeaseExpired{owner.owner, owner.epoch});
  }
}

void BatchLeases::Watch(const std::vector<OwnerLease>& owners) {
  std::map<OwnerLease, std::unique_ptr<BatchLease>> watched;
  for (const OwnerLease& owner : owners) {
    auto node = watched_.extract(owner);
    if (node.empty()) {
      Log(LogLevel::kInfo, "owner_lease_watched",
          {{"owner", owner.owner.value}, {"epoch", std::to_string(owner.epoch)}});
    }
    watched[owner] = node.empty()
                         ? std::make_unique<BatchLease>(table_, SettingsFor(owner.owner),
                                                        BatchLease::Purpose::kFence, random_)
                         : std::move(node.mapped());
  }
  watched_ = std::move(watched);
  std::erase_if(expired_, [this](const OwnerLease& owner) { return !watched_.contains(owner); });
}

void BatchLeases::Release() {
  released_ = true;
  own_.Release();
}

}  // namespace figmill
