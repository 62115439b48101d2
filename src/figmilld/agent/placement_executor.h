#pragma once

// Executes the actions of the PlacementReconciler for the engine next to this agent.

#include <functional>

#include "figmill/control.h"
#include "figmill/placement.h"
#include "figmill/runtime.h"

namespace figmill {

// All references must outlive the executor and its pending callbacks in the loop.
struct PlacementExecutorContext {
  Loop& loop;
  TableStore& table;
  WeightStore& weights;
  EnginePort& engine;
  RandomBits random;
  NodeId self;
  Incarnation incarnation = 0;
  // Takes the engine out of service for new work; calls back once nothing runs.
  std::function<void(std::function<void()> drained)> begin_drain;
  // Puts the engine back into service; cancels a drain in progress.
  std::function<void()> end_drain;
};

class PlacementExecutor {
 public:
  PlacementExecutor(PlacementExecutorContext context, ReconcilerSettings settings);

  // To be called whenever the control state has changed.
  void OnControlState(const ControlState& fold);
  [[nodiscard]] bool settled() const { return reconciler_.settled(); }

 private:
  void HandleEvent(const ReconcilerEvent& event);
  void Execute(const ReconcilerAction& action);
  void ReadOwnershipRow();
  void OnOwnershipRow(const Result<std::optional<Row>>& row);
  void ClaimOwnership(RowVersion version);
  void BeginPlacementDrain();
  void SendToEngine(const SendOrder& send);

  PlacementExecutorContext context_;
  PlacementReconciler reconciler_;
  // Number of the latest drain; a late callback of an earlier one is ignored.
  std::uint64_t drain_number_ = 0;
  Timer tick_timer_;
};

// The placement that the control state wants for the engine of `node`; nullopt if none was
// ordered.
[[nodiscard]] std::optional<DesiredPlacement> DesiredPlacementFor(const ControlState& fold,
                                                                  const NodeId& node);

// Key of the row that names the incarnation of an agent that may send orders to its engine.
[[nodiscard]] std::string EngineOwnerKey(const NodeId& node);

}  // namespace figmill
