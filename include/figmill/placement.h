#pragma once

// Brings an engine to the placement that the control log specifies, by fenced
// orders. One PlacementReconciler, in the agent next to the engine, is the only
// sender of orders to it. No I/O.
//
// Two of them may still overlap when an agent resumes from a pause after its
// successor has started. Engines that check fencing refuse the older one's orders,
// as the fence is the sequence of the desired placement and only rises. For other
// engines, each agent reads anew before each order that it owns the engine, and that
// reading expires after `ownership_validity`. A successor sends its first order only
// after its predecessor's last reading has expired and its last order has ended. The
// engine's state is read back after each order and periodically, so that an order
// that took effect late is undone.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill {

struct ReconcilerSettings {
  Duration ownership_validity{4'000'000};  // validity of an ownership reading
  Duration max_order_time{600'000'000};    // an order takes no effect after this time
  Duration order_poll_period{5'000'000};   // between state reads while an order is in flight
  Duration state_poll_period{30'000'000};  // between state reads of an idle engine
  Duration min_backoff{1'000'000};         // doubles with each consecutive failure
  Duration max_backoff{60'000'000};
  std::uint64_t weight_bytes = 16ULL << 30U;  // reserved for one load
};

// The models and adapters that the engine should and shouldn't hold, each as
// "name@version" like in EngineState. A wanted object replaces other versions of its
// name; objects that aren't named stay as they are.
struct DesiredPlacement {
  Sequence sequence = 0;  // of the order in the control log
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  std::vector<std::string> unwanted_models;
  std::vector<std::string> unwanted_adapters;
  std::string role;  // empty: unchanged
  bool checks_fencing = true;
};

// Events. Each action except EndDrain and ReportPlacementError is answered by one. After
// EndDrain no EngineDrained follows for the drain that it ends.
struct OwnershipRead {
  bool owned = false;  // false: a later incarnation of this agent owns the engine
};
struct OwnershipReadFailed {
  Error error;
};
struct EngineStateRead {
  Result<EngineState> state;
};
struct WeightsGranted {
  Duration wait{0};  // before the load may start
};
struct WeightsRefused {
  Error error;
};
struct EngineDrained {};
struct OrderDone {
  std::uint64_t number = 0;  // of the SendOrder
};
struct OrderFailed {
  std::uint64_t number = 0;
  Error error;  // `ran` says whether the order may still take effect
};
// To be passed at least every second.
struct ReconcilerTick {};
using ReconcilerEvent = std::variant<DesiredPlacement, OwnershipRead, OwnershipReadFailed,
                                     EngineStateRead, WeightsGranted, WeightsRefused, EngineDrained,
                                     OrderDone, OrderFailed, ReconcilerTick>;

// Actions.
struct ReadOwnership {};
struct ReadEngineState {};
struct ReserveWeights {
  std::string object;  // "name@version"
  std::uint64_t bytes = 0;
};
// Sends no new requests to the engine; running ones finish or are moved as a whole.
struct BeginDrain {};
struct EndDrain {};
// Must not be sent after `not_after`, when the ownership reading expires.
struct SendOrder {
  std::uint64_t number = 0;
  EngineOrder order;
  Time not_after;
};
// For logs and metrics only.
struct ReportPlacementError {
  Error error;
};
using ReconcilerAction = std::variant<ReadOwnership, ReadEngineState, ReserveWeights, BeginDrain,
                                      EndDrain, SendOrder, ReportPlacementError>;

// The orders that bring an engine from `state` to the desired placement, in the
// sequence in which they must run: unloads before loads.
[[nodiscard]] std::vector<EngineOrder> PlanOrders(const DesiredPlacement& desired,
                                                  const EngineState& state);

// Whether the engine's state reflects the order.
[[nodiscard]] bool IsApplied(const EngineState& state, const EngineOrder& order);

class PlacementReconciler {
 public:
  explicit PlacementReconciler(ReconcilerSettings settings) : settings_(settings) {}
  [[nodiscard]] std::vector<ReconcilerAction> Step(Time now, const ReconcilerEvent& event);
  // The engine's state as last read matches the desired placement.
  [[nodiscard]] bool settled() const { return settled_; }
  [[nodiscard]] bool draining() const { return draining_; }

 private:
  enum class PendingReply : std::uint8_t { kNothing, kState, kWeights, kDrain, kOwnership, kOrder };

  void OnDesired(Time now, const DesiredPlacement& desired);
  void OnOwnership(Time now, bool owned);
  void OnFreshState(Time now, const Result<EngineState>& state);
  void OnStateReply(Time now, const Result<EngineState>& state);
  void OnOrderDone(Time now);
  void OnOrderFailed(Time now, const Error& error);
  void OnTick(Time now);

  void Advance(Time now);
  void PrepareOrder(Time now);
  [[nodiscard]] bool ReserveWeightsIfNeeded();
  [[nodiscard]] bool WeightsReady(Time now) const;
  [[nodiscard]] bool EarlierOrdersEnded(Time now) const;
  [[nodiscard]] bool OrderHadNoEffect() const;
  [[nodiscard]] bool OrderMayTakeEffect(Time now) const;
  void RequestOwnership(Time now);
  void SendNextOrder(Time now);
  void PollOrder(Time now);
  void Settle(Time now);
  void Retry(Time now, const Error& error);
  void EndDrainIfSafe(Time now);

  ReconcilerSettings settings_;
  std::optional<DesiredPlacement> desired_;
  std::optional<EngineState> state_;  // as last read, until an order is sent
  Time state_read_at_;
  std::vector<EngineOrder> pending_orders_;  // remaining, in sequence
  std::optional<EngineOrder> sent_;          // the order in flight
  std::uint64_t order_number_ = 0;           // of the order in flight
  Time poll_at_;                             // when to check whether its answer was lost
  bool polling_ = false;                     // that check is in progress
  std::optional<EngineOrder> last_done_;     // last order that the engine reported as done
  PendingReply pending_ = PendingReply::kNothing;
  Time next_action_at_;                          // no action starts earlier
  std::optional<EngineOrder> unresolved_order_;  // outcome unknown and no effect seen
  Time orders_end_by_;                           // unanswered orders have ended by then
  std::optional<Time> owned_since_;              // when ownership was first confirmed
  Time ownership_requested_;
  bool superseded_ = false;
  bool draining_ = false;
  bool drained_ = false;
  bool settled_ = false;
  int failures_ = 0;
  std::string reserved_object_;
  std::map<std::string, Time> weights_ready_at_;  // object -> when its load may start
  std::vector<ReconcilerAction> actions_;         // collected for the current event
};

}  // namespace figmill
