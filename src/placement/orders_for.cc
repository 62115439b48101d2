#include <algorithm>

#include "figmill/placement.h"

namespace figmill {
namespace {

using Names = std::vector<std::string>;

bool Holds(const Names& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

EngineOrder OrderOf(std::string kind, const std::string& versioned, Sequence fence) {
  const std::size_t at = versioned.find('@');
  std::string version = at == std::string::npos ? "" : versioned.substr(at + 1);
  return {std::move(kind), versioned.substr(0, at), std::move(version), fence};
}

// One order of this kind for each name that is in `from` and not in `without`.
void AddEach(std::vector<EngineOrder>& orders, const char* kind, const Names& from,
             const Names& without, Sequence fence) {
  for (const std::string& name : from) {
    if (!Holds(without, name)) orders.push_back(OrderOf(kind, name, fence));
  }
}

}  // namespace

std::vector<EngineOrder> OrdersFor(const DesiredPlacement& desired, const EngineState& state) {
  std::vector<EngineOrder> orders;
  const Sequence fence = desired.sequence;
  AddEach(orders, "unload-adapter", state.adapters, desired.adapters, fence);
  AddEach(orders, "unload-model", state.models, desired.models, fence);
  if (!desired.role.empty() && desired.role != state.role) {
    orders.push_back({"role", desired.role, "", fence});
  }
  AddEach(orders, "load-model", desired.models, state.models, fence);
  AddEach(orders, "load-adapter", desired.adapters, state.adapters, fence);
  return orders;
}

bool Shows(const EngineState& state, const EngineOrder& order) {
  const std::string versioned = order.subject + "@" + order.version;
  if (order.kind == "role") return state.role == order.subject;
  if (order.kind == "load-model") return Holds(state.models, versioned);
  if (order.kind == "unload-model") return !Holds(state.models, versioned);
  if (order.kind == "load-adapter") return Holds(state.adapters, versioned);
  return !Holds(state.adapters, versioned);  // "unload-adapter"
}

}  // namespace figmill
