#pragma once

// The owner's lease `lease/owner-<node>`, and the watch over other owners'.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "figmill/batch.h"
#include "figmill/control.h"
#include "figmill/runtime.h"

namespace figmill {

// One lease row, watched until it can be taken, then held or at once released.
class BatchLease {
 public:
  enum class Purpose : std::uint8_t {
    kHold,
    kFence,  // take it over from a silent holder and release it
  };
  BatchLease(TableStore& table, LeaseSettings settings, Purpose purpose, RandomBits random);

  void Tick();
  // Reads another owner's lease when that is due. Call every kBatchTick.
  void Poll();
  void Release();
  [[nodiscard]] bool may_act() const { return holder_ && holder_->IsValid(Loop::Now()); }
  [[nodiscard]] std::optional<Epoch> epoch() const;
  // Several answers in a row said that the store is down. One alone may be that of
  // a call which timed out while this process was paused.
  [[nodiscard]] bool store_silent() const { return failures_ > 1; }
  // True once the holder of `epoch` is known to have lost it.
  [[nodiscard]] bool Lapsed(Epoch epoch) const;

 private:
  void Do(std::vector<LeaseAction> actions);
  void On(const LeaseEvent& event);

  TableStore& table_;
  LeaseSettings settings_;
  Purpose purpose_;
  RandomBits random_;
  std::unique_ptr<LeaseWatcher> watcher_;
  std::unique_ptr<LeaseHolder> holder_;
  Epoch highest_ = 0;  // epoch taken here
  int failures_ = 0;   // answers in a row
  Time next_read_;     // of a watched lease, after a failed read
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Turns leases into events of the BatchOwner. Tick() every kBatchTick.
class BatchLeases {
 public:
  using Report = std::function<void(BatchEvent)>;
  BatchLeases(TableStore& table, NodeId self, Incarnation incarnation, RandomBits random,
              Report report);
  void Tick();
  void Watch(const std::vector<OwnerLease>& owners);
  void Release();

 private:
  [[nodiscard]] LeaseSettings SettingsFor(const NodeId& owner) const;
  void ReportOwn();
  void ReportOthers();

  TableStore& table_;
  NodeId self_;
  Incarnation incarnation_;
  RandomBits random_;
  Report report_;
  BatchLease own_;
  std::optional<Epoch> held_;
  std::map<OwnerLease, std::unique_ptr<BatchLease>> watched_;
  std::set<OwnerLease> expired_;  // of those watched; reported already
  bool released_ = false;
};

}  // namespace figmill
