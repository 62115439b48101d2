#pragma once

// Carries out what the PlacementReconciler decides for the engine beside this agent.

#include <functional>

#include "figmill/control.h"
#include "figmill/placement.h"
#include "figmill/runtime.h"

namespace figmill {

// All must outlive the shell and the loop's work.
struct PlacementParts {
  Loop& loop;
  TableStore& table;
  WeightStore& weights;
  EnginePort& engine;
  RandomBits random;
  NodeId self;
  Incarnation incarnation = 0;
  // Takes the engine out of service for new work; calls back once nothing runs.
  std::function<void(std::function<void()> drained)> begin_drain;
  // Back into service; a drain under way is given up.
  std::function<void()> end_drain;
};

class PlacementShell {
 public:
  PlacementShell(PlacementParts parts, ReconcilerSettings settings);

  // Whenever the fold moved.
  void OnFold(const ControlState& fold);
  [[nodiscard]] bool settled() const { return placer_.settled(); }

 private:
  void Say(const ReconcilerEvent& event);
  void Carry(const ReconcilerAction& action);
  void ReadRightRow();
  void OnRightRow(const Result<std::optional<Row>>& row);
  void ClaimRight(RowVersion version);
  void BeginPlacementDrain();
  void Send(const SendOrder& send);

  PlacementParts parts_;
  PlacementReconciler placer_;
  std::uint64_t drain_ = 0;  // counts drains, so that a late end of one is told apart
  Timer ticks_;
};

// What the fold wants of the engine beside `node`; nothing if no order named it.
[[nodiscard]] std::optional<DesiredPlacement> DesiredFor(const ControlState& fold,
                                                         const NodeId& node);

// The row that says which incarnation of an agent orders its engine.
[[nodiscard]] std::string OrdererKey(const NodeId& node);

}  // namespace figmill
